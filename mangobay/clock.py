"""The clocks: loop time for decisions, wall-clock time for dates.

Boot time is for what must not outlive a suspension of the host.
"""

import asyncio
import collections.abc
import math
import time

SUSPENSION_SECONDS = 0.05
"""Difference between boot time and loop time above which the host counts as
suspended meanwhile."""


def now() -> float:
    """Returns the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


def boot_time() -> float:
    """Returns the seconds since the host started, suspensions included.

    Loop time does not pass while the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionDetector:
    """Tells when the host was last suspended.

    Attributes:
      read_boot_time: returns the boot time in seconds.
      offset: boot time less loop time, seconds.
      last_resumed_at: loop time at which a suspension was last noticed.
    """

    def __init__(
        self, read_boot_time: collections.abc.Callable[[], float] = boot_time
    ):
        self.read_boot_time = read_boot_time
        self.offset = math.inf
        self.last_resumed_at = -math.inf

    def resumed_at(self) -> float:
        """Returns the loop time of the last resumption, -inf if none."""
        loop_time = now()
        offset = self.read_boot_time() - loop_time
        if offset - self.offset > SUSPENSION_SECONDS:
            self.last_resumed_at = loop_time
        self.offset = offset
        return self.last_resumed_at


def unix_ms() -> int:
    """Returns the wall-clock time as Unix time in milliseconds.

    The only decision that depends on it is on the age of an idempotency key,
    as the key contains a date.
    """
    return int(time.time() * 1000)
