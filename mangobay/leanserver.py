"""Lean HTTP/1.1 server: handles complete requests, responds in their order."""

import asyncio
import collections
import collections.abc
import dataclasses
import functools

from mangobay import (
    badinput,
    delivery,
    eager,
    exchanges,
    halfclose,
    httpparse,
    leanhttp,
    listening,
    logs,
    options,
    periodic,
    receivedbytes,
    refusals,
    requestbody,
    requestmemory,
    responsestream,
    responsewriter,
    smallreads,
    sockets,
    turns,
    unreadinput,
    unsentresponses,
)

Handler = collections.abc.Callable[
    [leanhttp.Request, "Connection"],
    collections.abc.Awaitable[leanhttp.Response],
]

BACKLOG = 1024
"""Connections in the accept queue; a burst of callers opens hundreds."""
MAX_PIPELINED_REQUESTS = 16
"""Requests of one connection handled concurrently; others wait unparsed."""
MAX_REQUESTS_AHEAD = 1024
"""Requests of a listener handled concurrently besides the first one of each
connection; others wait unparsed."""
DIRECT_REQUESTS = 4
"""Requests that a connection starts as it reads them; others take turns."""
MAX_HELD_BYTES = 256 * 1024
"""Bytes of the unanswered requests of a connection; reading pauses above it."""
MAX_LARGE_REQUESTS = 64
"""Large requests of a listener that are handled concurrently."""
INTERNAL_CONNECTIONS = 256
"""Connections of a port that no caller uses."""
INTERNAL_PIECE_BYTES = 4 * 1024
"""Bytes parsed at a time on a port without pipelining."""
INTERNAL_REQUEST_BYTES = 4 * 1024 * 1024
"""Bytes that the requests of a port hold that no caller uses."""
BODY_STALL_SECONDS = 10.0
"""Seconds in which a caller has to send some of the body of its request."""
MAX_PREFIX_SECONDS = 30.0
"""Seconds that the body of a small request, or the first bytes of a larger one,
may take."""
TIMEOUT_STATUS = 408
BODY_TOO_LARGE_STATUS = 413
HEAD_TOO_LARGE_STATUS = 431
HALF_CLOSE_SECONDS = 1.0
"""Seconds that a caller has to close a half-closed connection once it has
acknowledged all responses and sends no more; more than a round trip between
distant regions."""
HALF_CLOSE_CHECKS = 10
"""Checks of a half-closed connection within that time."""
SHUTDOWN_HALF_CLOSE_SECONDS = 0.2
"""Seconds for the same when the process shuts down."""
SHUTDOWN_STALL_SECONDS = 1.0
"""Seconds without an acknowledgement after which a shutdown waits no more for
what the kernel still holds."""
CLOSE_POLL = 0.01
"""Seconds between checks whether the last responses have been sent."""
MAX_UNHELD_BYTES = 16 * 1024
"""Memory of a connection that is not on the account of received bytes; the same
of its write buffer, which is full above it."""
SWEEP_SECONDS = 1.0
"""Seconds between checks for idle and slow connections."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Limits on what callers may send.

    Attributes:
      max_line_bytes: limit of the request line, and of each header.
      max_head_bytes: limit of the request target and all headers together.
      max_body_bytes: limit of a request body; 0 if the port expects none.
      read_timeout: seconds from the first byte of a request to the end of its
        head.
      idle_timeout: seconds until a connection without requests is closed.
      max_request_bytes: limit of what all requests hold together while they
        are received and handled, None for no limit besides the others.
      max_connections: connections that may be open at the same time.
      pipelining: whether requests are handled that come before the response to
        the one before them; if not, that response closes the connection.
      stall_timeout: seconds in which the caller of a large response has to
        read something.
    """

    max_line_bytes: int = leanhttp.MAX_LINE_BYTES
    max_head_bytes: int = httpparse.MAX_HEAD_BYTES
    max_body_bytes: int = 0
    max_request_bytes: int | None = None
    read_timeout: float = 10.0
    idle_timeout: float = 75.0
    max_connections: int = 2048
    pipelining: bool = True
    stall_timeout: float = responsestream.STALL_SECONDS


def internal_limits(max_body_bytes: int) -> Limits:
    """Returns the limits of a port that no caller uses.

    Args:
      max_body_bytes: limit of a request body; 0 if the port expects none.
    """
    return Limits(
        max_body_bytes=max_body_bytes,
        max_request_bytes=INTERNAL_REQUEST_BYTES,
        max_connections=INTERNAL_CONNECTIONS,
        pipelining=False,
    )


