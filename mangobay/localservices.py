"""The services that backend servers on this host have announced."""

import asyncio
import collections.abc
import dataclasses
import re
import typing

from mangobay import (
    backend,
    calls,
    crashdetection,
    ids,
    logs,
    options,
    serverload,
    serverstate,
)
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import admission

SERVICE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MAX_SERVICES = 64
MAX_SLOTS = 100_000
EXPIRY_CHECKS_PER_TIMEOUT = 4
"""Largest number of expiry checks within the announcement timeout."""

ChangeListener = collections.abc.Callable[[list[messages.ServedService]], None]
AdmissionFactory = collections.abc.Callable[[], "admission.AdmissionController"]


@dataclasses.dataclass(slots=True, kw_only=True)
class Announcement:
    """An announcement of a backend server.

    Attributes:
      service: Name of the service.
      address: Address for its requests.
      slots: Number of concurrent calls it claims to run; only the initial
        concurrency limit, since the claim may be wrong.
      healthy: Whether it reports itself healthy.  The report may be late or
        wrong, so it only keeps this node from preferring its own host.
      instance: Id of its incarnation, or empty if it sent none.
      incarnation: Its incarnation, or empty if it cannot be told.
    """

    service: ids.ServiceName
    address: options.Address
    slots: int
    healthy: bool = True
    instance: ids.InstanceId = ids.InstanceId("")
    incarnation: ids.BackendIncarnation = ids.BackendIncarnation("")


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalService:
    """A service that a backend server on this host serves.

    Attributes:
      announcement: The last announcement.
      renewed_at: Loop time of the last announcement.
      admission: Admission control for the calls of the service.
      state_tracker: What the backend server says about itself.
      load: The load that the backend server reports.
      crash_detector: Finds out whether the backend server has ended.
    """

    announcement: Announcement
    renewed_at: float
    admission: "admission.AdmissionController"
    state_tracker: serverstate.ServerStateTracker = dataclasses.field(
        default_factory=serverstate.ServerStateTracker
    )
    load: serverload.ServerLoad = dataclasses.field(
        default_factory=serverload.ServerLoad
    )
    crash_detector: crashdetection.CrashDetector = dataclasses.field(
        default_factory=crashdetection.CrashDetector
    )


class Observer(typing.Protocol):
    """Is told what is known of the backend servers on this host."""

    def record_announcement(self, announcement: Announcement) -> None:
        """Records an announcement or its renewal."""

    def record_departure(self, service: ids.ServiceName) -> None:
        """Records that a backend server leaves as planned."""

    def record_silence(self, announcement: Announcement) -> None:
        """Records that an announcement has timed out."""


def parse_announcement(document: typing.Any) -> Announcement:
    """Returns the announcement in a decoded JSON document.

    Raises:
      calls.RequestError: The document is malformed; the message lists every
        fault.
    """
    if not isinstance(document, dict):
        raise malformed_error(["not a JSON object"])
    faults = []
    service = document.get("service")
    if not isinstance(service, str) or not SERVICE_NAME_PATTERN.fullmatch(
        service
    ):
        faults.append("service: a name of letters, digits, '.', '_' and '-'")
    slots = document.get("slots")
    if type(slots) is not int or not 1 <= slots <= MAX_SLOTS:
        faults.append(f"slots: a whole number from 1 to {MAX_SLOTS}")
    healthy = document.get("healthy", True)
    if not isinstance(healthy, bool):
        faults.append("healthy: true or false")
    address = options.Address("", 0)
    try:
        address = options.parse_address(str(document.get("address")))
    except ValueError as error:
        faults.append(f"address: {error}")
    if faults:
        raise malformed_error(faults)
    return Announcement(
        service=service, address=address, slots=slots, healthy=healthy
    )


def malformed_error(faults: list[str]) -> calls.RequestError:
    """Returns an error that lists every fault."""
    return calls.RequestError(messages.Reason.MALFORMED, "; ".join(faults))


