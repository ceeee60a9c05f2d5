"""The schedule of a graceful shutdown."""

import dataclasses
import math

MAX_CLOSE_SECONDS = 1.0
"""Upper bound, in seconds, of the time reserved for closing before the kill.

A process that is still closing at the kill loses the responses that it is
writing.
"""
MAX_CLOSE_SHARE = 1 / 6
"""Upper bound of the time reserved for closing, as a share of the grace."""
MAX_LINGER_SHARE = 0.5
"""Upper bound of the time for accepting new work, as a share of the grace.

The other half is left for the work that was accepted last.
"""

REPLY_MARGIN_SECONDS = 0.1
"""Seconds reserved for replying to work that runs until the abort."""
EXIT_MARGIN_SECONDS = 0.4
"""Seconds reserved for the process to exit once everything is closed."""
MIN_WRITE_SECONDS = 0.1
"""Shortest time, in seconds, for callers to receive responses."""


@dataclasses.dataclass(slots=True)
class ShutdownSchedule:
    """The times of one process's shutdown, as loop times.

    Attributes:
      accept_until: New work is refused from then on.
      send_until: Accepted work that has not been sent to a backend server is
        refused from then on.
      abort_at: Work still in flight is aborted.
      kill_at: The process is killed if it has not exited.
    """

    accept_until: float = math.inf
    send_until: float = math.inf
    abort_at: float = math.inf
    kill_at: float = math.inf

    def start(self, now: float, grace: float, linger: float) -> None:
        """Sets the times; called once, when the process is told to stop.

        Args:
          now: Loop time.
          grace: Seconds after which the process is killed.
          linger: Seconds for which new work is still to be accepted.
        """
        longest = grace * MAX_LINGER_SHARE
        self.accept_until = now + min(linger, longest)
        self.send_until = self.accept_until if linger else now + longest
        self.kill_at = now + grace
        self.abort_at = self.kill_at - min(
            MAX_CLOSE_SECONDS, grace * MAX_CLOSE_SHARE
        )

    @property
    def started(self) -> bool:
        """Whether the process was told to stop."""
        return self.kill_at < math.inf

    def accepts_work(self, now: float) -> bool:
        """Returns whether new work is accepted."""
        return now < self.accept_until

    def allows_sending(self, now: float) -> bool:
        """Returns whether accepted work may still be sent to a backend server."""
        return now < self.send_until

    def allows_deadline(self, deadline: float) -> bool:
        """Returns whether work with the deadline ends before the abort."""
        return deadline <= self.abort_at

    def latest_deadline(self) -> float:
        """Returns the loop time by which late work must have its reply."""
        return self.abort_at - REPLY_MARGIN_SECONDS

    def close_timeout(self, now: float) -> float:
        """Returns the seconds left for connections to other nodes to end."""
        remaining = self.kill_at - EXIT_MARGIN_SECONDS - now
        return max(min(remaining, MAX_CLOSE_SECONDS), 0.0)

    def write_timeout(self, now: float) -> float:
        """Returns the seconds left for callers to receive responses."""
        remaining = self.kill_at - EXIT_MARGIN_SECONDS - now
        return max(min(remaining, MAX_CLOSE_SECONDS), MIN_WRITE_SECONDS)
