"""Hosts taken out of use for what was observed, and probed back."""

import dataclasses
import enum

from mangobay import ids
from mangobay.generated import settings

MAX_DOUBLINGS = 6
"""The time out of use is doubled at most this often."""


class HostState(enum.Enum):
    """Whether a host gets calls."""

    IN_USE = "in use"
    EJECTED = "ejected"
    PROBE_DUE = "due"
    """Its time is up: one idempotent call may probe it."""
    PROBING = "probed"
    """That call is in flight."""


@dataclasses.dataclass(slots=True)
class HostRecord:
    """What was observed of one host.

    Attributes:
      state: as of the last event; EJECTED may be due by now.
      consecutive_failures: consecutive ones.
      probe_at: loop time at which a probe, or another one, is due.
      consecutive_ejections: in a row, each longer than the one before.
    """

    state: HostState = HostState.IN_USE
    consecutive_failures: int = 0
    probe_at: float = 0.0
    consecutive_ejections: int = 0


class OutlierDetector:
    """The hosts of one service.

    A host that fails fast looks idle and draws calls, so it must go.  But
    never more than a share of the hosts: when all fail, the cause is not the
    hosts, and the rest would drown in the calls of those ejected.

    Attributes:
      host_count: number of hosts of the service.
      records: only of hosts that failed lately.
    """

    def __init__(self, routing: settings.NodeRouting):
        self.settings = routing
        self.host_count = 0
        self.records: dict[ids.HostId, HostRecord] = {}

    def state(self, host: ids.HostId, now: float) -> HostState:
        """Returns whether the host gets calls."""
        record = self.records.get(host)
        if record is None:
            return HostState.IN_USE
        if record.state != HostState.IN_USE and now >= record.probe_at:
            return HostState.PROBE_DUE
        return record.state

    def start_probe(self, host: ids.HostId, now: float) -> None:
        """Notes that a probing call goes to a host that is due.

        A probe that is cancelled says nothing; after a while the next call
        may probe, else the host would stay out of use for ever.
        """
        record = self.records[host]
        record.state = HostState.PROBING
        record.probe_at = now + self.settings.eject_time

    def record_failure(self, host: ids.HostId, now: float) -> bool:
        """Counts a failure; returns whether it ejected the host."""
        record = self.records.setdefault(host, HostRecord())
        record.consecutive_failures += 1
        if record.state == HostState.PROBING:
            self.eject(record, now)
            return True
        limit_reached = (
            0 < self.settings.eject_after <= record.consecutive_failures
        )
        if (
            record.state == HostState.IN_USE
            and limit_reached
            and self.may_eject()
        ):
            self.eject(record, now)
            return True
        return False

    def record_success(self, host: ids.HostId) -> bool:
        """Counts an answer; returns whether it brought the host back.

        Only a probe brings a host back: an answer to a call that was sent
        before the ejection says nothing about now.
        """
        record = self.records.get(host)
        if record is None or record.state == HostState.EJECTED:
            return False
        del self.records[host]
        return record.state == HostState.PROBING

    def forget(self, host: ids.HostId) -> None:
        """Forgets a host that left, or restarted as another incarnation."""
        self.records.pop(host, None)

    def may_eject(self) -> bool:
        """Returns whether one more host may go out of use."""
        out_of_use = sum(
            record.state != HostState.IN_USE for record in self.records.values()
        )
        return out_of_use + 1 <= self.settings.eject_share * self.host_count

    def eject(self, record: HostRecord, now: float) -> None:
        """Takes a host out of use, longer each time in a row."""
        doublings = min(record.consecutive_ejections, MAX_DOUBLINGS)
        record.state = HostState.EJECTED
        record.probe_at = now + self.settings.eject_time * 2**doublings
        record.consecutive_ejections += 1
