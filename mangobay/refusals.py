"""HTTP responses of the gateway to calls that were not answered.

A status that means "not run" is used only if no part of the call ran, since
callers resend such calls even if they must not run twice.
"""

from mangobay import leanhttp
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason

NOT_RUN_STATUS = 503
UNAUTHENTICATED_STATUS = 401
UNKNOWN_STATUS = 502
DEADLINE_EXCEEDED_STATUS = 504
STATUS_BY_REASON = {
    Reason.NO_SUCH_OPERATION: 404,
    Reason.MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.CALLER_THROTTLED: 429,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.UNAUTHENTICATED: UNAUTHENTICATED_STATUS,
}
"""Statuses of calls that did not run, where not NOT_RUN_STATUS."""
AUTHENTICATE_HEADER = messages.Header(name="WWW-Authenticate", value="Bearer")
DEFAULT_RETRY_AFTER_SECONDS = 0.25
"""Retry-After, in seconds, if the reply names no time.

Within about this time, nodes learn that a backend server that is stopping or
starting is not a member.
"""


def from_reply(reply: messages.Reply) -> leanhttp.Response:
    """Returns the response for a reply other than `answered`."""
    if reply.outcome is Outcome.NOT_RUN:
        status = STATUS_BY_REASON.get(reply.reason, NOT_RUN_STATUS)
        return leanhttp.Response(
            status=status, headers=refusal_headers(status, reply)
        )
    late = reply.reason is Reason.DEADLINE_EXCEEDED
    return leanhttp.Response(
        status=DEADLINE_EXCEEDED_STATUS if late else UNKNOWN_STATUS
    )


def refusal_headers(
    status: int, reply: messages.Reply
) -> list[messages.Header]:
    """Returns the headers of a response to a call that did not run."""
    if status == NOT_RUN_STATUS or reply.retry_after_ms:
        return [retry_after_header(reply.retry_after_ms / 1000)]
    return [AUTHENTICATE_HEADER] if status == UNAUTHENTICATED_STATUS else []


def retry_after_header(seconds: float) -> messages.Header:
    """Returns a Retry-After header.

    Args:
      seconds: the time in it, or 0 for the default.
    """
    seconds = seconds or DEFAULT_RETRY_AFTER_SECONDS
    return messages.Header(name="Retry-After", value=f"{seconds:.3f}")


def retry_later_response() -> leanhttp.Response:
    """Returns a response for a call that did not run, with Retry-After."""
    return leanhttp.Response(
        status=NOT_RUN_STATUS, headers=[retry_after_header(0.0)]
    )
