"""HTTP responses of the gateway to calls that were not answered.

A status that means "not run" is used only if no part of the call ran, since
callers resend such calls even if they must not run twice.
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
"""Statuses of calls that did not run, where not NOT_RUN_STATUS."""
DEFAULT_RETRY_AFTER_SECONDS = 0.25
"""Retry-After, in seconds, if the reply names no time.

Within about this time, nodes learn that a backend server that is stopping or
starting is not a member.
"""


def from_reply(reply: messages.Reply) -> leanhttp.Response:
    """Returns the response for a reply other than `answered`."""
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
    """Returns a response for a call that did not run, with Retry-After.

    Args:
      seconds: Seconds for Retry-After, or 0 for the default.
    """
    seconds = seconds or DEFAULT_RETRY_AFTER_SECONDS
    header = messages.Header(name="Retry-After", value=f"{seconds:.3f}")
    return leanhttp.Response(status=NOT_RUN_STATUS, headers=[header])
