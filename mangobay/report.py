"""Reports how the calls of a period ended: run, not run or unknown.

The counts are read from the nodes' logs, where `outcomelog` writes them.  A
report contains only what was logged, and lists the times without a log.
"""

import collections
import collections.abc
import dataclasses
import json
import typing

from mangobay import errors, outcomelog
from mangobay.generated import messages

ANSWERED = messages.Outcome.ANSWERED.name.lower()
NOT_RUN = messages.Outcome.NOT_RUN.name.lower()
UNKNOWN = messages.Outcome.UNKNOWN.name.lower()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Interval:
    """One log line of a node, which covers an interval.

    Attributes:
      since_ms: start as Unix time, milliseconds.
      until_ms: end as Unix time, milliseconds.
      is_final: whether the node shut down cleanly after this interval.
    """

    host: str
    since_ms: int
    until_ms: int
    is_final: bool
    calls: tuple[outcomelog.CallCount, ...]


@dataclasses.dataclass(slots=True)
class ParsedLogs:
    """The content of log files.

    Attributes:
      intervals: the intervals, in the order of the files.
      unreadable_lines: number of lines that are not valid log lines, such as
        a line truncated when its process was killed.
    """

    intervals: list[Interval] = dataclasses.field(default_factory=list)
    unreadable_lines: int = 0


class CallGroup(typing.NamedTuple):
    """A group of calls that have one line in the report."""

    outside: bool
    service: str
    operation: str
    importance: str


@dataclasses.dataclass(slots=True)
class GroupTotal:
    """How the calls of a group ended.

    Attributes:
      outcomes: number of calls by outcome.
      reasons: number of calls that were not answered, by outcome and reason.
      first_ms: start of the first interval with a call that was not answered.
      last_ms: end of the last such interval.
    """

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    first_ms: int | None = None
    last_ms: int | None = None

    def add(self, call_count: outcomelog.CallCount, interval: Interval) -> None:
        """Adds the calls of one count of an interval."""
        self.outcomes[call_count.outcome] += call_count.count
        if call_count.outcome == ANSWERED:
            return
        self.reasons[f"{call_count.outcome}: {call_count.reason}"] += (
            call_count.count
        )
        earliest = interval.since_ms if self.first_ms is None else self.first_ms
        self.first_ms = min(earliest, interval.since_ms)
        self.last_ms = max(self.last_ms or 0, interval.until_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """A time for which a node has no record, in Unix milliseconds."""

    host: str
    since_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """How the calls of a period ended, as far as it is recorded.

    Attributes:
      since_ms: start of the first counted interval.
      until_ms: end of the last counted interval.
      hosts: the hosts that have a record.
      totals: totals by group of calls.
      workspaces: totals of callers outside, by their workspace.
      gaps: times that a host did not record.
      unreadable_lines: number of lines that could not be parsed.
    """

    since_ms: int
    until_ms: int
    hosts: list[str]
    totals: dict[CallGroup, GroupTotal]
    workspaces: dict[str, GroupTotal]
    gaps: list[Gap]
    unreadable_lines: int


def read_logs(paths: collections.abc.Iterable[str]) -> ParsedLogs:
    """Returns the intervals in log files; other log lines are skipped.

    Raises:
      errors.LogFileError: a file cannot be read.
    """
    parsed_logs = ParsedLogs()
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                read_lines(file, parsed_logs)
        except OSError as error:
            raise errors.LogFileError(path, error.strerror or "") from None
    return parsed_logs


def read_lines(
    lines: collections.abc.Iterable[str], parsed_logs: ParsedLogs
) -> None:
    """Adds the intervals in the lines to the parsed logs."""
    for line in lines:
        try:
            interval = parse_interval(line)
        except (ValueError, KeyError, TypeError, AttributeError):
            parsed_logs.unreadable_lines += 1
            continue
        if interval is not None:
            parsed_logs.intervals.append(interval)


def parse_interval(line: str) -> Interval | None:
    """Returns the interval in a log line, None for other log lines."""
    document = json.loads(line)
    if document.get("message_type") != outcomelog.MESSAGE_TYPE:
        return None
    return Interval(
        host=document["host"],
        since_ms=int(document["since_ms"]),
        until_ms=int(document["until_ms"]),
        is_final=bool(document["last"]),
        calls=tuple(outcomelog.CallCount(**item) for item in document["calls"]),
    )


def summarize(parsed_logs: ParsedLogs, since_ms: int, until_ms: int) -> Report:
    """Returns the report of a period.

    An interval that overlaps the period is counted as a whole, since the log
    does not say when in the interval a call ended.

    Raises:
      errors.NoRecordsError: no interval overlaps the period.
    """
    # Calls must not be counted twice if the same file is given twice.
    distinct = dict.fromkeys(parsed_logs.intervals)
    selected = [
        interval
        for interval in distinct
        if interval.since_ms < until_ms and interval.until_ms > since_ms
    ]
    if not selected:
        raise errors.NoRecordsError
    totals: dict[CallGroup, GroupTotal] = collections.defaultdict(GroupTotal)
    workspaces: dict[str, GroupTotal] = collections.defaultdict(GroupTotal)
    for interval in selected:
        for call_count in interval.calls:
            group = CallGroup(
                call_count.outside,
                call_count.service,
                call_count.operation,
                call_count.importance,
            )
            totals[group].add(call_count, interval)
            if call_count.outside and call_count.workspace:
                workspaces[call_count.workspace].add(call_count, interval)
    start_ms = min(interval.since_ms for interval in selected)
    end_ms = max(interval.until_ms for interval in selected)
    return Report(
        since_ms=start_ms,
        until_ms=end_ms,
        hosts=sorted({interval.host for interval in selected}),
        totals=dict(totals),
        workspaces=dict(workspaces),
        gaps=find_gaps(distinct, start_ms, end_ms),
        unreadable_lines=parsed_logs.unreadable_lines,
    )


def find_gaps(
    intervals: collections.abc.Iterable[Interval], start_ms: int, end_ms: int
) -> list[Gap]:
    """Returns the times between start and end that a node did not record.

    A node that shut down cleanly has no gap until its next start.  A node that
    was killed has a gap from its last line to its next start, if any, because
    the calls that it accepted in this time were never logged.
    """
    by_host = collections.defaultdict(list)
    for interval in intervals:
        by_host[interval.host].append(interval)
    gaps = []
    for host in sorted(by_host):
        host_intervals = sorted(
            by_host[host],
            key=lambda interval: (interval.since_ms, interval.until_ms),
        )
        next_starts = [interval.since_ms for interval in host_intervals[1:]] + [
            end_ms
        ]
        for interval, next_start_ms in zip(
            host_intervals, next_starts, strict=True
        ):
            gap = Gap(
                host,
                max(interval.until_ms, start_ms),
                min(next_start_ms, end_ms),
            )
            if not interval.is_final and gap.since_ms < gap.until_ms:
                gaps.append(gap)
    return gaps
