"""A lean HTTP/1.1 listener: whole requests in, whole answers out, in order."""

import asyncio
import collections
import collections.abc
import dataclasses

from mangobay import (
    eager,
    httpparse,
    leanhttp,
    listening,
    logs,
    options,
    rounds,
)

Handle = collections.abc.Callable[
    [leanhttp.Request, "Client"], collections.abc.Awaitable[leanhttp.Response]
]

BACKLOG = 1024
"""Connections that wait to be accepted; a burst of callers opens hundreds."""
MOST_PIPELINED = 64
"""Requests of one connection that are answered at once; more wait unread."""
TOO_LARGE = leanhttp.Response(status=413)
DISCARD_SECONDS = 1.0
"""How long a caller has to close a connection that was ended, above a round trip
between far regions."""
LAST_DISCARD_SECONDS = 0.2
"""The same when the process ends."""
CLOSE_POLL = 0.01
"""Seconds between two looks whether the last answers have left."""
SWEEP_SECONDS = 1.0
"""How often idle connections are looked for."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Bounds on what a caller may send.

    Attributes:
      line_bytes: of the request line, and of one header field.
      body_bytes: of a whole body.
      head_seconds: from the first byte of a request to its last.
      idle_seconds: a connection without a request is closed after this time.
      connections: taken at once.
    """

    line_bytes: int = leanhttp.LONGEST_LINE
    body_bytes: int = 64 * 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 75.0
    connections: int = 2048


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection and its answer.

    Attributes:
      message: the request as it comes; None where it is none.
      task: answers the request; None until the body is whole.
      answer: the bytes to write; empty until there are some.
      close: the connection ends behind the answer.
    """

    message: httpparse.Message | None
    task: asyncio.Task | None = None
    answer: bytes = b""
    close: bool = False


class Client(leanhttp.Protocol):
    """One connection of a caller.

    Attributes:
      remote: IP number of the caller.
      exchanges: requests whose answers were not written, oldest first.
      active: loop time of the last byte either way.
      begun: loop time at which a request began that is not whole, or 0.
      ending: no further request is taken.
      discarding: set once nothing more is written; closes the connection.
    """

    __slots__ = (
        "active",
        "begun",
        "discarding",
        "ending",
        "exchanges",
        "listener",
        "parser",
        "remote",
    )

    def __init__(self, listener: "Listener"):
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self.parser = httpparse.RequestParser(listener.limits.line_bytes)
        self.listener = listener
        self.remote = ""
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.active = loop.time()
        self.begun = 0.0
        self.ending = False
        self.discarding: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Counts the connection; one too many is closed."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.remote = peer[0] if peer else ""
        self.listener.rounds.add(self)
        if len(self.listener.clients) > self.listener.limits.connections:
            transport.close()

    def connection_lost(self, exc) -> None:
        """Gives up what the caller no longer waits for."""
        super().connection_lost(exc)
        self.parser.end()
        if self.discarding is not None:
            self.discarding.cancel()
        self.listener.rounds.discard(self)
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()

    def pause_writing(self) -> None:
        """Reads no more while the caller does not read its answers.

        Each answer not taken counts towards the memory of this process.
        """
        super().pause_writing()
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads again."""
        super().resume_writing()
        if self.transport is not None and not self.ending:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Takes bytes; starts what is whole."""
        self.active = self.loop.time()
        if self.ending and not self.awaits_body():
            return
        if not self.begun:
            self.begun = self.active
        waiting = self.exchanges[-1] if self.awaits_body() else None
        begun = self.parser.feed(data)
        if waiting is not None and waiting.message.whole:
            self.start(waiting)
        for message in begun:
            if not self.ending:
                self.begin(message)
        error = self.parser.error
        if error is not None and (not self.ending or self.awaits_body()):
            self.refuse(error)
            return
        self.look_at_size()

    def awaits_body(self) -> bool:
        """Returns whether the newest request is not whole yet."""
        if not self.exchanges:
            return False
        last = self.exchanges[-1]
        return not last.answer and not last.message.whole

    def begin(self, message: httpparse.Message) -> None:
        """Takes a request head; answers once the body has come."""
        exchange = Exchange(message, close=message.close)
        self.exchanges.append(exchange)
        self.ending = self.ending or exchange.close
        if message.whole:
            self.start(exchange)
            return
        expected = message.fields.get("Expect", "").lower()
        if expected == "100-continue" and self.transport is not None:
            self.transport.write(leanhttp.CONTINUE)

    def start(self, exchange: Exchange) -> None:
        """Has a whole request answered."""
        self.begun = 0.0
        message = exchange.message
        request = leanhttp.Request(
            method=message.method,
            target=message.target,
            fields=message.fields,
            raw=message.raw,
            body=message.body,
        )
        if len(self.exchanges) > MOST_PIPELINED and self.transport is not None:
            self.transport.pause_reading()
        exchange.task = eager.start(self.loop, self.answer(exchange, request))

    def look_at_size(self) -> None:
        """Refuses a body that is too long before all of it has come."""
        if not self.awaits_body():
            return
        last = self.exchanges[-1]
        come = max(last.message.declared, last.message.size)
        if come > self.listener.limits.body_bytes:
            last.answer = leanhttp.encode_response(
                self.listener.oversized, True, False
            )
            last.close = True
            self.ending = True
            self.flush()

    async def answer(
        self, exchange: Exchange, request: leanhttp.Request
    ) -> None:
        """Answers one request."""
        try:
            response = await self.listener.handle(request, self)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001
            logs.say(logs.Part.CALL, "request failed", why=repr(error))
            response = leanhttp.Response(status=502)
        # Closed before the answers behind it, requests that run already would
        # be sent again by their caller.
        newest = self.exchanges[-1] if self.exchanges else None
        if self.listener.leaving and newest is exchange:
            exchange.close = True
            self.ending = True
        exchange.answer = leanhttp.encode_response(
            response, exchange.close, request.method == "HEAD"
        )
        self.flush()

    def refuse(self, error: httpparse.ParseError) -> None:
        """Answers bytes that are no request, behind the answers due."""
        self.ending = True
        answer = leanhttp.encode_response(
            leanhttp.Response(status=error.status), True, False
        )
        # A request whose body broke off is answered in its own place.
        if self.awaits_body():
            self.exchanges.pop()
        refused = Exchange(None, answer=answer, close=True)
        self.exchanges.append(refused)
        self.flush()

    def flush(self) -> None:
        """Writes the answers that are due, in the order of the requests."""
        transport = self.transport
        if transport is None:
            return
        self.active = self.loop.time()
        ready = []
        close = False
        while self.exchanges and self.exchanges[0].answer and not close:
            done = self.exchanges.popleft()
            ready.append(done.answer)
            close = done.close
        if ready:
            transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        if close:
            self.end()
        elif len(self.exchanges) <= MOST_PIPELINED and not self.writing_paused:
            transport.resume_reading()

    def time_out(self) -> None:
        """Gives up a request that does not come to its end.

        Those before it are answered.
        """
        self.ending = True
        if self.awaits_body():
            self.exchanges.pop()
        if not self.exchanges:
            self.end()
            return
        self.exchanges[-1].close = True
        self.flush()

    def end(self) -> None:
        """Ends the connection; requests behind the answer were not run.

        Closed with bytes that nobody has read, it would be reset, and the
        reset destroys answers that the caller has not taken yet.  So it is
        only closed for writing, and what still comes is thrown away.
        """
        self.ending = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
        transport = self.transport
        if transport is None or self.discarding is not None:
            return
        self.discarding = self.loop.call_later(DISCARD_SECONDS, transport.close)
        transport.write_eof()
        transport.resume_reading()

    def eof_received(self) -> bool:
        """Takes a caller that sends no more for one that is gone."""
        return False

    def is_owed(self) -> bool:
        """Returns whether an answer is due, or not yet with the kernel."""
        if any(each.task or each.answer for each in self.exchanges):
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def is_slow(self, oldest: float) -> bool:
        """Returns whether a request began before a loop time and is not whole.

        A caller that sends a byte now and then would hold a connection, and
        what has come of its request, for ever.
        """
        return 0 < self.begun < oldest and self.discarding is None

    def is_idle(self, oldest: float) -> bool:
        """Returns whether no request is open since a loop time."""
        return not self.exchanges and self.active < oldest


class Listener:
    """One HTTP listener.

    Attributes:
      address: where it listens; with port 0, the port taken once started.
      rounds: looks at its connections.
      leaving: every answer closes its connection.
      oversized: the answer to a body above the limit.
    """

    def __init__(
        self, address: options.Address, handle: Handle, limits: Limits
    ):
        self.address = address
        self.handle = handle
        self.limits = limits
        self.rounds: rounds.Rounds[Client] = rounds.Rounds(
            SWEEP_SECONDS, self.look
        )
        self.leaving = False
        self.oversized = TOO_LARGE
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        loop = asyncio.get_running_loop()
        opening = loop.create_server(
            lambda: Client(self),
            self.address.ip,
            self.address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self.server = await listening.open_server(self.address, opening)
        self.address = listening.bound_to(self.address, self.server)

    @property
    def clients(self) -> set[Client]:
        """Its connections."""
        return self.rounds.items

    def look(self, client: Client) -> None:
        """Closes a connection that was idle, or sends, for too long."""
        now = asyncio.get_running_loop().time()
        if client.is_slow(now - self.limits.head_seconds):
            client.time_out()
        elif client.is_idle(now - self.limits.idle_seconds):
            client.end()

    @property
    def busy(self) -> bool:
        """Whether a caller waits for an answer, or has not taken one."""
        return any(client.is_owed() for client in self.clients)

    async def close(self, seconds: float = 0.0) -> int:
        """Stops accepting, answers what is due and ends every connection.

        Args:
          seconds: longest wait for callers to take their answers.

        Returns:
          How many callers have not taken theirs.
        """
        if self.server is None:
            return 0
        self.server.close()
        self.leaving = True
        loop = asyncio.get_running_loop()
        patience = loop.time() + seconds
        while self.busy and loop.time() < patience:
            await asyncio.sleep(CLOSE_POLL)
        not_taken = sum(client.is_owed() for client in self.clients)
        for client in list(self.clients):
            client.end()
        patience = min(patience, loop.time() + LAST_DISCARD_SECONDS)
        while self.clients and loop.time() < patience:
            await asyncio.sleep(CLOSE_POLL)
        for client in list(self.clients):
            client.transport.close()
        await asyncio.sleep(0)
        return not_taken
