"""What the checks of the soak find in histories."""

import math

import pytest
import soakfakes

from bench.soak import checks, history, statechecks, timechecks

Action = history.Action


def found(check, **lists):
    """Returns what a check finds in a history."""
    return list(check(checks.View(soakfakes.seen(**lists))))


class TestAtMostOnce:
    """`checks.at_most_once`."""

    def test_a_second_run_is_found(self):
        requests = [soakfakes.request()]
        arrivals = [soakfakes.arrival(), soakfakes.dropped()]
        assert found(checks.at_most_once, requests=requests, arrivals=arrivals)

    def test_what_was_refused_or_may_be_repeated_is_none(self):
        refusal = soakfakes.arrival(outcome=history.Outcome.REFUSED)
        requests = [
            soakfakes.request(),
            soakfakes.request("b", repeatable=True),
        ]
        arrivals = [refusal, soakfakes.arrival()]
        arrivals += [soakfakes.arrival("b"), soakfakes.arrival("b")]
        assert not found(
            checks.at_most_once, requests=requests, arrivals=arrivals
        )


class TestNotRun:
    """`checks.not_run_is_true`."""

    def test_a_refused_request_that_ran_later_is_found(self):
        arrivals = [soakfakes.arrival(at=105.0)]
        assert found(
            checks.not_run_is_true,
            requests=[soakfakes.refused()],
            arrivals=arrivals,
        )

    def test_what_is_unknown_promises_nothing(self):
        assert not found(
            checks.not_run_is_true,
            requests=[soakfakes.refused(status=502)],
            arrivals=[soakfakes.arrival()],
        )


class TestWholeAnswers:
    """`checks.whole_answers`."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"named": "b"},
            {"answer": "half"},
            {"signature": ""},
            {"signature": "of another"},
            {"status": 500},
        ],
    )
    def test_an_answer_that_no_run_gave_is_found(self, changes):
        assert found(
            checks.whole_answers,
            requests=[soakfakes.request(**changes)],
            arrivals=[soakfakes.arrival()],
        )

    def test_a_truncated_answer_that_looks_whole_is_found(self):
        broken = soakfakes.arrival(outcome=history.Outcome.BROKEN)
        assert found(
            checks.whole_answers,
            requests=[soakfakes.request()],
            arrivals=[broken],
        )

    def test_bytes_that_nobody_asked_for_are_found(self):
        stray = history.Stray(
            at=1.0, host=soakfakes.NODE, connection=1, data="HTTP/1.1 200 OK"
        )
        assert found(checks.whole_answers, strays=[stray])

    def test_a_failure_of_the_systems_own_is_none(self):
        assert not found(
            checks.whole_answers, requests=[soakfakes.refused(status=502)]
        )


class TestUnasked:
    """`checks.nothing_unasked`."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"attempt": "nobody's"},
            {"line": "GET /plain/20"},
            {"digest": "other"},
            {"service": "stock"},
            {"caller": "stock"},
        ],
    )
    def test_a_changed_request_is_found(self, changes):
        assert found(
            checks.nothing_unasked,
            requests=[soakfakes.request()],
            arrivals=[soakfakes.arrival(**changes)],
        )

    def test_an_unchanged_request_is_none(self):
        assert not found(
            checks.nothing_unasked,
            requests=[soakfakes.request()],
            arrivals=[soakfakes.arrival()],
        )


