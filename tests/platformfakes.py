"""Runs the real programs on loopback, started as the platform starts them.

Every host has its own IP address in 127.0.0.0/8, so that all hosts use the
same ports, as they do on the platform.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
PEER, OUTSIDE, READY, HEARTBEATS, OPERATOR, BACKEND, METRICS = range(7620, 7627)
"""Ports of the listeners, the same on every host."""
WAIT_SECONDS = 20.0
"""Maximum wait in seconds, long enough for a busy machine."""

CONTROL_SETTINGS = """[host]
name = c{number}
data_centre = z{number}
[listen]
peer = {ip}:{PEER}
operator = {ip}:{OPERATOR}
metrics = {ip}:{METRICS}
[group]
hosts = {ip}:{PEER}
seeds = {seeds}
voters = {voters}
tolerance = {tolerance}
data = {folder}/data{number}
join = {join}
[log]
file = {folder}/c{number}.log
"""
NODE_SETTINGS = """[host]
name = n{number}
data_centre = z{number}
[listen]
outside = {ip}:{OUTSIDE}
local = 127.0.0.1:1
peer = {ip}:{PEER}
ready = {ip}:{READY}
metrics = {ip}:{METRICS}
heartbeats = {ip}:{HEARTBEATS}
[control]
hosts = {seeds}
seeds = {seeds}
follow = all
cut_off = serve
max_staleness = {max_staleness}
[backend]
service = {service}
address = {ip}:{BACKEND}
[retries]
client_share = 0
[leaving]
grace = {grace}
linger = {linger}
[log]
file = {folder}/n{number}.log
"""


@dataclasses.dataclass
class Response:
    """An HTTP response."""

    status: int
    head: str
    body: bytes


async def send_request(ip, port, data):
    """Returns the response to a request; status 0 with the error if none."""
    try:
        async with asyncio.timeout(3):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            response = await read_response(reader)
            writer.close()
            return response
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Response(0, repr(error), b"")


async def read_response(reader):
    """Returns the next response on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].split()[0])
    status = int(head.split()[1])
    return Response(status, head, await reader.readexactly(length))


def request_bytes(service, attempt_id, milliseconds, key="", target="/x"):
    """Returns the bytes of a request."""
    authorization = f"Authorization: Bearer {key}\r\n" if key else ""
    head = (
        f"GET {target} HTTP/1.1\r\nHost: {service}.example\r\n{authorization}"
        f"X-Mangobay-Attempt-Id: {attempt_id}\r\n"
        f"X-Mangobay-Deadline-Ms: {milliseconds}\r\n\r\n"
    )
    return head.encode()


def response_bytes(attempt_id, status, extra_headers=b""):
    """Returns the bytes of a backend server's response."""
    head = (
        f"HTTP/1.1 {status} Any\r\nX-Mangobay-Attempt-Id: {attempt_id}\r\n"
        "X-Mangobay-Response-Signature: s\r\n"
    )
    return head.encode() + extra_headers + b"Content-Length: 5\r\n\r\nhello"


async def call_rpc(ip, port, call, body, subject="", base=None):
    """Returns the response to an RPC of the platform."""
    data = json.dumps(body).encode()
    extra_headers = f"X-Mangobay-Base-Version: {base}\r\n" if base else ""
    head = (
        f"POST /-/rpc?call={call}&of={subject} HTTP/1.1\r\nHost: x\r\n"
        f"{extra_headers}Content-Length: {len(data)}\r\n\r\n"
    )
    return await send_request(ip, port, head.encode() + data)


def configuration(
    version, services, workspaces=(), route_type="unsafe", max_attempts=2
):
    """Returns a configuration with one route for each service.

    Args:
      version: its version.
      services: names of the services.
      workspaces: name, keys, priority, rate and burst of each workspace; if
        empty, requests need no key.
      route_type: what may be repeated on the routes.
      max_attempts: backend servers to which a request may be sent.
    """
    columns = [
        "name",
        "hostname",
        "path_prefix",
        "route_type",
        "timeout",
        "target_latency",
        "priority",
        "max_attempts",
        "service",
    ]
    rows = [
        [f"r-{name}", f"{name}.example", "/", route_type]
        + ["8s", "1s", 0, max_attempts, name]
        for name in services
    ]
    members = {}
    if workspaces:
        members["tenants"] = {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": list(workspaces),
        }
    return {
        **members,
        "version": f"r{version}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [[name, "/h", 100] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }


class Arrival(typing.NamedTuple):
    """A request that reached a backend server, at a loop time."""

    at: float
    attempt_id: str


class BackendServer:
    """Responds to each request after a delay; counts runs by attempt id."""

    def __init__(self, ip, service, delay_seconds=0.02):
        self.ip = ip
        self.service = service
        self.delay_seconds = delay_seconds
        self.run_counts = {}
        self.deadlines_ms = {}
        self.heads = []
        self.arrivals = []
        self.extra_headers = b""
        self.born = 1
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.heartbeat_task = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, BACKEND)
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(0.5)

    def heartbeat_body(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            "address": f"{self.ip}:{BACKEND}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "z",
                "slots": 50,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining": "0ms",
            },
        }

    async def send_heartbeat(self, body=None):
        """Returns the response to a heartbeat."""
        body = body or self.heartbeat_body()
        call = "instances.heartbeat"
        return await call_rpc(self.ip, HEARTBEATS, call, body, f"i-{self.ip}")

    async def deregister(self):
        """Sends no more heartbeats; returns the response."""
        self.heartbeat_task.cancel()
        self.leaving = True
        call = "instances.deregister"
        body = {"born": self.born}
        return await call_rpc(self.ip, HEARTBEATS, call, body, f"i-{self.ip}")

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if head.startswith("get /h http"):
                    writer.write(self.health_response())
                    continue
                attempt_id = head.partition("attempt-id: ")[2].split()[0]
                self.heads.append(head)
                self.arrivals.append(
                    Arrival(asyncio.get_running_loop().time(), attempt_id)
                )
                self.run_counts[attempt_id] = (
                    self.run_counts.get(attempt_id, 0) + 1
                )
                left_ms = head.partition("deadline-ms: ")[2].split()[0]
                self.deadlines_ms[attempt_id] = int(left_ms)
                await asyncio.sleep(self.delay_seconds)
                await self.respond(writer, attempt_id)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The test has ended; asyncio would log the cancellation.
            return

    def health_response(self):
        """Returns the response to a health check."""
        status = b"503 Leaving" if self.leaving else b"200 OK"
        return b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"

    async def respond(self, writer, attempt_id):
        """Writes the response to a request."""
        writer.write(response_bytes(attempt_id, 200, self.extra_headers))

    async def close(self):
        self.heartbeat_task.cancel()
        self.server.close()


