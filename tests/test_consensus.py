"""The control group on a fake network, in virtual time."""

import asyncio

import groupfakes
import pytest

from mangobay import errors
from mangobay.generated import messages

pytestmark = pytest.mark.looptime


class TestGroup:
    """What callers rely on while nothing fails."""

    async def test_what_is_proposed_reaches_every_machine(self):
        async with groupfakes.Cluster() as cluster:
            for number in range(100):
                await cluster.commit(str(number))
            await cluster.until(
                lambda: all(len(h.machine.sheets) == 100 for h in cluster.hosts)
            )
            machines = [host.machine.sheets for host in cluster.hosts]
            assert machines[0] == machines[1] == machines[2]
            versions = [version for _, version in machines[0]]
            assert versions == [str(number) for number in range(100)]

    async def test_another_host_names_the_leader(self):
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            follower = cluster.others(leader)[0]
            await cluster.until(lambda: follower.group.leader)
            with pytest.raises(errors.NotLeaderError) as told:
                await follower.group.propose(messages.Noop())
            assert told.value.leader == leader.name
            assert told.value.address == str(leader.address)

    async def test_proposals_that_come_together_share_a_sync(self):
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.leader()
            leader.disk.sync_seconds = 0.02
            before = leader.disk.syncs
            await asyncio.gather(
                *(
                    leader.group.propose(messages.SheetChange(version=str(n)))
                    for n in range(30)
                )
            )
            assert leader.disk.syncs - before < 10
