"""HTTP/1.1 messages as the lean edges hold them.

A request and its answer through `aiohttp.web` and `ClientSession` take several
times the processor time, and their start as much as that of all else.
"""

import asyncio
import dataclasses
import functools
import http
import typing

from mangobay import httpheaders
from mangobay.generated import messages

MAX_LINE_BYTES = 16 * 1024
"""Bytes of a request line or one header field; the usual bound of servers."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Headers = typing.Sequence[messages.Header]


class BaseConnection(asyncio.Protocol):
    """One connection.

    Attributes:
      transport: None before it stands and after it ended.
      writing_paused: the other side does not read.
    """

    __slots__ = ("loop", "transport", "writing_paused")

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.writing_paused = False

    def connection_made(self, transport) -> None:
        """Takes the connection."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Lets go of the connection."""
        self.transport = None

    def pause_writing(self) -> None:
        """Notes that the other side does not read."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Notes that the other side reads again."""
        self.writing_paused = False


class ParsedMessage(typing.Protocol):
    """What is needed of a message that was parsed."""

    headers: typing.Mapping[str, str]
    raw_headers: typing.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A whole request.

    Attributes:
      method: in capitals.
      target: path and query, as received.
      headers: by name in any case; of a repeated field, the first.
      raw_headers: every field, as received.
      body: the whole body.
    """

    method: str
    target: str
    headers: typing.Mapping[str, str]
    raw_headers: typing.Sequence[tuple[bytes, bytes]]
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A whole answer; its length is added when it is written."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@functools.lru_cache(maxsize=4096)
def forwarded_name(raw_name: bytes, excluded: frozenset[str]) -> str:
    """Returns the name of a field that is passed on, empty for another.

    Names repeat from request to request, so the answers are cached.
    """
    name = raw_name.decode("utf-8", "surrogateescape")
    lower_name = name.lower()
    return (
        ""
        if lower_name in httpheaders.HOP_BY_HOP_HEADERS
        or lower_name in excluded
        else name
    )


def end_to_end_headers(
    message: ParsedMessage, excluded: frozenset[str]
) -> list[messages.Header]:
    """Returns the fields that are passed on.

    Args:
      message: what was received.
      excluded: further names, in lower case, that are not passed on.
    """
    connection_header = message.headers.get("Connection")
    if connection_header and connection_header.lower() not in (
        "close",
        "keep-alive",
    ):
        connection_options = {
            token.strip() for token in connection_header.lower().split(",")
        }
        excluded = excluded | connection_options
    headers = []
    for name, value in message.raw_headers:
        forwarded = forwarded_name(name, excluded)
        if forwarded:
            headers.append(
                messages.Header(
                    name=forwarded,
                    value=value.decode("utf-8", "surrogateescape"),
                )
            )
    return headers


def encode_headers(headers: Headers) -> str:
    """Returns header lines, each ended."""
    return "".join([f"{header.name}: {header.value}\r\n" for header in headers])


@functools.lru_cache(maxsize=256)
def status_line(status: int) -> str:
    """Returns the first line of an answer."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}\r\n"


def encode_response(
    response: Response, should_close: bool, head_only: bool
) -> bytes:
    """Returns the bytes of an answer.

    Args:
      response: the answer.
      should_close: the connection ends behind it.
      head_only: it answers a HEAD request.
    """
    head = status_line(response.status) + encode_headers(response.headers)
    if response.status not in (204, 304):
        head += f"Content-Length: {len(response.body)}\r\n"
    if should_close:
        head += "Connection: close\r\n"
    body = b"" if head_only else response.body
    return f"{head}\r\n".encode("utf-8", "surrogateescape") + body


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Returns the bytes of a request."""
    head = f"{method} {target} HTTP/1.1\r\n{encode_headers(headers)}"
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode("utf-8", "surrogateescape") + body
