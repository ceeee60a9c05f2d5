"""Tests of the options of transports."""

import asyncio

from mangobay import sockets

SENT_BYTES = 4 * sockets.MAX_READ_BYTES


class Receiver(asyncio.Protocol):
    """Records how many bytes each read returns."""

    def __init__(self):
        self.read_sizes = []
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        sockets.limit_reads(transport)

    def data_received(self, data):
        self.read_sizes.append(len(data))

    def connection_lost(self, exc):
        self.ended.set_result(exc)


class TestLimitReads:
    """The limit of a read."""

    async def test_reads_are_limited_and_lose_nothing(self):
        """Guards against a change of asyncio that ignores the limit."""
        loop = asyncio.get_running_loop()
        receiver = Receiver()
        server = await loop.create_server(lambda: receiver, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()
        )
        writer.write(bytes(SENT_BYTES))
        writer.close()
        assert await receiver.ended is None
        server.close()
        assert sum(receiver.read_sizes) == SENT_BYTES
        assert max(receiver.read_sizes) <= sockets.MAX_READ_BYTES
