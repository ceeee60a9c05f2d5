"""Formats span files as call trees with the outcome of each attempt."""

import collections
import collections.abc
import dataclasses
import datetime
import json

from mangobay import errors

BRANCH, LAST_BRANCH, VERTICAL, BLANK = "├─ ", "└─ ", "│  ", "   "
ATTRIBUTE_PREFIX = "mangobay."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """One attempt of a call, as written by `filetracer`.

    Attributes:
      parent: span id of the parent; no file has the parent of a root span.
      start: start time of the attempt.
      milliseconds: duration of the attempt.
      sender: the host that made the attempt.
      host: the host that the attempt was sent to.
    """

    trace: str
    span: str
    parent: str
    name: str
    start: datetime.datetime
    milliseconds: float
    sender: str
    host: str
    data_centre: str
    outcome: str
    reason: str
    status: int
    tries_given: int
    tries_left: int


def parse_span(line: str) -> Span:
    """Returns the span in a line.

    Raises:
      ValueError: the line is not a span.
    """
    try:
        document = json.loads(line)
        attributes = document["attributes"]
        start = datetime.datetime.fromisoformat(document["start_time"])
        end = datetime.datetime.fromisoformat(document["end_time"])
        return Span(
            trace=document["context"]["trace_id"].removeprefix("0x"),
            span=document["context"]["span_id"],
            parent=document["parent_id"] or "",
            name=document["name"],
            start=start,
            milliseconds=(end - start).total_seconds() * 1000,
            sender=document["resource"]["attributes"]["host.name"],
            host=attributes[f"{ATTRIBUTE_PREFIX}host"],
            data_centre=attributes[f"{ATTRIBUTE_PREFIX}data_centre"],
            outcome=attributes[f"{ATTRIBUTE_PREFIX}outcome"],
            reason=attributes[f"{ATTRIBUTE_PREFIX}reason"],
            status=attributes[f"{ATTRIBUTE_PREFIX}status"],
            tries_given=attributes[f"{ATTRIBUTE_PREFIX}tries_given"],
            tries_left=attributes[f"{ATTRIBUTE_PREFIX}tries_left"],
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a span: {error}") from None


def read_spans(paths: collections.abc.Iterable[str]) -> list[Span]:
    """Returns the spans in files; lines without a valid span are skipped.

    Raises:
      errors.LogFileError: a file cannot be read.
    """
    spans = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines = file.readlines()
        except OSError as error:
            raise errors.LogFileError(path, error.strerror or "") from None
        for line in lines:
            try:
                spans.append(parse_span(line))
            except ValueError:
                continue
    return spans


def format_trees(spans: collections.abc.Iterable[Span]) -> list[str]:
    """Returns the lines of one tree for each trace, oldest trace first."""
    by_trace = collections.defaultdict(list)
    for span in sorted(spans, key=lambda span: span.start):
        by_trace[span.trace].append(span)
    lines = []
    for trace, trace_spans in by_trace.items():
        span_ids = {span.span for span in trace_spans}
        children_by_parent = collections.defaultdict(list)
        for span in trace_spans:
            children_by_parent[
                span.parent if span.parent in span_ids else ""
            ].append(span)
        lines.append(f"trace {trace}")
        lines += format_children(children_by_parent, "", "")
    return lines


def format_children(
    children_by_parent: collections.abc.Mapping[str, list[Span]],
    parent: str,
    indent: str,
) -> list[str]:
    """Returns the lines of the subtrees below a span."""
    lines = []
    children = children_by_parent.get(parent, [])
    for number, span in enumerate(children, start=1):
        is_last = number == len(children)
        lines.append(
            f"{indent}{LAST_BRANCH if is_last else BRANCH}{format_span(span)}"
        )
        child_indent = indent + (BLANK if is_last else VERTICAL)
        lines += format_children(children_by_parent, span.span, child_indent)
    return lines


def format_span(span: Span) -> str:
    """Returns the text of a span in a tree."""
    result = str(span.status) if span.outcome == "answered" else span.reason
    return (
        f"{span.name}: {span.outcome} {result}, {span.milliseconds:.1f} ms,"
        f" {span.sender} -> {span.host} ({span.data_centre}),"
        f" tries {span.tries_given} given {span.tries_left} left"
    )
