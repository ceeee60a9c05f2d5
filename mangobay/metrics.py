"""What the node counts, shown in the Prometheus text format."""

import collections
import collections.abc
import dataclasses
import typing

import prometheus_client
from hdrh import histogram
from prometheus_client import core

from mangobay import ids, invariants
from mangobay.generated import messages

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
KEPT_BITS = 8
"""Leading bits of a time that two digits need."""
QUANTILES = (0.5, 0.9, 0.99, 0.999)
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds in seconds: the usual ones of the text format, which other
systems sum over hosts; quantiles cannot be summed."""


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
        self.registry = prometheus_client.CollectorRegistry(auto_describe=False)
        self.registry.register(self)

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
        return prometheus_client.generate_latest(self.registry)

    def collect(self):
        """Yields every family; called by the registry."""
        yield self.calls_family()
        yield self.latency_family()
        yield self.histogram_family()
        yield from self.promise_families()
        for gauge in self.gauges:
            name = f"mangobay_{gauge.name}"
            yield core.GaugeMetricFamily(name, gauge.help, gauge.read())

    def calls_family(self) -> core.CounterMetricFamily:
        """Returns the calls by how they ended."""
        family = core.CounterMetricFamily(
            "mangobay_calls",
            "Calls that entered at this node, by how they ended.",
            labels=("service", "operation", "outcome", "reason"),
        )
        outcomes = len(messages.Outcome)
        for key, ends in self.ends.items():
            for place, count in enumerate(ends.counts):
                if not count:
                    continue
                outcome = messages.Outcome(place % outcomes).name.lower()
                reason = messages.Reason(place // outcomes).name.lower()
                family.add_metric((*key, outcome, reason), count)
        return family

    def latency_family(self) -> core.GaugeMetricFamily:
        """Returns quantiles of the answered calls' time, by service."""
        family = core.GaugeMetricFamily(
            "mangobay_answer_seconds",
            "Time of answered calls since the start, by quantile.",
            labels=("service", "operation", "quantile"),
        )
        for key, ends in self.ends.items():
            latency = ends.latency
            for quantile in QUANTILES:
                value = latency.get_value_at_percentile(quantile * 100)
                family.add_metric((*key, str(quantile)), value / 1e6)
        return family

    def histogram_family(self) -> core.HistogramMetricFamily:
        """Returns the answered calls' time as buckets."""
        family = core.HistogramMetricFamily(
            "mangobay_answer_time_seconds",
            "Time of answered calls since the start.",
            labels=("service", "operation"),
        )
        for key, ends in self.ends.items():
            buckets, total = buckets_of(ends.latency)
            family.add_metric(key, buckets, total)
        return family

    def promise_families(self):
        """Yields how often promises were checked, and found broken."""
        shown = (
            ("checks", "Checks of a promise.", invariants.checks),
            ("broken", "Checks that stopped a breach.", invariants.broken),
        )
        for name, text, counts in shown:
            family = core.CounterMetricFamily(
                f"mangobay_promise_{name}", text, labels=("promise",)
            )
            for promise in invariants.Promise:
                label = promise.name.lower()
                family.add_metric((label,), counts[promise])
            yield family


def buckets_of(
    latency: histogram.HdrHistogram,
) -> tuple[list[tuple[str, int]], float]:
    """Returns the count at or below each bound, and the sum in seconds."""
    counts = [0] * len(BUCKETS)
    total = 0.0
    for item in latency.get_recorded_iterator():
        seconds = item.value_iterated_to / 1e6
        total += seconds * item.count_at_value_iterated_to
        for place, bound in enumerate(BUCKETS):
            if seconds <= bound:
                counts[place] += item.count_at_value_iterated_to
    shown = [
        (str(bound), count)
        for bound, count in zip(BUCKETS, counts, strict=True)
    ]
    return [*shown, ("+Inf", latency.get_total_count())], total
