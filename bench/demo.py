"""The main job on a whole deployment, with faults and a surge, in a minute."""

import argparse
import asyncio
import contextlib
import csv
import io
import pathlib
import sys
import tempfile
import time

import aiohttp

from bench import cluster, deployment, hosts, latency, launcher, load, verdict
from mangobay import errors

SLOTS_SHARE = 0.1
"""One machine stands for the hosts: a tenth of the slots, a tenth of the
calls fill them."""
CALLER_TRIES = 2
IN_FORCE_SECONDS = 15.0
LATENCY_ROUNDS = 200
SHOWN = 3
"""Cases of each kind that the report names."""
FORWARDER = "forwarder"
STEADY, KILLED_NODE, KILLED_CONTROL, PLANNED, TROUBLE, AFTER = (
    "steady",
    "a node killed",
    "the leader killed",
    "a planned stop",
    "surge and slow service",
    "after it",
)
SECONDS = {
    STEADY: 8.0,
    KILLED_NODE: 6.0,
    KILLED_CONTROL: 6.0,
    PLANNED: 6.0,
    TROUBLE: 8.0,
    AFTER: 8.0,
}


def changed_sheet(data: bytes) -> bytes:
    """Returns the sheet with one more operation, as a planner would add it."""
    text = data.decode("utf-8-sig")
    delimiter = ";" if ";" in text.partition("\n")[0] else ","
    rows = list(csv.reader(io.StringIO(text, newline=""), delimiter=delimiter))
    added = list(rows[1])
    added[1] += "-again"
    added[3] += "/again"
    rows.append(added)
    out = io.StringIO(newline="")
    csv.writer(out, delimiter=delimiter).writerows(rows)
    return out.getvalue().encode()


