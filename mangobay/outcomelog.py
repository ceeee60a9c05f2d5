"""The record of how calls ended: one log line for each interval.

The counts say what ran, what did not and what is unknown; `mangobay report`
adds them up over the logs of all nodes.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from mangobay import clock, ids, logs
from mangobay.generated import messages

INTERVAL_SECONDS = 60.0
"""Seconds that one line covers."""

MESSAGE = "calls of an interval"
MESSAGE_TYPE = f"{logs.Component.CALL.value}: {MESSAGE}"


class CallKind(typing.NamedTuple):
    """Calls that are counted together.

    Attributes:
      outside: whether a caller sent them, and not a backend server.
    """

    service: ids.ServiceName
    operation: ids.OperationName
    importance: messages.Importance
    outside: bool
    outcome: messages.Outcome
    reason: messages.Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallCount:
    """How many calls of one kind ended, as the log line holds it."""

    service: str
    operation: str
    importance: str
    outside: bool
    outcome: str
    reason: str
    count: int


def make_call_count(kind: CallKind, count: int) -> CallCount:
    """Returns what the log line says of the calls of a kind."""
    return CallCount(
        service=kind.service,
        operation=kind.operation,
        importance=kind.importance.name.lower(),
        outside=kind.outside,
        outcome=kind.outcome.name.lower(),
        reason=kind.reason.name.lower(),
        count=count,
    )


class OutcomeLog:
    """Counts the calls that entered at one node.

    Attributes:
      host: this node's name.
      counts: the calls since the last line.
      since_ms: Unix time where the interval began, milliseconds.
      unix_ms: Unix time in milliseconds.
    """

    def __init__(
        self,
        host: ids.HostId,
        unix_ms: collections.abc.Callable[[], int] = clock.unix_ms,
    ):
        self.host = host
        self.unix_ms = unix_ms
        self.counts: collections.Counter[CallKind] = collections.Counter()
        self.since_ms = unix_ms()

    def record_call(
        self,
        operation: messages.Operation,
        importance: messages.Importance,
        outside: bool,
        reply: messages.Reply,
    ) -> None:
        """Counts one call that ended."""
        kind = CallKind(
            operation.service,
            operation.name,
            importance,
            outside,
            reply.outcome,
            reply.reason,
        )
        self.counts[kind] += 1

    def log_interval(self, is_final: bool = False) -> None:
        """Logs the interval that ends now, also when no call ended in it.

        An empty interval is written too: without it a quiet node and a dead
        one would look the same in a report.

        Args:
          is_final: the node ends in good order, so that no call follows.
        """
        # A wall clock set back must not make an interval of negative length.
        until_ms = max(self.since_ms, self.unix_ms())
        counts = sorted(self.counts.items())
        logs.log_event(
            logs.Component.CALL,
            MESSAGE,
            host=self.host,
            since_ms=self.since_ms,
            until_ms=until_ms,
            last=is_final,
            calls=[
                dataclasses.asdict(make_call_count(*item)) for item in counts
            ],
        )
        self.since_ms = until_ms
        self.counts.clear()

    async def run(self) -> None:
        """Writes a line now and one for each interval, until cancelled.

        The first one covers no time.  It tells that this node runs, so that
        one killed within its first interval is seen to be missing.
        """
        self.log_interval()
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.log_interval()
