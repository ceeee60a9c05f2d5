"""Tests of the retry budget and the backoff."""

import random

import pytest
import routingfakes

from mangobay import retrybudget
from mangobay.generated import messages


class TestRetryBudget:
    """Retries of a service in proportion to its requests."""

    def test_failing_service_gets_burst_and_ratio(self):
        """Every call of a service fails and asks to be retried.

        Without the budget, the retries would double the load on the failing
        service.  The budget admits the burst, then one retry per ten requests.
        """
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", ratio=0.1, burst=5)
        )
        taken = sum(
            budget.try_withdraw(routingfakes.QUOTES) for _ in range(100)
        )
        assert taken == 5
        for _ in range(11):
            budget.record_request(routingfakes.QUOTES)
        taken = sum(
            budget.try_withdraw(routingfakes.QUOTES) for _ in range(100)
        )
        assert taken == 1

    def test_spent_setting_lowers_the_ratio(self):
        """Each node keeps its ratio, but all nodes together exceed it.

        An external count uses time windows that begin at other times than
        those of the nodes.  The margin `spent` keeps it below the ratio.
        """
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", ratio=0.2, spent=0.9, burst=50)
        )
        while budget.try_withdraw(routingfakes.QUOTES):
            pass
        for _ in range(101):
            budget.record_request(routingfakes.QUOTES)
        taken = sum(
            budget.try_withdraw(routingfakes.QUOTES) for _ in range(100)
        )
        assert taken == 18

    def test_critical_calls_are_retried_first(self):
        """More calls fail than the budget can retry, and most are not critical.

        A critical request needs several calls in sequence and would fail if
        its calls were retried as rarely as the others.
        """
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", ratio=0.2, burst=4)
        )
        taken = {importance: 0 for importance in messages.Importance}
        for number in range(1000):
            now = 50.0 + number / 100
            importance = messages.Importance.NORMAL
            if number % 8 == 0:
                importance = messages.Importance.CRITICAL
            budget.record_request(routingfakes.QUOTES)
            if budget.try_withdraw(routingfakes.QUOTES, importance, now):
                taken[importance] += 1
        assert taken[messages.Importance.CRITICAL] == 125
        assert taken[messages.Importance.NORMAL] > 50

    @pytest.mark.parametrize(("nodes", "taken"), [(5, 4), (58, 1), (9999, 1)])
    def test_burst_shrinks_with_the_number_of_nodes(self, nodes, taken):
        """A service begins to fail while every node has saved retries.

        With a burst of four at each of 58 nodes, 232 retries would reach the
        service at once.  The slack bounds them to 100 for all nodes together.
        """
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", burst=4, slack=100)
        )
        budget.set_node_count(nodes)
        for _ in range(100):
            budget.record_request(routingfakes.QUOTES)
        results = [budget.try_withdraw(routingfakes.QUOTES) for _ in range(10)]
        assert sum(results) == taken

    @pytest.mark.parametrize("slack", [0, 100])
    def test_zero_burst_allows_no_retries(self, slack):
        """Retries are switched off by a burst of 0, and critical calls fail.

        The reserve for critical calls must not admit any retry.
        """
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", burst=0, slack=slack)
        )
        budget.set_node_count(10)
        critical = messages.Importance.CRITICAL
        for importance in (critical, messages.Importance.NORMAL) * 3:
            budget.record_request(routingfakes.QUOTES)
            assert not budget.try_withdraw(routingfakes.QUOTES, importance, 5.0)

    def test_no_reserve_without_critical_retries(self):
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", burst=4)
        )
        for _ in range(4):
            assert budget.try_withdraw(routingfakes.QUOTES)

    def test_child_calls_of_a_retried_call_take_tokens(self):
        """A retried call makes its four child calls again.

        For the downstream service they are retries too.  Their tokens are
        earned back before another call to this service is retried.
        """
        budget = retrybudget.RetryBudget(
            routingfakes.section("retries", ratio=0.5, burst=2)
        )
        for _ in range(4):
            budget.record_request(routingfakes.QUOTES, repeat=True)
        for _ in range(5):
            assert not budget.try_withdraw(routingfakes.QUOTES)
            budget.record_request(routingfakes.QUOTES)
        budget.record_request(routingfakes.QUOTES)
        assert budget.try_withdraw(routingfakes.QUOTES)


class TestBackoff:
    """Backoff before a retry."""

    def test_backoff_is_below_the_remaining_time(self):
        rng = random.Random(routingfakes.SEED)
        waits = [retrybudget.backoff(0.01, 40, 0.3, rng) for _ in range(200)]
        assert all(0 <= wait < 0.3 for wait in waits)

    def test_no_backoff_without_remaining_time(self):
        rng = random.Random(routingfakes.SEED)
        assert retrybudget.backoff(0.01, 1, 0.0, rng) is None
