"""Finds the knee of a backend server, the load above which it slows down.

Some backend servers slow down when their last slots are in use.  Calls in those
slots then cost more throughput than they add: with a few slots left empty, more
calls are answered, and each of them sooner.  The number of slots that a backend
server announces does not show this, but the service times of calls that start
beside few and beside many other calls do.
"""

import dataclasses

from mangobay import ids

UNCONTENDED_SHARE = 0.85
"""Share of the slots in use up to which a call counts as uncontended."""
BANDS = (0.95, 0.9, UNCONTENDED_SHARE)
"""Lower bounds of the bands of utilization whose calls are averaged together,
as shares of the slots.  They are few, so that some seconds of full load fill
a batch of each."""
MIN_SLOWDOWN = 1.15
"""Multiple of the uncontended service time from which a band adds no
throughput: it is above what the last 15 % of the slots, which the bands cover,
could add."""
MAX_SLOWDOWN = 2.0
"""Multiple of the uncontended service time from which the last slots are not
the cause: with fewer of them in use, fewer calls would be answered."""
BATCH_SIZE = 96
"""Responses that are averaged together; their mean is accurate to about 5 %."""
BATCHES_TO_CONFIRM = 2
"""Batches in a row that must agree: if a backend server turns slow while a
batch is collected, that batch looks as if only the last slots were slower."""
INITIAL_HOLD_TIME = 20.0
"""Seconds for which a band is left out before it is tried again; doubled each
time.  A trial costs about a second of slower calls."""
MAX_HOLD_TIME = 160.0
"""Seconds; the hold time is not doubled beyond this."""
UNLIMITED = 1_000_000
"""Calls; the limit if every slot adds throughput."""


@dataclasses.dataclass(slots=True)
class Batch:
    """Values that are averaged together.

    Attributes:
      total: sum of the values.
      count: number of values.
      consecutive_slow: batches in a row whose mean was too slow.
    """

    total: float = 0.0
    count: int = 0
    consecutive_slow: int = 0

    def add(self, value: float) -> float | None:
        """Adds a value; returns the mean if the batch is full, else None."""
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
    """Uncontended calls of one operation.

    Attributes:
      seconds: mean service time of the last full batch; 0 before the first.
      batch: service times since then.
    """

    seconds: float = 0.0
    batch: Batch = dataclasses.field(default_factory=Batch)


class KneeDetector:
    """Finds how many slots of one backend server add throughput.

    Attributes:
      limit: calls at once above which throughput does not grow.
      slots: slots that the backend server announced; 0 before that.
      baselines: uncontended calls by operation.
      bands: slowdown of the other calls, by band.
      hold_time: seconds of the next hold.
      held_until: loop time until which the limit holds.
    """

    def __init__(self):
        self.slots = 0
        self.baselines: dict[ids.OperationName, Baseline] = {}
        self.hold_time = INITIAL_HOLD_TIME
        self.held_until = 0.0
        self.reset()

    def reset(self) -> None:
        """Allows every slot and discards the slowdowns seen so far."""
        self.limit = UNLIMITED
        self.bands = [Batch() for _ in BANDS]

    def set_slots(self, slots: int) -> None:
        """Sets the announced slots; starts over if their number changed."""
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
        """Updates the limit with one response.

        Args:
          operation: the operation that was called.
          seconds: time that the backend server took, without its child calls.
          running: calls that ran when the call began, itself included.
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
        """Adds the service time of an uncontended call to its baseline."""
        mean = baseline.batch.add(seconds)
        if mean is None:
            return
        previous, baseline.seconds = baseline.seconds, mean
        if previous and not 1 / MIN_SLOWDOWN < mean / previous < MIN_SLOWDOWN:
            # The backend server runs at another speed now: the slowdowns in
            # the bands are relative to an outdated baseline.
            self.bands = [Batch() for _ in BANDS]

    def record_contended(
        self, utilization: float, slowdown: float, now: float
    ) -> None:
        """Adds the slowdown of a contended call to its band."""
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
