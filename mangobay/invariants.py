"""Invariants that are checked at run time, cheap enough for production."""

import collections
import enum

from mangobay import errors


class Invariant(enum.Enum):
    """The invariants.

    Names and values are labels of metrics.

    Attributes:
      AT_MOST_ONCE: a call that must not be repeated is sent at most once.
      TRIES_CONSERVED: the retries of a call add up to its allowance.
      REVISION_NEVER_DOWN: a revision or version is never replaced by an older
        one.
      ONE_LEADER_A_TERM: there is at most one leader in each Raft term.
      COMMITTED_NEVER_LOST: committed log entries are never overwritten.
      NOT_RUN_IS_TRUE: a call is reported as not run only if no byte of it was
        sent to the backend server, or if the backend server shed it.
    """

    AT_MOST_ONCE = "at most once"
    TRIES_CONSERVED = "tries conserved"
    REVISION_NEVER_DOWN = "revision never down"
    ONE_LEADER_A_TERM = "one leader a term"
    COMMITTED_NEVER_LOST = "committed never lost"
    NOT_RUN_IS_TRUE = "no not_run after a byte was sent"

    __hash__ = object.__hash__


check_counts: collections.Counter[Invariant] = collections.Counter()
"""Number of checks of each invariant, which reveals a run without checks."""

violation_counts: collections.Counter[Invariant] = collections.Counter()
"""Number of failed checks, each of which stopped an action."""


def check(invariant: Invariant, condition: bool, message: str) -> None:
    """Counts a check, and stops the action that would violate the invariant.

    Args:
      invariant: the invariant.
      condition: whether it holds after the action.
      message: text of the error.

    Raises:
      errors.InvariantError: the condition is false.
    """
    check_counts[invariant] += 1
    if not condition:
        violation_counts[invariant] += 1
        raise errors.InvariantError(f"{invariant.value}: {message}")
