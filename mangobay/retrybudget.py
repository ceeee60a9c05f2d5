"""Retry ratio of each service, and the wait before another try."""

import math
import random

from mangobay import ids
from mangobay.generated import messages, settings

MAX_BACKOFF = 1.0
"""Seconds; doubling stops here."""
CRITICAL_RESERVE_SHARE = 0.5
"""Share of the burst that is kept for critical calls."""
SLACK_SHARE = 0.8
"""Of the slack, what the nodes share: they do not count each other at the same
moment."""
MIN_BURST = 1.0
"""Below it nothing could ever be tried again."""
CRITICAL_RESERVE_SECONDS = 1.0
"""For this time after a critical call wanted a try."""


class RetryBudget:
    """A token bucket for each service, filled by requests.

    However a service fails, it gets no more attempts than its callers made
    requests, times one and `ratio`, besides `burst`: without this every caller
    would multiply the load of the service that just slowed.  Requests pay and
    not answers, since another attempt serves a caller most just when many
    fail, and a bound on the load does not need to know how they end.

    The calls of a run that is another attempt are made once more as well.
    Each takes a token, so that the services below keep to the bound too; it
    may be one that is yet to be paid, since such a call is not to be refused.

    Where many calls fail, critical ones come first: a request of theirs often
    needs several calls in a row, and with a fair share of the tries nearly all
    of them would lose one of these.
    """

    def __init__(self, retries: settings.NodeRetries):
        self.ratio = retries.ratio * retries.spent
        self.max_burst = float(retries.burst)
        self.slack = retries.slack
        self.burst = self.max_burst
        self.tokens: dict[ids.ServiceName, float] = {}
        self.critical_request_times: dict[ids.ServiceName, float] = {}

    def set_node_count(self, node_count: int) -> None:
        """Takes the number of nodes that save up tries.

        Each with a few of them, many nodes would spend hundreds at the moment
        when a service begins to fail.
        """
        if self.slack:
            share = SLACK_SHARE * self.slack / max(node_count, 1)
            self.burst = min(self.max_burst, max(MIN_BURST, share))

    def record_request(
        self, service: ids.ServiceName, repeat: bool = False
    ) -> None:
        """Counts a request, which pays for `ratio` tries.

        Args:
          service: who is asked.
          repeat: the request is itself made once more, and costs a try.
        """
        tokens = self.tokens.get(service, self.burst)
        change = -1.0 if repeat else self.ratio
        self.tokens[service] = min(self.burst, tokens + change)

    def try_withdraw(
        self,
        service: ids.ServiceName,
        importance: messages.Importance = messages.Importance.NORMAL,
        now: float = 0.0,
    ) -> bool:
        """Returns whether one more try may go to the service."""
        tokens = self.tokens.get(service, self.burst)
        reserve = 0.0
        if importance is messages.Importance.CRITICAL:
            self.critical_request_times[service] = now
        elif (
            now - self.critical_request_times.get(service, -math.inf)
            < CRITICAL_RESERVE_SECONDS
        ):
            max_reserve = max(self.burst - MIN_BURST, 0.0)
            reserve = min(CRITICAL_RESERVE_SHARE * self.burst, max_reserve)
        if tokens < 1 + reserve:
            return False
        self.tokens[service] = tokens - 1
        return True

    def refund(self, service: ids.ServiceName) -> None:
        """Takes back a try that was taken and made no attempt."""
        tokens = self.tokens.get(service, self.burst)
        self.tokens[service] = min(self.burst, tokens + 1)


def backoff(
    base: float, attempt: int, remaining: float, rng: random.Random
) -> float | None:
    """Returns the wait before another try, in seconds, with full jitter.

    Args:
      base: longest first wait, seconds; doubled with each attempt.
      attempt: tries made so far, from 1.
      remaining: time to the deadline less the time a try needs, seconds.
      rng: the source of the jitter.

    Returns:
      The wait, always below `remaining`; None when no time is left.
    """
    if remaining <= 0:
        return None
    doublings = min(max(attempt, 1) - 1, 30)
    max_wait = min(base * 2**doublings, MAX_BACKOFF, remaining)
    return rng.random() * max_wait
