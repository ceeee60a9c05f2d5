"""Limits how many calls run at the backend server at once.

POLICIES maps the values of the setting [admission] policy to limiters: `fixed`
allows as many calls as the backend server announced slots, `none` sets no
limit, and `adaptive` lowers the limit while that makes calls faster.
"""

import dataclasses

INITIAL_LIMIT = 20
"""Calls; the limit before the backend server announces its slots."""
UNLIMITED = 1_000_000
"""Calls; the limit of the policy `none`."""
WINDOW_TIME = 0.2
"""Seconds; the shortest time over which service times are averaged."""
MIN_SAMPLES = 32
"""Responses that a window needs before its mean is used."""
SLOW_RATIO = 2.0
"""A mean above this many times the baseline counts as slow."""
DECREASE_FACTOR = 0.8
"""Factor of a decrease; a window is full if this share of the limit was in
use."""
INCREASE_FACTOR = 1.1
"""Factor of an increase."""
NEARLY_FULL_SHARE = 0.7
"""Share of the slots in use from which a shed call means that too many calls
run."""
IMPROVED_RATIO = 0.9
"""A decrease helped if the mean fell to this many times the previous mean or
below."""
INEFFECTIVE_DECREASES_TO_RESTORE = 1
"""Decreases in a row that did not help, after which the limit is restored."""
INITIAL_HOLD_TIME = 5.0
"""Seconds after a restore in which the limit is not lowered; doubled each
time."""
MAX_HOLD_TIME = 60.0
"""Seconds; the hold time is not doubled beyond this."""
MIN_LIMIT_DIVISOR = 8
"""The limit does not fall below the slots divided by this."""
BASELINE_RISE_WEIGHT = 0.01
"""Weight of the mean of a window that is slower than the baseline."""
BASELINE_FALL_WEIGHT = 0.5
"""Weight of the mean of a window that is faster than the baseline."""


@dataclasses.dataclass(slots=True)
class Window:
    """Service times of one window.

    Attributes:
      started_at: loop time of its start.
      count: number of responses.
      total: sum of their service times in seconds.
      max_running: most calls that ran at once.
    """

    started_at: float = 0.0
    count: int = 0
    total: float = 0.0
    max_running: int = 0


class Limiter:
    """The policy `fixed`, and the interface of all policies.

    Attributes:
      limit: calls that may run at once.
      slots: slots that the backend server announced; 0 before that.
    """

    def __init__(self):
        self.limit = INITIAL_LIMIT
        self.slots = 0

    def set_slots(self, slots: int) -> None:
        """Sets the slots that the backend server announced."""
        if slots > 0 and slots != self.slots:
            self.slots = slots
            self.limit = slots

    def observe(
        self, seconds: float, running: int, admitted_at: float, now: float
    ) -> None:
        """Updates the limit with one response.

        Args:
          seconds: time that the backend server took, without its child calls.
          running: calls that ran when the response came, its own included.
          admitted_at: loop time at which the call was admitted.
          now: loop time.
        """

    def observe_shed(self, running: int, now: float) -> None:
        """Updates the limit after the backend server shed a call.

        Args:
          running: calls that ran when it was shed, the call itself included.
          now: loop time.
        """


class Unlimited(Limiter):
    """The policy `none`."""

    def __init__(self):
        super().__init__()
        self.limit = UNLIMITED

    def set_slots(self, slots: int) -> None:
        """Ignores the slots that the backend server announced."""


