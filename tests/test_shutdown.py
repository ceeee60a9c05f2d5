"""Tests of the schedule of a graceful shutdown."""

import pytest

from mangobay import shutdown


def shutdown_after(grace, linger):
    """Returns the schedule of a process told to stop at loop time 100."""
    schedule = shutdown.ShutdownSchedule()
    schedule.start(100.0, grace, linger)
    return schedule


class TestTimes:
    """The times within the grace period."""

    def test_running_process_accepts_all_work(self):
        schedule = shutdown.ShutdownSchedule()
        assert schedule.accepts_work(1e9)
        assert schedule.allows_deadline(1e9)

    def test_work_is_accepted_for_the_linger_and_aborted_before_the_kill(self):
        schedule = shutdown_after(grace=6, linger=2)
        assert schedule.accepts_work(101.9)
        assert not schedule.accepts_work(102)
        assert schedule.abort_at == 105
        assert schedule.allows_deadline(105)
        assert not schedule.allows_deadline(105.1)

    def test_accepted_work_is_sent_as_long_as_new_work_is_accepted(self):
        """Guards against sending work that the abort cuts."""
        schedule = shutdown_after(grace=6, linger=2)
        assert schedule.allows_sending(101.9)
        assert not schedule.allows_sending(102)

    def test_accepted_work_is_sent_where_no_new_work_is_accepted(self):
        """Guards against refusing what was accepted before the stop."""
        schedule = shutdown_after(grace=6, linger=0)
        assert not schedule.accepts_work(100)
        assert schedule.allows_sending(102.9)
        assert not schedule.allows_sending(103)

    @pytest.mark.parametrize("grace", [1.5, 3, 6, 30])
    def test_half_of_the_grace_is_left_for_work_accepted_last(self, grace):
        """Guards against accepting work that a short grace cannot finish."""
        schedule = shutdown_after(grace, linger=60)
        assert schedule.accept_until == 100 + grace / 2

    @pytest.mark.parametrize("grace", [1.5, 3, 6, 30])
    def test_nothing_is_aborted_before_the_last_sixth_of_the_grace(self, grace):
        """Guards against aborting work early in a short grace."""
        schedule = shutdown_after(grace, linger=2)
        assert schedule.abort_at >= 100 + grace * 5 / 6
        assert schedule.abort_at < 100 + grace

    @pytest.mark.parametrize(
        ("now", "seconds"), [(102, 1.0), (105, 0.6), (105.6, 0.0), (106, 0.0)]
    )
    def test_connections_to_nodes_end_shortly_before_the_kill(
        self, now, seconds
    ):
        """Guards against a stop that lasts until the process is killed."""
        schedule = shutdown_after(grace=6, linger=2)
        assert schedule.close_timeout(now) == pytest.approx(seconds)

    @pytest.mark.parametrize(
        ("now", "seconds"), [(102, 1.0), (105, 0.6), (105.6, 0.1), (106, 0.1)]
    )
    def test_responses_may_be_written_until_shortly_before_the_kill(
        self, now, seconds
    ):
        """Guards against cutting responses too early, or by the kill."""
        schedule = shutdown_after(grace=6, linger=2)
        assert schedule.write_timeout(now) == pytest.approx(seconds)
