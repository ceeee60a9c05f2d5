"""Estimates the traffic that runs cause between data centres.

A run is the execution of a call by a backend server.  If the data centre of
that backend server has no host of a downstream service, each child call of the
run to that service goes to another data centre.  If the run is moved to a host
in a data centre that has the downstream service, only the call itself crosses
between data centres, and the run does not wait for remote responses.
"""

import dataclasses

from mangobay import ids

NEWEST_RUN_WEIGHT = 0.1
"""Weight of the newest run in the moving average of the bytes per run.

The average reflects about the last ten runs of an operation.
"""
HALF_LIFE = 10.0
"""Seconds in which an estimate halves while no run updates it.

A data centre that lost the host of a service rarely gets it back sooner, and
checking again costs the remote traffic of a few runs.
"""
CALL_OVERHEAD_BYTES = 800
"""Bytes that a call sends between data centres besides its bodies.

Includes the fields of both messages and the packet headers.
"""
MIN_SAVINGS_RATIO = 1.5
"""Minimum ratio of the bytes saved by moving a run to the bytes of its call.

With a ratio near 1, runs would move back and forth at random between hosts
with about equal costs.
"""


@dataclasses.dataclass(slots=True)
class DecayingBytes:
    """A number of bytes that decays over time.

    Attributes:
      value: Bytes at the time of the last update.
      updated_at: Loop time of the last update.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now: float) -> float:
        """Returns the bytes, decayed since the last update."""
        if not self.value:
            return 0.0
        return self.value * 0.5 ** ((now - self.updated_at) / HALF_LIFE)


@dataclasses.dataclass(slots=True)
class OperationTraffic:
    """Remote traffic of one operation of the backend server on this host.

    Attributes:
      bytes_per_run: Moving average of the bytes that the child calls of a run
        send to and receive from other data centres.
      bytes_since_run_end: Bytes since the last run ended.
    """

    bytes_per_run: DecayingBytes = dataclasses.field(
        default_factory=DecayingBytes
    )
    bytes_since_run_end: int = 0


class RemoteTraffic:
    """Remote traffic of the backend server on this host, by operation."""

    def __init__(self):
        self.operations: dict[ids.OperationName, OperationTraffic] = {}

    def record_bytes(self, operation: ids.OperationName, size: int) -> None:
        """Records bytes of a child call that a run of an operation made."""
        if operation not in self.operations:
            self.operations[operation] = OperationTraffic()
        self.operations[operation].bytes_since_run_end += size

    def record_run_end(self, operation: ids.OperationName, now: float) -> None:
        """Records the end of a run and updates the average.

        Runs overlap, so the bytes since the last run ended may belong to other
        runs.  The average over several runs is still correct.
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
        """Returns the average bytes per run, or 0 if none were recorded."""
        traffic = self.operations.get(operation)
        return int(traffic.bytes_per_run.value_at(now)) if traffic else 0


def should_move_run(
    local_bytes: float, remote_bytes: float, response_bytes: float
) -> bool:
    """Returns whether a run should move to a remote host.

    Args:
      local_bytes: Bytes that the child calls exchange with other data centres
        if the run stays on a local host.
      remote_bytes: The same if the run moves to a remote host.
      response_bytes: Size of the response to the run itself.
    """
    return local_bytes - remote_bytes > MIN_SAVINGS_RATIO * (
        response_bytes + CALL_OVERHEAD_BYTES
    )
