"""The newest load report of a backend server, and what runs take there.

Times are learned at the pace that the backend server reports.  A backend
server that is always slower than others therefore has longer times, whether
its pace says so or not.
"""

from mangobay import backend, ids
from mangobay.generated import messages

MAX_REPORT_AGE = 2.0
"""Seconds after which a report is not sent to callers any more."""
MIN_WEIGHT = 0.02
"""Weight of the newest run in a mean; the first runs weigh equally."""
USUAL_PACE = 100
"""Pace of a backend server that works as fast as usual, in percent."""


class MeanSeconds:
    """The mean time of runs at usual pace.

    Attributes:
      seconds: the mean, 0 before the first run.
      count: number of runs.
    """

    __slots__ = ("count", "seconds")

    def __init__(self):
        self.seconds = 0.0
        self.count = 0

    def observe(self, seconds: float) -> None:
        """Updates the mean with one run."""
        self.count += 1
        weight = max(MIN_WEIGHT, 1 / self.count)
        self.seconds += (seconds - self.seconds) * weight

    @property
    def microseconds(self) -> int:
        """The mean in microseconds, as a message holds it."""
        return min(int(self.seconds * 1e6), 0xFFFFFFFF)


class ServerLoad:
    """Load of one backend server, kept by the node beside it.

    Attributes:
      report: the newest report, None before the first one.
      reported_at: loop time at which it was true.
      sent_at: loop time at which its request was sent.
      work: mean time of each operation without its child calls.
      hold: mean time that a run of any operation holds a slot.
    """

    __slots__ = ("hold", "report", "reported_at", "sent_at", "work")

    def __init__(self):
        self.report: backend.LoadReport | None = None
        self.reported_at = float("-inf")
        self.sent_at = float("-inf")
        self.work: dict[ids.OperationName, MeanSeconds] = {}
        self.hold = MeanSeconds()

    def observe(
        self, report: backend.LoadReport, sent_at: float, now: float
    ) -> bool:
        """Records the report in a response.

        Responses may arrive out of order: a report is replaced only by that
        of a request that was sent later.

        Args:
          report: the report in the response.
          sent_at: loop time at which the request was sent.
          now: loop time.

        Returns:
          Whether the report is the newest one.
        """
        if sent_at < self.sent_at:
            return False
        self.report = report
        self.reported_at = now
        self.sent_at = sent_at
        return True

    def observe_run(
        self,
        report: backend.LoadReport,
        operation: ids.OperationName,
        seconds: float,
        child_wait_seconds: float,
    ) -> None:
        """Learns from the time of one run.

        Args:
          report: the report in its response.
          operation: the operation that ran.
          seconds: time from the request to the response.
          child_wait_seconds: the part of it with child calls in flight.
        """
        if report.pace is None:
            return
        # A run behind `waiting` others has waited as long in proportion.
        share = report.slots / (report.slots + report.waiting)
        share *= USUAL_PACE / report.pace
        mean = self.work.get(operation)
        if mean is None:
            mean = self.work[operation] = MeanSeconds()
        mean.observe(max(seconds - child_wait_seconds, 0.0) * share)
        self.hold.observe(seconds * share)

    def to_messages(
        self, operation: ids.OperationName, now: float
    ) -> list[messages.LoadReport]:
        """Returns the report for a reply, none if it has no pace or is old."""
        report = self.report
        if report is None or report.pace is None:
            return []
        age = now - self.reported_at
        if age > MAX_REPORT_AGE:
            return []
        work = self.work.get(operation)
        return [
            messages.LoadReport(
                running=report.running,
                waiting=report.waiting,
                slots=report.slots,
                pace=report.pace,
                age_ms=int(age * 1000),
                work_us=work.microseconds if work else 0,
                hold_us=self.hold.microseconds,
            )
        ]
