"""Structured logs: events, each prefixed with the component that logs it."""

import enum
import os
import sys

import eliot


class Component(enum.Enum):
    """Components that log events; the values are prefixes of log messages."""

    NODE = "node"
    CALL = "call"
    ADMISSION = "admission"
    ROUTING = "routing"
    ONCE = "once"
    LEASE = "lease"
    PEER = "peer"
    GROUP = "group"
    STORAGE = "storage"
    CONTROL = "control"
    OPERATOR = "operator"


STDOUT_PATH = "-"
"""Path that stands for standard output, where writing a line never blocks."""
MAX_BACKLOG_BYTES = 64 * 1024
"""Maximum number of bytes kept for a slow reader; further lines are dropped."""


class NonBlockingStream:
    """A stream of lines that drops lines instead of blocking.

    With a blocking stream, a reader that stops reading would stop the process
    at its next line, along with every request that it is handling.

    Attributes:
      fd: file descriptor to write to.
      backlog: bytes that the reader has not read yet.
      dropped_lines: number of lines dropped since this was last logged.
    """

    def __init__(self, fd: int):
        self.fd = fd
        self.backlog = b""
        self.dropped_lines = 0
        os.set_blocking(fd, False)

    def write(self, text: str | bytes) -> None:
        """Writes a line, keeps it in the backlog, or drops it."""
        data = text.encode() if isinstance(text, str) else text
        if len(self.backlog) + len(data) > MAX_BACKLOG_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            notice = f'{{"message_type": "log: dropped", "lines": {self.dropped_lines}}}'
            data = notice.encode() + b"\n" + data
            self.dropped_lines = 0
        self.backlog += data
        self.flush()

    def flush(self) -> None:
        """Writes as much of the backlog as possible without blocking."""
        if not self.backlog:
            return
        try:
            written = os.write(self.fd, self.backlog)
        except BlockingIOError:
            # The lines stay in the backlog, whose size is bounded.
            return
        self.backlog = self.backlog[written:]


def open_log(path: str) -> None:
    """Opens the destination of log lines.

    Args:
      path: path of a file, STDOUT_PATH, or empty for standard error.

    Raises:
      OSError: the file cannot be opened.
    """
    if path == STDOUT_PATH:
        eliot.to_file(NonBlockingStream(sys.stdout.fileno()))
        return
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    eliot.to_file(stream)


def log_event(component: Component, event: str, **facts) -> None:
    """Logs one event.

    Never used once per call: at full load, a log line per call costs more than
    the load-control decisions.

    Args:
      component: the component that logs it.
      event: what happened, as a short sentence.
      **facts: details, as plain values that JSON can represent.
    """
    eliot.log_message(message_type=f"{component.value}: {event}", **facts)
