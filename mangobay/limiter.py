"""How many calls may run at the backend server at once.

Three policies, found by name in POLICIES: `fixed` keeps the slots announced,
`none` has no limit, `adaptive` lowers the limit while that makes calls faster.
"""

import dataclasses

INITIAL_LIMIT = 20
"""Calls; the limit before any slots were announced."""
UNLIMITED = 1_000_000
"""Calls; the limit of the policy `none`."""
WINDOW_TIME = 0.2
"""Seconds; the shortest time over which service times are averaged."""
MIN_SAMPLES = 32
"""Answers without which a window says nothing."""
SLOW_RATIO = 2.0
"""A mean above this many times the baseline counts as slow."""
DECREASE_FACTOR = 0.8
INCREASE_FACTOR = 1.1
NEARLY_FULL_SHARE = 0.7
"""Share of the slots in use from which on a refusal tells of too many calls."""
IMPROVED_RATIO = 0.9
"""A step down helped if the mean fell below this share of the former one."""
INEFFECTIVE_DECREASES_TO_RESTORE = 1
"""Steps down in a row that did not help, after which the limit is restored."""
INITIAL_HOLD_TIME = 5.0
"""Seconds for which the limit is not lowered after that; doubled each time."""
MAX_HOLD_TIME = 60.0
MIN_LIMIT_DIVISOR = 8
"""The limit stays above the slots divided by this."""
BASELINE_RISE_WEIGHT = 0.01
"""Share of the way to the mean that the baseline rises in a window."""
BASELINE_FALL_WEIGHT = 0.5


@dataclasses.dataclass(slots=True)
class Window:
    """Service times of one window.

    Attributes:
      started_at: loop time of its start.
      count: answers seen.
      total: sum of their seconds.
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
      slots: slots announced; 0 when none were.
    """

    def __init__(self):
        self.limit = INITIAL_LIMIT
        self.slots = 0

    def set_slots(self, slots: int) -> None:
        """Takes the slots announced by the backend server."""
        if slots > 0 and slots != self.slots:
            self.slots = slots
            self.limit = slots

    def observe(
        self, seconds: float, running: int, admitted_at: float, now: float
    ) -> None:
        """Learns from one answer.

        Args:
          seconds: the backend server's own time, without its child calls.
          running: calls that ran when it ended, itself included.
          admitted_at: loop time at which it was admitted.
          now: loop time.
        """

    def observe_shed(self, running: int, now: float) -> None:
        """Learns that the backend server shed a call at this many running."""


class Unlimited(Limiter):
    """The policy `none`."""

    def __init__(self):
        super().__init__()
        self.limit = UNLIMITED

    def set_slots(self, slots: int) -> None:
        """Takes no notice of the slots announced."""


class Adaptive(Limiter):
    """The policy `adaptive`: the slots, lowered while lowering helps.

    A backend server that slows because too many calls share it gets faster
    with a lower limit, and loses nothing.  One that slows for another reason
    (a disk, a store) gets no faster: a lower limit would only cut what it can
    serve, so the limit goes back and stays for a while.  Time spent waiting
    for child calls is no sign of either and is left out by the caller.

    Attributes:
      baseline: mean service seconds without strain; falls fast, rises slowly.
      changed_at: loop time of the last change; calls admitted before it are not
        looked at, since they ran under the former limit.
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
        """The limit never goes below this."""
        return max(1, (self.slots or INITIAL_LIMIT) // MIN_LIMIT_DIVISOR)

    def observe(
        self, seconds: float, running: int, admitted_at: float, now: float
    ) -> None:
        """Averages answers over a window, then judges it."""
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
        """Goes below what the backend server just refused, once a window.

        A burst of refusals is about one and the same overload; answering
        each of them would take the limit to its lowest at once.  One that
        refuses while most of its slots are free refuses for another reason:
        with a lower limit fewer calls would be served, and none better.
        """
        if now - self.changed_at < WINDOW_TIME:
            return
        if running < NEARLY_FULL_SHARE * (self.slots or INITIAL_LIMIT):
            return
        self.set_limit(min(self.limit - 1, running - 1), now)

    def adjust_limit(self, mean: float, max_running: int, now: float) -> None:
        """Changes the limit by the mean service seconds of a window."""
        slow = self.baseline > 0 and mean > SLOW_RATIO * self.baseline
        self.update_baseline(mean)
        full = max_running >= self.limit * DECREASE_FACTOR
        if slow and full and now >= self.held_until:
            self.decrease(mean, now)
        elif full or not slow:
            self.increase(now)

    def update_baseline(self, mean: float) -> None:
        """Moves the baseline."""
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
        """Lowers the limit, or restores it where that did not help."""
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
        """Restores the limit: the cause is not the number of calls."""
        self.held_until = now + self.hold_time
        self.hold_time = min(self.hold_time * 2, MAX_HOLD_TIME)
        self.ineffective_decreases = 0
        self.mean_before_decrease = 0.0
        self.set_limit(self.limit_before_decreases, now)

    def increase(self, now: float) -> None:
        """Raises the limit towards the slots announced."""
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
    """Returns the limiter that the setting [admission] policy names."""
    return POLICIES[policy]()
