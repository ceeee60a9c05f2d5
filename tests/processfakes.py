"""A small deployment of real processes on loopback."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal

from bench import backend, cluster, deployment, hosts, launcher, load, verdict
from mangobay import ids, keyslots
from mangobay.generated import messages

BOOKING_DIRECTORY = pathlib.Path(__file__).parent / "booking"
SERVICE = ids.ServiceName("bookings")
WAIT_SECONDS = 20.0
CONTROL_CHANGES = {"lease": {"ttl": 1.5, "margin": 0.5}}
NODE_CHANGES = {"control": {"renew_interval": 0.3}}
LEAVING_SECONDS = 2.0
"""Seconds after which a leaving host must not get new work."""
POLL_SECONDS = 0.05


class ProcessCluster(cluster.Cluster):
    """Control hosts, and nodes with backend servers of one service."""

    async def send_signal(
        self, name: str, signal_number: signal.Signals
    ) -> None:
        """Sends a signal to a process."""
        self.fleet.started[name].process.send_signal(signal_number)

    async def apply_sheet(self) -> None:
        """Applies the first sheet and waits until it is in force everywhere."""
        await self.apply(self.plan.sheet.read_bytes(), "1", WAIT_SECONDS)

    async def find_owner(self, key: str) -> hosts.NodeHost:
        """Returns the host that owns a key under the newest membership."""
        members = [
            messages.Member(host=host.host, leaving=host.leaving)
            for host in await self.client.hosts()
            if SERVICE in host.serves
        ]
        view = messages.ServiceView(service=SERVICE, members=members)
        name = keyslots.owner(
            view, keyslots.slot_of(ids.IdempotencyKey(key))
        ).host
        return self.node(name)

    def node(self, name: str) -> hosts.NodeHost:
        """Returns the host with the name."""
        return next(host for host in self.layout.nodes if host.name == name)

    def other_nodes(self, host: hosts.NodeHost) -> list[hosts.NodeHost]:
        """Returns the other hosts with backend servers."""
        return [other for other in self.layout.nodes if other is not host]

    async def book(self, host: hosts.NodeHost, key: str) -> str:
        """Sends a booking through a node; returns its outcome."""
        url = f"http://{host.outside}/{SERVICE}/bookings"
        headers = {backend.KEY: key}
        async with self.session.post(url, headers=headers) as response:
            await response.read()
            return response.headers[backend.OUTCOME]

    async def book_until_run(self, host: hosts.NodeHost, key: str) -> str:
        """Retries a booking until its outcome is other than `not run`."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                outcome = await self.book(host, key)
                if outcome != load.NOT_RUN:
                    return outcome
                await asyncio.sleep(POLL_SECONDS)

    async def runs_of_key(self, key: str) -> list[backend.Run]:
        """Returns the runs of a key at all backend servers."""
        return [run for run in await self.runs() if run.key == key]

    async def wait_until_running(self, key: str) -> None:
        """Returns once a call with the key runs at a backend server."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not await self.runs_of_key(key):
                await asyncio.sleep(POLL_SECONDS)

    async def wait_until_removed(self, host: hosts.NodeHost) -> None:
        """Returns once the host is no longer a member."""
        async with asyncio.timeout(WAIT_SECONDS):
            while host.name in {
                each.host for each in await self.client.hosts()
            }:
                await asyncio.sleep(POLL_SECONDS)

    async def wait_for_exit(self, name: str) -> int:
        """Waits until a process exits by itself; returns its exit code."""
        return await self.fleet.started.pop(name).process.wait()

    async def check_no_new_work(self, host: hosts.NodeHost) -> None:
        """Asserts that a host that has left gets no new work."""
        await asyncio.sleep(LEAVING_SECONDS)
        before = len(await self.runs_of(host))
        await asyncio.sleep(LEAVING_SECONDS / 2)
        assert len(await self.runs_of(host)) == before

    def rewrite_control(self, host: hosts.ControlHost, changes: dict) -> None:
        """Writes the settings of a control host with additional changes."""
        sections = hosts.control_settings(host, self.layout)
        for section, keys in changes.items():
            sections.setdefault(section, {}).update(keys)
        hosts.write(host.settings, sections, CONTROL_CHANGES)

    async def wait_until_leaving(self, host: hosts.NodeHost) -> None:
        """Returns once control knows that the host is leaving."""
        async with asyncio.timeout(WAIT_SECONDS):
            while host.name not in {
                each.host for each in await self.client.hosts() if each.leaving
            }:
                await asyncio.sleep(POLL_SECONDS)

    async def sheet_versions(self) -> list[str]:
        """Returns the versions of the sheets in the history, oldest first."""
        history = await self.client.send_request("GET", "/v1/history")
        return [item["version"] for item in history["items"]]

    async def wait_until_voter(self, host: hosts.ControlHost) -> None:
        """Returns once a control host reports that it is a voter."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not (await self.health(host))["votes"]:
                await asyncio.sleep(POLL_SECONDS)

    async def health(self, host: hosts.ControlHost) -> dict:
        """Returns the health report of a control host."""
        url = f"http://{host.operator}/health"
        async with self.session.get(url) as response:
            return await response.json()

    async def check_outcomes(self, load_: load.Load) -> None:
        """Asserts that all outcomes are true and nothing ran twice."""
        runs = await self.runs()
        truth = verdict.truth_of(self.plan, load_.calls, runs)
        assert load_.calls
        assert truth == verdict.Truth([], [], [], [])

    async def check_all_answered(self, load_: load.Load) -> None:
        """Asserts `check_outcomes`, and that every call got a whole response.

        No attempt may be ambiguous either.
        """
        await self.check_outcomes(load_)
        calls = load_.calls
        runs = await self.runs()
        ambiguous = ambiguous_attempts(calls, {run.marker for run in runs})
        assert not ambiguous, ambiguous
        unanswered = [call for call in calls if not call.attempts[-1].whole]
        assert not unanswered, unanswered


