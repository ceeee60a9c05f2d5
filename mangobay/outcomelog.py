"""Logs how calls ended: one log line with counts for each interval.

`mangobay report` sums the counts over the logs of all nodes, and shows how many
calls ran, did not run or have an unknown outcome.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from mangobay import clock, ids, logs
from mangobay.generated import messages

INTERVAL_SECONDS = 60.0
"""Seconds that one log line covers."""

MESSAGE = "calls of an interval"
MESSAGE_TYPE = f"{logs.Component.CALL.value}: {MESSAGE}"


class CallKind(typing.NamedTuple):
    """Key of calls that are counted together.

    Attributes:
      outside: whether a caller outside sent the calls, not a backend server.
      workspace: workspace of the caller outside; empty without one.
    """

    service: ids.ServiceName
    operation: ids.OperationName
    importance: messages.Importance
    outside: bool
    outcome: messages.Outcome
    reason: messages.Reason
    workspace: ids.WorkspaceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallCount:
    """Number of calls of one kind; the fields are those of the log line."""

    service: str
    operation: str
    importance: str
    outside: bool
    outcome: str
    reason: str
    count: int
    workspace: str = ""


def make_call_count(kind: CallKind, count: int) -> CallCount:
    """Returns the count of the calls of a kind, for the log line."""
    return CallCount(
        service=kind.service,
        operation=kind.operation,
        importance=kind.importance.name.lower(),
        outside=kind.outside,
        outcome=kind.outcome.name.lower(),
        reason=kind.reason.name.lower(),
        count=count,
        workspace=kind.workspace,
    )


class OutcomeLog:
    """Counts the calls that entered at one node.

    Attributes:
      host: this node's name.
      counts: number of calls by kind since the last log line.
      since_ms: start of the current interval, Unix time in milliseconds.
      unix_ms: returns the Unix time in milliseconds.
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
        workspace: ids.WorkspaceName = ids.NO_WORKSPACE,
    ) -> None:
        """Counts one call that ended."""
        kind = CallKind(
            operation.service,
            operation.name,
            importance,
            outside,
            reply.outcome,
            reply.reason,
            workspace,
        )
        self.counts[kind] += 1

    def log_interval(self, is_final: bool = False) -> None:
        """Logs the interval that ends now, and starts the next one.

        An interval without calls is logged too: otherwise a report could not
        tell an idle node from a dead one.

        Args:
          is_final: whether the node shuts down cleanly, so that no further
            call is counted.
        """
        # The interval must not be negative if the clock is set back.
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
        """Logs a line now and one for each interval, until cancelled.

        The first line covers no time.  It records that this node runs, so
        that a report shows a gap if the node is killed in its first interval.
        """
        self.log_interval()
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.log_interval()
