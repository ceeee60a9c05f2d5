"""Lean HTTP/1.1 client for the backend server on this host.

A request is written once and never retried here: only the callers of this
module know whether it may be sent to another backend server.  A response is
accepted only if it is complete and carries the id of its request.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import functools
import math
import re

from mangobay import (
    backend,
    backendbody,
    eager,
    errors,
    httpheaders,
    httpparse,
    ids,
    leanhttp,
    logs,
    options,
    receivedbytes,
    requestbody,
    responsestream,
    sockets,
)
from mangobay.generated import messages

KEEP_ALIVE_SHARE = 0.5
"""Share of the Keep-Alive timeout for which an idle connection is reused; the
rest covers a close that is already on its way."""
MAX_INTERIM_RESPONSES = 64
"""Interim responses to one request; a server may send them without end."""
FIRST_REPEATABLE_STATUS = 300
"""Requests with responses from this status on may be sent again."""
MAX_FAILED_ATTEMPTS = 256
"""Failed attempts after which a connection is closed.

It keeps the id of each.
"""
MAX_LOAD_REPORT_LENGTH = 64
"""Characters of the longest load report that is parsed."""
MAX_CACHED_REPORTS = 4096
"""Load reports of which the parsed form is kept; most responses repeat one."""
MAX_REPORTED_REQUESTS = 1_000_000
"""Largest number of running or waiting requests in a load report."""
MAX_REPORTED_SLOTS = 100_000
"""Largest number of slots in a load report."""
MAX_PACE = 100_000
"""Largest pace in a load report, in percent."""
REPORT_LOG_INTERVAL = 60.0
"""Seconds between two log lines about invalid load reports."""
LOAD_REPORT = re.compile(
    r"(\d+)\s*,\s*(\d+)\s*,\s*(\d+)(?:\s*,\s*(\d+(?:\.\d+)?))?", re.ASCII
)
"""Running, waiting, slots and pace; only the pace may have decimals."""

OnLost = collections.abc.Callable[[bool], None]
OnClosed = collections.abc.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendHeaderNames:
    """Names of the headers exchanged with backend servers.

    Attributes:
      attempt_id: id of the request, in requests and responses.
      deadline: milliseconds left for the response, in requests.
      signature: present in complete responses of a backend server.
      not_run: present in responses to requests that were not run.
      rate_limit: requests per second that the backend server accepts.
      leaving: "1" in responses of a backend server that is shutting down.
      load: requests running, waiting and slots of the backend server and, where
        it shares its machine, its pace, in responses.
      private: lower-case names of response headers that callers do not get.
    """

    attempt_id: str
    deadline: str
    signature: str
    not_run: str
    rate_limit: str
    leaving: str
    load: str
    private: frozenset[str]


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its response.

    Attributes:
      attempt_id: id that the response must carry; empty accepts any response.
      future: receives the response.
      started_at: loop time of the first byte of the request.
      streamed: whether a large response is delivered before its end.
      response: the complete response; None until it is received.
      interim_count: number of interim responses received.
    """

    attempt_id: ids.AttemptId
    future: asyncio.Future
    started_at: float
    streamed: bool = False
    response: backend.Response | None = None
    interim_count: int = 0


