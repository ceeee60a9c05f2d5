"""HTTP listeners with bounds on connections, sizes and slow senders."""

import asyncio
import collections.abc
import random

import multidict
from aiohttp import web

from mangobay import (
    calls,
    httpheaders,
    httpparse,
    leanhttp,
    listening,
    logs,
    options,
    problems,
)
from mangobay.generated import messages

KEEPALIVE_SECONDS = 75.0
LINGERING_SECONDS = 1.0
"""How long the rest of a refused body is read and thrown away."""
BACKLOG = 1024
CLOSE_POLL = 0.01
"""Seconds between two looks whether the last answers have left."""
CANCEL_SECONDS = 0.1
"""For requests that are cut to end their tasks."""

Handler = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class Connection(web.RequestHandler):
    """One connection of a caller.

    Attributes:
      begun: a whole request head has come.
    """

    begun = False

    def connection_made(self, transport) -> None:
        """Ends the connection where no request comes in time.

        aiohttp bounds the wait only after a first request: a caller that
        sends a byte now and then would hold a connection for ever.
        """
        super().connection_made(transport)
        server = self._manager
        if len(server.connections) > server.most_connections:
            self.force_close()
            return
        self._loop.call_later(server.head_seconds, self.look)

    def look(self) -> None:
        """Ends the connection if no request head has come."""
        if not self.begun:
            self.force_close()

    @property
    def queued(self) -> bool:
        """Whether requests wait behind the one that is answered."""
        return bool(self._messages)

    @property
    def owed(self) -> bool:
        """Whether a request is queued, or an answer not yet with the kernel."""
        if self.transport is None:
            return False
        return self.queued or self.transport.get_write_buffer_size() > 0

    def handle_error(self, request, status=500, exc=None, message=None):
        """Returns the answer to what is no HTTP request."""
        reason = messages.Reason.INTERNAL
        reply = calls.unknown_reply(reason)
        if status < 500:
            reply = calls.not_run_reply(messages.Reason.MALFORMED)
        else:
            logs.say(logs.Part.CALL, "request failed", why=repr(exc))
        detail = "not an HTTP request" if status < 500 else ""
        response = to_response(reply, random, detail)
        response.force_close()
        return response


class Server(web.Server):
    """Makes the connections of one listener.

    Attributes:
      answering: requests whose head came and whose answer is not made yet.
      leaving: every connection is closed behind the last answer due on it.
    """

    def __init__(
        self, handle: Handler, most_connections: int, head_seconds: float
    ):
        super().__init__(self.mark, handler_cancellation=True)
        self.handle = handle
        self.most_connections = most_connections
        self.head_seconds = head_seconds
        self.answering = 0
        self.leaving = False

    def __call__(self) -> Connection:
        """Returns the protocol of a new connection."""
        return Connection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_SECONDS,
            lingering_time=LINGERING_SECONDS,
            max_line_size=leanhttp.MAX_LINE_BYTES,
            max_field_size=leanhttp.MAX_LINE_BYTES,
            max_headers=httpparse.MAX_HEADERS,
        )

    async def mark(self, request: web.BaseRequest) -> web.StreamResponse:
        """Notes that the request head came in time, and answers."""
        request.protocol.begun = True
        self.answering += 1
        try:
            response = await self.handle(request)
        finally:
            self.answering -= 1
        # Closed before the answers behind it, requests that were read would
        # get none.
        if self.leaving and not request.protocol.queued:
            response.force_close()
        return response


class Listener:
    """One HTTP listener.

    Attributes:
      address: where it listens; with port 0, the port taken once started.
    """

    def __init__(
        self,
        address: options.Address,
        handle: Handler,
        *,
        connections: int,
        head_seconds: float,
    ):
        self.address = address
        self.server = Server(handle, connections, head_seconds)
        self.listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        loop = asyncio.get_running_loop()
        self.listening = await listening.open_server(
            self.address,
            loop.create_server(
                self.server, self.address.ip, self.address.port, backlog=BACKLOG
            ),
        )
        self.address = listening.bound_to(self.address, self.listening)

    @property
    def busy(self) -> bool:
        """Whether a caller waits for an answer."""
        return self.server.answering > 0

    def leave(self) -> None:
        """Closes every connection behind the last answer due on it."""
        self.server.leaving = True

    @property
    def owed(self) -> int:
        """How many answers are being made or have not left this process."""
        return self.server.answering + sum(
            connection.owed for connection in self.server.connections
        )

    async def close(self, grace: float = 0.0) -> int:
        """Stops accepting and ends every connection.

        Args:
          grace: longest wait, in seconds, for answers that are due.

        Returns:
          How many answers were cut.
        """
        if self.listening is None:
            return 0
        self.listening.close()
        self.leave()
        loop = asyncio.get_running_loop()
        patience = loop.time() + grace
        while self.owed and loop.time() < patience:
            await asyncio.sleep(CLOSE_POLL)
        cut = self.owed
        self.server.pre_shutdown()
        await self.server.shutdown(CANCEL_SECONDS)
        return cut


async def read_body(
    request: web.BaseRequest, most: int, seconds: float
) -> bytes:
    """Returns the whole body of at most `most` bytes.

    Raises:
      calls.RequestError: too long, too slow, or ended early.
    """
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > most:
        raise too_large(most)
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(leanhttp.CONTINUE_RESPONSE)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(seconds):
            async for part in request.content.iter_any():
                size += len(part)
                if size > most:
                    raise too_large(most)
                parts.append(part)
    except TimeoutError:
        raise calls.RequestError(
            messages.Reason.MALFORMED, f"no whole body in {seconds:g} s"
        ) from None
    except web.RequestPayloadError:
        raise calls.RequestError(
            messages.Reason.MALFORMED, "the body ended early"
        ) from None
    return b"".join(parts)


def too_large(most: int) -> calls.RequestError:
    """Returns the error of a body above the limit."""
    return calls.RequestError(
        messages.Reason.TOO_LARGE, f"the body is above {most} bytes"
    )


def to_response(
    reply: messages.Reply, rng: random.Random, detail: str = ""
) -> web.Response:
    """Returns the HTTP answer that says what a reply says."""
    if reply.outcome is not messages.Outcome.ANSWERED:
        shown = problems.from_reply(reply, rng, detail)
        return web.Response(
            status=shown.status, headers=shown.headers, body=shown.body
        )
    headers = multidict.CIMultiDict(
        [(header.name, header.value) for header in reply.headers]
    )
    headers[httpheaders.OUTCOME] = "answered"
    return web.Response(status=reply.status, headers=headers, body=reply.body)
