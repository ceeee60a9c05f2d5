"""A node's metrics in the Prometheus text format."""

import prometheus_client
from hdrh import histogram
from prometheus_client import core, registry

from mangobay import invariants, metrics
from mangobay.generated import messages

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
QUANTILES = (0.5, 0.9, 0.99, 0.999)
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds in seconds: the usual ones of the text format, which other
systems sum over hosts; quantiles cannot be summed."""


def render(shown: metrics.Metrics) -> bytes:
    """Returns everything in the text format."""
    made = prometheus_client.CollectorRegistry(auto_describe=False)
    made.register(Collector(shown))
    return prometheus_client.generate_latest(made)


class Collector(registry.Collector):
    """Turns counts into metric families.

    Attributes:
      metrics: what the node has counted.
    """

    def __init__(self, shown: metrics.Metrics):
        self.metrics = shown

    def collect(self):
        """Yields every family; called by the registry."""
        yield self.calls_family()
        yield self.latency_family()
        yield self.histogram_family()
        yield from self.promise_families()
        for gauge in self.metrics.gauges:
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
        for key, ends in self.metrics.ends.items():
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
        for key, ends in self.metrics.ends.items():
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
        for key, ends in self.metrics.ends.items():
            buckets, total = buckets_of(ends.latency)
            family.add_metric(key, buckets, total)
        return family

    def promise_families(self):
        """Yields how often promises were checked, and found broken."""
        shown = (
            ("checks", "Checks of a promise.", invariants.check_counts),
            (
                "broken",
                "Checks that stopped a breach.",
                invariants.violation_counts,
            ),
        )
        for name, text, counts in shown:
            family = core.CounterMetricFamily(
                f"mangobay_promise_{name}", text, labels=("promise",)
            )
            for promise in invariants.Invariant:
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
