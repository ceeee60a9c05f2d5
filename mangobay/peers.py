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
    rounds,
    tls,
)
from mangobay.generated import messages

BACKOFF_FIRST = 0.05
"""Seconds without another try after a failed connect; doubled each time."""
BACKOFF_MOST = 0.5
"""Seconds; a host that is back is found again within them."""
CLOSE_SECONDS = 1.0
"""Time for closed connections to be seen as such by their tasks."""

Handler = connections.Handler
Limits = connections.Limits


class Transport(typing.Protocol):
    """What asks another process; tests put a fake in its place."""

    async def ask(
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
      connecting: the task that makes one.
      failures: failed connects in a row.
      closed_until: loop time before which no connect is tried.
    """

    connection: connections.Connection | None = None
    connecting: asyncio.Task | None = None
    failures: int = 0
    closed_until: float = 0.0

    def is_idle(self, oldest: float) -> bool:
        """Returns whether nobody asked or connected since a loop time."""
        if self.connecting is not None or self.closed_until > oldest:
            return False
        if self.connection is None:
            return True
        return not self.connection.waiting and self.connection.asked_at < oldest


class Peers:
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
        self.random = rng or random.Random()
        self.peers: dict[options.Address, Peer] = {}
        self.sweeping: asyncio.TimerHandle | None = None
        self.watched: rounds.Rounds[connections.Connection] = rounds.Rounds(
            connections.PING_AFTER, connections.Connection.watch
        )

    async def ask(
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
        if connection is None or connection.closed or connection.silent:
            loop = asyncio.get_running_loop()
            deadline = loop.time() + timeout
            connection = await self.reach(address, peer, timeout)
            timeout = max(deadline - loop.time(), 0.0)
        return await connection.ask(body, timeout)

    async def reach(
        self, address: options.Address, peer: Peer, timeout: float
    ) -> connections.Connection:
        """Returns a new connection; concurrent requests share it.

        Raises:
          errors.PeerUnreachableError: there is none, or not in time.
        """
        loop = asyncio.get_running_loop()
        if loop.time() < peer.closed_until:
            raise errors.PeerUnreachableError(f"{address} failed just now")
        if peer.connecting is None:
            peer.connecting = asyncio.create_task(self.connect(address, peer))
        try:
            # One who gives up must not end the connect that others wait for.
            # `asyncio.wait_for` would lose a cancellation that comes in the
            # turn in which the connect ends: a node told to stop just then
            # would wait for its own renewals for ever.
            async with asyncio.timeout(timeout):
                return await asyncio.shield(peer.connecting)
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
            async with asyncio.timeout(self.limits.connect_seconds):
                connection = await self.open(address)
        except (OSError, errors.PeerError) as error:
            peer.failures += 1
            wait = min(
                BACKOFF_FIRST * 2 ** min(peer.failures - 1, 8), BACKOFF_MOST
            )
            peer.closed_until = loop.time() + wait * self.random.uniform(0.5, 1)
            if peer.failures == 1:
                logs.say(
                    logs.Part.PEER,
                    "unreachable",
                    address=str(address),
                    why=str(error) or "timed out",
                )
            raise errors.PeerUnreachableError(f"{address}: {error}") from None
        finally:
            peer.connecting = None
        peer.failures = 0
        peer.connection = connection
        if self.sweeping is None:
            self.sweep()
        return connection

    async def open(self, address: options.Address) -> connections.Connection:
        """Returns a connection on which the Hellos were exchanged."""
        context = self.identity.client() if self.identity else None
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: connections.Connection(
                self.hello, self.limits, watched=self.watched
            ),
            address.ip,
            address.port,
            ssl=context,
        )
        try:
            await connection.greeted
        except BaseException:
            connection.close()
            raise
        return connection

    def sweep(self) -> None:
        """Ends connections that nobody asks on, and forgets their peers.

        Over weeks a node would otherwise keep a connection to every host it
        ever called, until the listeners there take no more.  Only the asking
        side ends them: it knows that no request is on its way.
        """
        loop = asyncio.get_running_loop()
        oldest = loop.time() - self.limits.idle_seconds
        for address, peer in list(self.peers.items()):
            if peer.is_idle(oldest):
                if peer.connection is not None:
                    peer.connection.close("idle")
                del self.peers[address]
        self.sweeping = loop.call_later(
            self.limits.idle_seconds / 2, self.sweep
        )

    async def close(self) -> None:
        """Ends every connection."""
        if self.sweeping is not None:
            self.sweeping.cancel()
        ending: list[asyncio.Future] = []
        for peer in self.peers.values():
            if peer.connecting is not None:
                peer.connecting.cancel()
                ending.append(peer.connecting)
            if peer.connection is not None:
                peer.connection.close()
                ending.append(peer.connection.ended)
        if ending:
            await asyncio.wait(ending, timeout=CLOSE_SECONDS)
        self.peers.clear()


class Accepted(connections.Connection):
    """A connection that another process made.

    Attributes:
      listener: that took it.
    """

    def __init__(self, listener: "Listener"):
        super().__init__(listener.hello, listener.limits, listener.handler)
        self.listener = listener
        self.patience: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Counts the connection; one too many is closed."""
        super().connection_made(transport)
        listener = self.listener
        listener.accepted += 1
        if listener.accepted > listener.limits.connections:
            self.close("too many connections")
            return
        self.patience = self.loop.call_later(
            listener.limits.frame_seconds, self.close, "no Hello came"
        )

    def take_hello(self, theirs: messages.EnvelopeBody) -> None:
        """Takes the peer's first message.

        Raises:
          errors.PeerProtocolError: the peer is none of the system's processes.
        """
        super().take_hello(theirs)
        self.patience.cancel()
        self.listener.standing.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks what waits for an answer."""
        super().connection_lost(exc)
        if self.patience is not None:
            self.patience.cancel()
        # Nobody waits for a Hello that did not come.
        self.greeted.exception()
        self.listener.accepted -= 1
        self.listener.standing.discard(self)


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
        self.standing: set[connections.Connection] = set()
        self.accepted = 0
        self.sweeping: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Opens the socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        self.server = await listening.open_server(
            self.address,
            asyncio.get_running_loop().create_server(
                self.accept,
                self.address.ip,
                self.address.port,
                ssl=self.identity.server() if self.identity else None,
                ssl_handshake_timeout=(
                    self.limits.frame_seconds if self.identity else None
                ),
            ),
        )
        self.address = listening.bound_to(self.address, self.server)
        self.sweep()

    def accept(self) -> connections.Connection:
        """Returns the protocol of a connection that is being made."""
        return Accepted(self)

    def sweep(self) -> None:
        """Ends connections that began a frame and do not end it.

        A sender of one byte a second would hold a connection and the memory
        of a frame for hours; looked at from time to time, this costs nothing
        for each frame.
        """
        loop = asyncio.get_running_loop()
        oldest = loop.time() - self.limits.frame_seconds
        for connection in list(self.standing):
            if 0 < connection.partial_since < oldest:
                connection.close("a frame took too long")
        self.sweeping = loop.call_later(
            self.limits.frame_seconds / 2, self.sweep
        )

    def streams(self) -> int:
        """Returns how many requests are being answered."""
        return sum(len(each.serving) for each in self.standing)

    @property
    def owed(self) -> int:
        """How many connections have answers that have not left the process."""
        return sum(connection.unsent for connection in self.standing)

    async def close(self, grace: float = 0) -> None:
        """Stops accepting, waits grace seconds for answers, and ends."""
        if self.server is None:
            return
        self.server.close()
        self.sweeping.cancel()
        running = [
            task for each in self.standing for task in each.serving.values()
        ]
        if running and grace:
            await asyncio.wait(running, timeout=grace)
        ending = [connection.ended for connection in self.standing]
        for connection in list(self.standing):
            connection.close("leaving")
        if ending:
            await asyncio.wait(ending, timeout=CLOSE_SECONDS)