def ambiguous_attempts(
    calls: list[load.Call], run_markers: set[str]
) -> list[load.Attempt]:
    """Returns the attempts whose caller cannot know whether they ran."""
    return [
        attempt
        for call in calls
        for attempt in call.attempts
        if attempt.outcome == load.UNKNOWN
        or (not attempt.outcome and attempt.marker in run_markers)
    ]


@contextlib.asynccontextmanager
async def process_cluster(
    directory: pathlib.Path,
    control_changes: dict | None = None,
    data_centres: int = 3,
):
    """Yields a cluster that is not started; ends its processes at exit.

    Args:
      directory: directory of settings, data, logs and output.
      control_changes: additional settings of the control hosts.
      data_centres: number of data centres, each with one host of each kind.
    """
    plan = deployment.read(str(BOOKING_DIRECTORY))
    service = plan.services[SERVICE]
    plan = dataclasses.replace(
        plan,
        data_centres=plan.data_centres[:data_centres],
        services={
            SERVICE: dataclasses.replace(service, upstreams=data_centres)
        },
    )
    async with (
        launcher.Fleet(directory) as fleet,
        ProcessCluster(plan, fleet, directory, 1.0) as cluster_,
    ):
        changes = CONTROL_CHANGES | (control_changes or {})
        hosts.write_all(cluster_.layout, plan, NODE_CHANGES, changes)
        yield cluster_


@contextlib.asynccontextmanager
async def running_cluster(directory: pathlib.Path):
    """Yields a running cluster with its sheet in force."""
    async with process_cluster(directory) as cluster_:
        await cluster_.start()
        await cluster_.apply_sheet()
        yield cluster_


@contextlib.asynccontextmanager
async def under_load(cluster_: ProcessCluster, targets: list[hosts.NodeHost]):
    """Yields callers that call until the block ends, and awaits their calls."""
    load_ = load.Load(
        cluster_.plan,
        [host.outside for host in targets],
        cluster_.plan.rate,
        tries=6,
    )
    load_task = asyncio.create_task(load_.run(WAIT_SECONDS * 3))
    try:
        yield load_
        load_task.cancel()
        await load_.finish()
    finally:
        load_task.cancel()
        await load_.close()
