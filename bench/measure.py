"""Compares ways to protect the same backend servers under the same trouble.

Run `python -m bench.measure`: writes a Markdown table and a plot for each
scenario into docs/measurements.  Arms run one after the other, each on fresh
processes, with the same seed.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import sys
import tempfile

from bench import (
    arms,
    capacity,
    deployment,
    launcher,
    load,
    outcomes,
    plots,
    scenarios,
    usage,
    verdict,
)

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs/measurements"
SLOTS_SHARE = 0.2
STRETCH = 2.0
"""Slots are a fifth and all work takes twice as long, so that few calls fill
them and the slots are the bottleneck, not the cores."""
WARM_UP = 3.0
SECONDS = 8.0
"""Length of the phase before the trouble, and of the one after it."""
IN_FORCE_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """What is measured.

    Attributes:
      plan: the deployment.
      scenario: the trouble.
      seed: of the load.
      seconds: length of the trouble.
    """

    plan: deployment.Deployment
    scenario: scenarios.Scenario
    seed: int
    seconds: float


async def measure(job: Job, arm: arms.Arm, folder: pathlib.Path):
    """Returns the outcome of one arm."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(launcher.Fleet(folder))
        running = await stack.enter_async_context(
            arm.processes(job.plan, fleet, folder, SLOTS_SHARE, arm.changes)
        )
        running.queue_share = SLOTS_SHARE
        await prepare(running, job)
        callers = load.Load(
            job.plan,
            [host.outside for host in running.layout.nodes],
            job.plan.rate,
            job.scenario.caller_tries,
            job.seed,
        )
        stack.push_async_callback(callers.close)
        await callers.run(WARM_UP)
        outcome = await go_through(running, job, arm, callers)
        outcome.runs = await running.runs()
        return outcome


async def prepare(running, job: Job) -> None:
    """Starts all processes and puts the sheet in force."""
    await running.start()
    for service in job.plan.services:
        await running.slow_down(service, STRETCH)
    if running.controlled:
        data = job.plan.sheet.read_bytes()
        await running.apply(data, "measure-1", IN_FORCE_SECONDS)


async def go_through(running, job: Job, arm: arms.Arm, callers: load.Load):
    """Loads the cluster before, in and after the trouble."""
    before = await phase(callers, "before", SECONDS)
    used = usage.of_fleet(running.fleet)
    await scenarios.begin(running, job.scenario, STRETCH)
    callers.rate = job.plan.rate * job.scenario.surge
    trouble = await phase(callers, "trouble", job.seconds)
    await scenarios.end(running, job.scenario, STRETCH)
    callers.rate = job.plan.rate
    shares = {
        name: (seconds - used.get(name, 0.0)) / job.seconds
        for name, seconds in usage.of_fleet(running.fleet).items()
    }
    after = await phase(callers, "after", SECONDS)
    await callers.finish()
    return outcomes.Outcome(
        arm=arm,
        plan=job.plan,
        calls=callers.calls,
        runs=[],
        before=before,
        trouble=trouble,
        after=after,
        best=capacity.serve(wanted(job), slots_of(running.layout)),
        busiest=max(shares.values()),
        cores=sum(shares.values()),
        late=sorted(callers.lateness)[len(callers.lateness) * 99 // 100],
    )


async def phase(callers: load.Load, name: str, seconds: float):
    """Lets the load run for a phase."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    await callers.run(seconds)
    return verdict.Phase(name, start, loop.time())


def wanted(job: Job) -> list[capacity.Demand]:
    """Returns the demand in the trouble."""
    return capacity.demands(
        job.plan,
        job.plan.rate * job.scenario.surge,
        scenarios.factors(job.plan, job.scenario, STRETCH),
    )


def slots_of(layout) -> dict:
    """Returns the slots of each service."""
    slots = {}
    for host in layout.nodes:
        slots[host.service] = slots.get(host.service, 0) + host.slots
    return slots


def run_arm(job: Job, arm: arms.Arm, why: bool) -> outcomes.Outcome:
    """Measures one arm in a folder of its own; why: prints what failed."""
    with tempfile.TemporaryDirectory() as folder:
        outcome = asyncio.run(measure(job, arm, pathlib.Path(folder)))
    row = " ".join(outcome.row())
    print(f"{row}  {outcome.cores:.1f} cores", flush=True)
    if why:
        print("\n".join(outcome.failures() + outcome.lost_seconds()))
    return outcome


def main() -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="cedal")
    parser.add_argument("--scenario", default="c", choices=scenarios.SCENARIOS)
    parser.add_argument("--arms", default="main", choices=arms.SETS)
    parser.add_argument("--only", default="", help="part of the arms' names")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--why", action="store_true", help="what failed")
    parser.add_argument("--folder", type=pathlib.Path, default=FOLDER)
    arguments = parser.parse_args()
    plan = deployment.read(arguments.deployment)
    scenario = scenarios.SCENARIOS[arguments.scenario]
    job = Job(plan, scenario, arguments.seed, arguments.seconds)
    chosen = [
        arm for arm in arms.SETS[arguments.arms] if arguments.only in arm.name
    ]
    print(" ".join(outcomes.HEADINGS))
    made = [run_arm(job, arm, arguments.why) for arm in chosen]
    write(made, job, arguments)
    return 0


def write(made: list[outcomes.Outcome], job: Job, arguments) -> None:
    """Writes table and plot."""
    folder = arguments.folder
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{arguments.deployment}-{arguments.scenario}-{arguments.arms}"
    title = f"{arguments.deployment}: {job.scenario.title}"
    slots = {
        service: round(found.slots * SLOTS_SHARE) * found.upstreams
        for service, found in job.plan.services.items()
    }
    loads = capacity.load_of(wanted(job), slots)
    lines = [
        f"# {title}",
        "",
        f"Seed {job.seed}, trouble of {job.seconds:g} s, {job.plan.rate:g} calls a"
        f" second, in the trouble {job.plan.rate * job.scenario.surge:g}.",
        *outcomes.possible(made[0], loads),
        f"All processes together used at most"
        f" {max(outcome.cores for outcome in made):.1f} cores.",
        "",
        *outcomes.table(made),
        "",
        f"![goodput over time]({name}.svg)",
    ]
    (folder / f"{name}.md").write_text("\n".join(lines) + "\n")
    plots.draw(made, title, folder / f"{name}.svg")


if __name__ == "__main__":
    sys.exit(main())
