"""Hosts taken out of use for what was observed, and probed back."""

import dataclasses
import enum

from mangobay import ids
from mangobay.generated import settings

LONGEST_DOUBLING = 6
"""The time out of use is doubled at most this often."""


class State(enum.Enum):
    """Whether a host gets calls."""

    IN_USE = "in use"
    EJECTED = "ejected"
    DUE = "due"
    """Its time is up: one idempotent call may probe it."""
    PROBED = "probed"
    """That call is in flight."""


@dataclasses.dataclass(slots=True)
class Record:
    """What was observed of one host.

    Attributes:
      state: as of the last event; EJECTED may be due by now.
      failures: consecutive ones.
      until: loop time at which a probe, or another one, is due.
      ejections: in a row, each longer than the one before.
    """

    state: State = State.IN_USE
    failures: int = 0
    until: float = 0.0
    ejections: int = 0


class Ejection:
    """The hosts of one service.

    A host that fails fast looks idle and draws calls, so it must go.  But
    never more than a share of the hosts: when all fail, the cause is not the
    hosts, and the rest would drown in the calls of those ejected.

    Attributes:
      hosts: number of hosts of the service.
      records: only of hosts that failed lately.
    """

    def __init__(self, routing: settings.NodeRouting):
        self.settings = routing
        self.hosts = 0
        self.records: dict[ids.HostId, Record] = {}

    def state(self, host: ids.HostId, now: float) -> State:
        """Returns whether the host gets calls."""
        record = self.records.get(host)
        if record is None:
            return State.IN_USE
        if record.state != State.IN_USE and now >= record.until:
            return State.DUE
        return record.state

    def probe(self, host: ids.HostId, now: float) -> None:
        """Notes that a probing call goes to a host that is due.

        A probe that is cancelled says nothing; after a while the next call
        may probe, else the host would stay out of use for ever.
        """
        record = self.records[host]
        record.state = State.PROBED
        record.until = now + self.settings.eject_time

    def failed(self, host: ids.HostId, now: float) -> bool:
        """Counts a failure; returns whether it ejected the host."""
        record = self.records.setdefault(host, Record())
        record.failures += 1
        if record.state == State.PROBED:
            self.eject(record, now)
            return True
        enough = 0 < self.settings.eject_after <= record.failures
        if record.state == State.IN_USE and enough and self.room():
            self.eject(record, now)
            return True
        return False

    def succeeded(self, host: ids.HostId) -> bool:
        """Counts an answer; returns whether it brought the host back.

        Only a probe brings a host back: an answer to a call that was sent
        before the ejection says nothing about now.
        """
        record = self.records.get(host)
        if record is None or record.state == State.EJECTED:
            return False
        del self.records[host]
        return record.state == State.PROBED

    def forget(self, host: ids.HostId) -> None:
        """Forgets a host that left, or restarted as another incarnation."""
        self.records.pop(host, None)

    def room(self) -> bool:
        """Returns whether one more host may go out of use."""
        out = sum(
            record.state != State.IN_USE for record in self.records.values()
        )
        return out + 1 <= self.settings.eject_share * self.hosts

    def eject(self, record: Record, now: float) -> None:
        """Takes a host out of use, longer each time in a row."""
        doublings = min(record.ejections, LONGEST_DOUBLING)
        record.state = State.EJECTED
        record.until = now + self.settings.eject_time * 2**doublings
        record.ejections += 1
