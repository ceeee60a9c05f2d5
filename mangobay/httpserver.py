"""HTTP listeners that bound connections, sizes and the time of slow senders."""

import asyncio
import collections.abc
import random

import multidict
from aiohttp import web

from mangobay import (
    bodyreceiver,
    boundedrequests,
    calls,
    errors,
    httpheaders,
    httpparse,
    leanhttp,
    listening,
    logs,
    options,
    problems,
    requestmemory,
)
from mangobay.generated import messages

KEEPALIVE_TIMEOUT_SECONDS = 75.0
LINGERING_SECONDS = 1.0
"""Maximum time for which the rest of a rejected body is read and discarded."""
LISTEN_BACKLOG = 1024
CLOSE_POLL_SECONDS = 0.01
"""Seconds between two checks whether the last responses have been written."""
CANCEL_TIMEOUT_SECONDS = 0.1
"""Maximum wait for the tasks of requests that are cancelled."""

BODY_RECEIVER = "body_receiver"
"""Key of a request's `BodyReceiver`."""

Handler = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class Connection(boundedrequests.Connection):
    """One connection of a caller.

    Attributes:
      head_received: whether a complete request head has been received.
    """

    head_received = False

    def connection_made(self, transport) -> None:
        """Schedules the check that a request head is received in time.

        aiohttp bounds the wait only after a first request: a caller that
        sends a byte now and then would hold the connection forever.
        """
        super().connection_made(transport)
        server = self._manager
        if len(server.connections) > server.max_connections:
            self.force_close()
            return
        self._loop.call_later(server.head_timeout, self.check_head_received)

    def check_head_received(self) -> None:
        """Closes the connection if no request head has been received."""
        if not self.head_received:
            self.force_close()

    @property
    def has_queued_requests(self) -> bool:
        """Whether requests are queued behind the one that is handled."""
        return bool(self._messages)

    @property
    def has_pending_responses(self) -> bool:
        """Whether requests are queued or response bytes are unwritten."""
        if self.transport is None:
            return False
        return (
            self.has_queued_requests
            or self.transport.get_write_buffer_size() > 0
        )

    def handle_error(self, request, status=500, exc=None, message=None):
        """Returns the response to an invalid request or a handler error.

        Overrides the method of aiohttp.
        """
        reason = messages.Reason.INTERNAL
        reply = calls.unknown_reply(reason)
        if status < 500:
            reply = calls.not_run_reply(messages.Reason.MALFORMED)
        else:
            logs.log_event(logs.Component.CALL, "request failed", why=repr(exc))
        detail = "not an HTTP request" if status < 500 else ""
        response = to_response(reply, random, detail)
        response.force_close()
        return response


