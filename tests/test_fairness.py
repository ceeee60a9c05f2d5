"""Detection of clients that send far more than the others."""

import random

import routingfakes as fakes

from mangobay import fairness, ids


def client_id(number: int) -> ids.ClientId:
    """Returns the id of one client."""
    return ids.ClientId(f"client-{number}")


class TestFairness:
    """Which clients are heavy."""

    def test_a_client_far_above_the_others_is_heavy(self):
        """A client that sends far more than the others is not detected.

        One client repeats ten times as fast as twenty others.  It alone has to
        be heavy, and no longer so some seconds after it stopped.
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
            detector.is_heavy(client_id(number), now) for number in range(20)
        )
        for step in range(2000):
            later = now + step * 0.01
            detector.record_arrival(client_id(step % 20), later)
        assert not detector.is_heavy(client_id(99), later)

    def test_a_large_loop_time_makes_no_client_heavy(self):
        """Clients become heavy because the loop time is large or jumps.

        Loop time counts from the boot of the host, hours before the node
        starts.  The first calls come at a large loop time, the next ones a
        month later; both have to count, and neither makes a client heavy.
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
        """Clients that change their name fill the memory of the detector.

        It has to stay bounded and to remember a client that keeps sending.
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

    def test_a_large_loop_time_does_not_overflow(self):
        """The weight of the first call overflows, and no call is answered.

        This happens if the loop time is far from the origin of the weights: on
        a host that was up for days before the node started, or after the node
        was idle for days.
        """
        day = 86400.0
        detector = fairness.HeavyClientDetector(4)
        for now in (0.0, day, 100 * day, 200 * day):
            assert not detector.is_heavy(client_id(1), now)
            detector.record_arrival(client_id(1), now)
            detector.record_arrival(client_id(2), now)
            assert detector.weights == {client_id(1): 1.0, client_id(2): 1.0}
