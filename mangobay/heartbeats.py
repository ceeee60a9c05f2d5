"""Heartbeats of the backend server on this host.

Heartbeats may be delayed, repeated or reordered.  One delayed by a network
partition may even arrive after its sender has crashed and another process runs
at the address.  So only the newest heartbeat of the newest incarnation counts.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import time
import typing

from mangobay import ids, localservices, logs, options

MAX_DEREGISTRATIONS = 64
"""Deregistrations that are kept; the oldest one is forgotten."""
MILLISECONDS_PER_SECOND = 1000
WaitUntilUsable = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, None]
]
"""Returns once a backend server that ran before this process may be used."""


class State(enum.Enum):
    """The state that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """A heartbeat of a backend server.

    Attributes:
      instance: Instance id; a later incarnation may reuse it.
      address: Where it accepts requests.
      start_unix_ms: Start of the incarnation, Unix milliseconds.
      sequence: Number that increases with each heartbeat of the incarnation.
      service: Service that it serves.
      slots: Number of requests that it runs concurrently.
      state: Whether it accepts requests.
      warmup_seconds: Seconds for which it will still be slow after its
        start.
    """

    instance: ids.InstanceId
    address: options.Address
    start_unix_ms: int
    sequence: int
    service: ids.ServiceName
    slots: int
    state: State
    warmup_seconds: float = 0.0


class HeartbeatResult(enum.Enum):
    """How a heartbeat is handled."""

    ACCEPTED = "taken"
    STALE = "older"
    """A newer one was accepted before: acknowledged, but ignored."""
    FOREIGN = "foreign"
    """It names another service or address than those on this host."""


