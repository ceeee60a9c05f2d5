"""Calls that were refused after other members had been told of their start."""

import dataclasses

from mangobay import ids
from mangobay.generated import messages

MAX_REFUSED_STARTS = 1000
"""Refused starts that are remembered, oldest forgotten first."""
MAX_AGE_SECONDS = 10.0
"""Time after which the members have asked, so that nobody need be told."""
MAX_TRIES = 3
"""How often members are told of a start, if not all reply."""


@dataclasses.dataclass(slots=True)
class RefusedStart:
    """A call that was refused after members had been told of its start.

    Attributes:
      entry: the start, as the members were told of it. The record may name
        another runner by now.
      members: the members that were told.
      refused_at: loop time of the refusal.
      tries: how often members were told of the refusal.
    """

    entry: messages.OnceEntry
    members: list[messages.Member]
    refused_at: float
    tries: int = 0


class RefusedStarts:
    """The refused starts of one service at one process.

    Attributes:
      by_key: the refused starts of which no member is told yet, oldest first.
      withdrawn: keys that members are told of; they never start here again.
    """

    def __init__(self) -> None:
        self.by_key: dict[ids.IdempotencyKey, RefusedStart] = {}
        self.withdrawn: set[ids.IdempotencyKey] = set()

    def add(
        self,
        entry: messages.OnceEntry,
        members: list[messages.Member],
        now: float,
    ) -> None:
        """Remembers a start that was refused after members were told of it."""
        self.by_key[entry.key] = RefusedStart(entry, list(members), now)
        if len(self.by_key) > MAX_REFUSED_STARTS:
            del self.by_key[next(iter(self.by_key))]

    def discard(self, key: ids.IdempotencyKey) -> None:
        """Forgets a refused start, as the call has started now."""
        self.by_key.pop(key, None)

    def take_recent(self, now: float) -> list[RefusedStart]:
        """Removes all refused starts; returns those that may be unknown yet."""
        starts = list(self.by_key.values())
        self.by_key.clear()
        return [
            start
            for start in starts
            if now - start.refused_at < MAX_AGE_SECONDS
        ]

    def keep_for_retry(self, starts: list[RefusedStart]) -> None:
        """Keeps starts of which not all members know, unless tried enough."""
        for start in starts:
            start.tries += 1
            if start.tries < MAX_TRIES:
                self.by_key.setdefault(start.entry.key, start)
