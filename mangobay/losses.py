"""Which share of the runs at the backend server here is lost.

A caller sees some of them, and needs seconds to tell one failure in three from
bad luck.  The node beside the backend server sees all: it tells the share with
every reply, so that each caller knows within a round trip.
"""

import dataclasses

from mangobay import ids

HALF_LIFE = 0.7
"""Seconds in which a run counts half: a backend server that fails, or is sound
again, is known within about a second."""
DOUBT = 5.0
"""Sound runs that are assumed besides those seen: one failure after a pause is
no share of one."""


@dataclasses.dataclass(slots=True)
class Counted:
    """Runs of one operation, faded.

    Attributes:
      ended: those that ended.
      lost: those of them that were of no use to their caller.
      at: loop time at which the figures are right.
    """

    ended: float = 0.0
    lost: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        """Brings the figures to a loop time."""
        kept = 0.5 ** ((now - self.at) / HALF_LIFE)
        self.ended *= kept
        self.lost *= kept
        self.at = now


class Losses:
    """The runs at one backend server, by operation."""

    def __init__(self):
        self.operations: dict[ids.OperationName, Counted] = {}

    def ended(
        self, operation: ids.OperationName, lost: bool, now: float
    ) -> None:
        """Counts a run that ended."""
        counted = self.operations.get(operation)
        if counted is None:
            counted = self.operations[operation] = Counted(at=now)
        counted.fade(now)
        counted.ended += 1
        counted.lost += lost

    def share(self, operation: ids.OperationName, now: float) -> float:
        """Returns the share of an operation's runs that are lost, 0 to 1."""
        counted = self.operations.get(operation)
        if counted is None or not counted.lost:
            return 0.0
        counted.fade(now)
        return counted.lost / (counted.ended + DOUBT)
