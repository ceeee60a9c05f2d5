"""Callers that send far more than the others."""

import random

import routingfakes as fakes

from mangobay import fairness, ids


def client_id(number: int) -> ids.ClientId:
    """Returns one client's name."""
    return ids.ClientId(f"client-{number}")


class TestFairness:
    """Who is heavy."""

    def test_one_caller_far_above_the_others(self):
        """One caller repeats ten times as fast as twenty others.

        It alone is heavy; once it slows down, it is forgiven in seconds.
        """
        detector = fairness.HeavyClientDetector(4)
        now = 0.0
        for step in range(2000):
            now = step * 0.01
            detector.record_arrival(client_id(step % 20), now)
            if step % 2:
                detector.record_arrival(client_id(99), now)
        assert detector.is_heavy(client_id(99), now)
        assert not any(
            detector.is_heavy(client_id(each), now) for each in range(20)
        )
        for step in range(2000):
            later = now + step * 0.01
            detector.record_arrival(client_id(step % 20), later)
        assert not detector.is_heavy(client_id(99), later)

    def test_works_on_a_host_up_for_long_and_after_a_long_silence(self):
        """The clock counts from the host's boot, hours before the node.

        The first call of the node comes at a large loop time, the next one
        a month later.  Both are counted, and neither makes anybody heavy.
        """
        detector = fairness.HeavyClientDetector(4)
        for start in (4000.0, 3e6):
            for step in range(200):
                detector.record_arrival(
                    client_id(step % 20), start + step * 0.01
                )
            assert not detector.is_heavy(client_id(1), start + 2)

    def test_nobody_is_heavy_among_equals_or_alone(self):
        detector = fairness.HeavyClientDetector(4)
        for step in range(500):
            detector.record_arrival(client_id(0), step * 0.01)
        assert not detector.is_heavy(client_id(0), 5.0)

    def test_memory_is_bounded(self):
        """Ever new names arrive, as from callers that change theirs.

        The table stays bounded, and a caller that keeps sending is kept.
        """
        detector = fairness.HeavyClientDetector(4)
        rng = random.Random(fakes.SEED)
        for step in range(20000):
            detector.record_arrival(
                client_id(rng.randrange(10**9)), step * 0.0001
            )
            if step % 10 == 0:
                detector.record_arrival(client_id(-1), step * 0.0001)
        assert len(detector.weights) <= fairness.MAX_CLIENTS
        assert detector.is_heavy(client_id(-1), 2.0)

    def test_a_host_that_is_up_for_long(self):
        """A node starts on a host that is up for days, or idles for days.

        Its loop time is far from the last origin of the weights.  The first
        call overflowed their power, and no call was answered ever after.
        """
        day = 86400.0
        detector = fairness.HeavyClientDetector(4)
        for now in (0.0, day, 100 * day, 200 * day):
            assert not detector.is_heavy(client_id(1), now)
            detector.record_arrival(client_id(1), now)
            detector.record_arrival(client_id(2), now)
            assert detector.weights == {client_id(1): 1.0, client_id(2): 1.0}
