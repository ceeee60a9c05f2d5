"""The two clocks: the loop's for decisions, the wall's for the history."""

import asyncio
import time


def now() -> float:
    """Returns the loop's time in seconds."""
    return asyncio.get_running_loop().time()


def unix_ms() -> int:
    """Returns the wall clock in milliseconds; nothing is decided by it."""
    return int(time.time() * 1000)
