"""A call that asks for admission, and the error if it is refused."""

import dataclasses

from mangobay import errors, ids
from mangobay.generated import messages


class ShedError(errors.MangobayError):
    """The call was refused, and no part of it ran.

    Attributes:
      reason: why it was refused.
      retry_after: seconds, with jitter, after which the caller may retry.
    """

    def __init__(self, reason: messages.Reason, retry_after: float):
        super().__init__(f"call shed: {reason.name.lower()}")
        self.reason = reason
        self.retry_after = retry_after


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionRequest:
    """What admission control needs to know of a call.

    Attributes:
      importance: from the sheet, the same in the whole call tree.
      depth: hops from the first node.
      deadline: loop time.
      client: who started the call tree.
      operation: the operation that is called, one of the service.
      tree: identifies the call tree, for example by its trace id; if empty,
        the client is used.  Calls of one importance are refused by the hash of
        this.
      max_wait: longest useful wait for a slot in seconds; if 0, the admission
        controller chooses.
    """

    importance: messages.Importance
    depth: int
    deadline: float
    client: ids.ClientId
    operation: ids.OperationName = ids.OperationName("")
    tree: str = ""
    max_wait: float = 0.0
