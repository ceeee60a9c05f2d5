"""What the node counts, shown in the Prometheus text format."""

import collections
import collections.abc
import dataclasses

import prometheus_client
from hdrh import histogram
from prometheus_client import core

from mangobay import ids, invariants
from mangobay.generated import messages

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How calls of one kind ended."""

    service: ids.ServiceName
    operation: ids.OperationName
    outcome: messages.Outcome
    reason: messages.Reason


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
      ends: calls by how they ended.
      latencies: microseconds of answered calls, by service.
      gauges: numbers read when asked.
    """

    def __init__(self):
        self.ends: collections.Counter[End] = collections.Counter()
        self.latencies: dict[ids.ServiceName, histogram.HdrHistogram] = {}
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
        service = operation.service
        self.ends[
            End(service, operation.name, reply.outcome, reply.reason)
        ] += 1
        if reply.outcome != messages.Outcome.ANSWERED:
            return
        latency = self.latencies.get(service)
        if latency is None:
            latency = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.latencies[service] = latency
        latency.record_value(max(int(seconds * 1e6), LOWEST_US))

    def render(self) -> bytes:
        """Returns everything in the text format."""
        return prometheus_client.generate_latest(self.registry)

    def collect(self):
        """Yields every family; called by the registry."""
        yield self.calls_family()
        yield self.latency_family()
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
        for end, count in self.ends.items():
            family.add_metric(
                (
                    end.service,
                    end.operation,
                    end.outcome.name.lower(),
                    end.reason.name.lower(),
                ),
                count,
            )
        return family

    def latency_family(self) -> core.GaugeMetricFamily:
        """Returns quantiles of the answered calls' time, by service."""
        family = core.GaugeMetricFamily(
            "mangobay_answer_seconds",
            "Time of answered calls since the start, by quantile.",
            labels=("service", "quantile"),
        )
        for service, latency in self.latencies.items():
            for quantile in QUANTILES:
                value = latency.get_value_at_percentile(quantile * 100)
                family.add_metric((service, str(quantile)), value / 1e6)
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
