"""Limits how many calls start per second at a backend server."""

from mangobay import tokenbucket

BURST_SECONDS = 0.5
"""Seconds of the rate that may start at once after a pause."""
MIN_RATE = 0.25
"""Calls per second that start whatever the limit.

Only a response can tell that the limit was lifted.
"""
QUEUE_SECONDS = 0.2
"""Seconds of the rate for which calls may wait.

Other hosts may have room, and a longer queue keeps calls from them.
"""
DELAY_MARGIN = 0.001
"""Seconds added to a wait, which by rounding could end without the token."""


class RateLimiter:
    """A token bucket for calls, if the backend server has named a limit.

    Attributes:
      rate: calls per second, None without a limit.
      bucket: the tokens of calls that may start.
    """

    __slots__ = ("bucket", "rate")

    def __init__(self):
        self.rate: float | None = None
        self.bucket = tokenbucket.TokenBucket(0.0, 0.0, 0.0, 0.0)

    def set_rate(self, rate: float | None, now: float) -> None:
        """Sets the limit in calls per second, None for no limit."""
        previous, self.rate = self.rate, rate
        if rate is None:
            return
        rate = max(rate, MIN_RATE)
        if previous is None:
            # Calls that started before the limit have used up its burst.
            self.bucket = tokenbucket.TokenBucket(
                rate, rate * BURST_SECONDS, 0.0, now
            )
        else:
            self.bucket.change_limits(rate, rate * BURST_SECONDS, now)

    def allows(self, now: float) -> bool:
        """Returns whether a call may start."""
        if self.rate is None:
            return True
        self.bucket.refill(now)
        return self.bucket.level >= 1.0

    def record_start(self, now: float) -> None:
        """Takes the token of a call that starts."""
        if self.rate is not None:
            self.bucket.try_take(now)

    def delay(self, now: float) -> float:
        """Returns the seconds until a call may start."""
        if self.allows(now):
            return 0.0
        return (1.0 - self.bucket.level) / self.bucket.rate + DELAY_MARGIN

    def max_waiting(self, limit: int) -> int:
        """Returns how many calls may wait, at most the limit of the queue."""
        if self.rate is None:
            return limit
        return min(limit, max(1, int(self.rate * QUEUE_SECONDS)))

    def concurrency(self, run_seconds: float, limit: int) -> int:
        """Returns how many calls run at once at the rate limit.

        Args:
          run_seconds: mean time of a call at the backend server, 0 if unknown.
          limit: calls that may run at once.
        """
        if self.rate is None or not run_seconds:
            return limit
        running = max(self.rate, MIN_RATE) * run_seconds
        return max(1, min(limit, round(running)))
