"""Running estimates that admission goes by."""

HALF_LIFE = 1.0
"""Seconds in which the expected service time halves without an answer."""
INTERVAL_WEIGHT = 0.05
"""Weight of the newest answer in the mean time between two answers."""
MAX_INTERVAL = 1.0
"""Seconds; a longer time between two answers was idleness."""


class ServiceTime:
    """A low estimate of the service time, so that no call is given up early.

    It follows the fast answers, and fades without answers: an estimate above
    every deadline would refuse all calls, so that no answer could mend it.
    """

    FALL_WEIGHT = 0.3
    RISE_WEIGHT = 0.03

    def __init__(self):
        self.seconds = 0.0
        self.updated_at = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Learns from one answer."""
        weight = (
            self.FALL_WEIGHT if seconds < self.seconds else self.RISE_WEIGHT
        )
        self.seconds += (seconds - self.seconds) * weight
        self.updated_at = now

    def seconds_at(self, now: float) -> float:
        """Returns the seconds that a call needs at least."""
        return self.seconds * 0.5 ** ((now - self.updated_at) / HALF_LIFE)


class CompletionInterval:
    """The mean time between two answers.

    Attributes:
      seconds: that mean.
      last_completion: loop time of the last answer.
    """

    def __init__(self):
        self.seconds = 0.0
        self.last_completion = 0.0

    def observe(self, now: float) -> None:
        """Counts an answer; now is loop time."""
        interval = min(now - self.last_completion, MAX_INTERVAL)
        self.last_completion = now
        self.seconds += (interval - self.seconds) * INTERVAL_WEIGHT
