"""What the node counts, shown in the Prometheus text format."""

import collections
import collections.abc
import dataclasses
import importlib
import typing

from hdrh import histogram

from mangobay import ids
from mangobay.generated import messages

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
SIGNIFICANT_BITS = 8
"""Leading bits of a time that two digits need."""


class OperationKey(typing.NamedTuple):
    """One operation."""

    service: ids.ServiceName
    operation: ids.OperationName


class OperationMetrics:
    """How the calls of one operation ended.

    Attributes:
      outcome_counts: by reason and outcome, flat: hashing costs more than the rest.
      recorded_latencies: microseconds of answered calls, up to the last look.
      pending_latencies: those since, rounded to what the histogram tells apart; a
        record there costs ten times as much as counting here.
    """

    def __init__(self):
        self.outcome_counts = [0] * len(messages.Reason) * len(messages.Outcome)
        self.recorded_latencies = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self.pending_latencies: collections.Counter[int] = collections.Counter()

    def record_call(self, reply: messages.Reply, seconds: float) -> None:
        """Counts one call."""
        index = reply.reason * len(messages.Outcome) + reply.outcome
        self.outcome_counts[index] += 1
        if reply.outcome is messages.Outcome.ANSWERED:
            microseconds = int(seconds * 1e6)
            shift = max(microseconds.bit_length() - SIGNIFICANT_BITS, 0)
            self.pending_latencies[microseconds >> shift << shift] += 1

    @property
    def latency_histogram(self) -> histogram.HdrHistogram:
        """The histogram of everything so far."""
        for microseconds, count in self.pending_latencies.items():
            value = min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US)
            self.recorded_latencies.record_value(value, count)
        self.pending_latencies.clear()
        return self.recorded_latencies


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gauge:
    """One number of now.

    Attributes:
      name: without the prefix.
      help: its meaning.
      read_value: returns the number.
    """

    name: str
    help: str
    read_value: collections.abc.Callable[[], float]


class Metrics:
    """Counts calls; reads all else only when it is asked.

    Attributes:
      by_operation: how calls ended, by operation.
      gauges: numbers read when asked.
    """

    def __init__(self):
        self.by_operation: dict[OperationKey, OperationMetrics] = {}
        self.gauges: list[Gauge] = []

    def record_call(
        self,
        operation: messages.Operation,
        reply: messages.Reply,
        seconds: float,
    ) -> None:
        """Counts one call that entered here."""
        key = OperationKey(operation.service, operation.name)
        operation_metrics = self.by_operation.get(key)
        if operation_metrics is None:
            operation_metrics = self.by_operation[key] = OperationMetrics()
        operation_metrics.record_call(reply, seconds)

    def render(self) -> bytes:
        """Returns everything in the text format."""
        # The exporter is slow to load, and a node is useful before it is.
        exporter = importlib.import_module("mangobay.metricstext")
        return exporter.render(self)
