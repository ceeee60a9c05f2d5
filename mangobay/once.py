"""At-most-once execution of calls with an idempotency key.

Only the owner of a key's slot runs the call. Repeats get the reply of that run.
"""

import asyncio
import collections.abc
import typing

from mangobay import (
    calls,
    clock,
    completion,
    copies,
    ids,
    keys,
    keyslots,
    records,
    slotownership,
    startcheck,
    takeover,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import lease, peers

Execute = collections.abc.Callable[
    [startcheck.BeforeSend], collections.abc.Awaitable[messages.Reply]
]
"""Admits a call and runs it; awaits the argument before the first byte."""

EXPIRE_INTERVAL_SECONDS = 5.0
"""Seconds between two removals of expired records."""


class AtMostOnce:
    """Runs calls with a key at most once, and keeps copies for other nodes.

    Attributes:
      options: section [once] of the settings.
      this_process: this node's process.
      lease: lease of this node; without it no call starts.
      unix_ms: returns Unix time in milliseconds.
      sender: exchanges records with other members.
      ownerships: slots of each service at this node.
      budget: memory for the records of all services.
      tasks: running background tasks.
    """

    def __init__(
        self,
        options: settings.NodeOnce,
        this_process: slotownership.ProcessId,
        transport: "peers.Transport",
        lease: "lease.Lease",
        unix_ms: collections.abc.Callable[[], int] = clock.unix_ms,
    ):
        self.options = options
        self.this_process = this_process
        self.lease = lease
        self.unix_ms = unix_ms
        self.sender = copies.CopySender(
            transport=transport, timeout=options.copy_timeout
        )
        self.ownerships: dict[ids.ServiceName, slotownership.SlotOwnership] = {}
        self.budget = records.MemoryBudget(options.memory_bytes)
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Starts a task and keeps a reference to it while it runs."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def ownership_of(
        self, service: ids.ServiceName
    ) -> slotownership.SlotOwnership:
        """Returns the slots of a service, created at the first use."""
        if service not in self.ownerships:
            self.ownerships[service] = self.create_ownership(service)
        return self.ownerships[service]

    def create_ownership(
        self, service: ids.ServiceName
    ) -> slotownership.SlotOwnership:
        """Creates the slots of a service and starts their takeover task."""
        # A record is kept for twice the clock skew longer than its key is
        # accepted, so that no key is accepted after its record has expired.
        window = self.options.window + 2 * self.options.clock_skew
        ownership = slotownership.SlotOwnership(
            service,
            self.this_process,
            records.Registry(window, self.options.entries, self.budget),
            self.options.copies,
            keyslots.CopyPlace(self.options.copy_place),
        )
        worker = takeover.Takeover(
            ownership, self.sender, self.unix_ms, self.skew_ms
        )
        self.spawn(worker.run())
        return ownership

    @property
    def skew_ms(self) -> int:
        """How far callers' clocks may be ahead, milliseconds."""
        return int(self.options.clock_skew * 1000)

    def update_views(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Adopts newer views of known services and of those it joined."""
        for service, view in views.items():
            known = service in self.ownerships
            if not known and not self.is_member(view):
                continue
            ownership = self.ownership_of(service)
            if view.version >= ownership.view.version:
                ownership.adopt_view(view)
                # The runner may be a member of the newer view.
                if not ownership.fenced:
                    ownership.resolve_orphans()

    def is_member(self, view: messages.ServiceView) -> bool:
        """Whether this host is a member of the view."""
        return any(
            member.host == self.this_process.host for member in view.members
        )

    async def run_expiry(self) -> None:
        """Removes expired records periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            for ownership in self.ownerships.values():
                ownership.registry.expire(now)

    async def handle(
        self, message: messages.CopyPut | messages.CopyFetch
    ) -> messages.CopyAck | messages.CopyList:
        """Handles a message of another member of a service."""
        ownership = self.ownership_of(message.service)
        now = asyncio.get_running_loop().time()
        match message:
            case messages.CopyPut():
                ack = copies.store_copies(ownership, message, now)
                self.forward_results(ownership, message)
                return ack
            case messages.CopyFetch():
                return copies.answer_fetch(ownership, message, now)

    def forward_results(
        self, ownership: slotownership.SlotOwnership, message: messages.CopyPut
    ) -> None:
        """Sends the results of runs at former owners to the holders."""
        for entry in message.entries:
            is_final = entry.state is not messages.OnceState.STARTED
            if is_final and ownership.owns(entry.slot):
                record = ownership.registry.get(entry.key)
                self.spawn(
                    completion.publish_result(ownership, self.sender, record)
                )

    async def run(
        self, call: messages.Call, execute: Execute
    ) -> messages.Reply:
        """Runs a call with a key unless it ran, runs, or may have run before.

        Args:
          call: call with a key.
          execute: admits the call and runs it; awaits its argument after the
            admission and before the first byte is sent to a backend server.

        Returns:
          The reply; each repeat gets the same one.
        """
        ownership = self.ownership_of(call.service)
        slot = keyslots.slot_of(call.key)
        deadline = self.deadline_of(call)
        refusal = await self.wait_until_ready(ownership, slot, deadline)
        if refusal is not None:
            return refusal
        record = ownership.registry.get(call.key)
        if record is not None:
            return await self.reply_to_repeat(record, call, deadline)
        refusal = self.reply_to_old_key(ownership, slot, call.key)
        if refusal is not None:
            return refusal
        if ownership.registry.full:
            return calls.not_run_reply(messages.Reason.OVERLOADED)
        record = self.claim(ownership, slot, call)
        task = self.spawn(self.run_first(ownership, record, execute))
        return await self.wait_for_run(task, record)

    def deadline_of(self, call: messages.Call) -> float:
        """Returns the loop time at which the caller stops waiting."""
        return asyncio.get_running_loop().time() + call.deadline_ms / 1000

    async def wait_until_ready(
        self,
        ownership: slotownership.SlotOwnership,
        slot: ids.Slot,
        deadline: float,
    ) -> messages.Reply | None:
        """Waits briefly for a takeover; returns a refusal if not ready."""
        wait_until = min(
            deadline,
            asyncio.get_running_loop().time() + self.options.copy_timeout,
        )
        while True:
            if not self.lease.is_valid():
                return calls.not_run_reply(messages.Reason.NO_LEASE)
            if not ownership.owns(slot):
                return calls.not_run_reply(messages.Reason.NOT_OWNER)
            if ownership.ready(slot):
                return None
            try:
                async with asyncio.timeout_at(wait_until):
                    await ownership.change_event.wait()
            except TimeoutError:
                return calls.not_run_reply(messages.Reason.OWNER_CHANGED)

    def reply_to_old_key(
        self,
        ownership: slotownership.SlotOwnership,
        slot: ids.Slot,
        key: ids.IdempotencyKey,
    ) -> messages.Reply | None:
        """Returns `unknown` for a key without a record that may have run."""
        now_ms = self.unix_ms()
        window_ms = int(self.options.window * 1000)
        created = keys.creation_time(key, now_ms, self.skew_ms)
        if not created.undated and created.created_ms < now_ms - window_ms:
            return calls.unknown_reply(messages.Reason.KEY_EXPIRED)
        floor_ms = ownership.floors.get(slot, 0)
        if created.may_predate(floor_ms, window_ms, now_ms):
            return calls.unknown_reply(messages.Reason.OWNER_CHANGED)
        return None

    def claim(
        self,
        ownership: slotownership.SlotOwnership,
        slot: ids.Slot,
        call: messages.Call,
    ) -> records.Record:
        """Adds and returns the record of a new key."""
        record = records.Record(
            key=call.key,
            service=call.service,
            slot=slot,
            digest=records.digest_of(call),
            created_at=asyncio.get_running_loop().time(),
            runner=self.this_process.host,
            runner_incarnation=self.this_process.incarnation,
        )
        ownership.registry.add(record)
        return record

    async def wait_for_run(
        self, task: asyncio.Task, record: records.Record
    ) -> messages.Reply:
        """Waits for the run; cancelling cancels only a call not yet started.

        A started run continues when its caller is cancelled, and its response
        is kept for a repeat. Cancelling it would make its outcome unknown.
        """
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if record.state is records.State.CLAIMED:
                task.cancel()
            raise

    async def reply_to_repeat(
        self, record: records.Record, call: messages.Call, deadline: float
    ) -> messages.Reply:
        """Waits for the reply of the first run of the key."""
        if record.digest != records.digest_of(call):
            return calls.not_run_reply(messages.Reason.KEY_REUSED)
        try:
            async with asyncio.timeout_at(deadline):
                await record.resolved.wait()
        except TimeoutError:
            return calls.unknown_reply(messages.Reason.RUNNING)
        return record.reply

    async def run_first(
        self,
        ownership: slotownership.SlotOwnership,
        record: records.Record,
        execute: Execute,
    ) -> messages.Reply:
        """Runs the call and resolves its record."""
        start_check = startcheck.StartCheck(
            lease=self.lease,
            sender=self.sender,
            ownership=ownership,
            record=record,
        )
        try:
            reply = await execute(start_check.permit_start)
        except startcheck.StartRefusedError as error:
            reply = calls.not_run_reply(error.reason)
        except BaseException:
            self.resolve(ownership, record, self.reply_after_error(record))
            raise
        self.resolve(ownership, record, reply)
        return reply

    def reply_after_error(self, record: records.Record) -> messages.Reply:
        """Returns the reply for a run that ended with an exception."""
        if record.state is records.State.CLAIMED:
            return calls.not_run_reply(messages.Reason.CANCELLED)
        return calls.unknown_reply(messages.Reason.INTERNAL)

    def resolve(
        self,
        ownership: slotownership.SlotOwnership,
        record: records.Record,
        reply: messages.Reply,
    ) -> None:
        """Resolves a record that was claimed here, or removes it if not run.

        While the claim waited for admission, a new owner may have started the
        call and sent this node, as a holder, its record. That record is kept:
        without it the key would run again once the new owner is lost.
        """
        is_claimed = record.state is records.State.CLAIMED
        is_started = record.state is records.State.STARTED
        runs_here = slotownership.runner_of(record) == self.this_process
        if not is_claimed and not (is_started and runs_here):
            return
        if is_claimed or reply.outcome is messages.Outcome.NOT_RUN:
            ownership.registry.remove(record)
            record.reply = reply
            record.resolved.set()
            return
        is_answered = reply.outcome is messages.Outcome.ANSWERED
        state = records.State.ANSWERED if is_answered else records.State.UNKNOWN
        record.resolve(state, reply)
        ownership.registry.update_size(record)
        self.spawn(completion.publish_result(ownership, self.sender, record))

    async def finish_handover(self) -> None:
        """Hands records over until no new owner needs this node any more."""
        await completion.finish_handover(
            self.this_process, self.ownerships, self.sender
        )

    async def close(self) -> None:
        """Cancels all background tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
