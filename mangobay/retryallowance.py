"""Retry allowance of a call tree, conserved across hops.

A call enters the system with an allowance of retries for its whole call tree.
A node uses part of the allowance for its own retries, lends part of it to
each child call and reclaims what the child's reply returns.  No hop creates
retries, so the tree never makes more retries than it was granted, however
often each hop retries.
"""

import typing

import xxhash

from mangobay import ids, invariants

if typing.TYPE_CHECKING:
    from mangobay import exposure

MAX_CHILDREN = 1024
"""Distinct child calls remembered per running call.

Further child calls are charged to the allowance like repeats.
"""


class RetryAllowance:
    """Retry allowance of one subtree of a call tree, held by one node.

    Attributes:
      granted: Retries received with the call.
      remaining: Retries that this node may still use or lend.
      used: Retries made by this node.
      lent: Retries lent to child calls and not reclaimed.
      returned: Retries returned to the caller with the reply.
      lost: Retries reclaimed after the reply was sent.
      closed: Whether the reply was sent.
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
        """Uses one retry; returns whether one was available."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        self.used += 1
        self.assert_conserved()
        return True

    def refund(self) -> None:
        """Returns a withdrawn retry that led to no attempt."""
        self.used -= 1
        self.remaining += 1
        self.assert_conserved()

    def lend(self) -> int:
        """Lends half of the remaining retries, rounded up, to a child call."""
        retries = (self.remaining + 1) // 2
        self.remaining -= retries
        self.lent += retries
        self.assert_conserved()
        return retries

    def reclaim(self, retries: int) -> None:
        """Reclaims the retries that the reply to a child call returns.

        A lost reply returns nothing.  A reply that returns more than was lent
        would create retries, so the surplus is dropped.
        """
        retries = max(0, min(retries, self.lent))
        self.lent -= retries
        if self.closed:
            self.lost += retries
        else:
            self.remaining += retries
        self.assert_conserved()

    def close(self) -> int:
        """Closes the allowance and returns its remaining retries."""
        retries = self.remaining
        self.remaining = 0
        self.returned += retries
        self.closed = True
        self.record_check()
        return retries

    def assert_conserved(self) -> None:
        """Checks conservation; records a check only when it is violated.

        Raises:
          errors.InvariantError: The retries do not add up to the grant.
        """
        if self.is_conserved():
            return
        self.record_check()

    def record_check(self) -> None:
        """Checks conservation and records the check.

        A call whose retries are conserved records one check, when its
        allowance is closed.

        Raises:
          errors.InvariantError: The retries do not add up to the grant.
        """
        invariants.check(
            invariants.Invariant.TRIES_CONSERVED,
            self.is_conserved(),
            "the retries of a call do not add up to its allowance",
        )

    def is_conserved(self) -> bool:
        """Returns whether the retries add up to the grant."""
        returned_or_lost = self.returned + self.lost
        total = self.remaining + self.used + self.lent + returned_or_lost
        return total == self.granted and self.remaining >= 0


class RunningCall:
    """A call that is running at the backend server, and its child calls.

    Attributes:
      allowance: Retry allowance of the subtree.
      child_attempts: Attempts of each child call by its fingerprint.
      child_wait_seconds: Time with at least one child call in flight, up to
        the last time that none was.
      downstream_threshold: Highest admission threshold reported by a refused
        child call.  Admission reads it when the call ends.
      retry_threshold: Highest level below which call trees lack retries,
        according to a failed child call.
      children_in_flight: Number of child calls in flight.
      child_wait_since: Loop time since which child calls are in flight.
      end_ids: Ends of backend servers under this call and its child calls.
      digest: Digest of its request, or None before it was needed.
      exposure: Its run at the backend server, or None before it is sent.
      claim: Id of an end that was claimed for its run, or empty.
    """

    __slots__ = (
        "child_attempts",
        "child_wait_seconds",
        "downstream_threshold",
        "retry_threshold",
        "allowance",
        "children_in_flight",
        "child_wait_since",
        "end_ids",
        "digest",
        "exposure",
        "claim",
    )

    def __init__(self, allowance: RetryAllowance):
        self.allowance = allowance
        self.child_attempts: dict[bytes, int] = {}
        self.child_wait_seconds = 0.0
        self.downstream_threshold = 0
        self.retry_threshold = 0
        self.children_in_flight = 0
        self.child_wait_since = 0.0
        self.end_ids: set[ids.BackendEndId] = set()
        self.digest: ids.RequestDigest | None = None
        self.exposure: exposure.Exposure | None = None
        self.claim = ids.BackendEndId("")

    def allow_child(self, method: str, target: str, body: bytes) -> bool:
        """Returns whether the backend server may make this child call.

        The first call with a given method, target and body is free.  A further
        one is a retry by the backend server and is charged to the allowance;
        otherwise the retry loop of the backend server would multiply with the
        retry loops of the nodes.
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
        """Records the start of a child call; `now` is loop time."""
        if self.children_in_flight == 0:
            self.child_wait_since = now
        self.children_in_flight += 1

    def child_ended(self, now: float) -> None:
        """Records the end of a child call; `now` is loop time."""
        self.children_in_flight -= 1
        if self.children_in_flight == 0:
            self.child_wait_seconds += now - self.child_wait_since

    def child_refused(self, threshold: int) -> None:
        """Records the admission threshold that refused a child call."""
        self.downstream_threshold = max(self.downstream_threshold, threshold)

    def child_failed(self, retry_threshold: int) -> None:
        """Records a failed child call.

        Args:
          retry_threshold: Level below which call trees lack retries, 0 if the
            child call failed for another reason.
        """
        self.retry_threshold = max(self.retry_threshold, retry_threshold)

    def child_wait_seconds_at(self, now: float) -> float:
        """Returns the seconds with child calls in flight up to `now`."""
        if self.children_in_flight == 0:
            return self.child_wait_seconds
        return self.child_wait_seconds + now - self.child_wait_since


class RunningCalls:
    """The calls that are running at the backend server on this host."""

    def __init__(self):
        self.calls_by_id: dict[ids.CallId, RunningCall] = {}

    def start(
        self, call_id: ids.CallId, allowance: RetryAllowance
    ) -> RunningCall:
        """Adds a running call and returns it."""
        running_call = RunningCall(allowance)
        self.calls_by_id[call_id] = running_call
        return running_call

    def find(self, call_id: ids.CallId) -> RunningCall | None:
        """Returns a running call, or None if it is not known."""
        return self.calls_by_id.get(call_id)

    def finish(self, call_id: ids.CallId) -> int:
        """Removes a call; returns its remaining retries for the reply."""
        running_call = self.calls_by_id.pop(call_id, None)
        return running_call.allowance.close() if running_call else 0


def request_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Returns a hash that identifies repeats of the same request."""
    state = xxhash.xxh3_128(f"{method} {target}\n".encode())
    state.update(body)
    return state.digest()
