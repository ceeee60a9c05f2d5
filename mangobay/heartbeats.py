"""Heartbeats of the backend server on this host.

Heartbeats may be delayed, repeated or reordered.  One delayed by a network
partition may even arrive after its sender has crashed and another process runs
at the address.  So only the newest heartbeat of the newest incarnation counts,
unless that one falls silent while an older one goes on.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import math
import time
import typing

from mangobay import clock, ids, localservices, logs, options

MAX_DEREGISTRATIONS = 64
"""Deregistrations that are kept; the oldest one is forgotten."""
MAX_LEFT_INCARNATIONS = 64
"""Incarnations that have left that are kept; the oldest one is forgotten."""
MAX_OUTRANKED_SENDERS = 64
"""Outranked senders that are kept; the one silent longest is forgotten."""
OUTRANKED_SECONDS = 4.0
"""Seconds for which the newest heartbeat outranks a sender that goes on; a few
times the usual interval of heartbeats."""
LEFT_SECONDS = 60.0
"""The same after a sender that has left. Its server, and heartbeats of servers
before it, may take this long to end."""
LOG_INTERVAL_SECONDS = 1.0
"""Seconds between two log lines on heartbeats that are not used."""
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
    UNUSED = "unused"
    """A newer one outranks it, or its sender has left."""
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
      heard_at: Loop time of that heartbeat.
      leaving: Whether it drains, has deregistered or was retired, which is
        final.
    """

    last_heartbeat: Heartbeat
    heard_at: float
    leaving: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class OutrankedSender:
    """A sender whose heartbeats the newest one outranks.

    Attributes:
      last_heartbeat: Its newest heartbeat.
      since: Loop time of the first one.
    """

    last_heartbeat: Heartbeat
    since: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deregistration:
    """A deregistration of an instance id.

    Attributes:
      start_unix_ms: Start of the incarnation that has deregistered, Unix
        milliseconds.
      received_at: Loop time at which it was received.
    """

    start_unix_ms: int
    received_at: float


