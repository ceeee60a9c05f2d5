"""What the calls of a run carry to other data centres.

Where the data centre of a host has no host for a service below, each call that
a run makes there crosses.  The run itself, sent to a host that has the service
at hand, crosses once in place of that, and waits for no far answer in between.
"""

import dataclasses

from mangobay import ids

NEWEST_RUN_WEIGHT = 0.1
"""Weight of the newest run: some ten runs tell what an operation's calls
carry."""
HALF_LIFE = 10.0
"""Seconds in which a figure that no run renews fades to its half: a data centre
that lost a host of a service seldom has it back sooner, and each look costs the
crossings of some runs."""
CALL_OVERHEAD_BYTES = 800
"""Of one call besides the body of its answer: both messages, their fields, and
the heads of their packets."""
MIN_SAVINGS_RATIO = 1.5
"""Times what the run itself would carry that its calls must carry for it to go
elsewhere: two figures that are about equal change places at random."""


@dataclasses.dataclass(slots=True)
class DecayingBytes:
    """A figure in bytes that fades.

    Attributes:
      value: bytes.
      updated_at: loop time at which it was right.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now: float) -> float:
        """Returns the bytes, faded since they were told."""
        if not self.value:
            return 0.0
        return self.value * 0.5 ** ((now - self.updated_at) / HALF_LIFE)


@dataclasses.dataclass(slots=True)
class OperationTraffic:
    """The runs of one operation at the backend server here.

    Attributes:
      bytes_per_run: bytes that the calls of one run carry.
      bytes_since_run_end: bytes that calls have carried since the last run ended.
    """

    bytes_per_run: DecayingBytes = dataclasses.field(
        default_factory=DecayingBytes
    )
    bytes_since_run_end: int = 0


class RemoteTraffic:
    """What the calls of the backend server here carry, by its operations."""

    def __init__(self):
        self.operations: dict[ids.OperationName, OperationTraffic] = {}

    def record_bytes(self, operation: ids.OperationName, size: int) -> None:
        """Notes bytes carried for a run of an operation."""
        if operation not in self.operations:
            self.operations[operation] = OperationTraffic()
        self.operations[operation].bytes_since_run_end += size

    def record_run_end(self, operation: ids.OperationName, now: float) -> None:
        """Notes the end of a run.

        Runs overlap, so that what was carried since the last one ended is not
        this run's own; over several runs the mean is right.
        """
        traffic = self.operations.get(operation)
        if traffic is None:
            return
        previous = traffic.bytes_per_run.value_at(now)
        mean = (
            previous
            + (traffic.bytes_since_run_end - previous) * NEWEST_RUN_WEIGHT
        )
        traffic.bytes_per_run = DecayingBytes(mean, now)
        traffic.bytes_since_run_end = 0

    def bytes_per_run(self, operation: ids.OperationName, now: float) -> int:
        """Returns the bytes that the calls of a run carry."""
        traffic = self.operations.get(operation)
        return int(traffic.bytes_per_run.value_at(now)) if traffic else 0


def should_move_run(
    local_bytes: float, remote_bytes: float, response_bytes: float
) -> bool:
    """Returns whether a run should cross in place of its calls.

    Args:
      local_bytes: bytes that its calls carry from a near host.
      remote_bytes: bytes that they carry from a far host.
      response_bytes: bytes of the run's own answer.
    """
    return local_bytes - remote_bytes > MIN_SAVINGS_RATIO * (
        response_bytes + CALL_OVERHEAD_BYTES
    )
