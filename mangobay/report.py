"""What to state of a period: what ran, what did not, what is unknown.

Read from the nodes' logs, where `ledger` wrote it.  Only recorded facts are
told, and what no log covers is told as such.
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
    """One line of a node.

    Attributes:
      since_ms: Unix time, milliseconds.
      until_ms: Unix time, milliseconds.
      is_final: the node ended in good order.
    """

    host: str
    since_ms: int
    until_ms: int
    is_final: bool
    calls: tuple[outcomelog.CallCount, ...]


@dataclasses.dataclass(slots=True)
class ParsedLogs:
    """What the files held.

    Attributes:
      intervals: in the order of the files.
      unreadable_lines: lines that are no log lines, such as one torn by a kill.
    """

    intervals: list[Interval] = dataclasses.field(default_factory=list)
    unreadable_lines: int = 0


class CallGroup(typing.NamedTuple):
    """Calls that one line of the report sums up."""

    outside: bool
    service: str
    operation: str
    importance: str


@dataclasses.dataclass(slots=True)
class GroupTotal:
    """How the calls of a group ended.

    Attributes:
      outcomes: calls by outcome.
      reasons: calls that were not answered, by outcome and reason.
      first_ms: where the first interval with one of those began.
      last_ms: where the last one ended.
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
        """Adds the calls of one entry."""
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
    """A time of which a node recorded nothing, Unix milliseconds."""

    host: str
    since_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """What is known of a period.

    Attributes:
      since_ms: of the first interval that is counted.
      until_ms: of the last interval that is counted.
      hosts: those that recorded something.
      totals: calls by group.
      gaps: what nobody recorded.
      unreadable_lines: lines that could not be read.
    """

    since_ms: int
    until_ms: int
    hosts: list[str]
    totals: dict[CallGroup, GroupTotal]
    gaps: list[Gap]
    unreadable_lines: int


def read_logs(paths: collections.abc.Iterable[str]) -> ParsedLogs:
    """Returns the intervals in log files; other log lines are passed over.

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
    """Adds the intervals in the lines to the reading."""
    for line in lines:
        try:
            interval = parse_interval(line)
        except (ValueError, KeyError, TypeError, AttributeError):
            parsed_logs.unreadable_lines += 1
            continue
        if interval is not None:
            parsed_logs.intervals.append(interval)


def parse_interval(line: str) -> Interval | None:
    """Returns the interval in a log line, None for any other line."""
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

    An interval counts whole when it touches the period: nothing says where
    in it a call ended.

    Raises:
      errors.NothingRecordedError: no interval touches the period.
    """
    # The same file given twice must not count twice.
    distinct = dict.fromkeys(parsed_logs.intervals)
    selected = [
        interval
        for interval in distinct
        if interval.since_ms < until_ms and interval.until_ms > since_ms
    ]
    if not selected:
        raise errors.NoRecordsError
    totals: dict[CallGroup, GroupTotal] = collections.defaultdict(GroupTotal)
    for interval in selected:
        for call_count in interval.calls:
            group = CallGroup(
                call_count.outside,
                call_count.service,
                call_count.operation,
                call_count.importance,
            )
            totals[group].add(call_count, interval)
    start_ms = min(interval.since_ms for interval in selected)
    end_ms = max(interval.until_ms for interval in selected)
    return Report(
        since_ms=start_ms,
        until_ms=end_ms,
        hosts=sorted({interval.host for interval in selected}),
        totals=dict(totals),
        gaps=find_gaps(distinct, start_ms, end_ms),
        unreadable_lines=parsed_logs.unreadable_lines,
    )


def find_gaps(
    intervals: collections.abc.Iterable[Interval], start_ms: int, end_ms: int
) -> list[Gap]:
    """Returns the times between start and end that a node left unrecorded.

    A node that ended in good order leaves none until its next start.  One
    that was killed leaves one from its last line on: what entered there
    since has been counted by nobody.
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
