"""Running estimates that admission goes by."""

FORGET_TIME = 1.0
"""Seconds in which the expected service time halves without an answer."""
PACE_PART = 0.05
"""Weight of the newest answer in the mean time between two answers."""
LONGEST_GAP = 1.0
"""Seconds; a longer time between two answers was idleness."""


class ServiceTime:
    """A low estimate of the service time, so that no call is given up early.

    It follows the fast answers, and fades without answers: an estimate above
    every deadline would refuse all calls, so that no answer could mend it.
    """

    FALL = 0.3
    RISE = 0.03

    def __init__(self):
        self.seconds = 0.0
        self.seen = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Learns from one answer."""
        part = self.FALL if seconds < self.seconds else self.RISE
        self.seconds += (seconds - self.seconds) * part
        self.seen = now

    def at(self, now: float) -> float:
        """Returns the seconds that a call needs at least."""
        return self.seconds * 0.5 ** ((now - self.seen) / FORGET_TIME)


class Pace:
    """The mean time between two answers.

    Attributes:
      seconds: that mean.
      last: loop time of the last answer.
    """

    def __init__(self):
        self.seconds = 0.0
        self.last = 0.0

    def answered(self, now: float) -> None:
        """Counts an answer; now is loop time."""
        gap = min(now - self.last, LONGEST_GAP)
        self.last = now
        self.seconds += (gap - self.seconds) * PACE_PART
