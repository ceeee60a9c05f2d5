"""Memory and processor time of nodes while callers send large requests.

`platform/largerequests.py` starts it with the daemons of the platform: two
nodes, one of them beside the backend server, and the callers at either.  A node
that ends under the load is said to have ended; its figures are those before.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import os
import pathlib
import tempfile

from bench import largeresponses
from bench.soak import dialect, history, wire, world
from mangobay import ids

MEGABYTE = 1_000_000
BLOCK = bytes(100_000)
RESPONSE = bytes(10)
SMALL_TIMEOUT_SECONDS = 2.0
SMALL_PAUSE_SECONDS = 0.02
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
ENTRY, SERVING = largeresponses.ENTRY, largeresponses.SERVING
NODES = (ENTRY, SERVING)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What the callers send.

    Attributes:
      name: its name.
      callers: callers at the same time, each with one request.
      size: bytes of each body.
      chunked: whether the bodies come in chunks.
      rate: bytes per second that each caller sends, None for no limit.
    """

    name: str
    callers: int
    size: int
    chunked: bool = False
    rate: float | None = None


LOADS = (
    Load(name="one", callers=1, size=60 * MEGABYTE),
    Load(name="two", callers=2, size=60 * MEGABYTE),
    Load(name="two in chunks", callers=2, size=60 * MEGABYTE, chunked=True),
    Load(name="50 large", callers=50, size=60 * MEGABYTE),
    Load(name="40 middle", callers=40, size=5 * MEGABYTE),
    Load(name="6 slow", callers=6, size=60 * MEGABYTE, rate=4 * MEGABYTE),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """What was measured of one load.

    Attributes:
      statuses: statuses of the large requests, 0 without a response.
      first_byte: seconds until the backend server got the head of the first.
      seconds: time until all had their responses.
      small_failed: small requests without a response of status 200.
      small_slowest: seconds of the slowest small request.
      peaks: peak memory by node, bytes.
      cpu_per_megabyte: processor time of both nodes by body, seconds per MB.
    """

    statuses: list[int]
    first_byte: float
    seconds: float
    small_failed: int
    small_slowest: float
    peaks: dict[ids.HostId, int]
    cpu_per_megabyte: float


class BackendServer(largeresponses.BackendServer):
    """Reads each request, and responds with few bytes.

    Attributes:
      first_at: loop time of the first large request, 0 before it.
    """

    def __init__(self, speech: dialect.Dialect, place: dialect.Place):
        super().__init__(speech, place)
        self.first_at = 0.0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await wire.read_head(reader)
                if not self.first_at and head.first.startswith("POST"):
                    self.first_at = asyncio.get_running_loop().time()
                await read_body(reader, head)
                attempt = self.speech.told(head.fields).attempt
                fields = self.speech.answer_fields(attempt, "s")
                writer.write(wire.encode("HTTP/1.1 200 OK", fields, RESPONSE))
        writer.close()


async def read_body(reader: asyncio.StreamReader, head: wire.Head) -> None:
    """Reads the body of a request, and drops it."""
    if "transfer-encoding" in head.fields:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
        return
    left = int(head.fields.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 256 * 1024))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)


