"""Requests to backend servers over aiohttp, each sent at most once."""

import asyncio
import contextvars

import aiohttp
import yarl

from mangobay import (
    backend,
    errors,
    httpheaders,
    httpparse,
    invariants,
    leanhttp,
    options,
    receivedbytes,
)
from mangobay.generated import messages

SKIPPED_AUTO_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)
"""Headers that aiohttp would otherwise add to a request without them."""
BODILESS_STATUSES = frozenset({204, 304})

current_attempt: contextvars.ContextVar[backend.Attempt] = (
    contextvars.ContextVar("attempt")
)
"""The attempt of this task.

A context variable passes it on, since aiohttp creates the request object.
"""


class SingleSendRequest(aiohttp.ClientRequest):
    """A request that awaits `before_send` and is sent at most once."""

    async def send(self, conn):
        """Sends the request unless it was sent before.

        aiohttp resends idempotent methods such as GET, PUT and DELETE when a
        kept-alive connection breaks, so that a PUT which makes a booking
        would run twice.  `make_session` turns this off; the check here also
        holds if aiohttp drops that switch.

        Raises:
          errors.InvariantError: The attempt was sent before.
          aiohttp.ClientConnectionError: The connection was closed while
            `before_send` ran.
        """
        attempt = current_attempt.get()
        invariants.check(
            invariants.Invariant.AT_MOST_ONCE,
            not attempt.sent,
            "the request was already sent to the backend server",
        )
        await attempt.prepare()
        if conn.protocol is None or not conn.protocol.is_connected():
            raise aiohttp.ClientConnectionError("closed before the request")
        attempt.sent = True
        return await super().send(conn)


