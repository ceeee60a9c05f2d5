"""The operators' commands that read log and span files of nodes."""

import dataclasses

from mangobay import commands, display, report, spantree

FILES_ARGUMENT = {"metavar": "FILE", "nargs": "+"}


class ShowReport(commands.Command):
    """Reports which calls ran, did not run or have an unknown outcome."""

    name = "report"
    help = "sum up nodes' logs: what ran, what did not, what is unknown"
    arguments = {
        "files": {
            **FILES_ARGUMENT,
            "help": "log file of a node; give every node's",
        },
        **commands.PERIOD_ARGUMENTS,
    }
    asks_control = False

    async def run(self, arguments, client):
        """Reads the logs and reports the totals."""
        parsed_logs = report.read_logs(arguments.files)
        summary = report.summarize(
            parsed_logs, arguments.since, arguments.until
        )
        return commands.Result(encode_report(summary), format_report(summary))


class ShowTrace(commands.Command):
    """Prints spans as trees."""

    name = "trace"
    help = "print span files as trees, one for each trace"
    arguments = {
        "files": {
            **FILES_ARGUMENT,
            "help": "span file of a node; give every node's",
        },
        "--trace": {
            "default": "",
            "metavar": "ID",
            "help": "only traces whose id starts with this text",
        },
    }
    asks_control = False

    async def run(self, arguments, client):
        """Reads the files and prints the trees."""
        spans = [
            span
            for span in spantree.read_spans(arguments.files)
            if span.trace.startswith(arguments.trace)
        ]
        data = [
            {**dataclasses.asdict(span), "start": span.start.isoformat()}
            for span in spans
        ]
        lines = spantree.format_trees(spans) or ["no matching spans"]
        exit_code = commands.ExitCode.OK if spans else commands.ExitCode.FAILED
        return commands.Result(data, lines, exit_code)


def encode_report(summary: report.Report) -> dict:
    """Returns the JSON object of the report."""
    return {
        "since_ms": summary.since_ms,
        "until_ms": summary.until_ms,
        "hosts": summary.hosts,
        "totals": [
            {
                **group._asdict(),
                "outcomes": dict(total.outcomes),
                "reasons": dict(total.reasons),
                "first_ms": total.first_ms,
                "last_ms": total.last_ms,
            }
            for group, total in sorted(summary.totals.items())
        ],
        "workspaces": [
            {
                "workspace": name,
                "outcomes": dict(total.outcomes),
                "reasons": dict(total.reasons),
                "first_ms": total.first_ms,
                "last_ms": total.last_ms,
            }
            for name, total in sorted(summary.workspaces.items())
        ],
        "gaps": [dataclasses.asdict(gap) for gap in summary.gaps],
        "unreadable": summary.unreadable_lines,
    }


def format_report(summary: report.Report) -> list[str]:
    """Returns the lines of the report."""
    lines = [
        f"recorded from {display.format_time(summary.since_ms)}"
        f" to {display.format_time(summary.until_ms)}"
        f" by {len(summary.hosts)} hosts: {', '.join(summary.hosts)}",
    ]
    for outside, title in (
        (True, "calls of callers outside"),
        (False, "calls between services: part of the calls above, or separate"),
    ):
        totals = {
            group: total
            for group, total in sorted(summary.totals.items())
            if group.outside is outside
        }
        if totals:
            lines += ["", title, *format_totals(totals)]
    if summary.workspaces:
        lines += ["", *format_workspaces(summary.workspaces)]
    return [*lines, "", *format_gaps(summary)]


def format_workspaces(workspaces: dict[str, report.GroupTotal]) -> list[str]:
    """Returns a table of the workspaces with unanswered calls."""
    affected = {
        name: total
        for name, total in sorted(workspaces.items())
        if total.reasons
    }
    if not affected:
        return [f"all calls of {len(workspaces)} workspaces were answered"]
    rows = [
        (
            name,
            total.outcomes[report.ANSWERED],
            total.outcomes[report.NOT_RUN],
            total.outcomes[report.UNKNOWN],
            format_optional_time(total.first_ms),
            format_optional_time(total.last_ms),
            ", ".join(
                f"{reason} {count}"
                for reason, count in sorted(total.reasons.items())
            ),
        )
        for name, total in affected.items()
    ]
    titles = ("workspace", "answered", "not run", "unknown")
    titles += ("not run or unknown from", "to", "reasons")
    return [
        f"workspaces with calls that were not answered, {len(affected)} of"
        f" {len(workspaces)}",
        *display.format_table(titles, rows),
    ]


def format_totals(
    totals: dict[report.CallGroup, report.GroupTotal],
) -> list[str]:
    """Returns a table of totals, and the reasons of unanswered calls."""
    titles = (
        "service",
        "operation",
        "importance",
        "answered",
        "not run",
        "unknown",
        "not run or unknown from",
        "to",
    )
    rows = [
        (
            group.service,
            group.operation,
            group.importance,
            total.outcomes[report.ANSWERED],
            total.outcomes[report.NOT_RUN],
            total.outcomes[report.UNKNOWN],
            format_optional_time(total.first_ms),
            format_optional_time(total.last_ms),
        )
        for group, total in totals.items()
    ]
    lines = display.format_table(titles, rows)
    for group, total in totals.items():
        for reason, count in sorted(total.reasons.items()):
            name = f"{group.service}.{group.operation}"
            lines.append(f"  {name}  {reason}  {count}")
    return lines


def format_optional_time(milliseconds: int | None) -> str:
    """Returns a time as text, or a dash if there is none."""
    return "-" if milliseconds is None else display.format_time(milliseconds)


def format_gaps(summary: report.Report) -> list[str]:
    """Returns the lines about gaps and unreadable lines."""
    lines = []
    if summary.gaps:
        lines.append("not recorded, so nothing is known of calls that entered")
        rows = [
            (gap.host, *map(display.format_time, (gap.since_ms, gap.until_ms)))
            for gap in summary.gaps
        ]
        lines += display.format_table(("host", "from", "to"), rows)
    else:
        lines.append("no gap in the record of these hosts")
    if summary.unreadable_lines:
        lines.append(f"{summary.unreadable_lines} lines could not be read")
    return lines


COMMANDS: tuple[type[commands.Command], ...] = (ShowReport, ShowTrace)
