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

Handler = collections.abc.Callable[
    [leanhttp.Request, "Connection"],
    collections.abc.Awaitable[leanhttp.Response],
]

BACKLOG = 1024
"""Connections that wait to be accepted; a burst of callers opens hundreds."""
MAX_PIPELINED_REQUESTS = 64
"""Requests of one connection that are answered at once; more wait unread."""
TOO_LARGE_RESPONSE = leanhttp.Response(status=413)
HALF_CLOSE_SECONDS = 1.0
"""How long a caller has to close a connection that was ended, above a round trip
between far regions."""
SHUTDOWN_HALF_CLOSE_SECONDS = 0.2
"""The same when the process ends."""
CLOSE_POLL = 0.01
"""Seconds between two looks whether the last answers have left."""
SWEEP_SECONDS = 1.0
"""How often idle connections are looked for."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Bounds on what a caller may send.

    Attributes:
      max_line_bytes: of the request line, and of one header field.
      max_body_bytes: of a whole body.
      read_timeout: from the first byte of a request to its last.
      idle_timeout: a connection without a request is closed after this time.
      max_connections: taken at once.
    """

    max_line_bytes: int = leanhttp.MAX_LINE_BYTES
    max_body_bytes: int = 64 * 1024 * 1024
    read_timeout: float = 10.0
    idle_timeout: float = 75.0
    max_connections: int = 2048


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection and its answer.

    Attributes:
      message: the request as it comes; None where it is none.
      task: answers the request; None until the body is whole.
      response_bytes: the bytes to write; empty until there are some.
      should_close: the connection ends behind the answer.
    """

    message: httpparse.Message | None
    task: asyncio.Task | None = None
    response_bytes: bytes = b""
    should_close: bool = False


class Connection(leanhttp.BaseConnection):
    """One connection of a caller.

    Attributes:
      remote: IP number of the caller.
      exchanges: requests whose answers were not written, oldest first.
      last_activity: loop time of the last byte either way.
      request_started_at: loop time at which a request began that is not whole, or 0.
      closing: no further request is taken.
      half_close_timer: set once nothing more is written; closes the connection.
    """

    __slots__ = (
        "last_activity",
        "request_started_at",
        "half_close_timer",
        "closing",
        "exchanges",
        "listener",
        "parser",
        "remote",
    )

    def __init__(self, listener: "Listener"):
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self.parser = httpparse.RequestParser(listener.limits.max_line_bytes)
        self.listener = listener
        self.remote = ""
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.last_activity = loop.time()
        self.request_started_at = 0.0
        self.closing = False
        self.half_close_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Counts the connection; one too many is closed."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.remote = peer[0] if peer else ""
        self.listener.rounds.add(self)
        if (
            len(self.listener.connections)
            > self.listener.limits.max_connections
        ):
            transport.close()

    def connection_lost(self, exc) -> None:
        """Gives up what the caller no longer waits for."""
        super().connection_lost(exc)
        self.parser.close()
        if self.half_close_timer is not None:
            self.half_close_timer.cancel()
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
        if self.transport is not None and not self.closing:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Takes bytes; starts what is whole."""
        self.last_activity = self.loop.time()
        if self.closing and not self.is_receiving_body():
            return
        if not self.request_started_at:
            self.request_started_at = self.last_activity
        receiving = self.exchanges[-1] if self.is_receiving_body() else None
        new_messages = self.parser.feed(data)
        if receiving is not None and receiving.message.complete:
            self.dispatch(receiving)
        for message in new_messages:
            if not self.closing:
                self.handle_head(message)
        error = self.parser.error
        if error is not None and (not self.closing or self.is_receiving_body()):
            self.send_error(error)
            return
        self.check_body_size()

    def is_receiving_body(self) -> bool:
        """Returns whether the newest request is not whole yet."""
        if not self.exchanges:
            return False
        newest = self.exchanges[-1]
        return not newest.response_bytes and not newest.message.complete

    def handle_head(self, message: httpparse.Message) -> None:
        """Takes a request head; answers once the body has come."""
        exchange = Exchange(message, should_close=message.should_close)
        self.exchanges.append(exchange)
        self.closing = self.closing or exchange.should_close
        if message.complete:
            self.dispatch(exchange)
            return
        expected = message.headers.get("Expect", "").lower()
        if expected == "100-continue" and self.transport is not None:
            self.transport.write(leanhttp.CONTINUE_RESPONSE)

    def dispatch(self, exchange: Exchange) -> None:
        """Has a whole request answered."""
        self.request_started_at = 0.0
        message = exchange.message
        request = leanhttp.Request(
            method=message.method,
            target=message.target,
            headers=message.headers,
            raw_headers=message.raw_headers,
            body=message.body,
        )
        if (
            len(self.exchanges) > MAX_PIPELINED_REQUESTS
            and self.transport is not None
        ):
            self.transport.pause_reading()
        exchange.task = eager.start(self.loop, self.respond(exchange, request))

    def check_body_size(self) -> None:
        """Refuses a body that is too long before all of it has come."""
        if not self.is_receiving_body():
            return
        newest = self.exchanges[-1]
        body_bytes = max(
            newest.message.content_length, newest.message.body_size
        )
        if body_bytes > self.listener.limits.max_body_bytes:
            newest.response_bytes = leanhttp.encode_response(
                self.listener.too_large_response, True, False
            )
            newest.should_close = True
            self.closing = True
            self.flush()

    async def respond(
        self, exchange: Exchange, request: leanhttp.Request
    ) -> None:
        """Answers one request."""
        try:
            response = await self.listener.handler(request, self)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001
            logs.say(logs.Part.CALL, "request failed", why=repr(error))
            response = leanhttp.Response(status=502)
        # Closed before the answers behind it, requests that run already would
        # be sent again by their caller.
        newest = self.exchanges[-1] if self.exchanges else None
        if self.listener.leaving and newest is exchange:
            exchange.should_close = True
            self.closing = True
        exchange.response_bytes = leanhttp.encode_response(
            response, exchange.should_close, request.method == "HEAD"
        )
        self.flush()

    def send_error(self, error: httpparse.ParseError) -> None:
        """Answers bytes that are no request, behind the answers due."""
        self.closing = True
        response_bytes = leanhttp.encode_response(
            leanhttp.Response(status=error.status), True, False
        )
        # A request whose body broke off is answered in its own place.
        if self.is_receiving_body():
            self.exchanges.pop()
        exchange = Exchange(
            None, response_bytes=response_bytes, should_close=True
        )
        self.exchanges.append(exchange)
        self.flush()

    def flush(self) -> None:
        """Writes the answers that are due, in the order of the requests."""
        transport = self.transport
        if transport is None:
            return
        self.last_activity = self.loop.time()
        encoded = []
        should_close = False
        while (
            self.exchanges
            and self.exchanges[0].response_bytes
            and not should_close
        ):
            exchange = self.exchanges.popleft()
            encoded.append(exchange.response_bytes)
            should_close = exchange.should_close
        if encoded:
            transport.write(
                encoded[0] if len(encoded) == 1 else b"".join(encoded)
            )
        if should_close:
            self.close()
        elif (
            len(self.exchanges) <= MAX_PIPELINED_REQUESTS
            and not self.writing_paused
        ):
            transport.resume_reading()

    def time_out(self) -> None:
        """Gives up a request that does not come to its end.

        Those before it are answered.
        """
        self.closing = True
        if self.is_receiving_body():
            self.exchanges.pop()
        if not self.exchanges:
            self.close()
            return
        self.exchanges[-1].should_close = True
        self.flush()

    def close(self) -> None:
        """Ends the connection; requests behind the answer were not run.

        Closed with bytes that nobody has read, it would be reset, and the
        reset destroys answers that the caller has not taken yet.  So it is
        only closed for writing, and what still comes is thrown away.
        """
        self.closing = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
        transport = self.transport
        if transport is None or self.half_close_timer is not None:
            return
        self.half_close_timer = self.loop.call_later(
            HALF_CLOSE_SECONDS, transport.close
        )
        transport.write_eof()
        transport.resume_reading()

    def eof_received(self) -> bool:
        """Takes a caller that sends no more for one that is gone."""
        return False

    def has_pending_responses(self) -> bool:
        """Returns whether an answer is due, or not yet with the kernel."""
        if any(
            exchange.task or exchange.response_bytes
            for exchange in self.exchanges
        ):
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def is_slow(self, cutoff: float) -> bool:
        """Returns whether a request began before a loop time and is not whole.

        A caller that sends a byte now and then would hold a connection, and
        what has come of its request, for ever.
        """
        return (
            0 < self.request_started_at < cutoff
            and self.half_close_timer is None
        )

    def is_idle(self, cutoff: float) -> bool:
        """Returns whether no request is open since a loop time."""
        return not self.exchanges and self.last_activity < cutoff


