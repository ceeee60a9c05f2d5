"""A node restarts, its upstream deregisters, and an earlier report is late."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case, fleet, manifests  # noqa: E402

DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
LATE_SECONDS = 2.8
JUDGED_SECONDS = 5.0
REQUEST_GAP_SECONDS = 0.05
RETRY_SECONDS = 0.2
SERVICES = ["roster", "placement"]


def make(log):
    """Returns the deployment: five core machines and four sidecars."""
    return fleet.Fleet(log, ["roster", "roster", "placement", "placement"])


async def send_load(deployment, ended: asyncio.Event) -> None:
    """Sends requests to every node until the load has ended."""
    tasks = []
    number = 0
    while not ended.is_set():
        machine = deployment.sidecars[number % len(deployment.sidecars)]
        tasks.append(
            asyncio.create_task(
                deployment.request(machine, "/crew/1", f"load-{number}")
            )
        )
        number += 1
        await asyncio.sleep(REQUEST_GAP_SECONDS)
    await asyncio.gather(*tasks)


async def deliver_late(server, body) -> None:
    """Delivers a report that was sent LATE_SECONDS ago."""
    await asyncio.sleep(LATE_SECONDS)
    server.log.add("the report that was sent before arrives")
    await server.send_beat(body)


class TestRestartedNode:
    """An upstream that deregisters at a node that has just restarted."""

    async def test_nothing_reaches_it_after_drain(
        self, deployment, log
    ) -> case.Verdict:
        """Restarts a node while its upstream leaves, and looks what reaches it.

        The upstream reports, that report is late, it deregisters, and serves on.
        """
        await deployment.start_all()
        manifest = manifests.manifest(
            2, [manifests.route("/crew/", "roster")], SERVICES
        )
        response = await deployment.order(manifest, "0")
        if response is None or response.status != 200:
            return case.Verdict.NOT_RUN
        await deployment.wait_until_ready()
        await asyncio.sleep(STABLE_SECONDS)
        machine = deployment.sidecars[0]
        server = deployment.upstreams[machine.name]
        ended = asyncio.Event()
        load = asyncio.create_task(send_load(deployment, ended))
        await asyncio.sleep(1.0)
        if not server.runs:
            return case.Verdict.NOT_RUN
        server.beat_task.cancel()
        if case.has_trouble():
            deployment.send_signal(machine, signal.SIGKILL)
            await asyncio.to_thread(machine.process.wait)
            deployment.start(machine)
        started_at = time.monotonic()
        await deployment.wait_until_ready()
        log.add("a report is sent, which will be late")
        late = asyncio.create_task(deliver_late(server, server.make_beat()))
        while not await server.deregister():
            await asyncio.sleep(RETRY_SECONDS)
        await late
        await asyncio.sleep(JUDGED_SECONDS)
        ended.set()
        await load
        return judge(server, started_at, log)


def judge(server, started_at: float, log) -> case.Verdict:
    """Returns whether a request came later than `drain` after the ack.

    Counted are requests that the node sent on when it had been in touch again,
    `stable_window` after its start.
    """
    since = max(
        server.acked_leaving_at + DRAIN_SECONDS, started_at + STABLE_SECONDS
    )
    late = [run for run in server.runs if run.at > since]
    for run in late:
        seconds = run.at - server.acked_leaving_at
        log.add(f"{run.attempt} came {seconds:.2f} s after the confirmation")
    log.add(f"{len(late)} requests came later than {DRAIN_SECONDS} s after it")
    return case.Verdict.BROKEN if late else case.Verdict.HELD


if __name__ == "__main__":
    case.run(
        FOLDER, make, TestRestartedNode().test_nothing_reaches_it_after_drain
    )
