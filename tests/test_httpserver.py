"""Tests of HTTP listeners."""

import asyncio
import socket

import nodes
import pytest
from aiohttp import web

from mangobay import httpserver, options

RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer size of a caller that reads slowly."""
LARGE_BODY = bytes(8_000_000)
"""Response body that exceeds the kernel's buffers."""
GET_REQUEST = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"


class BlockingHandler:
    """Responds with a large body once it is released."""

    def __init__(self):
        self.paths = []
        self.release_event = asyncio.Event()

    async def __call__(self, request):
        self.paths.append(request.path)
        await self.release_event.wait()
        return web.Response(body=LARGE_BODY)


@pytest.fixture
def handler():
    return BlockingHandler()


@pytest.fixture
async def listener(handler):
    opened = httpserver.Listener(
        options.Address("127.0.0.1", 0),
        handler,
        max_connections=10,
        head_timeout=nodes.WAIT_SECONDS,
    )
    await opened.start()
    yield opened
    await opened.close(0.1)


async def connect_slowly(listener):
    """Returns reader and writer of a connection with a small receive buffer."""
    client_socket = socket.socket()
    client_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    client_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client_socket, tuple(listener.address))
    return await asyncio.open_connection(
        sock=client_socket, limit=RECEIVE_BUFFER_BYTES
    )


class TestClose:
    """Responses that are pending when a listener is closed."""

    async def test_close_waits_for_a_slow_reader(self, listener, handler):
        """Guards against a response that is cut off when the process ends."""
        reader, writer = await connect_slowly(listener)
        writer.write(GET_REQUEST % 1)
        handler.release_event.set()
        await nodes.wait_until(lambda: handler.paths and not listener.busy)
        close_task = asyncio.create_task(listener.close(nodes.WAIT_SECONDS))
        await asyncio.sleep(0.2)
        assert not close_task.done()
        assert listener.pending_responses
        received = await asyncio.wait_for(reader.read(), nodes.WAIT_SECONDS)
        assert received.endswith(LARGE_BODY)
        assert await close_task == 0
        writer.close()

    async def test_pipelined_requests_are_answered(self, listener, handler):
        """Guards against requests that were read but get no response."""
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(GET_REQUEST % 1 + GET_REQUEST % 2)
        await nodes.wait_until(lambda: handler.paths)
        close_task = asyncio.create_task(listener.close(nodes.WAIT_SECONDS))
        await asyncio.sleep(0.1)
        handler.release_event.set()
        received = await asyncio.wait_for(reader.read(), nodes.WAIT_SECONDS)
        assert received.count(b"HTTP/1.1 200") == 2
        await close_task
        writer.close()

    async def test_caller_that_never_reads_does_not_block_close(
        self, listener, handler
    ):
        """Guards against one caller that keeps the process from ending."""
        _, writer = await connect_slowly(listener)
        writer.write(GET_REQUEST % 1)
        handler.release_event.set()
        await nodes.wait_until(lambda: handler.paths)
        assert (
            await asyncio.wait_for(listener.close(0.2), nodes.WAIT_SECONDS) == 1
        )
        writer.close()
