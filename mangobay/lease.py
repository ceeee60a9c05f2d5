"""The leases of a node, measured on the node's own clocks."""

import collections.abc
import math

from mangobay import clock


class UnlimitedLease:
    """Replaces the lease of a node that serves calls without one."""

    def is_valid(self) -> bool:
        """Returns True."""
        return True


class Lease:
    """The time until which this node may act on its grants.

    Attributes:
      expires_at: loop time at which the lease ends.
    """

    def __init__(self):
        self.expires_at = -math.inf

    def extend(self, asked_at: float, ttl: float) -> None:
        """Extends the lease after a grant.

        The lease counts from when the node sent the renewal, not from when the
        grant arrived. The control group counts from a later time, so a slow
        reply can only make the node stop too early. It never acts beside the
        next owner of its slots.

        Args:
          asked_at: loop time just before the renewal was sent.
          ttl: seconds.
        """
        self.expires_at = max(self.expires_at, asked_at + ttl)

    def is_valid(self) -> bool:
        """Returns whether the lease has not ended."""
        return clock.now() < self.expires_at


CLOCK_MARGIN_SECONDS = 0.05
"""Time by which a lease on the routes document ends early: a request that has
just been checked is still on its way."""


class DocumentLease:
    """The time until which the routes document in use is new enough.

    A key that was taken away must not be accepted for long, also by a node that
    cannot learn of it. It counts in boot time, since loop time does not pass
    while the host is suspended, and a key may be taken away meanwhile.

    Attributes:
      max_staleness: seconds since the last confirmation; 0: no limit.
      max_refusal_staleness: the same for refusals that callers take as final.
      read_boot_time: returns the boot time in seconds.
      confirmed_at: boot time at which the document was the newest one.
    """

    def __init__(
        self,
        max_staleness: float,
        read_boot_time: collections.abc.Callable[[], float] = clock.boot_time,
        max_refusal_staleness: float = 0.0,
    ):
        self.max_staleness = max_staleness
        self.max_refusal_staleness = max_refusal_staleness
        self.read_boot_time = read_boot_time
        self.confirmed_at = -math.inf

    def confirm(self, confirmed_at: float) -> None:
        """Records that the document was the newest one at a boot time."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age(self) -> float:
        """Returns the seconds since the last confirmation, inf without one."""
        return self.read_boot_time() - self.confirmed_at

    def is_current(self) -> bool:
        """Returns whether requests may be refused for good by the document.

        If it was confirmed less than the time ago within which a change is in
        force everywhere, such a refusal is right by the newest one as well.
        """
        limit = self.max_refusal_staleness
        return not limit or self.age() <= limit

    def is_valid(self) -> bool:
        """Returns whether the document may be used for requests with keys."""
        if not self.max_staleness:
            return True
        return self.age() < self.max_staleness - CLOCK_MARGIN_SECONDS
