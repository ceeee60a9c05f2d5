"""What the services below refuse, learned from the calls that ran here.

A call that is admitted here and refused below has wasted its slot and the
work of every hop above.  So what is refused below an operation is refused
here, and its replies carry that on to the hops above.  Operations are kept
apart: those that never call the service in trouble go on.
"""

from mangobay import ids, levels

NEARLY_ALL = 0.8
"""Share of calls with child calls above which the level below counts here:
else an operation that needs a child call only now and then would be refused
for it always."""
PART = 0.1
"""Weight of the newest call in that share."""


class Downstream:
    """Follows the threshold of the services that one operation calls.

    Attributes:
      told: the last threshold with which a child call was refused.
      told_at: loop time of that.
      share: of the calls below it, how many made child calls.
    """

    def __init__(self, reopen_time: float):
        self.reopen_time = reopen_time
        self.told = levels.OPEN
        self.told_at = 0.0
        self.share = 0.0

    def observe(
        self, level: int, below: int, used: bool, ok: bool, now: float
    ) -> None:
        """Learns from a call that ran here.

        Args:
          level: of the call.
          below: threshold with which its child call was refused, or OPEN.
          used: it made a child call at all.
          ok: it was answered.
          now: loop time.
        """
        if below:
            self.told = below
            self.told_at = now
        if level >= self.told:
            return
        self.share += ((1.0 if used else 0.0) - self.share) * PART
        if used and ok and not below:
            self.told = (self.told + level) // 2

    def threshold(self, now: float) -> int:
        """Returns the lowest level that is not refused below.

        It falls with time, so that a few calls go through and find out
        whether the services below still refuse them.
        """
        if not self.told or self.share < NEARLY_ALL:
            return levels.OPEN
        height = min(self.told, levels.HIGHEST)
        return levels.fallen(
            height, now - self.told_at, self.reopen_time, levels.TOLD
        )


class Downstreams:
    """What is refused below each operation.

    Attributes:
      known: by operation; as many as the sheet gives the service.
    """

    def __init__(self, reopen_time: float):
        self.reopen_time = reopen_time
        self.known: dict[ids.OperationName, Downstream] = {}

    def observe(
        self,
        operation: ids.OperationName,
        level: int,
        below: int,
        used: bool,
        ok: bool,
        now: float,
    ) -> None:
        """Learns from a call that ran here, as `Downstream.observe`."""
        found = self.known.get(operation)
        if found is None:
            found = Downstream(self.reopen_time)
            self.known[operation] = found
        found.observe(level, below, used, ok, now)

    def threshold(self, operation: ids.OperationName, now: float) -> int:
        """Returns the lowest level of an operation not refused below."""
        found = self.known.get(operation)
        return found.threshold(now) if found else levels.OPEN
