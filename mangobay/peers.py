"""Client and listener for messages between processes."""

import asyncio
import dataclasses
import functools
import itertools
import math
import random
import typing

from mangobay import (
    callresolution,
    connections,
    errors,
    ids,
    listening,
    logs,
    options,
    periodic,
    tls,
)
from mangobay.generated import messages

INITIAL_BACKOFF_SECONDS = 0.05
"""Delay in seconds after a failed connection attempt; doubled each time."""
MAX_BACKOFF_SECONDS = 0.5
"""Maximum delay in seconds, within which a recovered host is found again."""
SUPERSEDED_SECONDS = 5.0
"""Seconds between two checks whether a connection that its peer has replaced is
still used.

It would otherwise stay open: on a connection that has gone silent, the close of
the peer never arrives.
"""
CLOSE_TIMEOUT_SECONDS = 1.0
"""Maximum wait in seconds for closed connections to end."""

Handler = connections.Handler
Limits = connections.Limits


class Transport(typing.Protocol):
    """Sends requests to other processes; tests use fakes of it."""

    async def send_request(
        self,
        address: options.Address,
        body: messages.EnvelopeBody,
        timeout: float,
        send_by: float = math.inf,
    ) -> messages.EnvelopeBody:
        """Returns the reply to one request within timeout seconds.

        Args:
          address: address of the process.
          body: the request.
          timeout: seconds to wait for the reply.
          send_by: loop time after which the request is not sent.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent, or the
            peer has refused it for good in reply to a query.
          errors.PeerBrokenError: it was sent, but no reply can come any more.
          TimeoutError: it was sent, but no reply came in time.
        """


@dataclasses.dataclass(slots=True)
class Peer:
    """One process that requests are sent to.

    Attributes:
      connection: the newest connection; None before the first.
      connect_task: the task that makes a connection; None if there is none.
      consecutive_failures: failed connection attempts in a row.
      backoff_until: loop time before which no connection is attempted.
    """

    connection: connections.Connection | None = None
    connect_task: asyncio.Task | None = None
    consecutive_failures: int = 0
    backoff_until: float = 0.0

    def is_idle(self, since: float) -> bool:
        """Returns whether it was unused since a loop time."""
        if self.connect_task is not None or self.backoff_until > since:
            return False
        if self.connection is None:
            return True
        return (
            not self.connection.pending_requests
            and not self.connection.bodies.receivers
            and self.connection.last_request_at < since
        )


