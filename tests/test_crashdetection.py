"""Detection of backend servers that have ended."""

import asyncio
import itertools

from mangobay import crashdetection, ids, options


def numbered_ends():
    return (ids.BackendEndId(f"end-{number}") for number in itertools.count(1))


async def open_listener():
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), "127.0.0.1", 0
    )
    return server, options.Address(*server.sockets[0].getsockname())


async def unused_address():
    server, address = await open_listener()
    server.close()
    await server.wait_closed()
    return address


class TestCrashDetector:
    """Ends of backend servers, found by connecting."""

    async def test_a_listening_server_has_not_ended(self):
        """A broken connection alone counts as the end of a backend server."""
        server, address = await open_listener()
        detector = crashdetection.CrashDetector()
        found = await detector.find_end(address, 0.0, numbered_ends())
        server.close()
        assert found is None

    async def test_requests_in_progress_share_one_end(self):
        """One crash counts as many ends, one for each request in progress."""
        detector = crashdetection.CrashDetector()
        address = await unused_address()
        sent_at = asyncio.get_running_loop().time()
        end_ids = numbered_ends()
        found = await asyncio.gather(
            *(detector.find_end(address, sent_at, end_ids) for _ in range(20))
        )
        later = await detector.find_end(address, sent_at, end_ids)
        assert {*found, later} == {"end-1"}

    async def test_a_request_sent_later_finds_another_end(self):
        """A server that crashes again is taken for the same crash."""
        detector = crashdetection.CrashDetector()
        address = await unused_address()
        loop = asyncio.get_running_loop()
        end_ids = numbered_ends()
        first = await detector.find_end(address, loop.time(), end_ids)
        await asyncio.sleep(0.01)
        second = await detector.find_end(address, loop.time(), end_ids)
        assert [first, second] == ["end-1", "end-2"]
