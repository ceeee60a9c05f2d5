"""Extra tries of a call tree."""

import hypothesis
import pytest
from hypothesis import strategies

from mangobay import errors, ids, retryallowance

CALL = ids.CallId("call-1")


class TestGrant:
    """The tries of one subtree."""

    def test_lends_half_rounded_up(self):
        grant = retryallowance.RetryAllowance(3)
        assert [grant.lend(), grant.lend(), grant.lend()] == [2, 1, 0]

    def test_a_reply_that_returns_too_much_makes_no_tries(self):
        """A broken peer returns more tries than it was lent.

        The node would then repeat calls that nobody granted, and the sum
        over the tree would pass the grant.  The surplus is cut.
        """
        grant = retryallowance.RetryAllowance(4)
        lent = grant.lend()
        grant.reclaim(lent + 100)
        assert grant.remaining == 4

    def test_a_broken_sum_stops_the_action(self):
        grant = retryallowance.RetryAllowance(4)
        grant.remaining += 1
        with pytest.raises(errors.InvariantError):
            grant.try_withdraw()

    def test_a_late_reply_gives_nothing_back(self):
        """The node's own reply has gone up when a child's reply comes.

        Its tries were counted as lost by then; taking them back would let
        both the node and its caller use them.
        """
        grant = retryallowance.RetryAllowance(4)
        lent = grant.lend()
        assert grant.close() == 2
        grant.reclaim(lent)
        assert grant.remaining == 0
        assert not grant.try_withdraw()


class TestRunning:
    """A backend server that repeats its own child calls."""

    def test_a_repeat_costs_a_try(self):
        """A backend server's own client library retries a failed child call.

        With two tries for the subtree it gets two repeats through, then a
        refusal; a different child call is free of charge.
        """
        running = retryallowance.RunningCalls().start(
            CALL, retryallowance.RetryAllowance(2)
        )
        made = [running.allow_child("GET", "/price/1", b"") for _ in range(4)]
        assert made == [True, True, True, False]
        assert running.allow_child("GET", "/price/2", b"")

    def test_time_with_children_in_flight_counts_once(self):
        running = retryallowance.RunningCall(retryallowance.RetryAllowance(0))
        running.child_started(1.0)
        running.child_started(2.0)
        running.child_ended(3.0)
        running.child_ended(5.0)
        assert running.child_wait_seconds_at(9.0) == 4.0

    def test_a_closed_call_is_unknown(self):
        grants = retryallowance.RunningCalls()
        grants.start(CALL, retryallowance.RetryAllowance(5))
        assert grants.finish(CALL) == 5
        assert grants.find(CALL) is None
        assert grants.finish(CALL) == 0


class RandomCallTree:
    """A call tree in which every hop fails, repeats and loses replies.

    Attributes:
      extra_attempts: attempts beyond the first of each call.
    """

    def __init__(self, data):
        self.data = data
        self.extra_attempts = 0

    def call(self, granted: int, depth: int) -> int | None:
        """Runs one call; returns the tries its reply brings, None if lost."""
        grants = retryallowance.RunningCalls()
        running = grants.start(CALL, retryallowance.RetryAllowance(granted))
        if depth:
            for child in range(self.data.draw(strategies.integers(0, 2))):
                self.make_child_call(running, child, depth)
        left = grants.finish(CALL)
        return left if self.data.draw(strategies.booleans()) else None

    def make_child_call(
        self, running: retryallowance.RunningCall, child: int, depth: int
    ) -> None:
        """Makes a child call as often as the tries allow."""
        for repeat in range(1 + self.data.draw(strategies.integers(0, 3))):
            if not running.allow_child("GET", f"/{child}", b""):
                return
            self.extra_attempts += repeat > 0
            self.make_attempts(running.allowance, depth)

    def make_attempts(
        self, grant: retryallowance.RetryAllowance, depth: int
    ) -> None:
        """The node's own retry loop around one child call."""
        for attempt in range(1 + self.data.draw(strategies.integers(0, 2))):
            if attempt and not grant.try_withdraw():
                return
            self.extra_attempts += attempt > 0
            back = self.call(grant.lend(), depth - 1)
            if back is not None:
                grant.reclaim(back)


class TestTree:
    """The sum over a whole call tree."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.data(), strategies.integers(0, 6), strategies.integers(1, 3)
    )
    def test_extra_attempts_never_exceed_the_grant(self, data, granted, depth):
        """Backend servers and nodes repeat at every hop; replies get lost.

        Without conservation three tries a hop over four hops make 81
        attempts of the last call.  Here the extra attempts of the whole tree
        stay within what the first node granted.
        """
        tree = RandomCallTree(data)
        left = tree.call(granted, depth)
        assert tree.extra_attempts + (left or 0) <= granted