class Adaptive(Limiter):
    """The policy `adaptive`: the slots, lowered while that helps.

    A backend server that is slow because too many calls share it gets faster
    with a lower limit, at no loss of throughput.  One that is slow for another
    reason, such as its disk or a data store, gets no faster: a lower limit
    would only reduce what it serves, so the limit is restored and held for a
    while.  Time spent waiting for child calls indicates neither, and callers
    leave it out.

    Attributes:
      baseline: mean service time in seconds without overload; falls fast and
        rises slowly.
      changed_at: loop time of the last change of the limit; calls admitted
        before it are ignored, since they ran under another limit.
      window: the responses since then.
      mean_before_decrease: mean of the window that led to the last decrease;
        0 if there was none.
      limit_before_decreases: the limit that a restore goes back to.
      ineffective_decreases: decreases in a row that did not help.
      hold_time: seconds of the next hold.
      held_until: loop time until which the limit is not lowered.
    """

    def __init__(self):
        super().__init__()
        self.baseline = 0.0
        self.changed_at = 0.0
        self.window = Window()
        self.mean_before_decrease = 0.0
        self.limit_before_decreases = 0
        self.ineffective_decreases = 0
        self.hold_time = INITIAL_HOLD_TIME
        self.held_until = 0.0

    @property
    def min_limit(self) -> int:
        """The lowest limit allowed."""
        return max(1, (self.slots or INITIAL_LIMIT) // MIN_LIMIT_DIVISOR)

    def observe(
        self, seconds: float, running: int, admitted_at: float, now: float
    ) -> None:
        """Adds a response to the window and adjusts the limit after it."""
        if admitted_at < self.changed_at:
            return
        window = self.window
        window.count += 1
        window.total += seconds
        window.max_running = max(window.max_running, running)
        if now - window.started_at < WINDOW_TIME or window.count < MIN_SAMPLES:
            return
        self.window = Window(started_at=now)
        self.adjust_limit(window.total / window.count, window.max_running, now)

    def observe_shed(self, running: int, now: float) -> None:
        """Sets the limit below the calls that ran, at most once per window.

        A burst of shed calls has a single cause; reacting to each of them would
        take the limit to its minimum at once.  A backend server that sheds
        calls while most of its slots are free has another reason: a lower limit
        would serve fewer calls and make none of them faster.
        """
        if now - self.changed_at < WINDOW_TIME:
            return
        if running < NEARLY_FULL_SHARE * (self.slots or INITIAL_LIMIT):
            return
        self.set_limit(min(self.limit - 1, running - 1), now)

    def adjust_limit(self, mean: float, max_running: int, now: float) -> None:
        """Adjusts the limit to the mean service time of a window."""
        slow = self.baseline > 0 and mean > SLOW_RATIO * self.baseline
        self.update_baseline(mean)
        full = max_running >= self.limit * DECREASE_FACTOR
        if slow and full and now >= self.held_until:
            self.decrease(mean, now)
        elif full or not slow:
            self.increase(now)

    def update_baseline(self, mean: float) -> None:
        """Moves the baseline towards the mean of a window."""
        if self.baseline == 0:
            self.baseline = mean
            return
        weight = (
            BASELINE_FALL_WEIGHT
            if mean < self.baseline
            else BASELINE_RISE_WEIGHT
        )
        self.baseline += (mean - self.baseline) * weight

    def decrease(self, mean: float, now: float) -> None:
        """Lowers the limit, or restores it if lowering did not help."""
        if (
            self.mean_before_decrease
            and mean > IMPROVED_RATIO * self.mean_before_decrease
        ):
            self.ineffective_decreases += 1
        else:
            self.ineffective_decreases = 0
        if self.ineffective_decreases >= INEFFECTIVE_DECREASES_TO_RESTORE:
            self.restore_limit(now)
            return
        if self.mean_before_decrease == 0:
            self.limit_before_decreases = self.limit
        self.mean_before_decrease = mean
        self.set_limit(int(self.limit * DECREASE_FACTOR), now)

    def restore_limit(self, now: float) -> None:
        """Restores the limit, since the number of calls is not the cause."""
        self.held_until = now + self.hold_time
        self.hold_time = min(self.hold_time * 2, MAX_HOLD_TIME)
        self.ineffective_decreases = 0
        self.mean_before_decrease = 0.0
        self.set_limit(self.limit_before_decreases, now)

    def increase(self, now: float) -> None:
        """Raises the limit towards the slots."""
        if now >= self.held_until:
            self.mean_before_decrease = 0.0
            self.ineffective_decreases = 0
        max_limit = self.slots or UNLIMITED
        if self.limit >= max_limit:
            self.hold_time = (
                INITIAL_HOLD_TIME if now >= self.held_until else self.hold_time
            )
            return
        raised = max(self.limit + 1, int(self.limit * INCREASE_FACTOR))
        self.set_limit(min(raised, max_limit), now)

    def set_limit(self, limit: int, now: float) -> None:
        """Sets the limit within its bounds and starts a new window."""
        self.limit = max(self.min_limit, limit)
        self.changed_at = now
        self.window = Window(started_at=now)


POLICIES = {"adaptive": Adaptive, "fixed": Limiter, "none": Unlimited}


def make(policy: str) -> Limiter:
    """Returns the limiter for a value of the setting [admission] policy."""
    return POLICIES[policy]()
