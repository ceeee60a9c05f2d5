"""HTTP responses to failed calls: status and problem details (RFC 9457)."""

import dataclasses
import json
import math
import random

from mangobay import httpheaders
from mangobay.generated import messages

MEDIA_TYPE = "application/problem+json"
Outcome = messages.Outcome
Reason = messages.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemType:
    """How a reason is reported over HTTP.

    Attributes:
      status: HTTP status code.
      title: Summary, the same for every problem of this type.
    """

    status: int
    title: str


PROBLEM_TYPES = {
    Reason.NO_SUCH_OPERATION: ProblemType(404, "No such operation"),
    Reason.OVERLOADED: ProblemType(503, "Overloaded"),
    Reason.QUEUE_TIMEOUT: ProblemType(503, "No free slot in time"),
    Reason.DEADLINE_EXCEEDED: ProblemType(504, "Deadline exceeded"),
    Reason.NO_BACKEND: ProblemType(503, "No backend server"),
    Reason.LEAVING: ProblemType(503, "The host is leaving"),
    Reason.NO_LEASE: ProblemType(
        503, "The host is cut off from the control group"
    ),
    Reason.NOT_OWNER: ProblemType(503, "The key's owner changes"),
    Reason.COPY_FAILED: ProblemType(503, "The key could not be recorded"),
    Reason.KEY_EXPIRED: ProblemType(409, "The key is too old"),
    Reason.KEY_REUSED: ProblemType(422, "The key was used for another request"),
    Reason.KEY_REQUIRED: ProblemType(400, "An idempotency key is required"),
    Reason.OWNER_CHANGED: ProblemType(503, "The key's owner changed"),
    Reason.CONNECTION_FAILED: ProblemType(503, "No connection"),
    Reason.CONNECTION_BROKEN: ProblemType(502, "The connection broke"),
    Reason.INCOMPLETE_ANSWER: ProblemType(502, "The answer was incomplete"),
    Reason.BACKEND_SHED: ProblemType(503, "The backend server refused"),
    Reason.QUARANTINED: ProblemType(
        503, "Backend servers ended under this request"
    ),
    Reason.TOO_LARGE: ProblemType(413, "Too large"),
    Reason.CANCELLED: ProblemType(503, "Cancelled"),
    Reason.TRIES_EXHAUSTED: ProblemType(503, "No tries left"),
    Reason.CALLER_THROTTLED: ProblemType(429, "The caller sends too much"),
    Reason.MALFORMED: ProblemType(400, "Malformed request"),
    Reason.INTERNAL: ProblemType(500, "Internal fault"),
    Reason.RUNNING: ProblemType(409, "The first request of the key still runs"),
}

RESPONSE_TOO_LARGE = ProblemType(502, "The answer was too large")
ABORTED_BY_SHUTDOWN = ProblemType(502, "The host left before the answer")

RETRYABLE_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.QUEUE_TIMEOUT,
        Reason.NO_BACKEND,
        Reason.LEAVING,
        Reason.NO_LEASE,
        Reason.NOT_OWNER,
        Reason.COPY_FAILED,
        Reason.OWNER_CHANGED,
        Reason.CONNECTION_FAILED,
        Reason.BACKEND_SHED,
        Reason.QUARANTINED,
        Reason.CALLER_THROTTLED,
    }
)
"""Reasons after which a retry may succeed."""
DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Mean Retry-After, in seconds, if the reply names no time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An HTTP response with problem details."""

    status: int
    headers: dict[str, str]
    body: bytes


def retry_after_seconds(reply: messages.Reply, rng: random.Random) -> int:
    """Returns the whole seconds for Retry-After, or 0 for no header.

    Retry-After holds whole seconds only.  Random rounding keeps the mean and
    spreads the retries of callers that are refused together.
    """
    if (
        reply.reason not in RETRYABLE_REASONS
        or reply.outcome != Outcome.NOT_RUN
    ):
        return 0
    seconds = reply.retry_after_ms / 1000
    if not seconds:
        seconds = DEFAULT_RETRY_AFTER_SECONDS * rng.uniform(0.5, 1.5)
    return max(1, math.floor(seconds + rng.random()))


def problem_type(outcome: Outcome, reason: Reason) -> ProblemType:
    """Returns the problem type for an outcome and a reason."""
    if outcome == Outcome.UNKNOWN and reason == Reason.TOO_LARGE:
        return RESPONSE_TOO_LARGE
    if outcome == Outcome.UNKNOWN and reason == Reason.LEAVING:
        return ABORTED_BY_SHUTDOWN
    return PROBLEM_TYPES.get(reason, PROBLEM_TYPES[Reason.INTERNAL])


def from_reply(
    reply: messages.Reply, rng: random.Random, detail: str = ""
) -> Problem:
    """Returns the problem response for a reply other than `answered`."""
    kind = problem_type(reply.outcome, reply.reason)
    outcome = reply.outcome.name.lower()
    reason = reply.reason.name.lower()
    headers = {
        "Content-Type": MEDIA_TYPE,
        httpheaders.OUTCOME: outcome,
        httpheaders.REASON: reason,
    }
    members: dict[str, str | int] = {
        "type": f"urn:mangobay:{reason}",
        "title": kind.title,
        "status": kind.status,
        "outcome": outcome,
        "reason": reason,
    }
    if detail:
        members["detail"] = detail
    seconds = retry_after_seconds(reply, rng)
    if seconds:
        headers[httpheaders.RETRY_AFTER] = str(seconds)
    body = json.dumps(members).encode() + b"\n"
    return Problem(kind.status, headers, body)
