"""The services that a node subscribes to at the control group."""

import collections
import collections.abc

from mangobay import clock, ids

MAX_NEW_INTERESTS = 64
"""New services requested in one renewal; others wait for the next."""

MAX_UNKNOWN_SERVICES = 1024
"""Services remembered as unknown to the control group.

This is bounded because outside callers choose the names.
"""

IDLE_SECONDS = 900.0
"""Seconds without a call after which a service is dropped.

Each service costs bytes in every renewal and an update with each restart of
its hosts. This is longer than any deadline, so that no call still needs a
dropped service.
"""


class Interests:
    """The services that a node subscribes to.

    Attributes:
      wanted: services that the node subscribes to or wants to.
      known: those of them of which the control group has sent the state.
      unknown_until: loop time until which a service counts as unknown.
      served: services that this host serves or has served; never dropped.
      recently_used: services used since the last check for idle ones.
      idle_checked_at: loop time of that check.
    """

    def __init__(self):
        self.wanted: set[ids.ServiceName] = set()
        self.known: set[ids.ServiceName] = set()
        self.unknown_until: collections.OrderedDict[ids.ServiceName, float] = (
            collections.OrderedDict()
        )
        self.served: set[ids.ServiceName] = set()
        self.recently_used: set[ids.ServiceName] = set()
        self.idle_checked_at = float("-inf")

    def add_served(
        self, services: collections.abc.Iterable[ids.ServiceName]
    ) -> None:
        """Subscribes to services for good, as this host may own their keys."""
        self.served.update(services)
        self.wanted.update(self.served)

    def drop_idle(self) -> set[ids.ServiceName]:
        """Drops and returns the services not used since the last check.

        A service is dropped after one to two times IDLE_SECONDS. Adding it to
        a set is cheaper for each call than recording the time of its use.
        """
        if clock.now() < self.idle_checked_at + IDLE_SECONDS:
            return set()
        idle = self.known - self.recently_used - self.served
        self.known -= idle
        self.wanted -= idle
        self.recently_used.clear()
        self.idle_checked_at = clock.now()
        return idle

    def new_interests(self) -> list[ids.ServiceName]:
        """Returns the services to request in the next renewal."""
        return sorted(self.wanted - self.known)[:MAX_NEW_INTERESTS]

    def is_resolved(self, service: ids.ServiceName) -> bool:
        """Returns whether a service is known, or was recently found unknown.

        The caller is about to use the service, so this counts as a use.
        """
        if service in self.known:
            self.recently_used.add(service)
            return True
        until = self.unknown_until.get(service)
        if until is None:
            return False
        if until > clock.now():
            return True
        del self.unknown_until[service]
        return False

    def resolve(
        self,
        requested: collections.abc.Iterable[ids.ServiceName],
        known_services: collections.abc.Container[ids.ServiceName],
        unknown_seconds: float,
    ) -> None:
        """Records the reply to a request for services.

        Outside callers can use any name, so a service that the control group
        does not know is dropped and remembered only for a while.

        Args:
          requested: the services that were requested.
          known_services: services that the control group knows.
          unknown_seconds: how long the others count as unknown.
        """
        forget_at = clock.now() + unknown_seconds
        for service in requested:
            if service in known_services:
                self.known.add(service)
                self.recently_used.add(service)
                continue
            self.wanted.discard(service)
            self.unknown_until[service] = forget_at
            self.unknown_until.move_to_end(service)
            if len(self.unknown_until) > MAX_UNKNOWN_SERVICES:
                self.unknown_until.popitem(last=False)
