"""The log of decisions that touch a request: one line each, bounded.

Answered requests have no line: their number is in the metrics, and a line for
each would cost more than the decisions do.  Of all else, every request has
one as long as fewer than LINES_A_SECOND come; above that the lines dropped
are counted in the next one.
"""

import asyncio

from mangobay import calls, ids, logs, routes
from mangobay.generated import messages

LINES_PER_SECOND = 50.0
"""Keeps the lines far below a hundredth of a core."""
BURST_LINES = 200.0
"""Lines that a sudden trouble may write before the rate counts."""


class RequestLog:
    """Writes the lines of one node.

    Attributes:
      tokens: lines that may be written now.
      dropped: lines left out since the last one.
    """

    def __init__(self):
        self.tokens = BURST_LINES
        self.refilled_at = 0.0
        self.dropped = 0

    def log_unanswered(
        self,
        attempt: ids.AttemptId,
        call: calls.Request,
        reply: messages.Reply,
        seconds: float,
    ) -> None:
        """Notes a request that got no answer, or a failure."""
        if not self.take_token():
            return
        logs.say(
            logs.Part.CALL,
            "request not answered",
            attempt=attempt,
            route=call.operation.name,
            service=call.operation.service,
            client=call.client,
            routes_version=call.revision,
            outcome=reply.outcome.name.lower(),
            reason=reply.reason.name.lower(),
            status=reply.status,
            host=reply.host,
            threshold=reply.threshold,
            running=reply.inflight,
            limit=reply.limit,
            held_ms=int(seconds * 1000),
            retry_after_ms=reply.retry_after_ms,
            dropped=self.reset_dropped(),
        )

    def log_refused(
        self,
        attempt: ids.AttemptId,
        error: calls.RequestError,
        table: routes.Table | None,
    ) -> None:
        """Notes a request that became no call."""
        if not self.take_token():
            return
        logs.say(
            logs.Part.CALL,
            "request refused",
            attempt=attempt,
            reason=error.reason.name.lower(),
            why=str(error),
            routes_version=table.document.version if table else 0,
            dropped=self.reset_dropped(),
        )

    def take_token(self) -> bool:
        """Counts a line; returns whether it may be written."""
        now = asyncio.get_running_loop().time()
        new_tokens = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + new_tokens)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True

    def reset_dropped(self) -> int:
        """Returns how many lines were left out, and starts over."""
        dropped, self.dropped = self.dropped, 0
        return dropped
