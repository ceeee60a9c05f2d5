"""What the calls of a run carry to other data centres.

Where the data centre of a host has no host for a service below, each call that
a run makes there crosses.  The run itself, sent to a host that has the service
at hand, crosses once in place of that, and waits for no far answer in between.
"""

import dataclasses

from mangobay import ids

PART = 0.1
"""Weight of the newest run: some ten runs tell what an operation's calls
carry."""
HALF_LIFE = 10.0
"""Seconds in which a figure that no run renews fades to its half: a data centre
that lost a host of a service seldom has it back sooner, and each look costs the
crossings of some runs."""
CALL_BYTES = 800
"""Of one call besides the body of its answer: both messages, their fields, and
the heads of their packets."""
WORTH_IT = 1.5
"""Times what the run itself would carry that its calls must carry for it to go
elsewhere: two figures that are about equal change places at random."""


@dataclasses.dataclass(slots=True)
class Figure:
    """A figure in bytes that fades.

    Attributes:
      size: bytes.
      told: loop time at which it was right.
    """

    size: float = 0.0
    told: float = 0.0

    def at(self, now: float) -> float:
        """Returns the bytes, faded since they were told."""
        if not self.size:
            return 0.0
        return self.size * 0.5 ** ((now - self.told) / HALF_LIFE)


@dataclasses.dataclass(slots=True)
class Operation:
    """The runs of one operation at the backend server here.

    Attributes:
      per_run: bytes that the calls of one run carry.
      carried: bytes that calls have carried since the last run ended.
    """

    per_run: Figure = dataclasses.field(default_factory=Figure)
    carried: int = 0


class Crossings:
    """What the calls of the backend server here carry, by its operations."""

    def __init__(self):
        self.operations: dict[ids.OperationName, Operation] = {}

    def crossed(self, operation: ids.OperationName, size: int) -> None:
        """Notes bytes carried for a run of an operation."""
        if operation not in self.operations:
            self.operations[operation] = Operation()
        self.operations[operation].carried += size

    def ended(self, operation: ids.OperationName, now: float) -> None:
        """Notes the end of a run.

        Runs overlap, so that what was carried since the last one ended is not
        this run's own; over several runs the mean is right.
        """
        known = self.operations.get(operation)
        if known is None:
            return
        former = known.per_run.at(now)
        size = former + (known.carried - former) * PART
        known.per_run = Figure(size, now)
        known.carried = 0

    def per_run(self, operation: ids.OperationName, now: float) -> int:
        """Returns the bytes that the calls of a run carry."""
        known = self.operations.get(operation)
        return int(known.per_run.at(now)) if known else 0


def pays(near: float, far: float, answer: float) -> bool:
    """Returns whether a run should cross in place of its calls.

    Args:
      near: bytes that its calls carry from a near host.
      far: bytes that they carry from a far host.
      answer: bytes of the run's own answer.
    """
    return near - far > WORTH_IT * (answer + CALL_BYTES)
