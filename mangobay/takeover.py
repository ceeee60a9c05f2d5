"""Taking slots over: from former owners, from holders, or with a floor."""

import asyncio
import collections.abc

from mangobay import copies, ids, logs, records, tenure
from mangobay.generated import messages

SETTLE_PAUSE = 0.1
"""Seconds between two rounds of questions."""


class Takeover:
    """One service at one node: learns what its new slots' past was.

    Attributes:
      share: what this node may vouch for.
      sender: the way to other members.
      wall_ms: Unix time in milliseconds.
      skew_ms: how far callers' clocks may be ahead, milliseconds.
    """

    def __init__(
        self,
        share: tenure.Tenure,
        sender: copies.CopySender,
        wall_ms: collections.abc.Callable[[], int],
        skew_ms: int,
    ):
        self.share = share
        self.sender = sender
        self.wall_ms = wall_ms
        self.skew_ms = skew_ms
        self.synced = ids.ViewVersion(0)

    async def run(self) -> None:
        """Follows the views, one after the other, until cancelled."""
        while True:
            moved = self.share.moved
            settled = await self.round()
            if settled:
                await moved.wait()
                continue
            await asyncio.sleep(SETTLE_PAUSE)

    async def round(self) -> bool:
        """Asks everybody once; true when nothing is left to do."""
        share = self.share
        if share.fenced:
            return False
        version = share.view.version
        answers = self.own_answers()
        self.take_known(answers)
        if share.missing():
            await self.ask(answers)
            if share.view.version != version or share.fenced:
                return False
            self.take_known(answers)
        if share.missing() and share.view.active:
            self.set_floors()
        if share.missing():
            return False
        asked = await self.ask_runners(version)
        return await self.sync(version) and asked

    async def ask_runners(self, version: ids.ViewVersion) -> bool:
        """Asks the processes that are to run calls of this node's slots.

        A holder is told of a start before it happens; where it is refused
        after that, nobody reports an end: repeats would wait for it and be
        told `unknown`.  Who answers is fenced by the question, so that what
        it has not started by then it starts no more under an older view.

        Returns:
          Whether everybody asked has answered under this view.
        """
        share = self.share
        for member in share.view.members:
            runner = tenure.process_of(member)
            started = share.started_by(runner)
            if not started or runner == share.me:
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
            self.take_in(known, {}, asyncio.get_running_loop().time())
            self.withdraw_unstarted(started, known)
        return True

    def withdraw_unstarted(
        self, started: list[records.Record], known: messages.CopyList
    ) -> None:
        """Drops the calls that their runner knows nothing of."""
        running = {entry.key for entry in known.entries}
        for record in started:
            still = record.state is records.State.STARTED
            if still and record.key not in running:
                self.share.registry.withdraw(record)

    async def sync(self, version: ids.ViewVersion) -> bool:
        """Gives the holders what they lack; true when they have all."""
        if self.synced == version:
            return True
        now = asyncio.get_running_loop().time()
        if await copies.sync_holders(self.share, self.sender, now):
            self.synced = version
            return True
        return False

    def own_answers(self) -> dict[tenure.Process, dict]:
        """Returns what this node itself can vouch for."""
        share = self.share
        mine = {slot: share.knowledge(slot) for slot in share.missing()}
        return {share.me: mine}

    def take_known(self, answers: dict[tenure.Process, dict]) -> None:
        """Takes the slots whose whole past the answers hold."""
        taken = False
        for slot in self.share.missing():
            told = {
                process: slots[slot]
                for process, slots in answers.items()
                if slot in slots
            }
            if tenure.knows_everything(self.share, slot, told):
                self.share.take(slot)
                taken = True
        if taken:
            self.share.changed()

    async def ask(self, answers: dict[tenure.Process, dict]) -> None:
        """Asks every other witness and adds what they answer."""
        share = self.share
        message = messages.CopyFetch(
            service=share.service,
            view_version=share.view.version,
            slots=[int(slot) for slot in share.missing()],
        )
        asked = self.witnesses()
        lists = await asyncio.gather(
            *(self.sender.fetch(member, message) for member in asked)
        )
        now = asyncio.get_running_loop().time()
        for known in lists:
            if known is not None:
                self.take_in(known, answers, now)
        share.settle_orphans()

    def witnesses(self) -> list[messages.Member]:
        """Returns the other members of this and of the former views."""
        share = self.share
        found = {tenure.process_of(m): m for m in share.view.members}
        for former in share.view.formers:
            for member in former.members:
                found.setdefault(tenure.process_of(member), member)
        found.pop(share.me, None)
        return list(found.values())

    def take_in(
        self,
        known: messages.CopyList,
        answers: dict[tenure.Process, dict],
        now: float,
    ) -> None:
        """Merges what one process told."""
        for entry in known.entries:
            self.share.merge(entry, now)
        for floor in known.floors:
            self.share.raise_floor(floor.slot, floor.minted_before_ms)
        # The process that answers says which run it is: a restarted host
        # under the old address knows nothing and must not vouch for the run
        # that died.
        process = tenure.Process(known.host, known.incarnation)
        answers[process] = {item.slot: item for item in known.knowledge}

    def set_floors(self) -> None:
        """Gives up on the past of the slots that nobody vouches for.

        Every witness is gone, so a key minted before now may have run.  The
        view is active: no former member can start anything under its own
        lease any more.  Keys minted from now on cannot have run.
        """
        floor_ms = self.wall_ms() + self.skew_ms
        lost = self.share.missing()
        for slot in lost:
            self.share.raise_floor(slot, floor_ms)
            self.share.take(slot)
        self.share.changed()
        logs.say(
            logs.Part.ONCE,
            "the past of slots is lost, older keys get unknown",
            service=self.share.service,
            slots=len(lost),
            view=self.share.view.version,
        )