class Measurement(largeresponses.Measurement):
    """Two nodes, a backend server and its callers."""

    async def measure(self, host: ids.HostId, load: Load) -> Result:
        """Sends all requests of a load at a host, and small ones beside."""
        loop = asyncio.get_running_loop()
        cpu_before = sum(self.cpu_seconds(name) for name in NODES)
        started_at = loop.time()
        small: list[tuple[int, float]] = []
        beside = asyncio.create_task(self.send_small(host, small))
        statuses = await asyncio.gather(
            *(self.upload(host, load, n) for n in range(load.callers))
        )
        seconds = loop.time() - started_at
        beside.cancel()
        cpu = sum(self.cpu_seconds(name) for name in NODES) - cpu_before
        return Result(
            statuses=statuses,
            first_byte=max(self.server.first_at - started_at, 0.0),
            seconds=seconds,
            small_failed=sum(status != 200 for status, _ in small),
            small_slowest=max((taken for _, taken in small), default=0.0),
            peaks={name: self.peak_bytes(name) for name in NODES},
            cpu_per_megabyte=cpu * MEGABYTE / (load.callers * load.size),
        )

    async def upload(self, host: ids.HostId, load: Load, number: int) -> int:
        """Sends one large request; returns the status of its response."""
        fields = {
            "Host": largeresponses.HOSTNAME,
            **self.speech.request_fields(
                ids.AttemptId(f"{load.name}-{number}".replace(" ", "-")),
                largeresponses.TIMEOUT_SECONDS,
            ),
            **(
                {"Transfer-Encoding": "chunked"}
                if load.chunked
                else {"Content-Length": str(load.size)}
            ),
        }
        ip, port = self.places.places[host].ip, self.speech.ports.outside
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(wire.encode("POST /upload HTTP/1.1", fields, None))
        sending = asyncio.create_task(send_body(writer, load))
        try:
            return (await wire.read_head(reader)).status
        except (OSError, asyncio.IncompleteReadError, wire.BrokenError):
            return 0
        finally:
            sending.cancel()
            writer.close()

    async def send_small(
        self, host: ids.HostId, found: list[tuple[int, float]]
    ) -> None:
        """Sends small requests until cancelled; adds status and seconds."""
        loop = asyncio.get_running_loop()
        place = self.places.places[host]
        while True:
            fields = {
                "Host": largeresponses.HOSTNAME,
                **self.speech.request_fields(
                    ids.AttemptId(f"small-{host}-{len(found)}"),
                    SMALL_TIMEOUT_SECONDS,
                ),
            }
            data = wire.encode("GET /small HTTP/1.1", fields, None)
            started_at = loop.time()
            status, _ = await wire.exchange(
                place.ip, self.speech.ports.outside, data
            )
            found.append((status, loop.time() - started_at))
            await asyncio.sleep(SMALL_PAUSE_SECONDS)

    def cpu_seconds(self, host: ids.HostId) -> float:
        """Returns the processor time of a node's process, 0 if it has ended."""
        pid = self.places.fleet.started[host].process.pid
        try:
            text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        except OSError:
            return 0.0
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / CLOCK_TICKS


async def send_body(writer: asyncio.StreamWriter, load: Load) -> None:
    """Sends a body as fast as it is taken, or at a rate."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with contextlib.suppress(OSError):
        for start in range(0, load.size, len(BLOCK)):
            data = BLOCK[: load.size - start]
            if load.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            if load.rate is not None:
                due_at = started_at + start / load.rate
                await asyncio.sleep(due_at - loop.time())
        if load.chunked:
            writer.write(b"0\r\n\r\n")


async def run(
    speech: dialect.Dialect, tree: pathlib.Path, load: Load, host: ids.HostId
) -> Result:
    """Measures one load with fresh processes."""
    size = world.Size(nodes=2, controls=3)
    with tempfile.TemporaryDirectory() as folder:
        places = world.World(
            tree, pathlib.Path(folder), speech, history.History(), size
        )
        async with places:
            server = BackendServer(speech, places.places[SERVING])
            serving = asyncio.create_task(server.run())
            try:
                measurement = Measurement(speech, places)
                measurement.server = server
                await measurement.start()
                return await measurement.measure(host, load)
            finally:
                serving.cancel()


def report(load: Load, result: Result) -> str:
    """Returns a row of the table."""
    peaks = " and ".join(
        f"{peak / MEGABYTE:.0f}" for peak in result.peaks.values()
    )
    served = result.statuses.count(200)
    return (
        f"| {load.name} | {peaks} | {served} of {load.callers}"
        f" | {result.first_byte:.2f} | {result.seconds:.1f}"
        f" | {result.cpu_per_megabyte * 1000:.1f}"
        f" | {result.small_failed} | {result.small_slowest:.2f} |"
    )


def main(speech: dialect.Dialect) -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--tree", type=pathlib.Path, default=largeresponses.ROOT
    )
    parser.add_argument(
        "--one-node", action="store_true", help="callers at the serving node"
    )
    arguments = parser.parse_args()
    host = SERVING if arguments.one_node else ENTRY
    print(
        "| load | peak, MB | served | first byte, s | all, s | ms per MB"
        " | small failed | slowest small, s |"
    )
    print("|---|--:|--:|--:|--:|--:|--:|--:|")
    for load in LOADS:
        result = asyncio.run(run(speech, arguments.tree.resolve(), load, host))
        print(report(load, result), flush=True)