class Demo:
    """One run of the main job.

    Attributes:
      plan: the deployment.
      running: its processes.
      phases: what was done when.
      in_force: seconds until each sheet was in force everywhere.
      broken: promises that were broken, in words.
    """

    def __init__(self, plan: deployment.Deployment, running: cluster.Cluster):
        self.plan = plan
        self.running = running
        self.phases: list[verdict.Phase] = []
        self.in_force: list[float] = []
        self.broken: list[str] = []
        self.ways: list[latency.Way] = []
        self.began = time.monotonic()
        nodes = running.layout.nodes
        self.load = load.Load(
            plan, [host.outside for host in nodes], plan.rate, CALLER_TRIES
        )

    def say(self, sentence: str) -> None:
        """Shows progress."""
        print(f"{time.monotonic() - self.began:6.1f} s  {sentence}", flush=True)

    async def run(self) -> None:
        """Does the whole job; leaves the load finished."""
        self.say(
            f"{len(self.running.layout.controls)} control hosts,"
            f" {len(self.running.layout.nodes)} hosts with backend servers"
        )
        await self.running.start()
        self.say("all are up and announced")
        await self.apply(self.plan.sheet.read_bytes(), "demo-1")
        await self.measure_latency()
        await self.load.run(2.0)
        await self.phase(STEADY)
        await self.kill_node()
        await self.kill_leader()
        await self.planned_stop()
        await self.trouble()
        self.say("waiting for the last answers")
        await self.load.finish()

    async def apply(self, data: bytes, version: str) -> None:
        """Applies a sheet and notes how long it takes everywhere."""
        try:
            seconds = await self.running.apply(data, version, IN_FORCE_SECONDS)
        except errors.MangobayError as error:
            self.broken.append(f"sheet {version}: {error}")
            self.say(f"sheet {version}: {error}")
            return
        self.in_force.append(seconds)
        self.say(f"sheet {version} in force everywhere after {seconds:.2f} s")

    async def phase(self, name: str) -> None:
        """Lets the load run for a phase."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.say(f"load {self.load.rate:g} calls a second: {name}")
        await self.load.run(SECONDS[name])
        self.phases.append(verdict.Phase(name, start, loop.time()))

    async def measure_latency(self) -> None:
        """Compares the ways to a backend server while nothing else runs."""
        operation = latency.leaf_of(self.plan)
        nodes = self.running.layout.nodes
        own = [host for host in nodes if host.service == operation.service]
        other = next(host for host in nodes if host not in own)
        address = hosts.Ports().take()
        backends = [f"{host.service}={host.backend}" for host in own]
        fleet = self.running.fleet
        await fleet.start(
            FORWARDER, "bench.forwarder", f"--listen={address}", *backends
        )
        await fleet.ready(FORWARDER, address)
        self.ways = [
            latency.Way("direct", latency.direct(own[0].backend)),
            latency.Way("plain forwarder", latency.through(address, operation)),
            latency.Way(
                "node of the service",
                latency.through(own[0].outside, operation),
            ),
            latency.Way(
                "node of another service",
                latency.through(other.outside, operation),
            ),
        ]
        self.say("measuring what a node adds to a call")
        await self.running.slow_down(operation.service, 0.0)
        await latency.measure(self.ways, operation, LATENCY_ROUNDS)
        await self.running.slow_down(operation.service, 1.0)
        await fleet.stop(FORWARDER)

    async def kill_node(self) -> None:
        """Kills one node in the middle of its calls, then starts it again."""
        victim = self.running.layout.nodes[1]
        await self.running.fleet.kill(victim.name)
        self.say(f"killed the node of {victim.name}")
        await self.phase(KILLED_NODE)
        await self.running.start_node(victim)

    async def kill_leader(self) -> None:
        """Kills the leader, changes the sheet, starts the leader again."""
        leader = await self.running.leader()
        await self.running.fleet.kill(leader.name)
        self.say(f"killed the leader {leader.name}")
        changing = asyncio.create_task(
            self.apply(changed_sheet(self.plan.sheet.read_bytes()), "demo-2")
        )
        await self.phase(KILLED_CONTROL)
        await changing
        await self.running.start_control(leader)

    async def planned_stop(self) -> None:
        """Stops a host under load; its node and backend server end with 0."""
        host = self.running.layout.nodes[-1]
        self.load.targets.remove(host.outside)
        stopping = asyncio.create_task(self.running.stop_host(host))
        await self.phase(PLANNED)
        codes = await stopping
        if any(codes):
            self.broken.append(f"the planned stop ended with codes {codes}")
        await self.running.start_node(host)
        await self.running.start_backend(host)
        await self.running.wait_serving({host.name})
        self.load.targets.append(host.outside)

    async def trouble(self) -> None:
        """Slows the deepest service while demand surges, then ends both."""
        service = list(self.plan.services)[-1]
        await self.running.slow_down(service, self.plan.slowdown)
        self.load.rate = self.plan.rate * self.plan.surge
        await self.phase(TROUBLE)
        await self.running.slow_down(service, 1.0)
        self.load.rate = self.plan.rate
        await self.phase(AFTER)

    async def report(self) -> list[str]:
        """Returns the report and notes the promises that were broken."""
        runs = await self.running.runs()
        calls = self.load.calls
        truth = verdict.truth_of(self.plan, calls, runs)
        self.check_truth(truth)
        self.check_planned()
        attempts = sum(len(call.attempts) for call in calls)
        return [
            f"{self.plan.name}: {len(calls)} calls, {attempts} attempts,"
            f" {len(runs)} runs at backend servers",
            "",
            *self.goodput_lines(),
            "",
            *latency.report(self.ways),
            "",
            f"doubled runs          {len(truth.doubled)}",
            f"false not_run         {len(truth.false_not_run)}",
            f"misled by not_run     {len(truth.misled)}",
            f"answers of others     {len(truth.foreign)}",
            f"time to recover       {self.recovery()}",
            "in force everywhere   "
            + ", ".join(f"{seconds:.2f} s" for seconds in self.in_force),
            f"wasted work           {verdict.wasted_share(calls, runs):.1%}",
        ]

    def check_truth(self, truth: verdict.Truth) -> None:
        """Notes what callers were told and must not have been."""
        for sentence, found in (
            ("ran more than once", truth.doubled),
            ("was told not_run, but ran", truth.false_not_run),
            ("was told not_run last, but its key ran", truth.misled),
            ("got the answer of another request", truth.foreign),
        ):
            self.broken += [f"{item} {sentence}" for item in found[:SHOWN]]
            if len(found) > SHOWN:
                self.broken.append(f"{len(found) - SHOWN} more {sentence}")

    def check_planned(self) -> None:
        """Notes calls that the planned stop cut."""
        [planned] = [item for item in self.phases if item.name == PLANNED]
        for call in planned.calls(self.load.calls):
            if call.attempts[-1].outcome == load.UNKNOWN:
                self.broken.append(f"{call.work} was cut by a planned stop")

    def goodput_lines(self) -> list[str]:
        """Returns the share of good calls by phase and importance."""
        groups = verdict.by_importance(self.load.calls)
        lines = [
            f"{'goodput, share of calls':24} "
            + " ".join(f"{group.name.lower():>10}" for group in groups)
        ]
        for phase in self.phases:
            shares = [
                verdict.good_share(phase.calls(group))
                for group in groups.values()
            ]
            cells = " ".join(f"{share:10.1%}" for share in shares)
            lines.append(f"{phase.name:24} {cells}")
        return lines

    def recovery(self) -> str:
        """Returns the time to recover in words."""
        by_name = {item.name: item for item in self.phases}
        before = verdict.good_share(by_name[STEADY].calls(self.load.calls))
        after = by_name[AFTER]
        seconds = verdict.recovery_seconds(
            self.load.calls, before, after.start, after.end
        )
        if seconds is None:
            return f"more than {after.end - after.start:.0f} s"
        return f"{seconds:.1f} s"


async def run(plan: deployment.Deployment, folder: pathlib.Path) -> int:
    """Runs the demo; returns the exit code."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(launcher.Fleet(folder))
        running = await stack.enter_async_context(
            cluster.Cluster(plan, fleet, folder, SLOTS_SHARE)
        )
        demo = Demo(plan, running)
        stack.push_async_callback(demo.load.close)
        await demo.run()
        print("\n" + "\n".join(await demo.report()) + "\n")
    for sentence in demo.broken:
        print(f"BROKEN: {sentence}")
    print("a promise was broken" if demo.broken else "every promise held")
    return 1 if demo.broken else 0


def main() -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="cedal")
    parser.add_argument("--keep", type=pathlib.Path, help="folder to keep")
    arguments = parser.parse_args()
    plan = deployment.read(arguments.deployment)
    with contextlib.ExitStack() as stack:
        folder = arguments.keep or pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        folder.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(run(plan, folder))
        except (
            launcher.LaunchError,
            errors.MangobayError,
            aiohttp.ClientError,
        ) as error:
            print(f"demo: {error}", file=sys.stderr)
            return 1


if __name__ == "__main__":
    sys.exit(main())