class TestNothingCut:
    """`checks.nothing_cut`."""

    STOP = soakfakes.event(95.5, Action.TERM)

    def test_a_request_taken_late_in_a_stop_and_cut_is_found(self):
        """A node takes requests until it ends, and cuts them."""
        assert found(
            checks.nothing_cut,
            requests=[soakfakes.cut()],
            arrivals=[soakfakes.dropped()],
            events=[self.STOP],
        )

    def test_a_cut_with_nothing_done_to_the_process_is_found(self):
        assert found(
            checks.nothing_cut,
            requests=[soakfakes.cut()],
            arrivals=[soakfakes.dropped()],
        )

    def test_a_failure_in_place_of_a_run_is_found(self):
        """A node answers for a run that could have ended in its grace."""
        assert found(
            checks.nothing_cut,
            requests=[soakfakes.refused(status=502)],
            arrivals=[soakfakes.dropped()],
            events=[self.STOP],
        )

    @pytest.mark.parametrize(
        ("sent", "count"), [(100.09, 1), (100.11, 0), (math.inf, 0)]
    )
    def test_a_failure_before_the_last_byte_is_none(self, sent, count):
        """A refusal of what has not been read whole counts as a cut."""
        breaks = found(
            checks.nothing_cut,
            requests=[soakfakes.refused(status=502, sent=sent)],
            arrivals=[soakfakes.dropped()],
            events=[self.STOP],
        )
        assert len(breaks) == count

    @pytest.mark.parametrize(("ended", "count"), [(100.2, 1), (100.05, 0)])
    def test_a_failure_before_the_end_of_a_run_is_found(self, ended, count):
        """A server that works on behind a cut looks as if it was waited for."""
        breaks = found(
            checks.nothing_cut,
            requests=[soakfakes.refused(status=502)],
            arrivals=[soakfakes.arrival(until=ended, ended=ended)],
            events=[self.STOP],
        )
        assert len(breaks) == count

    def test_a_request_that_was_read_and_dropped_is_found(self):
        assert found(checks.nothing_cut, requests=[soakfakes.cut(ended=101.0)])

    def test_a_run_that_outlasts_the_grace_is_none(self):
        request = soakfakes.cut(began=97.0, sent=97.0, ended=100.6)
        arrivals = [soakfakes.dropped(at=97.1, ended=100.6)]
        assert not found(
            checks.nothing_cut,
            requests=[request],
            arrivals=arrivals,
            events=[self.STOP],
        )

    def test_a_request_that_crosses_the_close_is_none(self):
        assert not found(
            checks.nothing_cut, requests=[soakfakes.cut(ended=100.15)]
        )

    def test_a_second_sigterm_excuses_nothing(self):
        """What a first SIGTERM waits for is cut by a second one."""
        assert found(
            checks.nothing_cut,
            requests=[soakfakes.cut()],
            arrivals=[soakfakes.dropped()],
            events=[self.STOP, soakfakes.event(99.0, Action.TERM_AGAIN)],
        )

    @pytest.mark.parametrize("action", [Action.KILL, Action.FREEZE, Action.CUT])
    def test_an_unplanned_fault_excuses_a_cut(self, action):
        assert not found(
            checks.nothing_cut,
            requests=[soakfakes.cut()],
            arrivals=[soakfakes.dropped()],
            events=[self.STOP, soakfakes.event(99.0, action)],
        )

    @pytest.mark.parametrize(
        "pair", [(Action.FREEZE, Action.THAW), (Action.CUT, Action.HEAL)]
    )
    def test_a_fault_that_is_long_over_excuses_nothing(self, pair):
        """A thawed process would be excused for ever."""
        begin, end = pair
        events = [
            soakfakes.event(90.0, begin),
            soakfakes.event(91.0, end),
        ]
        assert found(
            checks.nothing_cut,
            requests=[soakfakes.cut()],
            arrivals=[soakfakes.dropped()],
            events=events,
        )

    def test_what_the_backend_server_broke_off_is_none(self):
        broken = soakfakes.dropped(outcome=history.Outcome.BROKEN)
        assert not found(
            checks.nothing_cut,
            requests=[soakfakes.cut()],
            arrivals=[broken],
            events=[self.STOP],
        )


