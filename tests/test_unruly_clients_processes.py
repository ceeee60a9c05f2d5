"""The real programs beside clients that break the limits of their ports."""

import contextlib
import functools
import itertools
import random
import socket
import subprocess
import sys

import crowdfakes
import platformfakes
import pytest

RECEIVED_BYTES = 4 * 1024 * 1024
"""The lowered bound on received bytes."""
DEFAULT_RECEIVED_BYTES = 48 * 1024 * 1024
MACHINE_BYTES = 200 * 1000 * 1000
"""Memory of the smallest machine."""
MAX_MEMORY_KB = (
    MACHINE_BYTES - DEFAULT_RECEIVED_BYTES + RECEIVED_BYTES
) // 1024
"""What is left of it when the bound on received bytes is lowered."""
CONNECTIONS = 500
MAX_DESCRIPTORS = 2 * CONNECTIONS
"""Bound on the open descriptors of each process."""
LIMITS = f"""
[limits]
answer_bytes = 2097152
frame_bytes = 2097152
received_bytes = {RECEIVED_BYTES}
connections = {CONNECTIONS}
"""
ENTRY, SERVER, CONTROL = 11, 12, 1
ANSWER_BYTES = 64 * 1024
LONG_ANSWER_BYTES = 2_000_000


class LargeServer(platformfakes.BackendServer):
    """A backend server with many slots and large responses.

    Attributes:
      body: the body of each response.
    """

    body = b"x" * ANSWER_BYTES

    def heartbeat_body(self):
        document = super().heartbeat_body()
        document["info"]["slots"] = CONNECTIONS
        return document

    async def respond(self, writer, attempt_id):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Mangobay-Attempt-Id: %s\r\n"
            b"X-Mangobay-Response-Signature: s\r\nContent-Length: %d\r\n\r\n"
            % (attempt_id.encode(), len(self.body))
            + self.body
        )
        await writer.drain()


class LimitedFleet(platformfakes.Fleet):
    """A fleet whose nodes have lowered limits."""

    def start(self, name, template, program, **values):
        if program == "node":
            template += LIMITS
        super().start(name, template, program, **values)


@pytest.fixture
async def fleet(tmp_path):
    """Yields a control host, a node for callers, and one beside a server."""
    async with LimitedFleet(tmp_path, seeds=1, voters=1) as fleet:
        fleet.start_control(CONTROL)
        await fleet.start_node(ENTRY, "a")
        fleet.backend_class = LargeServer
        await fleet.start_node(SERVER, "b")

        async def accepted():
            response = await fleet.replace_config(
                CONTROL, 1, ["a", "b"], "0", route_type="safe"
            )
            return response.status == 200

        await platformfakes.wait_until(accepted)
        for service in ("a", "b"):
            await crowdfakes.wait_until_answered(
                lambda service=service: fleet.request(ENTRY, service, "first"),
                {200},
            )
        yield fleet


async def check(processes, send, statuses, ip, port, count, make_pieces):
    """Asserts that processes bear a crowd, and serve beside and after it.

    Args:
      processes: the processes.
      send: sends an ordinary request.
      statuses: how it may be answered.
      ip: IP address that the crowd connects to.
      port: port that it connects to.
      count: number of its connections.
      make_pieces: returns what a connection sends, in pieces.
    """
    async with crowdfakes.crowd(ip, port, count, make_pieces):
        peak_kb, descriptors = await crowdfakes.watch(processes, MAX_MEMORY_KB)
        assert peak_kb < MAX_MEMORY_KB
        assert descriptors < MAX_DESCRIPTORS
        await crowdfakes.wait_until_answered(send, statuses)
    await crowdfakes.wait_until_answered(send, statuses)
    peak_kb, _ = await crowdfakes.watch(processes, MAX_MEMORY_KB)
    assert peak_kb < MAX_MEMORY_KB


