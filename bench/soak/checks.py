"""What must hold of requests, by what was seen from outside."""

import bisect
import collections
import collections.abc
import dataclasses
import math

from bench.soak import bounds, history, spans
from mangobay import ids

EARLY = 0.1
"""Seconds before a deadline at which its end may already be told."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Break:
    """One break of what must hold.

    Attributes:
      check: which one.
      at: loop time.
      what: for people.
      attempt: the request, empty where it is about none.
      hosts: whose processes had a part in it.
    """

    check: str
    at: float
    what: str
    attempt: ids.AttemptId = ids.AttemptId("")
    hosts: tuple[ids.HostId, ...] = ()


class View:
    """A history with what the checks look up in it.

    Attributes:
      seen: the history.
      target: the bounds.
      spans: when processes were disturbed.
      arrivals: by request.
    """

    def __init__(
        self, seen: history.History, target: bounds.Bounds = bounds.TARGET
    ):
        self.seen = seen
        self.target = target
        self.spans = spans.Spans(seen, target)
        self.arrivals = seen.arrivals_of()

    def runs(self, request: history.Request) -> list[history.Arrival]:
        """Returns the arrivals of a request that ran."""
        found = self.arrivals.get(request.attempt, [])
        return [arrival for arrival in found if arrival.ran]

    def excused(
        self,
        request: history.Request,
        arrivals: list[history.Arrival] | None = None,
    ) -> bool:
        """Returns whether a process on a request's way was disturbed.

        Args:
          request: the request.
          arrivals: whose hosts were on its way; without them, its runs.
        """
        found = self.runs(request) if arrivals is None else arrivals
        return any(
            self.spans.disturbed(host, request.began, request.ended)
            for host in {request.host, *(each.host for each in found)}
        )


Found = collections.abc.Iterator[Break]


def broken(check: str, request: history.Request, what: str) -> Break:
    """Returns a break that is about one request."""
    return Break(
        check=check,
        at=request.ended,
        what=what,
        attempt=request.attempt,
        hosts=(request.host,),
    )


def at_most_once(view: View) -> Found:
    """A request that must not be repeated runs once."""
    for request in view.seen.requests:
        runs = view.runs(request)
        if not request.repeatable and len(runs) > 1:
            yield broken("at most once", request, f"it ran {len(runs)} times")


def not_run_is_true(view: View) -> Found:
    """A request that was refused as not run did not run, and never does."""
    for request in view.seen.requests:
        refused = request.status in history.PROMISES
        if refused and not request.repeatable and view.runs(request):
            what = f"refused by {request.status}, and it ran"
            yield broken("not run", request, what)


def whole_answers(view: View) -> Found:
    """An answer is whole, of the request that it answers, and unchanged."""
    for request in view.seen.requests:
        good = 200 <= request.status < 300
        if request.end is not history.End.ANSWERED:
            continue
        if good and request.named != request.attempt:
            what = f"the answer names {request.named!r}"
            yield broken("whole answers", request, what)
        elif (good or request.signature) and not is_of_run(view, request):
            what = f"no run gave {request.status} {request.signature!r}"
            yield broken("whole answers", request, what)
    for stray in view.seen.strays:
        if not stray.data.startswith(("HTTP/1.1 4", "HTTP/1.1 5")):
            yield Break(
                check="whole answers",
                at=stray.at,
                what=f"no request waits for {stray.data}",
                hosts=(stray.host,),
            )


def is_of_run(view: View, request: history.Request) -> bool:
    """Returns whether an answer is that of a run, as it was given."""
    return any(
        run.signature == request.signature
        and run.status == request.status
        and run.answer == request.answer
        and run.outcome is history.Outcome.ANSWERED
        for run in view.runs(request)
    )


def nothing_unasked(view: View) -> Found:
    """Backend servers run what callers sent, unchanged, at its service."""
    asked = {request.attempt: request for request in view.seen.requests}
    probes = {probe.attempt for probe in view.seen.probes}
    for arrival in view.seen.arrivals:
        request = asked.get(arrival.attempt)
        if not arrival.ran or arrival.attempt in probes:
            continue
        what = change_of(view, request, arrival)
        if what:
            yield Break(
                check="nothing unasked",
                at=arrival.at,
                what=what,
                attempt=arrival.attempt,
                hosts=(arrival.host,),
            )


def change_of(
    view: View, request: history.Request | None, arrival: history.Arrival
) -> str:
    """Returns how an arrival differs from its request, empty if it doesn't."""
    if request is None:
        return "nobody sent it"
    pairs = {
        "line": (request.line, arrival.line),
        "service": (request.service, arrival.service),
        "caller": (view.seen.services.get(request.host), arrival.caller),
        # Empty where the body did not come.
        "body": (request.digest, arrival.digest or request.digest),
    }
    return "; ".join(
        f"{name} {pairs[name][0]} became {pairs[name][1]}"
        for name in pairs
        if pairs[name][0] != pairs[name][1]
    )


