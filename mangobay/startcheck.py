"""Check before the first byte of a call with a key is sent.

A call starts only after every holder has stored a copy of its record as
started.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from mangobay import copies, errors, ids, invariants, records, slotownership
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import lease

BeforeSend = collections.abc.Callable[[], collections.abc.Awaitable[None]]
"""Awaited before the first byte; raises if the call must not start."""


class StartRefusedError(errors.MangobayError):
    """The call must not start here; nothing was sent.

    Attributes:
      reason: reason of the `not_run` reply.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(f"call was not started: {reason.name.lower()}")
        self.reason = reason


@dataclasses.dataclass(slots=True, kw_only=True)
class StartCheck:
    """Decides whether the call of one claimed record may start.

    Attributes:
      lease: lease of this node; without it nothing starts.
      sender: sends the record to its holders.
      ownership: this node's slots of the service.
      record: record that was claimed at this node.
    """

    lease: "lease.Lease"
    sender: copies.CopySender
    ownership: slotownership.SlotOwnership
    record: records.Record

    async def permit_start(self) -> None:
        """Marks the record as started once every holder has a copy.

        Raises:
          StartRefusedError: it must not start here.
        """
        self.check_may_start()
        version = self.ownership.view.version
        holders = self.ownership.placement.holders(self.record.slot)
        now = asyncio.get_running_loop().time()
        entry = records.started_entry(self.record, now)
        try:
            await self.notify_and_check(holders, entry, version)
        except BaseException:
            if holders:
                now = asyncio.get_running_loop().time()
                self.ownership.refused_starts.add(entry, holders, now)
            raise
        self.ownership.refused_starts.discard(self.record.key)
        self.record.state = records.State.STARTED

    async def notify_and_check(
        self,
        holders: list[messages.Member],
        entry: messages.OnceEntry,
        version: ids.ViewVersion,
    ) -> None:
        """Notifies the holders, and checks again that the call may start.

        Raises:
          StartRefusedError: it must not start here.
        """
        if holders:
            await self.notify_holders(holders, entry)
        # Nothing is awaited between this check and the first byte: a node that
        # was paused while it waited for the holders resumes before the check.
        self.check_may_start()
        if self.ownership.view.version != version:
            raise StartRefusedError(messages.Reason.OWNER_CHANGED)
        invariants.check(
            invariants.Invariant.AT_MOST_ONCE,
            self.ownership.registry.get(self.record.key) is self.record,
            f"key {self.record.key} has another record",
        )

    async def notify_holders(
        self, holders: list[messages.Member], entry: messages.OnceEntry
    ) -> None:
        """Sends every holder the record as started.

        Raises:
          StartRefusedError: a holder did not store it.
        """
        message = messages.CopyPut(
            service=self.ownership.service,
            view_version=self.ownership.view.version,
            entries=[entry],
        )
        if not await self.sender.put_all(holders, message):
            raise StartRefusedError(messages.Reason.COPY_FAILED)

    def check_may_start(self) -> None:
        """Checks the lease, the ownership and the record's state.

        Raises:
          StartRefusedError: one of them forbids the start.
        """
        if not self.lease.is_valid():
            raise StartRefusedError(messages.Reason.NO_LEASE)
        refused = self.ownership.refused_starts
        if (
            not self.ownership.ready(self.record.slot)
            or self.record.key in refused.withdrawn
        ):
            raise StartRefusedError(messages.Reason.OWNER_CHANGED)
        if self.record.state is not records.State.CLAIMED:
            raise StartRefusedError(messages.Reason.RUNNING)
