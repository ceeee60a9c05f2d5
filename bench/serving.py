"""Serves HTTP until SIGTERM, for the bench's own processes."""

import asyncio
import collections.abc
import contextlib
import signal

from aiohttp import web

from mangobay import options


@contextlib.asynccontextmanager
async def listening(
    handler: collections.abc.Callable, *addresses: options.Address
):
    """Serves a handler; gives an event that SIGTERM sets."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    server = web.Server(handler, handler_cancellation=True)
    runner = web.ServerRunner(server)
    await runner.setup()
    for address in addresses:
        await web.TCPSite(runner, address.ip, address.port).start()
    try:
        yield stopping
    finally:
        await runner.cleanup()
