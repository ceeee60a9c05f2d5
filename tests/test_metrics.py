"""What the node counts."""

from mangobay import metrics
from mangobay.generated import messages

OPERATION = messages.Operation(service="stock", name="price")


class TestMetrics:
    """Counters and quantiles in the text format."""

    def test_ends_and_quantiles_are_told(self):
        counts = metrics.Metrics()
        answered = messages.Reply(outcome=messages.Outcome.ANSWERED)
        shed = messages.Reply(
            outcome=messages.Outcome.NOT_RUN,
            reason=messages.Reason.OVERLOADED,
        )
        for thousandth in range(1, 1001):
            counts.record_call(OPERATION, answered, thousandth / 1000)
        counts.record_call(OPERATION, shed, 1e9)
        lines = counts.render().decode().splitlines()
        labels = 'operation="price",outcome="not_run",reason="overloaded"'
        assert f'mangobay_calls_total{{{labels},service="stock"}} 1.0' in lines
        (median,) = [line for line in lines if 'quantile="0.5"' in line]
        assert abs(float(median.split()[-1]) - 0.5) < 0.01
        assert counts.render().decode().splitlines() == lines

    def test_times_are_told_in_buckets(self):
        """Times of several hosts can be summed, unlike quantiles."""
        counts = metrics.Metrics()
        answered = messages.Reply(outcome=messages.Outcome.ANSWERED)
        for seconds in (0.004, 0.004, 0.3, 60.0):
            counts.record_call(OPERATION, answered, seconds)
        lines = counts.render().decode().splitlines()
        name = "mangobay_answer_time_seconds"
        labels = 'operation="price",service="stock"'
        found = {
            bound: f'{name}_bucket{{le="{bound}",{labels}}} {count}' in lines
            for bound, count in (("0.005", 2.0), ("0.25", 2.0), ("0.5", 3.0))
        }
        assert all(found.values()), (found, lines)
        assert f"{name}_count{{{labels}}} 4.0" in lines
        (total,) = [line for line in lines if line.startswith(f"{name}_sum")]
        assert abs(float(total.split()[-1]) - 60.308) < 0.7

    def test_an_absurd_time_is_kept_within_the_histogram(self):
        counts = metrics.Metrics()
        answered = messages.Reply(outcome=messages.Outcome.ANSWERED)
        for seconds in (-1.0, 0.0, 1e9):
            counts.record_call(OPERATION, answered, seconds)
        assert b'quantile="0.999"' in counts.render()