class HeartbeatReceiver:
    """Turns heartbeats into announcements of one backend server.

    Attributes:
      service: Service that it serves.
      address: Address for its requests, from the settings; a heartbeat with
        another one is not of this backend server.
      current: Newest incarnation, or None before the first heartbeat.
      outranked: Senders that go on below the newest heartbeat by incarnation,
        the one silent longest first.
      left: Incarnations that have left, oldest first.
      deregistrations: Deregistration of the latest incarnation by instance id.
        Heartbeats that it sent before may arrive later, also the first one.
      unused_count: Heartbeats that were not used.
      logged_at: Loop time of the last log line on one of them.
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
        self.outranked: collections.OrderedDict[
            ids.BackendIncarnation, OutrankedSender
        ] = collections.OrderedDict()
        self.left: collections.OrderedDict[ids.BackendIncarnation, None] = (
            collections.OrderedDict()
        )
        self.deregistrations: collections.OrderedDict[
            ids.InstanceId, Deregistration
        ] = collections.OrderedDict()
        self.unused_count = 0
        self.logged_at = -math.inf
        self.started_unix_ms = unix_milliseconds()
        self.wait_until_usable: WaitUntilUsable | None = None
        self.check: asyncio.Task | None = None

    def receive(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Applies a heartbeat, unless its sender has left or is outranked."""
        if (heartbeat.service, heartbeat.address) != (
            self.service,
            self.address,
        ):
            return HeartbeatResult.FOREIGN
        if heartbeat.state is not State.READY:
            return self.receive_draining(heartbeat)
        if self.has_left(heartbeat):
            return self.ignore(heartbeat, "its sender has left")
        is_newer = self.is_newer(heartbeat)
        counts = is_newer or self.record_outranked(heartbeat)
        if self.has_deregistered(heartbeat):
            return self.ignore(heartbeat, "its sender has deregistered")
        if not counts:
            return self.ignore(heartbeat, "a newer one outranks it")
        previous = self.current
        is_new = previous is None or not is_same_incarnation(
            previous.last_heartbeat, heartbeat
        )
        self.set_current(heartbeat)
        if is_new:
            self.stop_check()
            # The previous incarnation's service times and concurrency limit
            # don't apply to a new process. It has not ended if this one was
            # there all the time.
            self.announcer.withdraw(self.service, planned=not is_newer)
            self.log_change("backend server starts", heartbeat)
            if (
                self.wait_until_usable is not None
                and heartbeat.start_unix_ms <= self.started_unix_ms
            ):
                self.check = asyncio.create_task(self.announce_when_usable())
        if self.check is None:
            self.announce(heartbeat)
        return HeartbeatResult.ACCEPTED

    def receive_draining(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Applies a heartbeat that says that its sender is draining.

        Whatever it sends later, the incarnation is not used again.
        """
        self.add_left(incarnation_of(heartbeat))
        previous = self.current
        is_same = previous is not None and is_same_incarnation(
            previous.last_heartbeat, heartbeat
        )
        if self.is_newer(heartbeat) or (
            not is_same and self.record_outranked(heartbeat)
        ):
            self.set_current(heartbeat)
        elif not is_same:
            # Confirmed, it would bind, and the server is in use as another one.
            return self.ignore(heartbeat, "a newer one outranks it")
        self.current.leaving = True
        self.withdraw(heartbeat, previous)
        return HeartbeatResult.ACCEPTED

    def set_current(self, heartbeat: Heartbeat) -> None:
        """Makes a heartbeat the one that counts."""
        self.outranked.clear()
        self.current = Incarnation(
            last_heartbeat=heartbeat, heard_at=clock.now()
        )

    def add_left(self, incarnation: ids.BackendIncarnation) -> None:
        """Records that an incarnation has left for good."""
        self.left[incarnation] = None
        if len(self.left) > MAX_LEFT_INCARNATIONS:
            self.left.popitem(last=False)

    def has_left(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender of a heartbeat has left for good."""
        current = self.current
        return incarnation_of(heartbeat) in self.left or (
            current is not None
            and current.leaving
            and is_same_incarnation(current.last_heartbeat, heartbeat)
        )

    def record_outranked(self, heartbeat: Heartbeat) -> bool:
        """Records an outranked heartbeat; returns whether it counts all the same.

        Its sender is the live one if it has gone on for a while, in which the
        newest sender was silent. The newest heartbeat was then of another
        writer, or named a start by a clock that was ahead. Heartbeats that were
        only delayed don't go on.
        """
        now = clock.now()
        incarnation = incarnation_of(heartbeat)
        sender = self.outranked.pop(incarnation, None)
        if sender is None:
            self.outranked[incarnation] = OutrankedSender(
                last_heartbeat=heartbeat, since=now
            )
            if len(self.outranked) > MAX_OUTRANKED_SENDERS:
                self.outranked.popitem(last=False)
            return False
        self.outranked[incarnation] = sender
        goes_on = heartbeat.sequence > sender.last_heartbeat.sequence
        sender.last_heartbeat = heartbeat
        if not goes_on:
            # It was repeated or delayed.
            return False
        seconds = LEFT_SECONDS if self.current.leaving else OUTRANKED_SECONDS
        return now - max(sender.since, self.current.heard_at) >= seconds

    def ignore(self, heartbeat: Heartbeat, reason: str) -> HeartbeatResult:
        """Counts a heartbeat that is not used; logs some of them."""
        self.unused_count += 1
        now = clock.now()
        if now - self.logged_at >= LOG_INTERVAL_SECONDS:
            self.logged_at = now
            self.log_change(
                "heartbeat not used",
                heartbeat,
                why=reason,
                newest=self.describe_current(),
            )
        return HeartbeatResult.UNUSED

    def describe_current(self) -> str:
        """Returns the newest incarnation and its last sequence number."""
        if self.current is None:
            return "none"
        newest = self.current.last_heartbeat
        return f"{incarnation_of(newest)}, sequence {newest.sequence}"

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
    ) -> HeartbeatResult:
        """Removes the backend server at its own request.

        Args:
          instance: Instance id of the sender.
          start_unix_ms: Start of its incarnation, or None if not given.

        Returns:
          UNUSED if a later incarnation of that instance is in use. Confirmed,
          it would bind, and the sender may be the one that is in use.
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
        self.add_left(incarnation_named(instance, start_unix_ms))
        earlier = self.deregistrations.pop(instance, None)
        if earlier is not None:
            start_unix_ms = max(start_unix_ms, earlier.start_unix_ms)
        self.deregistrations[instance] = Deregistration(
            start_unix_ms=start_unix_ms, received_at=clock.now()
        )
        if len(self.deregistrations) > MAX_DEREGISTRATIONS:
            self.deregistrations.popitem(last=False)
        if is_known and self.has_deregistered(current.last_heartbeat):
            current = self.end_current(start_unix_ms)
        if is_known and not current.leaving:
            self.unused_count += 1
            logs.log_event(
                logs.Component.NODE,
                "deregistration not used",
                instance=instance,
                born_ms=start_unix_ms,
                newest=self.describe_current(),
            )
            return HeartbeatResult.UNUSED
        return HeartbeatResult.ACCEPTED

    def end_current(self, start_unix_ms: int) -> Incarnation:
        """Ends the use of the newest incarnation by a deregistration.

        Args:
          start_unix_ms: Start that the deregistration covers.

        Returns:
          The newest incarnation now, which is leaving.
        """
        ended = self.current
        last = ended.last_heartbeat
        if start_unix_ms == last.start_unix_ms:
            self.retire_incarnation(ended)
            return ended
        # The earlier start is outranked, as by a heartbeat of the later one. It
        # is not out for good: the deregistration may be of another writer.
        self.set_current(
            dataclasses.replace(last, start_unix_ms=start_unix_ms, sequence=0)
        )
        self.retire_incarnation(self.current)
        return self.current

    def has_deregistered(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender of a heartbeat has deregistered.

        One that names an earlier start may have been delayed, or be of a later
        server that was started by a clock that was set back.
        """
        found = self.deregistrations.get(heartbeat.instance)
        if found is None or heartbeat.start_unix_ms > found.start_unix_ms:
            return False
        return (
            heartbeat.start_unix_ms == found.start_unix_ms
            or clock.now() - found.received_at < LEFT_SECONDS
        )

    def retire(self, announcement: localservices.Announcement) -> None:
        """Stops using an incarnation for good, since it is leaving.

        Heartbeats that it sent before, or sends all the same, don't put it
        back in use.
        """
        # It may be outranked for a while, and be the live one all the same.
        self.add_left(announcement.incarnation)
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
        self.add_left(incarnation_of(incarnation.last_heartbeat))
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

    def log_change(
        self, event: str, heartbeat: Heartbeat, **facts: str
    ) -> None:
        """Logs an event and the heartbeat that caused it."""
        logs.log_event(
            logs.Component.NODE,
            event,
            service=self.service,
            instance=heartbeat.instance,
            born_ms=heartbeat.start_unix_ms,
            sequence=heartbeat.sequence,
            state=heartbeat.state.value,
            **facts,
        )


def unix_milliseconds() -> int:
    """Returns the time of the clock, Unix milliseconds."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


def incarnation_of(heartbeat: Heartbeat) -> ids.BackendIncarnation:
    """Returns the incarnation that sent a heartbeat."""
    return incarnation_named(heartbeat.instance, heartbeat.start_unix_ms)


def incarnation_named(
    instance: ids.InstanceId, start_unix_ms: int
) -> ids.BackendIncarnation:
    """Returns the incarnation of an instance with a start."""
    return ids.BackendIncarnation(f"{instance}/{start_unix_ms}")


def is_same_incarnation(first: Heartbeat, second: Heartbeat) -> bool:
    """Returns whether two heartbeats are of the same incarnation."""
    return (first.instance, first.start_unix_ms) == (
        second.instance,
        second.start_unix_ms,
    )
