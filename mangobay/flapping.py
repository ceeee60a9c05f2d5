"""Hosts that come and go, and how long they are kept out."""

import collections
import dataclasses

from mangobay import ids

FREE_JOINS = 8
"""Joins in a row that cost nothing: a planned restart needs one or two, and
one that fails is tried again a few times."""
FIRST_HOLD = 2.0
"""Seconds without a join after the first one too many; doubled each time."""
LONGEST_HOLD = 60.0
CALM_SECONDS = 120.0
"""Without a join for so long, former ones are forgotten."""
MOST_DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class Record:
    """The joins of one host.

    Attributes:
      joins: in a row, none of them CALM_SECONDS after the one before.
      last: loop time of the newest.
    """

    joins: int = 0
    last: float = 0.0

    def hold(self) -> float:
        """Returns the seconds until the host may join again."""
        above = self.joins - FREE_JOINS
        if above < 0:
            return 0.0
        return min(FIRST_HOLD * 2 ** min(above, MOST_DOUBLINGS), LONGEST_HOLD)


class Flapping:
    """Which hosts may join a service now.

    A backend server that announces itself and vanishes, again and again,
    would make a log entry and a new view each time: every node of the service
    takes in the view and asks for keys, and the slots that the host wins
    change hands twice.  Only joins are held back, since a host that is kept
    out gets no calls and is asked for no keys; one that leaves is out at once.

    Attributes:
      records: of hosts that joined, the one that joined last at the end.
    """

    def __init__(self):
        self.records: collections.OrderedDict[ids.HostId, Record] = (
            collections.OrderedDict()
        )

    def joined(self, host: ids.HostId, now: float) -> None:
        """Notes that a host joined some service; now is loop time."""
        self.forget_calm(now)
        record = self.records.setdefault(host, Record())
        record.joins += 1
        record.last = now
        self.records.move_to_end(host)

    def is_held(self, host: ids.HostId, now: float) -> bool:
        """Returns whether a host must not join yet."""
        self.forget_calm(now)
        record = self.records.get(host)
        return record is not None and now < record.last + record.hold()

    def forget_calm(self, now: float) -> None:
        """Forgets hosts that have not joined for long."""
        while self.records:
            host, record = next(iter(self.records.items()))
            if now < record.last + CALM_SECONDS:
                return
            del self.records[host]
