"""Rollout of a revision, from what hosts report to the leader."""

import asyncio
import dataclasses

from mangobay import clock, ids, statemachine

POLL_INTERVAL_SECONDS = 0.05
"""Seconds between checks whether a revision is in force everywhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """On which hosts a revision is in force.

    Attributes:
      host_count: number of member hosts.
      stragglers: member hosts that have not reported the revision.
    """

    host_count: int
    stragglers: list[ids.HostId]


class RevisionReports:
    """The revision that each host has reported in this term."""

    def __init__(self, machine: statemachine.ConfigStateMachine):
        self.machine = machine
        self.revisions_by_host: dict[ids.HostId, ids.Revision] = {}

    def revision_of(self, host: ids.HostId) -> ids.Revision:
        """Returns the revision that a host has reported, 0 if none yet."""
        return self.revisions_by_host.get(host, statemachine.NO_REVISION)

    def rollout_status(self, revision: ids.Revision) -> RolloutStatus:
        """Returns on which hosts a revision is in force."""
        hosts = sorted(self.machine.members)
        stragglers = [
            host for host in hosts if self.revision_of(host) < revision
        ]
        return RolloutStatus(len(hosts), stragglers)

    async def wait_until_in_force(
        self, revision: ids.Revision, timeout: float
    ) -> RolloutStatus:
        """Waits until a revision is in force everywhere or the time is up."""
        deadline = clock.now() + timeout
        while True:
            status = self.rollout_status(revision)
            if not status.stragglers or clock.now() >= deadline:
                return status
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
