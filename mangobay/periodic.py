"""One timer for many things that are looked at from time to time.

A timer of each would wake the process for each: at a node that speaks with a
hundred others, more often than the requests themselves do.
"""

import asyncio
import collections.abc
import typing

Item = typing.TypeVar("Item")


class PeriodicCheck(typing.Generic[Item]):
    """Looks at every item at an interval, for as long as there are any.

    Attributes:
      interval: between two rounds.
      check_item: called with each item.
      items: what is looked at; changed by `add` and `discard` only.
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
        """Has the item looked at from the next round on."""
        self.items.add(item)
        if self.timer is None:
            self.schedule()

    def discard(self, item: Item) -> None:
        """Has the item looked at no more."""
        self.items.discard(item)
        if not self.items and self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def schedule(self) -> None:
        """Sets the timer of the next round."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.interval, self.check_all)

    def check_all(self) -> None:
        """Looks at every item."""
        self.schedule()
        for item in list(self.items):
            self.check_item(item)
