"""Counts the input of callers that is refused before it is a request."""

import math

from mangobay import clock, logs

LOG_INTERVAL_SECONDS = 60.0
"""Seconds between two log lines about such input."""


class RefusedInput:
    """Malformed heads, and heads above a limit, on all ports of a process.

    Attributes:
      count: how many were refused since the start.
      next_log_at: loop time from which on the next one is logged.
    """

    def __init__(self):
        self.count = 0
        self.next_log_at = -math.inf

    def record(self, why: str) -> None:
        """Counts one; logs it unless one was logged shortly before."""
        self.count += 1
        now = clock.now()
        if now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_SECONDS
        logs.log_event(
            logs.Component.CALL, "input refused", why=why, count=self.count
        )


refused = RefusedInput()
"""That of this process."""
