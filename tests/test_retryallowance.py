"""Tests of the retry allowance of a call tree."""

import hypothesis
import pytest
from hypothesis import strategies

from mangobay import errors, ids, retryallowance

CALL_ID = ids.CallId("call-1")


class TestRetryAllowance:
    """Allowance of one subtree."""

    def test_lend_returns_half_rounded_up(self):
        allowance = retryallowance.RetryAllowance(3)
        assert [allowance.lend(), allowance.lend(), allowance.lend()] == [
            2,
            1,
            0,
        ]

    def test_reclaim_drops_retries_that_were_not_lent(self):
        """A faulty peer returns more retries than it was lent.

        With the surplus, the tree would make more retries than its grant.
        """
        allowance = retryallowance.RetryAllowance(4)
        lent = allowance.lend()
        allowance.reclaim(lent + 100)
        assert allowance.remaining == 4

    def test_withdraw_raises_if_retries_are_not_conserved(self):
        allowance = retryallowance.RetryAllowance(4)
        allowance.remaining += 1
        with pytest.raises(errors.InvariantError):
            allowance.try_withdraw()

    def test_reclaim_after_close_adds_no_retries(self):
        """A reply to a child call arrives after the node's own reply was sent.

        Its retries are counted as lost.  If they were reclaimed, both the
        node and its caller could use them.
        """
        allowance = retryallowance.RetryAllowance(4)
        lent = allowance.lend()
        assert allowance.close() == 2
        allowance.reclaim(lent)
        assert allowance.remaining == 0
        assert not allowance.try_withdraw()


class TestRunningCall:
    """Child calls of a running call."""

    def test_repeated_child_call_is_charged(self):
        """The client library of a backend server retries a child call.

        An allowance of two admits two repeats and refuses the third.  A
        different child call is not charged.
        """
        running_call = retryallowance.RunningCalls().start(
            CALL_ID, retryallowance.RetryAllowance(2)
        )
        allowed = [
            running_call.allow_child("GET", "/price/1", b"") for _ in range(4)
        ]
        assert allowed == [True, True, True, False]
        assert running_call.allow_child("GET", "/price/2", b"")

    def test_overlapping_child_calls_count_once(self):
        running_call = retryallowance.RunningCall(
            retryallowance.RetryAllowance(0)
        )
        running_call.child_started(1.0)
        running_call.child_started(2.0)
        running_call.child_ended(3.0)
        running_call.child_ended(5.0)
        assert running_call.child_wait_seconds_at(9.0) == 4.0

    def test_finished_call_is_not_found(self):
        running_calls = retryallowance.RunningCalls()
        running_calls.start(CALL_ID, retryallowance.RetryAllowance(5))
        assert running_calls.finish(CALL_ID) == 5
        assert running_calls.find(CALL_ID) is None
        assert running_calls.finish(CALL_ID) == 0


class RandomCallTree:
    """A random call tree whose calls are retried and whose replies get lost.

    Attributes:
      extra_attempts: Attempts beyond the first attempt of each call.
    """

    def __init__(self, data):
        self.data = data
        self.extra_attempts = 0

    def call(self, granted: int, depth: int) -> int | None:
        """Runs one call; returns the retries in its reply, None if lost."""
        running_calls = retryallowance.RunningCalls()
        running_call = running_calls.start(
            CALL_ID, retryallowance.RetryAllowance(granted)
        )
        if depth:
            for child in range(self.data.draw(strategies.integers(0, 2))):
                self.make_child_call(running_call, child, depth)
        remaining = running_calls.finish(CALL_ID)
        return remaining if self.data.draw(strategies.booleans()) else None

    def make_child_call(
        self, running_call: retryallowance.RunningCall, child: int, depth: int
    ) -> None:
        """Makes a child call and repeats it while the allowance admits it."""
        for repeat in range(1 + self.data.draw(strategies.integers(0, 3))):
            if not running_call.allow_child("GET", f"/{child}", b""):
                return
            self.extra_attempts += repeat > 0
            self.make_attempts(running_call.allowance, depth)

    def make_attempts(
        self, allowance: retryallowance.RetryAllowance, depth: int
    ) -> None:
        """Runs the retry loop of the node for one child call."""
        for attempt in range(1 + self.data.draw(strategies.integers(0, 2))):
            if attempt and not allowance.try_withdraw():
                return
            self.extra_attempts += attempt > 0
            returned = self.call(allowance.lend(), depth - 1)
            if returned is not None:
                allowance.reclaim(returned)


class TestCallTree:
    """Retries summed over a whole call tree."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.data(), strategies.integers(0, 6), strategies.integers(1, 3)
    )
    def test_retries_of_a_tree_never_exceed_the_grant(
        self, data, granted, depth
    ):
        """Backend servers and nodes retry at every hop, and replies get lost.

        Without conservation, three attempts per hop over four hops make 81
        attempts of the last call.
        """
        tree = RandomCallTree(data)
        remaining = tree.call(granted, depth)
        assert tree.extra_attempts + (remaining or 0) <= granted