class TestTimeHandedOn:
    """`checks.time_handed_on`."""

    def test_more_time_than_the_caller_has_is_found(self):
        assert found(
            checks.time_handed_on,
            requests=[soakfakes.request()],
            arrivals=[soakfakes.arrival(seconds=9.0)],
        )

    def test_a_repeat_that_ends_later_is_found(self):
        again = soakfakes.arrival(at=102.0, seconds=7.9)
        assert found(
            checks.time_handed_on,
            requests=[soakfakes.request(repeatable=True, ended=103.0)],
            arrivals=[soakfakes.arrival(), again],
        )

    def test_a_node_that_stood_still_is_excused_though_nothing_ran(self):
        """A frozen node is blamed for what it hands on right after."""
        refusals = [
            soakfakes.arrival(
                at=at, seconds=7.9, outcome=history.Outcome.REFUSED
            )
            for at in (100.01, 102.0)
        ]
        facts = {
            "requests": [soakfakes.refused(ended=103.0)],
            "arrivals": refusals,
        }
        events = [
            soakfakes.event(100.0, Action.FREEZE, soakfakes.OTHER),
            soakfakes.event(101.9, Action.THAW, soakfakes.OTHER),
        ]
        assert found(checks.time_handed_on, **facts)
        assert not found(checks.time_handed_on, events=events, **facts)

    def test_what_is_left_is_none(self):
        again = soakfakes.arrival(at=102.0, seconds=6.0)
        assert not found(
            checks.time_handed_on,
            requests=[soakfakes.request(repeatable=True, ended=103.0)],
            arrivals=[soakfakes.arrival(), again],
        )


class TestRetries:
    """`checks.retries_bounded`."""

    def history_of(self, count):
        """Returns requests of which all were sent twice."""
        names = [str(number) for number in range(count)]
        requests = [soakfakes.request(name) for name in names]
        arrivals = [soakfakes.arrival(name) for name in names]
        arrivals += [soakfakes.arrival(name, at=101.0) for name in names]
        return {"requests": requests, "arrivals": arrivals}

    def test_more_repeats_than_the_budget_are_found(self):
        assert found(checks.retries_bounded, **self.history_of(70))

    def test_repeats_within_the_budget_are_none(self):
        assert not found(checks.retries_bounded, **self.history_of(60))


class TestDenied:
    """`timechecks.nothing_denied`."""

    @pytest.mark.parametrize(("status", "count"), [(404, 1), (503, 0)])
    def test_proper_requests_refused_for_good_are_found(self, status, count):
        requests = [soakfakes.refused(str(n), status) for n in range(6)]
        breaks = found(timechecks.nothing_denied, requests=requests)
        assert len(breaks) == count

    def test_a_few_are_none(self):
        requests = [soakfakes.refused(str(n), 413) for n in range(5)]
        assert not found(timechecks.nothing_denied, requests=requests)


class TestAnsweredInTime:
    """`timechecks.answered_in_time`."""

    @pytest.mark.parametrize(
        ("ended", "count"), [(104.0, 1), (102.4, 0), (101.9, 0)]
    )
    def test_requests_held_past_their_time_are_found(self, ended, count):
        requests = [
            soakfakes.refused(str(n), 504, timeout=2.0, ended=ended)
            for n in range(8)
        ]
        breaks = found(timechecks.answered_in_time, requests=requests)
        assert len(breaks) == count


class TestWorkFreed:
    """`timechecks.work_is_freed`."""

    def history_of(self, ended, at=100.01):
        """Returns requests whose caller left, and their runs."""
        names = [str(number) for number in range(10)]
        requests = [
            soakfakes.cut(name, end=history.End.LEFT, repeatable=True)
            for name in names
        ]
        arrivals = [
            soakfakes.dropped(name, ended=ended, at=at) for name in names
        ]
        return {"requests": requests, "arrivals": arrivals}

    def test_runs_that_go_on_are_found(self):
        assert found(timechecks.work_is_freed, **self.history_of(102.0))

    def test_runs_that_begin_late_are_found(self):
        late = self.history_of(102.1, at=102.0)
        assert found(timechecks.work_is_freed, **late)

    def test_runs_that_end_are_none(self):
        assert not found(timechecks.work_is_freed, **self.history_of(100.3))


class TestLeaving:
    """`timechecks.nothing_after_a_drain`."""

    DRAIN = history.Drain(
        host=soakfakes.OTHER, instance="i-1", acknowledged=100.0
    )

    @pytest.mark.parametrize(("at", "count"), [(102.5, 1), (101.5, 0)])
    def test_what_comes_later_is_found(self, at, count):
        breaks = found(
            timechecks.nothing_after_a_drain,
            requests=[soakfakes.request(began=at, sent=at, ended=at + 0.1)],
            arrivals=[soakfakes.arrival(at=at)],
            drains=[self.DRAIN],
        )
        assert len(breaks) == count


