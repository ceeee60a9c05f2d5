"""When a queue stands, and the threshold that this raises."""

import math

from mangobay import levels

PERIOD = 0.1
"""Seconds between two adjustments."""
STEP = 16
"""Levels in one group of the count of arrivals."""
GROUPS = levels.TOP // STEP
KEEP = 0.5
"""Share of the counts that is kept from one period to the next."""
KEEP_FEW = 0.9
"""The same where few calls are served: a count of a handful is too noisy to
set a threshold by."""
MANY_SERVED = 32
"""Calls from which on a count is no longer small."""
SPARE = 1.05
"""Calls are let in for this many times what was served, so that the slots
never run dry while the threshold is up."""


class Pressure:
    """Watches the queue of one backend server and sets the threshold.

    A queue stands when it has not been empty for `interval`.  The shortest
    wait, which CoDel watches, says nothing here: with the newest call first,
    a call that comes late waits for nothing behind any number of stale ones.

    While the queue stands, the threshold rises towards the level above which
    no more arrives than is served.  Otherwise it falls in steps over
    `reopen_time`: what was refused early is not seen here, so that opening
    at once would let the whole surge in again.

    Attributes:
      threshold: calls below this level are refused on arrival.
      height: the threshold when the queue last stood.
      stood: loop time of that.
    """

    def __init__(self, interval: float, reopen_time: float):
        self.interval = interval
        self.reopen_time = reopen_time
        self.threshold = levels.OPEN
        self.height = levels.OPEN
        self.last_empty = 0.0
        self.looked = 0.0
        self.stood = 0.0
        self.arrived = [0.0] * GROUPS
        self.served = 0.0

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
        """Raises or lowers the threshold by what was seen lately."""
        self.looked = now
        if self.standing(now):
            self.tighten(now)
        else:
            self.reopen(now)
        self.forget()

    def tighten(self, now: float) -> None:
        """Raises the threshold half way to what can be sustained.

        Half, since one count is noisy and the threshold never falls while
        the queue stands: jumping to each new target would keep the highest
        of many noisy ones.
        """
        target = self.sustainable()
        if target > self.threshold:
            self.threshold += math.ceil((target - self.threshold) / 2)
        self.height = self.threshold
        self.stood = now

    def reopen(self, now: float) -> None:
        """Lowers the threshold by the time since the queue last stood."""
        self.threshold = levels.fallen(
            self.height, now - self.stood, self.reopen_time, levels.OWN
        )

    def forget(self) -> None:
        """Fades the counts; slowly where few calls are served."""
        keep = KEEP if self.served > MANY_SERVED else KEEP_FEW
        self.arrived = [count * keep for count in self.arrived]
        self.served *= keep

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
        if self.threshold <= level:
            return 0.0
        return (1.0 - level / self.threshold) * self.reopen_time