class Connection(leanhttp.BaseConnection):
    """One connection to the backend server; carries one request at a time.

    Attributes:
      header_names: names of the headers exchanged with the backend server.
      max_response_bytes: limit of a response body.
      load_reports: parses the load reports in responses.
      pending: the request that awaits its response, None while idle.
      message: the response being received, None before its head is complete.
      large_body: the body of a large response that was delivered before its
        end, None for other responses.
      head_only: carries a HEAD request, whose response never has a body.
      write_gate: closed while the write buffer is full.
      upload: sends the rest of a large request; None if there is none.
      failed_attempts: ids of requests that may be sent again after their
        response; never over this connection, where a second copy of the
        response could not be told apart from the response to the next attempt.
      reusable: another request may follow.
      idle_since: loop time of the last response.
      keep_alive: idle timeout in seconds that the backend server announced.
      on_lost: called when the connection has ended, with whether it was idle
        and closed by the backend server.
    """

    __slots__ = (
        "__weakref__",
        "max_response_bytes",
        "failed_attempts",
        "head_only",
        "idle_since",
        "keep_alive",
        "on_lost",
        "large_body",
        "load_reports",
        "message",
        "header_names",
        "parser",
        "reusable",
        "pending",
        "upload",
        "write_gate",
    )

    def __init__(
        self,
        header_names: BackendHeaderNames,
        max_response_bytes: int,
        head_only: bool,
        load_reports: "LoadReportParser",
    ):
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self.parser = httpparse.ResponseParser(leanhttp.MAX_LINE_BYTES)
        self.head_only = head_only
        self.header_names = header_names
        self.max_response_bytes = max_response_bytes
        self.load_reports = load_reports
        self.pending: PendingRequest | None = None
        self.message: httpparse.Message | None = None
        self.large_body: backendbody.BackendBody | None = None
        self.write_gate = responsestream.WriteGate()
        self.upload: asyncio.Task | None = None
        self.failed_attempts: set[ids.AttemptId] = set()
        self.reusable = not head_only
        self.idle_since = loop.time()
        self.keep_alive = float("inf")
        self.on_lost: OnLost | None = None

    def pause_writing(self) -> None:
        """Stops the upload while the backend server does not read."""
        super().pause_writing()
        self.write_gate.close()

    def resume_writing(self) -> None:
        """Resumes the upload."""
        super().resume_writing()
        self.write_gate.open()

    def send(self, data: bytes, pending: PendingRequest) -> None:
        """Writes a complete request, or its first bytes."""
        self.pending = pending
        self.transport.write(data)

    async def send_rest(
        self, rest: requestbody.Source, attempt: backend.Attempt
    ) -> None:
        """Writes the rest of a request as fast as the server reads it."""
        started_at = self.loop.time()
        is_chunked = rest.length is None
        try:
            while data := await rest.read(responsestream.PART_BYTES):
                await self.write_gate.wait()
                self.write_part(
                    leanhttp.encode_chunk(data) if is_chunked else data
                )
            if is_chunked:
                self.write_part(leanhttp.encode_chunk(b""))
        except errors.ResponseCutOffError:
            self.reusable = False
            if self.message is None:
                self.fail(errors.BackendBrokenError("the request was cut off"))
        finally:
            attempt.upload_seconds = self.loop.time() - started_at
            self.upload = None

    def write_part(self, data: bytes) -> None:
        """Writes bytes unless the connection has ended."""
        if self.transport is not None:
            self.transport.write(data)

    def stop_upload(self) -> None:
        """Stops sending the request; it has its response, or none will come."""
        self.upload.cancel()
        self.upload = None
        self.reusable = False

    def data_received(self, data: bytes) -> None:
        """Parses bytes of a response."""
        if self.pending is None:
            # The bytes belong to no request. The response to a later request
            # could not be told apart from the rest of them.
            self.abort()
            return
        pending = self.pending
        receiving = self.message
        new_messages = self.parser.feed(data)
        if receiving is not None and receiving.complete:
            receivedbytes.account.release(self)
            self.deliver_response()
        for message in new_messages:
            self.handle_head(message)
        if self.message is not None:
            self.receive_body(self.message)
        if self.parser.message is not None:
            self.drop_skipped_body()
        if self.parser.error is not None:
            detail = f"malformed response: {self.parser.error}"
            self.fail(errors.BackendBrokenError(detail))
        self.hand_over_response(pending)

    def handle_head(self, message: httpparse.Message) -> None:
        """Accepts a response whose head is complete."""
        if message.status < httpparse.FIRST_FINAL_STATUS:
            self.count_interim()
            return
        if self.pending is None or self.message is not None:
            self.reusable = False
            return
        attempt_id = message.headers.get(self.header_names.attempt_id)
        if self.pending.attempt_id and attempt_id != self.pending.attempt_id:
            # A duplicate response to an earlier request. The response to this
            # request may still follow, but the connection is not reused.
            self.reusable = False
            return
        self.message = message
        if message.complete or self.head_only:
            self.deliver_response()

    def drop_skipped_body(self) -> None:
        """Drops the body of a response that belongs to no request."""
        if self.parser.message is not self.message:
            self.parser.message.take_body()

    def count_interim(self) -> None:
        """Counts an interim response; fails the request if there are too many."""
        if self.pending is None:
            return
        self.pending.interim_count += 1
        if self.pending.interim_count > MAX_INTERIM_RESPONSES:
            self.fail(errors.BackendBrokenError("too many interim responses"))

    def receive_body(self, message: httpparse.Message) -> None:
        """Takes the received part of a body."""
        if self.large_body is not None:
            self.large_body.receive()
        elif self.should_stream(message):
            receivedbytes.account.release(self)
            self.deliver_head(message)
        elif self.check_size(message):
            receivedbytes.account.hold(self, message.held_bytes)

    def should_stream(self, message: httpparse.Message) -> bool:
        """Returns whether to deliver a response before its end."""
        return (
            self.pending.streamed
            and not self.head_only
            and not self.pending.future.done()
            and backendbody.is_large(message)
        )

    def deliver_head(self, message: httpparse.Message) -> None:
        """Completes the pending request with a response that continues."""
        large_body = backendbody.BackendBody(self, message, self.loop)
        self.large_body = large_body
        seconds = self.loop.time() - self.pending.started_at
        response = self.make_response(message, b"", seconds)
        response.stream = large_body.body
        self.pending.future.set_result(response)
        # Last, as the account of received bytes may cut the body off.
        large_body.receive()

    def check_size(self, message: httpparse.Message) -> bool:
        """Returns whether a response is within the limit; fails it if not."""
        if message.body_size <= self.max_response_bytes:
            return True
        self.fail(
            errors.ResponseTooLargeError(
                f"response body exceeds {self.max_response_bytes} bytes"
            )
        )
        return False

    def drop_received(self) -> None:
        """Fails the request; its response cannot be held until its end."""
        self.fail(
            errors.ResponseTooLargeError("too many bytes of responses are held")
        )

    def deliver_response(self) -> None:
        """Ends the pending request with its response."""
        message, pending = self.message, self.pending
        if message is None or pending is None:
            return
        if pending.streamed and self.deliver_in_parts(message):
            return
        if not self.check_size(message):
            return
        self.message = self.pending = None
        now = self.loop.time()
        self.idle_since = now
        self.update_keep_alive(message)
        if message.status >= FIRST_REPEATABLE_STATUS:
            self.record_failed_attempt(pending.attempt_id)
        body = b"" if self.head_only else message.body
        pending.response = self.make_response(
            message, body, now - pending.started_at
        )

    def deliver_in_parts(self, message: httpparse.Message) -> bool:
        """Completes a large response; returns False for any other."""
        if self.large_body is None and self.should_stream(message):
            self.deliver_head(message)
        large_body, self.large_body = self.large_body, None
        if large_body is None:
            return False
        large_body.receive()
        self.message = self.pending = None
        self.idle_since = self.loop.time()
        self.update_keep_alive(message)
        large_body.body.finish()
        return True

    def make_response(
        self, message: httpparse.Message, body: bytes, seconds: float
    ) -> backend.Response:
        """Returns the response that takes so long, with a body."""
        return backend.Response(
            status=message.status,
            headers=leanhttp.end_to_end_headers(
                message, self.header_names.private
            ),
            body=body,
            seconds=seconds,
            shed=self.header_names.not_run in message.headers,
            server_state=parse_server_state(message, self.header_names),
            load_report=self.load_reports.parse(
                message.headers.get(self.header_names.load),
                self.loop.time(),
            ),
        )

    def record_failed_attempt(self, attempt_id: ids.AttemptId) -> None:
        """Keeps the id of a request that may be sent again."""
        if not attempt_id:
            return
        self.failed_attempts.add(attempt_id)
        if len(self.failed_attempts) >= MAX_FAILED_ATTEMPTS:
            self.reusable = False

    def hand_over_response(self, pending: PendingRequest) -> None:
        """Passes a complete response to the task that awaits it.

        The task runs at once and may reuse the connection, so all received
        bytes must have been handled.
        """
        if pending.response is not None and not pending.future.done():
            eager.set_result(self.loop, pending.future, pending.response)

    def update_keep_alive(self, message: httpparse.Message) -> None:
        """Updates whether and for how long the connection may be reused."""
        if message.should_close or not self.transport:
            self.reusable = False
        elif self.parser.message is not None:
            # Bytes of another message have followed the response.
            self.reusable = False
        elif self.upload is not None or self.transport.get_write_buffer_size():
            # The response came before the request body was fully written.
            self.reusable = False
        header = message.headers.get("Keep-Alive", "")
        for parameter in header.split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                self.keep_alive = int(value) * KEEP_ALIVE_SHARE

    def connection_lost(self, exc) -> None:
        """Completes or fails the pending request."""
        transport = self.transport
        super().connection_lost(exc)
        receivedbytes.account.release(self)
        self.write_gate.open()
        if exc is not None and self.pending is not None:
            # A server that closes before it has read the whole request makes
            # the write of the rest fail before its response is read.
            self.data_received(sockets.read_received(transport))
        self.parser.close()
        if self.on_lost is not None:
            self.on_lost(self.reusable and self.pending is None)
        self.reusable = False
        pending = self.pending
        if pending is None:
            return
        if exc is None and self.message is not None and self.message.until_eof:
            # Without an error: a response cut by a reset is not complete.
            self.deliver_response()
        if self.pending is not None:
            error_class = errors.BackendBrokenError
            if self.message is not None:
                error_class = errors.IncompleteResponseError
            self.fail(
                error_class("connection closed before the end of the response")
            )
        self.hand_over_response(pending)

    def fail(self, error: errors.BackendError) -> None:
        """Fails the pending request and closes the connection."""
        pending, self.pending = self.pending, None
        large_body, self.large_body = self.large_body, None
        self.drop_message()
        self.abort()
        if large_body is not None:
            large_body.body.cut_off(str(error))
        if pending is not None and not pending.future.done():
            pending.future.set_exception(error)

    def drop(self) -> None:
        """Closes the connection; its response is no longer wanted."""
        large_body, self.large_body = self.large_body, None
        self.pending = None
        self.drop_message()
        self.abort()
        if large_body is not None:
            large_body.body.abandon()

    def drop_message(self) -> None:
        """Drops what has been received of a response."""
        receivedbytes.account.release(self)
        if self.message is not None:
            self.message.take_body()
            self.message = None

    def abort(self) -> None:
        """Closes the connection immediately."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def is_usable(self, now: float, max_idle_seconds: float) -> bool:
        """Returns whether the connection may carry another request."""
        idle_seconds = now - self.idle_since
        return (
            self.reusable
            and self.transport is not None
            and not self.transport.is_closing()
            and idle_seconds < min(max_idle_seconds, self.keep_alive)
        )


class Backend:
    """Connection pool for the backend server on this host.

    Attributes:
      header_names: names of the headers exchanged with the backend server.
      max_connections: limit of requests that hold a connection.
      max_idle_seconds: idle connections are not reused after this time.
      max_response_bytes: limit of a response body.
      inflight: number of requests that hold a connection.
      idle_connections: idle connections by address, most recently used last.
      load_reports: parses the load reports in responses.
      open_count: number of open connections, idle ones included.
      is_closed: whether connections are closed after their response.
      on_closed_by_server: called when the backend server has closed an idle
        connection; None if nobody acts on it.
    """

    def __init__(
        self,
        header_names: BackendHeaderNames,
        max_connections: int,
        max_idle_seconds: float,
        max_response_bytes: int,
    ):
        self.header_names = header_names
        self.max_connections = max_connections
        self.max_idle_seconds = max_idle_seconds
        self.max_response_bytes = max_response_bytes
        self.inflight = 0
        self.idle_connections: dict[
            options.Address, collections.deque[Connection]
        ] = collections.defaultdict(collections.deque)
        self.load_reports = LoadReportParser()
        self.open_count = 0
        self.is_closed = False
        self.on_closed_by_server: OnClosed | None = None

    def has_open_connection(self) -> bool:
        """Returns whether a connection to the backend server is open."""
        return self.open_count > 0

    def handle_lost_connection(self, closed_by_server: bool) -> None:
        """Counts the end of a connection."""
        self.open_count -= 1
        if closed_by_server and self.on_closed_by_server is not None:
            self.on_closed_by_server()

    async def send(
        self,
        address: options.Address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Sends a request and returns its response.

        The response is complete, unless the request allows a stream and the
        response is large; it holds the connection until the end of its body.
        Cancelling the task closes the connection, which also stops the work of
        the backend server.

        Raises:
          errors.BackendUnreachableError: no byte was sent.
          errors.BackendBrokenError: sent, but no complete response arrived.
          errors.BackendTimeoutError: sent, but no response until `abort_at`.
          Exception: raised by `before_send`; no byte was sent.
        """
        if self.inflight >= self.max_connections:
            raise errors.BackendUnreachableError(
                "no free connection to the backend server"
            )
        self.inflight += 1
        connection = None
        try:
            attempt_id = self.attempt_id_of(request)
            connection = await self.acquire_connection(
                address, request, attempt_id
            )
            await attempt.prepare()
            if connection.transport is None:
                raise errors.BackendUnreachableError(
                    "connection closed before the request was sent"
                )
            return await self.round_trip(
                connection, request, attempt, attempt_id
            )
        finally:
            if connection is None or connection.large_body is None:
                self.inflight -= 1
                self.release_connection(address, connection)
            else:
                connection.large_body.body.add_end_callback(
                    functools.partial(self.end_request, address, connection)
                )

    async def round_trip(
        self,
        connection: Connection,
        request: backend.Request,
        attempt: backend.Attempt,
        attempt_id: ids.AttemptId,
    ) -> backend.Response:
        """Writes the request and returns its response."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        future = loop.create_future()
        pending = PendingRequest(attempt_id, future, now, request.streamed)
        attempt.sent = True
        connection.send(self.encode_request(request, now), pending)
        if request.rest is not None:
            connection.upload = loop.create_task(
                connection.send_rest(request.rest, attempt)
            )
        timer = loop.call_at(request.abort_at, fail_with_timeout, future)
        try:
            return await future
        except (asyncio.CancelledError, errors.BackendTimeoutError):
            connection.drop()
            raise
        finally:
            timer.cancel()
            if connection.upload is not None:
                connection.stop_upload()

    def attempt_id_of(self, request: backend.Request) -> ids.AttemptId:
        """Returns the attempt id of the request, empty if it has none."""
        return ids.AttemptId(
            httpheaders.find(request.headers, self.header_names.attempt_id)
        )

    def encode_request(self, request: backend.Request, now: float) -> bytes:
        """Returns the bytes of a request, including the time left for it."""
        milliseconds_left = max(int((request.deadline - now) * 1000), 1)
        deadline_header = messages.Header(
            name=self.header_names.deadline, value=str(milliseconds_left)
        )
        return leanhttp.encode_request(
            request.method,
            request.target,
            [*request.headers, deadline_header],
            request.body,
            request.rest,
        )

    async def acquire_connection(
        self,
        address: options.Address,
        request: backend.Request,
        attempt_id: ids.AttemptId,
    ) -> Connection:
        """Returns an idle connection or opens a new one.

        Raises:
          errors.BackendUnreachableError: the connection failed or timed out.
        """
        loop = asyncio.get_running_loop()
        head_only = request.method == "HEAD"
        idle_connections = self.idle_connections[address]
        max_idle_seconds = self.max_idle_seconds
        if not request.idempotent:
            # A backend server may drop an idle connection silently. It is then
            # unknown whether a request sent over that connection ran.
            max_idle_seconds = min(
                max_idle_seconds, backend.NON_IDEMPOTENT_REUSE_SECONDS
            )
        if not head_only:
            connection = take_usable(
                idle_connections,
                attempt_id,
                loop.time(),
                max_idle_seconds,
            )
            if connection is not None:
                return connection
        try:
            async with asyncio.timeout_at(request.abort_at):
                _, connection = await loop.create_connection(
                    lambda: Connection(
                        self.header_names,
                        self.max_response_bytes,
                        head_only,
                        self.load_reports,
                    ),
                    address.ip,
                    address.port,
                )
        except TimeoutError:
            raise errors.BackendUnreachableError(
                "timed out while connecting to the backend server"
            ) from None
        except OSError as error:
            raise errors.BackendUnreachableError(str(error)) from None
        if connection.transport is not None:
            self.open_count += 1
            connection.on_lost = self.handle_lost_connection
        return connection

    def end_request(
        self, address: options.Address, connection: Connection | None
    ) -> None:
        """Counts the end of a request, and releases its connection."""
        self.inflight -= 1
        self.release_connection(address, connection)

    def release_connection(
        self, address: options.Address, connection: Connection | None
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        if connection is None or connection.transport is None:
            return
        is_reusable = connection.reusable and connection.pending is None
        if is_reusable and not self.is_closed:
            self.idle_connections[address].append(connection)
        else:
            connection.transport.close()

    async def close(self) -> None:
        """Closes all idle connections, and others after their response."""
        self.is_closed = True
        for connections in self.idle_connections.values():
            for connection in connections:
                connection.abort()
        self.idle_connections.clear()


def take_usable(
    idle_connections: collections.deque[Connection],
    attempt_id: ids.AttemptId,
    now: float,
    max_idle_seconds: float,
) -> Connection | None:
    """Removes and returns the most recently used connection for a request.

    Connections that may not be used any more are closed.

    Args:
      idle_connections: idle connections, most recently used last.
      attempt_id: id of the request.
      now: loop time.
      max_idle_seconds: seconds for which an idle connection may be used.
    """
    passed_over = []
    found = None
    while idle_connections:
        connection = idle_connections.pop()
        if not connection.is_usable(now, max_idle_seconds):
            connection.abort()
        elif attempt_id in connection.failed_attempts:
            passed_over.append(connection)
        else:
            found = connection
            break
    if passed_over:
        idle_connections.extend(reversed(passed_over))
    return found


def parse_server_state(
    message: httpparse.Message, names: BackendHeaderNames
) -> backend.ServerState | None:
    """Returns what a backend server says about itself, None if invalid."""
    rate_limit = message.headers.get(names.rate_limit)
    leaving = message.headers.get(names.leaving)
    if rate_limit is None and leaving is None:
        return backend.NORMAL_STATE
    try:
        return backend.ServerState(
            rate_limit=parse_rate_limit(rate_limit), leaving=leaving == "1"
        )
    except ValueError as error:
        logs.log_event(
            logs.Component.NODE,
            "state of the backend server ignored",
            why=str(error),
        )
        return None


def parse_rate_limit(value: str | None) -> float | None:
    """Parses a rate limit.

    Raises:
      ValueError: the value is no number, negative or not finite.
    """
    if value is None:
        return None
    rate_limit = float(value)
    if not math.isfinite(rate_limit) or rate_limit < 0:
        raise ValueError(f"{value!r} is no rate limit")
    return rate_limit


class LoadReportParser:
    """Parses the load reports of one backend server.

    Attributes:
      next_log_at: loop time from which on an invalid report is logged.
    """

    __slots__ = ("next_log_at",)

    def __init__(self):
        self.next_log_at = float("-inf")

    def parse(self, value: str | None, now: float) -> backend.LoadReport | None:
        """Returns the report, None if there is none or it is invalid.

        Args:
          value: the value of the header, None without one.
          now: loop time.
        """
        if value is None:
            return None
        try:
            return parse_load_report(value)
        except ValueError as error:
            if now >= self.next_log_at:
                self.next_log_at = now + REPORT_LOG_INTERVAL
                logs.log_event(
                    logs.Component.NODE,
                    "load report of the backend server ignored",
                    why=str(error),
                )
            return None


@functools.lru_cache(maxsize=MAX_CACHED_REPORTS)
def parse_load_report(value: str) -> backend.LoadReport:
    """Parses a load report: three or four figures; results are cached.

    Raises:
      ValueError: the value is too long, malformed, or out of range.
    """
    if len(value) > MAX_LOAD_REPORT_LENGTH:
        raise ValueError(f"{len(value)} characters are no load report")
    match = LOAD_REPORT.fullmatch(value.strip())
    if match is None:
        raise ValueError(f"{value!r} is no load report")
    running, waiting, slots = map(int, match.group(1, 2, 3))
    pace = round(float(match[4])) if match[4] else None
    if (
        max(running, waiting) > MAX_REPORTED_REQUESTS
        or not 1 <= slots <= MAX_REPORTED_SLOTS
        or (pace is not None and not 1 <= pace <= MAX_PACE)
    ):
        raise ValueError(f"{value!r} is out of range")
    return backend.LoadReport(running, waiting, slots, pace)


def fail_with_timeout(future: asyncio.Future) -> None:
    """Fails a request that has no response yet."""
    if not future.done():
        future.set_exception(errors.BackendTimeoutError("no response in time"))
