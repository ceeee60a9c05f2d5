"""Token buckets, and when denied callers may come back."""

import pytest

from mangobay import tokenbucket


def make_bucket(rate=10.0, depth=5.0, level=5.0):
    return tokenbucket.TokenBucket(rate, depth, level, 0.0)


def take_until(bucket, seconds, steps=1000):
    """Returns how many tokens constant demand gets in the time."""
    return sum(bucket.try_take(step * seconds / steps) for step in range(steps))


class TestTokens:
    """How many requests a bucket allows."""

    def test_rate_and_depth_bound_constant_demand(self):
        assert take_until(make_bucket(), 4.0) == 5 + 40 - 1

    def test_idle_bucket_holds_its_depth(self):
        bucket = make_bucket(level=0.0)
        bucket.refill(1000.0)
        assert bucket.level == 5.0

    def test_bucket_shallower_than_one_token_grants_its_rate(self):
        """A workspace with a burst of 0 is refused for ever."""
        assert take_until(make_bucket(depth=0.0, level=0.0), 4.0) >= 39

    def test_lower_limit_applies_at_once(self):
        bucket = make_bucket(depth=100.0, level=100.0)
        bucket.change_limits(1.0, 2.0, 0.0)
        assert take_until(bucket, 4.0) <= 2 + 4

    def test_returned_token_never_exceeds_the_depth(self):
        bucket = make_bucket()
        bucket.give_back(100, 0.0)
        assert bucket.level == 5.0

    def test_clock_that_goes_back_adds_nothing(self):
        bucket = make_bucket(level=0.0)
        bucket.refill(10.0)
        level = bucket.level
        bucket.refill(9.0)
        assert bucket.level == level


class TestPromise:
    """Retry-After of denied callers."""

    def test_denied_callers_come_back_one_token_apart(self):
        """All but one of them come back in vain."""
        bucket = make_bucket(level=0.0)
        waits = [bucket.promise(0.0) for _ in range(3)]
        assert waits == pytest.approx([0.1, 0.2, 0.3])

    def test_token_is_there_at_the_promised_time(self):
        bucket = make_bucket(level=0.0)
        wait = bucket.promise(0.0)
        assert not bucket.try_take(wait - 0.01)
        assert bucket.try_take(wait + 0.001)

    def test_wait_is_bounded(self):
        bucket = make_bucket(level=0.0)
        waits = [bucket.promise(0.0) for _ in range(1000)]
        assert max(waits) == tokenbucket.MAX_RETRY_AFTER_SECONDS
        assert bucket.promise(1.0) <= tokenbucket.MAX_RETRY_AFTER_SECONDS
