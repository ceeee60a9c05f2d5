"""The limit of calls at the backend server."""

import pytest

from mangobay import limiter

SLOTS = 40
SERVICE_SECONDS = 0.05


class SimulatedBackend:
    """Feeds a limiter with answers of a backend server that is always full.

    Attributes:
      seconds: service time as a function of the calls that run.
    """

    def __init__(self, policy: str = "adaptive"):
        self.limiter = limiter.make(policy)
        self.limiter.set_slots(SLOTS)
        self.seconds = lambda running: SERVICE_SECONDS
        self.now = 0.0
        self.limits: list[int] = []

    def run(self, until: float) -> None:
        """Answers calls, evenly spaced, until this time."""
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
        """Each call takes longer the more of them run, by a shared resource.

        Fewer at once are answered just as often and sooner, so less of each
        deadline is spent; the limit falls until calls are fast again.
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
        """Every call takes five times longer, however many run.

        A lower limit would only serve fewer calls.  One step down shows it;
        the limit is restored and left alone for a while.
        """
        backend = SimulatedBackend()
        backend.run(2)
        backend.limits.clear()
        backend.seconds = lambda running: 5 * SERVICE_SECONDS
        backend.run(10)
        mean = sum(backend.limits) / len(backend.limits)
        assert mean >= SLOTS * 0.92
        assert min(backend.limits) >= SLOTS * 0.7

    def test_goes_below_what_the_backend_server_refused(self):
        backend = SimulatedBackend()
        backend.run(2)
        backend.limiter.observe_shed(30, backend.now)
        assert backend.limiter.limit == 29


class TestOtherPolicies:
    """The policies that do not learn."""

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
    """A backend server that refuses calls."""

    def test_one_that_is_full_gets_fewer(self):
        backend = SimulatedBackend()
        backend.run(1)
        backend.limiter.observe_shed(SLOTS, backend.now + 1)
        assert backend.limiter.limit < SLOTS

    def test_one_with_free_slots_keeps_its_limit(self):
        """Callers are refused though most slots of the service are free.

        A backend server refuses half of its calls for a reason of its own;
        each refusal lowered the limit until the node refused most of what
        the backend server would still have answered.
        """
        backend = SimulatedBackend()
        backend.run(1)
        for number in range(50):
            backend.limiter.observe_shed(SLOTS // 2, backend.now + number)
        assert backend.limiter.limit == SLOTS
