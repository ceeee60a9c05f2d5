"""Lean HTTP/1.1 connections to the backend server on this host.

A request is written once and never again: whether it may go to another
backend server is decided by whoever knows what may be repeated.  An answer is
taken only where it is whole and names the request that it belongs to.
"""

import asyncio
import collections
import collections.abc
import dataclasses

from mangobay import (
    backend,
    errors,
    httpheaders,
    httpparse,
    ids,
    leanhttp,
    options,
)
from mangobay.generated import messages

KEEP_ALIVE_SHARE = 0.5
"""Share of the time told in Keep-Alive after which a connection is not used
again: the rest covers a close that is already on its way."""
FIRST_FINAL_STATUS = 200
"""Statuses below are interim answers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendHeaderNames:
    """Fields by which a backend server's answers are read.

    Attributes:
      attempt_id: names the request, in requests and answers.
      deadline: milliseconds left.
      signature: stands in whole answers of a backend server.
      not_run: stands in answers to requests that were not run.
      private: fields of answers that callers do not get, lower case.
    """

    attempt_id: str
    deadline: str
    signature: str
    not_run: str
    private: frozenset[str]


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """One request that waits for its answer.

    Attributes:
      attempt_id: what the answer has to name; empty takes any.
      future: gets the answer.
      started_at: loop time of the first byte.
    """

    attempt_id: ids.AttemptId
    future: asyncio.Future
    started_at: float


class Connection(leanhttp.BaseConnection):
    """One connection; it carries one request at a time.

    Attributes:
      pending: the request that waits, None where the connection is idle.
      message: its answer as it comes, None before its head.
      head_only: no answer has a body, whatever its head says.
      reusable: another request may follow.
      idle_since: loop time of the last answer.
      keep_alive: seconds that it may stand idle, by the backend server's word.
    """

    __slots__ = (
        "max_response_bytes",
        "head_only",
        "idle_since",
        "keep_alive",
        "message",
        "header_names",
        "parser",
        "reusable",
        "pending",
    )

    def __init__(
        self,
        header_names: BackendHeaderNames,
        max_response_bytes: int,
        head_only: bool,
    ):
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self.parser = httpparse.ResponseParser(leanhttp.MAX_LINE_BYTES)
        self.head_only = head_only
        self.header_names = header_names
        self.max_response_bytes = max_response_bytes
        self.pending: PendingRequest | None = None
        self.message: httpparse.Message | None = None
        self.reusable = not head_only
        self.idle_since = loop.time()
        self.keep_alive = float("inf")

    def send(self, data: bytes, pending: PendingRequest) -> None:
        """Writes a whole request."""
        self.pending = pending
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer."""
        if self.pending is None:
            # Nobody asked: what comes belongs to no request, and behind it
            # the next answer could not be told from the rest of this one.
            self.abort()
            return
        receiving = self.message
        new_messages = self.parser.feed(data)
        if receiving is not None and receiving.complete:
            self.deliver_response()
        for message in new_messages:
            self.handle_head(message)
        if self.message is not None:
            self.check_size(self.message)
        if self.parser.error is not None:
            detail = f"no answer: {self.parser.error}"
            self.fail(errors.BackendBrokenError(detail))

    def handle_head(self, message: httpparse.Message) -> None:
        """Takes the head of an answer."""
        if message.status < FIRST_FINAL_STATUS:
            return
        if self.pending is None or self.message is not None:
            self.reusable = False
            return
        attempt_id = message.headers.get(self.header_names.attempt_id)
        if self.pending.attempt_id and attempt_id != self.pending.attempt_id:
            # A second answer to an earlier request: its own answer may still
            # follow, but this connection carries no further request.
            self.reusable = False
            return
        self.message = message
        if message.complete or self.head_only:
            self.deliver_response()

    def check_size(self, message: httpparse.Message) -> bool:
        """Ends an answer that is too long; returns whether it may be taken."""
        if message.body_size <= self.max_response_bytes:
            return True
        self.fail(
            errors.ResponseTooLargeError(
                f"an answer above {self.max_response_bytes} bytes"
            )
        )
        return False

    def deliver_response(self) -> None:
        """Hands the whole answer over."""
        message, pending = self.message, self.pending
        if message is None or pending is None or not self.check_size(message):
            return
        self.message = self.pending = None
        now = self.loop.time()
        self.idle_since = now
        self.update_keep_alive(message)
        response = backend.Response(
            status=message.status,
            headers=leanhttp.end_to_end_headers(
                message, self.header_names.private
            ),
            body=b"" if self.head_only else message.body,
            seconds=now - pending.started_at,
            shed=self.header_names.not_run in message.headers,
        )
        if not pending.future.done():
            pending.future.set_result(response)

    def update_keep_alive(self, message: httpparse.Message) -> None:
        """Notes how long the connection may be used again."""
        if message.should_close or not self.transport:
            self.reusable = False
        elif self.transport.get_write_buffer_size():
            # Answered before the body was out: the rest is still due.
            self.reusable = False
        header = message.headers.get("Keep-Alive", "")
        for parameter in header.split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                self.keep_alive = int(value) * KEEP_ALIVE_SHARE

    def connection_lost(self, exc) -> None:
        """Ends the answer that is on its way, whole or not."""
        super().connection_lost(exc)
        self.parser.close()
        self.reusable = False
        if self.pending is None:
            return
        if exc is None and self.message is not None and self.message.until_eof:
            # One that was reset is not whole.
            self.deliver_response()
        if self.pending is not None:
            error_class = errors.BackendBrokenError
            if self.message is not None:
                error_class = errors.IncompleteResponseError
            self.fail(error_class("the connection ended before the answer"))

    def fail(self, error: errors.BackendError) -> None:
        """Ends the waiting request and the connection."""
        pending, self.pending = self.pending, None
        self.message = None
        self.abort()
        if pending is not None and not pending.future.done():
            pending.future.set_exception(error)

    def abort(self) -> None:
        """Ends the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def is_usable(self, now: float, max_idle_seconds: float) -> bool:
        """Returns whether another request may go over the connection."""
        idle_seconds = now - self.idle_since
        return (
            self.reusable
            and self.transport is not None
            and not self.transport.is_closing()
            and idle_seconds < min(max_idle_seconds, self.keep_alive)
        )


class Backend:
    """Connections to the backend server on this host.

    Attributes:
      inflight: requests that hold a connection.
      idle_connections: connections that carry no request, the newest last.
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

    async def send(
        self,
        address: options.Address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Returns the whole answer to one request.

        Cancelling the task ends the connection, and with it the work.

        Raises:
          errors.BackendUnreachableError: no byte was sent.
          errors.BackendBrokenError: sent, but no whole answer came.
          errors.BackendTimeoutError: the time to give up came.
          Exception: whatever the gate raises; no byte was sent.
        """
        if self.inflight >= self.max_connections:
            raise errors.BackendUnreachableError("every connection is in use")
        self.inflight += 1
        connection = None
        try:
            connection = await self.acquire_connection(address, request)
            if attempt.before_send is not None:
                await attempt.before_send()
            if connection.transport is None:
                raise errors.BackendUnreachableError(
                    "closed before the request"
                )
            return await self.round_trip(connection, request, attempt)
        finally:
            self.inflight -= 1
            self.release_connection(address, connection)

    async def round_trip(
        self,
        connection: Connection,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Writes the request and returns its answer."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        future = loop.create_future()
        pending = PendingRequest(self.attempt_id_of(request), future, now)
        attempt.sent = True
        connection.send(self.encode_request(request, now), pending)
        timer = loop.call_at(request.abort_at, fail_with_timeout, future)
        try:
            return await future
        except (asyncio.CancelledError, errors.BackendTimeoutError):
            connection.pending = None
            connection.abort()
            raise
        finally:
            timer.cancel()

    def attempt_id_of(self, request: backend.Request) -> ids.AttemptId:
        """Returns the name of the request, empty where it has none."""
        return ids.AttemptId(
            httpheaders.find(request.headers, self.header_names.attempt_id)
        )

    def encode_request(self, request: backend.Request, now: float) -> bytes:
        """Returns the bytes of a request, with the time that is left."""
        milliseconds_left = max(int((request.deadline - now) * 1000), 1)
        deadline_header = messages.Header(
            name=self.header_names.deadline, value=str(milliseconds_left)
        )
        return leanhttp.encode_request(
            request.method,
            request.target,
            [*request.headers, deadline_header],
            request.body,
        )

    async def acquire_connection(
        self, address: options.Address, request: backend.Request
    ) -> Connection:
        """Returns a connection that carries no request.

        Raises:
          errors.BackendUnreachableError: there is none, or not in time.
        """
        loop = asyncio.get_running_loop()
        head_only = request.method == "HEAD"
        idle_connections = self.idle_connections[address]
        max_idle_seconds = self.max_idle_seconds
        if not request.idempotent:
            # A backend server may drop idle connections without a word; that
            # leaves it open whether a request sent there ran.
            max_idle_seconds = min(
                max_idle_seconds, backend.NON_IDEMPOTENT_REUSE_SECONDS
            )
        while idle_connections and not head_only:
            connection = idle_connections.pop()
            if connection.is_usable(loop.time(), max_idle_seconds):
                return connection
            connection.abort()
        try:
            async with asyncio.timeout_at(request.abort_at):
                _, connection = await loop.create_connection(
                    lambda: Connection(
                        self.header_names, self.max_response_bytes, head_only
                    ),
                    address.ip,
                    address.port,
                )
        except TimeoutError:
            raise errors.BackendUnreachableError(
                "no connection in time"
            ) from None
        except OSError as error:
            raise errors.BackendUnreachableError(str(error)) from None
        return connection

    def release_connection(
        self, address: options.Address, connection: Connection | None
    ) -> None:
        """Keeps a connection for the next request, or ends it."""
        if connection is None or connection.transport is None:
            return
        if connection.reusable and connection.pending is None:
            self.idle_connections[address].append(connection)
        else:
            connection.transport.close()

    async def close(self) -> None:
        """Ends every idle connection."""
        for connections in self.idle_connections.values():
            for connection in connections:
                connection.abort()
        self.idle_connections.clear()


def fail_with_timeout(future: asyncio.Future) -> None:
    """Fails a request whose time has passed."""
    if not future.done():
        future.set_exception(errors.BackendTimeoutError("no answer in time"))
