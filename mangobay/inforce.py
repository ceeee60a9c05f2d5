"""Where a revision is in force, by what hosts reported to the leader."""

import asyncio
import dataclasses

from mangobay import clock, ids, machine

POLL = 0.05
"""Seconds between two looks whether a revision is in force everywhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """How far a revision has come.

    Attributes:
      hosts: number of hosts that are not gone.
      stragglers: those of them that have not reported it.
    """

    hosts: int
    stragglers: list[ids.HostId]


class Reports:
    """The revision that each host reported in this term."""

    def __init__(self, config: machine.ConfigMachine):
        self.machine = config
        self.revisions: dict[ids.HostId, ids.Revision] = {}

    def of(self, host: ids.HostId) -> ids.Revision:
        """Returns the revision that a host reported, 0 if none yet."""
        return self.revisions.get(host, machine.NO_REVISION)

    def reached(self, revision: ids.Revision) -> InForce:
        """Returns how far a revision has come."""
        hosts = sorted(self.machine.members)
        stragglers = [host for host in hosts if self.of(host) < revision]
        return InForce(len(hosts), stragglers)

    async def wait(self, revision: ids.Revision, seconds: float) -> InForce:
        """Returns once a revision is in force everywhere or time is up."""
        until = clock.now() + seconds
        while True:
            result = self.reached(revision)
            if not result.stragglers or clock.now() >= until:
                return result
            await asyncio.sleep(POLL)
