"""What the services below refuse, learned from the calls that ran here.

A call that is admitted here and refused below has wasted its slot and the
work of every hop above.  So what is refused below an operation is refused
here, and its replies carry that on to the hops above.  Operations are kept
apart: those that never call the service in trouble go on.
"""

from mangobay import ids, levels

MIN_CHILD_CALL_SHARE = 0.8
"""Share of calls with child calls above which the level below counts here:
else an operation that needs a child call only now and then would be refused
for it always."""
SHARE_WEIGHT = 0.1
"""Weight of the newest call in that share."""


class DownstreamTracker:
    """Follows the threshold of the services that one operation calls.

    Attributes:
      reported_threshold: the last threshold with which a child call was refused.
      reported_at: loop time of that.
      child_call_share: of the calls below it, how many made child calls.
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
        """Learns from a call that ran here.

        Args:
          level: of the call.
          downstream_threshold: threshold with which its child call was refused, or OPEN.
          made_child_call: it made a child call at all.
          ok: it was answered.
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
        """Returns the lowest level that is not refused below.

        It falls with time, so that a few calls go through and find out
        whether the services below still refuse them.
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
    """What is refused below each operation.

    Attributes:
      by_operation: by operation; as many as the sheet gives the service.
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
        """Learns from a call that ran here, as `Downstream.observe`."""
        tracker = self.by_operation.get(operation)
        if tracker is None:
            tracker = DownstreamTracker(self.reopen_time)
            self.by_operation[operation] = tracker
        tracker.observe(level, downstream_threshold, made_child_call, ok, now)

    def threshold(self, operation: ids.OperationName, now: float) -> int:
        """Returns the lowest level of an operation not refused below."""
        tracker = self.by_operation.get(operation)
        return tracker.threshold(now) if tracker else levels.ADMIT_ALL
