"""Starts the programs of the deploy file as separate processes on loopback."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import typing

from standins import messages, record, settings, upstream

ZONES = ("walvis", "luderitz", "swakop")
SEED_COUNT = 3
EXIT_SECONDS = 3.0
READY_SECONDS = 30.0
ORDER_TIMEOUT = 1.0
CLEAR_RESPONSE_SECONDS = 50.0
"""Seconds after which an order without a clear response is given up.

On a busy machine the processes of a deployment take over 10 s to start.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """The ports, the same on every machine."""

    inbound: int
    outbound: int
    ready: int
    control: int
    app: int
    internal: int


@dataclasses.dataclass(slots=True)
class Machine:
    """A machine with one process of the system.

    Attributes:
      name: its name.
      role: the role of the deploy file.
      ip: its address.
      zone: its zone.
      service: the service of its upstream, empty on a core machine.
      process: the process, None before the first start.
    """

    name: str
    role: str
    ip: str
    zone: str
    service: str = ""
    process: subprocess.Popen | None = None


def find_ports(ips: typing.Iterable[str]) -> Ports:
    """Returns ports that are free at all addresses."""
    rng = random.SystemRandom()
    for _ in range(100):
        first = rng.randrange(20000, 30000)
        if all(is_free(ip, first + k) for ip in ips for k in range(8)):
            return Ports(*range(first, first + 6))
    raise RuntimeError("no free ports")


