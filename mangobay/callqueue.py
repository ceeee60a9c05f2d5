"""The queue of calls that wait for a slot at the backend server."""

import asyncio
import collections
import dataclasses

from mangobay import ids
from mangobay.generated import messages

DISTINCT_DEPTHS = 8
"""Call depths with a rank of their own; all deeper calls share the last one."""
RANK_COUNT = len(messages.Importance) * 2 * DISTINCT_DEPTHS


def rank_of(importance: int, heavy: bool, depth: int) -> int:
    """Returns the rank of a call in the queue; the highest goes first.

    Calls rank by importance, then light clients before heavy ones, then deeper
    calls before shallower ones.
    """
    light = 0 if heavy else 1
    return (importance * 2 + light) * DISTINCT_DEPTHS + min(
        depth, DISTINCT_DEPTHS - 1
    )


LOWEST_CRITICAL_RANK = rank_of(messages.Importance.CRITICAL, True, 0)
"""Critical calls have this rank or a higher one."""


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for a slot.

    Attributes:
      operation: the operation that is called.
      rank: from rank_of; the highest goes first.
      level: its admission level.
      queued_at: loop time of its arrival.
      latest_start: loop time after which it cannot meet its deadline.
      future: gets the permit, or the error if the call is refused.
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
    """Waiting calls by rank; both ends of every rank are reached in O(1).

    Attributes:
      newest_first: if set, the newest call of a rank goes first and the oldest
        is shed first; otherwise the reverse.  Critical calls always go oldest
        first: while they alone do not exceed the capacity, each of them gets
        its turn, whereas newest first keeps a few of them waiting until they
        time out.
      ranks: the waiters of each rank, oldest first.
      occupied_ranks: bit mask of the ranks with waiters.
      length: number of waiters.
    """

    def __init__(self, newest_first: bool):
        self.newest_first = newest_first
        self.ranks = [collections.OrderedDict() for _ in range(RANK_COUNT)]
        self.occupied_ranks = 0
        self.length = 0

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter as the newest of its rank."""
        self.ranks[waiter.rank][waiter] = None
        self.occupied_ranks |= 1 << waiter.rank
        self.length += 1

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was in the queue."""
        waiters = self.ranks[waiter.rank]
        if waiter not in waiters:
            return False
        del waiters[waiter]
        self.update_counts(waiter.rank)
        return True

    def pop_best(self) -> Waiter:
        """Removes and returns the waiter that is admitted next.

        Raises:
          KeyError: the queue is empty.
        """
        rank = self.best_rank()
        newest = self.newest_first and rank < LOWEST_CRITICAL_RANK
        waiter, _ = self.ranks[rank].popitem(last=newest)
        self.update_counts(rank)
        return waiter

    def pop_worst(self) -> Waiter:
        """Removes and returns the waiter that is shed first.

        Raises:
          KeyError: the queue is empty.
        """
        rank = self.worst_rank()
        waiter, _ = self.ranks[rank].popitem(last=not self.newest_first)
        self.update_counts(rank)
        return waiter

    def waiters_below(self, level: int) -> list[Waiter]:
        """Returns the waiters with a lower level than this."""
        return [
            waiter
            for waiters in self.ranks
            for waiter in waiters
            if waiter.level < level
        ]

    def best_rank(self) -> int:
        """Returns the highest rank with waiters, or -1 if there are none."""
        return self.occupied_ranks.bit_length() - 1

    def worst_rank(self) -> int:
        """Returns the lowest rank with waiters, or -1 if there are none."""
        lowest = self.occupied_ranks & -self.occupied_ranks
        return lowest.bit_length() - 1

    def update_counts(self, rank: int) -> None:
        """Updates length and occupied_ranks after a waiter left its rank."""
        self.length -= 1
        if not self.ranks[rank]:
            self.occupied_ranks &= ~(1 << rank)
