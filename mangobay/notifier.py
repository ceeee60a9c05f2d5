"""Wakes the lease renewals that wait at the leader for a change."""

import asyncio
import collections.abc
import contextlib
import typing

from mangobay import ids, statemachine


class ChangeNotifier:
    """Events of waiting renewals, by host and by service.

    A change wakes only the renewals that it concerns. In a large system,
    waking every node for each of thousands of restarts would cost too much.

    Attributes:
      events_by_service: events set by a change to the service.
      events_by_host: events set by a change to the host.
    """

    def __init__(self):
        self.events_by_service: dict[ids.ServiceName, set[asyncio.Event]] = {}
        self.events_by_host: dict[ids.HostId, set[asyncio.Event]] = {}

    @contextlib.contextmanager
    def subscribe(
        self,
        host: ids.HostId,
        services: collections.abc.Collection[ids.ServiceName],
    ) -> typing.Iterator[asyncio.Event]:
        """Yields an event that a change to the host or the services sets."""
        event = asyncio.Event()
        self.events_by_host.setdefault(host, set()).add(event)
        for service in services:
            self.events_by_service.setdefault(service, set()).add(event)
        try:
            yield event
        finally:
            remove_event(self.events_by_host, host, event)
            for service in services:
                remove_event(self.events_by_service, service, event)

    def notify(self, change: statemachine.StateChange) -> None:
        """Wakes the renewals that the change concerns."""
        if change.restored or change.routes:
            for events in self.events_by_host.values():
                wake_all(events)
            return
        for service in change.services:
            wake_all(self.events_by_service.get(service, ()))
        for host in change.hosts:
            wake_all(self.events_by_host.get(host, ()))


def wake_all(events: collections.abc.Iterable[asyncio.Event]) -> None:
    """Sets every event."""
    for event in events:
        event.set()


def remove_event(
    events_by_key: dict[typing.Any, set[asyncio.Event]],
    key: str,
    event: asyncio.Event,
) -> None:
    """Removes the event, and the key if it was its last event."""
    events_by_key[key].discard(event)
    if not events_by_key[key]:
        del events_by_key[key]