class LocalServices:
    """The services on this host, each removed unless its announcement is renewed.

    Attributes:
      timeout_seconds: Seconds without a renewal after which a service is
        removed.
      by_name: Services by name.
      retired: The last incarnation that left for good, by service.
      observer: Is told about announcements; None if nobody is.
    """

    def __init__(
        self,
        timeout_seconds: float,
        make_admission: AdmissionFactory,
        on_change: ChangeListener,
    ):
        self.timeout_seconds = timeout_seconds
        self.make_admission = make_admission
        self.on_change = on_change
        self.by_name: dict[ids.ServiceName, LocalService] = {}
        self.retired: dict[ids.ServiceName, ids.BackendIncarnation] = {}
        self.observer: Observer | None = None

    def announce(self, announcement: Announcement) -> None:
        """Adds a service or renews its announcement.

        Raises:
          calls.RequestError: There are too many services on the host.
        """
        now = asyncio.get_running_loop().time()
        local_service = self.by_name.get(announcement.service)
        if local_service is None:
            if len(self.by_name) >= MAX_SERVICES:
                raise malformed_error([f"more than {MAX_SERVICES} services"])
            local_service = LocalService(
                announcement=announcement,
                renewed_at=now,
                admission=self.make_admission(),
            )
            self.by_name[announcement.service] = local_service
            local_service.admission.set_slots(announcement.slots)
            self.report_change("announced", announcement.service)
            self.observe_announcement(announcement)
            return
        changed = local_service.announcement.slots != announcement.slots
        local_service.announcement = announcement
        local_service.renewed_at = now
        if changed:
            local_service.admission.set_slots(announcement.slots)
            self.report_change("slots changed", announcement.service)
        self.observe_announcement(announcement)

    def observe_announcement(self, announcement: Announcement) -> None:
        """Tells the observer of an announcement."""
        if self.observer is not None:
            self.observer.record_announcement(announcement)

    def withdraw(self, service: ids.ServiceName, planned: bool = True) -> bool:
        """Removes a service; returns whether it was announced.

        Args:
          service: its name.
          planned: whether its backend server says that it leaves.
        """
        if planned and self.observer is not None:
            self.observer.record_departure(service)
        local_service = self.by_name.pop(service, None)
        if local_service is None:
            return False
        local_service.admission.refuse_all_waiting()
        self.report_change("left", service)
        return True

    def retire(
        self, service: ids.ServiceName, incarnation: ids.BackendIncarnation
    ) -> bool:
        """Removes a service whose backend server leaves for good.

        Callers are told so, since this node forgets it when it restarts.

        Returns:
          Whether it was announced.
        """
        self.retired[service] = incarnation
        local_service = self.by_name.get(service)
        if local_service is not None:
            local_service.state_tracker.adopt(backend.LEAVING_STATE)
        return self.withdraw(service)

    def find(self, service: ids.ServiceName) -> LocalService | None:
        """Returns the service, or None if it is not announced here."""
        return self.by_name.get(service)

    def report_change(self, event: str, service: ids.ServiceName) -> None:
        """Logs a change and calls the listener with all services."""
        logs.log_event(
            logs.Component.NODE, f"backend server {event}", service=service
        )
        self.on_change(
            [
                messages.ServedService(
                    name=name, slots=local_service.announcement.slots
                )
                for name, local_service in sorted(self.by_name.items())
            ]
        )

    def remove_expired(self) -> None:
        """Removes every service whose announcement timed out."""
        cutoff = asyncio.get_running_loop().time() - self.timeout_seconds
        for service, local_service in list(self.by_name.items()):
            if local_service.renewed_at < cutoff:
                del self.by_name[service]
                self.report_change("announcement expired", service)
                if self.observer is not None:
                    self.observer.record_silence(local_service.announcement)

    async def run_expiry(self) -> None:
        """Removes expired services until cancelled."""
        while True:
            await asyncio.sleep(self.next_check_delay())
            self.remove_expired()

    def next_check_delay(self) -> float:
        """Returns the seconds until the next service may expire."""
        now = asyncio.get_running_loop().time()
        oldest_renewal = min(
            (
                local_service.renewed_at
                for local_service in self.by_name.values()
            ),
            default=now,
        )
        min_delay = self.timeout_seconds / EXPIRY_CHECKS_PER_TIMEOUT
        return max(oldest_renewal + self.timeout_seconds - now, min_delay)
