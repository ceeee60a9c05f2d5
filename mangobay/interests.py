"""The services that a node follows, and those that control has none of."""

import collections
import collections.abc

from mangobay import clock, ids

MOST_NEW = 64
"""New interests asked for in one renewal; the others wait for the next."""

MOST_UNKNOWN = 1024
"""Services remembered as unknown to control; names come from outsiders."""


class Interests:
    """Which services a node follows.

    Attributes:
      wanted: services that the node follows or wants to.
      known: those of them that control told of.
      unknown: loop time until which a service is taken for unknown.
    """

    def __init__(self):
        self.wanted: set[ids.ServiceName] = set()
        self.known: set[ids.ServiceName] = set()
        self.unknown: collections.OrderedDict[ids.ServiceName, float] = (
            collections.OrderedDict()
        )

    def new(self) -> list[ids.ServiceName]:
        """Returns the services to ask for next."""
        return sorted(self.wanted - self.known)[:MOST_NEW]

    def is_settled(self, service: ids.ServiceName) -> bool:
        """Returns whether control lately told what it knows of a service."""
        if service in self.known:
            return True
        until = self.unknown.get(service)
        if until is None:
            return False
        if until > clock.now():
            return True
        del self.unknown[service]
        return False

    def settle(
        self,
        asked: collections.abc.Iterable[ids.ServiceName],
        told: collections.abc.Container[ids.ServiceName],
        seconds: float,
    ) -> None:
        """Takes in an answer.

        Outsiders can ask for any name, so one that control does not know is
        dropped and remembered only for a while.

        Args:
          asked: the services that were asked for.
          told: those that control knows.
          seconds: how long the others are taken for unknown.
        """
        until = clock.now() + seconds
        for service in asked:
            if service in told:
                self.known.add(service)
                continue
            self.wanted.discard(service)
            self.unknown[service] = until
            self.unknown.move_to_end(service)
            if len(self.unknown) > MOST_UNKNOWN:
                self.unknown.popitem(last=False)
