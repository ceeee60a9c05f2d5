"""Running estimates for admission control."""

HALF_LIFE = 1.0
"""Seconds without a response in which the expected service time halves."""
INTERVAL_WEIGHT = 0.05
"""Weight of the newest interval in the mean interval between responses."""
MAX_INTERVAL = 1.0
"""Seconds; a longer interval counts as this long, since the backend server was
idle."""


class ServiceTime:
    """A low estimate of the service time.

    It follows fast responses more closely than slow ones, so that no call is
    given up too early.  It decays without responses: an estimate above every
    deadline would refuse all calls, and no response could ever correct it.

    Attributes:
      seconds: the estimate at the last response.
      updated_at: loop time of the last response.
    """

    FALL_WEIGHT = 0.3
    RISE_WEIGHT = 0.03

    def __init__(self):
        self.seconds = 0.0
        self.updated_at = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Updates the estimate with the service time of one response."""
        weight = (
            self.FALL_WEIGHT if seconds < self.seconds else self.RISE_WEIGHT
        )
        self.seconds += (seconds - self.seconds) * weight
        self.updated_at = now

    def seconds_at(self, now: float) -> float:
        """Returns the estimate, decayed since the last response."""
        return self.seconds * 0.5 ** ((now - self.updated_at) / HALF_LIFE)


class MeanTime:
    """The mean time of calls at the backend server, failed ones included.

    Attributes:
      seconds: the mean time, 0 before the first call ended.
    """

    def __init__(self):
        self.seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Updates the mean with the time of one call."""
        if not self.seconds:
            self.seconds = seconds
        self.seconds += (seconds - self.seconds) * INTERVAL_WEIGHT


class CompletionInterval:
    """The mean interval between two responses.

    Attributes:
      seconds: the mean interval.
      last_completion: loop time of the last response.
    """

    def __init__(self):
        self.seconds = 0.0
        self.last_completion = 0.0

    def observe(self, now: float) -> None:
        """Counts a response at loop time `now`."""
        interval = min(now - self.last_completion, MAX_INTERVAL)
        self.last_completion = now
        self.seconds += (interval - self.seconds) * INTERVAL_WEIGHT