class Backend:
    """An HTTP client for the backend servers on this host.

    Attributes:
      inflight: Number of requests that hold a connection.
    """

    def __init__(
        self,
        max_connections: int,
        max_idle_seconds: float,
        max_response_bytes: int,
    ):
        self.max_connections = max_connections
        self.max_response_bytes = max_response_bytes
        self.inflight = 0
        self.idempotent_session = make_session(max_idle_seconds)
        self.non_idempotent_session = make_session(
            min(max_idle_seconds, backend.NON_IDEMPOTENT_REUSE_SECONDS)
        )

    async def send(
        self,
        address: options.Address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Sends one request and returns the complete response.

        Cancelling the task closes the connection.

        Raises:
          errors.BackendUnreachableError: No byte was sent.
          errors.BackendBrokenError: The request was sent, but no complete
            response came.
          errors.BackendTimeoutError: `abort_at` was reached.
          Exception: Raised by `before_send`; no byte was sent.
        """
        if self.inflight >= self.max_connections:
            raise errors.BackendUnreachableError("every connection is in use")
        current_attempt.set(attempt)
        self.inflight += 1
        try:
            async with asyncio.timeout_at(request.abort_at):
                return await self.round_trip(address, request)
        except TimeoutError:
            raise errors.BackendTimeoutError("no response in time") from None
        except aiohttp.ClientPayloadError as error:
            raise errors.IncompleteResponseError(str(error)) from None
        except (aiohttp.ClientError, OSError) as error:
            message = str(error) or type(error).__name__
            if attempt.sent:
                raise errors.BackendBrokenError(message) from None
            raise errors.BackendUnreachableError(message) from None
        finally:
            self.inflight -= 1

    async def round_trip(
        self, address: options.Address, request: backend.Request
    ) -> backend.Response:
        """Sends the request and reads the complete response."""
        loop = asyncio.get_running_loop()
        session = (
            self.idempotent_session
            if request.idempotent
            else self.non_idempotent_session
        )
        url = yarl.URL(f"http://{address}{request.target}", encoded=True)
        started_at = loop.time()
        headers = [(header.name, header.value) for header in request.headers]
        remaining = max(request.deadline - started_at, 0.001)
        headers.append((httpheaders.REQUEST_TIMEOUT, f"{remaining:.3f}"))
        async with session.request(
            request.method,
            url,
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            if response.status not in httpparse.STATUSES:
                raise errors.BackendBrokenError(
                    f"{response.status} is no status"
                )
            body = await self.read_body(request.method, response)
            return backend.Response(
                status=response.status,
                headers=httpheaders.end_to_end_headers(response.headers),
                body=body,
                seconds=loop.time() - started_at,
                shed=is_shed(response),
            )

    async def read_body(
        self, method: str, response: aiohttp.ClientResponse
    ) -> bytes:
        """Returns the whole body.

        A body that ends with the connection looks complete even if the
        backend server crashed while sending it, so a content length or
        chunked encoding is required.

        Raises:
          errors.IncompleteResponseError: The response has neither a content
            length nor chunked encoding.
          errors.ResponseTooLargeError: The body is above the limit.
          aiohttp.ClientPayloadError: The body ended early.
        """
        transfer_encoding = response.headers.get(
            "Transfer-Encoding", ""
        ).lower()
        content_length = response.content_length
        has_no_body = method == "HEAD" or response.status in BODILESS_STATUSES
        if (
            content_length is None
            and "chunked" not in transfer_encoding
            and not has_no_body
        ):
            raise errors.IncompleteResponseError(
                "the response has neither a Content-Length nor chunked encoding"
            )
        if not has_no_body and (content_length or 0) > self.max_response_bytes:
            raise errors.ResponseTooLargeError(
                f"a response of {content_length} bytes"
            )
        body = HeldBody(response, self.max_response_bytes)
        try:
            return await body.read()
        finally:
            receivedbytes.account.release(body)

    async def close(self) -> None:
        """Closes every connection."""
        await self.idempotent_session.close()
        await self.non_idempotent_session.close()


class HeldBody:
    """The body of a response, held until it is complete.

    Attributes:
      chunks: what has been received.
      size: number of these bytes.
      is_cut: the account of received bytes has dropped it.
    """

    cut_last = False

    def __init__(self, response: aiohttp.ClientResponse, max_bytes: int):
        self.response = response
        self.max_bytes = max_bytes
        self.chunks: list[bytes] = []
        self.size = 0
        self.is_cut = False

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
          errors.ResponseTooLargeError: it is above the limit, or was dropped.
          aiohttp.ClientPayloadError: it ended early.
        """
        content = self.response.content
        try:
            async for chunk in content.iter_any():
                self.size += len(chunk)
                if self.size > self.max_bytes:
                    raise errors.ResponseTooLargeError(
                        f"a response above {self.max_bytes} bytes"
                    )
                self.chunks.append(chunk)
                if not content.at_eof():
                    receivedbytes.account.hold(self, self.size)
        except aiohttp.ClientError:
            if not self.is_cut:
                raise
        if self.is_cut:
            raise errors.ResponseTooLargeError(
                "too many bytes of responses are held"
            )
        return b"".join(self.chunks)

    def drop_received(self) -> None:
        """Drops the body, and closes its connection."""
        self.is_cut = True
        self.chunks.clear()
        self.response.close()


def make_session(max_idle_seconds: float) -> aiohttp.ClientSession:
    """Returns a session that sends requests as they are.

    It adds no headers, follows no redirects, keeps no cookies and resends
    nothing.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=max_idle_seconds if max_idle_seconds > 0 else None,
        force_close=max_idle_seconds <= 0,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=SingleSendRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None),
        max_line_size=leanhttp.MAX_LINE_BYTES,
        max_field_size=leanhttp.MAX_LINE_BYTES,
    )
    # With the switch off, a broken connection is reported directly.  Left on,
    # the check in SingleSendRequest would count it as a violated invariant.
    session._retry_connection = False
    return session


def is_shed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether the backend server reports that it ran nothing."""
    outcome = response.headers.get(httpheaders.OUTCOME, "").strip().lower()
    not_run = messages.Outcome.NOT_RUN.name.lower()
    return response.status == 503 and outcome == not_run
