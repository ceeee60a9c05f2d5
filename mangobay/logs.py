"""Structured logs: short sentences, each with the prefix of its part."""

import enum
import os
import sys

import eliot


class Component(enum.Enum):
    """The part of the system that speaks."""

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
"""Instead of a file's path: lines go to standard output and never wait."""
MAX_BACKLOG_BYTES = 64 * 1024
"""Bytes that are kept for a reader that does not read; more is dropped."""


class NonBlockingStream:
    """A stream of lines that drops what its reader does not take.

    A process whose reader stands still would stop at its next line, with
    every request that it holds.

    Attributes:
      backlog: bytes that the reader has not taken.
      dropped_lines: lines that were not written since the last that said so.
    """

    def __init__(self, fd: int):
        self.fd = fd
        self.backlog = b""
        self.dropped_lines = 0
        os.set_blocking(fd, False)

    def write(self, text: str | bytes) -> None:
        """Writes a line, or keeps it, or drops it."""
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
        """Writes what the reader takes."""
        if not self.backlog:
            return
        try:
            written = os.write(self.fd, self.backlog)
        except BlockingIOError:
            # The lines stay in the backlog, whose length is bounded.
            return
        self.backlog = self.backlog[written:]


def open_log(path: str) -> None:
    """Sends log lines to a file, or to standard error when path is empty.

    Raises:
      OSError: the file cannot be opened.
    """
    if path == STDOUT_PATH:
        eliot.to_file(NonBlockingStream(sys.stdout.fileno()))
        return
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    eliot.to_file(stream)


def log_event(component: Component, event: str, **facts) -> None:
    """Logs one sentence; facts are plain values that JSON can hold.

    Never called once per call: at full load a line a call costs more than
    the decisions do.
    """
    eliot.log_message(message_type=f"{component.value}: {event}", **facts)
