"""Calls to the backend server on this host, each sent at most once."""

import asyncio
import contextvars

import aiohttp
import yarl

from mangobay import backend, errors, fields, invariants, leanhttp, options
from mangobay.generated import messages

LEFT_ALONE = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Fields that aiohttp would add to a request that has none."""
BODILESS_STATUSES = frozenset({204, 304})

current: contextvars.ContextVar[backend.Attempt] = contextvars.ContextVar(
    "attempt"
)
"""The attempt of this task: aiohttp builds the request object itself."""


class GatedRequest(aiohttp.ClientRequest):
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
        attempt = current.get()
        invariants.check(
            invariants.Promise.AT_MOST_ONCE,
            not attempt.sent,
            "the request was already sent to the backend server",
        )
        if attempt.gate is not None:
            await attempt.gate()
        if conn.protocol is None or not conn.protocol.is_connected():
            raise aiohttp.ClientConnectionError("closed before the request")
        attempt.sent = True
        return await super().send(conn)


class Backend:
    """Connections to the backend servers on this host.

    Attributes:
      inflight: requests that hold a connection.
    """

    def __init__(self, connections: int, idle: float, answer_bytes: int):
        self.connections = connections
        self.answer_bytes = answer_bytes
        self.inflight = 0
        self.any_session = make_session(idle)
        self.fresh_session = make_session(min(idle, backend.FRESH_SECONDS))

    async def send(
        self,
        address: options.Address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Answer:
        """Returns the whole answer to one request.

        Cancelling the task closes the connection.

        Raises:
          errors.BackendUnreachableError: no byte was sent.
          errors.BackendBrokenError: sent, but no whole answer came.
          errors.BackendTimeoutError: the time to give up came.
          Exception: whatever the gate raises; no byte was sent.
        """
        if self.inflight >= self.connections:
            raise errors.BackendUnreachableError("every connection is in use")
        current.set(attempt)
        self.inflight += 1
        try:
            async with asyncio.timeout_at(request.cut_at):
                return await self.exchange(address, request)
        except TimeoutError:
            raise errors.BackendTimeoutError("no answer in time") from None
        except aiohttp.ClientPayloadError as error:
            raise errors.IncompleteAnswerError(str(error)) from None
        except (aiohttp.ClientError, OSError) as error:
            text = str(error) or type(error).__name__
            if attempt.sent:
                raise errors.BackendBrokenError(text) from None
            raise errors.BackendUnreachableError(text) from None
        finally:
            self.inflight -= 1

    async def exchange(
        self, address: options.Address, request: backend.Request
    ) -> backend.Answer:
        """Sends the request and reads the whole answer."""
        loop = asyncio.get_running_loop()
        session = self.any_session if request.idempotent else self.fresh_session
        url = yarl.URL(f"http://{address}{request.target}", encoded=True)
        began = loop.time()
        headers = [(each.name, each.value) for each in request.headers]
        left = max(request.deadline - began, 0.001)
        headers.append((fields.REQUEST_TIMEOUT, f"{left:.3f}"))
        async with session.request(
            request.method,
            url,
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            body = await self.read_whole(request.method, response)
            return backend.Answer(
                status=response.status,
                headers=fields.passed_on(response.headers),
                body=body,
                seconds=loop.time() - began,
                shed=is_shed(response),
            )

    async def read_whole(
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
        coding = response.headers.get("Transfer-Encoding", "").lower()
        length = response.content_length
        bodiless = method == "HEAD" or response.status in BODILESS_STATUSES
        if length is None and "chunked" not in coding and not bodiless:
            raise errors.IncompleteAnswerError("the answer has no length")
        if not bodiless and (length or 0) > self.answer_bytes:
            raise errors.AnswerTooLargeError(f"an answer of {length} bytes")
        if length is not None:
            return await response.read()
        parts = []
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > self.answer_bytes:
                raise errors.AnswerTooLargeError(
                    f"an answer above {self.answer_bytes} bytes"
                )
            parts.append(part)
        return b"".join(parts)

    async def close(self) -> None:
        """Ends every connection."""
        await self.any_session.close()
        await self.fresh_session.close()


def make_session(idle: float) -> aiohttp.ClientSession:
    """Returns a session that adds, follows, keeps and repeats nothing."""
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle if idle > 0 else None,
        force_close=idle <= 0,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=GatedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=LEFT_ALONE,
        timeout=aiohttp.ClientTimeout(total=None),
        max_line_size=leanhttp.LONGEST_LINE,
        max_field_size=leanhttp.LONGEST_LINE,
    )
    # Off, a broken connection is told at once instead of through the check
    # in GatedRequest, which would count it as a broken promise.
    session._retry_connection = False
    return session


def is_shed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether the backend server says it did not run the request."""
    said = response.headers.get(fields.OUTCOME, "").strip().lower()
    not_run = messages.Outcome.NOT_RUN.name.lower()
    return response.status == 503 and said == not_run
