"""At most once: the owner of a key's slot runs a keyed call, or nobody."""

import asyncio
import collections.abc
import typing

from mangobay import (
    calls,
    clock,
    copies,
    endings,
    ids,
    keys,
    records,
    slots,
    startgate,
    takeover,
    tenure,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import lease, peers

Execute = collections.abc.Callable[
    [startgate.Gate], collections.abc.Awaitable[messages.Reply]
]

EXPIRE_INTERVAL = 5.0
"""Seconds between two looks for records that left the window."""


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
        wall_ms: collections.abc.Callable[[], int] = clock.unix_ms,
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
            self.shares[service] = self.new_share(service)
        return self.shares[service]

    def new_share(self, service: ids.ServiceName) -> tenure.Tenure:
        """Makes the tenure of a service and starts its takeovers."""
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
            made, self.sender, self.wall_ms, self.skew_ms
        )
        self.spawn(worker.run())
        return made

    @property
    def skew_ms(self) -> int:
        """How far callers' clocks may be ahead, milliseconds."""
        return int(self.options.clock_skew * 1000)

    def update(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Acts by the newest views of the services this node is a member of."""
        for service, view in views.items():
            known = service in self.shares
            if not known and not self.concerns_me(view):
                continue
            share = self.share(service)
            if view.version >= share.view.version:
                share.adopt(view)
                share.settle_orphans()

    def concerns_me(self, view: messages.ServiceView) -> bool:
        """Whether this host is a member of the view."""
        return any(member.host == self.me.host for member in view.members)

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
                self.pass_on(share, body)
                return ack
            case messages.CopyFetch():
                return copies.tell(share, body, now)

    def pass_on(self, share: tenure.Tenure, put: messages.CopyPut) -> None:
        """Sends the end of a run that began under a former owner onward."""
        for entry in put.entries:
            settled = entry.state is not messages.OnceState.STARTED
            if settled and share.owns(entry.slot):
                record = share.registry.get(entry.key)
                self.spawn(endings.spread(share, self.sender, record))

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
        deadline = self.deadline_of(call)
        refusal = await self.refusal(share, slot, deadline)
        if refusal is not None:
            return refusal
        record = share.registry.get(call.key)
        if record is not None:
            return await self.repeat(record, call, deadline)
        refusal = self.refusal_by_age(share, slot, call.key)
        if refusal is not None:
            return refusal
        if share.registry.full:
            return calls.not_run_reply(messages.Reason.OVERLOADED)
        record = self.claim(share, slot, call)
        task = self.spawn(self.first(share, record, execute))
        return await self.watch(task, record)

    def deadline_of(self, call: messages.Call) -> float:
        """Returns the loop time at which the caller gives up."""
        return asyncio.get_running_loop().time() + call.deadline_ms / 1000

    async def refusal(
        self, share: tenure.Tenure, slot: ids.Slot, deadline: float
    ) -> messages.Reply | None:
        """Waits a moment for a takeover; says why this node can't run it."""
        patience = min(
            deadline,
            asyncio.get_running_loop().time() + self.options.copy_timeout,
        )
        while True:
            if not self.lease.holds():
                return calls.not_run_reply(messages.Reason.NO_LEASE)
            if not share.owns(slot):
                return calls.not_run_reply(messages.Reason.NOT_OWNER)
            if share.ready(slot):
                return None
            try:
                async with asyncio.timeout_at(patience):
                    await share.moved.wait()
            except TimeoutError:
                return calls.not_run_reply(messages.Reason.OWNER_CHANGED)

    def refusal_by_age(
        self,
        share: tenure.Tenure,
        slot: ids.Slot,
        key: ids.IdempotencyKey,
    ) -> messages.Reply | None:
        """Answers keys that may have run before this node can remember."""
        now_ms = self.wall_ms()
        window_ms = int(self.options.window * 1000)
        age = keys.age(key, now_ms, self.skew_ms)
        if not age.foreign and age.minted_ms < now_ms - window_ms:
            return calls.unknown_reply(messages.Reason.KEY_EXPIRED)
        floor_ms = share.floors.get(slot, 0)
        if age.before(floor_ms, window_ms, now_ms):
            return calls.unknown_reply(messages.Reason.OWNER_CHANGED)
        return None

    def claim(
        self, share: tenure.Tenure, slot: ids.Slot, call: messages.Call
    ) -> records.Record:
        """Makes the record of a key that nothing is known of."""
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

    async def watch(
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

    async def repeat(
        self, record: records.Record, call: messages.Call, deadline: float
    ) -> messages.Reply:
        """Returns the reply of the run that the key had."""
        if record.digest != records.digest_of(call):
            return calls.not_run_reply(messages.Reason.KEY_REUSED)
        try:
            async with asyncio.timeout_at(deadline):
                await record.settled.wait()
        except TimeoutError:
            return calls.unknown_reply(messages.Reason.RUNNING)
        return record.reply

    async def first(
        self, share: tenure.Tenure, record: records.Record, execute: Execute
    ) -> messages.Reply:
        """Runs the call and settles its record."""
        gate = startgate.StartGate(
            lease=self.lease, sender=self.sender, share=share, record=record
        )
        try:
            reply = await execute(gate.open)
        except startgate.RefusedError as refused:
            reply = calls.not_run_reply(refused.reason)
        except BaseException:
            self.settle(share, record, self.broken_off(record))
            raise
        self.settle(share, record, reply)
        return reply

    def broken_off(self, record: records.Record) -> messages.Reply:
        """Returns the reply of a run that ended with an error."""
        if record.state is records.State.CLAIMED:
            return calls.not_run_reply(messages.Reason.CANCELLED)
        return calls.unknown_reply(messages.Reason.INTERNAL)

    def settle(
        self,
        share: tenure.Tenure,
        record: records.Record,
        reply: messages.Reply,
    ) -> None:
        """Settles a record that was claimed here, by its reply.

        While the claim waited, a newer owner may have started the key and
        told this node as its holder.  Then the record is that owner's:
        forgotten here, the key would run again once that owner is lost.
        """
        claimed = record.state is records.State.CLAIMED
        started = record.state is records.State.STARTED
        runs_here = tenure.runner_of(record) == self.me
        if not claimed and not (started and runs_here):
            return
        if claimed or reply.outcome is messages.Outcome.NOT_RUN:
            share.registry.forget(record)
            record.reply = reply
            record.settled.set()
            return
        answered = reply.outcome is messages.Outcome.ANSWERED
        state = records.State.ANSWERED if answered else records.State.UNKNOWN
        record.settle(state, reply)
        share.registry.weigh(record)
        self.spawn(endings.spread(share, self.sender, record))

    async def handed_over(self) -> None:
        """Returns when no record here is needed by a newer owner any more."""
        await endings.finish(self.me, self.shares, self.sender)

    async def close(self) -> None:
        """Ends every task of this part."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
