"""Runs a case: exit code 1 if the rule was broken, 0 if it held, else 2."""

import asyncio
import collections.abc
import enum
import os
import pathlib
import signal
import sys
import traceback

from standins import fleet, record

MAX_SECONDS = 105.0


class Verdict(enum.IntEnum):
    """The exit codes."""

    HELD = 0
    BROKEN = 1
    NOT_RUN = 2


def has_trouble() -> bool:
    """Returns whether the disruption is to happen; not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


Play = collections.abc.Callable[
    [fleet.Fleet, record.Record], collections.abc.Awaitable[Verdict]
]


def run(folder: pathlib.Path, make: collections.abc.Callable, play: Play):
    """Plays a case, writes its record, and exits with the verdict.

    Args:
      folder: the folder of the case.
      make: returns the deployment, given the record.
      play: plays the case on it.
    """
    # What was started is ended also if the case is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(Verdict.NOT_RUN))
    log = record.Record(folder / "record.txt")
    log.add("with the disruption" if has_trouble() else "TROUBLE=0")
    verdict = Verdict.NOT_RUN
    try:
        verdict = asyncio.run(play_whole(log, make, play))
    except BaseException:  # noqa: BLE001
        log.add(f"could not run: {traceback.format_exc()}")
    log.close(f"verdict: {verdict.name.lower()} (exit code {int(verdict)})")
    print(f"{folder.name}: {verdict.name.lower()}")
    sys.exit(int(verdict))


async def play_whole(
    log: record.Record, make: collections.abc.Callable, play: Play
) -> Verdict:
    """Starts the deployment, plays the case, and ends what was started."""
    deployment = make(log)
    try:
        async with asyncio.timeout(MAX_SECONDS):
            return await play(deployment, log)
    finally:
        await deployment.close()
