"""Which attempts of a call may be followed by another one, at another host."""

from mangobay import calls
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
RETRYABLE_REFUSALS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.QUEUE_TIMEOUT,
        Reason.BACKEND_SHED,
        Reason.NO_BACKEND,
        Reason.CONNECTION_FAILED,
    }
)
RETRYABLE_UNKNOWNS = frozenset(
    {Reason.CONNECTION_BROKEN, Reason.INCOMPLETE_ANSWER, Reason.INTERNAL}
)
"""Only for idempotent calls."""
FAILED_STATUS = 500
"""Status of an answer that another backend server may not give."""
FAST_FAILURE_SHARE = 0.3
"""Of the target latency: a try that begins later seldom ends within it."""


def is_redirect(reply: messages.Reply) -> bool:
    """Returns whether the host cannot have touched the call."""
    return reply.outcome is Outcome.NOT_RUN and reply.reason in REDIRECT_REASONS


def may_have_reached_backend(reply: messages.Reply) -> bool:
    """Returns whether a backend server may have seen the call."""
    not_run = reply.outcome is Outcome.NOT_RUN
    return not not_run or reply.reason is Reason.BACKEND_SHED


def is_fast_failure(
    request: calls.Request, reply: messages.Reply, seconds: float
) -> bool:
    """Returns whether a failed answer is worth another try.

    A backend server that fails part of its requests does so at once, and
    another one can still answer in time.  One that fails after calls of its
    own mostly fails for one of these: another try would make all of them
    again, of a service that has just failed one.
    """
    operation = request.operation
    if reply.status != FAILED_STATUS or not operation.idempotent:
        return False
    if reply.called_below:
        return False
    return seconds < FAST_FAILURE_SHARE * operation.target_ms / 1000


def may_retry(request: calls.Request, reply: messages.Reply) -> bool:
    """Returns whether an extra try may go to another host.

    What is refused for the services below is refused at every host: a host
    that has not learned it yet would run the call in vain.
    """
    if reply.outcome == Outcome.NOT_RUN:
        refused_downstream = reply.below > reply.threshold
        return reply.reason in RETRYABLE_REFUSALS and not refused_downstream
    return request.operation.idempotent and reply.reason in RETRYABLE_UNKNOWNS
