"""Requests that a backend server or host has run, and may not outlive.

A backend server may end long after a request has broken it: its caller may have
left by then, and it may even have responded.  So a run is remembered until the
server has been seen alive some time after the run's end.
"""

import collections
import dataclasses

from mangobay import ids, logs, requestdigest
from mangobay.generated import messages

OUTLIVE_SECONDS = 0.25
"""How long a server must live on after a run to have outlived it."""
RESPONDED_SECONDS = 0.1
"""How long before the last sign of life of a server that ends a response may have
come from a run that has caused the end."""
MAX_OUTLIVED_RUNS = 256
"""Runs that a server has outlived, of those that are remembered, oldest forgotten
first."""
OUTLIVED_MEMORY_SECONDS = 10.0
"""How long they are."""
MAX_KEPT_BODY_BYTES = 1024
"""Larger bodies of them are not kept, only their digests."""
MAX_ENDED_RUNS = 2048
"""Ended runs that are remembered of one server, oldest forgotten first."""
MAX_LOGGED_RUNS = 32
"""Runs that are logged with an end, the last ones first."""
MAX_BODY_BYTES = 1024 * 1024
"""Bodies of ended runs that are kept; beyond them, only digests are."""


@dataclasses.dataclass(slots=True, eq=False)
class Exposure:
    """A run of a request at a backend server.

    Attributes:
      service: the called service.
      call: the call; None once only its digest is kept.
      sent_at: loop time at which it was sent.
      ended_at: loop time at which it ended; infinite while it runs.
      answered: whether the server has responded.
      digest: digest of the request, None before it was needed.
      claim: id of the end that was counted before the run, empty if none was.
      end_id: id of the end that is attributed to it, empty if there is none.
    """

    service: ids.ServiceName
    call: messages.Call | None
    sent_at: float
    ended_at: float = float("inf")
    answered: bool = False
    digest: ids.RequestDigest | None = None
    claim: ids.BackendEndId = ids.BackendEndId("")
    end_id: ids.BackendEndId = ids.BackendEndId("")

    @property
    def responded(self) -> bool:
        """Whether the server has responded, so that it may not be the cause."""
        return self.answered and not self.claim

    def find_digest(self) -> ids.RequestDigest:
        """Returns the digest of the request, computed once."""
        if self.digest is None:
            self.digest = requestdigest.digest_of(self.call)
        return self.digest

    def drop_call(self) -> None:
        """Keeps only the digest of the call."""
        self.find_digest()
        self.call = None


class ExposureLog:
    """The runs at one backend server that it has not outlived yet.

    Attributes:
      running: runs in progress, in the order in which they began.
      ended: ended runs, in the order in which they ended.
      outlived: the last runs with a response that the server has outlived.
      body_bytes: size of the bodies that `ended` keeps.
    """

    def __init__(self):
        self.running: dict[Exposure, None] = {}
        self.ended: collections.deque[Exposure] = collections.deque()
        self.outlived: collections.deque[Exposure] = collections.deque(
            maxlen=MAX_OUTLIVED_RUNS
        )
        self.body_bytes = 0

    def __bool__(self) -> bool:
        """Whether it has any run."""
        return bool(self.running or self.ended)

    def start(self, exposure: Exposure) -> None:
        """Adds a run that begins."""
        self.running[exposure] = None

    def discard(self, exposure: Exposure) -> None:
        """Removes a run that has not reached the backend server."""
        self.running.pop(exposure, None)

    def finish(self, exposure: Exposure, now: float, answered: bool) -> None:
        """Notes the end of a run."""
        self.running.pop(exposure, None)
        exposure.ended_at = now
        exposure.answered = answered
        if exposure.end_id:
            return
        if exposure.call is not None:
            size = len(exposure.call.body)
            if self.body_bytes + size > MAX_BODY_BYTES:
                exposure.drop_call()
            else:
                self.body_bytes += size
        self.ended.append(exposure)
        if len(self.ended) > MAX_ENDED_RUNS:
            self.forget_oldest()

    def forget_oldest(self) -> Exposure:
        """Forgets the run that ended first; returns it."""
        exposure = self.ended.popleft()
        if exposure.call is not None:
            self.body_bytes -= len(exposure.call.body)
        return exposure

    def record_life(self, alive_at: float) -> None:
        """Notes which runs a server has outlived that is alive at a loop time."""
        cutoff = alive_at - OUTLIVE_SECONDS
        while self.ended and self.ended[0].ended_at <= cutoff:
            exposure = self.forget_oldest()
            if exposure.answered:
                self.outlived.append(exposure)
                if (
                    exposure.call is not None
                    and len(exposure.call.body) > MAX_KEPT_BODY_BYTES
                ):
                    exposure.drop_call()

    def has_outlived(self, digest: ids.RequestDigest, now: float) -> bool:
        """Returns whether the server has outlived a request a short time ago."""
        cutoff = now - OUTLIVED_MEMORY_SECONDS
        return any(
            exposure.ended_at >= cutoff and exposure.find_digest() == digest
            for exposure in self.outlived
        )

    def has_unanswered(self) -> bool:
        """Whether a run has ended without a response and is not outlived."""
        return any(not exposure.answered for exposure in self.ended)

    def take_suspects(self, alive_at: float, now: float) -> list[Exposure]:
        """Returns the runs that may have ended the server, one of each request.

        A request with a response is none if the server has outlived it before.
        All ended runs are forgotten.

        Args:
          alive_at: loop time of the last sign of life.
          now: loop time.
        """
        exposures = [*self.running]
        for exposure in self.ended:
            if not exposure.answered:
                exposures.append(exposure)
        known = {exposure.find_digest() for exposure in exposures}
        responded_since = alive_at - RESPONDED_SECONDS
        for exposure in self.ended:
            if exposure.answered and exposure.ended_at >= responded_since:
                digest = exposure.find_digest()
                if digest not in known and not self.has_outlived(digest, now):
                    known.add(digest)
                    exposures.append(exposure)
        self.clear_ended()
        return exposures

    def clear_ended(self) -> None:
        """Forgets all runs that have ended."""
        self.ended.clear()
        self.body_bytes = 0


def log_runs(event: str, exposures: list[Exposure], now: float) -> None:
    """Logs the runs to which an end is attributed, by their digests.

    Args:
      event: what they have in common.
      exposures: the runs.
      now: loop time at which the end was noticed.
    """
    newest_first = sorted(
        exposures, key=lambda exposure: exposure.sent_at, reverse=True
    )
    for exposure in newest_first[:MAX_LOGGED_RUNS]:
        logs.log_event(
            logs.Component.CALL,
            event,
            end=exposure.end_id,
            request=exposure.find_digest().hex(),
            service=exposure.service,
            answered=exposure.answered,
            sent_s_before=round(now - exposure.sent_at, 3),
            ended_s_before=round(max(now - exposure.ended_at, 0.0), 3),
        )
