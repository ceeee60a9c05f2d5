"""The order in which requests that were sent ahead are started.

A caller may send further requests before the response to the first one. The
first is started as it comes; the others take turns with those of all other
connections, a few in each iteration of the event loop, so that a caller that
sends thousands at once delays nobody.
"""

import asyncio
import typing

REQUESTS_PER_ITERATION = 16
"""Requests sent ahead that are started in one iteration of the event loop."""


class Taker(typing.Protocol):
    """A connection with requests that wait."""

    def take_turn(self) -> bool:
        """Starts the next request; returns whether another one may follow."""


class Turns:
    """The connections of a listener whose next request may start.

    Attributes:
      waiting: those connections, in the order of their turns.
      handle: runs the next turns; None while nobody waits.
    """

    def __init__(self):
        self.waiting: dict[Taker, None] = {}
        self.handle: asyncio.Handle | None = None

    def add(self, taker: Taker) -> None:
        """Lets a connection take a turn; does nothing if it waits for one."""
        self.waiting.setdefault(taker)
        if self.handle is None:
            self.handle = asyncio.get_running_loop().call_soon(self.run)

    def discard(self, taker: Taker) -> None:
        """Forgets a connection."""
        self.waiting.pop(taker, None)

    def run(self) -> None:
        """Runs the turns of one iteration of the event loop."""
        self.handle = None
        for _ in range(min(REQUESTS_PER_ITERATION, len(self.waiting))):
            taker = next(iter(self.waiting), None)
            if taker is None:
                return
            del self.waiting[taker]
            if taker.take_turn():
                self.add(taker)
        if self.waiting and self.handle is None:
            self.handle = asyncio.get_running_loop().call_soon(self.run)
