"""Records the attempts of calls in sampled traces."""

import dataclasses
import importlib

from mangobay import calls
from mangobay.generated import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt of a call.

    Attributes:
      started_at: loop time of the start.
    """

    request: calls.Request
    call: messages.Call
    member: messages.Member
    reply: messages.Reply
    started_at: float


class Tracer:
    """A tracer that records nothing."""

    def record_attempt(self, attempt: Attempt) -> None:
        """Records one attempt that has ended."""

    def close(self) -> None:
        """Writes the buffered spans and closes the tracer."""


def make_file_tracer(path: str, process: calls.Process) -> Tracer:
    """Returns a tracer that writes spans to a file.

    Raises:
      OSError: the file cannot be opened.
    """
    # Importing OpenTelemetry is slow, and few nodes trace.
    module = importlib.import_module("mangobay.filetracer")
    return module.FileTracer(path, process)
