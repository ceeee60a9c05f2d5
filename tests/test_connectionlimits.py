"""Bounds on the connections of a control host's operator listener."""

import asyncio
import contextlib

from aiohttp import web

from mangobay import connectionlimits

WAIT_SECONDS = 20.0
REQUEST = b"GET / HTTP/1.1\r\nHost: here\r\n\r\n"


@contextlib.asynccontextmanager
async def running_server(limits: connectionlimits.Limits):
    """Serves an application; gives what opens a connection to it."""

    async def respond(request):
        del request
        return web.Response(text="yes")

    limiter = connectionlimits.ConnectionLimiter(limits)
    app = web.Application(middlewares=[limiter.record_request])
    app.router.add_get("/", respond)
    runner = web.AppRunner(app)
    await runner.setup()
    server = await limiter.open(runner.server, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    try:
        yield lambda: asyncio.open_connection(*address)
    finally:
        server.close()
        await runner.cleanup()


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Returns whether the other side ended the connection unanswered."""
    async with asyncio.timeout(WAIT_SECONDS):
        try:
            return not await reader.read(1)
        except ConnectionError:
            return True


class TestConnectionLimiter:
    """Connections that are not taken, or ended."""

    async def test_a_connection_without_a_request_is_closed(self):
        """One connects and sends half a request head, another a whole one.

        The first is ended after a while, so that it cannot hold its place
        for ever.  The second is answered, and its connection stays.
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
        """Two connections stand and a third comes.

        It is ended at once; after one of the two has gone, the next is
        taken.
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
    """Returns whether a new connection gets an answer."""
    reader, writer = await connect()
    try:
        writer.write(REQUEST)
        return b"yes" in await reader.readuntil(b"yes")
    except (ConnectionError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()