class Announcer(typing.Protocol):
    """The part of `localservices.LocalServices` that heartbeats use."""

    def announce(self, announcement: localservices.Announcement) -> None:
        """Adds a service or renews its announcement."""

    def withdraw(self, service: ids.ServiceName, planned: bool = True) -> bool:
        """Removes a service; returns whether it was announced."""

    def retire(
        self, service: ids.ServiceName, incarnation: ids.BackendIncarnation
    ) -> bool:
        """Does the same, and tells callers that the server leaves for good."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Incarnation:
    """The newest incarnation that sent a heartbeat.

    Attributes:
      last_heartbeat: Its newest heartbeat.
      leaving: Whether it drains, has deregistered or was retired, which is
        final.
    """

    last_heartbeat: Heartbeat
    leaving: bool = False


class HeartbeatReceiver:
    """Turns heartbeats into announcements of one backend server.

    Attributes:
      service: Service that it serves.
      address: Address for its requests, from the settings; a heartbeat with
        another one is not of this backend server.
      current: Newest incarnation, or None before the first heartbeat.
      deregistrations: Latest start of the incarnations that have deregistered,
        Unix milliseconds, by instance id.  Heartbeats that they sent before may
        arrive later, also the first one.
      started_unix_ms: Start of this process.  What earlier incarnations have
        said to another process of this node is not known.
      wait_until_usable: Waits until such an incarnation may be used; None uses
        it at once.
      check: The task that waits for it; None if there is none.
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
        self.deregistrations: collections.OrderedDict[ids.InstanceId, int] = (
            collections.OrderedDict()
        )
        self.started_unix_ms = unix_milliseconds()
        self.wait_until_usable: WaitUntilUsable | None = None
        self.check: asyncio.Task | None = None

    def receive(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Applies a heartbeat unless a newer one was applied before."""
        if (heartbeat.service, heartbeat.address) != (
            self.service,
            self.address,
        ):
            return HeartbeatResult.FOREIGN
        if not self.is_newer(heartbeat):
            return HeartbeatResult.STALE
        previous = self.current
        is_new = previous is None or not is_same_incarnation(
            previous.last_heartbeat, heartbeat
        )
        leaving = heartbeat.state is not State.READY or (
            not is_new and previous.leaving
        )
        self.current = Incarnation(last_heartbeat=heartbeat, leaving=leaving)
        if leaving:
            self.withdraw(heartbeat, previous)
            return HeartbeatResult.ACCEPTED
        if self.has_deregistered(heartbeat):
            self.retire_incarnation(self.current)
            return HeartbeatResult.ACCEPTED
        if is_new:
            self.stop_check()
            # The previous incarnation's service times and concurrency limit
            # don't apply to a new process.
            self.announcer.withdraw(self.service, planned=False)
            self.log_change("backend server starts", heartbeat)
            if (
                self.wait_until_usable is not None
                and heartbeat.start_unix_ms <= self.started_unix_ms
            ):
                self.check = asyncio.create_task(self.announce_when_usable())
        if self.check is None:
            self.announce(heartbeat)
        return HeartbeatResult.ACCEPTED

    async def announce_when_usable(self) -> None:
        """Announces an incarnation once it may be used."""
        await self.wait_until_usable()
        self.check = None
        if not self.current.leaving:
            self.announce(self.current.last_heartbeat)

    def stop_check(self) -> None:
        """Stops waiting until an incarnation may be used."""
        if self.check is not None:
            self.check.cancel()
            self.check = None

    def announce(self, heartbeat: Heartbeat) -> None:
        """Announces the backend server, or renews its announcement."""
        self.announcer.announce(
            localservices.Announcement(
                service=self.service,
                address=self.address,
                slots=heartbeat.slots,
                instance=heartbeat.instance,
                incarnation=incarnation_of(heartbeat),
            )
        )

    def deregister(
        self, instance: ids.InstanceId, start_unix_ms: int | None
    ) -> None:
        """Removes the backend server at its own request.

        Args:
          instance: Instance id of the sender.
          start_unix_ms: Start of its incarnation, or None if not given.
        """
        current = self.current
        is_known = (
            current is not None and current.last_heartbeat.instance == instance
        )
        if start_unix_ms is None:
            start_unix_ms = (
                current.last_heartbeat.start_unix_ms
                if is_known
                else unix_milliseconds()
            )
        self.deregistrations[instance] = max(
            start_unix_ms, self.deregistrations.pop(instance, 0)
        )
        if len(self.deregistrations) > MAX_DEREGISTRATIONS:
            self.deregistrations.popitem(last=False)
        if is_known and self.has_deregistered(current.last_heartbeat):
            self.retire_incarnation(current)

    def has_deregistered(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender of a heartbeat has deregistered."""
        start_unix_ms = self.deregistrations.get(heartbeat.instance)
        return (
            start_unix_ms is not None
            and heartbeat.start_unix_ms <= start_unix_ms
        )

    def retire(self, announcement: localservices.Announcement) -> None:
        """Stops using an incarnation for good, since it is leaving.

        Heartbeats that it sent before, or sends all the same, don't put it
        back in use.
        """
        current = self.current
        if (
            current is None
            or incarnation_of(current.last_heartbeat)
            != announcement.incarnation
        ):
            return
        self.retire_incarnation(current)

    def retire_incarnation(self, incarnation: Incarnation) -> None:
        """Stops sending requests to an incarnation for good."""
        incarnation.leaving = True
        self.stop_check()
        heartbeat = incarnation.last_heartbeat
        if self.announcer.retire(self.service, incarnation_of(heartbeat)):
            self.log_change("backend server leaves", heartbeat)

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the heartbeat is newer than the last one."""
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
        """Stops sending requests to the backend server."""
        self.stop_check()
        if self.announcer.withdraw(self.service) and previous is not None:
            self.log_change("backend server leaves", heartbeat)

    def log_change(self, event: str, heartbeat: Heartbeat) -> None:
        """Logs a change and the heartbeat that caused it."""
        logs.log_event(
            logs.Component.NODE,
            event,
            service=self.service,
            instance=heartbeat.instance,
            born_ms=heartbeat.start_unix_ms,
            sequence=heartbeat.sequence,
            state=heartbeat.state.value,
        )


def unix_milliseconds() -> int:
    """Returns the time of the clock, Unix milliseconds."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


def incarnation_of(heartbeat: Heartbeat) -> ids.BackendIncarnation:
    """Returns the incarnation that sent a heartbeat."""
    return ids.BackendIncarnation(
        f"{heartbeat.instance}/{heartbeat.start_unix_ms}"
    )


def is_same_incarnation(first: Heartbeat, second: Heartbeat) -> bool:
    """Returns whether two heartbeats are of the same incarnation."""
    return (first.instance, first.start_unix_ms) == (
        second.instance,
        second.start_unix_ms,
    )
