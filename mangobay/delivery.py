"""What a caller has acknowledged of the responses written to it."""

import asyncio

from mangobay import sockets


class Delivery:
    """The written bytes of one connection until they are acknowledged.

    Attributes:
      pending: bytes were written that may not be acknowledged yet.
      unacknowledged_bytes: written bytes that were not acknowledged at the last
        check.
      acknowledged_at: loop time at which their number last changed; 0 before the
        first response.
    """

    __slots__ = ("acknowledged_at", "pending", "unacknowledged_bytes")

    def __init__(self):
        self.pending = False
        self.unacknowledged_bytes = 0
        self.acknowledged_at = 0.0

    def start(self, now: float) -> None:
        """Notes that bytes were written."""
        self.pending = True
        self.acknowledged_at = now

    def update(self, transport: asyncio.Transport, now: float) -> None:
        """Checks how many bytes the caller has not acknowledged."""
        if not self.pending:
            return
        count = sockets.count_unacknowledged_bytes(transport)
        if count != self.unacknowledged_bytes:
            self.unacknowledged_bytes = count
            self.acknowledged_at = now
        self.pending = count > 0
