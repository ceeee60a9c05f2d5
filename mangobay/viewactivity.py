"""Which views are active: nobody can act by an older one any more."""

import typing

from mangobay import ids, views
from mangobay.generated import messages


class ProcessId(typing.NamedTuple):
    """One run of a process, which may act by an old view until its lease ends."""

    host: ids.HostId
    incarnation: ids.Incarnation


UNKNOWN_PROCESS = ProcessId(ids.HostId(""), ids.Incarnation(""))
"""Stands for whoever a new leader has not heard of yet."""


def process_id_of(member: messages.Member | messages.LeaseRenew) -> ProcessId:
    """Returns the run of the process that the message tells of."""
    return ProcessId(member.host, member.incarnation)


class ViewActivity:
    """For each service, who may still act by a view before the newest.

    A view is active once each of them acknowledged it, or the version that
    put them on the list, or lost its lease. Who is on the list stays there
    through later views: a process dropped two views ago that has heard of
    neither could otherwise run a key that its newest owner calls unknown.

    Attributes:
      newest_versions: newest version of each service.
      pending_acks: by service, the version each process must acknowledge.
      services_by_process: by process, the services that wait for it.
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
        """Takes in a new view; only `living` processes are waited for."""
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
        """Keeps the service's view from being active until the owner knows."""
        pending = self.pending_acks.setdefault(service, {})
        pending[process] = max(version, pending.get(process, version))
        self.services_by_process.setdefault(process, set()).add(service)

    def record_ack(self, process: ProcessId, ack: messages.ViewAck) -> bool:
        """Takes in a version that a process acts by.

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
        """The process cannot hold a lease any more.

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
        """Takes a process off the list of a service."""
        del self.pending_acks[service][process]
        self.services_by_process[process].discard(service)
        if not self.services_by_process[process]:
            del self.services_by_process[process]

    def clear_pending(self, service: ids.ServiceName) -> None:
        """Empties the list of a service."""
        for process in list(self.pending_acks.get(service, ())):
            self.remove_pending(service, process)

    def activate_if_acked(self, service: ids.ServiceName) -> bool:
        """Returns whether the newest view has just become active."""
        if self.pending_acks.get(service):
            return False
        self.pending_acks.pop(service, None)
        if service in self.active_services:
            return False
        self.active_services.add(service)
        return True
