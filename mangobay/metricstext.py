"""Exports a node's metrics in the Prometheus text format."""

import prometheus_client
from hdrh import histogram
from prometheus_client import core, registry

from mangobay import invariants, metrics
from mangobay.generated import messages

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
QUANTILES = (0.5, 0.9, 0.99, 0.999)
BUCKET_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the buckets in seconds, the defaults of Prometheus clients.

Bucket counts can be summed over hosts; quantiles cannot.
"""


def render(node_metrics: metrics.Metrics) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    collector_registry = prometheus_client.CollectorRegistry(
        auto_describe=False
    )
    collector_registry.register(NodeCollector(node_metrics))
    return prometheus_client.generate_latest(collector_registry)


class NodeCollector(registry.Collector):
    """Collects the metric families of a node.

    Attributes:
      metrics: the metrics of the node.
    """

    def __init__(self, node_metrics: metrics.Metrics):
        self.metrics = node_metrics

    def collect(self):
        """Yields every metric family; called by the registry."""
        yield self.calls_family()
        yield self.refusals_family()
        yield self.workspaces_family()
        yield self.quantile_family()
        yield self.histogram_family()
        yield from self.invariant_families()
        for gauge in self.metrics.gauges:
            name = f"mangobay_{gauge.name}"
            yield core.GaugeMetricFamily(name, gauge.help, gauge.read_value())

    def calls_family(self) -> core.CounterMetricFamily:
        """Returns the counter of calls by outcome and reason."""
        family = core.CounterMetricFamily(
            "mangobay_calls",
            "Calls that entered at this node, by how they ended.",
            labels=("service", "operation", "outcome", "reason"),
        )
        outcome_count = len(messages.Outcome)
        for key, operation_metrics in self.metrics.by_operation.items():
            for index, count in enumerate(operation_metrics.outcome_counts):
                if not count:
                    continue
                outcome = messages.Outcome(index % outcome_count).name.lower()
                reason = messages.Reason(index // outcome_count).name.lower()
                family.add_metric((*key, outcome, reason), count)
        return family

    def refusals_family(self) -> core.CounterMetricFamily:
        """Returns the counter of requests that did not become a call."""
        family = core.CounterMetricFamily(
            "mangobay_requests_refused",
            "Requests refused at this node before they became a call.",
            labels=("reason",),
        )
        for reason, count in self.metrics.refusals.items():
            family.add_metric((reason.name.lower(),), count)
        return family

    def workspaces_family(self) -> core.CounterMetricFamily:
        """Returns the counter of requests with a key."""
        family = core.CounterMetricFamily(
            "mangobay_workspace_requests",
            "Requests with a key that entered at this node, by how they ended.",
            labels=("workspace", "result"),
        )
        for workspace, counts in self.metrics.by_workspace.items():
            for result, count in counts.items():
                family.add_metric((workspace, result.value), count)
        return family

    def quantile_family(self) -> core.GaugeMetricFamily:
        """Returns the latency quantiles of answered calls, by operation."""
        family = core.GaugeMetricFamily(
            "mangobay_answer_seconds",
            "Time of answered calls since the start, by quantile.",
            labels=("service", "operation", "quantile"),
        )
        for key, operation_metrics in self.metrics.by_operation.items():
            latencies = operation_metrics.latency_histogram
            for quantile in QUANTILES:
                value = latencies.get_value_at_percentile(quantile * 100)
                family.add_metric((*key, str(quantile)), value / 1e6)
        return family

    def histogram_family(self) -> core.HistogramMetricFamily:
        """Returns the latency histogram of answered calls, by operation."""
        family = core.HistogramMetricFamily(
            "mangobay_answer_time_seconds",
            "Time of answered calls since the start.",
            labels=("service", "operation"),
        )
        for key, operation_metrics in self.metrics.by_operation.items():
            buckets, total = cumulative_buckets(
                operation_metrics.latency_histogram
            )
            family.add_metric(key, buckets, total)
        return family

    def invariant_families(self):
        """Yields counters of the checks and violations of invariants."""
        counters = (
            ("checks", "Checks of a promise.", invariants.check_counts),
            (
                "broken",
                "Checks that stopped a breach.",
                invariants.violation_counts,
            ),
        )
        for name, text, counts in counters:
            family = core.CounterMetricFamily(
                f"mangobay_promise_{name}", text, labels=("promise",)
            )
            for invariant in invariants.Invariant:
                label = invariant.name.lower()
                family.add_metric((label,), counts[invariant])
            yield family


def cumulative_buckets(
    latencies: histogram.HdrHistogram,
) -> tuple[list[tuple[str, int]], float]:
    """Returns cumulative bucket counts, and the sum in seconds."""
    counts = [0] * len(BUCKET_BOUNDS)
    total = 0.0
    for item in latencies.get_recorded_iterator():
        seconds = item.value_iterated_to / 1e6
        total += seconds * item.count_at_value_iterated_to
        for index, bound in enumerate(BUCKET_BOUNDS):
            if seconds <= bound:
                counts[index] += item.count_at_value_iterated_to
    buckets = [
        (str(bound), count)
        for bound, count in zip(BUCKET_BOUNDS, counts, strict=True)
    ]
    return [*buckets, ("+Inf", latencies.get_total_count())], total
