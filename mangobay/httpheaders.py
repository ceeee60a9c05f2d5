"""HTTP headers: which are forwarded, and how the system's own are parsed."""

import collections.abc
import dataclasses
import functools
import math
import random
import re

from mangobay import ids
from mangobay.generated import messages

REQUEST_TIMEOUT = "Request-Timeout"
"""Header with the time left for the response, in decimal seconds."""
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"
TRACESTATE = "tracestate"
OUTCOME = "Mangobay-Outcome"
REASON = "Mangobay-Reason"
SERVICE = "Mangobay-Service"
"""Header of the local listener that names the calling service.

It is needed only where several services are announced on the host.
"""
RETRY_AFTER = "Retry-After"

RESERVED_PREFIX = "mangobay-"
TRACESTATE_KEY = "mangobay"
"""Key of the system's tracestate entry; the value is the parent call's id."""
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
"""Headers of a single connection, never forwarded (RFC 9110, 7.6.1)."""
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "host",
    "request-timeout",
    "traceparent",
    "tracestate",
}
"""Headers that are hop-by-hop or set anew for each hop."""

HeaderMap = collections.abc.Mapping[str, str]
"""Headers by name, in any case; `items` may repeat a name."""

TRACEPARENT_PATTERN = re.compile(
    r"(?P<version>[0-9a-f]{2})-(?P<trace>[0-9a-f]{32})"
    r"-(?P<span>[0-9a-f]{16})-(?P<flags>[0-9a-f]{2})(-.*)?"
)
SAMPLED_FLAG = 1


def end_to_end_headers(received: HeaderMap) -> list[messages.Header]:
    """Returns the end-to-end headers, without those reserved for the system.

    A reserved header set by a caller (`Mangobay-Outcome`, say) would be
    taken for one set by a node, so no header with the reserved prefix is
    forwarded.
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
    """Returns whether a header is forwarded; cached, since names repeat."""
    lower_name = name.lower()
    return (
        lower_name not in NOT_FORWARDED_HEADERS
        and not lower_name.startswith(RESERVED_PREFIX)
    )


def parse_timeout(text: str) -> float:
    """Returns the seconds in a Request-Timeout header, capped at the maximum.

    Raises:
      ValueError: The text is not a positive number; the message may be shown
        to the caller.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise ValueError(f"{REQUEST_TIMEOUT} must be seconds above 0")
    return min(seconds, MAX_TIMEOUT_SECONDS)


def parse_idempotency_key(text: str) -> ids.IdempotencyKey:
    """Returns an idempotency key without the quotes of a structured field.

    Raises:
      ValueError: The key is empty, too long or not printable; the message
        may be shown to the caller.
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
    """The trace context of a call.

    Attributes:
      trace_id: Trace id of the whole call tree, 32 hex digits.
      parent_span: Id of the caller's span, 16 hex digits, or empty.
      sampled: Whether spans are recorded.
    """

    trace_id: str
    parent_span: str
    sampled: bool

    def traceparent(self, span: str) -> str:
        """Returns the traceparent header that makes the span the parent."""
        return f"00-{self.trace_id}-{span}-{'01' if self.sampled else '00'}"


def parse_traceparent(text: str) -> TraceContext | None:
    """Returns the context in a traceparent, or None if it is malformed."""
    match = TRACEPARENT_PATTERN.fullmatch(text)
    if match is None or match["version"] == "ff":
        return None
    if not int(match["trace"], 16) or not int(match["span"], 16):
        return None
    sampled = bool(int(match["flags"], 16) & SAMPLED_FLAG)
    return TraceContext(match["trace"], match["span"], sampled)


def child_trace(traceparent: str, call_id: ids.CallId) -> TraceContext:
    """Returns the context for calls made by a running call.

    Args:
      traceparent: Header of the running call; made by a node, so unchecked.
      call_id: Id of the running call, which is also its span id.
    """
    return TraceContext(traceparent[3:35], call_id, traceparent.endswith("1"))


def new_call_id() -> ids.CallId:
    """Returns a new call id, which is also the id of the call's span."""
    return ids.CallId(f"{random.getrandbits(64) or 1:016x}")


def new_tree_id() -> ids.TreeId:
    """Returns a new call tree id.

    Among calls of equal importance, its hash decides which are shed first.
    The trace id would not do: callers may send it along, so a caller could
    choose one that is shed last and use it for all its calls.
    """
    return ids.TreeId(f"{random.getrandbits(64):016x}")


def new_trace(sample_rate: float) -> TraceContext:
    """Returns a new trace; `sample_rate` is the share of traces recorded."""
    trace_id = f"{random.getrandbits(128) or 1:032x}"
    return TraceContext(trace_id, "", random.random() < sample_rate)


def split_tracestate(tracestate: str) -> tuple[ids.CallId, str]:
    """Returns the parent call's id in a tracestate, and the other entries."""
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
    """Returns a tracestate with the system's entry before the others."""
    own_entry = f"{TRACESTATE_KEY}={call_id}"
    return f"{own_entry},{other_entries}" if other_entries else own_entry


def find(headers: list[messages.Header], name: str) -> str:
    """Returns the value of the first header with the name, or an empty string."""
    lower_name = name.lower()
    for header in headers:
        if header.name.lower() == lower_name:
            return header.value
    return ""
