"""Retries over a sliding window: their bound, and which calls get them."""

import collections
import random

import pytest
import routingfakes

from mangobay import levels, retrybudget, retrywindow
from mangobay.generated import messages

WINDOW = 10.0
RATIO = 0.2
SERVICE = routingfakes.QUOTES
CRITICAL = messages.Importance.CRITICAL * levels.LEVELS_PER_IMPORTANCE
NORMAL = messages.Importance.NORMAL * levels.LEVELS_PER_IMPORTANCE


def make_window():
    return retrywindow.RetryWindow(RATIO, WINDOW)


class Trees:
    """Call trees that make calls in sequence to a service that rejects some.

    Attributes:
      completed: completed trees by lowest level of their importance.
      begun: begun trees in the same way.
    """

    def __init__(self, window, reject_share, seed):
        self.window = window
        self.reject_share = reject_share
        self.rng = random.Random(seed)
        self.completed = collections.Counter()
        self.begun = collections.Counter()

    def run(self, lowest, call_count, now):
        """Runs one tree, each of whose calls is retried up to six times."""
        level = lowest + self.rng.randrange(levels.LEVELS_PER_IMPORTANCE)
        self.begun[lowest] += 1
        for _ in range(call_count):
            self.window.record_request(now, repeat=False)
            sends = 1
            while self.rng.random() < self.reject_share:
                if sends > 6 or not self.window.try_withdraw(level, 1.0, now):
                    return
                sends += 1
        self.completed[lowest] += 1

    def share(self, lowest):
        return self.completed[lowest] / self.begun[lowest]


class TestBound:
    """Retries never exceed the ratio of the requests of a window."""

    @pytest.mark.parametrize("seed", range(5))
    def test_no_window_has_more_retries_than_allowed(self, seed):
        """Retries that were saved are made beside those of the next window."""
        rng = random.Random(seed)
        window = make_window()
        requests, retries = collections.deque(), collections.deque()
        now = 1e6
        for _ in range(20_000):
            now += rng.expovariate(rng.choice([50.0, 400.0]))
            window.record_request(now, repeat=False)
            requests.append(now)
            while requests[0] <= now - 2 * WINDOW:
                requests.popleft()
            while retries and retries[0] <= now - WINDOW:
                retries.popleft()
            failing = int(now / 7) % 2
            if failing and window.try_withdraw(CRITICAL, 1.0, now):
                retries.append(now)
                current = sum(at > now - WINDOW for at in requests)
                former = len(requests) - current
                assert len(retries) <= RATIO * max(current, former) + 1.0

    def test_repeats_of_calls_count_as_retries(self):
        """A retried run makes its calls again, and these are not counted."""
        window = make_window()
        for _ in range(100):
            window.record_request(1e6, repeat=False)
        for _ in range(20):
            window.record_request(1e6, repeat=True)
        assert not window.try_withdraw(CRITICAL, 0.0, 1e6)

    def test_what_was_not_needed_is_left_for_a_short_failure(self):
        """Retries of the calm seconds before a failure are lost."""
        window = make_window()
        for number in range(1000):
            window.record_request(1e6 + number / 100, repeat=False)
        now = 1e6 + 9.9
        made = sum(window.try_withdraw(CRITICAL, 0.0, now) for _ in range(500))
        assert made >= 0.6 * RATIO * 1000

    def test_it_forgets_a_window_after_it(self):
        window = make_window()
        for _ in range(100):
            window.record_request(1e6, repeat=False)
        assert not window.try_withdraw(CRITICAL, 0.0, 1e6 + 3 * WINDOW)

    def test_a_refund_can_be_withdrawn_again(self):
        window = make_window()
        assert window.try_withdraw(CRITICAL, 1.0, 1e6)
        assert not window.try_withdraw(CRITICAL, 1.0, 1e6)
        window.refund(1e6)
        assert window.try_withdraw(CRITICAL, 1.0, 1e6)


class TestRejectingService:
    """Load: a service rejects 55 in 100 requests, for eight seconds."""

    def play(self, reject_share=0.55):
        """Plays calm seconds, then the failure; returns the trees of it."""
        window = make_window()
        calm = Trees(window, 0.0, seed=1)
        trees = Trees(window, reject_share, seed=2)
        now = 1e6
        for step in range(18 * 60):
            now += 1 / 60
            current = calm if step < 10 * 60 else trees
            if step % 3 == 0:
                current.run(CRITICAL, 4, now)
            for _ in range(3):
                current.run(NORMAL, 8, now)
        return trees

    def test_critical_trees_complete(self):
        """Retries are spent on trees that need too many to complete."""
        trees = self.play()
        assert trees.share(CRITICAL) > 0.9

    def test_few_failures_are_retried_for_every_level(self):
        """Less important calls get no retries although some are left."""
        trees = self.play(reject_share=0.05)
        assert trees.share(CRITICAL) > 0.99
        assert trees.share(NORMAL) > 0.97

    def test_the_threshold_ends_with_the_failure(self):
        """Less important calls are refused long after a failure."""
        window = make_window()
        for _ in range(500):
            window.try_withdraw(NORMAL, 1.0, 1e6)
        later = 1e6 + 2 * retrywindow.THRESHOLD_SECONDS
        assert window.threshold_at(later) == levels.ADMIT_ALL


class TestChoice:
    """Where windows are used in place of buckets."""

    def make_budget(self, **options):
        return retrybudget.RetryBudget(
            routingfakes.section(
                "retries", ratio=RATIO, burst=4, slack=100, **options
            )
        )

    def test_many_nodes_use_windows(self):
        """A bucket of one token holds no reserve for critical calls."""
        budget = self.make_budget(window=WINDOW)
        budget.set_node_count(70)
        for number in range(100):
            budget.record_request(SERVICE, now=1e6 + number / 100)
        made = sum(
            budget.try_withdraw(SERVICE, now=1e6 + 1) for _ in range(100)
        )
        assert made > 10

    @pytest.mark.parametrize(
        "window, node_count", [(0.0, 70), (WINDOW, 12), (WINDOW, 1)]
    )
    def test_others_keep_their_bucket(self, window, node_count):
        """A deployment whose settings do not ask for windows is changed."""
        budget = self.make_budget(window=window)
        budget.set_node_count(node_count)
        assert not budget.uses_windows
        assert budget.threshold_at(SERVICE, 1e6) == levels.ADMIT_ALL