class TestNode:
    """The port of a node that callers reach."""

    async def check(self, fleet, count, make_pieces):
        """Asserts that the fleet bears a crowd at its first node."""
        attempts = itertools.count()
        await check(
            list(fleet.processes.values()),
            lambda: fleet.request(ENTRY, "a", f"beside-{next(attempts)}"),
            {200},
            fleet.ip(ENTRY),
            platformfakes.OUTSIDE,
            count,
            make_pieces,
        )

    async def test_heads_without_end(self, fleet):
        """Guards against heads whose lines are bounded, but not their sum."""
        await self.check(
            fleet, 100, lambda: crowdfakes.head_without_end(16_000)
        )

    async def test_large_requests_ahead(self, fleet):
        """Guards against requests that wait with their heads in memory."""
        await self.check(
            fleet,
            300,
            lambda: crowdfakes.requests_ahead("a", 64, head_bytes=10_000),
        )

    async def test_small_requests_ahead(self, fleet):
        """Guards against requests that are bounded for each connection only."""
        await self.check(fleet, 400, lambda: crowdfakes.requests_ahead("a", 64))

    async def test_many_requests_ahead(self, fleet):
        """Guards against all requests of one read being handled at once."""
        await self.check(
            fleet, 50, lambda: crowdfakes.requests_ahead("a", 20_000)
        )

    async def test_answers_ahead(self, fleet):
        """Guards against answers that wait for their turn without bound."""
        await self.check(
            fleet, 50, lambda: crowdfakes.requests_ahead("b", 20_000)
        )

    async def test_long_answers_unread(self, fleet):
        """Guards against long answers that wait for slow readers."""
        fleet.backends[1].body = b"x" * LONG_ANSWER_BYTES
        await self.check(fleet, 400, lambda: crowdfakes.requests_ahead("b", 1))

    async def test_empty_lines_without_end(self, fleet):
        """Guards against empty lines that occupy a process."""
        await self.check(fleet, 100, crowdfakes.empty_lines)


def random_pieces(rng):
    """Returns what the connections of a random crowd send."""
    service = rng.choice(["a", "b"])
    return rng.choice(
        [
            lambda: crowdfakes.head_without_end(rng.randrange(100, 16_000)),
            lambda: crowdfakes.requests_ahead(
                service, rng.choice([1, 64, 2000]), rng.randrange(12_000)
            ),
            crowdfakes.empty_lines,
            lambda: [b"POST /x HTTP/1.1\r\nHost: a.example\r\n"],
        ]
    )


@pytest.mark.soak
class TestMixes:
    """Several crowds at once at the port of a node that callers reach."""

    @pytest.mark.parametrize("seed", range(10))
    async def test_random_crowds(self, fleet, seed):
        """Guards against clients whose mix costs more than each kind of them."""
        rng = random.Random(seed)
        attempts = itertools.count()
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(3):
                await stack.enter_async_context(
                    crowdfakes.crowd(
                        fleet.ip(ENTRY),
                        platformfakes.OUTSIDE,
                        rng.randrange(20, 130),
                        random_pieces(rng),
                    )
                )
            await check(
                list(fleet.processes.values()),
                lambda: fleet.request(ENTRY, "a", f"beside-{next(attempts)}"),
                {200},
                fleet.ip(ENTRY),
                platformfakes.OUTSIDE,
                rng.randrange(1, 100),
                random_pieces(rng),
            )


STANDALONE_NODE = f"""
[host]
name = alone
data_centre = z
[listen]
outside = {{outside}}
local = {{local}}
peer = {{peer}}
[control]
hosts = 127.0.0.1:1
{LIMITS}
"""
STANDALONE_CONTROL = """
[host]
name = c1
data_centre = z
[listen]
peer = {peer}
operator = {operator}
[group]
hosts = {peer}
data = {folder}/data
"""


