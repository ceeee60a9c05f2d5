"""Takeover of slots by a new owner.

It learns their history from former owners or holders. Where nobody knows the
history, a floor makes older keys get `unknown`.
"""

import asyncio
import collections.abc

from mangobay import copies, ids, logs, records, slotownership
from mangobay.generated import messages

ROUND_INTERVAL_SECONDS = 0.1
"""Seconds between two rounds of fetching."""


class Takeover:
    """Learns the history of the slots of one service that a node takes over.

    Attributes:
      ownership: this node's slots of the service.
      sender: exchanges records with other members.
      unix_ms: returns Unix time in milliseconds.
      skew_ms: how far callers' clocks may be ahead, milliseconds.
      synced_version: newest view version in which all holders were synced.
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
        """Runs rounds for each new view until cancelled."""
        while True:
            change_event = self.ownership.change_event
            done = await self.run_round()
            if done:
                await change_event.wait()
                continue
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)

    async def run_round(self) -> bool:
        """Asks each member once; returns whether nothing is left to do."""
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
        runners_replied = await self.ask_runners(version)
        return await self.sync_holders(version) and runners_replied

    async def ask_runners(self, version: ids.ViewVersion) -> bool:
        """Asks the runners of started calls in owned slots whether they run.

        Holders are notified of a start before it happens. If the start is
        refused after that, no result follows: repeats would wait for one and
        get `unknown`. The fetch fences the process that replies, so it will not
        start such a call under an older view later.

        Returns:
          Whether every runner replied while the view was in force.
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
            # In a newer view the runner may have started them after all.
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
        """Removes started records that their runner does not know."""
        known_keys = {entry.key for entry in copy_list.entries}
        for record in started:
            still_started = record.state is records.State.STARTED
            if still_started and record.key not in known_keys:
                self.ownership.registry.remove_as_not_run(record)

    async def sync_holders(self, version: ids.ViewVersion) -> bool:
        """Syncs the holders once per view; returns whether it succeeded."""
        if self.synced_version == version:
            return True
        now = asyncio.get_running_loop().time()
        if await copies.sync_holders(self.ownership, self.sender, now):
            self.synced_version = version
            return True
        return False

    def own_knowledge(self) -> dict[slotownership.ProcessId, dict]:
        """Returns what this node knows of the incomplete slots."""
        ownership = self.ownership
        by_slot = {
            slot: ownership.knowledge(slot)
            for slot in ownership.incomplete_slots()
        }
        return {ownership.this_process: by_slot}

    def mark_known_slots(
        self, knowledge: dict[slotownership.ProcessId, dict]
    ) -> None:
        """Marks the slots whose history the processes together know."""
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
        """Fetches from every other member and adds what it knows."""
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
        """Returns the other members of the view and of former views."""
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
        """Merges the records and floors of one process."""
        for entry in copy_list.entries:
            self.ownership.merge(entry, now)
        for floor in copy_list.floors:
            self.ownership.raise_floor(floor.slot, floor.minted_before_ms)
        # The message names the incarnation that replies: a host restarted under
        # the same address knows nothing and must not count as the process that
        # ended.
        process = slotownership.ProcessId(copy_list.host, copy_list.incarnation)
        knowledge[process] = {item.slot: item for item in copy_list.knowledge}

    def set_floors(self) -> None:
        """Sets floors for the slots whose history nobody knows.

        Every process that knew it is gone, so a key created before now may
        have run. The view is active: no former member can start anything under
        its own lease any more. Keys created from now on cannot have run.
        """
        floor_ms = self.unix_ms() + self.skew_ms
        lost_slots = self.ownership.incomplete_slots()
        for slot in lost_slots:
            self.ownership.raise_floor(slot, floor_ms)
            self.ownership.mark_complete(slot)
        self.ownership.notify_change()
        logs.log_event(
            logs.Component.ONCE,
            "the past of slots is lost, older keys get unknown",
            service=self.ownership.service,
            slots=len(lost_slots),
            view=self.ownership.view.version,
        )
