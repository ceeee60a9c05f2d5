"""Quotas under random faults of the control group, in virtual time.

Callers pause until the buckets are full, and then take every token that any
control host grants, while leaders fail.
"""

import asyncio
import collections
import contextlib
import os
import random

import groupfakes
import pytest

from mangobay import clock, errors, quota
from mangobay.generated import messages

ROUNDS = 12
"""Bursts of demand in a run."""
PAUSE_SECONDS = 7.0
"""Longest pause between them, enough for full buckets and reserves."""
CI_SEEDS = range(4)
SOAK_SEEDS = range(100, 100 + int(os.environ.get("MANGOBAY_SEEDS", "100")))
HOSTS = 5
BOUNDS = quota.Bounds(window=5.0, overage=0.1, slack=20.0, holders=HOSTS)
QUOTAS = (
    messages.WorkspaceQuota(workspace="small", rate=5.0, burst=5.0),
    messages.WorkspaceQuota(workspace="large", rate=110.0, burst=110.0),
)
SUSPENSIONS = clock.SuspensionDetector(lambda: clock.now())
MIN_GRANTS = 1000
"""Grants that a run must exceed to be meaningful."""


class QuotaRun:
    """A control group under faults, with callers that always want more.

    Attributes:
      authorities: one for each running process of a control host.
      used_at: when each used token was granted, by workspace.
      demand: set while callers ask.
      unused: term and number of the tokens to give back, by workspace.
      fault_counts: number of injected faults, by kind.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cluster = groupfakes.Cluster(seed, size=HOSTS)
        self.authorities = {}
        self.used_at = collections.defaultdict(list)
        self.demand = asyncio.Event()
        self.unused = {}
        self.fault_counts = collections.Counter()

    def authority_of(self, host):
        """Returns the quotas of a host, new ones for a new process."""
        known = self.authorities.get(host.name)
        if known is None or known.group is not host.group:
            known = quota.QuotaAuthority(
                host.group, BOUNDS, SUSPENSIONS, clock.now()
            )
            known.update_quotas(QUOTAS, clock.now())
            self.authorities[host.name] = known
        return known

    async def ask_for_ever(self):
        """Takes all tokens of all hosts while there is demand."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.01, 0.05))
            await self.demand.wait()
            for host in self.cluster.hosts:
                if host.task is None:
                    continue
                for each in QUOTAS:
                    while self.ask(host, each.workspace):
                        pass

    def ask(self, host, workspace):
        """Asks a host for one token; returns whether it granted one.

        Now and then a token is given back unused, and not counted.
        """
        term, count = self.unused.pop(workspace, (0, 0))
        request = messages.TokenRequest(
            workspace=workspace,
            term=term,
            unused=[messages.UnusedTokens(workspace=workspace, count=count)],
        )
        now = clock.now()
        reply = self.authority_of(host).handle(request, now)
        if reply.outcome is not messages.TokenOutcome.GRANTED:
            return False
        if reply.term and self.rng.random() < 0.05:
            self.unused[workspace] = (reply.term, 1)
        else:
            self.used_at[workspace].append(now)
        return True

    async def inject_fault(self):
        """Injects one random fault, or ends all."""
        host = self.rng.choice(self.cluster.hosts)
        network = self.cluster.network
        kind = self.rng.choice(
            ("leader", "leader", "crash", "cut", "one way", "freeze", "slow")
            + ("end", "end", "all")
        )
        self.fault_counts[kind] += 1
        match kind:
            case "leader":
                for each in self.cluster.hosts:
                    if each.is_leading:
                        await each.crash(power_lost=False)
            case "crash":
                await host.crash(power_lost=self.rng.random() < 0.5)
            case "cut":
                self.cluster.isolate(host)
            case "one way":
                other = self.rng.choice(self.cluster.others(host))
                network.cut_links.add((host.address, other.address))
            case "freeze":
                network.frozen_hosts.add(host.address)
            case "slow":
                network.delay_seconds = self.rng.choice((0.003, 0.1, 0.4))
            case "all":
                for each in self.cluster.hosts:
                    await each.crash(power_lost=False)
            case "end":
                self.cluster.heal()

    async def restart_stopped_hosts(self):
        for host in self.cluster.hosts:
            if host.task is not None and host.task.done():
                with contextlib.suppress(errors.StorageError):
                    host.task.result()
                await host.crash()
            if host.task is None and self.rng.random() < 0.6:
                host.start()

    async def run(self):
        async with self.cluster:
            await self.cluster.leader()
            caller = asyncio.create_task(self.ask_for_ever())
            for _ in range(ROUNDS):
                self.demand.clear()
                await asyncio.sleep(self.rng.uniform(1.0, PAUSE_SECONDS))
                self.demand.set()
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                for _ in range(self.rng.randint(1, 4)):
                    await self.inject_fault()
                    await asyncio.sleep(self.rng.uniform(0.05, 1.5))
                    await self.restart_stopped_hosts()
            caller.cancel()


def most_in_a_window(times, window):
    """Returns the largest number of times within any window."""
    most, first = 0, 0
    for last, time in enumerate(times):
        while times[first] <= time - window:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.looptime(noop_cycles=1)
class TestRandomFaults:
    """Crashes, partitions and freezes of control hosts, overlapping."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_no_window_exceeds_what_is_tolerated(self, seed):
        await self.run(seed)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_no_window_exceeds_it_in_many_runs(self, seed):
        await self.run(seed)

    async def run(self, seed):
        quota_run = QuotaRun(seed)
        await quota_run.run()
        assert sum(map(len, quota_run.used_at.values())) > MIN_GRANTS
        for each in QUOTAS:
            allowed = each.rate * BOUNDS.window + each.burst
            tolerated = allowed * (1 + BOUNDS.overage) + BOUNDS.slack
            times = sorted(quota_run.used_at[each.workspace])
            assert most_in_a_window(times, BOUNDS.window) <= tolerated
