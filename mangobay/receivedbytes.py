"""Bounds the memory for received bytes over all connections of a process.

A reader that has to keep bytes before it can pass them on holds them on the
account.  While little is left of it, readers that can pass bytes on wait until they
have.  Once it is full, whoever holds most is cut off, so that those who hold little
are not harmed.  What is complete in its first read is not held.
"""

import typing
import weakref

from mangobay import clock, logs

DEFAULT_MAX_BYTES = 48 * 1024 * 1024
SCARCE_SHARE = 0.5
"""Share of the bound above which nothing is read before what was read drains."""
LOG_INTERVAL_SECONDS = 60.0
"""Seconds between two log lines about a full account."""


class Holder(typing.Protocol):
    """Keeps received bytes.

    Attributes:
      cut_last: whether it is cut off only if all others are, because what it
        receives belongs to many requests.
    """

    cut_last: bool

    def drop_received(self) -> None:
        """Ends what is being received, and drops its bytes."""


class Account:
    """The received bytes that are held now.

    Attributes:
      max_bytes: the bound.
      held_bytes: the sum of all holders.
      holders: bytes held, by holder; those that hold none are missing.  A body
        that nobody reads any more ends with its last reference.
      cut_count: holders that were cut off since the start.
      next_log_at: loop time from which on a cut is logged.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.holders: dict[weakref.ref[Holder], int] = {}
        self.cut_count = 0
        self.next_log_at = float("-inf")

    @property
    def is_scarce(self) -> bool:
        """Whether readers that hold bytes wait until these are passed on."""
        return self.held_bytes > self.max_bytes * SCARCE_SHARE

    def hold(self, holder: Holder, byte_count: int) -> None:
        """Sets how much a holder holds.

        The greatest holders are cut off while it is too much, this one among
        them.
        """
        reference = weakref.ref(holder)
        if not byte_count:
            self.forget(reference)
            return
        if reference not in self.holders:
            reference = weakref.ref(holder, self.forget)
        self.held_bytes += byte_count - self.holders.get(reference, 0)
        self.holders[reference] = byte_count
        while self.held_bytes > self.max_bytes:
            self.cut_greatest()

    def release(self, holder: Holder) -> None:
        """Forgets a holder; does nothing if it holds no bytes."""
        self.forget(weakref.ref(holder))

    def forget(self, reference: weakref.ref[Holder]) -> None:
        """Forgets the holder that a reference refers to, or did."""
        self.held_bytes -= self.holders.pop(reference, 0)

    def cut_greatest(self) -> None:
        """Cuts off the holder of most bytes."""
        reference = max(self.holders, key=self.cut_order)
        byte_count = self.holders[reference]
        holder = reference()
        self.forget(reference)
        self.cut_count += 1
        self.log_cut(holder, byte_count)
        holder.drop_received()

    def cut_order(self, reference: weakref.ref[Holder]) -> tuple[bool, int]:
        """Returns the sort key of a holder; the greatest is cut off first."""
        return not reference().cut_last, self.holders[reference]

    def log_cut(self, holder: Holder, byte_count: int) -> None:
        """Logs a cut unless one was logged shortly before."""
        now = clock.now()
        if now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_SECONDS
        logs.log_event(
            logs.Component.CALL,
            "too many received bytes, the greatest holder is cut off",
            holder=type(holder).__name__,
            its_bytes=byte_count,
            max_bytes=self.max_bytes,
            holders=len(self.holders) + 1,
        )


account = Account()
"""The account of this process."""
