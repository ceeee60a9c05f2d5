"""A rate-limited log of requests that were refused or failed.

Successful requests are not logged: the metrics count them, and a line for each
would cost more than admission and routing do.  Every other request has a line
while the rate stays below LINES_PER_SECOND.  Above it lines are dropped, and
the next line written has their number.
"""

import asyncio
import math

from mangobay import calls, ids, logs, responsestream, routes
from mangobay.generated import messages

LINES_PER_SECOND = 50.0
"""Rate at which the cost of logging stays far below 1% of a core."""
BURST_LINES = 200.0
"""Lines that may be written in a burst before the rate limit applies."""


class RequestLog:
    """The request log of one node, limited by a token bucket.

    Attributes:
      tokens: Number of lines that may be written now.
      refilled_at: Loop time of the last refill.
      dropped: Number of lines dropped since the last line written.
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
        """Logs a call that was not answered, or answered with an error."""
        if not self.take_token():
            return
        logs.log_event(
            logs.Component.CALL,
            "request not answered",
            attempt=attempt,
            route=call.operation.name,
            service=call.operation.service,
            client=call.client,
            workspace=call.workspace,
            routes_version=call.revision,
            outcome=reply.outcome.name.lower(),
            reason=reply.reason.name.lower(),
            status=reply.status,
            host=reply.host,
            threshold=reply.threshold,
            retry_threshold=call.retry_threshold,
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
        table: routes.RouteTable | None,
        routes_age: float,
    ) -> None:
        """Logs a request that was refused before it became a call.

        Args:
          attempt: id of the attempt.
          error: why it was refused.
          table: the routes in force, None before the first.
          routes_age: seconds since the control group confirmed them.
        """
        if not self.take_token():
            return
        logs.log_event(
            logs.Component.CALL,
            "request refused",
            attempt=attempt,
            reason=error.reason.name.lower(),
            why=str(error),
            workspace=error.workspace,
            retry_after_ms=int(error.retry_after * 1000),
            routes_version=table.document.version if table else 0,
            routes_age_ms=(
                int(routes_age * 1000) if math.isfinite(routes_age) else None
            ),
            dropped=self.reset_dropped(),
        )

    def log_cut_off(
        self,
        attempt: ids.AttemptId,
        call: calls.Request,
        reply: responsestream.StreamedReply,
    ) -> None:
        """Logs a large response whose caller did not get its end."""
        body = reply.source
        if body.state is not responsestream.State.CUT_OFF:
            return
        if not self.take_token():
            return
        logs.log_event(
            logs.Component.CALL,
            "large response cut off",
            attempt=attempt,
            route=call.operation.name,
            service=call.operation.service,
            host=reply.host,
            why=body.cut_off_reason,
            received_bytes=body.received_bytes,
            length=body.length,
            dropped=self.reset_dropped(),
        )

    def take_token(self) -> bool:
        """Takes a token for a line; returns False if the line is dropped."""
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
        """Returns the number of dropped lines and resets it."""
        dropped, self.dropped = self.dropped, 0
        return dropped
