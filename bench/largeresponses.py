"""Peak memory of nodes while many callers read large responses slowly.

`platform/largeresponses.py` starts it with the daemons of the platform: two
nodes, one of them beside the backend server, and the callers at either. The
peak is that of one process since its start, as the kernel counts it.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import dataclasses
import pathlib
import tempfile

from bench.soak import dialect, history, wire, world
from mangobay import ids

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEGABYTE = 1024 * 1024
BLOCK = bytes(64 * 1024)
HOSTNAME = "download.example"
TIMEOUT_SECONDS = 600.0
HEARTBEAT_SECONDS = 0.5
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.2
SERVING, ENTRY = ids.HostId("node-1"), ids.HostId("node-2")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What the callers ask for.

    Attributes:
      callers: callers at the same time, each with one response.
      size: bytes of each response.
      rate: bytes per second that each caller reads.
    """

    callers: int
    size: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Memory:
    """Peak resident memory of a node.

    Attributes:
      host: the node.
      before: bytes after one small response.
      peak: bytes after the large ones.
      responses: large responses.
    """

    host: ids.HostId
    before: int
    peak: int
    responses: int

    @property
    def per_response(self) -> float:
        """Growth of the peak in bytes per response."""
        return (self.peak - self.before) / self.responses


class BackendServer:
    """Responds to each request with the size that its target names."""

    def __init__(self, speech: dialect.Dialect, place: dialect.Place):
        self.speech = speech
        self.place = place

    async def run(self) -> None:
        """Serves and announces itself until cancelled."""
        server = await asyncio.start_server(
            self.serve, self.place.ip, self.speech.ports.backend
        )
        async with server:
            sequence = 0
            while True:
                sequence += 1
                await self.announce(sequence)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def announce(self, sequence: int) -> None:
        """Sends one heartbeat to the node."""
        heartbeat = dialect.Beat(
            instance=ids.InstanceId("i-1"),
            address=f"{self.place.ip}:{self.speech.ports.backend}",
            born_ms=1,
            sequence=sequence,
            service=self.place.service,
            data_centre=self.place.data_centre,
            slots=1000,
            draining=False,
        )
        await wire.exchange(
            self.place.ip,
            self.speech.ports.heartbeats,
            self.speech.beat(heartbeat),
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await wire.read_head(reader)
                size = int(head.first.split()[1].rpartition("/")[2])
                attempt = self.speech.told(head.fields).attempt
                fields = {
                    **self.speech.answer_fields(attempt, "s"),
                    "Content-Length": str(size),
                }
                writer.write(wire.encode("HTTP/1.1 200 OK", fields, None))
                for start in range(0, size, len(BLOCK)):
                    writer.write(BLOCK[: size - start])
                    await writer.drain()
        writer.close()


class Measurement:
    """Two nodes, a backend server and its callers."""

    def __init__(self, speech: dialect.Dialect, places: world.World):
        self.speech = speech
        self.places = places

    async def start(self) -> None:
        """Starts all processes; returns once a response came through both."""
        await self.places.start_all()
        route = dialect.Route(
            hostname=HOSTNAME,
            service=self.places.places[SERVING].service,
            repeatable=True,
            timeout=TIMEOUT_SECONDS,
            large=True,
        )
        publish = self.speech.publish(1, 0, [route])
        control = next(
            place for place in self.places.places.values() if place.founds
        )
        port = self.speech.ports.operator

        async def published() -> bool:
            return (await wire.exchange(control.ip, port, publish))[0] == 200

        await wait_until(published)
        small = Load(callers=1, size=10, rate=MEGABYTE)
        for host in (ENTRY, SERVING):
            await wait_until(lambda host=host: self.read_all(host, small, 0))

    async def measure(self, host: ids.HostId, load: Load) -> list[Memory]:
        """Runs all callers at a host; returns the memory of both nodes.

        Raises:
          RuntimeError: a response was incomplete.
        """
        before = {name: self.peak_bytes(name) for name in (ENTRY, SERVING)}
        complete = await asyncio.gather(
            *(
                self.read_all(host, load, number)
                for number in range(load.callers)
            )
        )
        if not all(complete):
            raise RuntimeError(f"{complete.count(False)} responses incomplete")
        return [
            Memory(
                host=name,
                before=before[name],
                peak=self.peak_bytes(name),
                responses=load.callers,
            )
            for name in (ENTRY, SERVING)
        ]

    async def read_all(self, host: ids.HostId, load: Load, number: int) -> bool:
        """Reads one response at its rate; returns whether it was complete."""
        attempt = ids.AttemptId(f"{host}-{load.size}-{number}")
        fields = {
            "Host": HOSTNAME,
            **self.speech.request_fields(attempt, TIMEOUT_SECONDS),
        }
        ip, port = self.places.places[host].ip, self.speech.ports.outside
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(
                wire.encode(f"GET /{load.size} HTTP/1.1", fields, None)
            )
            head = await wire.read_head(reader)
            if head.status != 200:
                return False
            return await read_slowly(reader, load) == load.size
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def peak_bytes(self, host: ids.HostId) -> int:
        """Returns the peak resident memory of a process."""
        pid = self.places.fleet.started[host].process.pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) * 1024


async def read_slowly(reader: asyncio.StreamReader, load: Load) -> int:
    """Reads a body at a rate; returns its size in bytes."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    size = 0
    while size < load.size:
        data = await reader.read(len(BLOCK))
        if not data:
            break
        size += len(data)
        await asyncio.sleep(started_at + size / load.rate - loop.time())
    return size


async def wait_until(
    check: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
) -> None:
    """Returns once a check holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not await check():
            await asyncio.sleep(POLL_SECONDS)


@contextlib.asynccontextmanager
async def running(
    speech: dialect.Dialect, folder: pathlib.Path
) -> collections.abc.AsyncIterator[Measurement]:
    """Yields a measurement whose processes run."""
    size = world.Size(nodes=2, controls=3)
    places = world.World(ROOT, folder, speech, history.History(), size)
    async with places:
        server = BackendServer(speech, places.places[SERVING])
        serving = asyncio.create_task(server.run())
        try:
            measurement = Measurement(speech, places)
            await measurement.start()
            yield measurement
        finally:
            serving.cancel()


async def run(speech: dialect.Dialect, load: Load, host: ids.HostId) -> None:
    """Measures and prints."""
    with tempfile.TemporaryDirectory() as folder:
        async with running(speech, pathlib.Path(folder)) as measurement:
            found = await measurement.measure(host, load)
    print(
        f"{load.callers} callers at {host}, {load.size} bytes each,"
        f" read at {load.rate / MEGABYTE:g} MiB/s"
    )
    for memory in found:
        print(
            f"{memory.host}: {memory.before / MEGABYTE:.1f} MiB before,"
            f" peak {memory.peak / MEGABYTE:.1f} MiB,"
            f" {memory.per_response / 1024:.0f} KiB per response"
        )


def main(speech: dialect.Dialect) -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=50)
    parser.add_argument("--megabytes", type=int, default=64)
    parser.add_argument(
        "--rate", type=float, default=1.0, help="MiB/s of each caller"
    )
    parser.add_argument(
        "--one-node", action="store_true", help="callers at the serving node"
    )
    arguments = parser.parse_args()
    load = Load(
        callers=arguments.callers,
        size=arguments.megabytes * MEGABYTE,
        rate=arguments.rate * MEGABYTE,
    )
    host = SERVING if arguments.one_node else ENTRY
    asyncio.run(run(speech, load, host))
