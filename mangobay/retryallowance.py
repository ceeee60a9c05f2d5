"""Extra tries of a call tree, conserved from hop to hop.

A call enters the system with a number of extra tries for its whole tree.  A
node keeps some, lends some to each child call, and takes back what the reply
returns.  No hop makes new ones, so however often each hop repeats, the tree
never makes more extra attempts than it was granted.
"""

import xxhash

from mangobay import ids, invariants

MAX_CHILDREN = 1024
"""Child calls remembered for one parent; further ones count as repeats."""


class RetryAllowance:
    """Extra tries of one subtree at one node.

    Attributes:
      granted: what came with the call.
      remaining: what may still be used or lent here.
      used: tries made by this node.
      lent: tries that went down with child calls and did not come back.
      returned: tries that went up with the reply.
      lost: tries that came back after the reply had gone.
      closed: the reply has gone.
    """

    __slots__ = (
        "closed",
        "granted",
        "remaining",
        "lent",
        "lost",
        "returned",
        "used",
    )

    def __init__(self, granted: int):
        self.granted = granted
        self.remaining = granted
        self.used = 0
        self.lent = 0
        self.returned = 0
        self.lost = 0
        self.closed = False

    def try_withdraw(self) -> bool:
        """Uses one try here; returns whether there was one."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        self.used += 1
        self.assert_conserved()
        return True

    def refund(self) -> None:
        """Takes back a try that was taken here and made no attempt."""
        self.used -= 1
        self.remaining += 1
        self.assert_conserved()

    def lend(self) -> int:
        """Returns the tries for a child call: half, rounded up."""
        retries = (self.remaining + 1) // 2
        self.remaining -= retries
        self.lent += retries
        self.assert_conserved()
        return retries

    def reclaim(self, retries: int) -> None:
        """Takes back what a child's reply returns.

        A reply that is lost gives nothing back.  A reply that returns more
        than was lent would make tries out of nothing, so the rest is cut.
        """
        retries = max(0, min(retries, self.lent))
        self.lent -= retries
        if self.closed:
            self.lost += retries
        else:
            self.remaining += retries
        self.assert_conserved()

    def close(self) -> int:
        """Returns the tries left for the reply; none are left afterwards."""
        retries = self.remaining
        self.remaining = 0
        self.returned += retries
        self.closed = True
        self.record_check()
        return retries

    def assert_conserved(self) -> None:
        """Asserts that no try was made or forgotten.

        Raises:
          errors.InvariantError: the sum is not what was granted.
        """
        if self.is_conserved():
            return
        self.record_check()

    def record_check(self) -> None:
        """Counts one check of the sum; done once a call where it holds.

        Raises:
          errors.InvariantError: the sum is not what was granted.
        """
        invariants.check(
            invariants.Promise.TRIES_CONSERVED,
            self.is_conserved(),
            "the tries of a call are not what was granted",
        )

    def is_conserved(self) -> bool:
        """Returns whether the tries add up to what was granted."""
        returned_or_lost = self.returned + self.lost
        total = self.remaining + self.used + self.lent + returned_or_lost
        return total == self.granted and self.remaining >= 0


class RunningCall:
    """A call that runs at the backend server, and its child calls.

    Attributes:
      allowance: the extra tries of the subtree.
      child_attempts: how often each child call was made, by its fingerprint.
      child_wait_seconds: seconds during which at least one child call was in flight.
      downstream_threshold: highest threshold with which a child call was refused; kept here
        for admission, which hears of it when the call leaves.
    """

    __slots__ = (
        "child_attempts",
        "child_wait_seconds",
        "downstream_threshold",
        "allowance",
        "children_in_flight",
        "child_wait_since",
    )

    def __init__(self, allowance: RetryAllowance):
        self.allowance = allowance
        self.child_attempts: dict[bytes, int] = {}
        self.child_wait_seconds = 0.0
        self.downstream_threshold = 0
        self.children_in_flight = 0
        self.child_wait_since = 0.0

    def allow_child(self, method: str, target: str, body: bytes) -> bool:
        """Returns whether the backend server may make this child call.

        The first call of a kind is free.  The same method, target and body
        again is a repeat by the backend server and costs a try: otherwise
        its own retry loop would multiply with those of the nodes.
        """
        fingerprint = request_fingerprint(method, target, body)
        attempts = self.child_attempts.get(fingerprint, 0)
        if attempts == 0 and len(self.child_attempts) < MAX_CHILDREN:
            self.child_attempts[fingerprint] = 1
            return True
        if not self.allowance.try_withdraw():
            return False
        if attempts:
            self.child_attempts[fingerprint] = attempts + 1
        return True

    def child_started(self, now: float) -> None:
        """Notes that a child call is in flight; now is loop time."""
        if self.children_in_flight == 0:
            self.child_wait_since = now
        self.children_in_flight += 1

    def child_ended(self, now: float) -> None:
        """Notes that a child call ended; now is loop time."""
        self.children_in_flight -= 1
        if self.children_in_flight == 0:
            self.child_wait_seconds += now - self.child_wait_since

    def child_refused(self, threshold: int) -> None:
        """Notes that a child call was refused with this threshold."""
        self.downstream_threshold = max(self.downstream_threshold, threshold)

    def child_wait_seconds_at(self, now: float) -> float:
        """Returns the seconds spent with child calls in flight until now."""
        if self.children_in_flight == 0:
            return self.child_wait_seconds
        return self.child_wait_seconds + now - self.child_wait_since


class RunningCalls:
    """The calls that run at the backend server on this host."""

    def __init__(self):
        self.calls_by_id: dict[ids.CallId, RunningCall] = {}

    def start(
        self, call_id: ids.CallId, allowance: RetryAllowance
    ) -> RunningCall:
        """Notes that the call starts to run."""
        running_call = RunningCall(allowance)
        self.calls_by_id[call_id] = running_call
        return running_call

    def find(self, call_id: ids.CallId) -> RunningCall | None:
        """Returns the running call; None when it is not known here."""
        return self.calls_by_id.get(call_id)

    def finish(self, call_id: ids.CallId) -> int:
        """Forgets the call; returns the tries left, for its reply."""
        running_call = self.calls_by_id.pop(call_id, None)
        return running_call.allowance.close() if running_call else 0


def request_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Returns the fingerprint that tells a repeat from another call."""
    state = xxhash.xxh3_128(f"{method} {target}\n".encode())
    state.update(body)
    return state.digest()
