"""Tests of the limits on connections to a control host's operator API."""

import asyncio
import contextlib

from aiohttp import web

from mangobay import connectionlimits, options

WAIT_SECONDS = 20.0
REQUEST = b"GET / HTTP/1.1\r\nHost: here\r\n\r\n"


@contextlib.asynccontextmanager
async def running_server(limits: connectionlimits.Limits):
    """Runs an application; yields a function that connects to it."""

    async def respond(request):
        del request
        return web.Response(text="yes")

    limiter = connectionlimits.ConnectionLimiter(limits)
    app = web.Application(middlewares=[limiter.record_request])
    app.router.add_get("/", respond)
    runner = web.AppRunner(app)
    await runner.setup()
    server = limiter.open(runner.server, options.Address("127.0.0.1", 0))
    try:
        yield lambda: asyncio.open_connection(*server.address)
    finally:
        await server.close()
        await runner.cleanup()


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Returns whether the peer closed the connection without a response."""
    async with asyncio.timeout(WAIT_SECONDS):
        try:
            return not await reader.read(1)
        except ConnectionError:
            return True


class TestConnectionLimiter:
    """Connections that are refused or closed."""

    async def test_a_connection_without_a_request_is_closed(self):
        """One client sends half a request head, another client a whole one.

        The first connection is closed after the timeout, so that it cannot
        stay open forever.  The second gets its response and stays open.
        """
        limits = connectionlimits.Limits(request_timeout=0.2)
        async with running_server(limits) as connect:
            reader, writer = await connect()
            slow_reader, slow_writer = await connect()
            slow_writer.write(REQUEST[:20])
            writer.write(REQUEST)
            assert await reader.readuntil(b"yes")
            assert await is_closed(slow_reader)
            writer.write(REQUEST)
            assert await reader.readuntil(b"yes")
            writer.close()
            slow_writer.close()

    async def test_connections_above_the_limit_are_refused(self):
        """A client connects while the maximum of two connections is open.

        The third connection is closed at once; after one of the two is
        closed, the next one is accepted.
        """
        async with running_server(
            connectionlimits.Limits(max_connections=2)
        ) as connect:
            open_connections = [await connect() for _ in range(2)]
            for reader, writer in open_connections:
                writer.write(REQUEST)
                await reader.readuntil(b"yes")
            reader, writer = await connect()
            assert await is_closed(reader)
            writer.close()
            open_connections[0][1].close()
            await is_closed(open_connections[0][0])
            async with asyncio.timeout(WAIT_SECONDS):
                while not await is_answered(connect):
                    await asyncio.sleep(0.01)
            open_connections[1][1].close()


async def is_answered(connect) -> bool:
    """Returns whether a request on a new connection gets a response."""
    reader, writer = await connect()
    try:
        writer.write(REQUEST)
        return b"yes" in await reader.readuntil(b"yes")
    except (ConnectionError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()
