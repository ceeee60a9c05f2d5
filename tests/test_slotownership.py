"""What a node may vouch for, and the age of keys behind it."""

import asyncio

import once_fakes
import pytest
import uuid6

from mangobay import ids, keys, keyslots, records, slotownership
from mangobay.generated import messages

SLOT = ids.Slot(0)


def new_key_at(unix_ms: int) -> str:
    """Returns a key minted at a Unix time."""
    number = (unix_ms << 80) | (uuid6.uuid7().int & ((1 << 80) - 1))
    return str(uuid6.UUID(int=number))


class TestLineage:
    """Whether the answers hold all that was started."""

    @pytest.mark.parametrize("lineage_whole", [True, False])
    async def test_truncated_lineage_is_not_taken_as_known(self, lineage_whole):
        """Nine views came since a process last knew everything.

        The view names only the newest former ones.  An owner of a view that
        is not named may have started calls that no answer tells of.
        """
        member = messages.Member(host="a", incarnation="1")
        process_id = slotownership.ProcessId("b", "1")
        registry = records.Registry(3600, 10, records.MemoryBudget(1_000_000))
        copy_place = keyslots.CopyPlace.OTHER_DATA_CENTRE
        ownership = slotownership.SlotOwnership(
            "stock", process_id, registry, 1, copy_place
        )
        former_view = messages.FormerView(version=5, members=[member])
        ownership.adopt_view(
            messages.ServiceView(
                service="stock",
                version=6,
                members=[messages.Member(host="b", incarnation="1")],
                formers=[former_view],
                lineage_whole=lineage_whole,
            )
        )
        slot_knowledge = messages.SlotKnowledge(slot=SLOT, owned_upto=3)
        knowledge = {slotownership.process_id_of(member): slot_knowledge}
        assert (
            slotownership.is_history_known(ownership, SLOT, knowledge)
            is lineage_whole
        )


@pytest.mark.looptime
class TestFence:
    """A former owner that has heard of a newer view, but not got it."""

    async def test_fetch_alone_fences_an_owner_without_holders(self):
        """No holder could refuse to acknowledge: there is none.

        The new owner asked the former one what it knows.  From then on the
        former one starts nothing, although its own view and lease are fine.
        """
        async with once_fakes.running_network(copies=0) as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            net.publish_view(*(host for host in net.members if host != owner))
            await asyncio.sleep(1)
            late_reply = await net.send(owner, key)
            assert late_reply.outcome is messages.Outcome.NOT_RUN
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]


@pytest.mark.looptime
class TestClocksAhead:
    """Callers whose clock is ahead."""

    def test_key_from_the_far_future_is_undated(self):
        """It would count as young long after its record was dropped."""
        assert keys.creation_time(new_key_at(12_001), 10_000, 2000).undated
        assert not keys.creation_time(new_key_at(12_000), 10_000, 2000).undated

    async def test_record_outlives_its_key(self):
        """A caller two seconds ahead resends after eleven of a window of ten.

        Its key still counts as young.  Its record must be there then, or the
        booking would run a second time.
        """
        async with once_fakes.running_network(window=10.0) as net:
            key = new_key_at(net.unix_ms() + 2000)
            owner = net.owner(key)
            await net.send(owner, key)
            await asyncio.sleep(11)
            now = asyncio.get_running_loop().time()
            net.node(owner).ownership_of(once_fakes.SERVICE).registry.expire(
                now
            )
            await net.send(owner, key)
            assert net.runs == ["run"]
