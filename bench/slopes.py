"""Slopes of memory and processor time against size, for docs/CAPACITY.md.

Run `python -m bench.slopes`: measures each series at its sizes in this one
process, fits a line, prints it and writes docs/measurements/slopes.md.
Bounded to a few minutes; uses loopback and a temporary folder.
"""

import datetime
import pathlib
import platform
import sys

from bench import controlslopes, nodeslopes, operatorslopes, series

PAGE = pathlib.Path("docs/measurements/slopes.md")
HEAD = """\
# Measured slopes

Written by `make slopes` on {day}, Python {python}, one process on a shared
machine; do not edit. Each line is a least-squares fit through the points:
the slope is the cost of one more, with its standard error, and `off by` is
the farthest point's distance from the line as a share of the largest cost.
`us` is processor time; memory is what Python's heap keeps (tracemalloc),
without buffers of the kernel and of C libraries.

| role | one more | unit | slope | error | start | off by | sizes | costs |
|---|---|---|---|---|---|---|---|---|
"""


def line_of(result: series.Result) -> str:
    """Returns the row of the page."""
    made = result.series
    line = result.line
    cells = (
        made.role,
        made.name,
        made.unit,
        f"{line.slope:.4g}",
        f"{line.error:.2g}",
        f"{line.start:.4g}",
        f"{line.worst:.1%}",
        " ".join(map(str, made.sizes)),
        " ".join(f"{cost:.4g}" for cost in result.costs),
    )
    return f"| {' | '.join(cells)} |"


def main() -> int:
    """Measures what the arguments name, or everything."""
    chosen = sys.argv[1:]
    rows = []
    for each in (*nodeslopes.ALL, *controlslopes.ALL, *operatorslopes.ALL):
        if chosen and not any(word in each.name for word in chosen):
            continue
        rows.append(line_of(each.run()))
        print(rows[-1], flush=True)
    if not chosen:
        head = HEAD.format(
            day=datetime.date.today().isoformat(),
            python=platform.python_version(),
        )
        PAGE.parent.mkdir(parents=True, exist_ok=True)
        PAGE.write_text(head + "\n".join(rows) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
