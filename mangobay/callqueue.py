"""The queue of calls that wait for a slot at the backend server."""

import asyncio
import collections
import dataclasses

from mangobay import ids
from mangobay.generated import messages

DISTINCT_DEPTHS = 8
"""Deeper calls than this rank alike."""
RANK_COUNT = len(messages.Importance) * 2 * DISTINCT_DEPTHS


def rank_of(importance: int, heavy: bool, depth: int) -> int:
    """Returns the rank: importance, then light callers, then deeper calls."""
    light = 0 if heavy else 1
    return (importance * 2 + light) * DISTINCT_DEPTHS + min(
        depth, DISTINCT_DEPTHS - 1
    )


LOWEST_CRITICAL_RANK = rank_of(messages.Importance.CRITICAL, True, 0)


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One waiting call.

    Attributes:
      operation: what is called.
      rank: from rank_of; higher goes first.
      level: its admission level.
      queued_at: loop time of its arrival.
      latest_start: loop time at which it could no longer finish in time.
      future: gets the pass, or the error of a refusal.
      timer: ends the wait.
    """

    operation: ids.OperationName
    rank: int
    level: int
    queued_at: float
    latest_start: float
    future: asyncio.Future
    timer: asyncio.TimerHandle | None = None


class CallQueue:
    """Waiters by rank; both ends of every rank are reached in O(1).

    Attributes:
      newest_first: within a rank, the newest goes first and the oldest is
        shed first; otherwise the other way round.  Critical calls always go
        oldest first: as long as they alone fit, each gets its turn, while
        newest first keeps a few waiting until they are given up.
    """

    def __init__(self, newest_first: bool):
        self.newest_first = newest_first
        self.ranks = [collections.OrderedDict() for _ in range(RANK_COUNT)]
        self.occupied_ranks = 0
        self.length = 0

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter."""
        self.ranks[waiter.rank][waiter] = None
        self.occupied_ranks |= 1 << waiter.rank
        self.length += 1

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was still waiting."""
        waiters = self.ranks[waiter.rank]
        if waiter not in waiters:
            return False
        del waiters[waiter]
        self.update_counts(waiter.rank)
        return True

    def pop_best(self) -> Waiter:
        """Removes and returns the waiter that goes next.

        Raises:
          KeyError: nobody waits.
        """
        rank = self.best_rank()
        newest = self.newest_first and rank < LOWEST_CRITICAL_RANK
        waiter, _ = self.ranks[rank].popitem(last=newest)
        self.update_counts(rank)
        return waiter

    def pop_worst(self) -> Waiter:
        """Removes and returns the waiter that is shed first.

        Raises:
          KeyError: nobody waits.
        """
        rank = self.worst_rank()
        waiter, _ = self.ranks[rank].popitem(last=not self.newest_first)
        self.update_counts(rank)
        return waiter

    def waiters_below(self, level: int) -> list[Waiter]:
        """Returns the waiters below a level."""
        return [
            waiter
            for waiters in self.ranks
            for waiter in waiters
            if waiter.level < level
        ]

    def best_rank(self) -> int:
        """Returns the highest rank that waits; -1 when nobody does."""
        return self.occupied_ranks.bit_length() - 1

    def worst_rank(self) -> int:
        """Returns the lowest rank that waits; -1 when nobody does."""
        lowest = self.occupied_ranks & -self.occupied_ranks
        return lowest.bit_length() - 1

    def update_counts(self, rank: int) -> None:
        """Keeps the counts after one waiter left its rank."""
        self.length -= 1
        if not self.ranks[rank]:
            self.occupied_ranks &= ~(1 << rank)
