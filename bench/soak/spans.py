"""When a process was disturbed, from the events of a run."""

import bisect
import collections.abc
import math

from bench.soak import bounds, history
from mangobay import ids

Span = tuple[float, float]

RESUMING = frozenset({history.Action.START, history.Action.THAW})
"""What lets a process run that has ended or is frozen."""
SUSPENDING = frozenset(
    {
        history.Action.TERM,
        history.Action.KILL,
        history.Action.KILL_LATE,
        history.Action.FREEZE,
    }
)
"""What ends or freezes a process."""
LINKS = frozenset({history.Action.CUT, history.Action.HEAL})


class Spans:
    """Stops and disturbances of every process.

    Attributes:
      unplanned: by host, from a disturbance until the process is steady again.
      stops: by host, the times of SIGTERM.
      busy: by host, the times of all events, in order.
      signals: by host, the times of signals that disturb it, of starts, and of
        changes of its links.
      absences: by host, from a signal that ends or freezes it until it runs,
        and while its links are interrupted.
      stable: seconds after a disturbance until a process is steady.
    """

    def __init__(self, seen: history.History, target: bounds.Bounds):
        self.stable = target.stable
        self.unplanned: dict[ids.HostId, list[Span]] = {}
        self.stops: dict[ids.HostId, list[float]] = {}
        self.busy: dict[ids.HostId, list[float]] = {}
        self.signals: dict[ids.HostId, list[float]] = {}
        self.absences: dict[ids.HostId, list[Span]] = {}
        events = sorted(seen.events, key=lambda each: each.at)
        for place, event in enumerate(events):
            host = event.host
            self.busy.setdefault(host, []).append(event.at)
            if event.action in SUSPENDING | RESUMING | LINKS:
                self.signals.setdefault(host, []).append(event.at)
            if event.action in SUSPENDING or event.action is history.Action.CUT:
                span = (event.at, resumed_at(events[place:], event))
                self.absences.setdefault(host, []).append(span)
            if event.action is history.Action.TERM:
                self.stops.setdefault(host, []).append(event.at)
            if event.action in history.UNPLANNED:
                end = end_of(events[place:], event) + self.stable
                span = (event.at, end)
                self.unplanned.setdefault(host, []).append(span)

    def disturbed(self, host: ids.HostId, since: float, until: float) -> bool:
        """Returns whether a process was disturbed, or not steady yet."""
        return any(
            begin <= until and since <= end
            for begin, end in self.unplanned.get(host, ())
        )

    def steady(self, host: ids.HostId, at: float) -> bool:
        """Returns whether nothing at all was done to a process of late."""
        times = self.busy.get(host, [])
        place = bisect.bisect_right(times, at)
        late = place > 0 and times[place - 1] > at - self.stable
        return not late and not self.disturbed(host, at, at)

    def group_stable(
        self, controls: collections.abc.Collection[ids.HostId], at: float
    ) -> bool:
        """Returns whether the control group runs and was left alone of late.

        A minority that has been down or frozen for longer is no disturbance.
        """
        disturbed = any(
            at - self.stable < each <= at
            for host in controls
            for each in self.signals.get(host, ())
        )
        return self.group_ran(controls, at, at) and not disturbed

    def group_ran(
        self,
        controls: collections.abc.Collection[ids.HostId],
        since: float,
        until: float,
    ) -> bool:
        """Returns whether more than half of the group ran all the while."""
        ran = sum(not self.away(host, since, until) for host in controls)
        return 2 * ran > len(controls)

    def away(self, host: ids.HostId, since: float, until: float) -> bool:
        """Returns whether a process was down or frozen for a while."""
        return any(
            begin <= until and since <= end
            for begin, end in self.absences.get(host, ())
        )

    def stop_before(self, host: ids.HostId, at: float) -> float | None:
        """Returns the time of the last SIGTERM before a time, or None."""
        times = self.stops.get(host, [])
        place = bisect.bisect_right(times, at)
        return times[place - 1] if place else None


def resumed_at(rest: list[history.Event], event: history.Event) -> float:
    """Returns when a process runs again that an event ends or freezes."""
    match event.action:
        case history.Action.FREEZE:
            resuming = RESUMING
        case history.Action.CUT:
            resuming = frozenset({history.Action.HEAL})
        case _:
            resuming = frozenset({history.Action.START})
    return next(
        (
            each.at
            for each in rest
            if each.action in resuming and is_of_same(event, each)
        ),
        math.inf,
    )


def is_of_same(event: history.Event, later: history.Event) -> bool:
    """Returns whether a later event may end what another one has begun."""
    of_links = event.action is history.Action.CUT
    same_links = not of_links or later.detail == event.detail
    return later.host == event.host and same_links


def end_of(rest: list[history.Event], event: history.Event) -> float:
    """Returns when what an event begins is over."""
    over = {
        history.Action.KILL: history.Action.START,
        history.Action.FREEZE: history.Action.THAW,
        history.Action.CUT: history.Action.HEAL,
    }.get(event.action)
    for each in rest:
        if each.action is over and is_of_same(event, each):
            return each.at
    # A process that is not started again stays disturbed.
    return event.at if over is None else float("inf")
