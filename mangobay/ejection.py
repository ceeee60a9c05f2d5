"""Ejects failing hosts and probes them before they are used again."""

import dataclasses
import enum

from mangobay import ids
from mangobay.generated import settings

MAX_DOUBLINGS = 6
"""Maximum number of times that the ejection time is doubled."""


class HostState(enum.Enum):
    """Whether a host receives calls."""

    IN_USE = "in use"
    EJECTED = "ejected"
    PROBE_DUE = "due"
    """The ejection time has passed; one idempotent call may probe the host."""
    PROBING = "probed"
    """The probe is in flight."""


@dataclasses.dataclass(slots=True)
class HostRecord:
    """Failures and ejections of one host.

    Attributes:
      state: State as of the last event; a probe of an ejected host may be due
        by now.
      consecutive_failures: Number of failures without a success in between.
      probe_at: Loop time at which the next probe is due.
      consecutive_ejections: Number of ejections without a successful probe in
        between; each lasts longer than the one before.
    """

    state: HostState = HostState.IN_USE
    consecutive_failures: int = 0
    probe_at: float = 0.0
    consecutive_ejections: int = 0


class OutlierDetector:
    """Ejects hosts of one service that fail repeatedly.

    A host that fails fast looks idle and attracts calls, so it is ejected.
    Only a limited share of the hosts is ejected at a time: if all hosts fail,
    the cause lies elsewhere, and the calls of the ejected hosts would overload
    the remaining ones.

    Attributes:
      host_count: Number of hosts of the service.
      records: Records of the hosts that failed recently.
    """

    def __init__(self, routing: settings.NodeRouting):
        self.settings = routing
        self.host_count = 0
        self.records: dict[ids.HostId, HostRecord] = {}

    def state(self, host: ids.HostId, now: float) -> HostState:
        """Returns whether the host receives calls."""
        record = self.records.get(host)
        if record is None:
            return HostState.IN_USE
        if record.state != HostState.IN_USE and now >= record.probe_at:
            return HostState.PROBE_DUE
        return record.state

    def start_probe(self, host: ids.HostId, now: float) -> None:
        """Records that a probe is sent to the host.

        A cancelled probe has no result.  Another call may probe after
        `eject_time`; otherwise the host would stay out of use forever.
        """
        record = self.records[host]
        record.state = HostState.PROBING
        record.probe_at = now + self.settings.eject_time

    def record_failure(self, host: ids.HostId, now: float) -> bool:
        """Records a failure; returns whether it ejects the host."""
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
        """Records a success; returns whether it puts the host back in use.

        Only a probe puts a host back in use.  The response to a call that was
        sent before the ejection says nothing about the current state.
        """
        record = self.records.get(host)
        if record is None or record.state == HostState.EJECTED:
            return False
        del self.records[host]
        return record.state == HostState.PROBING

    def forget(self, host: ids.HostId) -> None:
        """Removes the record of a host that left or restarted."""
        self.records.pop(host, None)

    def may_eject(self) -> bool:
        """Returns whether one more host may be ejected."""
        out_of_use = sum(
            record.state != HostState.IN_USE for record in self.records.values()
        )
        return out_of_use + 1 <= self.settings.eject_share * self.host_count

    def eject(self, record: HostRecord, now: float) -> None:
        """Ejects a host; the time doubles with each consecutive ejection."""
        doublings = min(record.consecutive_ejections, MAX_DOUBLINGS)
        record.state = HostState.EJECTED
        record.probe_at = now + self.settings.eject_time * 2**doublings
        record.consecutive_ejections += 1
