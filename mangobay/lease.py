"""The lease of a node, on the node's own clock."""

import math

from mangobay import clock


class UnlimitedLease:
    """Stands for a lease where calls are served without one."""

    def is_valid(self) -> bool:
        """Returns that nothing is to be refused."""
        return True


class Lease:
    """Says whether this node may still act by its last grant.

    Attributes:
      expires_at: loop time at which the lease ends.
    """

    def __init__(self):
        self.expires_at = -math.inf

    def extend(self, asked_at: float, ttl: float) -> None:
        """Takes in a grant.

        Counted from when the node asked, not from when the answer came: the
        control group counts from later, so that a slow answer can only make
        the node stop too early, never act beside its successor.

        Args:
          asked_at: loop time just before the renewal was sent.
          ttl: seconds.
        """
        self.expires_at = max(self.expires_at, asked_at + ttl)

    def is_valid(self) -> bool:
        """Returns whether the lease has not ended."""
        return clock.now() < self.expires_at
