"""Bounds the memory for received bytes over all connections of a process.

A reader that has to keep bytes before it can pass them on holds them on the
account.  Once that is full, whoever holds most is cut off, so that those who
hold little are not harmed.  What is complete in its first read is not held.
"""

import typing

from mangobay import clock, logs

DEFAULT_MAX_BYTES = 48 * 1024 * 1024
LOG_INTERVAL_SECONDS = 60.0
"""Seconds between two log lines about a full account."""


class Holder(typing.Protocol):
    """Keeps received bytes."""

    def drop_received(self) -> None:
        """Ends what is being received, and drops its bytes."""


class Account:
    """The received bytes that are held now.

    Attributes:
      max_bytes: the bound.
      held_bytes: the sum of all holders.
      holders: bytes held, by holder; those that hold none are missing.
      cut_count: holders that were cut off since the start.
      next_log_at: loop time from which on a cut is logged.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.holders: dict[Holder, int] = {}
        self.cut_count = 0
        self.next_log_at = float("-inf")

    def hold(self, holder: Holder, byte_count: int) -> None:
        """Sets how much a holder holds.

        The greatest holders are cut off while it is too much, this one among
        them.
        """
        self.held_bytes += byte_count - self.holders.get(holder, 0)
        if byte_count:
            self.holders[holder] = byte_count
        else:
            self.holders.pop(holder, None)
        while self.held_bytes > self.max_bytes:
            self.cut_greatest()

    def release(self, holder: Holder) -> None:
        """Forgets a holder; does nothing if it holds no bytes."""
        self.held_bytes -= self.holders.pop(holder, 0)

    def cut_greatest(self) -> None:
        """Cuts off the holder of most bytes."""
        greatest = max(self.holders, key=self.holders.__getitem__)
        byte_count = self.holders[greatest]
        self.release(greatest)
        self.cut_count += 1
        self.log_cut(greatest, byte_count)
        greatest.drop_received()

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
