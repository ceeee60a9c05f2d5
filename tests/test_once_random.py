"""At-most-once execution under random partitions, delays and restarts."""

import asyncio
import collections
import dataclasses
import random

import hypothesis
import looptime
import once_fakes
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from mangobay import invariants
from mangobay.generated import messages

HOSTS = 5
KEYS = 6
TTL_SECONDS = 2.0
MARGIN_SECONDS = 0.5
"""Time after a lease's end at which the control group removes its node."""
TICK_SECONDS = 0.2
QUEUE_SECONDS = st.sampled_from([0.01, 1.5])
"""Seconds that a claim waits for admission."""


class ClockLease:
    """A lease that ends by the loop's clock, as at a node."""

    def __init__(self):
        self.until = 0.0

    def is_valid(self) -> bool:
        return asyncio.get_running_loop().time() < self.until


@dataclasses.dataclass
class ProcessStatus:
    """What the fake control group knows of one process."""

    renewed_at: float
    version: int = 0


class FakeControl:
    """Grants leases and commits views by the rules of the real group."""

    def __init__(self, net: once_fakes.FakeNetwork):
        self.net = net
        self.statuses: dict[tuple, ProcessStatus] = {}
        self.leaving: set[str] = set()

    def process_id_of(self, host: str) -> tuple:
        return (host, self.net.members[host].incarnation)

    async def run(self) -> None:
        while True:
            self.tick(asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_SECONDS)

    def tick(self, now: float) -> None:
        for host, member in self.net.members.items():
            if member.peer_address in self.net.nodes and self.net.can_reach(
                member.peer_address, ""
            ):
                self.renew(host, now)
        self.commit(now)

    def renew(self, host: str, now: float) -> None:
        status = self.statuses.setdefault(
            self.process_id_of(host), ProcessStatus(now)
        )
        status.renewed_at = now
        self.net.leases[host].until = now + TTL_SECONDS
        self.net.deliver_view([host])
        ownership = self.net.node(host).ownerships.get(once_fakes.SERVICE)
        status.version = ownership.view.version if ownership else 0

    def is_alive(self, process_id: tuple, now: float) -> bool:
        status = self.statuses.get(process_id)
        return (
            status is not None
            and now < status.renewed_at + TTL_SECONDS + MARGIN_SECONDS
        )

    def commit(self, now: float) -> None:
        wanted = [
            member
            for host, member in self.net.members.items()
            if self.is_alive(self.process_id_of(host), now)
        ]
        if wanted != self.net.view.members:
            self.net.publish_members(wanted)
        formers = [m for f in self.net.view.formers for m in f.members]
        active = all(
            self.statuses[key].version >= self.net.view.version
            for key in {(m.host, m.incarnation) for m in formers}
            if self.is_alive(key, now)
        )
        if active != self.net.view.active:
            self.net.view = dataclasses.replace(self.net.view, active=active)


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Random faults against real `AtMostOnce` objects in virtual time."""

    faults: collections.Counter = collections.Counter()

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(start=0)
        self.tasks = []
        self.run(self.set_up())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def set_up(self):
        self.net = once_fakes.FakeNetwork(HOSTS, window=600.0)
        self.net.leases = {host: ClockLease() for host in self.net.members}
        for host, lease in self.net.leases.items():
            self.net.node(host).lease = lease
        self.control = FakeControl(self.net)
        self.control_task = asyncio.create_task(self.control.run())
        await asyncio.sleep(1)
        rng = random.Random(1)
        self.keys = [once_fakes.new_key(rng) for _ in range(KEYS)]
        self.runs = collections.defaultdict(list)
        self.bodies = collections.defaultdict(set)
        self.arrivals = 0

    async def send_and_check(
        self, host: str, key: str, queue_seconds: float
    ) -> None:
        self.arrivals += 1
        arrival = self.arrivals

        async def execute(before_send):
            await asyncio.sleep(queue_seconds)
            await before_send()
            self.runs[key].append(arrival)
            await asyncio.sleep(1.0)
            return messages.Reply(
                outcome=messages.Outcome.ANSWERED,
                status=200,
                body=f"run {arrival}".encode(),
            )

        node = self.net.node(host)
        reply = await node.run(self.net.call(key), execute)
        match reply.outcome:
            case messages.Outcome.NOT_RUN:
                assert arrival not in self.runs[key], (
                    "not_run for a call that ran"
                )
            case messages.Outcome.ANSWERED:
                self.bodies[key].add(reply.body)

    @stateful.rule(
        host=st.integers(0, HOSTS - 1),
        key=st.integers(0, KEYS - 1),
        queue_seconds=QUEUE_SECONDS,
    )
    def send(self, host, key, queue_seconds):
        coroutine = self.send_and_check(
            f"h{host}", self.keys[key], queue_seconds
        )
        self.tasks.append(self.loop.create_task(coroutine))

    @stateful.rule(key=st.integers(0, KEYS - 1), queue_seconds=QUEUE_SECONDS)
    def send_to_the_owner(self, key, queue_seconds):
        if self.net.view.members:
            host = self.net.owner(self.keys[key])
            coroutine = self.send_and_check(host, self.keys[key], queue_seconds)
            self.tasks.append(self.loop.create_task(coroutine))

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def cut(self, host):
        self.faults["cut"] += 1
        self.net.isolate(f"h{host}")

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def heal(self, host):
        address = self.net.members[f"h{host}"].peer_address
        self.net.isolated.discard(address)
        self.net.slow.discard(address)

    @stateful.rule()
    def heal_all(self):
        self.net.isolated.clear()
        self.net.slow.clear()
        self.run(asyncio.sleep(TTL_SECONDS))

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def slow(self, host):
        self.faults["slow"] += 1
        self.net.slow.add(self.net.members[f"h{host}"].peer_address)

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def restart(self, host):
        self.faults["restart"] += 1
        self.run(self.restart_host(f"h{host}", host))

    async def restart_host(self, host: str, number: int):
        # The old process sends nothing any more; its calls never end.
        old_node = self.net.node(host)
        for task in old_node.tasks:
            task.cancel()
        incarnation = str(int(self.net.members[host].incarnation) + 1)
        self.net.add_node(host, number, incarnation)
        self.net.leases[host] = ClockLease()
        self.net.node(host).lease = self.net.leases[host]

    @stateful.rule(seconds=st.sampled_from([0.004, 0.03, 0.5, 3.0, 7.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))
        self.check_runs()

    def check_runs(self):
        for key in self.keys:
            assert len(self.runs[key]) <= 1, f"{key} ran twice"
            assert len(self.bodies[key]) <= 1, f"{key} has two responses"
        for task in [task for task in self.tasks if task.done()]:
            self.tasks.remove(task)
            if not task.cancelled() and task.exception():
                raise task.exception()

    def teardown(self):
        self.run(self.finish())
        self.check_runs()
        self.loop.close()

    async def finish(self):
        self.net.isolated.clear()
        self.net.slow.clear()
        await asyncio.sleep(10)
        self.control_task.cancel()
        await self.net.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


CI = hypothesis.settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SOAK = hypothesis.settings(
    CI, max_examples=1000, stateful_step_count=60, derandomize=False
)


class TestRandomFaults:
    """Random schedules; prints the faults injected and checks made."""

    def test_no_key_runs_twice_and_not_run_is_true(self, capsys):
        self.run(CI, capsys)

    @pytest.mark.soak
    def test_no_key_runs_twice_in_many_runs(self, capsys):
        self.run(SOAK, capsys)

    def run(self, test_settings: hypothesis.settings, capsys) -> None:
        promise = invariants.Invariant.AT_MOST_ONCE
        checks_before = invariants.check_counts[promise]
        stateful.run_state_machine_as_test(
            AtMostOnceMachine, settings=test_settings
        )
        checked = invariants.check_counts[promise] - checks_before
        with capsys.disabled():
            faults = dict(AtMostOnceMachine.faults)
            print(f"\nonce: faults {faults}, starts checked {checked}")
        assert checked > 0
        assert sum(AtMostOnceMachine.faults.values()) > 0
