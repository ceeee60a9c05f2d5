"""Learning which calls the downstream services refuse."""

import random

import pytest

from mangobay import downstream, levels

REOPEN_SECONDS = 1.0
STEP_SECONDS = 0.02
BASE = levels.LEVELS_PER_IMPORTANCE
"""The lowest level of the importance that is played."""


def play(tracker, limit, seconds, start=0.0, share_refused=1.0, seed=1):
    """Plays calls of all levels; those below the limit are refused downstream.

    Args:
      tracker: learns the limit.
      limit: the lowest level whose child calls are admitted.
      seconds: how long, at one call each STEP_SECONDS.
      start: loop time of the first call.
      share_refused: share of the calls below the limit that are refused.
      seed: of the levels.

    Returns:
      the number of calls that were admitted, and of those that failed.
    """
    rng = random.Random(seed)
    admitted = failed = 0
    for step in range(int(seconds / STEP_SECONDS)):
        now = start + step * STEP_SECONDS
        level = BASE + rng.randrange(BASE)
        if level < tracker.threshold(now):
            continue
        refused = level < limit and rng.random() < share_refused
        admitted += 1
        failed += refused
        tracker.observe(level, limit if refused else 0, True, not refused, now)
    return admitted, failed


@pytest.fixture
def tracker():
    return downstream.DownstreamTracker(REOPEN_SECONDS)


class TestThreshold:
    """What is refused here since it would be refused downstream."""

    @pytest.mark.parametrize("share", [0.1, 0.5, 0.8])
    def test_few_admitted_calls_fail(self, tracker, share):
        """Whole trees of calls are run in vain, call after call."""
        limit = BASE + int(BASE * share)
        play(tracker, limit, 5.0)
        admitted, failed = play(tracker, limit, 20.0, 5.0, seed=2)
        assert failed < 0.2 * admitted
        assert admitted > 0.7 * (1 - share) * 20 / STEP_SECONDS

    def test_refusals_in_flight_do_not_close_it(self, tracker):
        """Hundreds of calls were admitted before the first one is refused."""
        limit = BASE + 50
        rng = random.Random(1)
        for _ in range(500):
            level = BASE + rng.randrange(50)
            tracker.observe(level, limit, True, False, 0.0)
        assert tracker.threshold(0.0) <= limit + downstream.RAISING_STEP

    def test_end_of_an_overload_is_found_soon(self, tracker):
        limit = 2 * BASE - 50
        play(tracker, limit, 5.0)
        play(tracker, levels.ADMIT_ALL, 3.0, 5.0)
        assert tracker.threshold(8.0) <= BASE

    def test_it_opens_without_calls(self, tracker):
        play(tracker, 2 * BASE - 50, 5.0)
        assert tracker.threshold(5.0 + REOPEN_SECONDS) == levels.ADMIT_ALL

    def test_failures_of_other_causes_do_not_raise_it(self, tracker):
        """A backend server that fails by itself closes the door for all."""
        for step in range(500):
            tracker.observe(BASE + 5, 0, True, False, step * STEP_SECONDS)
        assert tracker.threshold(10.0) == levels.ADMIT_ALL

    def test_chance_failures_do_not_close_it(self, tracker):
        """Nobody is better off if fewer are let in to servers with room."""
        rng = random.Random(1)
        for step in range(2000):
            refused = rng.random() < 0.05
            ok = not refused and rng.random() < 0.2
            level = BASE + rng.randrange(BASE)
            tracker.observe(
                level,
                BASE + 100 if refused else 0,
                True,
                ok,
                step * STEP_SECONDS,
            )
        assert tracker.threshold(2000 * STEP_SECONDS) <= BASE + 100

    def test_operation_that_seldom_calls_others_is_not_refused(self, tracker):
        for step in range(200):
            refused = step % 4 == 0
            tracker.observe(
                BASE + 5,
                2 * BASE if refused else 0,
                refused,
                not refused,
                step * STEP_SECONDS,
            )
        assert tracker.threshold(4.0) == levels.ADMIT_ALL

    def test_critical_calls_are_never_refused(self, tracker):
        for level in range(3 * BASE, 4 * BASE):
            tracker.observe(level, 4 * BASE, True, False, 0.0)
        assert tracker.threshold(0.0) <= levels.MAX_THRESHOLD
