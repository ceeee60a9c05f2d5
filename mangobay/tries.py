"""Extra tries of a call tree, conserved from hop to hop.

A call enters the system with a number of extra tries for its whole tree.  A
node keeps some, lends some to each child call, and takes back what the reply
returns.  No hop makes new ones, so however often each hop repeats, the tree
never makes more extra attempts than it was granted.
"""

import xxhash

from mangobay import ids, invariants

MOST_CHILDREN = 1024
"""Child calls remembered for one parent; further ones count as repeats."""


class Grant:
    """Extra tries of one subtree at one node.

    Attributes:
      granted: what came with the call.
      left: what may still be used or lent here.
      used: tries made by this node.
      lent: tries that went down with child calls and did not come back.
      returned: tries that went up with the reply.
      lost: tries that came back after the reply had gone.
      closed: the reply has gone.
    """

    __slots__ = (
        "closed",
        "granted",
        "left",
        "lent",
        "lost",
        "returned",
        "used",
    )

    def __init__(self, granted: int):
        self.granted = granted
        self.left = granted
        self.used = 0
        self.lent = 0
        self.returned = 0
        self.lost = 0
        self.closed = False

    def take(self) -> bool:
        """Uses one try here; returns whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        self.used += 1
        self.check()
        return True

    def put_back(self) -> None:
        """Takes back a try that was taken here and made no attempt."""
        self.used -= 1
        self.left += 1
        self.check()

    def lend(self) -> int:
        """Returns the tries for a child call: half, rounded up."""
        tries = (self.left + 1) // 2
        self.left -= tries
        self.lent += tries
        self.check()
        return tries

    def give_back(self, tries: int) -> None:
        """Takes back what a child's reply returns.

        A reply that is lost gives nothing back.  A reply that returns more
        than was lent would make tries out of nothing, so the rest is cut.
        """
        tries = max(0, min(tries, self.lent))
        self.lent -= tries
        if self.closed:
            self.lost += tries
        else:
            self.left += tries
        self.check()

    def close(self) -> int:
        """Returns the tries left for the reply; none are left afterwards."""
        tries = self.left
        self.left = 0
        self.returned += tries
        self.closed = True
        self.report()
        return tries

    def check(self) -> None:
        """Asserts that no try was made or forgotten.

        Raises:
          errors.InvariantError: the sum is not what was granted.
        """
        if self.is_conserved():
            return
        self.report()

    def report(self) -> None:
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
        gone = self.returned + self.lost
        total = self.left + self.used + self.lent + gone
        return total == self.granted and self.left >= 0


class Running:
    """A call that runs at the backend server, and its child calls.

    Attributes:
      grant: the extra tries of the subtree.
      attempts: how often each child call was made, by its fingerprint.
      awaited: seconds during which at least one child call was in flight.
      below: highest threshold with which a child call was refused; kept here
        for admission, which hears of it when the call leaves.
    """

    __slots__ = (
        "attempts",
        "awaited",
        "below",
        "grant",
        "inflight",
        "since",
    )

    def __init__(self, grant: Grant):
        self.grant = grant
        self.attempts: dict[bytes, int] = {}
        self.awaited = 0.0
        self.below = 0
        self.inflight = 0
        self.since = 0.0

    def child(self, method: str, target: str, body: bytes) -> bool:
        """Returns whether the backend server may make this child call.

        The first call of a kind is free.  The same method, target and body
        again is a repeat by the backend server and costs a try: otherwise
        its own retry loop would multiply with those of the nodes.
        """
        fingerprint = digest(method, target, body)
        made = self.attempts.get(fingerprint, 0)
        if made == 0 and len(self.attempts) < MOST_CHILDREN:
            self.attempts[fingerprint] = 1
            return True
        if not self.grant.take():
            return False
        if made:
            self.attempts[fingerprint] = made + 1
        return True

    def child_began(self, now: float) -> None:
        """Notes that a child call is in flight; now is loop time."""
        if self.inflight == 0:
            self.since = now
        self.inflight += 1

    def child_ended(self, now: float) -> None:
        """Notes that a child call ended; now is loop time."""
        self.inflight -= 1
        if self.inflight == 0:
            self.awaited += now - self.since

    def child_refused(self, threshold: int) -> None:
        """Notes that a child call was refused with this threshold."""
        self.below = max(self.below, threshold)

    def awaited_at(self, now: float) -> float:
        """Returns the seconds spent with child calls in flight until now."""
        if self.inflight == 0:
            return self.awaited
        return self.awaited + now - self.since


class Grants:
    """The calls that run at the backend server on this host."""

    def __init__(self):
        self.running: dict[ids.CallId, Running] = {}

    def open(self, call_id: ids.CallId, grant: Grant) -> Running:
        """Notes that the call starts to run."""
        running = Running(grant)
        self.running[call_id] = running
        return running

    def find(self, call_id: ids.CallId) -> Running | None:
        """Returns the running call; None when it is not known here."""
        return self.running.get(call_id)

    def close(self, call_id: ids.CallId) -> int:
        """Forgets the call; returns the tries left, for its reply."""
        running = self.running.pop(call_id, None)
        return running.grant.close() if running else 0


def digest(method: str, target: str, body: bytes) -> bytes:
    """Returns the fingerprint that tells a repeat from another call."""
    state = xxhash.xxh3_128(f"{method} {target}\n".encode())
    state.update(body)
    return state.digest()
