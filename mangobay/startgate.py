"""The gate before the first byte of a keyed call.

Every holder of copies knows that the call will start before it starts.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from mangobay import copies, errors, invariants, records, tenure
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import lease

Gate = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class RefusedError(errors.MangobayError):
    """The gate stays shut: nothing was sent, nothing may be.

    Attributes:
      reason: why.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(f"not started: {reason.name.lower()}")
        self.reason = reason


@dataclasses.dataclass(slots=True, kw_only=True)
class StartGate:
    """Lets one claimed record start, or refuses for good.

    Attributes:
      lease: without it nothing new is started.
      sender: the way to the holders.
      share: what this node may vouch for.
      record: claimed here.
    """

    lease: "lease.Lease"
    sender: copies.CopySender
    share: tenure.Tenure
    record: records.Record

    async def open(self) -> None:
        """Lets the call start after every holder knows that it will.

        Raises:
          RefusedError: it must not start here.
        """
        self.must_own()
        version = self.share.view.version
        holders = self.share.placement.holders(self.record.slot)
        if holders:
            await self.announce(holders)
        # Between here and the first byte nothing is awaited: a node that
        # froze while it waited for the holders wakes up at this check.
        self.must_own()
        if self.share.view.version != version:
            raise RefusedError(messages.Reason.OWNER_CHANGED)
        invariants.check(
            invariants.Promise.AT_MOST_ONCE,
            self.share.registry.get(self.record.key) is self.record,
            f"key {self.record.key} has another record",
        )
        self.record.state = records.State.STARTED

    async def announce(self, holders: list[messages.Member]) -> None:
        """Tells every holder that the call will start."""
        now = asyncio.get_running_loop().time()
        put = messages.CopyPut(
            service=self.share.service,
            view_version=self.share.view.version,
            entries=[records.started_entry(self.record, now)],
        )
        if not await self.sender.put_all(holders, put):
            raise RefusedError(messages.Reason.COPY_FAILED)

    def must_own(self) -> None:
        """Raises RefusedError unless this node may start the call."""
        if not self.lease.holds():
            raise RefusedError(messages.Reason.NO_LEASE)
        if not self.share.ready(self.record.slot):
            raise RefusedError(messages.Reason.OWNER_CHANGED)
        if self.record.state is not records.State.CLAIMED:
            raise RefusedError(messages.Reason.RUNNING)
