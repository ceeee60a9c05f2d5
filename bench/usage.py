"""Processor time of the processes of a run."""

import os
import pathlib

from bench import launcher

TICKS = os.sysconf("SC_CLK_TCK")
USER_FIELD = 11
SYSTEM_FIELD = 12
"""Places in /proc/PID/stat behind the name in brackets."""


def cpu_seconds(pid: int | str) -> float:
    """Returns the processor seconds of a process; 0 when it has ended."""
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    places = stat.rpartition(")")[2].split()
    return (int(places[USER_FIELD]) + int(places[SYSTEM_FIELD])) / TICKS


def of_fleet(fleet: launcher.Fleet) -> dict[str, float]:
    """Returns processor seconds by name; the caller's own as `load`."""
    used = {
        name: cpu_seconds(started.process.pid)
        for name, started in fleet.started.items()
    }
    used["load"] = cpu_seconds("self")
    return used
