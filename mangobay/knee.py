"""Where a backend server that is nearly full begins to slow down.

Some backend servers slow down when their last slots are in use.  Calls in
those slots then take away more than they add: with a few slots left empty,
more calls are answered, and each of them sooner.  The slots that a backend
server announces do not tell; how long calls take that began beside few or many
others does.
"""

import dataclasses

from mangobay import ids

UNCONTENDED_SHARE = 0.85
"""Share of the slots in use up to which a call counts as undisturbed."""
BANDS = (0.95, 0.9, UNCONTENDED_SHARE)
"""Shares of the slots in use above which calls are looked at together: few
enough that some seconds of full load give each of them its answers."""
MIN_SLOWDOWN = 1.15
"""Times the undisturbed seconds from which on a band does not pay: above what
the fifteen hundredths of the slots of all bands could add."""
MAX_SLOWDOWN = 2.0
"""Times the undisturbed seconds above which it is not the last slots that slow
the calls: with fewer of them, fewer calls would be answered."""
BATCH_SIZE = 96
"""Answers that are looked at together; their mean is right to a twentieth."""
BATCHES_TO_CONFIRM = 2
"""Batches in a row that must agree: a backend server that turns slow while one
is collected looks for once as if only its last slots were slower."""
INITIAL_HOLD_TIME = 20.0
"""Seconds for which a band is left out before it is tried again; doubled each
time.  It costs about a second of slower calls."""
MAX_HOLD_TIME = 160.0
UNLIMITED = 1_000_000
"""Calls; the limit where every slot pays."""


@dataclasses.dataclass(slots=True)
class Batch:
    """Values that are looked at together.

    Attributes:
      consecutive_slow: batches in a row that were slower than they should be.
    """

    total: float = 0.0
    count: int = 0
    consecutive_slow: int = 0

    def add(self, value: float) -> float | None:
        """Takes in a value; returns the mean of a batch that is full."""
        self.total += value
        self.count += 1
        if self.count < BATCH_SIZE:
            return None
        mean = self.total / self.count
        self.total = 0.0
        self.count = 0
        return mean


@dataclasses.dataclass(slots=True)
class Baseline:
    """Undisturbed calls of one operation.

    Attributes:
      seconds: mean of the last full batch, 0 before the first.
    """

    seconds: float = 0.0
    batch: Batch = dataclasses.field(default_factory=Batch)


class KneeDetector:
    """Finds how many of the slots of one backend server pay.

    Attributes:
      limit: calls at once above which nothing is gained.
      slots: as announced; 0 when none were.
      baselines: undisturbed calls, by operation.
      bands: how many times longer the others took, by band.
    """

    def __init__(self):
        self.slots = 0
        self.baselines: dict[ids.OperationName, Baseline] = {}
        self.hold_time = INITIAL_HOLD_TIME
        self.held_until = 0.0
        self.reset()

    def reset(self) -> None:
        """Uses every slot, and looks at new answers only."""
        self.limit = UNLIMITED
        self.bands = [Batch() for _ in BANDS]

    def set_slots(self, slots: int) -> None:
        """Takes the slots announced; of another number nothing is known."""
        if slots != self.slots:
            self.slots = slots
            self.reset()

    def observe(
        self,
        operation: ids.OperationName,
        seconds: float,
        running: int,
        now: float,
    ) -> None:
        """Learns from one answer.

        Args:
          operation: what was called.
          seconds: the backend server's own time, without its child calls.
          running: calls that ran when it began, itself included.
          now: loop time.
        """
        if not self.slots:
            return
        if self.limit != UNLIMITED and now >= self.held_until:
            self.hold_time = min(self.hold_time * 2, MAX_HOLD_TIME)
            self.reset()
        utilization = running / self.slots
        baseline = self.baselines.setdefault(operation, Baseline())
        if utilization <= UNCONTENDED_SHARE:
            self.record_uncontended(baseline, seconds)
        elif baseline.seconds:
            self.record_contended(utilization, seconds / baseline.seconds, now)

    def record_uncontended(self, baseline: Baseline, seconds: float) -> None:
        """Takes in an undisturbed call."""
        mean = baseline.batch.add(seconds)
        if mean is None:
            return
        previous, baseline.seconds = baseline.seconds, mean
        if previous and not 1 / MIN_SLOWDOWN < mean / previous < MIN_SLOWDOWN:
            # It works at another speed now: what was seen of the last slots
            # was measured by the former one.
            self.bands = [Batch() for _ in BANDS]

    def record_contended(
        self, utilization: float, slowdown: float, now: float
    ) -> None:
        """Takes in how much longer a call took beside many others."""
        index = next(
            index for index, share in enumerate(BANDS) if utilization > share
        )
        band = self.bands[index]
        mean = band.add(slowdown)
        if mean is None:
            return
        is_slow = MIN_SLOWDOWN < mean < MAX_SLOWDOWN
        band.consecutive_slow = band.consecutive_slow + 1 if is_slow else 0
        if band.consecutive_slow < BATCHES_TO_CONFIRM:
            return
        self.limit = min(self.limit, max(1, int(BANDS[index] * self.slots)))
        self.held_until = now + self.hold_time
        self.bands[index] = Batch()
