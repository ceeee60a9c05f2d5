"""Backend servers and callers that send bytes without end to real nodes."""

import asyncio
import dataclasses
import itertools
import pathlib

from tests import platformfakes

ENDLESS_SECONDS = 3.0
SMALL_CALL_INTERVAL = 0.02
PIECE = bytes(64 * 1024)
PIECE_INTERVAL = 0.015
"""Seconds between two pieces; some 4 MB/s for each response."""
SERVICE = "s"
SMALL_SERVICE = "t"
FIRST_NODE = 11


@dataclasses.dataclass(frozen=True, slots=True)
class Framing:
    """How an endless response says where it ends.

    Attributes:
      header: its header.
      before: bytes before each piece.
      after: bytes after each piece.
    """

    header: bytes
    before: bytes = b""
    after: bytes = b""


CHUNKED = Framing(
    b"Transfer-Encoding: chunked\r\n", b"%x\r\n" % len(PIECE), b"\r\n"
)
LENGTH = Framing(b"Content-Length: 1000000000000\r\n")
UNTIL_CLOSE = Framing(b"")
GZIP = dataclasses.replace(
    CHUNKED, header=b"Content-Encoding: gzip\r\n" + CHUNKED.header
)
FRAMINGS = (CHUNKED, LENGTH, UNTIL_CLOSE, GZIP)
SMALL_NODE = FIRST_NODE + len(FRAMINGS)
CHUNK = b"10\r\n" + bytes(16) + b"\r\n"
INCOMPLETE_BODY = CHUNK * 4000
"""The beginning of a small body; its chunks take more memory than its bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class SmallCall:
    """How a small call ended.

    Attributes:
      status: its status, 0 without a response.
      seconds: time until its response.
    """

    status: int
    seconds: float


class EndlessServer(platformfakes.BackendServer):
    """Never ends its responses.

    Attributes:
      framing: framing of its responses.
      writers: its connections that have carried a response.
    """

    framing = CHUNKED

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = set()

    async def respond(self, writer, attempt_id):
        """Writes a response until its connection is closed."""
        self.writers.add(writer)
        framing = self.framing
        head = (
            f"HTTP/1.1 200 OK\r\nX-Mangobay-Attempt-Id: {attempt_id}\r\n"
            "X-Mangobay-Response-Signature: s\r\n"
        )
        writer.write(head.encode() + framing.header + b"\r\n")
        while True:
            writer.write(framing.before + PIECE + framing.after)
            await writer.drain()
            await asyncio.sleep(PIECE_INTERVAL)

    async def close(self):
        """Ends all responses."""
        await super().close()
        for writer in self.writers:
            writer.transport.abort()


class EndlessFleet:
    """Nodes beside endless servers, and one beside a server of small responses.

    Attributes:
      fleet: the processes.
      servers: the endless servers.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.servers = []

    @property
    def entries(self):
        """Numbers of the nodes beside endless servers."""
        return range(FIRST_NODE, SMALL_NODE)

    async def start(self, route_type, framings=FRAMINGS):
        """Returns once all nodes serve small calls."""
        fleet = self.fleet
        fleet.start_control(1)
        await fleet.start_node(SMALL_NODE, SMALL_SERVICE)
        fleet.backend_class = EndlessServer
        for number, framing in zip(self.entries, framings, strict=False):
            server = await fleet.start_node(number, SERVICE)
            server.framing = framing
            self.servers.append(server)
        document = platformfakes.configuration(
            1, [SERVICE, SMALL_SERVICE], route_type=route_type
        )

        async def accepted():
            response = await platformfakes.call_rpc(
                fleet.ip(1),
                platformfakes.OPERATOR,
                "config.replace",
                document,
                base="0",
            )
            return response.status == 200

        await platformfakes.wait_until(accepted)
        for number in [*self.entries][: len(framings)] + [SMALL_NODE]:

            async def served(number=number):
                response = await fleet.request(number, SMALL_SERVICE, "first")
                return response.status == 200

            await platformfakes.wait_until(served)

    async def send_endless(self, index):
        """Sends a request; returns its id and status, 0 if none came."""
        attempt_id = f"endless-{index}"
        reader, writer = await asyncio.open_connection(
            self.fleet.ip(FIRST_NODE + index % len(FRAMINGS)),
            platformfakes.OUTSIDE,
        )
        try:
            writer.write(
                platformfakes.request_bytes(
                    SERVICE, attempt_id, int(ENDLESS_SECONDS * 1000)
                )
            )
            async with asyncio.timeout(ENDLESS_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
            return attempt_id, int(head.split()[1])
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return attempt_id, 0
        finally:
            writer.close()

    async def send_small(self, number, until):
        """Sends small calls until a future is done; returns how they ended."""
        loop = asyncio.get_running_loop()
        ended = []
        while not until.done():
            started_at = loop.time()
            response = await self.fleet.request(
                number, SMALL_SERVICE, f"small-{number}-{len(ended)}"
            )
            ended.append(SmallCall(response.status, loop.time() - started_at))
            await asyncio.sleep(SMALL_CALL_INTERVAL)
        return ended

    async def play(self, send, count, numbers):
        """Plays requests without end, and small calls beside them.

        Args:
          send: sends the request with an index.
          count: number of requests, all sent at once.
          numbers: nodes that get small calls.

        Returns:
          Results of the requests, and the small calls.
        """
        endless = asyncio.gather(*map(send, range(count)))
        small = await asyncio.gather(
            *(self.send_small(number, endless) for number in numbers)
        )
        return await endless, list(itertools.chain(*small))

    async def send_incomplete(self, index):
        """Sends a part of a body; returns the status of its response, 0 if none."""
        reader, writer = await asyncio.open_connection(
            self.fleet.ip(SMALL_NODE), platformfakes.OUTSIDE
        )
        head = (
            f"POST /x HTTP/1.1\r\nHost: {SMALL_SERVICE}.example\r\n"
            f"X-Mangobay-Attempt-Id: body-{index}\r\n"
            "X-Mangobay-Deadline-Ms: 8000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        try:
            writer.write(head.encode() + INCOMPLETE_BODY)
            async with asyncio.timeout(ENDLESS_SECONDS):
                return int((await reader.readuntil(b"\r\n\r\n")).split()[1])
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.transport.abort()

    async def wait_until_nothing_is_held(self, number):
        """Returns once a node that has cut responses holds none."""
        assert await self.fleet.metric(number, "received_bytes_cut") > 0

        async def nothing_held():
            return await self.fleet.metric(number, "received_bytes") == 0

        await platformfakes.wait_until(nothing_held)

    def peak_bytes(self):
        """Returns the greatest memory of each process so far, by its name."""
        return {
            name: peak_bytes(process.pid)
            for name, process in self.fleet.processes.items()
        }


def peak_bytes(pid):
    """Returns the greatest memory of a process so far."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024
