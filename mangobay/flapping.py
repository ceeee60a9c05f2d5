"""Damping of hosts that join and leave repeatedly."""

import collections
import dataclasses

from mangobay import ids

UNDAMPED_JOINS = 8
"""Consecutive joins without a hold time.

A planned restart needs one or two, and a failed one is retried a few times.
"""
INITIAL_HOLD_TIME = 2.0
"""Seconds until the next join after UNDAMPED_JOINS; doubles with each join."""
MAX_HOLD_TIME = 60.0
"""Seconds."""
RESET_SECONDS = 120.0
"""Seconds without a join after which earlier joins no longer count."""
MAX_DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class JoinRecord:
    """The recent joins of one host.

    Attributes:
      consecutive_joins: number of joins, each within RESET_SECONDS of the last.
      last_join_at: loop time of the most recent join.
    """

    consecutive_joins: int = 0
    last_join_at: float = 0.0

    def hold_time(self) -> float:
        """Returns the seconds after the last join until the next is allowed."""
        excess = self.consecutive_joins - UNDAMPED_JOINS
        if excess < 0:
            return 0.0
        return min(
            INITIAL_HOLD_TIME * 2 ** min(excess, MAX_DOUBLINGS), MAX_HOLD_TIME
        )


class FlapDamper:
    """Decides which hosts may join a service now.

    A backend server that announces itself and disappears repeatedly would
    cause a log entry and a new view each time: every node of the service
    applies the view and fetches keys, and the slots that the host gains
    change owner twice. Only joins are held, since a host that is not a member
    gets no calls and no requests for keys. A host that leaves is removed at
    once.

    Attributes:
      records_by_host: joins of each host, the latest join last.
    """

    def __init__(self):
        self.records_by_host: collections.OrderedDict[
            ids.HostId, JoinRecord
        ] = collections.OrderedDict()

    def record_join(self, host: ids.HostId, now: float) -> None:
        """Records that a host joined a service; `now` is loop time."""
        self.remove_stable_hosts(now)
        record = self.records_by_host.setdefault(host, JoinRecord())
        record.consecutive_joins += 1
        record.last_join_at = now
        self.records_by_host.move_to_end(host)

    def is_join_held(self, host: ids.HostId, now: float) -> bool:
        """Returns whether a host may not join yet."""
        self.remove_stable_hosts(now)
        record = self.records_by_host.get(host)
        return (
            record is not None
            and now < record.last_join_at + record.hold_time()
        )

    def remove_stable_hosts(self, now: float) -> None:
        """Removes hosts without a join for RESET_SECONDS."""
        while self.records_by_host:
            host, record = next(iter(self.records_by_host.items()))
            if now < record.last_join_at + RESET_SECONDS:
                return
            del self.records_by_host[host]
