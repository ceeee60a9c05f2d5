"""Processor time of requests over two platform nodes, for two source trees.

Run `python -m bench.requestcost --other TREE`: starts a control host and two
nodes of each tree on loopback, sends the same requests to both in turns, and
prints the processor time that the two nodes together take for a request, and
the ratio of this tree to the other one.  With `--profile FOLDER` it runs this
tree alone and writes a profile of each node for `python -m pstats`.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import statistics
import sys
import tempfile

from tests import platformfakes

THIS_TREE = pathlib.Path(__file__).resolve().parent.parent
CONTROL, FIRST, SECOND = 1, 11, 12
"""Numbers of the hosts."""
CALLING, CALLED = "a", "b"
"""The services beside the first and the second node."""
UNSAFE_PREFIX = "/u/"
CHILD_CALLS = 2
WARM_UP_REQUESTS = 400
IDLE_SECONDS = 2.0
DEADLINE_MS = 8000
EXTRA_HEADERS = (
    "User-Agent: bench\r\nAccept: */*\r\nAccept-Encoding: gzip, deflate\r\n"
    "Content-Type: application/json\r\n"
)


class HttpClient(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self):
        self.received = b""
        self.response: asyncio.Future | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Completes the request once its response is complete."""
        self.received += data
        head, end, body = self.received.partition(b"\r\n\r\n")
        if not end:
            return
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        if len(body) >= length:
            self.received = b""
            self.response.set_result(int(head.split()[1]))

    async def send(self, data: bytes) -> int:
        """Sends a request; returns the status of its response."""
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.response


class InstantConnection(asyncio.Protocol):
    """A connection to a backend server that takes no time of its own."""

    def __init__(self, server: "InstantServer"):
        self.server = server
        self.received = b""
        self.tasks: set[asyncio.Task] = set()

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Responds to a complete request, after its child calls."""
        self.received += data
        if not self.received.endswith(b"\r\n\r\n"):
            return
        head, self.received = self.received.decode(), b""
        if head.startswith("GET /h HTTP"):
            self.transport.write(self.server.health_response())
            return
        attempt_id = head.partition("Attempt-Id: ")[2].split()[0]
        if self.server.service == CALLED:
            self.respond(attempt_id)
            return
        task = asyncio.create_task(self.run(attempt_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def respond(self, attempt_id: str) -> None:
        """Writes the response."""
        self.transport.write(platformfakes.response_bytes(attempt_id, 200))

    async def run(self, attempt_id: str) -> None:
        """Makes child calls one after the other, then responds."""
        async with self.server.child_client() as client:
            for number in range(CHILD_CALLS):
                child_id = f"{attempt_id}.{number}"
                await client.send(request_bytes(CALLED, child_id, "/x"))
        self.respond(attempt_id)


class InstantServer(platformfakes.BackendServer):
    """A backend server that responds at once.

    Attributes:
      idle_clients: open connections to the node beside it.
    """

    idle_clients: collections.deque[HttpClient]

    async def start(self):
        """Starts to listen and to send heartbeats."""
        self.idle_clients = collections.deque()
        self.server = await asyncio.get_running_loop().create_server(
            lambda: InstantConnection(self), self.ip, platformfakes.BACKEND
        )
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    @contextlib.asynccontextmanager
    async def child_client(self):
        """Yields a connection for child calls."""
        client = (
            self.idle_clients.pop()
            if self.idle_clients
            else await connect(self.ip)
        )
        yield client
        self.idle_clients.append(client)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
      name: shown in the table.
      service: that is called.
      target: path of the request.
    """

    name: str
    service: str
    target: str


KINDS = (
    Kind("safe", CALLED, "/x"),
    Kind("unsafe", CALLED, f"{UNSAFE_PREFIX}x"),
    Kind(f"safe, {CHILD_CALLS} child calls", CALLING, "/x"),
)


def request_bytes(service: str, attempt_id: str, target: str) -> bytes:
    """Returns the bytes of a request."""
    head = platformfakes.request_bytes(
        service, attempt_id, DEADLINE_MS, target=target
    )
    return head.removesuffix(b"\r\n") + EXTRA_HEADERS.encode() + b"\r\n"


async def connect(ip: str) -> HttpClient:
    """Returns a connection to a node."""
    _, client = await asyncio.get_running_loop().create_connection(
        HttpClient, ip, platformfakes.OUTSIDE
    )
    return client


