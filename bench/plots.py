"""Plots goodput over time."""

import pathlib

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from bench import outcomes, verdict  # noqa: E402

STEP = 0.5
"""Seconds of one point."""
SALT = "mangobay"
"""Keeps the ids in the file the same from run to run."""


def goodput(outcome: outcomes.Outcome) -> tuple[list[float], list[float]]:
    """Returns seconds from the trouble's start, and good calls a second."""
    start = outcome.before.start
    times, rates = [], []
    while start + STEP <= outcome.after.end:
        calls = verdict.Phase("", start, start + STEP).calls(outcome.calls)
        times.append(start - outcome.trouble.start)
        rates.append(sum(call.good for call in calls) / STEP)
        start += STEP
    return times, rates


def draw(made: list[outcomes.Outcome], title: str, path: pathlib.Path) -> None:
    """Writes a plot of all arms."""
    matplotlib.rcParams["svg.hashsalt"] = SALT
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for outcome in made:
        axes.plot(*goodput(outcome), label=outcome.arm.name)
    trouble = made[0].trouble
    axes.axvspan(0, trouble.end - trouble.start, alpha=0.1, color="black")
    axes.set_xlabel("seconds from the start of the trouble")
    axes.set_ylabel("whole answers in time, per second")
    axes.set_title(title)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
