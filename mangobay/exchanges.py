"""One request of a connection of the lean HTTP server, and its response."""

import asyncio
import dataclasses

from mangobay import httpparse, requestbody, responsewriter

REQUEST_MEMORY_BYTES = 8 * 1024
"""Memory of a request that is handled, besides its head and body."""


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection and its response.

    Attributes:
      message: the request as received so far; None if it was malformed.
      rest: what follows the first bytes of a large body; None for others, and
        until the request is handled.
      received_at: loop time at which the head was complete.
      task: handles the request; None until the body is complete or large.
      response_bytes: the encoded response; empty until it is available.
      should_close: the connection is closed after the response.
      turn: set once a large response may be written, after the responses to
        the requests before; None for other responses.
      framing: framing of a large response whose turn has come.
      awaits_continue: the caller waits for an interim response before it sends
        the body.
    """

    message: httpparse.Message | None
    rest: requestbody.RequestBody | None = None
    received_at: float = 0.0
    task: asyncio.Task | None = None
    response_bytes: bytes = b""
    should_close: bool = False
    turn: asyncio.Event | None = None
    framing: responsewriter.Framing | None = None
    awaits_continue: bool = False

    @property
    def memory_bytes(self) -> int:
        """Memory of the request and of its response."""
        held_bytes = len(self.response_bytes)
        if self.task is not None:
            held_bytes += REQUEST_MEMORY_BYTES
        if self.message is not None:
            held_bytes += self.message.head_memory
            if self.rest is None:
                held_bytes += self.message.held_bytes
        return held_bytes
