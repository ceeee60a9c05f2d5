"""What the heartbeats of the backend server on this host say of it.

Heartbeats are late, repeated and out of order; one that a partition held back
may come after its sender has crashed and another runs at the address.  So the
newest incarnation counts, and of it the newest heartbeat.
"""

import dataclasses
import enum
import typing

from mangobay import ids, localservices, logs, options


class State(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """One message of a backend server about itself.

    Attributes:
      instance: names the incarnation; may be used again by a later one.
      start_unix_ms: when the incarnation started, Unix milliseconds.
      sequence: increases with each heartbeat of the incarnation.
      service: what it serves.
      slots: requests that it runs at once.
      state: whether it takes requests.
      warmup_seconds: seconds for which it will still be slow after its start.
    """

    instance: ids.InstanceId
    start_unix_ms: int
    sequence: int
    service: ids.ServiceName
    slots: int
    state: State
    warmup_seconds: float = 0.0


class HeartbeatResult(enum.Enum):
    """What becomes of a heartbeat."""

    ACCEPTED = "taken"
    STALE = "older"
    """A newer one was taken before: acknowledged, and nothing changed."""
    WRONG_SERVICE = "foreign"
    """Of another service than the one on this host."""


class Announcer(typing.Protocol):
    """What is needed of `announcements.Announcements`."""

    def announce(self, announcement: localservices.Announcement) -> None:
        """Takes an announcement, new or renewed."""

    def withdraw(self, service: ids.ServiceName) -> bool:
        """Takes a service out; returns whether it was there."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Incarnation:
    """The newest incarnation that was heard of.

    Attributes:
      last_heartbeat: its newest heartbeat.
      deregistered: it said that it goes; nothing brings it back.
    """

    last_heartbeat: Heartbeat
    deregistered: bool = False


class HeartbeatReceiver:
    """Turns heartbeats into announcements of one backend server.

    Attributes:
      service: what it serves.
      address: where it takes requests, by the settings: a heartbeat that
        named another place could lead requests away.
      current: the newest incarnation, None before the first heartbeat.
    """

    def __init__(
        self,
        announcer: Announcer,
        service: ids.ServiceName,
        address: options.Address,
    ):
        self.announcer = announcer
        self.service = service
        self.address = address
        self.current: Incarnation | None = None

    def receive(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Takes a heartbeat, or leaves it for a newer one."""
        if heartbeat.service != self.service:
            return HeartbeatResult.WRONG_SERVICE
        if not self.is_newer(heartbeat):
            return HeartbeatResult.STALE
        previous = self.current
        is_new = previous is None or not is_same_incarnation(
            previous.last_heartbeat, heartbeat
        )
        deregistered = not is_new and previous.deregistered
        self.current = Incarnation(
            last_heartbeat=heartbeat, deregistered=deregistered
        )
        if deregistered or heartbeat.state is not State.READY:
            self.withdraw(heartbeat, previous)
            return HeartbeatResult.ACCEPTED
        if is_new:
            # Another run knows nothing of the one before: its times and
            # its limit start anew.
            self.announcer.withdraw(self.service)
            self.log_change("backend server starts", heartbeat)
        self.announcer.announce(
            localservices.Announcement(
                service=self.service,
                address=self.address,
                slots=heartbeat.slots,
                instance=heartbeat.instance,
            )
        )
        return HeartbeatResult.ACCEPTED

    def deregister(
        self, instance: ids.InstanceId, start_unix_ms: int | None
    ) -> None:
        """Takes the word of a backend server that it is gone.

        Args:
          instance: who says so.
          start_unix_ms: its start, None where it does not say.
        """
        current = self.current
        if current is None or current.last_heartbeat.instance != instance:
            return
        if (
            start_unix_ms is not None
            and start_unix_ms != current.last_heartbeat.start_unix_ms
        ):
            return
        current.deregistered = True
        self.withdraw(current.last_heartbeat, current)

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Returns whether a heartbeat says more than what is known."""
        if self.current is None:
            return True
        last = self.current.last_heartbeat
        return (heartbeat.start_unix_ms, heartbeat.sequence) > (
            last.start_unix_ms,
            last.sequence,
        )

    def withdraw(
        self, heartbeat: Heartbeat, previous: Incarnation | None
    ) -> None:
        """Takes the backend server out of use."""
        if self.announcer.withdraw(self.service) and previous is not None:
            self.log_change("backend server leaves", heartbeat)

    def log_change(self, event: str, heartbeat: Heartbeat) -> None:
        """Logs what changed and by which heartbeat."""
        logs.say(
            logs.Part.NODE,
            event,
            service=self.service,
            instance=heartbeat.instance,
            born_ms=heartbeat.start_unix_ms,
            sequence=heartbeat.sequence,
            state=heartbeat.state.value,
        )


def is_same_incarnation(first: Heartbeat, second: Heartbeat) -> bool:
    """Returns whether two heartbeats are of one incarnation."""
    return (first.instance, first.start_unix_ms) == (
        second.instance,
        second.start_unix_ms,
    )
