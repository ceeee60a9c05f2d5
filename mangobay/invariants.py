"""Promises asserted inside the program, cheap enough to stay on."""

import collections
import enum

from mangobay import errors


class Invariant(enum.Enum):
    """What is asserted."""

    AT_MOST_ONCE = "at most once"
    TRIES_CONSERVED = "tries conserved"
    REVISION_NEVER_DOWN = "revision never down"
    ONE_LEADER_A_TERM = "one leader a term"
    COMMITTED_NEVER_LOST = "committed never lost"
    NOT_RUN_IS_TRUE = "no not_run after a byte was sent"

    __hash__ = object.__hash__


check_counts: collections.Counter[Invariant] = collections.Counter()
"""How often each promise was checked: a run that checked nothing is seen."""

violation_counts: collections.Counter[Invariant] = collections.Counter()
"""How often a check failed and its action was stopped."""


def check(invariant: Invariant, condition: bool, message: str) -> None:
    """Counts the check and stops the action that would break the promise.

    Raises:
      errors.InvariantError: the promise does not hold.
    """
    check_counts[invariant] += 1
    if not condition:
        violation_counts[invariant] += 1
        raise errors.InvariantError(f"{invariant.value}: {message}")
