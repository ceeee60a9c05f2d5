"""Periodic checks of many items with one timer.

A timer per item would wake the process for each of them: on a node with a
hundred peers, more often than the requests do.
"""

import asyncio
import collections.abc
import typing

Item = typing.TypeVar("Item")


class PeriodicCheck(typing.Generic[Item]):
    """Checks every item at an interval, as long as there are items.

    Attributes:
      interval: seconds between two checks of an item.
      check_item: called with each item.
      items: the items; changed by `add` and `discard` only.
      timer: timer of the next check; None without items.
    """

    def __init__(
        self,
        interval: float,
        check_item: collections.abc.Callable[[Item], None],
    ):
        self.interval = interval
        self.check_item = check_item
        self.items: set[Item] = set()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, item: Item) -> None:
        """Adds an item, which is checked from the next time on."""
        self.items.add(item)
        if self.timer is None:
            self.schedule()

    def discard(self, item: Item) -> None:
        """Removes an item; stops the timer after the last one."""
        self.items.discard(item)
        if not self.items and self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def schedule(self) -> None:
        """Sets the timer of the next check."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.interval, self.check_all)

    def check_all(self) -> None:
        """Checks every item, after what has arrived was received.

        After a pause of the process, timers run before input that arrived
        meanwhile: the wait for it is interrupted and returns nothing.
        """
        self.schedule()
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self.check_items)

    def check_items(self) -> None:
        """Checks every item."""
        for item in list(self.items):
            self.check_item(item)