def free_port():
    """Returns a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


@contextlib.contextmanager
def running(folder, module, template, names):
    """Yields a program and the ports of its listeners, by their names."""
    ports = {name: free_port() for name in names}
    path = folder / f"{module}.ini"
    addresses = {name: f"127.0.0.1:{port}" for name, port in ports.items()}
    path.write_text(template.format(folder=folder, **addresses))
    command = ["-m", f"mangobay.{module}", "--settings", str(path)]
    with open(folder / "log", "w") as log:
        process = subprocess.Popen([sys.executable, *command], stderr=log)
    try:
        yield process, ports
    finally:
        process.kill()
        process.wait()


def get(port, path):
    """Returns the response to a request without body."""
    data = f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()
    return platformfakes.send_request("127.0.0.1", port, data)


class TestStandaloneNode:
    """A node whose listeners are those of `httpserver`, without control."""

    @pytest.fixture
    def node(self, tmp_path):
        names = ("outside", "local", "peer")
        with running(tmp_path, "cmdnode", STANDALONE_NODE, names) as started:
            yield started

    async def check(self, node, port_name, count, make_pieces):
        """Asserts that the node bears a crowd at a port, and answers."""
        process, ports = node
        port = ports[port_name]
        send = functools.partial(get, port, "/x")
        # Without a lease, every request is refused.
        statuses = {400, 404, 503}
        await crowdfakes.wait_until_answered(send, statuses)
        await check(
            [process], send, statuses, "127.0.0.1", port, count, make_pieces
        )

    async def test_heads_without_end(self, node):
        """Guards against heads whose lines are bounded, but not their sum."""
        await self.check(
            node, "outside", 100, lambda: crowdfakes.head_without_end(8_000)
        )

    async def test_heads_without_end_at_the_local_port(self, node):
        """Guards against a bound that only one of the ports has."""
        await self.check(
            node, "local", 100, lambda: crowdfakes.head_without_end(8_000)
        )

    async def test_large_requests_ahead(self, node):
        """Guards against requests that wait with their heads in memory."""
        await self.check(
            node,
            "outside",
            400,
            lambda: crowdfakes.requests_ahead("a", 64, head_bytes=7_000),
        )

    async def test_many_requests_ahead(self, node):
        """Guards against all requests of one read being handled at once."""
        await self.check(
            node, "outside", 50, lambda: crowdfakes.requests_ahead("a", 20_000)
        )

    async def test_empty_lines_without_end(self, node):
        """Guards against empty lines that occupy a process."""
        await self.check(node, "outside", 100, crowdfakes.empty_lines)


class TestStandaloneControl:
    """The port for operators of a control host without routes."""

    @pytest.fixture
    def control(self, tmp_path):
        names = ("peer", "operator")
        with running(
            tmp_path, "cmdcontrol", STANDALONE_CONTROL, names
        ) as started:
            yield started

    async def check(self, control, make_pieces):
        """Asserts that the control host bears a crowd, and answers."""
        process, ports = control
        port = ports["operator"]
        send = functools.partial(get, port, "/health")
        await crowdfakes.wait_until_answered(send, {200})
        await check([process], send, {200}, "127.0.0.1", port, 200, make_pieces)

    async def test_heads_without_end(self, control):
        """Guards against heads whose lines are bounded, but not their sum."""
        await self.check(control, lambda: crowdfakes.head_without_end(8_000))

    async def test_large_requests_ahead(self, control):
        """Guards against requests that wait with their heads in memory."""
        await self.check(
            control,
            lambda: crowdfakes.requests_ahead("a", 128, head_bytes=7_000),
        )


class TestControl:
    """The port for operators of a control host with routes."""

    @pytest.mark.parametrize(
        "make_pieces",
        [
            lambda: crowdfakes.head_without_end(16_000),
            lambda: crowdfakes.requests_ahead("a", 20_000),
            crowdfakes.empty_lines,
        ],
        ids=["heads", "requests ahead", "empty lines"],
    )
    async def test_crowd(self, fleet, make_pieces):
        """Guards against control hosts that end because strangers fill them."""
        await check(
            list(fleet.processes.values()),
            lambda: fleet.describe_config(CONTROL),
            {200},
            fleet.ip(CONTROL),
            platformfakes.OPERATOR,
            200,
            make_pieces,
        )
