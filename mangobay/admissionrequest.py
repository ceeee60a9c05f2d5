"""What is asked of admission, and how it refuses."""

import dataclasses

from mangobay import errors, ids
from mangobay.generated import messages


class ShedError(errors.MangobayError):
    """The call was refused; nothing of it ran.

    Attributes:
      reason: why.
      retry_after: seconds, jittered, after which the caller may try again.
    """

    def __init__(self, reason: messages.Reason, retry_after: float):
        super().__init__(f"shed: {reason.name.lower()}")
        self.reason = reason
        self.retry_after = retry_after


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionRequest:
    """What admission needs to know of a call.

    Attributes:
      importance: from the sheet, the same in the whole call tree.
      depth: hops from the first node.
      deadline: loop time.
      client: who entered the call tree.
      operation: what is called, among those of the service.
      tree: names the call tree, such as its trace id; when empty, the client
        stands for it.  Trees of one importance are refused by its hash.
      max_wait: longest useful wait for a slot, seconds; 0: admission's own.
    """

    importance: messages.Importance
    depth: int
    deadline: float
    client: ids.ClientId
    operation: ids.OperationName = ids.OperationName("")
    tree: str = ""
    max_wait: float = 0.0
