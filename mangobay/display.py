"""Formats tables, times and hosts for the output of commands."""

import datetime

from mangobay import operatorclient


def format_table(titles: tuple[str, ...], rows: list[tuple]) -> list[str]:
    """Returns the lines of a table, with aligned columns."""
    cells = [titles, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths)
        ).rstrip()
        for row in cells
    ]


def format_time(milliseconds: int) -> str:
    """Returns a Unix time as ISO 8601 text in UTC."""
    return datetime.datetime.fromtimestamp(
        milliseconds / 1000, datetime.UTC
    ).isoformat(timespec="milliseconds")


def format_in_force(rollout: operatorclient.RolloutStatus) -> list[str]:
    """Returns lines that state the rollout of a revision."""
    lines = [f"in force on {rollout.count} of {rollout.of} hosts"]
    if rollout.stragglers:
        lines.append(f"not yet on {', '.join(rollout.stragglers)}")
    return lines


def format_hosts(hosts: list[operatorclient.Host]) -> list[str]:
    """Returns the lines of a table of hosts."""
    return format_table(
        ("host", "data centre", "revision", "lease", "leaving", "serves"),
        [
            (
                host.host,
                host.data_centre,
                host.revision,
                "held" if host.lease else "none",
                "yes" if host.leaving else "no",
                ", ".join(host.serves),
            )
            for host in hosts
        ],
    )