def routes_document() -> dict:
    """Returns a configuration with a safe and an unsafe route a service."""
    document = platformfakes.configuration(
        1, [CALLING, CALLED], route_type="safe"
    )
    rows = document["routes"]["rows"]
    rows += [
        [f"{name}-unsafe", host, UNSAFE_PREFIX, "unsafe", *rest]
        for name, host, _, _, *rest in rows
    ]
    return document


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of the main thread of a process."""
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


class System:
    """A control host and two nodes of one source tree."""

    def __init__(self, tree: pathlib.Path, folder: pathlib.Path):
        folder.mkdir()
        self.fleet = platformfakes.Fleet(folder, seeds=1, voters=1)
        self.fleet.root = tree
        self.fleet.backend_class = InstantServer
        self.clients: list[HttpClient] = []
        self.request_count = 0
        self.samples: dict[str, list[float]] = collections.defaultdict(list)

    async def start(self, callers: int, profile_folder: str) -> None:
        """Starts the processes and waits until requests are served.

        Args:
          callers: connections, each with one request at a time.
          profile_folder: where the profiles are written, empty for none.
        """
        fleet = self.fleet
        fleet.start_control(CONTROL)
        for number, service in ((FIRST, CALLING), (SECOND, CALLED)):
            if profile_folder:
                fleet.python_arguments = [
                    "-m",
                    "cProfile",
                    "-o",
                    f"{profile_folder}/n{number}.prof",
                ]
            await fleet.start_node(number, service)

        async def accepted() -> bool:
            response = await platformfakes.call_rpc(
                fleet.ip(CONTROL),
                platformfakes.OPERATOR,
                "config.replace",
                routes_document(),
                base="0",
            )
            return response.status == 200

        async def served() -> bool:
            response = await fleet.request(FIRST, CALLED, "try")
            return response.status == 200 and await fleet.ready(SECOND)

        await platformfakes.wait_until(accepted)
        await platformfakes.wait_until(served)
        self.clients = [await connect(fleet.ip(FIRST)) for _ in range(callers)]

    def cpu_seconds(self) -> float:
        """Returns the processor time of both nodes so far."""
        return sum(
            cpu_seconds(self.fleet.processes[f"n{number}"].pid)
            for number in (FIRST, SECOND)
        )

    async def send_requests(self, kind: Kind, count: int) -> None:
        """Sends requests of a kind, a few at once.

        Raises:
          RuntimeError: a request was not served.
        """

        async def call_often(client: HttpClient) -> None:
            for _ in range(count // len(self.clients)):
                self.request_count += 1
                data = request_bytes(
                    kind.service, f"r-{self.request_count}", kind.target
                )
                status = await client.send(data)
                if status != 200:
                    raise RuntimeError(f"{kind.name}: status {status}")

        await asyncio.gather(*map(call_often, self.clients))

    async def measure(self, kind: Kind, count: int) -> float:
        """Returns the microseconds that both nodes take for a request."""
        started_at = self.cpu_seconds()
        await self.send_requests(kind, count)
        return (self.cpu_seconds() - started_at) / count * 1e6

    async def measure_idle(self) -> float:
        """Returns the microseconds that both nodes take per idle second."""
        started_at = self.cpu_seconds()
        await asyncio.sleep(IDLE_SECONDS)
        return (self.cpu_seconds() - started_at) / IDLE_SECONDS * 1e6


def lower_quartile(values: list[float]) -> float:
    """Returns the first quartile.

    Other processes only ever add time, so it is a steadier measure than the
    median.
    """
    return statistics.quantiles(values, n=4)[0]


def report(starts: list[list[System]]) -> None:
    """Prints the times of each tree, and the ratios of each start.

    Args:
      starts: the systems of this tree and of the other one, for each start.
    """
    for name in starts[0][0].samples:
        times = [
            [lower_quartile(system.samples[name]) for system in systems]
            for systems in starts
        ]
        mine, *others = (statistics.median(column) for column in zip(*times))
        line = f"{name:22} {mine:8.1f} us"
        if others:
            ratios = sorted(mine / other for mine, other in times)
            shown = " ".join(f"{ratio:.3f}" for ratio in ratios)
            line += (
                f"  other {others[0]:8.1f} us"
                f"  ratio {statistics.median(ratios):.3f} of {shown}"
            )
        print(line, flush=True)


async def run(arguments: argparse.Namespace) -> None:
    """Starts the systems several times and prints the table.

    Processes of the same code differ by several per cent for as long as they
    run, so that one start of each tree does not compare them.
    """
    trees = [THIS_TREE]
    if arguments.other:
        trees.append(pathlib.Path(arguments.other).resolve())
    starts = [
        await measure_start(trees, arguments) for _ in range(arguments.starts)
    ]
    report(starts)


async def measure_start(
    trees: list[pathlib.Path], arguments: argparse.Namespace
) -> list[System]:
    """Starts a system of each tree and measures them in turns."""
    with tempfile.TemporaryDirectory() as folder:
        systems = [
            System(tree, pathlib.Path(folder) / str(index))
            for index, tree in enumerate(trees)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for system in systems:
                await stack.enter_async_context(system.fleet)
                await system.start(arguments.callers, arguments.profile)
                for kind in KINDS:
                    await system.send_requests(kind, WARM_UP_REQUESTS)
            await measure_in_turns(systems, arguments)
            for system in systems:
                for number in (FIRST, SECOND):
                    await system.fleet.stop(f"n{number}")
    return systems


async def measure_in_turns(
    systems: list[System], arguments: argparse.Namespace
) -> None:
    """Adds samples to the systems, which take turns."""
    for number in range(arguments.rounds):
        order = systems if number % 2 else systems[::-1]
        for kind in KINDS:
            for system in order:
                micros = await system.measure(kind, arguments.requests)
                system.samples[kind.name].append(micros)
    for _ in range(arguments.idle_rounds):
        idle_micros = await asyncio.gather(
            *(system.measure_idle() for system in systems)
        )
        for system, micros in zip(systems, idle_micros, strict=True):
            system.samples["one idle second"].append(micros)


def main() -> int:
    """Runs the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", default="", help="another source tree")
    parser.add_argument("--starts", type=int, default=5)
    parser.add_argument("--callers", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=25)
    parser.add_argument("--idle-rounds", type=int, default=2)
    parser.add_argument("--requests", type=int, default=100)
    parser.add_argument("--profile", default="", help="folder for profiles")
    asyncio.run(run(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
