"""Retry budget of each service, and the backoff before a retry."""

import math
import random

from mangobay import ids, levels, retrywindow
from mangobay.generated import messages, settings

MAX_BACKOFF = 1.0
"""Upper bound of the exponential backoff, in seconds."""
CRITICAL_RESERVE_SHARE = 0.5
"""Share of the burst that is reserved for critical calls."""
SLACK_SHARE = 0.8
"""Share of the slack that is divided among the nodes.

The rest is a margin, since nodes learn of each other at different times.
"""
MIN_SHARED_BURST = 2.0
"""Burst, in tokens, below which retries are bounded over the window instead.

A smaller bucket holds no reserve for critical calls, and most of what the
window allows is lost, since it cannot be saved.
"""
WINDOW_MARGIN = 0.75
"""Share of the ratio that is used over the window.

The calls that retried runs make again are counted and not refused, and a node
whose runs are mostly retried makes more of them than its own requests pay for.
Callers that move from one node to another count at both for a while.
"""
MIN_BURST = 1.0
"""Lower bound of the burst, in tokens; with less, no call could be retried."""
CRITICAL_RESERVE_SECONDS = 1.0
"""Seconds for which tokens are reserved after a critical call asks to retry."""


class RetryBudget:
    """A token bucket per service that is refilled by requests.

    The attempts sent to a service are at most `1 + ratio` times the requests
    of its callers, plus `burst`, however the service fails.  Without this
    bound, every caller would multiply the load of a service that slows down.
    Requests refill the bucket, not successful responses: retries help callers
    most when many calls fail, and the bound on the load does not depend on
    the outcome of the requests.

    A retried call makes its child calls again.  Each of these takes a token,
    so that the bound also holds for downstream services.  They are never
    refused, so the bucket may go below zero.

    When many calls fail, critical calls are retried first.  A critical request
    often needs several calls in sequence, and with an equal share of the
    retries nearly every such request would fail in one of its calls.

    Attributes:
      ratio: Tokens added per request.
      max_burst: Configured capacity of a bucket, in tokens.
      slack: Retries that all nodes together may have saved; 0 for no bound.
      burst: Capacity of a bucket, in tokens.
      tokens: Tokens by service; a missing service has a full bucket.
      critical_request_times: Loop time at which a critical call last asked
        for a retry, by service.
      window: Seconds over which retries are bounded; 0 if only the bucket
        bounds them.
      uses_windows: Whether the windows are used in place of the buckets.
      refused_count: Retries that the windows refused.
      windows: Requests and retries of the last window by service.
    """

    def __init__(self, retries: settings.NodeRetries):
        self.ratio = retries.ratio * retries.spent
        self.max_burst = float(retries.burst)
        self.slack = retries.slack
        self.burst = self.max_burst
        self.tokens: dict[ids.ServiceName, float] = {}
        self.critical_request_times: dict[ids.ServiceName, float] = {}
        self.window = retries.window
        self.uses_windows = False
        self.refused_count = 0
        self.windows: dict[ids.ServiceName, retrywindow.RetryWindow] = {}

    def set_node_count(self, node_count: int) -> None:
        """Divides the slack among the nodes that hold a retry budget.

        With a few saved retries each, many nodes would together make hundreds
        of retries at the moment a service begins to fail.
        """
        if self.slack:
            share = SLACK_SHARE * self.slack / max(node_count, 1)
            self.burst = min(self.max_burst, max(MIN_BURST, share))
            self.uses_windows = self.window > 0 and share < MIN_SHARED_BURST

    def find_window(self, service: ids.ServiceName) -> retrywindow.RetryWindow:
        """Returns the window of a service."""
        found = self.windows.get(service)
        if found is None:
            found = retrywindow.RetryWindow(
                self.ratio * WINDOW_MARGIN, self.window
            )
            self.windows[service] = found
        return found

    def threshold_at(self, service: ids.ServiceName, now: float) -> int:
        """Returns the lowest level that is allowed a retry, 0 if unknown."""
        found = self.windows.get(service) if self.uses_windows else None
        return found.threshold_at(now) if found else levels.ADMIT_ALL

    def record_request(
        self, service: ids.ServiceName, repeat: bool = False, now: float = 0.0
    ) -> None:
        """Records a request, which adds `ratio` tokens.

        Args:
          service: The service that is called.
          repeat: Whether the request is a child call of a retried call and
            takes one token instead.
          now: Loop time.
        """
        if self.window:
            self.find_window(service).record_request(now, repeat)
        tokens = self.tokens.get(service, self.burst)
        change = -1.0 if repeat else self.ratio
        self.tokens[service] = min(self.burst, tokens + change)

    def try_withdraw(
        self,
        service: ids.ServiceName,
        importance: messages.Importance = messages.Importance.NORMAL,
        now: float = 0.0,
        level: int = levels.MAX_THRESHOLD,
    ) -> bool:
        """Takes a token for a retry; returns whether one was available.

        Args:
          service: The service that is called.
          importance: Importance of the call.
          now: Loop time.
          level: Admission level of the call.
        """
        if self.uses_windows:
            allowed = self.find_window(service).try_withdraw(
                level, self.burst, now
            )
            self.refused_count += not allowed
            return allowed
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

    def refund(self, service: ids.ServiceName, now: float = 0.0) -> None:
        """Returns the token of a retry that led to no attempt."""
        if self.uses_windows:
            self.find_window(service).refund(now)
            return
        tokens = self.tokens.get(service, self.burst)
        self.tokens[service] = min(self.burst, tokens + 1)


def backoff(
    base: float, attempt: int, remaining: float, rng: random.Random
) -> float | None:
    """Returns an exponential backoff with full jitter, in seconds.

    Args:
      base: Upper bound of the first backoff in seconds; doubles with each
        attempt.
      attempt: Number of the retry, starting at 1.
      remaining: Seconds until the deadline.
      rng: Source of the jitter.

    Returns:
      The backoff, always below `remaining`, or None if no time is left.
    """
    if remaining <= 0:
        return None
    doublings = min(max(attempt, 1) - 1, 30)
    max_wait = min(base * 2**doublings, MAX_BACKOFF, remaining)
    return rng.random() * max_wait
