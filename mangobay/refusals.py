"""Refusals on the lean edge: a status, and when to come back.

A status that says "not run" is given only for a call of which nothing ran:
callers send those again, also what must not run twice.
"""

from mangobay import leanhttp
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
DEADLINE_EXCEEDED_STATUS = 504
STATUS_BY_REASON = {
    Reason.NO_SUCH_OPERATION: 404,
    Reason.MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.CALLER_THROTTLED: 429,
}
"""Of calls that did not run, where it is not NOT_RUN."""
DEFAULT_RETRY_AFTER_SECONDS = 0.25
"""Seconds, where the refusal names no time: a leaving or starting backend
server is out of the members that nodes know within about that time."""


def from_reply(reply: messages.Reply) -> leanhttp.Response:
    """Returns the answer that tells of a call that was not answered."""
    if reply.outcome is Outcome.NOT_RUN:
        status = STATUS_BY_REASON.get(reply.reason, NOT_RUN_STATUS)
        if status != NOT_RUN_STATUS:
            return leanhttp.Response(status=status)
        return retry_later_response(reply.retry_after_ms / 1000)
    late = reply.reason is Reason.DEADLINE_EXCEEDED
    return leanhttp.Response(
        status=DEADLINE_EXCEEDED_STATUS if late else UNKNOWN_STATUS
    )


def retry_later_response(seconds: float = 0.0) -> leanhttp.Response:
    """Returns the answer to what has not run, with when to come back."""
    seconds = seconds or DEFAULT_RETRY_AFTER_SECONDS
    header = messages.Header(name="Retry-After", value=f"{seconds:.3f}")
    return leanhttp.Response(status=NOT_RUN_STATUS, headers=[header])
