"""A token bucket whose denials say when to come back."""

MAX_RETRY_AFTER_SECONDS = 2.0
"""Longest time that a denied caller is told to wait."""


class TokenBucket:
    """Allows a rate of requests, and as many at once as it is deep.

    Attributes:
      rate: tokens per second.
      depth: most tokens in the bucket.
      level: tokens in the bucket.
      refilled_at: time of the last refill, seconds.
      promised_at: when the caller that was denied last may come back.
    """

    __slots__ = ("depth", "level", "promised_at", "rate", "refilled_at")

    def __init__(self, rate: float, depth: float, level: float, now: float):
        self.rate = rate
        self.depth = depth
        self.level = level
        self.refilled_at = now
        self.promised_at = now

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last refill."""
        seconds = max(now - self.refilled_at, 0.0)
        # A bucket that holds less than one token could never grant any.
        capacity = max(self.depth, 1.0)
        self.level = min(capacity, self.level + seconds * self.rate)
        self.refilled_at = now

    def change_limits(self, rate: float, depth: float, now: float) -> None:
        """Applies another rate and depth from now on."""
        if (rate, depth) == (self.rate, self.depth):
            return
        self.refill(now)
        self.rate = rate
        self.depth = depth
        self.refill(now)

    def try_take(self, now: float, kept: float = 0.0) -> bool:
        """Takes a token; returns False if no more than `kept` would be left."""
        self.refill(now)
        if self.level < 1.0 + kept:
            return False
        self.level -= 1.0
        return True

    def give_back(self, count: int, now: float) -> None:
        """Returns tokens that were not used."""
        self.level += count
        self.refill(now)

    def promise(self, now: float) -> float:
        """Returns the seconds after which a denied caller may come back.

        Denied callers get different times, one token apart. If all were told
        when the next token is there, all but one would come back in vain.
        """
        next_token_at = now + (1.0 - self.level) / self.rate
        self.promised_at = max(self.promised_at, next_token_at)
        wait = min(self.promised_at - now, MAX_RETRY_AFTER_SECONDS)
        self.promised_at = min(
            self.promised_at + 1.0 / self.rate, now + MAX_RETRY_AFTER_SECONDS
        )
        return wait
