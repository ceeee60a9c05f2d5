"""Which views are active: nobody can act by an older one any more."""

import typing

from mangobay import ids, views
from mangobay.generated import messages


class Owner(typing.NamedTuple):
    """One run of a process, which may act by an old view until its lease ends."""

    host: ids.HostId
    incarnation: ids.Incarnation


UNSEEN = Owner(ids.HostId(""), ids.Incarnation(""))
"""Stands for whoever a new leader has not heard of yet."""


def owner_of(member: messages.Member | messages.LeaseRenew) -> Owner:
    """Returns the run of the process that the message tells of."""
    return Owner(member.host, member.incarnation)


class ViewActivity:
    """For each service, who may still act by a view before the newest.

    A view is active once each of them acknowledged it, or the version that
    put them on the list, or lost its lease. Who is on the list stays there
    through later views: a process dropped two views ago that has heard of
    neither could otherwise run a key that its newest owner calls unknown.

    Attributes:
      versions: newest version of each service.
      pending: by service, the version each process must acknowledge.
      services: by process, the services that wait for it.
      active: services whose newest view is active.
    """

    def __init__(self):
        self.versions: dict[ids.ServiceName, ids.ViewVersion] = {}
        self.pending: dict[ids.ServiceName, dict[Owner, ids.ViewVersion]] = {}
        self.services: dict[Owner, set[ids.ServiceName]] = {}
        self.active: set[ids.ServiceName] = set()

    def follow(
        self, view: messages.ServiceView, living: typing.Container[Owner]
    ) -> None:
        """Takes in a new view; only `living` processes are waited for."""
        if self.versions.get(view.service) == view.version:
            return
        self.versions[view.service] = view.version
        self.active.discard(view.service)
        for member in views.former_members(view):
            owner = owner_of(member)
            if owner in living:
                self.wait_for(view.service, owner, view.version)
        self.settle(view.service)

    def wait_for(
        self,
        service: ids.ServiceName,
        owner: Owner,
        version: ids.ViewVersion,
    ) -> None:
        """Keeps the service's view from being active until the owner knows."""
        waiting = self.pending.setdefault(service, {})
        waiting[owner] = max(version, waiting.get(owner, version))
        self.services.setdefault(owner, set()).add(service)

    def acknowledge(self, owner: Owner, ack: messages.ViewAck) -> bool:
        """Takes in a version that a process acts by.

        Returns:
          whether the service's newest view became active.
        """
        newest = self.versions.get(ack.service)
        if newest is None or ack.service in self.active:
            return False
        if ack.active and ack.version == newest:
            self.drop_all(ack.service)
            return self.settle(ack.service)
        if ack.member and ack.version < newest:
            self.wait_for(ack.service, owner, newest)
        needed = self.pending.get(ack.service, {}).get(owner)
        if needed is None or ack.version < needed:
            return False
        self.drop(ack.service, owner)
        return self.settle(ack.service)

    def end(self, owner: Owner) -> set[ids.ServiceName]:
        """The process cannot hold a lease any more.

        Returns:
          the services whose newest view became active.
        """
        services = set(self.services.get(owner, ()))
        for service in services:
            self.drop(service, owner)
        return {service for service in services if self.settle(service)}

    def drop(self, service: ids.ServiceName, owner: Owner) -> None:
        """Takes a process off the list of a service."""
        del self.pending[service][owner]
        self.services[owner].discard(service)
        if not self.services[owner]:
            del self.services[owner]

    def drop_all(self, service: ids.ServiceName) -> None:
        """Empties the list of a service."""
        for owner in list(self.pending.get(service, ())):
            self.drop(service, owner)

    def settle(self, service: ids.ServiceName) -> bool:
        """Returns whether the newest view has just become active."""
        if self.pending.get(service):
            return False
        self.pending.pop(service, None)
        if service in self.active:
            return False
        self.active.add(service)
        return True
