"""Keys that are taken away, with nodes under random faults, in virtual time.

No node accepts a key for longer than the bound after the change that took it
away was acknowledged, whether the node can reach the control group or not.
"""

import asyncio
import os

import pytest
from test_leases_random import CONTROL_ADDRESSES, LeaseSimulation, Node

from mangobay import clock, errors
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

MAX_STALENESS = 3.0
RUN_SECONDS = 90
CI_SEEDS = range(6)
SOAK_SEEDS = range(6, 6 + int(os.environ.get("MANGOBAY_SEEDS", "100")))
MIN_CHECKS = 2000
"""Checks of valid leases that a run must exceed to be meaningful."""


class RevocationRun(LeaseSimulation):
    """Nodes that act by routes documents which an operator replaces.

    Attributes:
      acknowledged_at: when each version was acknowledged, by version.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.acknowledged_at = {}
        self.next_version = 1

    def start_node(self, host):
        """Starts a node whose lease on the document is bounded."""
        super().start_node(host)
        node: Node = self.nodes[-1]
        document_lease = node.client.document_lease
        document_lease.max_staleness = MAX_STALENESS
        document_lease.read_boot_time = clock.now

    async def publish(self):
        """Publishes a document at a host that seems to lead."""
        group = self.groups[self.rng.choice(CONTROL_ADDRESSES)]
        if not group.leading.is_set():
            return
        version, self.next_version = self.next_version, self.next_version + 1
        change = messages.RoutesChange(
            version=version, base=self.machine.routes.version
        )
        try:
            async with asyncio.timeout(2.0):
                await group.propose(change)
        except (errors.NotLeaderError, TimeoutError):
            return
        if self.machine.routes.version >= version:
            self.acknowledged_at[version] = clock.now()

    def check(self):
        """Checks every node that accepts keys now."""
        revoked_before = clock.now() - MAX_STALENESS
        newest = max(
            (
                version
                for version, at in self.acknowledged_at.items()
                if at < revoked_before
            ),
            default=0,
        )
        for node in self.nodes:
            if node.client.document_lease.is_valid():
                self.check_count += 1
                assert node.client.routes.value.version >= newest

    async def run_revocations(self):
        """Runs nodes, faults and documents; checks all the time."""
        for host in ("a", "b", "c", "d"):
            self.start_node(host)
        deadline = clock.now() + RUN_SECONDS
        term = 1
        publishers = []
        while clock.now() < deadline:
            if self.rng.random() < 0.1:
                term += 1
                self.inject_fault(term)
            if self.rng.random() < 0.2:
                publishers.append(asyncio.create_task(self.publish()))
            await asyncio.sleep(self.rng.uniform(0.01, 0.1))
            self.check()
        await asyncio.gather(*publishers)
        for node in self.nodes:
            node.task.cancel()


class TestRandomFaults:
    """Lost messages, cut nodes, leaders that do not know of their end."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_no_key_outlives_its_removal(self, seed):
        await self.run(seed)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_no_key_outlives_its_removal_in_many_runs(self, seed):
        await self.run(seed)

    async def run(self, seed):
        revocation_run = RevocationRun(seed)
        await revocation_run.run_revocations()
        assert revocation_run.check_count > MIN_CHECKS
        assert len(revocation_run.acknowledged_at) > 20
