"""Detects a standing queue and sets the admission threshold."""

import math

from mangobay import levels

ADJUST_INTERVAL = 0.1
"""Seconds between two adjustments of the threshold."""
LEVELS_PER_GROUP = 16
"""Admission levels whose arrivals are counted together."""
GROUP_COUNT = levels.LEVEL_COUNT // LEVELS_PER_GROUP
RETAINED_SHARE = 0.5
"""Share of the counts that is kept after an adjustment."""
RETAINED_SHARE_AT_LOW_COUNT = 0.9
"""The same if few calls are served: counts of a handful of calls are too noisy
to derive a threshold from."""
LOW_COUNT = 32
"""Served calls up to which a count is low."""
HEADROOM_FACTOR = 1.05
"""Calls are admitted for this many times the calls served, so that no slot is
idle while the threshold is raised."""


class OverloadController:
    """Watches the queue of one backend server and sets the threshold.

    A queue is standing if it has not been empty for `interval`.  The shortest
    wait, which CoDel watches, does not show this here: with the newest call
    first, a new call does not wait, however many stale ones do.

    While the queue is standing, the threshold rises towards the level above
    which no more calls arrive than are served.  Otherwise it decays over
    `reopen_time`: this host does not see the calls that callers refuse early,
    and dropping the threshold at once would admit the whole surge again.

    Attributes:
      interval: seconds without an empty queue after which it is standing.
      reopen_time: seconds in which the threshold decays.
      threshold: calls below this level are refused on arrival.
      standing_threshold: the threshold when the queue was last standing.
      last_standing: loop time of that.
      last_empty: loop time at which the queue was last empty.
      adjusted_at: loop time of the last adjustment.
      arrivals: decaying count of arrivals by group of levels.
      served: decaying count of served calls.
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
        """Records whether the queue is empty; adjusts the threshold if due."""
        if is_empty:
            self.last_empty = now
        if now - self.adjusted_at >= ADJUST_INTERVAL:
            self.adjust(now)

    def adjust(self, now: float) -> None:
        """Raises or lowers the threshold and decays the counts."""
        self.adjusted_at = now
        if self.is_standing(now):
            self.raise_threshold(now)
        else:
            self.lower_threshold(now)
        self.decay_counts()

    def raise_threshold(self, now: float) -> None:
        """Raises the threshold half way to the sustainable one.

        A single count is noisy, and the threshold never falls while the queue
        is standing: taking over each target in full would keep the highest of
        many noisy ones.
        """
        target = self.sustainable_threshold()
        if target > self.threshold:
            self.threshold += math.ceil((target - self.threshold) / 2)
        self.standing_threshold = self.threshold
        self.last_standing = now

    def lower_threshold(self, now: float) -> None:
        """Decays the threshold since the queue was last standing."""
        self.threshold = levels.decayed_threshold(
            self.standing_threshold,
            now - self.last_standing,
            self.reopen_time,
            levels.LOCAL_DECAY_POWER,
        )

    def decay_counts(self) -> None:
        """Decays the counts, more slowly if few calls are served."""
        retained_share = (
            RETAINED_SHARE
            if self.served > LOW_COUNT
            else RETAINED_SHARE_AT_LOW_COUNT
        )
        self.arrivals = [count * retained_share for count in self.arrivals]
        self.served *= retained_share

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