class Listener:
    """One HTTP listener.

    Attributes:
      address: where it listens; with port 0, the port taken once started.
      rounds: looks at its connections.
      leaving: every answer closes its connection.
      too_large_response: the answer to a body above the limit.
    """

    def __init__(
        self, address: options.Address, handler: Handler, limits: Limits
    ):
        self.address = address
        self.handler = handler
        self.limits = limits
        self.rounds: rounds.Rounds[Connection] = rounds.Rounds(
            SWEEP_SECONDS, self.check_connection
        )
        self.leaving = False
        self.too_large_response = TOO_LARGE_RESPONSE
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        loop = asyncio.get_running_loop()
        server_coroutine = loop.create_server(
            lambda: Connection(self),
            self.address.ip,
            self.address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self.server = await listening.open_server(
            self.address, server_coroutine
        )
        self.address = listening.bound_to(self.address, self.server)

    @property
    def connections(self) -> set[Connection]:
        """Its connections."""
        return self.rounds.items

    def check_connection(self, connection: Connection) -> None:
        """Closes a connection that was idle, or sends, for too long."""
        now = asyncio.get_running_loop().time()
        if connection.is_slow(now - self.limits.read_timeout):
            connection.time_out()
        elif connection.is_idle(now - self.limits.idle_timeout):
            connection.close()

    @property
    def busy(self) -> bool:
        """Whether a caller waits for an answer, or has not taken one."""
        return any(
            connection.has_pending_responses()
            for connection in self.connections
        )

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
        deadline = loop.time() + seconds
        while self.busy and loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL)
        undelivered = sum(
            connection.has_pending_responses()
            for connection in self.connections
        )
        for connection in list(self.connections):
            connection.close()
        deadline = min(deadline, loop.time() + SHUTDOWN_HALF_CLOSE_SECONDS)
        while self.connections and loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL)
        for connection in list(self.connections):
            connection.transport.close()
        await asyncio.sleep(0)
        return undelivered
