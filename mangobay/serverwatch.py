"""Finds out when the backend server on this host has ended.

No symptom is reliable alone.  A process that has ended accepts no connection,
but it may close its connections before its listener, and another process may
listen at the same address a moment later.  A host that goes dark closes nothing;
it only falls silent.  So several symptoms are combined, and looked for also when
nobody waits for a response any more.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import typing

from mangobay import crashdetection, exposure, ids, logs, options

if typing.TYPE_CHECKING:
    from mangobay import localservices

CHECK_DELAYS = (0.0, 0.05, 0.1, 0.2, 0.4)
"""Seconds before each check for a closed listener; the last one is repeated."""
MAX_CHECK_SECONDS = 15.0
"""How long to check after a run without a response that nothing explains."""
QUIET_INTERVALS = 2.5
"""Usual intervals of announcements without a sign of life that mean an end."""
MIN_QUIET_SECONDS = 0.75
MIN_CHECKED_SECONDS = 0.3
"""Seconds for which this process must have run before silence means anything.

A process that was suspended itself finds the signs of life of that time only
after it has read what was sent meanwhile.
"""
MAX_STALL_SECONDS = 0.2
"""Delay of a check beyond which this process was suspended or starved."""

HasOpenConnection = collections.abc.Callable[[], bool]


class Symptom(enum.Enum):
    """How the end of a backend server was noticed."""

    REFUSED = "it accepts no connections"
    REPLACED = "another incarnation has announced itself"
    QUIET = "it neither responds nor announces itself"


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerEnd:
    """The end of a backend server.

    Attributes:
      end_id: its id.
      symptom: how it was noticed.
      noticed_at: loop time at which it was noticed.
      alive_at: loop time at which the server was last seen alive.
      exposures: the runs that may have caused it.
    """

    end_id: ids.BackendEndId
    symptom: Symptom
    noticed_at: float
    alive_at: float
    exposures: list[exposure.Exposure]


class Listener(typing.Protocol):
    """Acts on what is found out about a backend server."""

    def handle_server_end(self, end: ServerEnd) -> None:
        """Handles an end."""

    def handle_server_return(self, end: ServerEnd) -> None:
        """Handles a sign of life of a server that was taken for ended."""


class ServerWatch:
    """Watches one backend server across its incarnations.

    Attributes:
      service: its service.
      listener: is told about ends.
      end_ids: source of the ids of ends.
      has_open_connection: whether a connection to the server is open, which
        the end of its process would have closed.
      address: where it accepts requests, None before that is known.
      exposures: the runs that the server has not outlived.
      alive_at: loop time of the last sign of life of this incarnation.
      responded_at: loop time of the last response, of this or the next one.
      unsure_since: loop time of the first connection that the server closed
        since the last announcement, None if there was none.
      announced_at: loop time of the last announcement.
      announce_interval: usual seconds between two announcements, 0 before
        there were two.
      incarnation: the incarnation that announced itself last, empty if none.
      last_end: the last end, None if the server was seen alive after it.
      doubtful_end: the last end, if the next announcement may show that there
        was none.
      is_replaced: whether the next incarnation is expected, since the last one
        has ended or left.
      checks: the task that checks the server; None while there is no reason.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        listener: Listener,
        end_ids: collections.abc.Iterator[ids.BackendEndId],
    ):
        self.service = service
        self.listener = listener
        self.end_ids = end_ids
        self.has_open_connection: HasOpenConnection = bool
        self.address: options.Address | None = None
        self.exposures = exposure.ExposureLog()
        self.alive_at = float("-inf")
        self.responded_at = float("-inf")
        self.unsure_since: float | None = None
        self.announced_at = float("-inf")
        self.announce_interval = 0.0
        self.incarnation = ids.BackendIncarnation("")
        self.last_end: ServerEnd | None = None
        self.doubtful_end: ServerEnd | None = None
        self.is_replaced = False
        self.checks: asyncio.Task | None = None

    def record_response(self, sent_at: float, now: float) -> None:
        """Records a response to a request that was sent at a loop time."""
        self.responded_at = now
        if self.last_end is not None and sent_at <= self.last_end.noticed_at:
            return
        self.last_end = None
        if self.unsure_since is None:
            self.record_life(now)

    def record_closed_connection(self, now: float) -> None:
        """Records that the server has closed a connection.

        Until the next announcement, responses may be of another incarnation,
        which proves nothing about the one before.
        """
        if self.unsure_since is None:
            self.unsure_since = now

    def record_unanswered(self, exposed: exposure.Exposure) -> None:
        """Records that a run has ended without a response.

        If it was sent after the last end, another process has accepted it.
        """
        end = self.last_end
        if (
            end is not None
            and self.doubtful_end is None
            and exposed.sent_at > end.noticed_at
        ):
            self.last_end = None
        self.start_checks()

    def record_life(self, now: float) -> None:
        """Records that the current incarnation is alive."""
        self.alive_at = now
        self.last_end = self.unsure_since = None
        self.exposures.record_life(now)

    def record_announcement(
        self, announcement: "localservices.Announcement", now: float
    ) -> None:
        """Records an announcement, which may be of a new incarnation."""
        known, new = self.incarnation, announcement.incarnation
        self.incarnation = new
        if known and new != known:
            if not self.is_replaced or self.exposures.has_unanswered():
                self.declare_end(Symptom.REPLACED, now)
            self.last_end = self.doubtful_end = self.unsure_since = None
            self.is_replaced = False
            self.announced_at = self.alive_at = now
            return
        interval = now - self.announced_at
        if self.announced_at > float("-inf"):
            known_interval = self.announce_interval or interval
            self.announce_interval = (3 * known_interval + interval) / 4
        self.announced_at = now
        self.record_life(now)
        end, self.doubtful_end = self.doubtful_end, None
        if end is not None:
            self.is_replaced = False
            self.listener.handle_server_return(end)

    def record_departure(self) -> None:
        """Records that the server leaves as planned, which is no end."""
        self.exposures.clear_ended()
        self.is_replaced = True

    def is_quiet(self, now: float) -> bool:
        """Whether it has been silent for longer than a healthy server is."""
        if not self.announce_interval:
            return False
        seconds = max(
            self.announce_interval * QUIET_INTERVALS, MIN_QUIET_SECONDS
        )
        return now - max(self.alive_at, self.responded_at) > seconds

    def declare_end(
        self,
        symptom: Symptom,
        now: float,
        end_id: ids.BackendEndId | None = None,
    ) -> None:
        """Attributes an end to the runs that the server has not outlived."""
        end = ServerEnd(
            end_id=end_id or next(self.end_ids),
            symptom=symptom,
            noticed_at=now,
            alive_at=self.alive_at,
            exposures=self.take_suspects(symptom, now),
        )
        for exposed in end.exposures:
            exposed.end_id = exposed.claim or end.end_id
        self.last_end = end
        self.unsure_since = None
        self.is_replaced = True
        log_end(self.service, end)
        self.listener.handle_server_end(end)
        if symptom is Symptom.QUIET:
            self.doubtful_end = end
        else:
            end.exposures = []  # Frees the calls, since `last_end` keeps it.

    def take_suspects(
        self, symptom: Symptom, now: float
    ) -> list[exposure.Exposure]:
        """Returns the runs that may have ended the server; forgets them."""
        suspects = self.exposures.take_suspects(self.alive_at, now)
        since = self.unsure_since
        if symptom is not Symptom.REPLACED or since is None:
            return suspects
        # What was sent later has been answered by the new incarnation.
        return [
            exposed
            for exposed in suspects
            if not exposed.answered or exposed.sent_at <= since
        ]

    def start_checks(self) -> None:
        """Checks from now on whether the server ends, while that matters."""
        if (
            self.checks is None
            and self.exposures
            and self.last_end is None
            and self.address is not None
        ):
            self.checks = asyncio.create_task(self.check(self.address))
            self.checks.add_done_callback(self.forget_checks)

    def forget_checks(self, task: asyncio.Task) -> None:
        """Allows new checks; retrieves the error of the old ones."""
        self.checks = None
        if not task.cancelled() and task.exception() is not None:
            logs.log_event(
                logs.Component.NODE,
                "checks of the backend server failed",
                service=self.service,
                why=repr(task.exception()),
            )

    async def check(self, address: options.Address) -> None:
        """Checks until the server has ended or outlived its unclear runs."""
        loop = asyncio.get_running_loop()
        started_at = running_since = loop.time()
        delays = iter(CHECK_DELAYS)
        while loop.time() - started_at < MAX_CHECK_SECONDS:
            delay = next(delays, CHECK_DELAYS[-1])
            due_at = loop.time() + delay
            await asyncio.sleep(delay)
            if loop.time() - due_at > MAX_STALL_SECONDS:
                running_since = loop.time()
            if self.last_end is not None or not self.is_unclear(started_at):
                return
            if not self.has_open_connection() and (
                await crashdetection.is_refused(address)
            ):
                if self.last_end is None:
                    self.declare_end(Symptom.REFUSED, loop.time())
                return
            checked_seconds = loop.time() - running_since
            if checked_seconds > MIN_CHECKED_SECONDS and self.is_quiet(
                loop.time()
            ):
                self.declare_end(Symptom.QUIET, loop.time())
                return

    def is_unclear(self, started_at: float) -> bool:
        """Whether the server may have ended under a run.

        Args:
          started_at: loop time of the first check.
        """
        if self.exposures.has_unanswered():
            return True
        outlived = self.alive_at - started_at >= exposure.OUTLIVE_SECONDS
        return bool(self.exposures) and not outlived

    async def close(self) -> None:
        """Stops the checks."""
        if self.checks is not None:
            self.checks.cancel()
            await asyncio.gather(self.checks, return_exceptions=True)


def log_end(service: ids.ServiceName, end: ServerEnd) -> None:
    """Logs an end and the runs that may have caused it, by their digests."""
    logs.log_event(
        logs.Component.NODE,
        "backend server has ended",
        service=service,
        end=end.end_id,
        symptom=end.symptom.value,
        silent_s=round(end.noticed_at - end.alive_at, 3),
        runs=len(end.exposures),
    )
    exposure.log_runs(
        "run before the end of the backend server",
        end.exposures,
        end.noticed_at,
    )
