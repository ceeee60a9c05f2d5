"""Bounds the retries of a service over a sliding window, important ones first.

Answers the load of a service that rejects or fails a large share of its calls
for some seconds.  The seconds before needed few retries, so most of what the
window allows is left, but it is not enough for every call that fails.  Call
trees need several calls in sequence: with an equal share of the retries for
each, nearly every tree fails in one of its calls.  So the retries go to the
trees of the highest levels, of which each gets as many as it needs.
"""

import math

from mangobay import levels

FORMER_SHARE = 1 / 3
"""Share of the paying requests that is counted in the window before.

While a service fails, call trees end early, and fewer requests reach it: by
these alone, retries would dwindle while they are needed most.  Both parts add
up over nodes, so the bound holds for all of them together.
"""
SLICES = 20
"""Slices of the window in which requests and retries are counted."""
CRITICAL_SPENDING_SECONDS = 1.0
"""Seconds for which the retries that are left have to suffice for critical
calls; if they do not, those of the highest levels get them."""
SPENDING_SHARE = 0.5
"""Share of the window for which they have to suffice, for the critical calls
too, before a less important call gets one.

With a shorter time, less important calls would use up in the first moments of a
failure what critical calls need until its end.
"""
THRESHOLD_SECONDS = 2.0
"""Time without a call asking for a retry after which the threshold ends."""
ADJUST_INTERVAL = 0.1
"""Seconds between two adjustments of the threshold."""
RETAINED_SHARE = 0.6
"""Share of the counted demand that is kept after an adjustment."""
COUNTED_SECONDS = ADJUST_INTERVAL / (1.0 - RETAINED_SHARE)
"""Seconds of steady demand that the decaying counts amount to."""
LEVELS_PER_GROUP = 16
"""Levels whose demand is counted together."""
GROUP_COUNT = levels.LEVEL_COUNT // LEVELS_PER_GROUP
FIRST_CRITICAL_GROUP = levels.MAX_THRESHOLD // LEVELS_PER_GROUP
MIN_DEMAND = 3.0
"""Counted demand up to which no call is refused a retry for its level: a
threshold from a few calls would be chance."""


class SlidingCount:
    """Counts events of the last window, in slices.

    Attributes:
      slice_seconds: length of a slice.
      counts: events by slice, a ring.
      slice_number: number of the newest slice since time 0.
      total: events of all slices.
      former: counts the events that have left the window, for as long; None
        if they are forgotten.
    """

    __slots__ = ("counts", "former", "slice_number", "slice_seconds", "total")

    def __init__(self, window: float, former: "SlidingCount | None" = None):
        self.slice_seconds = window / SLICES
        # The newest slice is incomplete, so the ring holds one more.
        self.counts = [0.0] * (SLICES + 1)
        self.slice_number = 0
        self.total = 0.0
        self.former = former

    def advance(self, now: float) -> None:
        """Drops the slices that have left the window."""
        number = int(now / self.slice_seconds)
        elapsed = number - self.slice_number
        if elapsed <= 0:
            return
        size = len(self.counts)
        for offset in range(1, min(elapsed, size) + 1):
            index = (self.slice_number + offset) % size
            count, self.counts[index] = self.counts[index], 0.0
            self.total -= count
            if count and self.former is not None:
                left_at = (self.slice_number + offset) * self.slice_seconds
                self.former.add(count, left_at)
        self.slice_number = number

    def add(self, amount: float, now: float) -> None:
        """Adds events of now; a negative amount takes some back."""
        self.advance(now)
        self.counts[self.slice_number % len(self.counts)] += amount
        self.total += amount

    def total_of_whole_slices(self, now: float) -> float:
        """Returns the events of one window, without its oldest slice.

        A window that begins within a slice contains only a part of it.  To
        count that slice would allow retries for requests that have left.
        """
        self.advance(now)
        oldest = (self.slice_number + 1) % len(self.counts)
        return self.total - self.counts[oldest]


class RetryWindow:
    """The retries of one service that this node may make.

    Attributes:
      ratio: retries allowed for each request of the window.
      window: length of the window in seconds.
      requests: the requests.
      retries: the retries, including calls made again by retried calls.
      demand: decaying number of retries asked for, by group of levels.
      threshold: calls below this level are refused a retry.
      adjusted_at: loop time of the last adjustment of the threshold.
    """

    def __init__(self, ratio: float, window: float):
        self.ratio = ratio
        self.window = window
        self.requests = SlidingCount(window, former=SlidingCount(window))
        self.retries = SlidingCount(window)
        self.demand = [0.0] * GROUP_COUNT
        self.threshold = levels.ADMIT_ALL
        self.adjusted_at = -math.inf

    def record_request(self, now: float, repeat: bool) -> None:
        """Records a request; a repeat counts as a retry in place of one."""
        (self.retries if repeat else self.requests).add(1.0, now)

    def allowance(self, saved: float, now: float) -> float:
        """Returns how many retries may be made now.

        Args:
          saved: retries allowed regardless of the requests.
          now: loop time.
        """
        self.retries.advance(now)
        current = self.requests.total_of_whole_slices(now)
        former = self.requests.former.total_of_whole_slices(now)
        paying = (1 - FORMER_SHARE) * current + FORMER_SHARE * former
        return self.ratio * paying + saved - self.retries.total

    def try_withdraw(self, level: int, saved: float, now: float) -> bool:
        """Takes a retry for a call; returns whether it may be made.

        Args:
          level: admission level of the call.
          saved: retries allowed regardless of the requests.
          now: loop time.
        """
        self.demand[level // LEVELS_PER_GROUP] += 1.0
        allowance = self.allowance(saved, now)
        if now - self.adjusted_at >= ADJUST_INTERVAL:
            self.adjust(allowance, now)
        if allowance < 1.0 or level < self.threshold:
            return False
        self.retries.add(1.0, now)
        return True

    def refund(self, now: float) -> None:
        """Takes back a retry that led to no attempt."""
        self.retries.add(-1.0, now)

    def threshold_at(self, now: float) -> int:
        """Returns the threshold; zero once retries are asked for no more."""
        if now - self.adjusted_at > THRESHOLD_SECONDS:
            return levels.ADMIT_ALL
        return self.threshold

    def adjust(self, allowance: float, now: float) -> None:
        """Moves the threshold to where the retries that are left suffice."""
        elapsed = now - self.adjusted_at
        self.adjusted_at = now
        target = self.sustainable_threshold(allowance)
        if target < self.threshold and elapsed <= THRESHOLD_SECONDS:
            # A single count is noisy, and what is given away too early is gone.
            target += (self.threshold - target) // 2
        self.threshold = target
        retained = RETAINED_SHARE ** min(elapsed / ADJUST_INTERVAL, 100.0)
        self.demand = [count * retained for count in self.demand]

    def sustainable_threshold(self, allowance: float) -> int:
        """Returns the level above which the retries left meet the demand."""
        left = max(allowance, 0.0) * COUNTED_SECONDS
        critical_supply = max(left / CRITICAL_SPENDING_SECONDS, MIN_DEMAND)
        supply = max(left / (SPENDING_SHARE * self.window), MIN_DEMAND)
        demand = 0.0
        for group in range(GROUP_COUNT - 1, -1, -1):
            demand += self.demand[group]
            is_critical = group >= FIRST_CRITICAL_GROUP
            if demand > (critical_supply if is_critical else supply):
                return (group + 1) * LEVELS_PER_GROUP
        return levels.ADMIT_ALL
