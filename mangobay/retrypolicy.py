"""Decides which failed attempts may be retried on another host."""

from mangobay import calls, levels
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason

REDIRECT_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.NOT_OWNER,
        Reason.NO_BACKEND,
        Reason.CONNECTION_FAILED,
    }
)
"""Refusals by a host that cannot have processed the call."""
RETRYABLE_REFUSALS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.QUEUE_TIMEOUT,
        Reason.BACKEND_SHED,
        Reason.NO_BACKEND,
        Reason.CONNECTION_FAILED,
    }
)
"""Reasons of calls that did not run and may be retried."""
RETRYABLE_UNKNOWNS = frozenset(
    {Reason.CONNECTION_BROKEN, Reason.INCOMPLETE_ANSWER, Reason.INTERNAL}
)
"""Reasons of calls that may have run; only idempotent ones are retried."""
EARLY_REFUSAL_LEVELS = 208
"""Levels of each importance that may be refused early for lack of retries.

Call trees of the other levels, about a fifth, go on: with a few probes only, it
took seconds to find out that a service had ceased to reject requests.
"""
MAX_RESENDS = 6
"""Attempts of a call at hosts that were tried before.

If seven in ten requests are rejected by chance, nine calls in ten are accepted
within this number.
"""
FAILED_STATUS = 500
"""HTTP status that another backend server may not return."""
FAST_FAILURE_SHARE = 0.3
"""Share of the target latency within which a failure may be retried.

A retry that starts later rarely ends within the target latency.
"""


def is_redirect(reply: messages.Reply) -> bool:
    """Returns whether the host cannot have processed the call."""
    return reply.outcome is Outcome.NOT_RUN and reply.reason in REDIRECT_REASONS


def may_resend(reply: messages.Reply, resends: int) -> bool:
    """Returns whether the call may be sent to a host that was tried before.

    A backend server that rejects some of its requests by chance may accept the
    same one the next time.  The request did not run, so this adds no backend
    server to those that have run it.

    Args:
      reply: The reply of the last attempt.
      resends: Number of such attempts so far.
    """
    rejected = (
        reply.outcome is Outcome.NOT_RUN and reply.reason is Reason.BACKEND_SHED
    )
    return rejected and resends < MAX_RESENDS


def early_refusal_threshold(level: int, retry_threshold: int) -> int:
    """Returns the level below which call trees need not begin, 0 if all may.

    While more important calls need all retries, hardly any tree of a less
    important one completes.  Among calls of one importance, a tree may complete
    without a retry, and its refusal would gain nothing for more important ones.

    Args:
      level: Admission level of a call that was refused a retry.
      retry_threshold: Lowest level that is allowed one.
    """
    lowest = level - level % levels.LEVELS_PER_IMPORTANCE
    if retry_threshold < lowest + levels.LEVELS_PER_IMPORTANCE:
        return levels.ADMIT_ALL
    return lowest + EARLY_REFUSAL_LEVELS


def may_have_reached_backend(reply: messages.Reply) -> bool:
    """Returns whether the call may have reached a backend server."""
    not_run = reply.outcome is Outcome.NOT_RUN
    return not not_run or reply.reason is Reason.BACKEND_SHED


def is_fast_failure(
    request: calls.Request, reply: messages.Reply, seconds: float
) -> bool:
    """Returns whether an error response is worth a retry.

    A backend server that fails some of its requests usually fails them at
    once, so another one can still respond in time.  A failure after child
    calls is mostly caused by one of them; a retry would repeat all of these
    calls, also those to the service that has just failed.

    Args:
      request: The call.
      reply: The reply with the response.
      seconds: Time since the first attempt.
    """
    operation = request.operation
    if reply.status != FAILED_STATUS or not operation.idempotent:
        return False
    if reply.called_below:
        return False
    return seconds < FAST_FAILURE_SHARE * operation.target_ms / 1000


def may_retry(request: calls.Request, reply: messages.Reply) -> bool:
    """Returns whether the call may be retried on another host.

    A call that is refused because of a downstream service would be refused by
    every host.  A host that has not learned of the refusal yet would run the
    call in vain.
    """
    if reply.outcome == Outcome.NOT_RUN:
        refused_downstream = reply.below > reply.threshold
        return reply.reason in RETRYABLE_REFUSALS and not refused_downstream
    return request.operation.idempotent and reply.reason in RETRYABLE_UNKNOWNS
