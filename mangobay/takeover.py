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
        share: slotownership.SlotOwnership,
        sender: copies.CopySender,
        wall_ms: collections.abc.Callable[[], int],
        skew_ms: int,
    ):
        self.ownership = share
        self.sender = sender
        self.unix_ms = wall_ms
        self.skew_ms = skew_ms
        self.synced_version = ids.ViewVersion(0)

    async def run(self) -> None:
        """Follows the views, one after the other, until cancelled."""
        while True:
            moved = self.ownership.change_event
            settled = await self.run_round()
            if settled:
                await moved.wait()
                continue
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)

    async def run_round(self) -> bool:
        """Asks everybody once; true when nothing is left to do."""
        share = self.ownership
        if share.fenced:
            return False
        version = share.view.version
        answers = self.own_knowledge()
        self.mark_known_slots(answers)
        if share.incomplete_slots():
            await self.ask_members(answers)
            if share.view.version != version or share.fenced:
                return False
            self.mark_known_slots(answers)
        if share.incomplete_slots() and share.view.active:
            self.set_floors()
        if share.incomplete_slots():
            return False
        asked = await self.ask_runners(version)
        return await self.sync_holders(version) and asked

    async def ask_runners(self, version: ids.ViewVersion) -> bool:
        """Asks the processes that are to run calls of this node's slots.

        A holder is told of a start before it happens; where it is refused
        after that, nobody reports an end: repeats would wait for it and be
        told `unknown`.  Who answers is fenced by the question, so that what
        it has not started by then it starts no more under an older view.

        Returns:
          Whether everybody asked has answered under this view.
        """
        share = self.ownership
        for member in share.view.members:
            runner = slotownership.process_id_of(member)
            started = share.records_started_by(runner)
            if not started or runner == share.this_process:
                continue
            message = messages.CopyFetch(
                service=share.service,
                view_version=version,
                slots=sorted({int(record.slot) for record in started}),
            )
            known = await self.sender.fetch(member, message)
            # A newer view may have let the runner start them after all.
            if share.view.version != version or share.fenced:
                return False
            if known is None or known.incarnation != runner.incarnation:
                return False
            self.merge_answer(known, {}, asyncio.get_running_loop().time())
            self.remove_unstarted(started, known)
        return True

    def remove_unstarted(
        self, started: list[records.Record], known: messages.CopyList
    ) -> None:
        """Drops the calls that their runner knows nothing of."""
        running = {entry.key for entry in known.entries}
        for record in started:
            still = record.state is records.State.STARTED
            if still and record.key not in running:
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
        share = self.ownership
        mine = {
            slot: share.knowledge(slot) for slot in share.incomplete_slots()
        }
        return {share.this_process: mine}

    def mark_known_slots(
        self, answers: dict[slotownership.ProcessId, dict]
    ) -> None:
        """Takes the slots whose whole past the answers hold."""
        taken = False
        for slot in self.ownership.incomplete_slots():
            told = {
                process: slots[slot]
                for process, slots in answers.items()
                if slot in slots
            }
            if slotownership.is_history_known(self.ownership, slot, told):
                self.ownership.mark_complete(slot)
                taken = True
        if taken:
            self.ownership.notify_change()

    async def ask_members(
        self, answers: dict[slotownership.ProcessId, dict]
    ) -> None:
        """Asks every other witness and adds what they answer."""
        share = self.ownership
        message = messages.CopyFetch(
            service=share.service,
            view_version=share.view.version,
            slots=[int(slot) for slot in share.incomplete_slots()],
        )
        asked = self.other_members()
        lists = await asyncio.gather(
            *(self.sender.fetch(member, message) for member in asked)
        )
        now = asyncio.get_running_loop().time()
        for known in lists:
            if known is not None:
                self.merge_answer(known, answers, now)
        share.resolve_orphans()

    def other_members(self) -> list[messages.Member]:
        """Returns the other members of this and of the former views."""
        share = self.ownership
        found = {slotownership.process_id_of(m): m for m in share.view.members}
        for former in share.view.formers:
            for member in former.members:
                found.setdefault(slotownership.process_id_of(member), member)
        found.pop(share.this_process, None)
        return list(found.values())

    def merge_answer(
        self,
        known: messages.CopyList,
        answers: dict[slotownership.ProcessId, dict],
        now: float,
    ) -> None:
        """Merges what one process told."""
        for entry in known.entries:
            self.ownership.merge(entry, now)
        for floor in known.floors:
            self.ownership.raise_floor(floor.slot, floor.minted_before_ms)
        # The process that answers says which run it is: a restarted host
        # under the old address knows nothing and must not vouch for the run
        # that died.
        process = slotownership.ProcessId(known.host, known.incarnation)
        answers[process] = {item.slot: item for item in known.knowledge}

    def set_floors(self) -> None:
        """Gives up on the past of the slots that nobody vouches for.

        Every witness is gone, so a key minted before now may have run.  The
        view is active: no former member can start anything under its own
        lease any more.  Keys minted from now on cannot have run.
        """
        floor_ms = self.unix_ms() + self.skew_ms
        lost = self.ownership.incomplete_slots()
        for slot in lost:
            self.ownership.raise_floor(slot, floor_ms)
            self.ownership.mark_complete(slot)
        self.ownership.notify_change()
        logs.say(
            logs.Part.ONCE,
            "the past of slots is lost, older keys get unknown",
            service=self.ownership.service,
            slots=len(lost),
            view=self.ownership.view.version,
        )
