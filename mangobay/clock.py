"""The two clocks: the loop's for decisions, the wall's for all dates."""

import asyncio
import time


def now() -> float:
    """Returns the loop's time in seconds."""
    return asyncio.get_running_loop().time()


def unix_ms() -> int:
    """Returns the wall clock in milliseconds.

    Only the age of an idempotency key is judged by it: the key holds a date.
    """
    return int(time.time() * 1000)
