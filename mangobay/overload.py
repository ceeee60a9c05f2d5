"""When a queue stands, and the threshold that this raises."""

import math

from mangobay import levels

ADJUST_INTERVAL = 0.1
"""Seconds between two adjustments."""
LEVELS_PER_GROUP = 16
"""Levels in one group of the count of arrivals."""
GROUP_COUNT = levels.LEVEL_COUNT // LEVELS_PER_GROUP
RETAINED_SHARE = 0.5
"""Share of the counts that is kept from one period to the next."""
RETAINED_SHARE_AT_LOW_COUNT = 0.9
"""The same where few calls are served: a count of a handful is too noisy to
set a threshold by."""
LOW_COUNT = 32
"""Calls from which on a count is no longer small."""
HEADROOM_FACTOR = 1.05
"""Calls are let in for this many times what was served, so that the slots
never run dry while the threshold is up."""


class OverloadController:
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
      standing_threshold: the threshold when the queue last stood.
      last_standing: loop time of that.
    """

    def __init__(self, interval: float, reopen_time: float):
        self.interval = interval
        self.reopen_time = reopen_time
        self.threshold = levels.ADMIT_ALL
        self.standing_threshold = levels.ADMIT_ALL
        self.last_empty = 0.0
        self.adjusted_at = 0.0
        self.last_standing = 0.0
        self.arrivals = [0.0] * GROUP_COUNT
        self.served = 0.0

    def is_standing(self, now: float) -> bool:
        """Returns whether the queue has not been empty for `interval`."""
        return now - self.last_empty > self.interval

    def update(self, is_empty: bool, now: float) -> None:
        """Notes whether the queue is empty, and adjusts the threshold."""
        if is_empty:
            self.last_empty = now
        if now - self.adjusted_at >= ADJUST_INTERVAL:
            self.adjust(now)

    def adjust(self, now: float) -> None:
        """Raises or lowers the threshold by what was seen lately."""
        self.adjusted_at = now
        if self.is_standing(now):
            self.raise_threshold(now)
        else:
            self.lower_threshold(now)
        self.decay_counts()

    def raise_threshold(self, now: float) -> None:
        """Raises the threshold half way to what can be sustained.

        Half, since one count is noisy and the threshold never falls while
        the queue stands: jumping to each new target would keep the highest
        of many noisy ones.
        """
        target = self.sustainable_threshold()
        if target > self.threshold:
            self.threshold += math.ceil((target - self.threshold) / 2)
        self.standing_threshold = self.threshold
        self.last_standing = now

    def lower_threshold(self, now: float) -> None:
        """Lowers the threshold by the time since the queue last stood."""
        self.threshold = levels.decayed_threshold(
            self.standing_threshold,
            now - self.last_standing,
            self.reopen_time,
            levels.LOCAL_DECAY_POWER,
        )

    def decay_counts(self) -> None:
        """Fades the counts; slowly where few calls are served."""
        share = (
            RETAINED_SHARE
            if self.served > LOW_COUNT
            else RETAINED_SHARE_AT_LOW_COUNT
        )
        self.arrivals = [count * share for count in self.arrivals]
        self.served *= share

    def sustainable_threshold(self) -> int:
        """Returns the level above which no more arrived than was served."""
        capacity = self.served * HEADROOM_FACTOR
        for group in range(GROUP_COUNT - 1, -1, -1):
            capacity -= self.arrivals[group]
            if capacity < 0:
                return min(levels.MAX_THRESHOLD, (group + 1) * LEVELS_PER_GROUP)
        return levels.ADMIT_ALL

    def seconds_until_admitted(self, level: int) -> float:
        """Returns the seconds until the threshold may fall to the level."""
        if self.threshold <= level:
            return 0.0
        return (1.0 - level / self.threshold) * self.reopen_time
