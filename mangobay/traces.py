"""What is recorded of the attempts of a hop, only for sampled call trees."""

import dataclasses
import importlib

from mangobay import calls
from mangobay.generated import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """What is recorded of one attempt.

    Attributes:
      started_at: loop time.
    """

    request: calls.Request
    call: messages.Call
    member: messages.Member
    reply: messages.Reply
    started_at: float


class Tracer:
    """Records nothing."""

    def record_attempt(self, attempt: Attempt) -> None:
        """Records one attempt that has ended."""

    def close(self) -> None:
        """Writes what is still unwritten."""


def make_file_tracer(path: str, process: calls.Process) -> Tracer:
    """Returns a tracer that writes spans to a file.

    Raises:
      OSError: the file cannot be opened.
    """
    # OpenTelemetry is slow to load and few nodes trace.
    module = importlib.import_module("mangobay.filetracer")
    return module.FileTracer(path, process)
