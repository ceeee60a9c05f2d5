"""The bench's own judgement must see what it is meant to see."""

import json

import pytest

from bench import backend, deployment, load, verdict
from mangobay.generated import messages

ISSUE = deployment.WorkId("quotes.issue")
PRICE = deployment.WorkId("catalogue.price")


@pytest.fixture(scope="module")
def plan():
    """Returns the cooperative's deployment."""
    return deployment.read("cedal")


def call_of(work, *attempts, due=0.0):
    made = [load.Attempt(**attempt) for attempt in attempts]
    normal = messages.Importance.NORMAL
    return load.Call(work, normal, due, in_time=True, attempts=made)


def run_of(work, marker, key="", seconds=1.0):
    return backend.Run(work, marker, key, seconds, True)


class TestTruth:
    """Promises that a run may break."""

    def test_sees_each_kind(self, plan):
        calls = [
            call_of(ISSUE, {"marker": "a", "outcome": "not_run"}),
            call_of(
                ISSUE,
                {"marker": "b", "outcome": "unknown"},
                {"marker": "c", "outcome": "not_run"},
            ),
            call_of(PRICE, {"marker": "d", "foreign": True}),
        ]
        runs = [
            run_of(ISSUE, "a", "k1"),
            run_of(ISSUE, "b", "k2"),
            run_of(ISSUE, "b", "k2"),
            run_of(PRICE, "d"),
            run_of(PRICE, "d"),
        ]
        truth = verdict.truth_of(plan, calls, runs)
        assert truth.doubled == ["quotes.issue k2"]
        assert truth.false_not_run == ["quotes.issue a"]
        assert truth.misled == [
            "quotes.issue a ['not_run']",
            "quotes.issue c ['unknown', 'not_run']",
        ]
        assert truth.foreign == ["catalogue.price d"]

    def test_is_quiet_where_nothing_is_wrong(self, plan):
        calls = [
            call_of(
                ISSUE,
                {"marker": "a", "outcome": "not_run"},
                {"marker": "b", "outcome": "answered", "whole": True},
            )
        ]
        truth = verdict.truth_of(plan, calls, [run_of(ISSUE, "b", "k")])
        assert truth == verdict.Truth([], [], [], [])


class TestJudge:
    """Whether an answer is whole and one's own."""

    @pytest.mark.parametrize(
        ("work", "marker", "padding", "whole", "foreign"),
        [
            (PRICE, "m", backend.PADDING, True, False),
            (PRICE, "m", "..", False, False),
            (PRICE, "n", backend.PADDING, False, True),
            (ISSUE, "m", backend.PADDING, False, True),
        ],
    )
    def test_answers(self, plan, work, marker, padding, whole, foreign):
        call = call_of(PRICE, {"marker": "m"})
        answer = {"work": work, "marker": marker, "padding": padding}
        operation = plan.works[PRICE].operation
        load.judge(call, operation, json.dumps(answer).encode())
        assert call.attempts[-1].whole == whole
        assert call.attempts[-1].foreign == foreign

    def test_a_cut_answer_is_not_whole(self, plan):
        call = call_of(PRICE, {"marker": "m"})
        load.judge(call, plan.works[PRICE].operation, b'{"work": "cat')
        assert not call.attempts[-1].whole


class TestFigures:
    """Goodput, recovery and wasted work."""

    def test_recovery_is_the_first_good_window(self):
        calls = [
            call_of(PRICE, {"marker": "m", "whole": step >= 30}, due=step / 10)
            for step in range(60)
        ]
        seconds = verdict.recovery_seconds(calls, 1.0, 1.0, 6.0)
        assert 1.8 <= seconds <= 2.1
        assert verdict.recovery_seconds(calls[:30], 1.0, 1.0, 3.0) is None

    def test_wasted_work_is_what_failed_attempts_took(self):
        calls = [
            call_of(PRICE, {"marker": "a"}, {"marker": "b", "whole": True})
        ]
        runs = [run_of(PRICE, "a", seconds=1), run_of(PRICE, "b", seconds=3)]
        assert verdict.wasted_share(calls, runs) == 0.25