class PeerClient:
    """Sends requests to other processes over one connection per address.

    Attributes:
      hello: the Hello of this process.
      identity: TLS identity; None for plain connections.
      limits: bounds of the connections.
      rng: source of the jitter in backoffs.
      peers: the peers by address.
      sweep_timer: timer of close_idle_connections.
      liveness_check: checks the connections that have pending calls.
      silence_share: share of the calls' patience that `silence` uses.
      resolver: asks peers about the calls on silent connections.
      is_closed: whether no connection is made any more.
    """

    def __init__(
        self,
        hello: messages.Hello,
        *,
        identity: tls.Identity | None = None,
        limits: Limits | None = None,
        rng: random.Random | None = None,
        silence_share: float = 0.0,
    ):
        self.hello = hello
        self.identity = identity
        self.limits = limits or Limits()
        self.rng = rng or random.Random()
        self.peers: dict[options.Address, Peer] = {}
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.liveness_check: periodic.PeriodicCheck[connections.Connection] = (
            periodic.PeriodicCheck(
                connections.PING_AFTER_SECONDS,
                connections.Connection.check_liveness,
            )
        )
        self.silence_share = silence_share
        self.resolver = callresolution.CallResolver()
        self.is_closed = False

    async def send_request(
        self,
        address: options.Address,
        body: messages.EnvelopeBody,
        timeout: float,
        send_by: float = math.inf,
    ) -> messages.EnvelopeBody:
        """Returns the reply to one request within timeout seconds.

        Sends Cancel when the calling task is cancelled or the timeout passes.

        Args:
          address: address of the process.
          body: the request.
          timeout: seconds to wait for the reply.
          send_by: loop time after which the request is not sent.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent, or the
            peer has refused it for good in reply to a query.
          errors.PeerBrokenError: it was sent, but no reply can come any more.
          TimeoutError: it was sent, but no reply came in time.
        """
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer()
        connection = peer.connection
        if connection is None or connection.closed or connection.unresponsive:
            loop = asyncio.get_running_loop()
            deadline = loop.time() + timeout
            connection = await self.acquire_connection(address, peer, timeout)
            now = loop.time()
            if now > send_by:
                raise errors.PeerUnreachableError(
                    f"{address}: connected too late for the request"
                )
            timeout = max(deadline - now, 0.0)
        # A process that stops shortens the patience of its calls.
        is_stopping = send_by < math.inf
        return await connection.send_request(
            body, timeout, adapts_waits=not is_stopping
        )

    def incarnation_of(
        self, address: options.Address
    ) -> ids.Incarnation | None:
        """Returns the process that was connected last, None if none was."""
        peer = self.peers.get(address)
        if peer is None or peer.connection is None:
            return None
        return peer.connection.peer_hello.incarnation

    async def acquire_connection(
        self, address: options.Address, peer: Peer, timeout: float
    ) -> connections.Connection:
        """Returns a new connection, which concurrent requests share.

        Raises:
          errors.PeerUnreachableError: connecting failed, or takes too long.
        """
        if self.is_closed:
            raise errors.PeerUnreachableError(
                f"{address}: this process makes no connections any more"
            )
        loop = asyncio.get_running_loop()
        if loop.time() < peer.backoff_until:
            raise errors.PeerUnreachableError(
                f"{address}: waiting to reconnect after a failure"
            )
        if peer.connect_task is None:
            peer.connect_task = asyncio.create_task(self.connect(address, peer))
            # Its error is retrieved here if no request waits for it any more.
            peer.connect_task.add_done_callback(
                lambda task: task.cancelled() or task.exception()
            )
        try:
            # The shield keeps the connection attempt running for other waiting
            # requests when one is cancelled or times out.  `asyncio.wait_for`
            # would lose a cancellation that arrives in the loop iteration in
            # which the attempt ends: a node that is stopped at that moment
            # would wait forever for its task that renews the lease.
            async with asyncio.timeout(timeout):
                return await asyncio.shield(peer.connect_task)
        except TimeoutError:
            raise errors.PeerUnreachableError(
                f"{address}: no connection within the timeout"
            ) from None

    async def connect(
        self, address: options.Address, peer: Peer
    ) -> connections.Connection:
        """Makes the connection and records success or failure in the peer.

        Raises:
          errors.PeerUnreachableError: connecting or the handshake failed.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.limits.connect_timeout):
                connection = await self.open_connection(address, peer)
        except (OSError, errors.PeerError) as error:
            peer.consecutive_failures += 1
            backoff = min(
                INITIAL_BACKOFF_SECONDS
                * 2 ** min(peer.consecutive_failures - 1, 8),
                MAX_BACKOFF_SECONDS,
            )
            peer.backoff_until = loop.time() + backoff * self.rng.uniform(
                0.5, 1
            )
            if peer.consecutive_failures == 1:
                logs.log_event(
                    logs.Component.PEER,
                    "unreachable",
                    address=str(address),
                    why=str(error) or "timed out",
                )
            raise errors.PeerUnreachableError(f"{address}: {error}") from None
        finally:
            peer.connect_task = None
        peer.consecutive_failures = 0
        if peer.connection is not None:
            peer.connection.retire()
        peer.connection = connection
        if self.sweep_timer is None:
            self.close_idle_connections()
        return connection

    async def find_newer_connection(
        self,
        address: options.Address,
        peer: Peer,
        silent: connections.Connection,
    ) -> connections.Connection:
        """Returns a usable connection that is not a given silent one.

        Raises:
          errors.PeerUnreachableError: connecting failed, or takes too long.
        """
        newest = peer.connection
        is_usable = not newest.closed and not newest.unresponsive
        if newest is not silent and is_usable:
            return newest
        timeout = self.limits.connect_timeout
        return await self.acquire_connection(address, peer, timeout)

    async def open_connection(
        self, address: options.Address, peer: Peer
    ) -> connections.Connection:
        """Returns a new connection after the exchange of Hellos."""
        context = self.identity.get_client_context() if self.identity else None
        find_newer = functools.partial(
            self.find_newer_connection, address, peer
        )
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: connections.Connection(
                self.hello,
                self.limits,
                liveness_check=self.liveness_check,
                on_silent=lambda silent: self.resolver.resolve(
                    silent, find_newer
                ),
            ),
            address.ip,
            address.port,
            ssl=context,
        )
        try:
            await connection.handshake_done
        except BaseException:
            connection.close()
            raise
        connection.silence_share = self.silence_share
        return connection

    def close_idle_connections(self) -> None:
        """Closes idle connections and forgets their peers.

        Otherwise a node would keep a connection to every host that it has ever
        called, until the listeners there accept no more.  Only the connecting
        side closes idle connections, as it knows that no request is in flight.
        """
        loop = asyncio.get_running_loop()
        idle_since = loop.time() - self.limits.idle_timeout
        for address, peer in list(self.peers.items()):
            if peer.is_idle(idle_since):
                if peer.connection is not None:
                    peer.connection.close("idle")
                del self.peers[address]
        self.sweep_timer = loop.call_later(
            self.limits.idle_timeout / 2, self.close_idle_connections
        )

    async def close(self, timeout: float = CLOSE_TIMEOUT_SECONDS) -> None:
        """Closes all connections; later requests fail.

        Args:
          timeout: maximum wait in seconds for the connections to end.
        """
        self.is_closed = True
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        await self.resolver.close()
        connect_tasks = [
            peer.connect_task
            for peer in self.peers.values()
            if peer.connect_task is not None
        ]
        for task in connect_tasks:
            task.cancel()
        await asyncio.gather(*connect_tasks, return_exceptions=True)
        await close_connections(
            [
                peer.connection
                for peer in self.peers.values()
                if peer.connection is not None
            ],
            timeout,
        )
        self.peers.clear()


async def close_connections(
    closing: list[connections.Connection], timeout: float
) -> None:
    """Closes connections; aborts those that have not ended after a timeout.

    A connection whose peer does not read stays open until it does.
    """
    for connection in closing:
        connection.close("shutting down")
    pending = [connection.disconnected for connection in closing]
    if pending:
        await asyncio.wait(pending, timeout=timeout)
    for connection in closing:
        if not connection.disconnected.done():
            connection.transport.abort()


class InboundConnection(connections.Connection):
    """A connection that another process made.

    Attributes:
      listener: the listener that accepted it.
      number: its number in the order in which connections were accepted.
      hello_timer: closes the connection if no Hello comes in time.
    """

    def __init__(self, listener: "Listener"):
        super().__init__(listener.hello, listener.limits, listener.handler)
        self.listener = listener
        self.number = next(listener.connection_numbers)
        self.hello_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Counts the connection, and closes it above the limit."""
        super().connection_made(transport)
        listener = self.listener
        listener.accepted.add(self)
        if len(listener.accepted) > listener.limits.max_connections:
            self.close("too many connections")
            return
        self.hello_timer = self.loop.call_later(
            listener.limits.frame_timeout, self.close, "no Hello was received"
        )

    def handle_hello(self, body: messages.EnvelopeBody) -> None:
        """Checks the peer's first message and completes the handshake.

        Raises:
          errors.PeerProtocolError: it is not a Hello of a process of the
            system, or claims another host or role than the certificate.
        """
        super().handle_hello(body)
        self.hello_timer.cancel()
        self.listener.connections.add(self)

    def supersede(self) -> None:
        """Drops requests that arrive from now on, and closes it after a while."""
        if not self.superseded:
            self.superseded = True
            self.loop.call_later(SUPERSEDED_SECONDS, self.close_superseded)

    def close_superseded(self) -> None:
        """Closes it, unless it still handles requests.

        The peer may wait for their replies here, if the connection was only
        slow.  It is closed without flushing, as it may be dead.
        """
        if self.handler_tasks or self.bodies.senders:
            self.loop.call_later(SUPERSEDED_SECONDS, self.close_superseded)
            return
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending requests and removes it from the listener."""
        super().connection_lost(exc)
        if self.hello_timer is not None:
            self.hello_timer.cancel()
        # Nobody awaits this future; reading its exception marks it as
        # retrieved.
        self.handshake_done.exception()
        self.listener.accepted.discard(self)
        self.listener.connections.discard(self)


class Listener:
    """Accepts connections of other processes and handles their requests.

    Attributes:
      address: where it listens; a port of 0 is replaced on start by the port
        that was assigned.
      hello: the Hello of this process.
      handler: handles each request and returns its reply.
      identity: TLS identity; None for plain connections.
      limits: bounds of the connections.
      server: accepts the connections.
      accepted: open connections, including those whose handshake is not done.
      connections: connections whose handshake is done.
      connection_numbers: numbers for connections.
      sweep_timer: timer of close_stalled_connections.
    """

    def __init__(
        self,
        address: options.Address,
        hello: messages.Hello,
        handler: Handler,
        *,
        identity: tls.Identity | None = None,
        limits: Limits | None = None,
    ):
        self.address = address
        self.hello = hello
        self.handler = handler
        self.identity = identity
        self.limits = limits or Limits()
        self.server = listening.Server(
            address,
            self.make_connection,
            tls=identity.get_listening_context() if identity else None,
            handshake_timeout=self.limits.frame_timeout,
        )
        self.accepted: set[InboundConnection] = set()
        self.connections: set[InboundConnection] = set()
        self.connection_numbers = itertools.count()
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Starts listening.

        Raises:
          errors.StartError: the address is in use or not on this host.
        """
        self.server.start()
        self.address = self.server.address
        self.close_stalled_connections()

    def make_connection(self) -> connections.Connection:
        """Returns the asyncio protocol for a connection being accepted."""
        return InboundConnection(self)

    def close_stalled_connections(self) -> None:
        """Closes connections that do not complete a frame in time.

        A sender of one byte per second would otherwise hold a connection and
        the memory of a frame for hours.  A periodic check adds no cost per
        frame.
        """
        loop = asyncio.get_running_loop()
        latest_start = loop.time() - self.limits.frame_timeout
        for connection in list(self.connections):
            if 0 < connection.partial_frame_since < latest_start:
                connection.close("a frame took too long")
        self.sweep_timer = loop.call_later(
            self.limits.frame_timeout / 2, self.close_stalled_connections
        )

    def supersede_older(self, hello: messages.Hello) -> None:
        """Drops what still arrives on older connections of the same process.

        A process that asks about a call uses its older connections no more, but
        what it has sent on them may arrive much later.

        Args:
          hello: the Hello of one of its connections.
        """
        same_process = [
            connection
            for connection in self.connections
            if connection.peer_hello.incarnation == hello.incarnation
            and connection.peer_hello.host == hello.host
        ]
        numbers = [
            connection.number
            for connection in same_process
            if connection.peer_hello is hello
        ]
        for connection in same_process:
            if connection.number < max(numbers, default=0):
                connection.supersede()

    def detach_handler(self, task: asyncio.Task) -> None:
        """Lets the task of a request go on when its connection ends."""
        for connection in self.connections:
            for stream, handler_task in connection.handler_tasks.items():
                if handler_task is task:
                    del connection.handler_tasks[stream]
                    return

    def count_running_requests(self) -> int:
        """Returns how many requests are being handled."""
        return sum(
            len(connection.handler_tasks) for connection in self.connections
        )

    @property
    def pending_responses(self) -> int:
        """Number of connections with bytes not yet passed to the kernel.

        The peer may not have given credit for the rest of a large reply.
        """
        return sum(
            connection.has_unsent_bytes or bool(connection.bodies.senders)
            for connection in self.connections
        )

    async def close(
        self, grace: float = 0, timeout: float = CLOSE_TIMEOUT_SECONDS
    ) -> int:
        """Stops accepting, lets requests finish, and closes all connections.

        Args:
          grace: maximum wait in seconds for requests being handled.
          timeout: maximum wait in seconds for the connections to end.

        Returns:
          Number of requests whose senders awaited a reply and got none, or a
          part of it.
        """
        if self.sweep_timer is None:
            return 0
        self.sweep_timer.cancel()
        await self.server.close()
        tasks = [
            task
            for connection in self.connections
            for task in connection.handler_tasks.values()
        ]
        if tasks and grace:
            await asyncio.wait(tasks, timeout=grace)
        aborted_count = self.count_running_requests()
        await close_connections(list(self.accepted), timeout)
        return aborted_count