def is_free(ip: str, port: int) -> bool:
    """Returns whether a port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Fleet:
    """A small deployment: core machines, and machines with upstreams.

    Attributes:
      machines: the machines by name.
      upstreams: the upstreams by the name of their machine.
    """

    def __init__(
        self,
        log: record.Record,
        services: list[str],
        cores: int = 5,
        bounds: dict[str, typing.Any] | None = None,
    ):
        self.log = log
        self.bounds = settings.BOUNDS | (bounds or {})
        self.roles = settings.load_roles()
        rng = random.SystemRandom()
        network = f"127.{rng.randrange(2, 250)}.{rng.randrange(2, 250)}"
        self.machines: dict[str, Machine] = {}
        for number in range(1, cores + 1):
            self.add("core", "control", f"{network}.{number}", number)
        for number, service in enumerate(services, 1):
            ip = f"{network}.{100 + number}"
            self.add("sidecar", "node", ip, number, service)
        self.ports = find_ports(m.ip for m in self.machines.values())
        self.upstreams: dict[str, upstream.Upstream] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.logs: list[typing.IO] = []

    def add(
        self, kind: str, role: str, ip: str, number: int, service: str = ""
    ) -> None:
        """Adds a machine."""
        name = f"{kind}-{number}"
        zone = ZONES[number % len(ZONES)]
        self.machines[name] = Machine(name, role, ip, zone, service)

    @property
    def cores(self) -> list[Machine]:
        """The machines that serve the operator."""
        return [m for m in self.machines.values() if not m.service]

    @property
    def sidecars(self) -> list[Machine]:
        """The machines with an upstream."""
        return [m for m in self.machines.values() if m.service]

    def fields(self, machine: Machine, bootstrap: bool) -> settings.Fields:
        """Returns the fields of a machine's settings, as plain tables."""
        ports = self.ports
        ip = machine.ip
        data_dir = pathlib.Path(self.folder.name) / f"{machine.name}.data"
        seeds = [f"{m.ip}:{ports.control}" for m in self.cores[:SEED_COUNT]]
        return {
            "node_name": machine.name,
            "role": machine.role,
            "ip": ip,
            "zone": machine.zone,
            "region": "nam-coast",
            "bootstrap": bootstrap,
            "data_dir": None if machine.service else str(data_dir),
            "app_addr": f"{ip}:{ports.app}" if machine.service else None,
            "service": machine.service or None,
            "listen_addrs": {
                "inbound": f"{ip}:{ports.inbound}",
                "outbound": f"{ip}:{ports.outbound}",
                "ready": f"{ip}:{ports.ready}",
                "control": f"{ip}:{ports.control}",
            },
            "internal_port_range": [ports.internal, ports.internal + 2],
            "seeds": seeds,
            "bounds": self.bounds,
        }

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Starts the process of a machine with settings as of now."""
        role = self.roles[machine.role]
        folder = pathlib.Path(self.folder.name)
        path = folder / f"{machine.name}.ini"
        path.write_text(
            settings.render(role.template, self.fields(machine, bootstrap))
        )
        output = open(folder / f"{machine.name}.log", "ab")  # noqa: SIM115
        self.logs.append(output)
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(settings.ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MANGOBAY_NODE_FILE"] = str(path)
        machine.process = subprocess.Popen(
            role.command,
            cwd=settings.ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        self.log.add(f"{machine.name} starts")

    def send_signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        machine.process.send_signal(number)
        self.log.add(f"{machine.name} gets {number.name}")

    def log_lines(self, machine: Machine, *words: str) -> list[str]:
        """Returns the lines of a process's log that contain all words."""
        path = pathlib.Path(self.folder.name) / f"{machine.name}.log"
        return [
            line
            for line in path.read_text(errors="replace").splitlines()
            if all(word in line for word in words)
        ]

    def make_upstream(
        self, machine: Machine, **values: typing.Any
    ) -> upstream.Upstream:
        """Returns the upstream of a machine, not started yet."""
        kind = values.pop("kind", upstream.Upstream)
        server = kind(
            self.log,
            machine.ip,
            machine.service,
            app_port=self.ports.app,
            control_port=self.ports.control,
            zone=machine.zone,
            **values,
        )
        self.upstreams[machine.name] = server
        return server

    async def start_all(self, **values: typing.Any) -> None:
        """Starts every process and upstream for the first time."""
        for machine in self.machines.values():
            self.start(machine, bootstrap=True)
        for machine in self.sidecars:
            server = self.upstreams.get(machine.name)
            if server is None:
                server = self.make_upstream(machine, **values)
            await server.start()

    async def order(
        self, manifest: dict[str, typing.Any], base: str
    ) -> messages.Message | None:
        """Sends a manifest until there is a clear response or the time is up."""
        give_up_at = time.monotonic() + CLEAR_RESPONSE_SECONDS
        while time.monotonic() < give_up_at:
            for core in self.cores:
                response = await messages.call_rpc(
                    core.ip,
                    self.ports.control,
                    "config.replace",
                    manifest,
                    headers={"X-Mangobay-Base-Version": base},
                    timeout=ORDER_TIMEOUT,
                )
                if response is not None and response.status < 500:
                    self.log.add(
                        f"operator sends {manifest['version']} on {base} to"
                        f" {core.name}: {response.status}"
                    )
                    return response
            await asyncio.sleep(0.2)
        return None

    async def describe(self, core: Machine) -> messages.Message | None:
        """Reads the manifest from a core machine."""
        return await messages.call_rpc(
            core.ip,
            self.ports.control,
            "config.describe",
            {},
            timeout=ORDER_TIMEOUT,
        )

    async def is_ready(self, machine: Machine) -> bool:
        """Returns whether a node answers the platform's question with 200."""
        data = messages.encode("GET /-/readyz HTTP/1.1", {"Host": machine.name})
        response = await messages.exchange(
            machine.ip, self.ports.ready, data, 1.0
        )
        return response is not None and response.status == 200

    async def wait_until_ready(self) -> None:
        """Waits until all nodes are ready.

        Raises:
          TimeoutError: they are not in time.
        """
        async with asyncio.timeout(READY_SECONDS):
            for machine in self.sidecars:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.1)

    async def request(
        self,
        machine: Machine,
        target: str,
        attempt: str,
        *,
        method: str = "POST",
        deadline_ms: int = 5000,
        headers: dict[str, str] | None = None,
    ) -> messages.Message | None:
        """Sends a client's request to a node; returns its response."""
        data = messages.encode(
            f"{method} {target} HTTP/1.1",
            {
                "Host": "front.example",
                "X-Mangobay-Attempt-Id": attempt,
                "X-Mangobay-Deadline-Ms": str(deadline_ms),
                **(headers or {}),
            },
            b"booking" if method == "POST" else b"",
        )
        self.log.add(f"client sends {attempt} {target} to {machine.name}")
        response = await messages.exchange(
            machine.ip, self.ports.outbound, data, deadline_ms / 1000
        )
        self.log.add(
            f"client gets {response.status if response else 'no answer'}"
            f" for {attempt}"
        )
        return response

    async def close(self) -> None:
        """Ends every upstream and process."""
        for server in self.upstreams.values():
            await server.stop()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    machine.process.wait(EXIT_SECONDS)
        for output in self.logs:
            output.close()
        self.folder.cleanup()
