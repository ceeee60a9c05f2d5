"""At most once: the owner of a key's slot runs a keyed call, or nobody."""

import asyncio
import collections.abc
import functools
import time
import typing

from mangobay import (
    copies,
    errors,
    ids,
    invariants,
    keys,
    logs,
    records,
    slots,
    takeover,
    tenure,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import lease, peers

Gate = collections.abc.Callable[[], collections.abc.Awaitable[None]]
Execute = collections.abc.Callable[
    [Gate], collections.abc.Awaitable[messages.Reply]
]

EXPIRE_INTERVAL = 5.0
"""Seconds between two looks for records that left the window."""

HANDOVER_POLL = 0.05
"""Seconds between two looks whether another node owns everything."""


class RefusedError(errors.MangobayError):
    """The gate stays shut: nothing was sent, nothing may be.

    Attributes:
      reason: why.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(f"not started: {reason.name.lower()}")
        self.reason = reason


def not_run(reason: messages.Reason) -> messages.Reply:
    """Returns the reply of a call that certainly did not run here."""
    return messages.Reply(outcome=messages.Outcome.NOT_RUN, reason=reason)


def unix_ms() -> int:
    """Returns the wall clock, milliseconds."""
    return int(time.time() * 1000)


class Once:
    """Every keyed call that this node runs, owns or holds a copy of.

    Attributes:
      options: section [once] of the settings.
      me: this process.
      lease: without it nothing new is started.
      wall_ms: Unix time in milliseconds.
      budget: memory for the records of every service.
      shares: per service, what this node may vouch for.
    """

    def __init__(
        self,
        options: settings.NodeOnce,
        me: tenure.Process,
        transport: "peers.Transport",
        lease: "lease.Lease",
        wall_ms: collections.abc.Callable[[], int] = unix_ms,
    ):
        self.options = options
        self.me = me
        self.lease = lease
        self.wall_ms = wall_ms
        self.sender = copies.CopySender(
            transport=transport, timeout=options.copy_timeout
        )
        self.shares: dict[ids.ServiceName, tenure.Tenure] = {}
        self.budget = records.Budget(options.memory_bytes)
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Starts a task and keeps it from being collected while it runs."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def share(self, service: ids.ServiceName) -> tenure.Tenure:
        """Returns the tenure of a service, made when first needed."""
        if service not in self.shares:
            self.shares[service] = self._new_share(service)
        return self.shares[service]

    def _new_share(self, service: ids.ServiceName) -> tenure.Tenure:
        # A record outlives its key by twice the clock skew, so that no key
        # still counts as young after its record was dropped.
        window = self.options.window + 2 * self.options.clock_skew
        made = tenure.Tenure(
            service,
            self.me,
            records.Registry(window, self.options.entries, self.budget),
            self.options.copies,
            slots.CopyPlace(self.options.copy_place),
        )
        worker = takeover.Takeover(
            made, self.sender, self.wall_ms, self._skew_ms
        )
        self.spawn(worker.run())
        return made

    @property
    def _skew_ms(self) -> int:
        return int(self.options.clock_skew * 1000)

    def update(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Acts by the newest views of the services this node is a member of."""
        for service, view in views.items():
            known = service in self.shares
            if not known and not self._concerns_me(view):
                continue
            share = self.share(service)
            if view.version >= share.view.version:
                share.adopt(view)
                self._settle_orphans(share)

    def _concerns_me(self, view: messages.ServiceView) -> bool:
        return any(member.host == self.me.host for member in view.members)

    def _settle_orphans(self, share: tenure.Tenure) -> None:
        """Settles records whose runner is gone: their fate stays unknown."""
        alive = {tenure.process_of(m) for m in share.view.members} | {self.me}
        for record in list(share.registry.by_key.values()):
            runner = tenure.Process(record.runner, record.runner_incarnation)
            if record.state is records.State.STARTED and runner not in alive:
                reason = messages.Reason.OWNER_CHANGED
                record.settle(
                    records.State.UNKNOWN, records.unknown_reply(reason)
                )

    async def expire(self) -> None:
        """Drops old records for ever, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL)
            now = asyncio.get_running_loop().time()
            for share in self.shares.values():
                share.registry.expire(now)

    async def handle(
        self, body: messages.CopyPut | messages.CopyFetch
    ) -> messages.CopyAck | messages.CopyList:
        """Answers another member of a service."""
        share = self.share(body.service)
        now = asyncio.get_running_loop().time()
        match body:
            case messages.CopyPut():
                ack = copies.keep(share, body, now)
                self._pass_on(share, body)
                return ack
            case messages.CopyFetch():
                return copies.tell(share, body, now)

    def _pass_on(self, share: tenure.Tenure, put: messages.CopyPut) -> None:
        """Sends the end of a run that began under a former owner onward."""
        for entry in put.entries:
            settled = entry.state is not messages.OnceState.STARTED
            if settled and share.owns(entry.slot):
                record = share.registry.get(entry.key)
                self.spawn(self._spread(share, record))

    async def run(
        self, call: messages.Call, execute: Execute
    ) -> messages.Reply:
        """Runs a keyed call unless it ran, runs, or may have run before.

        Args:
          call: a call with a key.
          execute: admits and runs it; awaits the gate it is given after the
            admission and before the first byte goes to a backend server.

        Returns:
          The reply, the same whole one for every repeat.
        """
        share = self.share(call.service)
        slot = slots.slot_of(call.key)
        deadline = self._deadline(call)
        refusal = await self._refusal(share, slot, deadline)
        if refusal is not None:
            return refusal
        record = share.registry.get(call.key)
        if record is not None:
            return await self._repeat(record, call, deadline)
        refusal = self._by_age(share, slot, call.key)
        if refusal is not None:
            return refusal
        if share.registry.full:
            return not_run(messages.Reason.OVERLOADED)
        record = self._claim(share, slot, call)
        task = self.spawn(self._first(share, record, execute))
        return await self._watch(task, record)

    def _deadline(self, call: messages.Call) -> float:
        return asyncio.get_running_loop().time() + call.deadline_ms / 1000

    async def _refusal(
        self, share: tenure.Tenure, slot: ids.Slot, deadline: float
    ) -> messages.Reply | None:
        """Waits a moment for a takeover; says why this node can't run it."""
        patience = min(
            deadline,
            asyncio.get_running_loop().time() + self.options.copy_timeout,
        )
        while True:
            if not self.lease.holds():
                return not_run(messages.Reason.NO_LEASE)
            if not share.owns(slot):
                return not_run(messages.Reason.NOT_OWNER)
            if share.ready(slot):
                return None
            try:
                async with asyncio.timeout_at(patience):
                    await share.moved.wait()
            except TimeoutError:
                return not_run(messages.Reason.OWNER_CHANGED)

    def _by_age(
        self,
        share: tenure.Tenure,
        slot: ids.Slot,
        key: ids.IdempotencyKey,
    ) -> messages.Reply | None:
        """Answers keys that may have run before this node can remember."""
        now_ms = self.wall_ms()
        window_ms = int(self.options.window * 1000)
        age = keys.age(key, now_ms, self._skew_ms)
        if not age.foreign and age.minted_ms < now_ms - window_ms:
            return records.unknown_reply(messages.Reason.KEY_EXPIRED)
        floor_ms = share.floors.get(slot, 0)
        if age.before(floor_ms, window_ms, now_ms):
            return records.unknown_reply(messages.Reason.OWNER_CHANGED)
        return None

    def _claim(
        self, share: tenure.Tenure, slot: ids.Slot, call: messages.Call
    ) -> records.Record:
        record = records.Record(
            key=call.key,
            service=call.service,
            slot=slot,
            digest=records.digest_of(call),
            made_at=asyncio.get_running_loop().time(),
            runner=self.me.host,
            runner_incarnation=self.me.incarnation,
        )
        share.registry.add(record)
        return record

    async def _watch(
        self, task: asyncio.Task, record: records.Record
    ) -> messages.Reply:
        """Waits for the run; a caller that hangs up ends only a claim.

        Cancelling a run that has started would leave its fate unknown for
        nothing: it goes on, and its answer waits for the caller's repeat.
        """
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if record.state is records.State.CLAIMED:
                task.cancel()
            raise

    async def _repeat(
        self, record: records.Record, call: messages.Call, deadline: float
    ) -> messages.Reply:
        if record.digest != records.digest_of(call):
            return not_run(messages.Reason.KEY_REUSED)
        try:
            async with asyncio.timeout_at(deadline):
                await record.settled.wait()
        except TimeoutError:
            return records.unknown_reply(messages.Reason.RUNNING)
        return record.reply

    async def _first(
        self, share: tenure.Tenure, record: records.Record, execute: Execute
    ) -> messages.Reply:
        gate = functools.partial(self._gate, share, record)
        try:
            reply = await execute(gate)
        except RefusedError as refused:
            reply = not_run(refused.reason)
        except BaseException:
            self._settle(share, record, self._broken_off(record))
            raise
        self._settle(share, record, reply)
        return reply

    def _broken_off(self, record: records.Record) -> messages.Reply:
        if record.state is records.State.CLAIMED:
            return not_run(messages.Reason.CANCELLED)
        return records.unknown_reply(messages.Reason.INTERNAL)

    async def _gate(self, share: tenure.Tenure, record: records.Record) -> None:
        """Lets a call start after every holder knows that it will.

        Raises:
          RefusedError: it must not start here.
        """
        self._must_own(share, record)
        version = share.view.version
        holders = share.placement.holders(record.slot)
        if holders:
            await self._announce_start(share, record, holders)
        # Between here and the first byte nothing is awaited: a node that
        # froze while it waited for the holders wakes up at this check.
        self._must_own(share, record)
        if share.view.version != version:
            raise RefusedError(messages.Reason.OWNER_CHANGED)
        invariants.check(
            invariants.Promise.AT_MOST_ONCE,
            share.registry.get(record.key) is record,
            f"key {record.key} has another record",
        )
        record.state = records.State.STARTED

    async def _announce_start(
        self,
        share: tenure.Tenure,
        record: records.Record,
        holders: list[messages.Member],
    ) -> None:
        now = asyncio.get_running_loop().time()
        entry = records.started_entry(record, now)
        put = messages.CopyPut(
            service=share.service,
            view_version=share.view.version,
            entries=[entry],
        )
        if not await self.sender.put_all(holders, put):
            raise RefusedError(messages.Reason.COPY_FAILED)

    def _must_own(self, share: tenure.Tenure, record: records.Record) -> None:
        if not self.lease.holds():
            raise RefusedError(messages.Reason.NO_LEASE)
        if not share.ready(record.slot):
            raise RefusedError(messages.Reason.OWNER_CHANGED)
        if record.state is not records.State.CLAIMED:
            raise RefusedError(messages.Reason.RUNNING)

    def _settle(
        self,
        share: tenure.Tenure,
        record: records.Record,
        reply: messages.Reply,
    ) -> None:
        mine = record.state in (records.State.CLAIMED, records.State.STARTED)
        if not mine:
            return
        claimed = record.state is records.State.CLAIMED
        if claimed or reply.outcome is messages.Outcome.NOT_RUN:
            share.registry.forget(record)
            record.reply = reply
            record.settled.set()
            return
        answered = reply.outcome is messages.Outcome.ANSWERED
        state = records.State.ANSWERED if answered else records.State.UNKNOWN
        record.settle(state, reply)
        share.registry.weigh(record)
        self.spawn(self._spread(share, record))

    async def _spread(
        self, share: tenure.Tenure, record: records.Record
    ) -> None:
        """Tells the slot's owner and holders how a run ended.

        A fenced node waits for the newer view first: under its old one it
        would tell itself, and the new owner would wait for the end of the
        run for ever.

        The caller has its answer already.  If this process dies before the
        copies arrive, a repeat gets `unknown`, never a second run.
        """
        while share.fenced:
            await share.moved.wait()
        placement = share.placement
        owner = placement.owner(record.slot)
        told = [*placement.holders(record.slot)]
        if owner is not None:
            told.append(owner)
        told = [member for member in told if not share.is_me(member)]
        if not told:
            return
        now = asyncio.get_running_loop().time()
        put = messages.CopyPut(
            service=share.service,
            view_version=share.view.version,
            entries=[records.to_entry(record, now)],
        )
        if not await self.sender.put_all(told, put):
            logs.say(
                logs.Part.ONCE,
                "an answer has no copy",
                service=share.service,
            )

    async def handed_over(self) -> None:
        """Returns when no record here is needed by a newer owner any more.

        A leaving node stays until nothing of its own still runs and the new
        owners of its slots have asked for what it knows.  Gone earlier, its
        callers' repeats would get `unknown` where a copy is missing.
        """
        while not all(map(self._is_free, self.shares.values())):
            now = asyncio.get_running_loop().time()
            for share in self.shares.values():
                await copies.hand_over(share, self.sender, now)
            await asyncio.sleep(HANDOVER_POLL)

    def _is_free(self, share: tenure.Tenure) -> bool:
        running = any(
            record.state in (records.State.CLAIMED, records.State.STARTED)
            and record.runner == self.me.host
            for record in share.registry.by_key.values()
        )
        return not running and not share.mine and not share.unfetched()

    async def close(self) -> None:
        """Ends every task of this part."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