def nothing_cut(view: View) -> Found:
    """No request is cut by planned work, or by none at all."""
    for request in view.seen.requests:
        if request.end is history.End.CUT:
            what = cut_of(view, request)
        elif request.end is history.End.ANSWERED and not request.signature:
            what = replaced_of(view, request)
        else:
            continue
        if what and not view.excused(request):
            yield broken("planned stops", request, what)


def cut_of(view: View, request: history.Request) -> str:
    """Returns what is wrong with a connection's end, empty for nothing."""
    runs = view.runs(request)
    if math.isinf(request.sent) or is_over(request):
        return ""
    if not runs:
        slack = view.target.loss_slack + view.seen.lag
        if request.behind or request.ended - request.sent <= slack:
            return ""
        return "its connection ended, and it was not passed on"
    if any(run.outcome is history.Outcome.BROKEN for run in runs):
        return ""
    if any(outlasts_the_grace(view, request, run) for run in runs):
        return ""
    return "its connection ended without an answer, and it ran"


def replaced_of(view: View, request: history.Request) -> str:
    """Returns what is wrong with a failure of the system's own."""
    if is_over(request) or not came_whole(request):
        return ""
    for run in view.runs(request):
        dropped = run.outcome in (
            history.Outcome.DROPPED,
            history.Outcome.RUNNING,
        )
        since = request.ended - view.target.loss_slack
        # A server may not notice, and end its work after the failure.
        if run.ended <= request.ended and not (dropped and run.ended >= since):
            continue
        if stop_of(view, request, run) is None:
            continue
        if not outlasts_the_grace(view, request, run):
            return f"{request.status} in place of a run that was at work"
    return ""


def came_whole(request: history.Request) -> bool:
    """Returns whether a request was sent to its last byte when it ended."""
    return request.sent < request.ended


def is_over(request: history.Request) -> bool:
    """Returns whether a request's time was over when it ended."""
    return request.ended >= request.due - EARLY


def stop_of(
    view: View, request: history.Request, run: history.Arrival
) -> float | None:
    """Returns the time of the SIGTERM during which a request ended."""
    for host in (request.host, run.host):
        stop = view.spans.stop_before(host, request.ended)
        if stop is not None and request.ended <= stop + view.target.grace + 1:
            return stop
    return None


def outlasts_the_grace(
    view: View, request: history.Request, run: history.Arrival
) -> bool:
    """Returns whether a run that was cut was at work as its process ended."""
    target = view.target
    for host in (request.host, run.host):
        stop = view.spans.stop_before(host, request.ended)
        if stop is None or request.sent > stop + target.taken:
            continue
        if run.ended >= stop + target.grace * (1 - target.closing_share):
            return True
    return False


def time_handed_on(view: View) -> Found:
    """A backend server is never told of more time than is left."""
    slack = view.target.deadline_slack
    for request in view.seen.requests:
        arrivals = view.arrivals.get(request.attempt, [])
        if not arrivals or view.excused(request, arrivals):
            continue
        first = arrivals[0]
        latest = max(first.at + first.seconds, request.began + request.seconds)
        if not math.isinf(request.sent):
            latest = max(latest, request.sent + request.seconds)
        for arrival in arrivals:
            longer = arrival.seconds > request.seconds + slack
            later = arrival.at + arrival.seconds > latest + slack
            if longer or (later and arrival is not first):
                what = f"{arrival.seconds:.3f} s of {request.seconds:g}"
                yield broken("time handed on", request, what)


def retries_bounded(view: View) -> Found:
    """All nodes together repeat no more than the target allows."""
    target = view.target
    sent: dict[str, list[float]] = collections.defaultdict(list)
    for request in view.seen.requests:
        sent[request.service].append(request.began)
    known = {request.attempt: request for request in view.seen.requests}
    extra: dict[str, list[float]] = collections.defaultdict(list)
    for attempt, arrivals in view.arrivals.items():
        if attempt in known:
            again = [arrival.at for arrival in arrivals[1:]]
            extra[known[attempt].service] += again
    for service, times in extra.items():
        asked = sorted(sent[service])
        times.sort()
        for place, at in enumerate(times):
            window = target.retry_window
            count = bisect.bisect_right(times, at + window) - place
            base = max(
                between(asked, at - shift, at - shift + window)
                for shift in (0.0, window / 2, window)
            )
            if count > target.retry_ratio * base + target.retry_slack:
                what = f"{service}: {count} repeats for {base} requests"
                yield Break(check="retries", at=at, what=what)
                break


def between(times: list[float], since: float, until: float) -> int:
    """Returns how many of the sorted times lie between two."""
    return bisect.bisect_right(times, until) - bisect.bisect_left(times, since)
