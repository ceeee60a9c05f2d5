"""Metrics of a node: call counters, latency histograms and gauges."""

import collections
import collections.abc
import dataclasses
import enum
import importlib
import typing

from hdrh import histogram

from mangobay import ids
from mangobay.generated import messages

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
"""Decimal digits of precision of the latency histograms."""
SIGNIFICANT_BITS = 8
"""Leading bits of a time that give `SIGNIFICANT_DIGITS` of precision."""


class OperationKey(typing.NamedTuple):
    """Identifies an operation."""

    service: ids.ServiceName
    operation: ids.OperationName


class OperationMetrics:
    """Counters and latencies of the calls of one operation.

    Attributes:
      outcome_counts: number of calls by reason and outcome; a flat list,
        because hashing a key would cost more than the rest of the counting.
      recorded_latencies: histogram of answered calls, in microseconds, up to
        the last time it was read.
      pending_latencies: number of later answered calls by microseconds,
        rounded to the precision of the histogram; recording a value in the
        histogram costs ten times as much as counting it here.
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
        """Latencies of all answered calls so far, in microseconds."""
        for microseconds, count in self.pending_latencies.items():
            value = min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US)
            self.recorded_latencies.record_value(value, count)
        self.pending_latencies.clear()
        return self.recorded_latencies


class WorkspaceResult(enum.Enum):
    """How a request of a workspace ended."""

    ANSWERED = "answered"
    OVER_QUOTA = "over_quota"
    REFUSED = "refused"
    """It did not run, for another reason than its quota."""
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gauge:
    """A gauge whose value is read when the metrics are scraped.

    Attributes:
      name: the name without the prefix `mangobay_`.
      help: the help text.
      read_value: returns the current value.
    """

    name: str
    help: str
    read_value: collections.abc.Callable[[], float]


class Metrics:
    """The metrics of a node; gauges are read only when scraped.

    Attributes:
      by_operation: counters and latencies by operation.
      refusals: requests refused before they became a call, by reason.
      by_workspace: requests with a key by workspace and result.
      gauges: the gauges.
    """

    def __init__(self):
        self.by_operation: dict[OperationKey, OperationMetrics] = {}
        self.refusals: collections.Counter[messages.Reason] = (
            collections.Counter()
        )
        self.by_workspace: dict[
            ids.WorkspaceName, collections.Counter[WorkspaceResult]
        ] = {}
        self.gauges: list[Gauge] = []

    def record_refusal(self, reason: messages.Reason) -> None:
        """Counts one request that was refused before it became a call."""
        self.refusals[reason] += 1

    def record_workspace(
        self, workspace: ids.WorkspaceName, result: WorkspaceResult
    ) -> None:
        """Counts one request of a workspace."""
        counts = self.by_workspace.get(workspace)
        if counts is None:
            counts = self.by_workspace[workspace] = collections.Counter()
        counts[result] += 1

    def retain_workspaces(
        self, names: collections.abc.Container[ids.WorkspaceName]
    ) -> None:
        """Drops the counts of workspaces that are no longer in force.

        Otherwise the number of labels would grow with every change.
        """
        self.by_workspace = {
            name: counts
            for name, counts in self.by_workspace.items()
            if name in names
        }

    def record_call(
        self,
        operation: messages.Operation,
        reply: messages.Reply,
        seconds: float,
    ) -> None:
        """Counts one call that entered at this node."""
        key = OperationKey(operation.service, operation.name)
        operation_metrics = self.by_operation.get(key)
        if operation_metrics is None:
            operation_metrics = self.by_operation[key] = OperationMetrics()
        operation_metrics.record_call(reply, seconds)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        # Importing the exporter is slow, so a node starts without it.
        exporter = importlib.import_module("mangobay.metricstext")
        return exporter.render(self)
