"""The load of a backend server, as the node beside it keeps it."""

import pytest

from mangobay import backend, serverload

OPERATION = "quote"


def report(running=0, waiting=0, pace=100) -> backend.LoadReport:
    """Returns a report of a backend server with 4 slots."""
    return backend.LoadReport(running, waiting, 4, pace)


class TestNewestReport:
    """Which report is kept, and for how long."""

    def test_late_response_does_not_replace_a_newer_report(self):
        """A response that was held up passes for the current load."""
        load = serverload.ServerLoad()
        load.observe(report(running=4), sent_at=2.0, now=2.1)
        assert not load.observe(report(running=0), sent_at=1.0, now=2.2)
        assert load.report.running == 4

    def test_old_report_is_not_sent(self):
        """A stalled backend server looks as it did when it last responded."""
        load = serverload.ServerLoad()
        load.observe(report(), sent_at=0.0, now=0.0)
        assert load.to_messages(OPERATION, serverload.MAX_REPORT_AGE)
        assert not load.to_messages(OPERATION, serverload.MAX_REPORT_AGE + 1)


class TestWork:
    """What runs take at usual pace, without child calls and waits."""

    @pytest.mark.parametrize(
        "waiting, pace, seconds, child_wait_seconds, work",
        [
            (0, 100, 0.1, 0.0, 0.1),
            (0, 250, 0.1, 0.0, 0.04),
            (4, 100, 0.1, 0.0, 0.05),
            (0, 100, 0.1, 0.07, 0.03),
        ],
    )
    def test_time_is_brought_to_usual_pace(
        self, waiting, pace, seconds, child_wait_seconds, work
    ):
        """The same backend server seems faster or slower by its load."""
        load = serverload.ServerLoad()
        load.observe_run(
            report(waiting=waiting, pace=pace),
            OPERATION,
            seconds,
            child_wait_seconds,
        )
        assert load.work[OPERATION].seconds == pytest.approx(work)


class TestDistrust:
    """A backend server whose runs take longer than its reports say."""

    @staticmethod
    def run_calls(load, count, seconds, now=0.0) -> int:
        """Runs calls until trust changes; returns how many."""
        for number in range(1, count + 1):
            load.observe(report(), now, now)
            load.observe_run(report(), OPERATION, seconds, 0.0)
            if load.update_trust(now):
                return number
        return 0

    def test_idle_reports_of_a_full_server_are_distrusted_for_a_while(self):
        """It reports idle and its runs take six times as long as before."""
        load = serverload.ServerLoad()
        assert self.run_calls(load, 100, 0.02) == 0
        assert 0 < self.run_calls(load, 100, 0.12) <= 15
        assert not load.to_messages(OPERATION, 0.0)
        later = serverload.DISTRUST_SECONDS
        assert self.run_calls(load, 100, 0.12, later) == 1
        assert load.to_messages(OPERATION, later)

    def test_a_constant_error_is_learned(self):
        """A backend server that is always slow needs no distrust."""
        load = serverload.ServerLoad()
        assert self.run_calls(load, 500, 0.12) == 0
        assert load.work[OPERATION].seconds == pytest.approx(0.12)
