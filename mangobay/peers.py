"""Asking other processes, and answering them."""

import asyncio
import dataclasses
import random
import typing

from mangobay import (
    connections,
    errors,
    listening,
    logs,
    options,
    periodic,
    tls,
)
from mangobay.generated import messages

INITIAL_BACKOFF_SECONDS = 0.05
"""Seconds without another try after a failed connect; doubled each time."""
MAX_BACKOFF_SECONDS = 0.5
"""Seconds; a host that is back is found again within them."""
CLOSE_TIMEOUT_SECONDS = 1.0
"""Time for closed connections to be seen as such by their tasks."""

Handler = connections.Handler
Limits = connections.Limits


class Transport(typing.Protocol):
    """What asks another process; tests put a fake in its place."""

    async def send_request(
        self,
        address: options.Address,
        body: messages.EnvelopeBody,
        timeout: float,
    ) -> messages.EnvelopeBody:
        """Returns the answer to one request within timeout seconds.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent.
          errors.PeerBrokenError: sent, no answer came.
          TimeoutError: sent, no answer in time.
        """


@dataclasses.dataclass(slots=True)
class Peer:
    """One process that is asked.

    Attributes:
      connection: the one that stands, None before and after.
      connect_task: the task that makes one.
      consecutive_failures: failed connects in a row.
      backoff_until: loop time before which no connect is tried.
    """

    connection: connections.Connection | None = None
    connect_task: asyncio.Task | None = None
    consecutive_failures: int = 0
    backoff_until: float = 0.0

    def is_idle(self, since: float) -> bool:
        """Returns whether nobody asked or connected since a loop time."""
        if self.connect_task is not None or self.backoff_until > since:
            return False
        if self.connection is None:
            return True
        return (
            not self.connection.pending_requests
            and self.connection.last_request_at < since
        )


