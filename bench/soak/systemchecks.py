"""What must hold of processes and of the configuration."""

import collections
import math

from bench.soak import checks, history, operators
from mangobay import ids

GOOD_EXITS = frozenset({"0", "-15"})
KILLED_EXIT = "-9"
CUT_EXIT = "1"
"""Of a process that has cut calls, which is for the end of its grace."""
ACCEPTED = 200
REFUSED = frozenset({400, 409, 412, 413, 422})
NO_ROUTE = 404


def processes_end_as_told(view: checks.View) -> checks.Found:
    """A process ends when it is told to, and not before; in its grace."""
    told: set[ids.HostId] = set()
    killed: set[ids.HostId] = set()
    for event in view.seen.events:
        host = event.host
        what = ""
        match event.action:
            case history.Action.START:
                told.discard(host)
                killed.discard(host)
            case history.Action.TERM:
                told.add(host)
            case history.Action.KILL:
                told.add(host)
                killed.add(host)
            case history.Action.EXIT if event.at < view.seen.over:
                if host not in told:
                    what = f"it ended by itself with {event.detail}"
                elif event.detail == KILLED_EXIT and host in killed:
                    continue
                elif not is_good_exit(view, event):
                    what = f"it ended with {event.detail}"
            case history.Action.KILL_LATE:
                killed.add(host)
                stop = view.spans.stop_before(host, event.at)
                if not view.spans.disturbed(host, stop or 0.0, event.at):
                    what = "it did not end in its grace"
        if what:
            yield broken("processes", event.at, host, what)


def memory_is_bounded(view: checks.View) -> checks.Found:
    """No process uses more memory than its host has for it."""
    for host, peak in view.seen.peaks.items():
        if peak > view.target.memory:
            what = f"it used {peak} bytes"
            yield broken("memory", view.seen.over, host, what)


def is_good_exit(view: checks.View, event: history.Event) -> bool:
    """Returns whether a process ended with a code that fits how it was told."""
    if event.detail != CUT_EXIT:
        return event.detail in GOOD_EXITS
    stop = view.spans.stop_before(event.host, event.at)
    if stop is None:
        return False
    last = stop + view.target.grace * (1 - view.target.closing_share)
    return event.at >= last or view.spans.disturbed(event.host, stop, event.at)


def broken(check: str, at: float, host: ids.HostId, what: str) -> checks.Break:
    """Returns a break that is about one host."""
    return checks.Break(
        check=check, at=at, what=f"{host}: {what}", hosts=(host,)
    )


def accepted(view: checks.View) -> list[history.Change]:
    """Returns the acknowledgements of valid changes."""
    return [
        each
        for each in view.seen.changes
        if each.status == ACCEPTED and not each.flaw
    ]


def configuration_is_kept(view: checks.View) -> checks.Found:
    """What was acknowledged is read back once all faults are over."""
    newest = max((each.version for each in accepted(view)), default=0)
    told: dict[ids.HostId, history.Reading] = {}
    for reading in view.seen.readings:
        if reading.last:
            told[reading.host] = reading
    for host, reading in told.items():
        if reading.version < newest:
            what = f"read {reading.version}, acknowledged was {newest}"
            yield broken("configuration kept", reading.ended, host, what)


def configuration_is_not_old(view: checks.View) -> checks.Found:
    """No host tells an older configuration some time after a newer one."""
    bound = view.target.config_apply + view.seen.lag
    acknowledged = accepted(view)
    for reading in view.seen.readings:
        newest = max(
            (
                each.version
                for each in acknowledged
                if each.ended + bound < reading.sent
            ),
            default=0,
        )
        if 0 < reading.version < newest:
            what = f"read {reading.version}, acknowledged was {newest}"
            yield broken("configuration old", reading.ended, reading.host, what)


def refused_changes_are_not_in_force(view: checks.View) -> checks.Found:
    """A refused change is never read back; of two rivals one is accepted."""
    refused = {
        (each.version, each.content)
        for each in view.seen.changes
        if each.status in REFUSED
    }
    for reading in view.seen.readings:
        if (reading.version, reading.content) in refused:
            what = f"read {reading.version}, which was refused"
            yield broken(
                "configuration races", reading.ended, reading.host, what
            )
    rivals: dict[int, set[tuple[int, str]]] = collections.defaultdict(set)
    for each in accepted(view):
        rivals[each.base].add((each.version, each.content))
        if len(rivals[each.base]) > 1:
            what = f"{sorted(rivals[each.base])} accepted on {each.base}"
            yield broken("configuration races", each.ended, each.host, what)


def invalid_changes_are_refused(view: checks.View) -> checks.Found:
    """No control host accepts an invalid configuration."""
    for each in view.seen.changes:
        if each.flaw and each.status == ACCEPTED:
            what = f"{each.version} was accepted: {each.flaw.value}"
            yield broken("invalid configuration", each.ended, each.host, what)


def accepted_changes_stay_accepted(view: checks.View) -> checks.Found:
    """A change that is sent again after its acknowledgement is not refused."""
    since: dict[tuple[int, int, str], float] = {}
    for each in accepted(view):
        since[each.order] = min(since.get(each.order, math.inf), each.ended)
    for each in view.seen.changes:
        if (
            each.status in REFUSED
            and not each.flaw
            and since.get(each.order, math.inf) < each.sent
        ):
            what = f"{each.version} was accepted, and then {each.status}"
            yield broken("configuration again", each.ended, each.host, what)


