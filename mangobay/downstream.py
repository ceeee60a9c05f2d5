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


class DownstreamTracker:
    """Tracks the threshold of the services that one operation calls.

    Attributes:
      reopen_time: seconds in which the threshold decays.
      reported_threshold: the threshold that last refused a child call,
        lowered by calls below it that succeeded.
      reported_at: loop time of that refusal.
      child_call_share: share of the calls below the threshold that made child
        calls.
    """

    def __init__(self, reopen_time: float):
        self.reopen_time = reopen_time
        self.reported_threshold = levels.ADMIT_ALL
        self.reported_at = 0.0
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
          ok: whether it got a complete response.
          now: loop time.
        """
        if downstream_threshold:
            self.reported_threshold = downstream_threshold
            self.reported_at = now
        if level >= self.reported_threshold:
            return
        self.child_call_share += (
            (1.0 if made_child_call else 0.0) - self.child_call_share
        ) * SHARE_WEIGHT
        if made_child_call and ok and not downstream_threshold:
            self.reported_threshold = (self.reported_threshold + level) // 2

    def threshold(self, now: float) -> int:
        """Returns the lowest level that is not refused downstream.

        It decays, so that a few calls go through and find out whether the
        downstream services still refuse them.
        """
        if (
            not self.reported_threshold
            or self.child_call_share < MIN_CHILD_CALL_SHARE
        ):
            return levels.ADMIT_ALL
        threshold = min(self.reported_threshold, levels.MAX_THRESHOLD)
        return levels.decayed_threshold(
            threshold,
            now - self.reported_at,
            self.reopen_time,
            levels.REMOTE_DECAY_POWER,
        )


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
