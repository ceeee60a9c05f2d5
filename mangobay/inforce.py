"""Where a revision is in force, by what hosts reported to the leader."""

import asyncio
import dataclasses

from mangobay import clock, ids, statemachine

POLL_INTERVAL_SECONDS = 0.05
"""Seconds between two looks whether a revision is in force everywhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """How far a revision has come.

    Attributes:
      host_count: number of hosts that are not gone.
      stragglers: those of them that have not reported it.
    """

    host_count: int
    stragglers: list[ids.HostId]


class RevisionReports:
    """The revision that each host reported in this term."""

    def __init__(self, machine: statemachine.ConfigStateMachine):
        self.machine = machine
        self.revisions_by_host: dict[ids.HostId, ids.Revision] = {}

    def revision_of(self, host: ids.HostId) -> ids.Revision:
        """Returns the revision that a host reported, 0 if none yet."""
        return self.revisions_by_host.get(host, statemachine.NO_REVISION)

    def rollout_status(self, revision: ids.Revision) -> RolloutStatus:
        """Returns how far a revision has come."""
        hosts = sorted(self.machine.members)
        stragglers = [
            host for host in hosts if self.revision_of(host) < revision
        ]
        return RolloutStatus(len(hosts), stragglers)

    async def wait_until_in_force(
        self, revision: ids.Revision, timeout: float
    ) -> RolloutStatus:
        """Returns once a revision is in force everywhere or time is up."""
        deadline = clock.now() + timeout
        while True:
            status = self.rollout_status(revision)
            if not status.stragglers or clock.now() >= deadline:
                return status
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
