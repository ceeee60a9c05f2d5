"""Discards what callers still send after the last response of a connection.

A connection that is closed while input is unread, or still comes, is reset, and
the reset discards a response that the caller has not read yet.  Many callers read
only once they have sent their whole request.
"""

import dataclasses

from mangobay import httpparse

STALL_SECONDS = 10.0
"""Seconds without input after which the rest of a request is not awaited."""
MAX_SECONDS = 30.0
"""Seconds after the response for which input is discarded at most."""
MAX_BYTES = 8 * 1024 * 1024
"""Most bytes that are discarded on one connection."""


@dataclasses.dataclass(slots=True)
class UnreadInput:
    """The input of one connection that is not read any more.

    Attributes:
      parser: finds the end of the request.
      message: the request that was not received in full; None if there is none,
        or its end is not awaited any more.
      started_at: loop time from which on input is discarded.
      received_at: loop time at which input last came.
      byte_count: bytes that were discarded.
    """

    parser: httpparse.RequestParser
    message: httpparse.Message | None
    started_at: float
    received_at: float
    byte_count: int = 0

    def discard(self, data: bytes, now: float) -> bool:
        """Discards input; returns whether more may be read.

        Args:
          data: the input.
          now: loop time.
        """
        self.byte_count += len(data)
        if self.byte_count > MAX_BYTES:
            self.message = None
            return False
        self.received_at = now
        if self.message is not None:
            self.parser.feed(data)
            self.message.take_body()
            if self.message.complete or self.parser.error is not None:
                self.message = None
        return True

    @property
    def is_incomplete(self) -> bool:
        """Whether the rest of a request is missing."""
        return self.message is not None and not self.message.complete

    def end_at(self, pause_seconds: float) -> float:
        """Returns the loop time until which input is discarded.

        Args:
          pause_seconds: time without input after which nothing more is awaited
            from a caller that has sent its whole request.
        """
        pause = STALL_SECONDS if self.is_incomplete else pause_seconds
        return min(self.received_at + pause, self.started_at + MAX_SECONDS)

    def is_awaited(self, now: float) -> bool:
        """Returns whether the rest of a request is still coming."""
        return self.is_incomplete and now < self.end_at(0.0)
