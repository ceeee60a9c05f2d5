"""The two clocks: loop time for all decisions, wall-clock time for dates."""

import asyncio
import time


def now() -> float:
    """Returns the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


def unix_ms() -> int:
    """Returns the wall-clock time as Unix time in milliseconds.

    The only decision that depends on it is on the age of an idempotency key,
    as the key contains a date.
    """
    return int(time.time() * 1000)
