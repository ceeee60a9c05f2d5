"""Structured logs: short sentences, each with the prefix of its part."""

import enum
import sys

import eliot


class Part(enum.Enum):
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


def open_log(path: str) -> None:
    """Sends log lines to a file, or to standard error when path is empty.

    Raises:
      OSError: the file cannot be opened.
    """
    target = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    eliot.to_file(target)


def say(part: Part, sentence: str, **facts) -> None:
    """Logs one sentence; facts are plain values that JSON can hold.

    Never called once per call: at full load a line a call costs more than
    the decisions do.
    """
    eliot.log_message(message_type=f"{part.value}: {sentence}", **facts)
