"""What the node counts, shown in the Prometheus text format."""

import collections
import collections.abc
import dataclasses
import importlib
import typing

from hdrh import histogram

from mangobay import ids
from mangobay.generated import messages

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
KEPT_BITS = 8
"""Leading bits of a time that two digits need."""


class OperationKey(typing.NamedTuple):
    """One operation."""

    service: ids.ServiceName
    operation: ids.OperationName


class Ends:
    """How the calls of one operation ended.

    Attributes:
      counts: by reason and outcome, flat: hashing costs more than the rest.
      recorded: microseconds of answered calls, up to the last look.
      pending: those since, rounded to what the histogram tells apart; a
        record there costs ten times as much as counting here.
    """

    def __init__(self):
        self.counts = [0] * len(messages.Reason) * len(messages.Outcome)
        self.recorded = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.pending: collections.Counter[int] = collections.Counter()

    def count(self, reply: messages.Reply, seconds: float) -> None:
        """Counts one call."""
        place = reply.reason * len(messages.Outcome) + reply.outcome
        self.counts[place] += 1
        if reply.outcome is messages.Outcome.ANSWERED:
            microseconds = int(seconds * 1e6)
            shift = max(microseconds.bit_length() - KEPT_BITS, 0)
            self.pending[microseconds >> shift << shift] += 1

    @property
    def latency(self) -> histogram.HdrHistogram:
        """The histogram of everything so far."""
        for microseconds, count in self.pending.items():
            value = min(max(microseconds, LOWEST_US), HIGHEST_US)
            self.recorded.record_value(value, count)
        self.pending.clear()
        return self.recorded


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gauge:
    """One number of now.

    Attributes:
      name: without the prefix.
      help: its meaning.
      read: returns the number.
    """

    name: str
    help: str
    read: collections.abc.Callable[[], float]


class Metrics:
    """Counts calls; reads all else only when it is asked.

    Attributes:
      ends: how calls ended, by operation.
      gauges: numbers read when asked.
    """

    def __init__(self):
        self.ends: dict[OperationKey, Ends] = {}
        self.gauges: list[Gauge] = []

    def ended(
        self,
        operation: messages.Operation,
        reply: messages.Reply,
        seconds: float,
    ) -> None:
        """Counts one call that entered here."""
        key = OperationKey(operation.service, operation.name)
        ends = self.ends.get(key)
        if ends is None:
            ends = self.ends[key] = Ends()
        ends.count(reply, seconds)

    def render(self) -> bytes:
        """Returns everything in the text format."""
        # The exporter is slow to load, and a node is useful before it is.
        exporter = importlib.import_module("mangobay.metricstext")
        return exporter.render(self)
