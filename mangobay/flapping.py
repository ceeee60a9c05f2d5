"""Hosts that come and go, and how long they are kept out."""

import collections
import dataclasses

from mangobay import ids

UNDAMPED_JOINS = 8
"""Joins in a row that cost nothing: a planned restart needs one or two, and
one that fails is tried again a few times."""
INITIAL_HOLD_TIME = 2.0
"""Seconds without a join after the first one too many; doubled each time."""
MAX_HOLD_TIME = 60.0
RESET_SECONDS = 120.0
"""Without a join for so long, former ones are forgotten."""
MAX_DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class JoinRecord:
    """The joins of one host.

    Attributes:
      consecutive_joins: in a row, none of them CALM_SECONDS after the one before.
      last_join_at: loop time of the newest.
    """

    consecutive_joins: int = 0
    last_join_at: float = 0.0

    def hold_time(self) -> float:
        """Returns the seconds until the host may join again."""
        excess = self.consecutive_joins - UNDAMPED_JOINS
        if excess < 0:
            return 0.0
        return min(
            INITIAL_HOLD_TIME * 2 ** min(excess, MAX_DOUBLINGS), MAX_HOLD_TIME
        )


class FlapDamper:
    """Which hosts may join a service now.

    A backend server that announces itself and vanishes, again and again,
    would make a log entry and a new view each time: every node of the service
    takes in the view and asks for keys, and the slots that the host wins
    change hands twice.  Only joins are held back, since a host that is kept
    out gets no calls and is asked for no keys; one that leaves is out at once.

    Attributes:
      records_by_host: of hosts that joined, the one that joined last at the end.
    """

    def __init__(self):
        self.records_by_host: collections.OrderedDict[
            ids.HostId, JoinRecord
        ] = collections.OrderedDict()

    def record_join(self, host: ids.HostId, now: float) -> None:
        """Notes that a host joined some service; now is loop time."""
        self.remove_stable_hosts(now)
        record = self.records_by_host.setdefault(host, JoinRecord())
        record.consecutive_joins += 1
        record.last_join_at = now
        self.records_by_host.move_to_end(host)

    def is_join_held(self, host: ids.HostId, now: float) -> bool:
        """Returns whether a host must not join yet."""
        self.remove_stable_hosts(now)
        record = self.records_by_host.get(host)
        return (
            record is not None
            and now < record.last_join_at + record.hold_time()
        )

    def remove_stable_hosts(self, now: float) -> None:
        """Forgets hosts that have not joined for long."""
        while self.records_by_host:
            host, record = next(iter(self.records_by_host.items()))
            if now < record.last_join_at + RESET_SECONDS:
                return
            del self.records_by_host[host]