class Server(web.Server):
    """Creates the connections of one listener.

    Attributes:
      handler: handles each request and returns its response.
      max_connections: maximum number of open connections.
      head_timeout: seconds in which the first request head must be received.
      running_requests: number of requests whose head is received and whose
        response is not ready.
      leaving: whether each connection is closed after its last response.
    """

    def __init__(
        self, handler: Handler, max_connections: int, head_timeout: float
    ):
        super().__init__(self.handle_request, handler_cancellation=True)
        self.handler = handler
        self.max_connections = max_connections
        self.head_timeout = head_timeout
        self.running_requests = 0
        self.leaving = False

    def __call__(self) -> Connection:
        """Returns the protocol of a new connection."""
        return Connection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            lingering_time=LINGERING_SECONDS,
            max_line_size=leanhttp.MAX_LINE_BYTES,
            max_field_size=leanhttp.MAX_LINE_BYTES,
            max_headers=httpparse.MAX_HEADERS,
        )

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Records that the request head is received, and handles the request."""
        request.protocol.head_received = True
        self.running_requests += 1
        try:
            response = await self.handler(request)
        finally:
            self.running_requests -= 1
            if BODY_RECEIVER in request:
                request[BODY_RECEIVER].release()
        # Queued requests would get no response if the connection closed now.
        if self.leaving and not request.protocol.has_queued_requests:
            response.force_close()
        return response


class Listener:
    """One HTTP listener.

    Attributes:
      address: where it listens; a port of 0 is replaced on start by the port
        that was assigned.
      server: creates the connections.
      socket_server: accepts the connections.
    """

    def __init__(
        self,
        address: options.Address,
        handler: Handler,
        *,
        max_connections: int,
        head_timeout: float,
    ):
        self.address = address
        self.server = Server(handler, max_connections, head_timeout)
        self.socket_server = listening.Server(
            address, self.server, backlog=LISTEN_BACKLOG
        )

    async def start(self) -> None:
        """Starts listening.

        Raises:
          errors.StartError: the address is in use or not on this host.
        """
        self.socket_server.start()
        self.address = self.socket_server.address

    @property
    def busy(self) -> bool:
        """Whether requests are being handled."""
        return self.server.running_requests > 0

    def close_when_answered(self) -> None:
        """Closes each connection after the last response due on it."""
        self.server.leaving = True

    @property
    def pending_responses(self) -> int:
        """Number of pending responses.

        Counts the requests being handled, and the connections with queued
        requests or unwritten bytes.
        """
        return self.server.running_requests + sum(
            connection.has_pending_responses
            for connection in self.server.connections
        )

    async def close(self, grace: float = 0.0) -> int:
        """Stops accepting and closes every connection.

        Args:
          grace: maximum wait in seconds for pending responses.

        Returns:
          The number of responses that were aborted.
        """
        self.close_when_answered()
        await self.socket_server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace
        while self.pending_responses and loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        aborted = self.pending_responses
        self.server.pre_shutdown()
        await self.server.shutdown(CANCEL_TIMEOUT_SECONDS)
        return aborted


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    timeout: float,
    memory: requestmemory.RequestMemory,
) -> bytes:
    """Returns the request body.

    Args:
      request: the request.
      max_bytes: maximum size of the body.
      timeout: seconds in which the body must be received.
      memory: counts the body until the request has been handled.

    Raises:
      calls.RequestError: the body is too large, too slow or incomplete, or
        all bodies together hold too much.
    """
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise too_large_error(max_bytes)
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(leanhttp.CONTINUE_RESPONSE)
    receiver = request[BODY_RECEIVER] = bodyreceiver.BodyReceiver(memory)
    try:
        return await receiver.receive(request, max_bytes, timeout)
    except errors.BodyTooLargeError:
        raise too_large_error(max_bytes) from None
    except errors.BodyRefusedError as error:
        raise calls.RequestError(
            messages.Reason.OVERLOADED, str(error)
        ) from None
    except TimeoutError:
        raise calls.RequestError(
            messages.Reason.MALFORMED, f"no whole body in {timeout:g} s"
        ) from None
    except web.RequestPayloadError:
        raise calls.RequestError(
            messages.Reason.MALFORMED, "the body ended early"
        ) from None


def too_large_error(max_bytes: int) -> calls.RequestError:
    """Returns the error for a body above the limit."""
    return calls.RequestError(
        messages.Reason.TOO_LARGE, f"the body is above {max_bytes} bytes"
    )


def to_response(
    reply: messages.Reply, rng: random.Random, detail: str = ""
) -> web.Response:
    """Returns the HTTP response for a reply.

    Args:
      reply: the reply; one other than `answered` becomes a problem response.
      rng: source of the jitter in Retry-After.
      detail: detail of the problem.
    """
    if reply.outcome is not messages.Outcome.ANSWERED:
        problem = problems.from_reply(reply, rng, detail)
        return web.Response(
            status=problem.status, headers=problem.headers, body=problem.body
        )
    headers = multidict.CIMultiDict(
        [(header.name, header.value) for header in reply.headers]
    )
    headers[httpheaders.OUTCOME] = "answered"
    return web.Response(status=reply.status, headers=headers, body=reply.body)
