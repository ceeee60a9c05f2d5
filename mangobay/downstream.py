"""Learns which calls the downstream services refuse.

A call that is admitted here and refused downstream wastes its slot and the work
of every earlier hop.  Calls that would be refused downstream are therefore
refused here, and the replies report the threshold to the callers, which do the
same.  Each operation has a threshold of its own: operations that do not call
the overloaded service are not affected.
"""

from mangobay import ids, levels

MIN_CHILD_CALL_SHARE = 0.8
"""Share of calls with child calls from which the downstream threshold applies:
otherwise an operation that seldom makes a child call would always be refused
because of it."""
SHARE_WEIGHT = 0.1
"""Weight of the newest call in that share."""
MAX_REFUSED_SHARE = 0.1
"""Share of the admitted calls that may be refused downstream."""
LOWERING_STEP = 1.5
"""Levels by which a call that was not refused lowers the threshold."""
LOWERING_GROWTH = 1.1
"""Growth of this step from call to call until the next refusal, so that the end
of an overload is found soon."""
RAISING_STEP = LOWERING_STEP * (1 - MAX_REFUSED_SHARE) / MAX_REFUSED_SHARE
"""Levels by which a refusal raises the threshold."""


class DownstreamTracker:
    """Tracks the threshold of the services that one operation calls.

    A call with a refused child call raises the threshold and any other call
    with child calls lowers it, by steps of such sizes that about
    MAX_REFUSED_SHARE of the admitted calls are refused downstream. The thresholds of single downstream hosts
    rise and fall within a second, and a call with several child calls meets
    the highest of them.

    Attributes:
      reopen_time: seconds without a call after which the threshold has decayed.
      learned_threshold: the threshold after the last call.
      lowering_step: levels by which the next call may lower it.
      observed_at: loop time of the last call.
      child_call_share: share of the calls that made child calls.
    """

    def __init__(self, reopen_time: float):
        self.reopen_time = reopen_time
        self.learned_threshold = 0.0
        self.lowering_step = LOWERING_STEP
        self.observed_at = 0.0
        self.child_call_share = 0.0

    def observe(
        self,
        level: int,
        downstream_threshold: int,
        made_child_call: bool,
        ok: bool,
        now: float,
    ) -> None:
        """Updates the threshold with a call that ran here.

        Args:
          level: admission level of the call.
          downstream_threshold: threshold that refused its child call, or
            ADMIT_ALL.
          made_child_call: whether it made a child call.
          ok: whether it succeeded. A call whose child calls failed for another
            reason than a lack of room counts as admitted downstream.
          now: loop time.
        """
        if not ok and not downstream_threshold and not made_child_call:
            return
        self.child_call_share += (
            (1.0 if made_child_call else 0.0) - self.child_call_share
        ) * SHARE_WEIGHT
        if not made_child_call:
            return
        self.learned_threshold = self.threshold_at(now)
        self.observed_at = now
        if downstream_threshold and level < self.learned_threshold:
            # Admitted before the threshold rose. If each of these raised it
            # further, the calls in flight would raise it far too high.
            return
        if downstream_threshold:
            lowest = level - level % levels.LEVELS_PER_IMPORTANCE
            self.learned_threshold = min(
                max(self.learned_threshold, lowest) + RAISING_STEP,
                levels.MAX_THRESHOLD,
            )
            self.lowering_step = LOWERING_STEP
            return
        self.learned_threshold = max(
            self.learned_threshold - self.lowering_step, 0.0
        )
        self.lowering_step *= LOWERING_GROWTH

    def threshold_at(self, now: float) -> float:
        """Returns the threshold, decayed since the last call."""
        elapsed = (now - self.observed_at) / self.reopen_time
        if elapsed >= 1.0:
            return 0.0
        return self.learned_threshold * (
            1.0 - elapsed**levels.REMOTE_DECAY_POWER
        )

    def threshold(self, now: float) -> int:
        """Returns the lowest level that is not refused downstream.

        It decays without calls, so that a few go through and find out whether
        the downstream services still refuse them.
        """
        if self.child_call_share < MIN_CHILD_CALL_SHARE:
            return levels.ADMIT_ALL
        return int(self.threshold_at(now))


class DownstreamTrackers:
    """The downstream thresholds of the operations of a service.

    Attributes:
      reopen_time: seconds in which a threshold decays.
      by_operation: trackers by operation; at most as many as the sheet has
        operations of the service.
    """

    def __init__(self, reopen_time: float):
        self.reopen_time = reopen_time
        self.by_operation: dict[ids.OperationName, DownstreamTracker] = {}

    def observe(
        self,
        operation: ids.OperationName,
        level: int,
        downstream_threshold: int,
        made_child_call: bool,
        ok: bool,
        now: float,
    ) -> None:
        """Updates the threshold of an operation; see DownstreamTracker."""
        tracker = self.by_operation.get(operation)
        if tracker is None:
            tracker = DownstreamTracker(self.reopen_time)
            self.by_operation[operation] = tracker
        tracker.observe(level, downstream_threshold, made_child_call, ok, now)

    def threshold(self, operation: ids.OperationName, now: float) -> int:
        """Returns the lowest level of an operation not refused downstream."""
        tracker = self.by_operation.get(operation)
        return tracker.threshold(now) if tracker else levels.ADMIT_ALL
