"""When a queue stands, and the threshold that this raises."""

from mangobay import levels

PERIOD = 0.1
"""Seconds between two looks at what arrived and what was served."""
STEP = 16
"""Levels in one group of the count of arrivals."""
GROUPS = levels.TOP // STEP
SPARE = 1.05
"""Calls are let in for this many times what was served, so that the slots
never run dry while the threshold is up."""


class Pressure:
    """Watches the queue of one backend server and sets the threshold.

    A queue stands when it has not been empty for `interval`.  The shortest
    wait, which CoDel watches, says nothing here: with the newest call first,
    a call that comes late waits for nothing behind any number of stale ones.

    While the queue stands, the threshold rises at once to the level above
    which no more arrives than is served.  Otherwise it falls in steps over
    `reopen_time`: what was refused early is not seen here, so that opening
    at once would let the whole surge in again.

    Attributes:
      threshold: calls below this level are refused on arrival.
    """

    def __init__(self, interval: float, reopen_time: float):
        self.interval = interval
        self.reopen_time = reopen_time
        self.threshold = levels.OPEN
        self.height = levels.OPEN
        self.last_empty = 0.0
        self.looked = 0.0
        self.arrived = [0] * GROUPS
        self.served = 0

    def standing(self, now: float) -> bool:
        """Returns whether the queue has not been empty for `interval`."""
        return now - self.last_empty > self.interval

    def look(self, empty: bool, now: float) -> None:
        """Notes whether the queue is empty, and adjusts the threshold."""
        if empty:
            self.last_empty = now
        if now - self.looked >= PERIOD:
            self.adjust(now)

    def adjust(self, now: float) -> None:
        """Raises or lowers the threshold by what the last period saw."""
        elapsed = now - self.looked
        if self.standing(now):
            self.threshold = max(self.threshold, self.sustainable())
            self.height = self.threshold
        elif self.threshold:
            fall = self.height * elapsed / self.reopen_time
            self.threshold = max(levels.OPEN, int(self.threshold - fall))
        self.looked = now
        self.arrived = [0] * GROUPS
        self.served = 0

    def sustainable(self) -> int:
        """Returns the level above which no more arrived than was served."""
        room = self.served * SPARE
        for group in range(GROUPS - 1, -1, -1):
            room -= self.arrived[group]
            if room < 0:
                return min(levels.HIGHEST, (group + 1) * STEP)
        return levels.OPEN

    def reopens_in(self, level: int) -> float:
        """Returns the seconds until the threshold may fall to the level."""
        if self.threshold <= level or not self.height:
            return 0.0
        return (self.threshold - level) / self.height * self.reopen_time
