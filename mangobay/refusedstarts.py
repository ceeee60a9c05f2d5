"""Calls that were refused after other members had been told of their start."""

import dataclasses

from mangobay import ids, records
from mangobay.generated import messages

MAX_REFUSED_STARTS = 1000
"""Refused starts that are remembered, oldest forgotten first."""


@dataclasses.dataclass(slots=True)
class RefusedStart:
    """A call that was refused after members had been told of its start.

    Attributes:
      record: the record of the call.
      members: the members to be told.
      tries: how often they were told.
    """

    record: records.Record
    members: list[messages.Member]
    tries: int = 0


class RefusedStarts:
    """The refused starts of one service at one process.

    Attributes:
      by_key: the refused starts, oldest first.
      withdrawn: keys that members are told of; they never start here again.
    """

    def __init__(self) -> None:
        self.by_key: dict[ids.IdempotencyKey, RefusedStart] = {}
        self.withdrawn: set[ids.IdempotencyKey] = set()

    def add(
        self, record: records.Record, members: list[messages.Member]
    ) -> None:
        """Remembers a refused start of which members were told."""
        self.by_key[record.key] = RefusedStart(record, list(members))
        if len(self.by_key) > MAX_REFUSED_STARTS:
            del self.by_key[next(iter(self.by_key))]

    def discard(self, key: ids.IdempotencyKey) -> None:
        """Forgets a refused start, as the call has started now."""
        self.by_key.pop(key, None)
