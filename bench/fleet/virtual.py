"""An event loop whose clock jumps to the next thing that is due."""

import asyncio
import selectors

START = 1_000_000.0
"""Seconds; like the uptime of a host, not near zero."""


class Selector(selectors.SelectSelector):
    """Waits for nothing: moves the clock of its loop instead."""

    def __init__(self):
        super().__init__()
        self.now = START

    def select(self, timeout=None):
        """Moves the clock on.

        Raises:
          RuntimeError: nothing will ever be due.
        """
        if timeout is None:
            raise RuntimeError("every task waits for something else")
        self.now += max(timeout, 0.0)
        return []


class Loop(asyncio.SelectorEventLoop):
    """The loop; `time` is virtual."""

    def __init__(self):
        self.instant = Selector()
        super().__init__(self.instant)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.instant.now


def run(main):
    """Runs a coroutine on a loop of its own; returns its result."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main)
