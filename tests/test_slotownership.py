"""Slot ownership, and creation times of keys."""

import asyncio

import once_fakes
import pytest
import uuid6

from mangobay import ids, keys, keyslots, records, slotownership
from mangobay.generated import messages

SLOT = ids.Slot(0)


def new_key_at(unix_ms: int) -> str:
    """Returns a key created at a Unix time in milliseconds."""
    number = (unix_ms << 80) | (uuid6.uuid7().int & ((1 << 80) - 1))
    return str(uuid6.UUID(int=number))


class TestLineage:
    """Whether the history of a slot is known."""

    @pytest.mark.parametrize("lineage_whole", [True, False])
    async def test_truncated_lineage_is_not_taken_as_known(self, lineage_whole):
        """More views have passed than a view lists as its former ones.

        The owner of a view that is not listed may have started calls that no
        process that replied knows.
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
    """A former owner that knows of a newer view without having it."""

    async def test_fetch_alone_fences_an_owner_without_holders(self):
        """Without copies there is no holder to refuse the old owner's starts.

        The new owner fetched from the former one, which from then on must
        start nothing, although its own view and lease seem valid.
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
        """Otherwise it would be accepted long after its record expired."""
        assert keys.creation_time(new_key_at(12_001), 10_000, 2000).undated
        assert not keys.creation_time(new_key_at(12_000), 10_000, 2000).undated

    async def test_record_outlives_its_key(self):
        """A caller 2 s ahead repeats after 11 s, with a window of 10 s.

        Its key is still accepted, so its record must still exist, or the
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
