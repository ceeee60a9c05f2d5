"""The limits of the calls at the backend server."""

import pytest

from mangobay import limiter

SLOTS = 40
SERVICE_SECONDS = 0.05


class SimulatedBackend:
    """Feeds a limiter with responses of a backend server that is always full.

    Attributes:
      seconds: service time as a function of the calls that run.
      now: simulated time.
      limits: the limit after each response.
    """

    def __init__(self, policy: str = "adaptive"):
        self.limiter = limiter.make(policy)
        self.limiter.set_slots(SLOTS)
        self.seconds = lambda running: SERVICE_SECONDS
        self.now = 0.0
        self.limits: list[int] = []

    def run(self, until: float) -> None:
        """Sends evenly spaced responses until this time."""
        while self.now < until:
            running = self.limiter.limit
            seconds = self.seconds(running)
            self.now += seconds / running
            admitted_at = self.now - seconds
            self.limiter.observe(seconds, running, admitted_at, self.now)
            self.limits.append(self.limiter.limit)


class TestAdaptive:
    """The limit follows the cause of the slowness."""

    def test_falls_where_calls_slow_each_other(self):
        """The limit stays although calls slow each other down.

        Calls share a resource, so each of them takes longer the more of them
        run.  Fewer at once have the same throughput and are answered sooner:
        the limit has to fall until calls are fast, and to rise again later.
        """
        backend = SimulatedBackend()
        backend.run(2)
        backend.seconds = lambda running: SERVICE_SECONDS * running / 8
        backend.run(10)
        assert backend.limiter.limit < SLOTS * 0.7
        backend.seconds = lambda running: SERVICE_SECONDS
        backend.run(20)
        assert backend.limiter.limit == SLOTS

    def test_stays_where_a_lower_limit_does_not_help(self):
        """The limit is lowered although that only reduces throughput.

        Every call takes five times longer, however many run.  After a single
        decrease the limit has to be restored and held for a while.
        """
        backend = SimulatedBackend()
        backend.run(2)
        backend.limits.clear()
        backend.seconds = lambda running: 5 * SERVICE_SECONDS
        backend.run(10)
        mean = sum(backend.limits) / len(backend.limits)
        assert mean >= SLOTS * 0.92
        assert min(backend.limits) >= SLOTS * 0.7

    def test_falls_below_the_running_calls_after_a_shed_call(self):
        backend = SimulatedBackend()
        backend.run(2)
        backend.limiter.observe_shed(30, backend.now)
        assert backend.limiter.limit == 29


class TestOtherPolicies:
    """The policies with a constant limit."""

    @pytest.mark.parametrize(
        "policy, limit", [("fixed", SLOTS), ("none", limiter.UNLIMITED)]
    )
    def test_keep_their_limit(self, policy, limit):
        backend = SimulatedBackend(policy)
        backend.seconds = lambda running: 5 * SERVICE_SECONDS
        for _ in range(1000):
            backend.limiter.observe(5 * SERVICE_SECONDS, SLOTS, 1.0, 2.0)
        assert backend.limiter.limit == limit


class TestShed:
    """A backend server that sheds calls."""

    def test_a_full_one_gets_a_lower_limit(self):
        backend = SimulatedBackend()
        backend.run(1)
        backend.limiter.observe_shed(SLOTS, backend.now + 1)
        assert backend.limiter.limit < SLOTS

    def test_one_with_free_slots_keeps_its_limit(self):
        """Callers are refused although most slots of the service are free.

        This happens if every call that a backend server sheds lowers the limit,
        also where it sheds half of its calls for another reason than load: the
        node then refuses calls that the backend server would answer.
        """
        backend = SimulatedBackend()
        backend.run(1)
        for number in range(50):
            backend.limiter.observe_shed(SLOTS // 2, backend.now + number)
        assert backend.limiter.limit == SLOTS