class Connection(leanhttp.BaseConnection, smallreads.SmallReads):
    """One connection from a caller.

    Attributes:
      remote: IP address of the caller.
      exchanges: requests whose responses are not written yet, oldest first.
      last_activity: loop time at which bytes were last received or written.
      request_started_at: loop time of the first byte of an incomplete head, or
        0.
      body_received_at: loop time at which a part of a body was last received,
        or could be received again.
      closing: no further requests are accepted.
      half_close_probe: set once the caller has closed its sending side while
        it awaits responses.
      half_close_timer: set once the connection is half-closed; closes it.
      unread: what comes after the last request that is read; None before.
      delivery: what the caller has acknowledged of its responses.
      write_gate: closed while the write buffer is full; None before the first
        large response.
      starting: the request whose handler is being started, else None.
      reading_paused: reading is paused.
      unsent: holds the responses in the write buffer while that is full.
      holder: the request behind which no other is dispatched until its
        response is written; None if there is none.
      held_bytes: bytes received since no request was incomplete or unanswered.
      requests_in_read: requests that began in the bytes of the last read.
      unparsed: received bytes that wait to be parsed, while reading is paused.
      ahead_count: requests besides the first one that are in hand.
      is_held: the connection is on the account of received bytes.
    """

    __slots__ = (
        "__weakref__",
        "ahead_count",
        "body_received_at",
        "last_activity",
        "request_started_at",
        "half_close_probe",
        "half_close_timer",
        "closing",
        "delivery",
        "exchanges",
        "held_bytes",
        "holder",
        "is_held",
        "listener",
        "parser",
        "reading_paused",
        "remote",
        "requests_in_read",
        "starting",
        "unparsed",
        "unread",
        "unsent",
        "write_gate",
    )

    def __init__(self, listener: "Listener"):
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self.parser = httpparse.RequestParser(
            listener.limits.max_line_bytes, listener.limits.max_head_bytes
        )
        self.listener = listener
        self.remote = ""
        self.exchanges: collections.deque[exchanges.Exchange] = (
            collections.deque()
        )
        self.last_activity = loop.time()
        self.request_started_at = 0.0
        self.body_received_at = 0.0
        self.closing = False
        self.half_close_probe: halfclose.HalfCloseProbe | None = None
        self.half_close_timer: asyncio.TimerHandle | None = None
        self.unread: unreadinput.UnreadInput | None = None
        self.delivery = delivery.Delivery()
        self.write_gate: responsestream.WriteGate | None = None
        self.starting: exchanges.Exchange | None = None
        self.holder: exchanges.Exchange | None = None
        self.held_bytes = 0
        self.requests_in_read = 0
        self.unparsed = b""
        self.ahead_count = 0
        self.is_held = False
        self.reading_paused = False
        self.unsent: unsentresponses.UnsentResponses | None = None

    def connection_made(self, transport) -> None:
        """Registers the connection; closes one if there are too many."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.remote = peer[0] if peer else ""
        transport.set_write_buffer_limits(high=MAX_UNHELD_BYTES)
        self.listener.connection_check.add(self)
        if (
            len(self.listener.connections)
            > self.listener.limits.max_connections
        ):
            self.listener.close_excess(self)

    def connection_lost(self, exc) -> None:
        """Cancels the requests whose responses the caller no longer awaits."""
        super().connection_lost(exc)
        self.release_unsent()
        self.parser.close()
        if self.half_close_probe is not None:
            self.half_close_probe.cancel()
        if self.half_close_timer is not None:
            self.half_close_timer.cancel()
        self.listener.connection_check.discard(self)
        self.drop_unparsed()
        self.cancel_exchanges()
        self.holder = None
        self.count_held(0)

    def cancel_exchanges(self) -> None:
        """Cancels the requests without response."""
        receivedbytes.account.release(self)
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
            if exchange.rest is not None:
                exchange.rest.cut_off("the connection of the caller has ended")
        self.exchanges.clear()
        self.count_ahead()

    def count_ahead(self) -> None:
        """Updates the number of requests in hand besides the first one."""
        ahead_count = max(len(self.exchanges) - 1, 0)
        self.listener.requests_ahead += ahead_count - self.ahead_count
        self.ahead_count = ahead_count

    def update_held(self) -> None:
        """Updates what the connection holds of the account of received bytes.

        This may end the connection.
        """
        transport = self.transport
        held_bytes = 0
        if transport is not None and not transport.is_closing():
            held_bytes = len(self.unparsed) + self.parser.head_memory
            for exchange in self.exchanges:
                held_bytes += exchange.memory_bytes
        if held_bytes > MAX_UNHELD_BYTES or (
            held_bytes and self.is_receiving_body() and self.is_refusable()
        ):
            self.is_held = True
            receivedbytes.account.hold(self, held_bytes)
        elif self.is_held:
            self.is_held = False
            receivedbytes.account.release(self)

    def pause_writing(self) -> None:
        """Pauses reading while the caller does not read its responses.

        Responses that are not read take up memory of this process.
        """
        super().pause_writing()
        if self.write_gate is not None:
            self.write_gate.close()
        self.pause_reading()
        self.unsent = unsentresponses.UnsentResponses(self.transport)

    def release_unsent(self) -> None:
        """Notes that the write buffer has drained."""
        if self.unsent is not None:
            self.unsent.release()
            self.unsent = None

    def resume_writing(self) -> None:
        """Resumes reading.

        While a large response is written, only reading notices that its caller
        disconnects, so it resumes also if no more requests are accepted.
        """
        super().resume_writing()
        self.release_unsent()
        if self.write_gate is not None:
            self.write_gate.open()
        if not self.closing or self.is_streaming() or self.is_receiving_body():
            self.resume_reading()

    def pause_reading(self) -> None:
        """Pauses reading."""
        if self.transport is not None:
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading unless requests or responses use too much memory."""
        if not self.reading_paused or self.transport is None:
            return
        if self.half_close_probe is not None:
            # Nothing follows, and the probe notices when the caller has gone.
            return
        if self.writing_paused or self.is_holding_much():
            return
        if self.unparsed:
            self.listener.turns.add(self)
            return
        self.reading_paused = False
        if self.parser.in_head:
            self.request_started_at = self.loop.time()
        self.body_received_at = self.loop.time()
        self.transport.resume_reading()

    def is_holding_much(self) -> bool:
        """Returns whether the requests use too much memory to read further."""
        if not self.exchanges:
            return False
        count = len(self.exchanges)
        newest = self.exchanges[-1]
        if newest.rest is not None:
            if receivedbytes.account.is_scarce:
                return newest.rest.unread_bytes > 0
            return newest.rest.unread_bytes >= requestbody.PAUSE_BYTES
        if count == 1:
            # Nothing else on the connection has to be answered first.
            return False
        if count >= MAX_PIPELINED_REQUESTS:
            return True
        held_bytes = sum(
            exchange.message.body_size
            for exchange in self.exchanges
            if exchange.message is not None and exchange.rest is None
        )
        return held_bytes > MAX_HELD_BYTES

    def consumed(self, byte_count: int) -> None:
        """Resumes reading once enough of a large body was passed on."""
        del byte_count
        self.resume_reading()

    def abandoned(self) -> None:
        """Does nothing: the connection closes after an incomplete request."""

    def data_received(self, data: bytes) -> None:
        """Parses bytes and dispatches the requests that they complete."""
        self.last_activity = self.loop.time()
        if self.listener.limits.pipelining:
            self.unparsed += data
            if self.handle_unparsed(DIRECT_REQUESTS):
                self.listener.turns.add(self)
        elif self.closing and not self.is_receiving_body():
            self.discard(data)
            return
        else:
            self.handle_in_pieces(data)
        self.count_held(len(data))
        self.update_held()

    def max_read_bytes(self) -> int:
        """Returns how much the next read may return."""
        if self.is_receiving_body():
            return smallreads.BODY_READ_BYTES
        return smallreads.READ_BYTES

    def handle_unparsed(self, request_count: int) -> bool:
        """Parses received bytes up to the end of some requests.

        Reading is paused while any are left.

        Returns:
          Whether the next request may start at once.
        """
        data, self.unparsed = self.unparsed, b""
        start = 0
        while start < len(data):
            if self.closing and not self.is_receiving_body():
                self.discard(data[start:])
                return False
            waits = self.must_wait()
            if waits or request_count <= 0:
                self.unparsed = data[start:]
                self.pause_reading()
                return not waits
            end = self.parser.next_piece(data, start)
            if self.rejects_empty_lines():
                return False
            whole = start == 0 and end == len(data)
            self.handle_data(data if whole else data[start:end])
            request_count -= self.parser.message is None
            start = end
        return False

    def must_wait(self) -> bool:
        """Returns whether nothing is parsed before responses are written."""
        if self.writing_paused or self.is_holding_much():
            return True
        return (
            bool(self.exchanges)
            and not self.is_receiving_body()
            and (
                self.listener.requests_ahead >= MAX_REQUESTS_AHEAD
                or receivedbytes.account.is_scarce
            )
        )

    def take_turn(self) -> bool:
        """Starts the next request; returns whether another one may follow."""
        if self.transport is None or not self.unparsed:
            return False
        goes_on = self.handle_unparsed(1)
        self.update_held()
        if not goes_on:
            self.resume_reading()
        return goes_on

    def drop_unparsed(self) -> None:
        """Drops what was not parsed: it is behind the last request."""
        self.unparsed = b""
        self.listener.turns.discard(self)

    def handle_in_pieces(self, data: bytes) -> None:
        """Parses bytes up to the second request in them.

        A read may hold thousands of requests, and parsing them would delay
        everything else.
        """
        self.requests_in_read = 0
        for start in range(0, len(data), INTERNAL_PIECE_BYTES):
            if self.closing and not self.is_receiving_body():
                return
            self.parser.skip_empty_lines(data, start)
            if self.rejects_empty_lines():
                return
            self.handle_data(data[start : start + INTERNAL_PIECE_BYTES])

    def rejects_empty_lines(self) -> bool:
        """Returns whether empty lines without end were rejected."""
        error = self.parser.error
        if error is None or self.closing:
            return False
        self.send_error(error)
        return True

    def handle_data(self, data: bytes) -> None:
        """Parses bytes of which the connection still takes notice."""
        receiving = self.exchanges[-1] if self.is_receiving_body() else None
        new_messages = self.parser.feed(data)
        if receiving is not None:
            self.receive_body(receiving)
        if not self.listener.limits.pipelining:
            self.end_pipelining(new_messages)
        for message in new_messages:
            if not self.closing:
                self.handle_head(message)
        error = self.parser.error
        if error is not None and (not self.closing or self.is_receiving_body()):
            self.send_error(error)
            return
        if new_messages and not self.parser.in_head:
            self.request_started_at = 0.0
        else:
            has_message = receiving is not None or bool(new_messages)
            self.update_request_start(has_message)
        if self.exchanges and self.is_holding_much():
            self.pause_reading()

    def discard(self, data: bytes) -> None:
        """Discards input behind the last request that is read."""
        if self.unread is not None and not self.unread.discard(
            data, self.last_activity
        ):
            self.pause_reading()

    def read_no_more(self, message: httpparse.Message | None) -> None:
        """Discards further input.

        Args:
          message: the request whose rest is discarded; None if all requests
            were received in full.
        """
        if self.unread is None:
            now = self.loop.time()
            self.unread = unreadinput.UnreadInput(
                self.parser, message, started_at=now, received_at=now
            )

    def end_pipelining(self, new_messages: list[httpparse.Message]) -> None:
        """Handles no request that came before the response to another one."""
        if not new_messages:
            return
        if self.exchanges:
            self.exchanges[-1].should_close = True
            self.closing = True
        elif self.requests_in_read:
            self.close()
        elif len(new_messages) > 1:
            new_messages[0].should_close = True
        self.requests_in_read += len(new_messages)

    def count_held(self, received_bytes: int) -> None:
        """Updates what the requests of the connection hold.

        Args:
          received_bytes: what they hold besides; nothing if they have ended.
        """
        memory = self.listener.request_memory
        if memory is None:
            return
        self.held_bytes += received_bytes
        has_requests = bool(self.exchanges) or self.parser.in_head
        has_ended = self.transport is None or self.half_close_timer is not None
        if has_ended or not has_requests:
            self.held_bytes = 0
        memory.update(self, self.held_bytes)

    def update_request_start(self, has_message: bool) -> None:
        """Updates when an incomplete head began.

        Args:
          has_message: whether the last bytes belong to a message whose head is
            complete; empty lines alone count as the start of a head.
        """
        is_head = self.parser.in_head or not has_message
        if not is_head:
            self.request_started_at = 0.0
        elif not self.request_started_at or has_message:
            self.request_started_at = self.last_activity

    def is_receiving_body(self) -> bool:
        """Returns whether the body of the newest request is incomplete."""
        if not self.exchanges:
            return False
        newest = self.exchanges[-1]
        return not newest.response_bytes and not newest.message.complete

    def handle_head(self, message: httpparse.Message) -> None:
        """Registers a request and dispatches it if it is complete."""
        exchange = exchanges.Exchange(
            message,
            received_at=self.last_activity,
            should_close=message.should_close,
        )
        self.exchanges.append(exchange)
        self.count_ahead()
        self.closing = self.closing or exchange.should_close
        if message.complete and not message.body_size:
            self.dispatch(exchange)
            return
        self.receive_body(exchange)
        if message.complete or exchange.response_bytes:
            return
        expected = message.headers.get("Expect", "").lower()
        exchange.awaits_continue = expected == "100-continue"
        self.send_continue()

    def send_continue(self) -> None:
        """Asks for the body of the oldest request if its caller waits for that.

        Within or before another response, its caller would take the interim
        response for a part of that one.
        """
        if len(self.exchanges) != 1 or self.transport is None:
            return
        (oldest,) = self.exchanges
        if oldest.awaits_continue and self.is_receiving_body():
            oldest.awaits_continue = False
            oldest.received_at = self.body_received_at = self.loop.time()
            self.transport.write(leanhttp.CONTINUE_RESPONSE)

    def receive_body(self, exchange: exchanges.Exchange) -> None:
        """Takes the received part of a body; dispatches the request if it may."""
        self.body_received_at = self.last_activity
        message = exchange.message
        body_bytes = max(message.content_length, message.body_size)
        if body_bytes > self.listener.limits.max_body_bytes:
            self.reject_body_size(exchange)
        elif exchange.rest is not None:
            exchange.rest.feed(message.take_body())
            if message.complete:
                exchange.rest.finish()
        elif exchange.task is None and (
            message.complete or self.is_large(message)
        ):
            self.dispatch(exchange)

    def drop_received(self) -> None:
        """Refuses the request that is being received, or resets the connection.

        Requests that are handled are not refused: they may have had an effect.
        """
        if self.is_refusable():
            self.refuse_received()
        else:
            self.transport.abort()

    def is_large(self, message: httpparse.Message) -> bool:
        """Returns whether a request is handled while its body is received."""
        return (
            message.body_size > requestbody.PREFIX_BYTES
            and self.listener.continues_bodies
        )

    def dispatch(self, exchange: exchanges.Exchange) -> None:
        """Handles a complete request, at once unless another one holds it."""
        if self.holder is None:
            self.start(exchange)

    def hold_pipelining(self) -> None:
        """Dispatches no further request until the response is written.

        Handlers call it before their first wait if their response may be large.
        A large response that is not read until those before it are written
        would keep its slot at the backend server, and would time out.
        """
        self.holder = self.starting

    def release_held(self, exchange: exchanges.Exchange) -> None:
        """Dispatches the requests behind a request if it holds them."""
        if self.holder is exchange:
            # Handlers start at once only outside of tasks.
            self.loop.call_soon(self.dispatch_held)

    def dispatch_held(self) -> None:
        """Dispatches requests in their order until one holds the others."""
        self.holder = None
        for exchange in list(self.exchanges):
            if self.holder is not None or self.half_close_timer is not None:
                return
            message = exchange.message
            if (
                exchange.task is None
                and not exchange.response_bytes
                and message is not None
                and (message.complete or self.is_large(message))
            ):
                self.start(exchange)
        self.resume_reading()

    def start(self, exchange: exchanges.Exchange) -> None:
        """Starts the handler of a complete request."""
        message = exchange.message
        body = message.body
        if len(body) > requestbody.PREFIX_BYTES and self.is_large(message):
            if self.listener.large_requests >= MAX_LARGE_REQUESTS:
                self.refuse(exchange)
                return
            body = self.continue_body(exchange)
        request = leanhttp.Request(
            method=message.method,
            target=message.target,
            headers=message.headers,
            raw_headers=message.raw_headers,
            body=body,
            rest=exchange.rest,
        )
        self.starting = exchange
        exchange.task = eager.start_task(
            self.loop, self.respond(exchange, request)
        )
        self.starting = None
        if exchange.rest is not None:
            exchange.task.add_done_callback(
                functools.partial(self.listener.end_large_request, exchange)
            )

    def continue_body(self, exchange: exchanges.Exchange) -> bytes:
        """Returns the first bytes of a large body; the rest follows them."""
        receivedbytes.account.release(self)
        message = exchange.message
        received = message.take_body()
        length = None
        if "Content-Length" in message.headers:
            length = message.content_length - requestbody.PREFIX_BYTES
        exchange.rest = requestbody.RequestBody(
            length, self, self.listener.replay_budget
        )
        self.listener.large_requests += 1
        exchange.rest.feed(received[requestbody.PREFIX_BYTES :])
        if message.complete:
            exchange.rest.finish()
        return received[: requestbody.PREFIX_BYTES]

    def reject_body_size(self, exchange: exchanges.Exchange) -> None:
        """Rejects a body above the limit."""
        response = self.listener.limit_response(BODY_TOO_LARGE_STATUS)
        if exchange.task is not None:
            exchange.task.cancel()
            exchange.rest.cut_off("the body is too large")
            if response.status != BODY_TOO_LARGE_STATUS:
                # The part that was passed on may have run.
                response = leanhttp.Response(status=refusals.UNKNOWN_STATUS)
        self.end_unread(exchange, response)

    def refuse(self, exchange: exchanges.Exchange) -> None:
        """Refuses a request that was not handled."""
        exchange.message.take_body()
        response = refusals.retry_later_response()
        if exchange.message.complete:
            exchange.response_bytes = leanhttp.encode_response(
                response, exchange.should_close, False
            )
            self.flush()
        else:
            self.end_unread(exchange, response)

    def refuse_incomplete(self) -> None:
        """Ends a request whose body is not complete.

        It is refused if no handler has it yet; otherwise its handler fails and
        gives the response.
        """
        if not self.is_receiving_body():
            return
        newest = self.exchanges[-1]
        if newest.rest is not None:
            newest.rest.cut_off("the process stops")
        elif newest.task is None:
            self.end_unread(newest, refusals.retry_later_response())

    def awaits_caller(self, quiet_seconds: float) -> bool:
        """Returns whether the rest of a body has yet to come from its caller.

        What it has sent may wait in the kernels of both hosts while reading is
        paused.

        Args:
          quiet_seconds: time without input after which nothing is on its way.
        """
        if self.reading_paused or sockets.count_unread_bytes(self.transport):
            return False
        return self.loop.time() - self.body_received_at >= quiet_seconds

    def is_refusable(self) -> bool:
        """Returns whether a request is incomplete and has no handler."""
        if self.half_close_timer is not None:
            return False
        if self.is_receiving_body():
            return self.exchanges[-1].task is None
        return self.parser.in_head and not self.closing

    def refuse_received(self) -> None:
        """Refuses a request that is incomplete and has no handler."""
        if self.is_receiving_body():
            self.refuse_incomplete()
        else:
            self.end_unparsed(refusals.retry_later_response())
        self.parser.drop_message()
        if self.unread is not None:
            self.unread.message = None

    def end_unread(
        self, exchange: exchanges.Exchange, response: leanhttp.Response
    ) -> None:
        """Responds to a request of which no more is read."""
        receivedbytes.account.release(self)
        exchange.message.drop_body()
        exchange.response_bytes = leanhttp.encode_response(
            response, True, False
        )
        exchange.should_close = True
        self.closing = True
        self.read_no_more(exchange.message)
        self.flush()

    async def respond(
        self, exchange: exchanges.Exchange, request: leanhttp.Request
    ) -> None:
        """Runs the handler on a request and writes its response."""
        try:
            response = await self.listener.handler(request, self)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001
            logs.log_event(
                logs.Component.CALL, "request failed", why=repr(error)
            )
            response = leanhttp.Response(status=502)
        # Only the newest response closes the connection. If requests that
        # already run lost their responses, their caller would send them again.
        newest = self.exchanges[-1] if self.exchanges else None
        is_unread = not exchange.message.complete
        if is_unread or (self.listener.leaving and newest is exchange):
            exchange.should_close = True
            self.closing = True
        if is_unread:
            self.read_no_more(exchange.message)
        if response.stream is not None:
            await self.write_stream(exchange, response)
            return
        exchange.response_bytes = leanhttp.encode_response(
            response, exchange.should_close, request.method == "HEAD"
        )
        self.flush()
        self.release_held(exchange)

    async def write_stream(
        self, exchange: exchanges.Exchange, response: leanhttp.Response
    ) -> None:
        """Writes a large response once those before it are written."""
        exchange.turn = asyncio.Event()
        try:
            self.flush()
            await exchange.turn.wait()
            if response.stream.state is responsestream.State.CUT_OFF:
                self.replace_stream(exchange)
                return
            framing = responsewriter.choose_framing(
                response.stream, exchange.message.is_http10
            )
            if framing is responsewriter.Framing.CLOSE:
                exchange.should_close = self.closing = True
            exchange.framing = framing
            complete = await self.make_writer().write(
                response, framing, exchange.should_close
            )
        finally:
            response.stream.abandon()
        self.end_stream(exchange, complete)

    def make_writer(self) -> responsewriter.ResponseWriter:
        """Returns the writer of a large response."""
        if self.write_gate is None:
            self.write_gate = responsestream.WriteGate()
            self.write_gate.closed = self.writing_paused
        return responsewriter.ResponseWriter(
            self.transport, self.write_gate, self.listener.limits.stall_timeout
        )

    def replace_stream(self, exchange: exchanges.Exchange) -> None:
        """Responds with an error in place of a body that was cut off."""
        exchange.turn = None
        exchange.response_bytes = leanhttp.encode_response(
            leanhttp.Response(status=502), exchange.should_close, False
        )
        self.flush()
        self.release_held(exchange)

    def is_streaming(self) -> bool:
        """Returns whether a large response is being written."""
        if not self.exchanges:
            return False
        turn = self.exchanges[0].turn
        return turn is not None and turn.is_set()

    def end_stream(self, exchange: exchanges.Exchange, complete: bool) -> None:
        """Continues after a large response, or closes the connection."""
        self.exchanges.popleft()
        self.count_ahead()
        self.delivery.start(self.loop.time())
        if exchange.should_close or not complete:
            self.close()
        else:
            self.flush()
            self.release_held(exchange)

    def send_error(self, error: httpparse.ParseError) -> None:
        """Responds to malformed input after the responses that are due."""
        badinput.refused.record(error.text)
        response = leanhttp.Response(status=error.status)
        if error.status == HEAD_TOO_LARGE_STATUS:
            response = self.listener.limit_response(error.status)
        # The error response takes the place of a request with a malformed body.
        if self.is_receiving_body():
            self.exchanges.pop()
        self.end_unparsed(response)

    def end_unparsed(self, response: leanhttp.Response) -> None:
        """Responds to bytes that are no request yet, and never become one."""
        self.closing = True
        receivedbytes.account.release(self)
        response_bytes = leanhttp.encode_response(response, True, False)
        exchange = exchanges.Exchange(
            None, response_bytes=response_bytes, should_close=True
        )
        self.exchanges.append(exchange)
        self.flush()

    def flush(self) -> None:
        """Writes the available responses in the order of the requests."""
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
            self.delivery.start(self.last_activity)
            if self.unsent is not None:
                self.unsent.hold()
        self.count_ahead()
        if self.exchanges and self.exchanges[0].turn is not None:
            self.exchanges[0].turn.set()
        if should_close:
            self.close()
        else:
            self.send_continue()
            self.count_held(0)
            self.update_held()
            self.resume_reading()

    def time_out(self) -> None:
        """Drops an incomplete head that takes too long.

        The requests before it still get their responses.
        """
        self.closing = True
        if not self.exchanges:
            self.close()
            return
        self.exchanges[-1].should_close = True
        self.flush()

    def close(self) -> None:
        """Half-closes the connection and cancels requests without response.

        Requests received after a closing response have not been run.

        Closing a socket that holds unread bytes, or gets more of them later,
        resets the connection, and the reset discards responses that the caller
        has not read yet.  So only the write side is closed, and further input
        is discarded as long as the caller reads.
        """
        self.closing = True
        cuts_unframed = (
            self.is_streaming()
            and self.exchanges[0].framing is responsewriter.Framing.CLOSE
        )
        self.cancel_exchanges()
        transport = self.transport
        if transport is None or self.half_close_timer is not None:
            return
        if cuts_unframed:
            # An orderly end would complete the response.
            transport.abort()
            return
        if self.half_close_probe is not None:
            # The caller has closed its side: no input can reset the connection.
            self.half_close_probe.cancel()
            transport.close()
        else:
            try:
                transport.write_eof()
            except OSError:
                # The caller has reset the connection.
                transport.abort()
                return
            transport.resume_reading()
        self.drop_unparsed()
        self.read_no_more(None)
        self.delivery.start(self.loop.time())
        self.check_half_closed()
        self.count_held(0)

    def check_half_closed(self) -> None:
        """Closes a half-closed connection that its caller does not close."""
        self.delivery.update(self.transport, self.loop.time())
        if self.delivery.unacknowledged_bytes:
            stall_timeout = self.listener.limits.stall_timeout
            close_at = self.delivery.acknowledged_at + stall_timeout
        else:
            close_at = max(
                self.delivery.acknowledged_at + HALF_CLOSE_SECONDS,
                self.unread.end_at(HALF_CLOSE_SECONDS),
            )
        if self.loop.time() >= close_at:
            if self.transport.get_write_buffer_size():
                # An orderly end would wait until the caller reads.
                self.transport.abort()
            else:
                self.transport.close()
            return
        self.half_close_timer = self.loop.call_later(
            HALF_CLOSE_SECONDS / HALF_CLOSE_CHECKS, self.check_half_closed
        )

    def eof_received(self) -> bool:
        """Returns whether the connection stays open for due responses."""
        if not self.may_await_responses():
            return False
        self.closing = True
        self.exchanges[-1].should_close = True
        if self.half_close_probe is None:
            self.half_close_probe = halfclose.HalfCloseProbe(
                self.transport, lambda: not self.is_streaming()
            )
            self.half_close_probe.check()
        return True

    def may_await_responses(self) -> bool:
        """Returns whether a caller that sends no more may await responses.

        It cannot be told from one that has gone within a response, or if it
        speaks HTTP/1.0, which knows no interim responses.
        """
        return (
            bool(self.exchanges)
            and not self.is_receiving_body()
            and not self.is_streaming()
            and self.half_close_timer is None
            and not any(
                exchange.message is None or exchange.message.is_http10
                for exchange in self.exchanges
            )
        )

    def has_due_responses(self) -> bool:
        """Returns whether a response is due or still in the write buffer."""
        if any(
            exchange.task or exchange.response_bytes
            for exchange in self.exchanges
        ):
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def has_pending_responses(self) -> bool:
        """Returns whether a response is due or still on its way.

        What the kernels hold is discarded if the caller sends anything after
        the process has ended.
        """
        if self.has_due_responses():
            return True
        if self.transport is None:
            return False
        if self.unread is not None and self.unread.is_awaited(self.loop.time()):
            return True
        self.delivery.update(self.transport, self.loop.time())
        stalled_for = self.loop.time() - self.delivery.acknowledged_at
        return self.delivery.pending and stalled_for < SHUTDOWN_STALL_SECONDS

    def is_slow(self, cutoff: float) -> bool:
        """Returns whether an incomplete request began before a loop time.

        A caller that sends a byte now and then would otherwise hold a
        connection, and the memory of its partial request, forever.
        """
        return (
            0 < self.request_started_at < cutoff
            and not self.reading_paused
            and self.half_close_timer is None
        )

    def is_body_slow(self, now: float) -> bool:
        """Returns whether the caller sends the body of a request too slowly."""
        if (
            not self.is_receiving_body()
            or self.reading_paused
            or self.half_close_timer is not None
        ):
            return False
        newest = self.exchanges[-1]
        if newest.awaits_continue:
            return False
        if (
            newest.rest is None
            and now - newest.received_at > MAX_PREFIX_SECONDS
        ):
            return True
        return now - self.body_received_at > BODY_STALL_SECONDS

    def time_out_body(self) -> None:
        """Gives up a request whose body does not come.

        If it is handled already, its handler fails and gives the response.
        """
        newest = self.exchanges[-1]
        if newest.rest is not None:
            newest.rest.cut_off("the caller has stalled")
            return
        newest.message.take_body()
        self.end_unread(newest, leanhttp.Response(status=TIMEOUT_STATUS))

    def is_waiting(self) -> bool:
        """Returns whether nothing happens before the caller sends more."""
        return not self.exchanges or self.is_refusable()

    def eviction_rank(self) -> tuple[bool, bool, float]:
        """Returns a key by which connections that wait are closed in order."""
        has_responded = self.delivery.acknowledged_at > 0
        is_half_closed = self.half_close_timer is not None
        return not is_half_closed, has_responded, self.last_activity

    def is_idle(self, cutoff: float) -> bool:
        """Returns whether the connection has been idle since a loop time."""
        return not self.exchanges and self.last_activity < cutoff