class PeerClient:
    """Asks other processes; keeps one connection for each address."""

    def __init__(
        self,
        hello: messages.Hello,
        *,
        identity: tls.Identity | None = None,
        limits: Limits | None = None,
        rng: random.Random | None = None,
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

    async def send_request(
        self,
        address: options.Address,
        body: messages.EnvelopeBody,
        timeout: float,
    ) -> messages.EnvelopeBody:
        """Returns the answer to one request within timeout seconds.

        Cancelling the asking task, or its timeout, sends Cancel.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent.
          errors.PeerBrokenError: sent, no answer came.
          TimeoutError: sent, no answer in time.
        """
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer()
        connection = peer.connection
        if connection is None or connection.closed or connection.unresponsive:
            loop = asyncio.get_running_loop()
            deadline = loop.time() + timeout
            connection = await self.acquire_connection(address, peer, timeout)
            timeout = max(deadline - loop.time(), 0.0)
        return await connection.send_request(body, timeout)

    async def acquire_connection(
        self, address: options.Address, peer: Peer, timeout: float
    ) -> connections.Connection:
        """Returns a new connection; concurrent requests share it.

        Raises:
          errors.PeerUnreachableError: there is none, or not in time.
        """
        loop = asyncio.get_running_loop()
        if loop.time() < peer.backoff_until:
            raise errors.PeerUnreachableError(f"{address} failed just now")
        if peer.connect_task is None:
            peer.connect_task = asyncio.create_task(self.connect(address, peer))
        try:
            # One who gives up must not end the connect that others wait for.
            # `asyncio.wait_for` would lose a cancellation that comes in the
            # turn in which the connect ends: a node told to stop just then
            # would wait for its own renewals for ever.
            async with asyncio.timeout(timeout):
                return await asyncio.shield(peer.connect_task)
        except TimeoutError:
            raise errors.PeerUnreachableError(
                f"{address} accepts too slowly"
            ) from None

    async def connect(
        self, address: options.Address, peer: Peer
    ) -> connections.Connection:
        """Makes the connection and starts the task that reads it.

        Raises:
          errors.PeerUnreachableError: the peer refused, or is none.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.limits.connect_timeout):
                connection = await self.open_connection(address)
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
        peer.connection = connection
        if self.sweep_timer is None:
            self.close_idle_connections()
        return connection

    async def open_connection(
        self, address: options.Address
    ) -> connections.Connection:
        """Returns a connection on which the Hellos were exchanged."""
        context = self.identity.get_client_context() if self.identity else None
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: connections.Connection(
                self.hello, self.limits, liveness_check=self.liveness_check
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
        return connection

    def close_idle_connections(self) -> None:
        """Ends connections that nobody asks on, and forgets their peers.

        Over weeks a node would otherwise keep a connection to every host it
        ever called, until the listeners there take no more.  Only the asking
        side ends them: it knows that no request is on its way.
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

    async def close(self) -> None:
        """Ends every connection."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        pending: list[asyncio.Future] = []
        for peer in self.peers.values():
            if peer.connect_task is not None:
                peer.connect_task.cancel()
                pending.append(peer.connect_task)
            if peer.connection is not None:
                peer.connection.close()
                pending.append(peer.connection.disconnected)
        if pending:
            await asyncio.wait(pending, timeout=CLOSE_TIMEOUT_SECONDS)
        self.peers.clear()


class InboundConnection(connections.Connection):
    """A connection that another process made.

    Attributes:
      listener: that took it.
    """

    def __init__(self, listener: "Listener"):
        super().__init__(listener.hello, listener.limits, listener.handler)
        self.listener = listener
        self.hello_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Counts the connection; one too many is closed."""
        super().connection_made(transport)
        listener = self.listener
        listener.accepted_count += 1
        if listener.accepted_count > listener.limits.max_connections:
            self.close("too many connections")
            return
        self.hello_timer = self.loop.call_later(
            listener.limits.frame_timeout, self.close, "no Hello came"
        )

    def handle_hello(self, body: messages.EnvelopeBody) -> None:
        """Takes the peer's first message.

        Raises:
          errors.PeerProtocolError: the peer is none of the system's processes.
        """
        super().handle_hello(body)
        self.hello_timer.cancel()
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks what waits for an answer."""
        super().connection_lost(exc)
        if self.hello_timer is not None:
            self.hello_timer.cancel()
        # Nobody waits for a Hello that did not come.
        self.handshake_done.exception()
        self.listener.accepted_count -= 1
        self.listener.connections.discard(self)


class Listener:
    """Answers other processes.

    Attributes:
      address: where it listens; with port 0, the port taken once started.
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
        self.server: asyncio.Server | None = None
        self.connections: set[connections.Connection] = set()
        self.accepted_count = 0
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Opens the socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        self.server = await listening.open_server(
            self.address,
            asyncio.get_running_loop().create_server(
                self.make_connection,
                self.address.ip,
                self.address.port,
                ssl=self.identity.get_listening_context()
                if self.identity
                else None,
                ssl_handshake_timeout=(
                    self.limits.frame_timeout if self.identity else None
                ),
            ),
        )
        self.address = listening.bound_address(self.address, self.server)
        self.close_stalled_connections()

    def make_connection(self) -> connections.Connection:
        """Returns the protocol of a connection that is being made."""
        return InboundConnection(self)

    def close_stalled_connections(self) -> None:
        """Ends connections that began a frame and do not end it.

        A sender of one byte a second would hold a connection and the memory
        of a frame for hours; looked at from time to time, this costs nothing
        for each frame.
        """
        loop = asyncio.get_running_loop()
        latest_start = loop.time() - self.limits.frame_timeout
        for connection in list(self.connections):
            if 0 < connection.partial_frame_since < latest_start:
                connection.close("a frame took too long")
        self.sweep_timer = loop.call_later(
            self.limits.frame_timeout / 2, self.close_stalled_connections
        )

    def count_running_requests(self) -> int:
        """Returns how many requests are being answered."""
        return sum(
            len(connection.handler_tasks) for connection in self.connections
        )

    @property
    def pending_responses(self) -> int:
        """How many connections have answers that have not left the process."""
        return sum(
            connection.has_unsent_bytes for connection in self.connections
        )

    async def close(self, grace: float = 0) -> None:
        """Stops accepting, waits grace seconds for answers, and ends."""
        if self.server is None:
            return
        self.server.close()
        self.sweep_timer.cancel()
        tasks = [
            task
            for connection in self.connections
            for task in connection.handler_tasks.values()
        ]
        if tasks and grace:
            await asyncio.wait(tasks, timeout=grace)
        pending = [connection.disconnected for connection in self.connections]
        for connection in list(self.connections):
            connection.close("leaving")
        if pending:
            await asyncio.wait(pending, timeout=CLOSE_TIMEOUT_SECONDS)
