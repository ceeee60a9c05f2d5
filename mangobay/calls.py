"""Types shared by the dispatching and the serving side of a call."""

import dataclasses
import typing

from mangobay import errors, httpheaders, ids
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import requestbody, retryallowance

Outcome = messages.Outcome
Reason = messages.Reason

FIRST_SERVER_ERROR_STATUS = 500
DEFAULT_DEADLINE = 5.0
"""Deadline in seconds if neither the sheet nor the caller sets one."""


class RequestError(errors.MangobayError):
    """An HTTP request is refused before it becomes a call.

    Attributes:
      reason: Reason of the refusal.
      retry_after: Seconds after which the caller may retry, 0 if unknown.
      workspace: Workspace of the request, empty if none is known.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str,
        retry_after: float = 0.0,
        workspace: ids.WorkspaceName = ids.NO_WORKSPACE,
    ):
        super().__init__(detail)
        self.reason = reason
        self.retry_after = retry_after
        self.workspace = workspace


THRESHOLD_REFUSALS = frozenset({Reason.OVERLOADED, Reason.QUEUE_TIMEOUT})
"""Reasons of refusals that report the thresholds of downstream services."""


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Identity of a node process.

    Attributes:
      host: Name of the host in the settings.
      data_centre: Data centre of the host.
      incarnation: Id that is new at each start.
    """

    host: ids.HostId
    data_centre: ids.DataCentre
    incarnation: ids.Incarnation


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A call that a node receives from outside or from a backend server.

    Attributes:
      operation: Operation in the table of the revision.
      revision: Revision of the table that applies to the whole call.
      target: Path within the service, with the query.
      headers: Headers that are forwarded.
      body: Body of the request, or its first bytes.
      rest: What follows these, None if the body is complete.
      caller: The calling service, or `ids.OUTSIDE`.
      client: Client at the root of the call tree.
      importance: Importance of the whole call tree.
      depth: Hops from the first node.
      deadline: Loop time of the deadline.
      allowance: Retry allowance of this call and its descendants.
      key: Idempotency key, or empty.
      trace: Trace context of the call.
      tree: Id of the call tree for admission and routing.
      parent_operation: Operation of the running call on this host that makes
        this call, or empty.
      repeat: Whether the call or one of its ancestors is a retry of a call that
        may have reached a backend server.
      workspace: Workspace of the client at the root of the call tree, or empty.
      parent_run: The running call on this host that makes this call, or None.
      retry_threshold: Level below which call trees lack retries, 0 unless this
        call was refused one.
      shortened: Whether the deadline is earlier than that of the caller, since
        this process stops before.
    """

    operation: messages.Operation
    revision: ids.Revision
    target: str
    headers: list[messages.Header]
    body: bytes
    caller: ids.CallerName
    client: ids.ClientId
    importance: messages.Importance
    depth: int
    deadline: float
    allowance: "retryallowance.RetryAllowance"
    key: ids.IdempotencyKey
    trace: httpheaders.TraceContext
    tree: ids.TreeId = ids.TreeId("")
    parent_operation: ids.OperationName = ids.OperationName("")
    repeat: bool = False
    workspace: ids.WorkspaceName = ids.NO_WORKSPACE
    parent_run: "retryallowance.RunningCall | None" = None
    retry_threshold: int = 0
    rest: "requestbody.RequestBody | None" = None
    shortened: bool = False

    @property
    def body_bytes(self) -> int:
        """Size of the body, as far as it is known."""
        return len(self.body) + ((self.rest and self.rest.length) or 0)

    def inherit_from(self, parent: "Parent") -> None:
        """Inherits importance, depth and call tree from the parent call."""
        parent_call = parent.call
        self.parent_run = parent.running_call
        self.workspace = parent_call.workspace
        self.importance = parent_call.importance
        self.depth = parent_call.depth + 1
        self.tree = parent_call.tree
        self.parent_operation = parent_call.operation
        self.repeat = parent_call.repeat

    @property
    def requires_owner(self) -> bool:
        """Whether only the owner of the idempotency key may run the call."""
        return bool(self.key) and not self.operation.idempotent


@dataclasses.dataclass(slots=True, kw_only=True)
class Parent:
    """A call that runs at the backend server on this host.

    Attributes:
      call: The message that was received.
      deadline: Loop time of the deadline.
      running_call: Retry allowance and child calls of the call.
    """

    call: messages.Call
    deadline: float
    running_call: "retryallowance.RunningCall"

    @property
    def trace(self) -> httpheaders.TraceContext:
        """Trace context of child calls, with this call's span as the parent."""
        return httpheaders.child_trace(self.call.traceparent, self.call.call_id)


def not_run_reply(reason: Reason, retry_after: float = 0.0) -> messages.Reply:
    """Returns the reply of a call that did not run.

    Args:
      reason: Reason of the refusal.
      retry_after: Seconds after which the caller may retry, 0 if unknown.
    """
    return messages.Reply(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        retry_after_ms=int(retry_after * 1000),
    )


def unknown_reply(reason: Reason) -> messages.Reply:
    """Returns the reply of a call that may or may not have run."""
    return messages.Reply(outcome=Outcome.UNKNOWN, reason=reason)


def is_success(reply: messages.Reply) -> bool:
    """Returns whether the backend server completed the call successfully.

    A backend server whose child call is refused responds early with an error.
    The duration of such a call is no service time, and its response does not
    mean that the services it calls admit calls.
    """
    is_answered = reply.outcome == Outcome.ANSWERED
    return is_answered and reply.status < FIRST_SERVER_ERROR_STATUS
