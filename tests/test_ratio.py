"""The retry ratio and the backoff."""

import random

import decisionfakes

from mangobay import ratio


class TestRetryRatio:
    """Retries of a service against its answers."""

    def test_a_silent_service_gets_only_the_burst(self):
        """A service stops answering and every call wants a retry.

        Without the ratio the load on it doubles just then.  The burst goes
        through, then one try for each ten answers.
        """
        kept = ratio.RetryRatio(
            decisionfakes.section("retries", ratio=0.1, burst=5)
        )
        taken = sum(kept.take(decisionfakes.QUOTES) for _ in range(100))
        assert taken == 5
        for _ in range(11):
            kept.answered(decisionfakes.QUOTES)
        taken = sum(kept.take(decisionfakes.QUOTES) for _ in range(100))
        assert taken == 1

    def test_a_share_of_the_ratio_is_left_unspent(self):
        """A bound over all nodes is broken though each one keeps to it.

        Whoever counts looks at windows that begin at other moments.
        """
        kept = ratio.RetryRatio(
            decisionfakes.section("retries", ratio=0.2, spent=0.9, burst=50)
        )
        while kept.take(decisionfakes.QUOTES):
            pass
        for _ in range(101):
            kept.answered(decisionfakes.QUOTES)
        taken = sum(kept.take(decisionfakes.QUOTES) for _ in range(100))
        assert taken == 18


class TestBackoff:
    """The wait before another try."""

    def test_stays_inside_the_time_left(self):
        dice = random.Random(decisionfakes.SEED)
        waits = [ratio.backoff(0.01, 40, 0.3, dice) for _ in range(200)]
        assert all(0 <= wait < 0.3 for wait in waits)

    def test_no_time_left(self):
        dice = random.Random(decisionfakes.SEED)
        assert ratio.backoff(0.01, 1, 0.0, dice) is None
