"""What is told of a run: its row, and the file that explains its breaks."""

import collections
import dataclasses
import json
import math

from bench.soak import checks, history, play

MOST_EXPLAINED = 20
"""Breaks of one run whose requests are told in full."""
AROUND = 1.0
"""Seconds before and after a request in which log lines are told."""
MOST_LINES = 60
ABOUT_A_REQUEST = '"attempt": '
HEADINGS = (
    "seed",
    "faults",
    "requests",
    "runs",
    "served",
    "lag s",
    "peak MB",
    "breaks",
)
BYTES_PER_MEGABYTE = 10**6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """The figures of one seed.

    Attributes:
      seed: that was played.
      faults: in its plan.
      requests: of callers.
      runs: of these at backend servers.
      served: requests with a success.
      lag: for which the observer stood still, seconds.
      peak: the most memory of any process, megabytes.
      breaks: that were found.
    """

    seed: int
    faults: int
    requests: int
    runs: int
    served: int
    lag: float
    peak: int
    breaks: int


def row(played: play.Played, found: list[checks.Break]) -> Row:
    """Returns the figures of a run."""
    seen = played.seen
    return Row(
        seed=played.plan.seed,
        faults=len(played.plan.faults),
        requests=len(seen.requests),
        runs=sum(arrival.ran for arrival in seen.arrivals),
        served=sum(200 <= each.status < 300 for each in seen.requests),
        lag=round(seen.lag, 2),
        peak=max(seen.peaks.values(), default=0) // BYTES_PER_MEGABYTE,
        breaks=len(found),
    )


def table(rows: list[Row]) -> str:
    """Returns the table of all seeds, with their sums."""
    cells = [HEADINGS]
    cells += [tuple(map(str, dataclasses.astuple(each))) for each in rows]
    sums = [
        sum(values)
        for values in zip(*[dataclasses.astuple(each)[1:5] for each in rows])
    ]
    breaks = sum(each.breaks for each in rows)
    cells.append(("all", *map(str, sums), "", "", str(breaks)))
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths))
        for line in cells
    )


def summary(found: list[checks.Break]) -> str:
    """Returns how many breaks each check found."""
    counts = collections.Counter(each.check for each in found)
    return ", ".join(f"{name}: {counts[name]}" for name in sorted(counts))


def explain(
    played: play.Played, found: list[checks.Break], command: str
) -> str:
    """Returns the text that explains the breaks of a run."""
    seen = played.seen
    zero = min((event.at for event in seen.events), default=0.0)
    parts = [
        f"seed {played.plan.seed}: {summary(found)}",
        f"again: {command}",
        "times are seconds since the first process was started",
        "",
        "faults, planned (from the start of the callers)",
        *(f"  {fault}" for fault in played.plan.faults),
        f"  {played.plan.final}",
        "",
        "processes, as it happened",
        *(event_line(event, zero) for event in seen.events),
        "",
        "changes of configuration",
        *(change_line(change, zero) for change in seen.changes),
    ]
    for each in found[:MOST_EXPLAINED]:
        parts += ["", *way(played, each, zero)]
    if len(found) > MOST_EXPLAINED:
        parts += ["", "further breaks"]
        parts += [break_line(each, zero) for each in found[MOST_EXPLAINED:]]
    return "\n".join(parts) + "\n"


def event_line(event: history.Event, zero: float) -> str:
    """Returns the line of an event."""
    at = event.at - zero
    return f"  {at:8.3f} {event.host} {event.action.value} {event.detail}"


def change_line(change: history.Change, zero: float) -> str:
    """Returns the line of a change."""
    return (
        f"  {change.sent - zero:8.3f} to {change.ended - zero:.3f}"
        f" {change.host}: {change.version} on {change.base}: {change.status}"
        f" {change.content} {change.flaw.value if change.flaw else ''}"
    )


def break_line(each: checks.Break, zero: float) -> str:
    """Returns the line of a break."""
    about = f" {each.attempt}" if each.attempt else ""
    return f"BREAK {each.at - zero:8.3f} {each.check}:{about} {each.what}"


def way(played: play.Played, each: checks.Break, zero: float) -> list[str]:
    """Returns the way of a break's request, with the log lines about it."""
    seen = played.seen
    lines = [break_line(each, zero)]
    hosts = set(each.hosts)
    since, until = each.at, each.at
    for request in seen.requests:
        if request.attempt == each.attempt:
            lines += request_lines(request, zero)
            since = request.began
            if not math.isinf(request.ended):
                until = request.ended
    for arrival in seen.arrivals:
        if arrival.attempt == each.attempt:
            lines += arrival_lines(arrival, zero)
            hosts.add(arrival.host)
    if each.attempt:
        lines += ["  log lines that name it"]
        found = played.made.log_lines(f'"{each.attempt}"')
        lines += [f"    {line}" for line in found]
    lines += ["  other lines of its hosts at that time"]
    near = [
        f"    {host} {stamp - seen.wall - zero:8.3f} {line}"
        for host in sorted(hosts)
        for stamp, line in logged(played, host)
        if since - AROUND <= stamp - seen.wall <= until + AROUND
        and ABOUT_A_REQUEST not in line
    ]
    return lines + near[:MOST_LINES]


def request_lines(request: history.Request, zero: float) -> list[str]:
    """Returns the lines of a request."""
    kind = "repeatable" if request.repeatable else "once"
    return [
        f"  {request.began - zero:8.3f} {request.line} to {request.host} for"
        f" {request.service} ({kind}, {request.manner}, connection"
        f" {request.connection}, behind others: {request.behind},"
        f" {request.seconds:g} s)",
        f"  {request.sent - zero:8.3f} last byte sent",
        f"  {request.ended - zero:8.3f} {request.end.value}"
        f" {request.status} {request.signature}",
    ]


def arrival_lines(arrival: history.Arrival, zero: float) -> list[str]:
    """Returns the lines of an arrival."""
    return [
        f"  {arrival.at - zero:8.3f} at {arrival.host} ({arrival.instance},"
        f" {arrival.seconds:.3f} s, work until {arrival.until - zero:.3f})",
        f"  {arrival.ended - zero:8.3f} {arrival.outcome.value}"
        f" {arrival.status} {arrival.signature}",
    ]


def logged(played: play.Played, host: str) -> list[tuple[float, str]]:
    """Returns the log lines of a host, with their Unix times."""
    path = played.made.folder / f"{host}.out"
    found = []
    for line in path.read_text(errors="replace").splitlines():
        try:
            facts = json.loads(line)
            found.append((float(facts.pop("timestamp")), json.dumps(facts)))
        except (ValueError, KeyError, AttributeError):
            # Tracebacks and whatever else is no log line.
            continue
    return found
