"""Calls to the backend server on this host, each sent at most once."""

import asyncio
import contextvars

import aiohttp
import yarl

from mangobay import backend, errors, httpheaders, invariants, leanhttp, options
from mangobay.generated import messages

SKIPPED_AUTO_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)
"""Fields that aiohttp would add to a request that has none."""
BODILESS_STATUSES = frozenset({204, 304})

current_attempt: contextvars.ContextVar[backend.Attempt] = (
    contextvars.ContextVar("attempt")
)
"""The attempt of this task: aiohttp builds the request object itself."""


class SingleSendRequest(aiohttp.ClientRequest):
    """Asks the gate when the connection stands and no byte has gone out."""

    async def send(self, conn):
        """Sends the request unless it was sent before.

        aiohttp sends GET, PUT and DELETE a second time when a kept
        connection breaks: a PUT that books would run twice.  Its switch is
        set off as well; this holds whatever becomes of the switch.

        Raises:
          errors.InvariantError: a byte of this attempt went out before.
          aiohttp.ClientConnectionError: the connection ended at the gate.
        """
        attempt = current_attempt.get()
        invariants.check(
            invariants.Promise.AT_MOST_ONCE,
            not attempt.sent,
            "the request was already sent to the backend server",
        )
        if attempt.before_send is not None:
            await attempt.before_send()
        if conn.protocol is None or not conn.protocol.is_connected():
            raise aiohttp.ClientConnectionError("closed before the request")
        attempt.sent = True
        return await super().send(conn)


class Backend:
    """Connections to the backend servers on this host.

    Attributes:
      inflight: requests that hold a connection.
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
        """Returns the whole answer to one request.

        Cancelling the task closes the connection.

        Raises:
          errors.BackendUnreachableError: no byte was sent.
          errors.BackendBrokenError: sent, but no whole answer came.
          errors.BackendTimeoutError: the time to give up came.
          Exception: whatever the gate raises; no byte was sent.
        """
        if self.inflight >= self.max_connections:
            raise errors.BackendUnreachableError("every connection is in use")
        current_attempt.set(attempt)
        self.inflight += 1
        try:
            async with asyncio.timeout_at(request.abort_at):
                return await self.round_trip(address, request)
        except TimeoutError:
            raise errors.BackendTimeoutError("no answer in time") from None
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
        """Sends the request and reads the whole answer."""
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

        An answer that ends with its connection looks whole wherever the
        backend server died: only a length or chunks tell.

        Raises:
          errors.IncompleteAnswerError: nothing says where the answer ends.
          errors.AnswerTooLargeError: it is above the limit.
          aiohttp.ClientPayloadError: it ended early.
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
            raise errors.IncompleteResponseError("the answer has no length")
        if not has_no_body and (content_length or 0) > self.max_response_bytes:
            raise errors.ResponseTooLargeError(
                f"an answer of {content_length} bytes"
            )
        if content_length is not None:
            return await response.read()
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > self.max_response_bytes:
                raise errors.ResponseTooLargeError(
                    f"an answer above {self.max_response_bytes} bytes"
                )
            chunks.append(chunk)
        return b"".join(chunks)

    async def close(self) -> None:
        """Ends every connection."""
        await self.idempotent_session.close()
        await self.non_idempotent_session.close()


def make_session(max_idle_seconds: float) -> aiohttp.ClientSession:
    """Returns a session that adds, follows, keeps and repeats nothing."""
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
    # Off, a broken connection is told at once instead of through the check
    # in GatedRequest, which would count it as a broken promise.
    session._retry_connection = False
    return session


def is_shed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether the backend server says it did not run the request."""
    outcome = response.headers.get(httpheaders.OUTCOME, "").strip().lower()
    not_run = messages.Outcome.NOT_RUN.name.lower()
    return response.status == 503 and outcome == not_run
