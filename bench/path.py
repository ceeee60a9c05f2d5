"""Processor time and latency of a node's way, against a plain forwarder.

Run `python -m bench.path`: starts a control host, two nodes, two backend
servers and a forwarder on loopback for less than a minute.  The ways take
turns within each round, so that noise of the machine meets all alike.
"""

import argparse
import asyncio
import dataclasses
import os
import pathlib
import tempfile

from bench import cluster, deployment, hosts, latency, launcher, sessions
from mangobay import ids, options

WORKERS = 8
"""Calls at once in the concurrent part."""
CALLS = 120
"""Of each way, part and round."""
APPLY_SECONDS = 10.0
FORWARDER = "forwarder"
TICKS = os.sysconf("SC_CLK_TCK")
CPU_FIELDS = slice(11, 13)
"""utime and stime in /proc/PID/stat, behind the name of the program."""


@dataclasses.dataclass(slots=True)
class Path:
    """One way, and the processes between caller and backend server.

    Attributes:
      alone: one call at a time.
      together: WORKERS calls at a time.
      processes: ids of the processes whose time counts.
      seconds: their processor time.
      calls: that it was spent for.
    """

    alone: latency.Way
    together: latency.Way
    processes: tuple[int, ...]
    seconds: float = 0.0
    calls: int = 0

    def micros(self) -> float:
        """Returns microseconds of processor time a call."""
        return self.seconds / max(self.calls, 1) * 1e6


def cpu_seconds(process: int) -> float:
    """Returns the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{process}/stat").read_text()
    behind_name = text.rpartition(")")[2].split()
    return sum(map(int, behind_name[CPU_FIELDS])) / TICKS


def small_plan(name: str) -> deployment.Deployment:
    """Returns a deployment of two hosts, each of another service."""
    plan = deployment.read(name)
    called = latency.leaf_of(plan).service
    others = [each for each in plan.services if each != called]
    services = {
        service: dataclasses.replace(plan.services[service], upstreams=1)
        for service in (called, others[0])
    }
    return dataclasses.replace(
        plan, services=services, data_centres=plan.data_centres[:1]
    )


async def start(system: cluster.Cluster) -> None:
    """Starts everything; the backend servers answer at once."""
    await system.start()
    data = system.plan.sheet.read_bytes()
    await system.apply(data, "1", APPLY_SECONDS)
    for host in system.layout.nodes:
        await system.tell(host, {"factor": 0.0})


async def start_forwarder(
    system: cluster.Cluster, service: ids.ServiceName
) -> options.Address:
    """Starts the forwarder; returns where it listens."""
    address = hosts.Ports().take()
    backend = system.layout.nodes[0].backend
    await system.fleet.start(
        FORWARDER,
        "bench.forwarder",
        f"--listen={address}",
        f"{service}={backend}",
    )
    await system.fleet.ready(FORWARDER, address)
    return address


async def paths(system: cluster.Cluster) -> list[Path]:
    """Returns the ways that are compared."""
    operation = latency.leaf_of(system.plan)
    serving, other = system.layout.nodes
    forwarder = await start_forwarder(system, operation.service)

    def path(name: str, url: str, *processes: str) -> Path:
        """Returns a way over the processes of these names."""
        pids = [system.fleet.started[each].process.pid for each in processes]
        ways = (latency.Way(name, url), latency.Way(name, url))
        return Path(*ways, tuple(pids))

    return [
        path("backend server itself", latency.direct(serving.backend)),
        path(
            "plain forwarder", latency.through(forwarder, operation), FORWARDER
        ),
        path(
            "node of the service",
            latency.through(serving.outside, operation),
            serving.name,
        ),
        path(
            "node of another service",
            latency.through(other.outside, operation),
            serving.name,
            other.name,
        ),
    ]


async def call_often(session, way: latency.Way, target: str, count: int):
    """Makes calls one after the other and keeps their times."""
    loop = asyncio.get_running_loop()
    for _ in range(count):
        began = loop.time()
        async with session.get(way.url + target) as response:
            await response.read()
        micros = int((loop.time() - began) * 1e6)
        way.failed += response.status != 200
        way.histogram.record_value(max(1, micros))


async def take_turn(session, path: Path, target: str) -> None:
    """Calls one way, alone and together, and counts processor time."""
    before = sum(map(cpu_seconds, path.processes))
    await call_often(session, path.alone, target, CALLS)
    share = CALLS // WORKERS
    await asyncio.gather(
        *(
            call_often(session, path.together, target, share)
            for _ in range(WORKERS)
        )
    )
    path.seconds += sum(map(cpu_seconds, path.processes)) - before
    path.calls += CALLS + share * WORKERS


async def measure(ways: list[Path], target: str, rounds: int) -> None:
    """Lets the ways take turns; the first round only warms up."""
    session = sessions.open_session()
    try:
        for number in range(rounds + 1):
            for path in ways:
                await take_turn(session, path, target)
                if not number:
                    path.alone.histogram.reset()
                    path.together.histogram.reset()
                    path.seconds, path.calls = 0.0, 0
    finally:
        await session.close()


def report(ways: list[Path]) -> list[str]:
    """Returns a table; ratios are to the forwarder, `added` to the direct."""
    direct, plain = ways[0].alone, ways[1].alone
    lines = [
        f"{'way':24} {'CPU us':>7} {'p50 ms':>7} {'ratio':>6} {'added':>6}"
        f" {'ratio':>6} {'p99 ms':>7} {'added':>6} {'x8 p50':>7}"
        f" {'x8 p99':>7} {'failed':>7}"
    ]
    for path in ways:
        way, many = path.alone, path.together
        added = way.at(50) - direct.at(50)
        base = plain.at(50) - direct.at(50)
        lines.append(
            f"{way.name:24} {path.micros():7.0f} {way.at(50):7.3f}"
            f" {way.at(50) / plain.at(50):6.2f} {added:6.3f}"
            f" {added / base:6.2f} {way.at(99):7.3f}"
            f" {way.at(99) - direct.at(99):6.3f} {many.at(50):7.2f}"
            f" {many.at(99):7.2f} {way.failed + many.failed:7d}"
        )
    return lines


async def run(name: str, rounds: int) -> None:
    """Starts the processes, measures and prints the table."""
    plan = small_plan(name)
    operation = latency.leaf_of(plan)
    target = deployment.target_of(operation, 1)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        async with (
            launcher.Fleet(path) as fleet,
            cluster.Cluster(plan, fleet, path, 1.0) as system,
        ):
            await start(system)
            ways = await paths(system)
            await measure(ways, target, rounds)
            # A node that leaves asks control who takes its keys over.
            for name in reversed([*fleet.started]):
                await fleet.stop(name)
    print("\n".join(report(ways)))


def main() -> None:
    """Runs the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="cedal")
    parser.add_argument("--rounds", type=int, default=12)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.deployment, arguments.rounds))


if __name__ == "__main__":
    main()
