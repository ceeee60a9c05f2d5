"""Callers that send far more than the others."""

import random

import routingfakes as fakes

from mangobay import fairness, ids


def name(number: int) -> ids.ClientId:
    """Returns one client's name."""
    return ids.ClientId(f"client-{number}")


class TestFairness:
    """Who is heavy."""

    def test_one_caller_far_above_the_others(self):
        """One caller repeats ten times as fast as twenty others.

        It alone is heavy; once it slows down, it is forgiven in seconds.
        """
        seen = fairness.HeavyClientDetector(4)
        now = 0.0
        for step in range(2000):
            now = step * 0.01
            seen.record_arrival(name(step % 20), now)
            if step % 2:
                seen.record_arrival(name(99), now)
        assert seen.is_heavy(name(99), now)
        assert not any(seen.is_heavy(name(each), now) for each in range(20))
        for step in range(2000):
            later = now + step * 0.01
            seen.record_arrival(name(step % 20), later)
        assert not seen.is_heavy(name(99), later)

    def test_works_on_a_host_up_for_long_and_after_a_long_silence(self):
        """The clock counts from the host's boot, hours before the node.

        The first call of the node comes at a large loop time, the next one
        a month later.  Both are counted, and neither makes anybody heavy.
        """
        seen = fairness.HeavyClientDetector(4)
        for start in (4000.0, 3e6):
            for step in range(200):
                seen.record_arrival(name(step % 20), start + step * 0.01)
            assert not seen.is_heavy(name(1), start + 2)

    def test_nobody_is_heavy_among_equals_or_alone(self):
        seen = fairness.HeavyClientDetector(4)
        for step in range(500):
            seen.record_arrival(name(0), step * 0.01)
        assert not seen.is_heavy(name(0), 5.0)

    def test_memory_is_bounded(self):
        """Ever new names arrive, as from callers that change theirs.

        The table stays bounded, and a caller that keeps sending is kept.
        """
        seen = fairness.HeavyClientDetector(4)
        dice = random.Random(fakes.SEED)
        for step in range(20000):
            seen.record_arrival(name(dice.randrange(10**9)), step * 0.0001)
            if step % 10 == 0:
                seen.record_arrival(name(-1), step * 0.0001)
        assert len(seen.weights) <= fairness.MAX_CLIENTS
        assert seen.is_heavy(name(-1), 2.0)

    def test_a_host_that_is_up_for_long(self):
        """A node starts on a host that is up for days, or idles for days.

        Its loop time is far from the last origin of the weights.  The first
        call overflowed their power, and no call was answered ever after.
        """
        day = 86400.0
        seen = fairness.HeavyClientDetector(4)
        for now in (0.0, day, 100 * day, 200 * day):
            assert not seen.is_heavy(name(1), now)
            seen.record_arrival(name(1), now)
            seen.record_arrival(name(2), now)
            assert seen.weights == {name(1): 1.0, name(2): 1.0}
