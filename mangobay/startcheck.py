"""The gate before the first byte of a keyed call.

Every holder of copies knows that the call will start before it starts.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from mangobay import copies, errors, invariants, records, slotownership
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import lease

BeforeSend = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class StartRefusedError(errors.MangobayError):
    """The gate stays shut: nothing was sent, nothing may be.

    Attributes:
      reason: why.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(f"not started: {reason.name.lower()}")
        self.reason = reason


@dataclasses.dataclass(slots=True, kw_only=True)
class StartCheck:
    """Lets one claimed record start, or refuses for good.

    Attributes:
      lease: without it nothing new is started.
      sender: the way to the holders.
      ownership: what this node may vouch for.
      record: claimed here.
    """

    lease: "lease.Lease"
    sender: copies.CopySender
    ownership: slotownership.SlotOwnership
    record: records.Record

    async def permit_start(self) -> None:
        """Lets the call start after every holder knows that it will.

        Raises:
          RefusedError: it must not start here.
        """
        self.check_may_start()
        version = self.ownership.view.version
        holders = self.ownership.placement.holders(self.record.slot)
        if holders:
            await self.notify_holders(holders)
        # Between here and the first byte nothing is awaited: a node that
        # froze while it waited for the holders wakes up at this check.
        self.check_may_start()
        if self.ownership.view.version != version:
            raise StartRefusedError(messages.Reason.OWNER_CHANGED)
        invariants.check(
            invariants.Promise.AT_MOST_ONCE,
            self.ownership.registry.get(self.record.key) is self.record,
            f"key {self.record.key} has another record",
        )
        self.record.state = records.State.STARTED

    async def notify_holders(self, holders: list[messages.Member]) -> None:
        """Tells every holder that the call will start."""
        now = asyncio.get_running_loop().time()
        message = messages.CopyPut(
            service=self.ownership.service,
            view_version=self.ownership.view.version,
            entries=[records.started_entry(self.record, now)],
        )
        if not await self.sender.put_all(holders, message):
            raise StartRefusedError(messages.Reason.COPY_FAILED)

    def check_may_start(self) -> None:
        """Raises RefusedError unless this node may start the call."""
        if not self.lease.holds():
            raise StartRefusedError(messages.Reason.NO_LEASE)
        if not self.ownership.ready(self.record.slot):
            raise StartRefusedError(messages.Reason.OWNER_CHANGED)
        if self.record.state is not records.State.CLAIMED:
            raise StartRefusedError(messages.Reason.RUNNING)
