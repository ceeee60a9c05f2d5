"""Taking slots over: from former owners, from holders, or with a floor."""

import asyncio
import collections.abc

from mangobay import copies, ids, logs, records, slotownership
from mangobay.generated import messages

ROUND_INTERVAL_SECONDS = 0.1
"""Seconds between two rounds of questions."""


class Takeover:
    """One service at one node: learns what its new slots' past was.

    Attributes:
      ownership: what this node may vouch for.
      sender: the way to other members.
      unix_ms: Unix time in milliseconds.
      skew_ms: how far callers' clocks may be ahead, milliseconds.
    """

    def __init__(
        self,
        ownership: slotownership.SlotOwnership,
        sender: copies.CopySender,
        unix_ms: collections.abc.Callable[[], int],
        skew_ms: int,
    ):
        self.ownership = ownership
        self.sender = sender
        self.unix_ms = unix_ms
        self.skew_ms = skew_ms
        self.synced_version = ids.ViewVersion(0)

    async def run(self) -> None:
        """Follows the views, one after the other, until cancelled."""
        while True:
            change_event = self.ownership.change_event
            done = await self.run_round()
            if done:
                await change_event.wait()
                continue
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)

    async def run_round(self) -> bool:
        """Asks everybody once; true when nothing is left to do."""
        ownership = self.ownership
        if ownership.fenced:
            return False
        version = ownership.view.version
        knowledge = self.own_knowledge()
        self.mark_known_slots(knowledge)
        if ownership.incomplete_slots():
            await self.ask_members(knowledge)
            if ownership.view.version != version or ownership.fenced:
                return False
            self.mark_known_slots(knowledge)
        if ownership.incomplete_slots() and ownership.view.active:
            self.set_floors()
        if ownership.incomplete_slots():
            return False
        runners_answered = await self.ask_runners(version)
        return await self.sync_holders(version) and runners_answered

    async def ask_runners(self, version: ids.ViewVersion) -> bool:
        """Asks the processes that are to run calls of this node's slots.

        A holder is told of a start before it happens; where it is refused
        after that, nobody reports an end: repeats would wait for it and be
        told `unknown`.  Who answers is fenced by the question, so that what
        it has not started by then it starts no more under an older view.

        Returns:
          Whether everybody asked has answered under this view.
        """
        ownership = self.ownership
        for member in ownership.view.members:
            runner = slotownership.process_id_of(member)
            started = ownership.records_started_by(runner)
            if not started or runner == ownership.this_process:
                continue
            message = messages.CopyFetch(
                service=ownership.service,
                view_version=version,
                slots=sorted({int(record.slot) for record in started}),
            )
            copy_list = await self.sender.fetch(member, message)
            # A newer view may have let the runner start them after all.
            if ownership.view.version != version or ownership.fenced:
                return False
            if copy_list is None or copy_list.incarnation != runner.incarnation:
                return False
            self.merge_answer(copy_list, {}, asyncio.get_running_loop().time())
            self.remove_unstarted(started, copy_list)
        return True

    def remove_unstarted(
        self, started: list[records.Record], copy_list: messages.CopyList
    ) -> None:
        """Drops the calls that their runner knows nothing of."""
        known_keys = {entry.key for entry in copy_list.entries}
        for record in started:
            still_started = record.state is records.State.STARTED
            if still_started and record.key not in known_keys:
                self.ownership.registry.remove_as_not_run(record)

    async def sync_holders(self, version: ids.ViewVersion) -> bool:
        """Gives the holders what they lack; true when they have all."""
        if self.synced_version == version:
            return True
        now = asyncio.get_running_loop().time()
        if await copies.sync_holders(self.ownership, self.sender, now):
            self.synced_version = version
            return True
        return False

    def own_knowledge(self) -> dict[slotownership.ProcessId, dict]:
        """Returns what this node itself can vouch for."""
        ownership = self.ownership
        by_slot = {
            slot: ownership.knowledge(slot)
            for slot in ownership.incomplete_slots()
        }
        return {ownership.this_process: by_slot}

    def mark_known_slots(
        self, knowledge: dict[slotownership.ProcessId, dict]
    ) -> None:
        """Takes the slots whose whole past the answers hold."""
        changed = False
        for slot in self.ownership.incomplete_slots():
            slot_knowledge = {
                process: by_slot[slot]
                for process, by_slot in knowledge.items()
                if slot in by_slot
            }
            if slotownership.is_history_known(
                self.ownership, slot, slot_knowledge
            ):
                self.ownership.mark_complete(slot)
                changed = True
        if changed:
            self.ownership.notify_change()

    async def ask_members(
        self, knowledge: dict[slotownership.ProcessId, dict]
    ) -> None:
        """Asks every other witness and adds what they answer."""
        ownership = self.ownership
        message = messages.CopyFetch(
            service=ownership.service,
            view_version=ownership.view.version,
            slots=[int(slot) for slot in ownership.incomplete_slots()],
        )
        members = self.other_members()
        copy_lists = await asyncio.gather(
            *(self.sender.fetch(member, message) for member in members)
        )
        now = asyncio.get_running_loop().time()
        for copy_list in copy_lists:
            if copy_list is not None:
                self.merge_answer(copy_list, knowledge, now)
        ownership.resolve_orphans()

    def other_members(self) -> list[messages.Member]:
        """Returns the other members of this and of the former views."""
        ownership = self.ownership
        members = {
            slotownership.process_id_of(member): member
            for member in ownership.view.members
        }
        for former_view in ownership.view.formers:
            for member in former_view.members:
                members.setdefault(slotownership.process_id_of(member), member)
        members.pop(ownership.this_process, None)
        return list(members.values())

    def merge_answer(
        self,
        copy_list: messages.CopyList,
        knowledge: dict[slotownership.ProcessId, dict],
        now: float,
    ) -> None:
        """Merges what one process told."""
        for entry in copy_list.entries:
            self.ownership.merge(entry, now)
        for floor in copy_list.floors:
            self.ownership.raise_floor(floor.slot, floor.minted_before_ms)
        # The process that answers says which run it is: a restarted host
        # under the old address knows nothing and must not vouch for the run
        # that died.
        process = slotownership.ProcessId(copy_list.host, copy_list.incarnation)
        knowledge[process] = {item.slot: item for item in copy_list.knowledge}

    def set_floors(self) -> None:
        """Gives up on the past of the slots that nobody vouches for.

        Every witness is gone, so a key minted before now may have run.  The
        view is active: no former member can start anything under its own
        lease any more.  Keys minted from now on cannot have run.
        """
        floor_ms = self.unix_ms() + self.skew_ms
        lost_slots = self.ownership.incomplete_slots()
        for slot in lost_slots:
            self.ownership.raise_floor(slot, floor_ms)
            self.ownership.mark_complete(slot)
        self.ownership.notify_change()
        logs.say(
            logs.Part.ONCE,
            "the past of slots is lost, older keys get unknown",
            service=self.ownership.service,
            slots=len(lost_slots),
            view=self.ownership.view.version,
        )