def limits_are_fixed() -> bool:
    """Returns True; stands for limits that come from the settings."""
    return True


class Listener:
    """Accepts HTTP connections on one address.

    Attributes:
      address: address to listen on; port 0 is replaced by the actual port.
      connection_check: checks the connections periodically.
      leaving: connections are closed after their last response.
      continues_bodies: whether the handler takes large requests before their
        end; otherwise it gets whole bodies only.
      large_requests: number of large requests that are handled.
      requests_ahead: requests that are handled besides the first one of each
        connection.
      turns: the order in which requests sent ahead are started.
      replay_budget: bounds what is kept of large requests.
      request_memory: bounds what all requests hold; None without that limit.
      limits_are_current: returns whether the limits of what callers may send
        are certain to be the newest ones.
    """

    def __init__(
        self, address: options.Address, handler: Handler, limits: Limits
    ):
        self.address = address
        self.handler = handler
        self.limits = limits
        self.connection_check: periodic.PeriodicCheck[Connection] = (
            periodic.PeriodicCheck(SWEEP_SECONDS, self.check_connection)
        )
        self.leaving = False
        self.continues_bodies = False
        self.large_requests = 0
        self.requests_ahead = 0
        self.turns = turns.Turns()
        self.replay_budget = requestbody.ReplayBudget()
        self.request_memory = (
            None
            if limits.max_request_bytes is None
            else requestmemory.RequestMemory(limits.max_request_bytes)
        )
        self.limits_are_current: collections.abc.Callable[[], bool] = (
            limits_are_fixed
        )
        self.server = listening.Server(
            address, lambda: Connection(self), backlog=BACKLOG
        )

    async def start(self) -> None:
        """Opens the listening socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        self.server.start()
        self.address = self.server.address

    def limit_response(self, status: int) -> leanhttp.Response:
        """Returns the response to a request above a limit.

        Callers never send it again after such a status, so they are told to
        come again while the limit may have been raised.
        """
        if self.limits_are_current():
            return leanhttp.Response(status=status)
        return refusals.retry_later_response()

    def end_large_request(
        self, exchange: exchanges.Exchange, task: asyncio.Task
    ) -> None:
        """Counts the end of a large request, and releases its body."""
        del task
        exchange.rest.abandon()
        self.large_requests -= 1

    def close_excess(self, newest: Connection) -> None:
        """Closes a connection, as there are too many.

        Where requests are small and short, it is one that only waits for its
        caller to close it, or else the one that has waited longest for a
        request, so that those that send nothing keep out nobody.
        """
        waiting = () if self.limits.pipelining else self.waiting_connections()
        stalest = min(
            (each for each in waiting if each is not newest),
            key=Connection.eviction_rank,
            default=None,
        )
        if stalest is None:
            newest.transport.close()
        else:
            stalest.transport.abort()

    def waiting_connections(self) -> collections.abc.Iterator[Connection]:
        """Yields the connections that wait for their callers."""
        return (
            connection
            for connection in self.connections
            if connection.is_waiting() and not connection.transport.is_closing()
        )

    @property
    def connections(self) -> set[Connection]:
        """The open connections."""
        return self.connection_check.items

    def check_connection(self, connection: Connection) -> None:
        """Closes a connection that is idle or sends a request too slowly."""
        now = asyncio.get_running_loop().time()
        if connection.is_slow(now - self.limits.read_timeout):
            connection.time_out()
        elif connection.is_body_slow(now):
            connection.time_out_body()
        elif connection.is_idle(now - self.limits.idle_timeout):
            connection.close()

    @property
    def busy(self) -> bool:
        """Whether a response is due or not yet sent on any connection."""
        return any(
            connection.has_pending_responses()
            for connection in self.connections
        )

    def refuse_incomplete(
        self,
        is_exempt: collections.abc.Callable[[httpparse.Message], bool],
        quiet_seconds: float = 0.0,
    ) -> None:
        """Ends the requests that wait for the rest of their bodies.

        Args:
          is_exempt: returns whether a request may go on.
          quiet_seconds: time without input after which nothing is on its way.
        """
        for connection in list(self.connections):
            if (
                connection.is_receiving_body()
                and not is_exempt(connection.exchanges[-1].message)
                and connection.awaits_caller(quiet_seconds)
            ):
                connection.refuse_incomplete()

    async def close(self, seconds: float = 0.0) -> int:
        """Stops accepting, completes due responses, closes all connections.

        Args:
          seconds: maximum wait for callers to read their responses.

        Returns:
          Number of connections with a response that was not delivered.
        """
        self.leaving = True
        await self.server.close()
        self.refuse_incomplete(is_exempt=lambda message: False)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self.busy and loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL)
        undelivered = sum(
            connection.has_due_responses() for connection in self.connections
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
