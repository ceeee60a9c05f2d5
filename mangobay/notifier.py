"""Wakes the renewals that wait at the leader for something new."""

import asyncio
import collections.abc
import contextlib
import typing

from mangobay import ids, statemachine


class ChangeNotifier:
    """Waiting renewals by what they wait for.

    A change wakes only those whom it concerns: woken for every change, all
    nodes of a large system would answer each of its thousands of restarts.
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
        """Gives an event that is set by news of the host or the services."""
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
        """Wakes those whom the change concerns."""
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
    """Takes the event out, and the name with the last one."""
    events_by_key[key].discard(event)
    if not events_by_key[key]:
        del events_by_key[key]
