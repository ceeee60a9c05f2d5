"""Connections of `aiohttp` servers, with bounds on what they keep."""

from aiohttp import web

from mangobay import (
    badinput,
    httpparse,
    leanhttp,
    receivedbytes,
    smallreads,
    unsentresponses,
)

HEADER_COPIES = 4
"""Copies of the bytes of a head in memory, with the objects around them."""
MAX_UNHELD_BYTES = 16 * 1024
"""Bytes of a connection that are not on the account of received bytes; the same
of its write buffer, which is full above it."""
TOO_LONG_LINE = b"x" * (leanhttp.MAX_LINE_BYTES + 1)
"""What the parser rejects in every state within a head."""


class Connection(web.RequestHandler, smallreads.SmallReads):
    """One connection of a caller.

    aiohttp bounds each line of a head and their number, but not the sum, and
    keeps what it cannot handle at once.

    Attributes:
      head_bytes: bytes since the last complete head or part of a body.
      held_bytes: bytes received since no request was in hand.
      head_refused: a head was too large; nothing more is parsed.
      newest_body: body of the request whose head was last complete.
      unsent: holds the response in the write buffer while that is full.
    """

    __slots__ = (
        "__weakref__",
        "head_bytes",
        "head_refused",
        "held_bytes",
        "newest_body",
        "unsent",
    )

    cut_last = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.head_bytes = 0
        self.held_bytes = 0
        self.head_refused = False
        self.newest_body = None
        self.unsent: unsentresponses.UnsentResponses | None = None

    def connection_made(self, transport) -> None:
        """Bounds the write buffer."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=MAX_UNHELD_BYTES)

    def connection_lost(self, exc) -> None:
        """Releases what the connection holds."""
        super().connection_lost(exc)
        receivedbytes.account.release(self)
        self.release_unsent()

    @property
    def has_requests(self) -> bool:
        """Whether requests are handled or queued."""
        return bool(self._messages) or self._request_in_progress

    def data_received(self, data: bytes) -> None:
        """Parses bytes; refuses a head that is too large."""
        if self.head_refused:
            return
        request_count = self._request_count
        super().data_received(data)
        if self._request_count != request_count:
            self.head_bytes = 0
            if self._messages:
                self.newest_body = self._messages[-1][1]
        elif self.newest_body is None or self.newest_body.is_eof():
            self.head_bytes += len(data)
            if self.head_bytes > httpparse.MAX_HEAD_BYTES:
                self.head_refused = True
                badinput.refused.record("the head is too large")
                super().data_received(TOO_LONG_LINE)
                return
        self.hold(len(data))

    def hold(self, received_bytes: int) -> None:
        """Updates what the connection holds of the account of received bytes.

        Args:
          received_bytes: what was received since the last update.
        """
        if not self.has_requests:
            self.held_bytes = self.head_bytes
        elif self.newest_body is None or self.newest_body.is_eof():
            self.held_bytes += received_bytes
        if self.held_bytes > MAX_UNHELD_BYTES:
            receivedbytes.account.hold(self, HEADER_COPIES * self.held_bytes)
        else:
            receivedbytes.account.release(self)

    async def finish_response(self, request, resp, start_time):
        """Overrides the method of aiohttp; releases the request."""
        result = await super().finish_response(request, resp, start_time)
        if not self._messages:
            self.held_bytes = self.head_bytes
            receivedbytes.account.release(self)
        return result

    def drop_received(self) -> None:
        """Closes the connection: it holds most of a full account."""
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Puts the response that is not read on the account."""
        super().pause_writing()
        self.unsent = unsentresponses.UnsentResponses(self.transport)

    def resume_writing(self) -> None:
        """Notes that the write buffer has drained."""
        super().resume_writing()
        self.release_unsent()

    def release_unsent(self) -> None:
        """Takes the response off the account."""
        if self.unsent is not None:
            self.unsent.release()
            self.unsent = None
