"""The body of a large response while the backend server sends it."""

import asyncio
import typing

from mangobay import httpparse, receivedbytes, responsestream

PAUSE_BYTES = 64 * 1024
"""Unread bytes from which nothing more is read from the backend server, unless
the account of received bytes is scarce."""
RESUME_BYTES = PAUSE_BYTES // 2
"""Unread bytes below which reading resumes."""
STALL_SECONDS = 10.0
"""Time in seconds in which a backend server has to send something while it
may."""
FIRST_ERROR_STATUS = 300
"""Responses with such a status and above are passed on whole."""


def is_large(message: httpparse.Message) -> bool:
    """Returns whether a response is passed on in parts."""
    size = max(message.content_length, message.body_size)
    return (
        size > responsestream.WHOLE_BYTES
        and message.status < FIRST_ERROR_STATUS
        and message.status not in httpparse.NO_BODY_STATUSES
    )


class BackendConnection(typing.Protocol):
    """The part of `leanclient.Connection` that the body needs."""

    transport: asyncio.Transport | None

    def drop(self) -> None:
        """Closes the connection; its response is no longer wanted."""


class BackendBody:
    """Reads the body from a connection; its producer.

    Attributes:
      connection: the connection, which carries nothing else meanwhile.
      message: the response as received so far.
      body: the body.
      paused_since: loop time since which nothing is read, because the
        consumer is slower; None while bytes are read.
      paused_seconds: earlier time in which nothing was read.
      last_received_at: loop time of the last bytes, or of the end of a pause.
      stall_timer: timer of check_progress.
    """

    def __init__(
        self,
        connection: BackendConnection,
        message: httpparse.Message,
        loop: asyncio.AbstractEventLoop,
    ):
        has_length = "Content-Length" in message.headers
        self.connection = connection
        self.message = message
        self.loop = loop
        self.body = responsestream.Body(
            message.content_length if has_length else None, self
        )
        self.paused_since: float | None = None
        self.paused_seconds = 0.0
        self.last_received_at = loop.time()
        self.stall_timer = self.start_stall_timer()
        self.body.add_end_callback(self.stop)

    def start_stall_timer(self) -> asyncio.TimerHandle:
        """Starts the timer of the next check for progress."""
        return self.loop.call_later(STALL_SECONDS / 2, self.check_progress)

    def receive(self) -> None:
        """Passes on the bytes that the parser has collected."""
        self.last_received_at = self.loop.time()
        self.body.feed(self.message.take_body())
        pause_bytes = 1 if receivedbytes.account.is_scarce else PAUSE_BYTES
        if (
            self.body.unread_bytes >= pause_bytes
            and self.paused_since is None
            and self.connection.transport is not None
        ):
            self.paused_since = self.last_received_at
            self.connection.transport.pause_reading()

    def consumed(self, byte_count: int) -> None:
        """Resumes reading once the consumer has taken enough."""
        del byte_count
        if self.paused_since is None or self.body.unread_bytes > RESUME_BYTES:
            return
        self.end_pause()

    def end_pause(self) -> None:
        """Resumes reading, and adds the time of the pause."""
        if self.paused_since is None:
            return
        self.last_received_at = self.loop.time()
        self.paused_seconds += self.last_received_at - self.paused_since
        self.paused_since = None
        if self.connection.transport is not None:
            self.connection.transport.resume_reading()

    def abandoned(self) -> None:
        """Closes the connection, which also stops the backend server."""
        self.connection.drop()

    def check_progress(self) -> None:
        """Cuts the body off if the backend server has stalled."""
        silent_seconds = self.loop.time() - self.last_received_at
        if self.paused_since is None and silent_seconds >= STALL_SECONDS:
            self.body.cut_off("the backend server has stalled")
            self.connection.drop()
            return
        self.stall_timer = self.start_stall_timer()

    def stop(self) -> None:
        """Stops the checks; the connection may get another request."""
        self.end_pause()
        self.stall_timer.cancel()


def paused_seconds(body: responsestream.Body) -> float:
    """Returns how long the consumer of a body kept it from being read."""
    producer = body.producer
    return producer.paused_seconds if type(producer) is BackendBody else 0.0