class Caller:
    """A caller's connection that stays open."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, service, attempt_id, milliseconds=8000):
        """Sends a request without waiting for earlier responses."""
        self.writer.write(request_bytes(service, attempt_id, milliseconds))

    async def read_response(self):
        """Returns the next response; status 0 with the error if none."""
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                return await read_response(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return Response(0, repr(error), b"")


class Fleet:
    """Control hosts and nodes; stops every process that it starts."""

    def __init__(self, folder, seeds=3, voters=5, tolerance=0):
        self.folder = folder
        self.root = ROOT
        self.python_arguments = []
        # Test runs at the same time must not share IP addresses.
        self.second_octet = random.SystemRandom().randrange(1, 250)
        self.third_octet = random.SystemRandom().randrange(1, 250)
        self.voters = voters
        self.tolerance = tolerance
        self.seed_numbers = range(1, seeds + 1)
        self.processes = {}
        self.backends = []
        self.backend_class = BackendServer

    def ip(self, number):
        return f"127.{self.second_octet}.{self.third_octet}.{number}"

    @property
    def seeds(self):
        return " ".join(
            f"{self.ip(number)}:{OPERATOR}" for number in self.seed_numbers
        )

    def start(self, name, template, program, **values):
        """Starts a process from a settings template."""
        path = pathlib.Path(self.folder) / f"{name}.ini"
        if not path.exists() or values:
            ports = {
                key: globals()[key]
                for key in ("PEER", "OUTSIDE", "READY", "HEARTBEATS")
                + ("OPERATOR", "BACKEND", "METRICS")
            }
            text = template.format(
                folder=self.folder, seeds=self.seeds, **ports, **values
            )
            path.write_text(text)
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                *self.python_arguments,
                self.root / "platform" / "run.py",
                program,
            ],
            env={**os.environ, "MANGOBAY_NODE_FILE": str(path)},
        )

    def start_control(self, number, join=False):
        self.start(
            f"c{number}",
            CONTROL_SETTINGS,
            "control",
            number=number,
            ip=self.ip(number),
            voters=self.voters,
            tolerance=self.tolerance,
            join="yes" if join else "no",
        )

    async def start_node(
        self, number, service, grace="6s", linger="1s", max_staleness="0"
    ):
        self.start(
            f"n{number}",
            NODE_SETTINGS,
            "node",
            number=number,
            ip=self.ip(number),
            service=service,
            grace=grace,
            linger=linger,
            max_staleness=max_staleness,
        )
        backend = self.backend_class(self.ip(number), service)
        self.backends.append(backend)
        await backend.start()
        return backend

    def restart(self, name, program):
        """Starts a process again with its previous settings."""
        self.start(name, "", program)

    async def stop(self, name, signal_number=signal.SIGTERM):
        """Sends a signal to a process; returns its exit code."""
        process = self.processes[name]
        process.send_signal(signal_number)
        return await asyncio.to_thread(process.wait, WAIT_SECONDS)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        for backend in self.backends:
            await backend.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    async def replace_config(
        self,
        number,
        version,
        services,
        base,
        workspaces=(),
        route_type="unsafe",
        max_attempts=2,
    ):
        """Sends a configuration to a control host."""
        document = configuration(
            version, services, workspaces, route_type, max_attempts
        )
        return await call_rpc(
            self.ip(number), OPERATOR, "config.replace", document, base=base
        )

    async def describe_config(self, number):
        """Reads the configuration from a control host."""
        return await call_rpc(self.ip(number), OPERATOR, "config.describe", {})

    async def request(
        self,
        number,
        service,
        attempt_id,
        milliseconds=2000,
        key="",
        target="/x",
    ):
        """Sends a request to a node."""
        data = request_bytes(service, attempt_id, milliseconds, key, target)
        return await send_request(self.ip(number), OUTSIDE, data)

    async def connect(self, number):
        """Returns a caller's connection to a node."""
        return Caller(*await asyncio.open_connection(self.ip(number), OUTSIDE))

    async def ready(self, number):
        """Returns whether a node reports that it is ready."""
        response = await send_request(
            self.ip(number), READY, b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        return response.status == 200

    async def metric(self, number, name):
        """Returns a gauge of a node, None if it has no such metric."""
        response = await send_request(
            self.ip(number),
            METRICS,
            b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
        )
        for line in response.body.decode().splitlines():
            if line.split(" ")[0].split("{")[0] == f"mangobay_{name}":
                return float(line.split()[-1])
        return None


async def wait_until(check, seconds=WAIT_SECONDS):
    """Returns the first true result of an asynchronous check."""
    async with asyncio.timeout(seconds):
        while True:
            result = await check()
            if result:
                return result
            await asyncio.sleep(0.1)