def content_is_as_sent(view: checks.View) -> checks.Found:
    """What is read back under a number is what was sent under it."""
    sent: dict[int, set[str]] = collections.defaultdict(set)
    acknowledged: dict[int, set[str]] = collections.defaultdict(set)
    for each in view.seen.changes:
        if not each.flaw:
            sent[each.version].add(each.content)
    for each in accepted(view):
        acknowledged[each.version].add(each.content)
    for reading in view.seen.readings:
        version = reading.version
        allowed = acknowledged.get(version) or sent[version]
        if version and reading.content not in allowed:
            what = f"{version} has another content than was sent"
            yield broken(
                "configuration content", reading.ended, reading.host, what
            )


def routes_do_not_revert(view: checks.View) -> checks.Found:
    """A process that has served a route goes on to know it."""
    starts: dict[ids.HostId, list[float]] = collections.defaultdict(list)
    for event in view.seen.events:
        if event.action is history.Action.START:
            starts[event.host].append(event.at)
    known: dict[ids.HostId, tuple[int, float]] = {}
    for probe in sorted(view.seen.probes, key=lambda each: each.ended):
        if probe.moved:
            continue
        version, ended = known.get(probe.host, (0, 0.0))
        if any(ended < at < probe.ended for at in starts[probe.host]):
            version = 0
        if probe.status == ACCEPTED and probe.version > version:
            known[probe.host] = probe.version, probe.ended
        elif (
            probe.kept
            and probe.status == NO_ROUTE
            and probe.version <= version
            and probe.sent > ended + view.target.rollback + view.seen.lag
        ):
            what = f"refuses {probe.version}, has served {version}"
            yield broken("routes reverted", probe.ended, probe.host, what)


def routes_are_in_force(view: checks.View) -> checks.Found:
    """Nodes go by a configuration some time after it was acknowledged."""
    for probe in view.seen.probes:
        if probe.moved or not view.spans.steady(probe.host, probe.sent):
            continue
        # Rivals without an answer may be in force as well.
        sent = [
            each
            for each in view.seen.changes
            if each.sent < probe.ended and not each.flaw
        ]
        newest = max((each.version for each in sent), default=0)
        latest = required_version(view, probe.sent)
        refuses = probe.status == NO_ROUTE
        if probe.kept:
            if not refuses or probe.version > latest:
                continue
            what = f"refuses a route that is there since {probe.version}"
        elif probe.version < latest and probe.status == ACCEPTED:
            what = f"serves by {probe.version}, in force is {latest}"
        elif probe.version == latest == newest and refuses:
            what = f"refuses by an older version than {latest}"
        else:
            continue
        yield broken("configuration in force", probe.ended, probe.host, what)


def moved_routes_are_in_force(view: checks.View) -> checks.Found:
    """A route that was moved is served by a service of a version in force."""
    for probe in view.seen.probes:
        if not probe.moved or not view.spans.steady(probe.host, probe.sent):
            continue
        latest = required_version(view, probe.sent)
        allowed = {
            operators.moved_service(each.version)
            for each in view.seen.changes
            if each.sent < probe.ended
            and each.version >= latest
            and not each.flaw
        }
        for arrival in view.arrivals.get(probe.attempt, []):
            if arrival.ran and arrival.service not in allowed:
                what = f"{arrival.service} ran it, in force is {latest}"
                yield broken(
                    "configuration in force", probe.ended, probe.host, what
                )


def required_version(view: checks.View, at: float) -> int:
    """Returns the oldest version that steady nodes may go by at a time.

    While the control group is disturbed, the bound is longer, as long as more
    than half of it runs.
    """
    controls = [host for host, name in view.seen.services.items() if not name]
    stable = view.spans.group_stable(controls, at)
    latest = 0
    for each in accepted(view):
        due = each.ended + view.target.config_apply + view.seen.lag
        if not stable:
            due += view.target.max_skew
            if not view.spans.group_ran(controls, each.ended, at):
                continue
        if due < at:
            latest = max(latest, each.version)
    return latest


def leaving_nodes_say_so(view: checks.View) -> checks.Found:
    """A node that is asked some time after SIGTERM is not ready."""
    starts: dict[ids.HostId, list[float]] = collections.defaultdict(list)
    for event in view.seen.events:
        if event.action is history.Action.START:
            starts[event.host].append(event.at)
    bound = view.target.unready + view.seen.lag
    for asked in view.seen.readiness:
        stop = view.spans.stop_before(asked.host, asked.sent)
        if not asked.ready or stop is None or asked.sent <= stop + bound:
            continue
        if view.spans.disturbed(asked.host, stop, asked.sent):
            continue
        if not any(stop < at <= asked.sent for at in starts[asked.host]):
            what = f"ready {asked.sent - stop:.1f} s after SIGTERM"
            yield broken("readiness", asked.sent, asked.host, what)


def requests_are_served_again(view: checks.View) -> checks.Found:
    """Some time after the last fault requests are served."""
    since = view.seen.calm + view.target.recovery
    ended = [
        request
        for request in view.seen.requests
        if request.began > since
        and request.end not in (history.End.LEFT, history.End.OPEN)
    ]
    served = [each for each in ended if 200 <= each.status < 300]
    if len(served) <= len(ended) * view.target.served_share:
        what = f"{len(served)} of {len(ended)} requests were served"
        at = view.seen.over if math.isinf(since) else since
        yield checks.Break(check="recovery", at=at, what=what)
