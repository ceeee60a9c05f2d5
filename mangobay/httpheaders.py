"""HTTP header fields: which are passed on, and what those of the system say."""

import collections.abc
import dataclasses
import functools
import math
import random
import re

from mangobay import ids
from mangobay.generated import messages

REQUEST_TIMEOUT = "Request-Timeout"
"""Time left for the answer, decimal seconds."""
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"
TRACESTATE = "tracestate"
OUTCOME = "Mangobay-Outcome"
REASON = "Mangobay-Reason"
SERVICE = "Mangobay-Service"
"""On the local listener: which of several announced services calls."""
RETRY_AFTER = "Retry-After"

RESERVED_PREFIX = "mangobay-"
TRACESTATE_KEY = "mangobay"
"""The system's entry of tracestate; its value is the id of the parent call."""
MAX_TIMEOUT_SECONDS = 3600.0
MAX_KEY_LENGTH = 255

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Of one connection, never passed on (RFC 9110, 7.6.1)."""
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "host",
    "request-timeout",
    "traceparent",
    "tracestate",
}
"""Of one connection, or made anew for each hop."""

HeaderMap = collections.abc.Mapping[str, str]
"""Names in any case; a name may stand several times in `items`."""

TRACEPARENT_PATTERN = re.compile(
    r"(?P<version>[0-9a-f]{2})-(?P<trace>[0-9a-f]{32})"
    r"-(?P<span>[0-9a-f]{16})-(?P<flags>[0-9a-f]{2})(-.*)?"
)
SAMPLED_FLAG = 1


def end_to_end_headers(received: HeaderMap) -> list[messages.Header]:
    """Returns the end-to-end fields, without those only the system may set.

    A field that a caller smuggles in (`Mangobay-Outcome`, say) would be taken
    for the word of a node; nothing with the system's prefix is passed on.
    """
    forwarded = [
        messages.Header(name=name, value=value)
        for name, value in received.items()
        if is_end_to_end(name)
    ]
    if "Connection" not in received:
        return forwarded
    tokens = received["Connection"].lower().split(",")
    connection_options = {token.strip() for token in tokens}
    return [
        header
        for header in forwarded
        if header.name.lower() not in connection_options
    ]


@functools.lru_cache(maxsize=4096)
def is_end_to_end(name: str) -> bool:
    """Returns whether a field is passed on; names repeat, so it is cached."""
    lower_name = name.lower()
    return (
        lower_name not in NOT_FORWARDED_HEADERS
        and not lower_name.startswith(RESERVED_PREFIX)
    )


def parse_timeout(text: str) -> float:
    """Returns the seconds of a Request-Timeout.

    Raises:
      ValueError: with a message fit for the caller.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise ValueError(f"{REQUEST_TIMEOUT} must be seconds above 0")
    return min(seconds, MAX_TIMEOUT_SECONDS)


def parse_idempotency_key(text: str) -> ids.IdempotencyKey:
    """Returns an idempotency key; the quotes of a structured field go.

    Raises:
      ValueError: with a message fit for the caller.
    """
    key = text.strip()
    if len(key) > 1 and key[0] == key[-1] == '"':
        key = key[1:-1]
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise ValueError(
            f"{IDEMPOTENCY_KEY} must be 1 to {MAX_KEY_LENGTH} printable characters"
        )
    return ids.IdempotencyKey(key)


@dataclasses.dataclass(frozen=True, slots=True)
class TraceContext:
    """Where a call stands in its trace.

    Attributes:
      trace_id: 32 hex digits, the same for the whole call tree.
      parent_span: span of the caller, 16 hex digits, or empty.
      sampled: spans are recorded.
    """

    trace_id: str
    parent_span: str
    sampled: bool

    def traceparent(self, span: str) -> str:
        """Returns the field that makes the span the parent."""
        return f"00-{self.trace_id}-{span}-{'01' if self.sampled else '00'}"


def parse_traceparent(text: str) -> TraceContext | None:
    """Returns the trace that a traceparent names, None where it is malformed."""
    match = TRACEPARENT_PATTERN.fullmatch(text)
    if match is None or match["version"] == "ff":
        return None
    if not int(match["trace"], 16) or not int(match["span"], 16):
        return None
    sampled = bool(int(match["flags"], 16) & SAMPLED_FLAG)
    return TraceContext(match["trace"], match["span"], sampled)


def child_trace(traceparent: str, call_id: ids.CallId) -> TraceContext:
    """Returns the trace in a traceparent made by a node, unchecked."""
    return TraceContext(traceparent[3:35], call_id, traceparent.endswith("1"))


def new_call_id() -> ids.CallId:
    """Returns a fresh id of a call; it is the id of its span as well."""
    return ids.CallId(f"{random.getrandbits(64) or 1:016x}")


def new_tree_id() -> ids.TreeId:
    """Returns a fresh name of a call tree.

    Within an importance, its hash decides who is shed first. By the trace id
    that a caller may send along, a caller could pick a lucky one and send all
    its calls with it; what a node makes nobody can pick.
    """
    return ids.TreeId(f"{random.getrandbits(64):016x}")


def new_trace(sample_rate: float) -> TraceContext:
    """Returns a trace of its own; sample is the share that is recorded."""
    trace_id = f"{random.getrandbits(128) or 1:032x}"
    return TraceContext(trace_id, "", random.random() < sample_rate)


def split_tracestate(tracestate: str) -> tuple[ids.CallId, str]:
    """Returns the system's entry of a tracestate, and the other entries."""
    parent_id = ids.CallId("")
    other_entries = []
    for entry in tracestate.split(","):
        key, _, value = entry.strip().partition("=")
        if key == TRACESTATE_KEY:
            parent_id = ids.CallId(value)
        elif key:
            other_entries.append(entry.strip())
    return parent_id, ",".join(other_entries)


def join_tracestate(call_id: ids.CallId, other_entries: str) -> str:
    """Returns a tracestate with the system's entry in front."""
    own_entry = f"{TRACESTATE_KEY}={call_id}"
    return f"{own_entry},{other_entries}" if other_entries else own_entry


def find(headers: list[messages.Header], name: str) -> str:
    """Returns the value of the first field of a name, or an empty text."""
    lower_name = name.lower()
    for header in headers:
        if header.name.lower() == lower_name:
            return header.value
    return ""
