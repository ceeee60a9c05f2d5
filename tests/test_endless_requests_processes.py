"""The real programs: bodies without end at ports that no caller uses."""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib

import platformfakes
import pytest

MAX_MEMORY_KB = 200 * 1024
"""Memory that no process may exceed, whatever is sent to it."""
SENDER_COUNT = 30
FLOOD_SECONDS = 1.2
PIECE_BYTES = 64 * 1024
NODE, CONTROL = 11, 1
HEAD = b"POST /-/rpc?call=%s&of=i-1 HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bytes:
    """What a sender writes on a connection.

    Attributes:
      first: written once.
      repeated: written until the connection ends.
    """

    first: bytes
    repeated: bytes


def endless_bodies(call):
    """Returns bodies without end, each of another kind.

    Args:
      call: name of the procedure that they seem to call.
    """
    head = HEAD % call
    large_chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    chunked = Bytes(first=head + CHUNKED, repeated=large_chunk)
    sized = Bytes(
        first=head + b"Content-Length: 9000000\r\n\r\n",
        repeated=b"x" * PIECE_BYTES,
    )
    small_chunks = Bytes(first=head + CHUNKED, repeated=b"2\r\nab\r\n" * 4096)
    return [*[chunked, sized] * 7, small_chunks]


def endless_requests():
    """Returns requests without end, whose responses nobody reads."""
    request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    return [Bytes(first=b"", repeated=request * 1000)]


class Flood:
    """Connections to one port that send without end and read nothing.

    Attributes:
      sent_bytes: bytes written in all.
      stopped: no more is sent.
      transports: all connections.
    """

    def __init__(self, ip, port, kinds):
        self.ip = ip
        self.port = port
        self.kinds = kinds
        self.sent_bytes = 0
        self.stopped = False
        self.transports = set()

    async def send(self, kind):
        """Sends on one connection after the other."""
        while not self.stopped:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(self.ip, self.port)
                self.transports.add(writer.transport)
                writer.write(kind.first)
                while not self.stopped:
                    writer.write(kind.repeated)
                    self.sent_bytes += len(kind.repeated)
                    await writer.drain()

    def stop(self):
        """Ends all connections."""
        self.stopped = True
        for transport in self.transports:
            transport.abort()

    @contextlib.asynccontextmanager
    async def running(self):
        """Sends on all connections while its body runs."""
        kinds = itertools.islice(itertools.cycle(self.kinds), SENDER_COUNT)
        senders = [asyncio.create_task(self.send(kind)) for kind in kinds]
        try:
            yield
        finally:
            self.stop()
            await asyncio.gather(*senders)


@pytest.fixture
async def fleet(tmp_path):
    """Yields a control host, and a node that serves."""
    async with platformfakes.Fleet(tmp_path, seeds=1, voters=1) as fleet:
        fleet.start_control(CONTROL)
        await fleet.start_node(NODE, "a")

        async def accepted():
            response = await fleet.replace_config(CONTROL, 1, ["a"], "0")
            return response.status == 200

        async def served():
            return (await fleet.request(NODE, "a", "served")).status == 200

        await platformfakes.wait_until(accepted)
        await platformfakes.wait_until(served)
        yield fleet


def peak_memory_kb(process):
    """Returns the greatest memory that a process has had."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0])


async def repeat(send):
    """Returns the statuses of requests sent in turn for some time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + FLOOD_SECONDS
    statuses = []
    while loop.time() < ends_at:
        statuses.append((await send()).status)
        await asyncio.sleep(0.05)
    return statuses


class TestEndlessRequests:
    """Each port in turn gets bytes without end beside proper requests."""

    async def test_no_port_takes_in_more_than_its_host_bears(self, fleet):
        """Guards against processes that end because strangers fill them."""
        node_ip, control_ip = fleet.ip(NODE), fleet.ip(CONTROL)
        attempts = itertools.count()

        def call():
            return fleet.request(NODE, "a", f"beside-{next(attempts)}")

        def get(ip, port, path):
            data = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
            return platformfakes.send_request(ip, port, data)

        ports = {
            "ready": (
                Flood(node_ip, platformfakes.READY, endless_bodies(b"x")),
                lambda: get(node_ip, platformfakes.READY, "/-/readyz"),
            ),
            "metrics": (
                Flood(node_ip, platformfakes.METRICS, endless_bodies(b"x")),
                lambda: get(node_ip, platformfakes.METRICS, "/metrics"),
            ),
            "pipelined requests": (
                Flood(node_ip, platformfakes.METRICS, endless_requests()),
                lambda: get(node_ip, platformfakes.METRICS, "/metrics"),
            ),
            "heartbeats": (
                Flood(
                    node_ip,
                    platformfakes.HEARTBEATS,
                    endless_bodies(b"instances.heartbeat"),
                ),
                fleet.backends[0].send_heartbeat,
            ),
            "control metrics": (
                Flood(control_ip, platformfakes.METRICS, endless_bodies(b"x")),
                lambda: get(control_ip, platformfakes.METRICS, "/metrics"),
            ),
            "orders": (
                Flood(
                    control_ip,
                    platformfakes.OPERATOR,
                    endless_bodies(b"config.replace"),
                ),
                lambda: fleet.describe_config(CONTROL),
            ),
        }
        memory = {}
        statuses = {}
        failed_calls = {}
        for name, (flood, request) in ports.items():
            async with flood.running():
                results, calls = await asyncio.gather(
                    repeat(request), repeat(call)
                )
            statuses[name] = set(results)
            failed_calls[name] = [each for each in calls if each != 200]
            assert flood.sent_bytes > SENDER_COUNT * PIECE_BYTES
            processes = fleet.processes.values()
            assert [each.poll() for each in processes] == [None, None]
            memory[name] = max(map(peak_memory_kb, processes))
        assert max(memory.values()) < MAX_MEMORY_KB, memory
        assert statuses == {name: {200} for name in ports}
        assert failed_calls == {name: [] for name in ports}


def greedy_orders():
    """Returns orders that take many times their size once they are parsed."""
    return [order for size in (8_000_000, 16_000_000) for order in sized(size)]


def sized(size):
    """Returns such orders of a size in bytes."""
    return [
        b'["' + b"x" * size + "\U0001f600".encode() + b'"]',
        b"[" + b"{}," * (size // 3) + b"1]",
        b"[" + b'{"a":1},' * (size // 8) + b"1]",
    ]


class TestGreedyOrders:
    """Orders within the limit of their size."""

    async def test_order_grows_little_when_it_is_parsed(self, fleet):
        """Guards against a single order that ends a control host."""
        process = fleet.processes[f"c{CONTROL}"]
        for order in greedy_orders():
            response = await platformfakes.send_request(
                fleet.ip(CONTROL),
                platformfakes.OPERATOR,
                HEAD % b"config.replace"
                + b"Content-Length: %d\r\n\r\n" % len(order)
                + order,
            )
            assert response.status in (400, 413), response
            assert process.poll() is None
            assert peak_memory_kb(process) < MAX_MEMORY_KB
