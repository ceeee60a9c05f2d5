"""Ports that no caller uses: what strangers can make them hold."""

import asyncio
import contextlib

import pytest

from mangobay import leanhttp, leanserver, options

LOOPBACK = options.Address("127.0.0.1", 0)
PIECE_BYTES = 64 * 1024
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
WAIT_SECONDS = 5.0


@contextlib.asynccontextmanager
async def listening(limits):
    """Yields a listener with a handler that responds at once."""

    async def handle(request, connection):
        del connection
        return leanhttp.Response(status=200, body=request.body)

    listener = leanserver.Listener(LOOPBACK, handle, limits)
    await listener.start()
    try:
        yield listener
    finally:
        await listener.close()


async def send(listener, data):
    """Returns the status line of the response to some bytes, and the rest."""
    reader, writer = await asyncio.open_connection(*listener.address)
    writer.write(data)
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
        rest = await reader.read()
    writer.close()
    return head.partition(b"\r\n")[0], rest


class TestBodies:
    """Bodies that a port does not expect, or above what it expects."""

    @pytest.mark.parametrize(
        "framing",
        [
            b"Content-Length: 1\r\n\r\n",
            b"Content-Length: 1000000000000\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n1\r\n",
        ],
    )
    async def test_body_is_refused_by_a_port_without_bodies(self, framing):
        """Guards against ports that take in bodies which they never use."""
        async with listening(leanserver.Limits()) as listener:
            status, rest = await send(
                listener, HEAD + b"Connection: close\r\n" + framing + b"x"
            )
        assert status == b"HTTP/1.1 413 Request Entity Too Large"
        assert rest == b""

    async def test_requests_without_body_are_served(self):
        async with listening(leanserver.Limits()) as listener:
            for extra in (
                b"",
                b"Content-Length: 0\r\n",
                b"Transfer-Encoding: chunked\r\n",
            ):
                status, _ = await send(
                    listener,
                    HEAD
                    + b"Connection: close\r\n"
                    + extra
                    + (b"\r\n0\r\n\r\n" if b"chunked" in extra else b"\r\n"),
                )
                assert status == b"HTTP/1.1 200 OK"

    async def test_endless_body_is_refused_and_no_longer_read(self):
        """Guards against connections that are read as long as bytes come."""
        async with listening(leanserver.Limits(max_body_bytes=100)) as listener:
            reader, writer = await asyncio.open_connection(*listener.address)
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            status = asyncio.create_task(reader.readline())
            chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
            async with asyncio.timeout(WAIT_SECONDS):
                with pytest.raises(ConnectionError):
                    while True:
                        writer.write(chunk)
                        await writer.drain()
            assert b" 413 " in await status
            assert not listener.connections
