"""What both sides of a call share."""

import dataclasses
import typing

from mangobay import errors, httpheaders, ids
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import retryallowance

Outcome = messages.Outcome
Reason = messages.Reason

DEFAULT_DEADLINE = 5.0
"""Seconds, where neither the sheet nor the caller gives a deadline."""


class RequestError(errors.MangobayError):
    """An HTTP request was refused before it became a call.

    Attributes:
      reason: why.
      retry_after: seconds after which the caller may come back, 0 for no word.
    """

    def __init__(self, reason: Reason, detail: str, retry_after: float = 0.0):
        super().__init__(detail)
        self.reason = reason
        self.retry_after = retry_after


THRESHOLD_REFUSALS = frozenset({Reason.OVERLOADED, Reason.QUEUE_TIMEOUT})
"""Refusals that say what the services below admit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """This run of the node.

    Attributes:
      host: its name in the settings.
      data_centre: where it stands.
      incarnation: fresh at each start.
    """

    host: ids.HostId
    data_centre: ids.DataCentre
    incarnation: ids.Incarnation


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A call as it enters at a node, from outside or from a backend server.

    Attributes:
      operation: what the table says of it, at the revision.
      revision: the table under which the whole call is judged.
      target: path below the service, with the query.
      headers: those that are passed on.
      caller: the calling service, or OUTSIDE.
      client: who entered the call tree.
      importance: of the whole call tree.
      depth: hops from the first node.
      deadline: loop time.
      allowance: extra tries for this call and what is below it.
      key: idempotency key, empty without.
      trace: where the call stands in its trace.
      tree: names the call tree to admission and routing.
      parent_operation: the operation of whose run here it is a part, empty for none.
      repeat: it is made by a run that is itself another attempt.
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

    def inherit_from(self, parent_call: messages.Call) -> None:
        """Takes the rank of the run that the call is made for."""
        self.importance = parent_call.importance
        self.depth = parent_call.depth + 1
        self.tree = parent_call.tree
        self.parent_operation = parent_call.operation
        self.repeat = parent_call.repeat

    @property
    def requires_owner(self) -> bool:
        """Whether only the owner of its key may run it."""
        return bool(self.key) and not self.operation.idempotent


@dataclasses.dataclass(slots=True, kw_only=True)
class Parent:
    """A call that runs at the backend server here, and may have children.

    Attributes:
      call: as it came.
      deadline: loop time.
      running_call: its tries and its child calls.
    """

    call: messages.Call
    deadline: float
    running_call: "retryallowance.RunningCall"

    @property
    def trace(self) -> httpheaders.TraceContext:
        """The trace of the tree, with this call's span as the parent."""
        return httpheaders.child_trace(self.call.traceparent, self.call.call_id)


def not_run_reply(reason: Reason, retry_after: float = 0.0) -> messages.Reply:
    """Returns the reply of a call of which nothing ran; retry_after seconds."""
    return messages.Reply(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        retry_after_ms=int(retry_after * 1000),
    )


def unknown_reply(reason: Reason) -> messages.Reply:
    """Returns the reply of a call that may have run."""
    return messages.Reply(outcome=Outcome.UNKNOWN, reason=reason)
