"""The lease of a node, measured on the node's own clock."""

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
