"""Tests of a node's metrics."""

from mangobay import metrics
from mangobay.generated import messages

OPERATION = messages.Operation(service="stock", name="price")


class TestMetrics:
    """Counters and latencies in the Prometheus text format."""

    def test_counters_and_quantiles_are_exported(self):
        node_metrics = metrics.Metrics()
        answered = messages.Reply(outcome=messages.Outcome.ANSWERED)
        overloaded = messages.Reply(
            outcome=messages.Outcome.NOT_RUN,
            reason=messages.Reason.OVERLOADED,
        )
        for milliseconds in range(1, 1001):
            node_metrics.record_call(OPERATION, answered, milliseconds / 1000)
        node_metrics.record_call(OPERATION, overloaded, 1e9)
        lines = node_metrics.render().decode().splitlines()
        labels = 'operation="price",outcome="not_run",reason="overloaded"'
        assert f'mangobay_calls_total{{{labels},service="stock"}} 1.0' in lines
        (median,) = [line for line in lines if 'quantile="0.5"' in line]
        assert abs(float(median.split()[-1]) - 0.5) < 0.01
        assert node_metrics.render().decode().splitlines() == lines

    def test_times_are_exported_in_buckets(self):
        """Bucket counts of several hosts can be summed, unlike quantiles."""
        node_metrics = metrics.Metrics()
        answered = messages.Reply(outcome=messages.Outcome.ANSWERED)
        for seconds in (0.004, 0.004, 0.3, 60.0):
            node_metrics.record_call(OPERATION, answered, seconds)
        lines = node_metrics.render().decode().splitlines()
        name = "mangobay_answer_time_seconds"
        labels = 'operation="price",service="stock"'
        is_present = {
            bound: f'{name}_bucket{{le="{bound}",{labels}}} {count}' in lines
            for bound, count in (("0.005", 2.0), ("0.25", 2.0), ("0.5", 3.0))
        }
        assert all(is_present.values()), (is_present, lines)
        assert f"{name}_count{{{labels}}} 4.0" in lines
        (total,) = [line for line in lines if line.startswith(f"{name}_sum")]
        assert abs(float(total.split()[-1]) - 60.308) < 0.7

    def test_extreme_times_are_clamped_to_the_histogram(self):
        node_metrics = metrics.Metrics()
        answered = messages.Reply(outcome=messages.Outcome.ANSWERED)
        for seconds in (-1.0, 0.0, 1e9):
            node_metrics.record_call(OPERATION, answered, seconds)
        assert b'quantile="0.999"' in node_metrics.render()
