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
MIN_RUNS = 20
"""Runs of an operation before its mean is compared with further runs."""
ERROR_WEIGHT = 0.05
"""Weight of the newest run in the prediction error."""
MAX_RUN_ERROR = 10.0
"""Largest error that a single run counts with."""
DISTRUST_ERROR = 2.0
"""Prediction error from which on reports are distrusted.

Runs of equal work vary by less; a constant error is learned before."""
DISTRUST_SECONDS = 5.0
"""How long reports are not passed on after the prediction error was too large.

It bounds the share of time in which callers are misled by false reports."""
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
      error: moving average of the time of runs as a multiple of the time
        predicted by the reports.
      distrusted_until: loop time until which the reports are distrusted, None
        while they are trusted.
    """

    __slots__ = (
        "distrusted_until",
        "error",
        "hold",
        "report",
        "reported_at",
        "sent_at",
        "work",
    )

    def __init__(self):
        self.report: backend.LoadReport | None = None
        self.reported_at = float("-inf")
        self.sent_at = float("-inf")
        self.work: dict[ids.OperationName, MeanSeconds] = {}
        self.hold = MeanSeconds()
        self.error = 1.0
        self.distrusted_until: float | None = None

    @property
    def distrusted(self) -> bool:
        """Whether the reports are not passed on to callers."""
        return self.distrusted_until is not None

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
        usual_seconds = max(seconds - child_wait_seconds, 0.0) * share
        if mean.count >= MIN_RUNS and mean.seconds:
            run_error = min(usual_seconds / mean.seconds, MAX_RUN_ERROR)
            self.error += (run_error - self.error) * ERROR_WEIGHT
        mean.observe(usual_seconds)
        self.hold.observe(seconds * share)

    def update_trust(self, now: float) -> bool:
        """Distrusts or trusts the reports; returns whether that has changed."""
        if self.distrusted_until is None:
            if self.error < DISTRUST_ERROR:
                return False
            self.distrusted_until = now + DISTRUST_SECONDS
            return True
        if now < self.distrusted_until:
            return False
        self.distrusted_until = None
        self.error = 1.0
        return True

    def to_messages(
        self, operation: ids.OperationName, now: float
    ) -> list[messages.LoadReport]:
        """Returns the report for a reply.

        There is none without a pace, if it is old, or if it is distrusted.
        """
        report = self.report
        if report is None or report.pace is None or self.distrusted:
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
