"""When a process that was told to stop takes no more work, and when it ends."""

import dataclasses
import math

MAX_CLOSE_SECONDS = 1.0
"""Longest time, in seconds, kept at the end of the grace for closing.  A process
that still closes then is killed, and answers that it was writing are cut."""
MAX_CLOSE_SHARE = 1 / 6
"""Of the grace, what is kept for closing at most."""
MAX_LINGER_SHARE = 0.5
"""Of the grace, the longest time for which new work is taken: the other half is
left for the work that was taken last."""


REPLY_MARGIN_SECONDS = 0.1
"""Kept for the reply to work whose deadline is the end of the process."""
EXIT_MARGIN_SECONDS = 0.4
"""Kept for the process to exit once everything is closed."""
MIN_WRITE_SECONDS = 0.1
"""Seconds that callers have to take answers, however little is left."""


@dataclasses.dataclass(slots=True)
class ShutdownSchedule:
    """The times of one process, in seconds of the loop's clock.

    Attributes:
      accept_until: no new work is taken from then on.
      abort_at: work that is still in flight is cut.
      kill_at: the process is killed if it has not ended.
    """

    accept_until: float = math.inf
    abort_at: float = math.inf
    kill_at: float = math.inf

    def start(self, now: float, grace: float, linger: float) -> None:
        """Sets the times; called once, when the process is told to stop.

        Args:
          now: loop time.
          grace: seconds after which the process is killed.
          linger: seconds for which it is to take new work.
        """
        self.accept_until = now + min(linger, grace * MAX_LINGER_SHARE)
        self.kill_at = now + grace
        self.abort_at = self.kill_at - min(
            MAX_CLOSE_SECONDS, grace * MAX_CLOSE_SHARE
        )

    def accepts_work(self, now: float) -> bool:
        """Returns whether new work is taken."""
        return now < self.accept_until

    def allows_deadline(self, deadline: float) -> bool:
        """Returns whether work that ends by a loop time is never cut."""
        return deadline <= self.abort_at

    def latest_deadline(self) -> float:
        """Returns the loop time by which work taken late has its reply."""
        return self.abort_at - REPLY_MARGIN_SECONDS

    def write_timeout(self, now: float) -> float:
        """Returns how long callers have to take answers, once it ends."""
        remaining = self.kill_at - EXIT_MARGIN_SECONDS - now
        return max(min(remaining, MAX_CLOSE_SECONDS), MIN_WRITE_SECONDS)