class TestAnnouncedRate:
    """`statechecks.announced_rates_are_kept`."""

    LIMIT = history.RateLimit(
        host=soakfakes.OTHER,
        instance="i-1",
        rate=2.0,
        since=95.0,
        until=115.0,
    )
    TOLD = {"attempt": "told", "began": 96.0, "sent": 96.0, "ended": 96.1}

    def breaks_of(self, count, **more):
        """Returns the breaks where so many requests arrive at once."""
        names = [f"r{number}" for number in range(count)]
        return found(
            statechecks.announced_rates_are_kept,
            requests=[soakfakes.request(**self.TOLD)]
            + [soakfakes.request(name) for name in names],
            arrivals=[soakfakes.arrival("told", at=96.0, ended=96.05)]
            + [soakfakes.arrival(name) for name in names],
            limits=[self.LIMIT],
            **more,
        )

    @pytest.mark.parametrize(("count", "breaks"), [(17, 0), (18, 1)])
    def test_more_than_the_tolerated_are_found(self, count, breaks):
        assert len(self.breaks_of(count)) == breaks

    def test_a_restart_of_the_first_host_excuses_it(self):
        restart = soakfakes.event(98.0, history.Action.START)
        assert not self.breaks_of(30, events=[restart])


class TestCrashingRequest:
    """`statechecks.crashing_requests_are_held_back`."""

    def breaks_of(self, times, line="GET /crash/1", **more):
        """Returns the breaks where servers end under a request at times."""
        return found(
            statechecks.crashing_requests_are_held_back,
            crashes=[
                history.Crash(
                    at=at,
                    host=soakfakes.OTHER,
                    service=soakfakes.SERVICE,
                    line=line,
                )
                for at in times
            ],
            **more,
        )

    @pytest.mark.parametrize(
        ("later", "count"),
        [
            ((), 0),
            ((100.5, 110.1), 0),
            ((110.1, 130.1, 170.1), 0),
            ((110.1, 115.0), 1),
            ((110.1, 130.1, 150.0), 1),
        ],
    )
    def test_more_than_one_after_each_pause_are_found(self, later, count):
        assert len(self.breaks_of((99.0, 99.5, 100.0, *later))) == count

    def test_a_thawed_node_may_not_have_been_told(self):
        thaw = soakfakes.event(100.2, history.Action.THAW, soakfakes.OTHER)
        times = (99.0, 99.5, 100.0, 110.1, 115.0)
        assert not self.breaks_of(times, events=[thaw])

    def test_a_restart_of_the_only_node_excuses_one_more(self):
        start = soakfakes.event(100.2, history.Action.START, soakfakes.OTHER)
        times = (99.0, 99.5, 100.0, 110.1, 115.0)
        assert not self.breaks_of(times, events=[start])

    def test_servers_that_fall_silent_are_known_later(self):
        times = (99.0, 99.5, 100.0, 102.9)
        assert self.breaks_of(times)
        assert not self.breaks_of(times, line="GET /crash-dark/1")

    def test_a_later_end_of_a_silent_server_is_found(self):
        times = (99.0, 99.5, 100.0, 103.1)
        assert self.breaks_of(times, line="GET /crash-dark/1")


class TestLeavingServer:
    """`statechecks.nothing_after_leaving`."""

    DRAIN = history.Drain(
        host=soakfakes.OTHER, instance="i-1", acknowledged=95.0
    )

    @pytest.mark.parametrize(("told_at", "count"), [(96.0, 1), (99.0, 0)])
    def test_requests_after_the_bound_are_found(self, told_at, count):
        told = {"began": told_at, "sent": told_at, "ended": told_at + 0.1}
        breaks = found(
            statechecks.nothing_after_leaving,
            requests=[
                soakfakes.request("told", **told),
                soakfakes.request(),
            ],
            arrivals=[
                soakfakes.arrival("told", at=told_at, ended=told_at + 0.05),
                soakfakes.arrival(),
            ],
            drains=[self.DRAIN],
        )
        assert len(breaks) == count
