"""Retry ratio of each service, and the wait before another try."""

import random

from mangobay import ids
from mangobay.generated import settings

LONGEST_BACKOFF = 1.0
"""Seconds; doubling stops here."""


class RetryRatio:
    """A token bucket for each service, filled by answers.

    When a service stops answering, retries stop after `burst`: without this
    every caller would multiply the load of the service that just slowed.
    """

    def __init__(self, retries: settings.NodeRetries):
        self.ratio = retries.ratio * retries.spent
        self.burst = float(retries.burst)
        self.tokens: dict[ids.ServiceName, float] = {}

    def answered(self, service: ids.ServiceName) -> None:
        """Counts an answer, which pays for `ratio` tries."""
        saved = self.tokens.get(service, self.burst)
        self.tokens[service] = min(self.burst, saved + self.ratio)

    def take(self, service: ids.ServiceName) -> bool:
        """Returns whether one more try may go to the service."""
        saved = self.tokens.get(service, self.burst)
        if saved < 1:
            return False
        self.tokens[service] = saved - 1
        return True

    def put_back(self, service: ids.ServiceName) -> None:
        """Takes back a try that was taken and made no attempt."""
        saved = self.tokens.get(service, self.burst)
        self.tokens[service] = min(self.burst, saved + 1)


def backoff(
    base: float, attempt: int, remaining: float, dice: random.Random
) -> float | None:
    """Returns the wait before another try, in seconds, with full jitter.

    Args:
      base: longest first wait, seconds; doubled with each attempt.
      attempt: tries made so far, from 1.
      remaining: time to the deadline less the time a try needs, seconds.
      dice: the source of the jitter.

    Returns:
      The wait, always below `remaining`; None when no time is left.
    """
    if remaining <= 0:
        return None
    doublings = min(max(attempt, 1) - 1, 30)
    longest = min(base * 2**doublings, LONGEST_BACKOFF, remaining)
    return dice.random() * longest
