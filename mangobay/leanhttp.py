"""HTTP/1.1 messages and connections of the lean server and client.

A request handled by `aiohttp.web` and `ClientSession` takes several times the
processor time that it takes here, and their start takes as much as that of the
rest of the process.
"""

import asyncio
import dataclasses
import functools
import http
import typing

from mangobay import httpheaders, requestbody, responsestream
from mangobay.generated import messages

MAX_LINE_BYTES = 16 * 1024
"""Bytes of a request line or a header field; the usual limit of servers."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Headers = typing.Sequence[messages.Header]


class BaseConnection(asyncio.Protocol):
    """Base class of the server's and the client's connections.

    Attributes:
      transport: None before the connection opens and after it is closed.
      writing_paused: the write buffer is full because the peer does not read.
    """

    __slots__ = ("loop", "transport", "writing_paused")

    cut_last = False

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.writing_paused = False

    def connection_made(self, transport) -> None:
        """Stores the transport of the new connection."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the transport."""
        self.transport = None

    def pause_writing(self) -> None:
        """Records that the write buffer is full."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Records that the write buffer has room again."""
        self.writing_paused = False


class ParsedMessage(typing.Protocol):
    """The parts of a parsed message that forwarding needs."""

    headers: typing.Mapping[str, str]
    raw_headers: typing.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request.

    Attributes:
      method: in upper case.
      target: path and query, as received.
      headers: case-insensitive by name; the first value of a repeated header.
      raw_headers: all headers, as received.
      body: the complete body, or its first bytes.
      rest: what follows these, None if the body is complete.
    """

    method: str
    target: str
    headers: typing.Mapping[str, str]
    raw_headers: typing.Sequence[tuple[bytes, bytes]]
    body: bytes = b""
    rest: requestbody.RequestBody | None = None

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A response; `encode_response` adds its Content-Length.

    Attributes:
      status: its status.
      headers: its headers, without those of its framing.
      body: the complete body.
      stream: the body of a large response in place of `body`, else None.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    stream: responsestream.Body | None = None


@functools.lru_cache(maxsize=4096)
def forwarded_name(raw_name: bytes, excluded: frozenset[str]) -> str:
    """Returns the name of a header that is forwarded, empty for others.

    Names repeat from request to request, so the results are cached.
    """
    name = raw_name.decode("utf-8", "surrogateescape")
    lower_name = name.lower()
    return (
        ""
        if lower_name in httpheaders.HOP_BY_HOP_HEADERS
        or lower_name in excluded
        else name
    )


def header_values(message: ParsedMessage, lower_name: bytes) -> list[str]:
    """Returns the values of all headers of a name, which is in lower case."""
    return [
        value.decode("utf-8", "surrogateescape")
        for name, value in message.raw_headers
        if name.lower() == lower_name
    ]


def end_to_end_headers(
    message: ParsedMessage, excluded: frozenset[str]
) -> list[messages.Header]:
    """Returns the headers of a message that are forwarded.

    Args:
      message: the received message.
      excluded: lower-case names of further headers that are not forwarded.
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
    """Returns the header lines, each with its line terminator."""
    return "".join([f"{header.name}: {header.value}\r\n" for header in headers])


@functools.lru_cache(maxsize=256)
def status_line(status: int) -> str:
    """Returns the status line of a response."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}\r\n"


def encode_response(
    response: Response, should_close: bool, head_only: bool
) -> bytes:
    """Returns the bytes of a response.

    Args:
      response: the response.
      should_close: the connection is closed after it.
      head_only: the request was a HEAD request, so the body is left out.
    """
    head = status_line(response.status) + encode_headers(response.headers)
    if response.status not in (204, 304):
        head += f"Content-Length: {len(response.body)}\r\n"
    if should_close:
        head += "Connection: close\r\n"
    body = b"" if head_only else response.body
    return f"{head}\r\n".encode("utf-8", "surrogateescape") + body


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a body; of no bytes, the end of the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_request(
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    rest: requestbody.Source | None = None,
) -> bytes:
    """Returns the bytes of a request, up to the rest of its body.

    Without a length, the rest follows in chunks, and `body` is the first one.
    """
    head = f"{method} {target} HTTP/1.1\r\n{encode_headers(headers)}"
    if rest is not None and rest.length is None:
        head += "Transfer-Encoding: chunked\r\n"
        body = encode_chunk(body)
    elif body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        length = len(body) + (rest.length if rest is not None else 0)
        head += f"Content-Length: {length}\r\n"
    return f"{head}\r\n".encode("utf-8", "surrogateescape") + body
