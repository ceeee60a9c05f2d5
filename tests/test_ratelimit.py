"""The limit of calls per second at a backend server."""

import random

import pytest

from mangobay import ratelimit

WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
SLACK = 5


def starts_of(limiter, until, rng, now=0.0, rate=200.0):
    """Returns when calls start that arrive at random times."""
    starts = []
    while now < until:
        now += rng.expovariate(rate)
        if limiter.allows(now):
            limiter.record_start(now)
            starts.append(now)
    return starts


def most_in_window(starts):
    return max(
        sum(start <= other < start + WINDOW_SECONDS for other in starts)
        for start in starts
    )


class TestRate:
    """How many calls may start."""

    def test_calls_start_freely_without_a_limit(self):
        limiter = ratelimit.RateLimiter()
        assert len(starts_of(limiter, 1.0, random.Random(1))) > 100

    @pytest.mark.parametrize("rate", [0.5, 2.0, 9.8, 19.4, 100.0])
    def test_no_window_exceeds_the_limit(self, rate):
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(rate, 0.0)
        starts = starts_of(limiter, 20.0, random.Random(rate))
        allowed = TOLERANCE * rate * WINDOW_SECONDS + SLACK
        assert most_in_window(starts) <= allowed
        assert len(starts) >= 20.0 * rate - 1

    def test_pause_allows_no_large_burst(self):
        """A node that stood still sends all that it has saved up at once."""
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(10.0, 0.0)
        starts = starts_of(limiter, 104.0, random.Random(3), now=100.0)
        assert len(starts) <= TOLERANCE * 10.0 * WINDOW_SECONDS + SLACK

    def test_lower_limit_applies_at_once(self):
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(100.0, 0.0)
        limiter.set_rate(2.0, 10.0)
        starts = starts_of(limiter, 14.0, random.Random(4), now=10.0)
        assert len(starts) <= TOLERANCE * 2.0 * WINDOW_SECONDS + SLACK

    def test_limit_of_nothing_lets_a_few_calls_start(self):
        """A limit of 0 never ends, since no response can lift it."""
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(0.0, 0.0)
        assert 2 <= len(starts_of(limiter, 12.0, random.Random(5))) <= SLACK

    def test_call_may_start_after_the_delay(self):
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(3.0, 0.0)
        now = 0.0
        for _ in range(100):
            now += limiter.delay(now)
            assert limiter.allows(now)
            limiter.record_start(now)


class TestQueue:
    """How many calls may wait for the limit."""

    def test_few_calls_wait(self):
        """Calls wait in a long queue although other hosts have room."""
        limiter = ratelimit.RateLimiter()
        assert limiter.max_waiting(40) == 40
        limiter.set_rate(20.0, 0.0)
        assert limiter.max_waiting(40) == 4
        assert limiter.max_waiting(2) == 2
        limiter.set_rate(0.0, 0.0)
        assert limiter.max_waiting(40) == 1


class TestConcurrency:
    """How many calls run at once at the limit, as other nodes are told."""

    def test_it_is_what_the_rate_and_the_time_of_a_call_imply(self):
        limiter = ratelimit.RateLimiter()
        assert limiter.concurrency(0.5, 80) == 80
        limiter.set_rate(20.0, 0.0)
        assert limiter.concurrency(0.5, 80) == 10
        assert limiter.concurrency(0.5, 4) == 4
        assert limiter.concurrency(0.001, 80) == 1
        assert limiter.concurrency(0.0, 80) == 80
