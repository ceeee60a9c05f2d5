"""Tracks which views are active.

A view is active once no process can use an older view of the service any more.
"""

import typing

from mangobay import ids, views
from mangobay.generated import messages


class ProcessId(typing.NamedTuple):
    """A process; it may use an outdated view until its lease ends."""

    host: ids.HostId
    incarnation: ids.Incarnation


UNKNOWN_PROCESS = ProcessId(ids.HostId(""), ids.Incarnation(""))
"""Stands for all processes that a new leader has not heard from yet."""


def process_id_of(member: messages.Member | messages.LeaseRenew) -> ProcessId:
    """Returns the process that the message describes."""
    return ProcessId(member.host, member.incarnation)


class ViewActivity:
    """Processes that may still use an outdated view of a service.

    The newest view of a service is active once each of these processes has
    acknowledged the version that made it pending or a later one, or has lost
    its lease. A process stays pending through later views: one that was
    removed two views ago and knows of neither view could otherwise run a key
    for which the newest owner already replies `unknown`.

    Attributes:
      newest_versions: newest view version of each service.
      pending_acks: by service, the version that each process must acknowledge.
      services_by_process: by process, the services that wait for its ack.
      active_services: services whose newest view is active.
    """

    def __init__(self):
        self.newest_versions: dict[ids.ServiceName, ids.ViewVersion] = {}
        self.pending_acks: dict[
            ids.ServiceName, dict[ProcessId, ids.ViewVersion]
        ] = {}
        self.services_by_process: dict[ProcessId, set[ids.ServiceName]] = {}
        self.active_services: set[ids.ServiceName] = set()

    def track_view(
        self,
        view: messages.ServiceView,
        live_processes: typing.Container[ProcessId],
    ) -> None:
        """Tracks a new view; live former members have to acknowledge it."""
        if self.newest_versions.get(view.service) == view.version:
            return
        self.newest_versions[view.service] = view.version
        self.active_services.discard(view.service)
        for member in views.former_members(view):
            process = process_id_of(member)
            if process in live_processes:
                self.require_ack(view.service, process, view.version)
        self.activate_if_acked(view.service)

    def require_ack(
        self,
        service: ids.ServiceName,
        process: ProcessId,
        version: ids.ViewVersion,
    ) -> None:
        """Makes the service's view wait until the process acknowledges it."""
        pending = self.pending_acks.setdefault(service, {})
        pending[process] = max(version, pending.get(process, version))
        self.services_by_process.setdefault(process, set()).add(service)

    def record_ack(self, process: ProcessId, ack: messages.ViewAck) -> bool:
        """Records the view version that a process uses.

        Returns:
          whether the service's newest view became active.
        """
        newest = self.newest_versions.get(ack.service)
        if newest is None or ack.service in self.active_services:
            return False
        if ack.active and ack.version == newest:
            self.clear_pending(ack.service)
            return self.activate_if_acked(ack.service)
        if ack.member and ack.version < newest:
            self.require_ack(ack.service, process, newest)
        required = self.pending_acks.get(ack.service, {}).get(process)
        if required is None or ack.version < required:
            return False
        self.remove_pending(ack.service, process)
        return self.activate_if_acked(ack.service)

    def record_lease_end(self, process: ProcessId) -> set[ids.ServiceName]:
        """Records that the process has no lease any more.

        Returns:
          the services whose newest view became active.
        """
        services = set(self.services_by_process.get(process, ()))
        for service in services:
            self.remove_pending(service, process)
        return {
            service for service in services if self.activate_if_acked(service)
        }

    def remove_pending(
        self, service: ids.ServiceName, process: ProcessId
    ) -> None:
        """Stops waiting for the process to acknowledge the service's view."""
        del self.pending_acks[service][process]
        self.services_by_process[process].discard(service)
        if not self.services_by_process[process]:
            del self.services_by_process[process]

    def clear_pending(self, service: ids.ServiceName) -> None:
        """Stops waiting for any process to acknowledge the service's view."""
        for process in list(self.pending_acks.get(service, ())):
            self.remove_pending(service, process)

    def activate_if_acked(self, service: ids.ServiceName) -> bool:
        """Marks the newest view as active if no process is pending.

        Returns:
          whether the view has just become active.
        """
        if self.pending_acks.get(service):
            return False
        self.pending_acks.pop(service, None)
        if service in self.active_services:
            return False
        self.active_services.add(service)
        return True
