"""A liveness report of another writer, and a manifest after it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case, fleet, manifests, upstream  # noqa: E402

CONFIG_APPLY_SECONDS = 2.0
STABLE_SECONDS = 3.0
JUDGED_REQUESTS = 6
SERVICES = ["roster", "placement"]


def make(log):
    """Returns the deployment: five core machines and four sidecars."""
    return fleet.Fleet(log, [*SERVICES, *SERVICES])


async def send_foreign_report(machine, deployment, log) -> None:
    """Sends the report of another writer to the node of a machine.

    It has no address, zone and version, and its field `slots` is -1, as writers
    put it that know no limit.
    """
    server = deployment.upstreams[machine.name]
    body = server.make_beat()
    del body["address"]
    body["info"] = {"service": server.service, "slots": -1}
    log.add(f"another writer reports to {machine.name}: {body}")
    await server.send_beat(body)


class TestForeignReport:
    """A manifest after the liveness report of another writer."""

    async def test_the_manifest_takes_effect(
        self, deployment, log
    ) -> case.Verdict:
        """Moves a route after the report, and looks who runs its requests."""
        await deployment.start_all()
        first = manifests.manifest(
            2, [manifests.route("/book/", "roster")], SERVICES
        )
        response = await deployment.order(first, "0")
        if response is None or response.status != 200:
            return case.Verdict.NOT_RUN
        await deployment.wait_until_ready()
        await asyncio.sleep(STABLE_SECONDS)
        for number, machine in enumerate(deployment.sidecars):
            answer = await deployment.request(
                machine, "/book/1", f"before-{number}"
            )
            if answer is None or answer.status != 200:
                return case.Verdict.NOT_RUN
        told = deployment.sidecars[0]
        if case.has_trouble():
            await send_foreign_report(told, deployment, log)
        await asyncio.sleep(STABLE_SECONDS)
        second = manifests.manifest(
            5, [manifests.route("/book/", "placement")], SERVICES
        )
        response = await deployment.order(second, "r2")
        confirmed_at = time.monotonic()
        if response is None or response.status != 200:
            return case.Verdict.NOT_RUN
        await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.5)
        log.add(
            f"{time.monotonic() - confirmed_at:.1f} s after the confirmation"
        )
        return await judge(deployment, log)


async def judge(deployment, log) -> case.Verdict:
    """Returns whether a request is run by the service of the old manifest."""
    old = 0
    for round_number in range(JUDGED_REQUESTS):
        for number, machine in enumerate(deployment.sidecars):
            attempt = f"after-{round_number}-{number}"
            await deployment.request(machine, "/book/2", attempt)
            run = upstream.find_run(deployment.upstreams.values(), attempt)
            if run is not None and run.service == "roster":
                old += 1
                log.add(f"{attempt} of {machine.name} was run by roster")
        await asyncio.sleep(1.0)
    for machine in deployment.sidecars:
        ready = await deployment.is_ready(machine)
        log.add(f"{machine.name} ready: {ready}")
        for line in deployment.log_lines(machine, "routes in force"):
            log.add(f"{machine.name} logs: {line}")
    log.add(f"{old} requests were run by the service of the old manifest")
    return case.Verdict.BROKEN if old else case.Verdict.HELD


if __name__ == "__main__":
    case.run(FOLDER, make, TestForeignReport().test_the_manifest_takes_effect)
