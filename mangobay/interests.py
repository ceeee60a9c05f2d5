"""The services that a node follows, and those that control has none of."""

import collections
import collections.abc

from mangobay import clock, ids

MAX_NEW_INTERESTS = 64
"""New interests asked for in one renewal; the others wait for the next."""

MAX_UNKNOWN_SERVICES = 1024
"""Services remembered as unknown to control; names come from outsiders."""

IDLE_SECONDS = 900.0
"""A service that no call asked for this long is not followed any more.

Each costs bytes in every renewal and a push with each restart of its hosts.
Longer than any deadline, so that no call still needs what is dropped.
"""


class Interests:
    """Which services a node follows.

    Attributes:
      wanted: services that the node follows or wants to.
      known: those of them that control told of.
      unknown_until: loop time until which a service is taken for unknown.
      served: services that this host serves or served; always followed.
      recently_used: services asked for since the last look for idle ones.
      idle_checked_at: loop time of that look.
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
        """Follows services for good: their keys are this host's concern."""
        self.served.update(services)
        self.wanted.update(self.served)

    def drop_idle(self) -> set[ids.ServiceName]:
        """Stops to follow what went unused since the last look, and names it.

        A service is dropped after one to two times IDLE_SECONDS; noting each
        use in a set costs a call less than noting its time.
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
        """Returns the services to ask for next."""
        return sorted(self.wanted - self.known)[:MAX_NEW_INTERESTS]

    def is_resolved(self, service: ids.ServiceName) -> bool:
        """Returns whether control lately told what it knows of a service.

        Whoever asks is about to use it.
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
        """Takes in an answer.

        Outsiders can ask for any name, so one that control does not know is
        dropped and remembered only for a while.

        Args:
          requested: the services that were asked for.
          known_services: those that control knows.
          unknown_seconds: how long the others are taken for unknown.
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
