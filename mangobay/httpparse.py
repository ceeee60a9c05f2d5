"""Strict incremental parsers of HTTP/1.1 messages, one for each connection.

The bytes are parsed by llhttp in its strict mode, through `httptools`.  This
module adds the limits that llhttp lacks: on the length of lines and of the whole
head, including those that never end, and on the number of headers.
"""

import dataclasses
import re
import typing

import httptools
import multidict

MAX_HEADERS = 128
MAX_HEAD_BYTES = 64 * 1024
"""Bytes of a request target and all headers together."""
MAX_FRAMING_BYTES = 256 * 1024
"""Bytes outside of heads that may come without any byte of a body.

Sizes of chunks, their extensions, trailers, and empty lines between messages are
skipped by llhttp however many there are.
"""
SINGLETON_HEADERS = ("Content-Length", "Host")
"""Headers that must not repeat: two servers could read different requests from
the same bytes (request smuggling)."""
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
JOINED_PARTS = 256
"""Parts of a body that are joined; a part of one byte takes dozens of bytes."""
PIECE_BYTES = 32 * 1024
"""Bytes that are parsed at a time.

What follows the end of a head or of a body is counted from the next piece on, as
llhttp does not tell where either ends.
"""
HEAD_END = b"\r\n\r\n"
CHUNKED_PIECE_BYTES = 1024
"""Bytes of a chunked body that are parsed at a time at least."""
EMPTY_LINES = re.compile(rb"[\r\n]*")
MAX_EMPTY_BYTES = 16
"""Bytes of empty lines before a request; some clients send one after a body."""
HEADER_COPIES = 2
"""Copies of each header in memory: as received, and decoded."""
HEADER_OVERHEAD_BYTES = 320
"""Memory of each header besides its bytes."""
PART_OVERHEAD_BYTES = 64
"""Memory of each part of a body besides its bytes."""
TARGET_PREFIXES = ("/", "http://", "https://")
STATUSES = range(100, 600)
"""Statuses of responses, RFC 9110, 15."""
FIRST_FINAL_STATUS = 200
"""Responses with lower statuses are interim responses."""
NO_BODY_STATUSES = frozenset({204, 304})
"""Statuses of responses that never have a body."""


@dataclasses.dataclass(slots=True)
class ParseError(Exception):
    """The received bytes are not a valid message.

    Attributes:
      status: status of the error response.
      text: description of the error.
    """

    status: int
    text: str

    def __str__(self) -> str:
        return self.text


@dataclasses.dataclass(slots=True, eq=False)
class Message:
    """A message as far as it has been received.

    Attributes:
      method: in upper case; empty in a response.
      status: status of a response; 0 in a request.
      target: path and query, as received; empty in a response.
      headers: case-insensitive by name.
      raw_headers: all headers, as received.
      body_parts: the body in parts, the newest of them as they were received.
      joined_count: number of the first parts that were joined from others.
      body_size: bytes of the body received so far.
      content_length: value of Content-Length, 0 without that header.
      is_http10: the request is HTTP/1.0; False in a response.
      should_close: the connection is closed after the message.
      until_eof: the body of the response ends when the connection closes.
      complete: the end of the message has been received.
      head_memory: memory of the headers and the target in bytes.
    """

    method: str = ""
    status: int = 0
    target: str = ""
    headers: multidict.CIMultiDict[str] = dataclasses.field(
        default_factory=multidict.CIMultiDict
    )
    raw_headers: list[tuple[bytes, bytes]] = dataclasses.field(
        default_factory=list
    )
    body_parts: list[bytes] = dataclasses.field(default_factory=list)
    joined_count: int = 0
    body_size: int = 0
    content_length: int = 0
    is_http10: bool = False
    should_close: bool = False
    until_eof: bool = False
    complete: bool = False
    head_memory: int = 0

    @property
    def body(self) -> bytes:
        """The body as far as it has been received."""
        return (
            self.body_parts[0]
            if len(self.body_parts) == 1
            else b"".join(self.body_parts)
        )

    @property
    def held_bytes(self) -> int:
        """Memory of the body as received so far, if nothing of it was taken."""
        return self.body_size + PART_OVERHEAD_BYTES * len(self.body_parts)

    def add_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        parts = self.body_parts
        parts.append(data)
        self.body_size += len(data)
        if len(parts) - self.joined_count >= JOINED_PARTS:
            parts[self.joined_count :] = [b"".join(parts[self.joined_count :])]
            self.joined_count += 1

    def drop_body(self) -> None:
        """Drops the body received so far; `body_size` still counts it."""
        self.body_parts.clear()
        self.joined_count = 0

    def take_body(self) -> bytes:
        """Returns the body received since the last call, and drops it.

        `body_size` still counts it.
        """
        taken = self.body
        self.drop_body()
        return taken


class Parser:
    """Turns bytes into messages; subclasses read the start line.

    Attributes:
      max_line_bytes: limit of the start line, and of each header.
      max_head_bytes: limit of the target and all headers together.
      error: why parsing has stopped; None while there was no error.
      new_messages: messages whose heads were completed by the last piece.
      message: the message that is being received, None between messages.
      in_head: the start line or the headers of `message` are incomplete.
      message_completed: a message was completed by the last piece.
      partial_line_bytes: length of the last line, which is not ended yet.
      framing_bytes: bytes outside of heads since the last byte of a body.
      empty_bytes: bytes of empty lines since the last message.
      head_bytes: bytes of the target and the headers of `message` so far.
      header_count: headers and trailers of `message` so far.
      target_parts: the request target in the pieces received so far.
      native_parser: the llhttp parser, which calls the `on_` methods.
    """

    def __init__(
        self,
        max_line_bytes: int,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ):
        self.max_line_bytes = max_line_bytes
        self.max_head_bytes = max_head_bytes
        self.error: ParseError | None = None
        self.new_messages: list[Message] = []
        self.message: Message | None = None
        self.in_head = False
        self.message_completed = False
        self.partial_line_bytes = 0
        self.framing_bytes = 0
        self.empty_bytes = 0
        self.head_bytes = 0
        self.header_count = 0
        self.target_parts: list[bytes] = []
        self.native_parser = self.make_native_parser()

    def make_native_parser(self) -> typing.Any:
        """Returns the llhttp parser."""
        raise NotImplementedError

    def feed(self, data: bytes) -> list[Message]:
        """Parses bytes; returns the messages whose heads they complete."""
        if len(data) > PIECE_BYTES:
            return [
                message
                for start in range(0, len(data), PIECE_BYTES)
                for message in self.feed(data[start : start + PIECE_BYTES])
            ]
        if self.error is not None:
            return []
        self.new_messages = []
        self.message_completed = False
        if not self.in_head:
            # Reset by the first byte of a body or of the next head.
            self.framing_bytes += len(data)
        try:
            self.feed_native(data)
        except httptools.HttpParserUpgrade:
            # The bytes that follow belong to a protocol that is not supported.
            self.error = ParseError(400, "protocol upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, ParseError):
                raise
            self.error = error.__context__
        except httptools.HttpParserError as error:
            self.error = ParseError(400, str(error))
        else:
            self.check_partial_line(data)
            if self.framing_bytes >= MAX_FRAMING_BYTES:
                self.error = ParseError(400, "too many bytes without content")
        new_messages, self.new_messages = self.new_messages, []
        return new_messages

    def feed_native(self, data: bytes) -> None:
        """Passes bytes to llhttp."""
        self.native_parser.feed_data(data)

    @property
    def head_memory(self) -> int:
        """Memory of the head that is being received, in bytes."""
        if not self.in_head:
            return 0
        head_bytes = self.head_bytes + self.partial_line_bytes
        return (
            HEADER_COPIES * head_bytes
            + HEADER_OVERHEAD_BYTES * self.header_count
        )

    def next_piece(self, data: bytes, start: int) -> int:
        """Returns the end of the bytes that complete one message at most.

        A message that began in an earlier piece may come on top. Sets `error` if
        there are too many empty lines before the next one.

        Args:
          data: bytes that have not been parsed yet.
          start: index of the first of them.
        """
        message = self.message
        search_from = start
        if message is not None and not self.in_head:
            missing_bytes = message.content_length - message.body_size
            if missing_bytes > 0:
                return min(start + missing_bytes, len(data))
            search_from = start + CHUNKED_PIECE_BYTES
        elif message is None:
            search_from = self.skip_empty_lines(data, start)
        found = data.find(HEAD_END, search_from)
        return len(data) if found < 0 else found + len(HEAD_END)

    def skip_empty_lines(self, data: bytes, start: int) -> int:
        """Returns the end of the empty lines at an index.

        Sets `error` if there are too many of them before the next message.
        """
        if self.message is not None:
            return start
        end = EMPTY_LINES.match(data, start).end()
        self.empty_bytes += end - start
        if self.empty_bytes > MAX_EMPTY_BYTES:
            self.error = ParseError(400, "too many empty lines")
        return end

    def close(self) -> None:
        """Releases the llhttp parser, which refers back to this object."""
        self.native_parser = None

    def drop_message(self) -> None:
        """Drops what was received of a message; nothing may be fed after it."""
        self.message = None
        self.target_parts = []

    def check_partial_line(self, data: bytes) -> None:
        """Rejects a head whose last line exceeds the limit before it ends."""
        line_start = data.rfind(b"\n") + 1
        self.partial_line_bytes = (
            len(data)
            - line_start
            + (0 if line_start else self.partial_line_bytes)
        )
        if self.message_completed:
            # The bytes after the last line feed may include a body.
            self.partial_line_bytes = 0
        if not self.in_head:
            return
        if self.partial_line_bytes > self.max_line_bytes:
            self.error = ParseError(431, "a line of the head is too long")
        elif self.head_bytes + self.partial_line_bytes > self.max_head_bytes:
            self.error = ParseError(431, "the head is too large")

    def on_message_begin(self) -> None:
        """Starts a new message."""
        self.message = Message()
        self.in_head = True
        self.framing_bytes = 0
        self.empty_bytes = 0
        self.target_parts = []
        self.head_bytes = 0
        self.header_count = 0

    def on_url(self, data: bytes) -> None:
        """Stores a piece of the request target."""
        self.target_parts.append(data)
        self.head_bytes += len(data)
        if self.head_bytes > self.max_line_bytes:
            raise ParseError(431, "request target is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores a trailer."""
        if len(name) + len(value) > self.max_line_bytes:
            raise ParseError(431, "header is too long")
        self.header_count += 1
        if self.header_count > MAX_HEADERS:
            raise ParseError(431, "too many headers")
        if not self.in_head:
            # A trailer comes after the decisions that headers are read for.
            return
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > self.max_head_bytes:
            raise ParseError(431, "the head is too large")
        value = value.strip(b" \t")
        self.message.raw_headers.append((name, value))
        self.message.headers.add(
            name.decode("utf-8", "surrogateescape"),
            value.decode("utf-8", "surrogateescape"),
        )

    def on_headers_complete(self) -> None:
        """Hands out the message, whose body may still follow."""
        message = self.message
        self.partial_line_bytes = 0
        message.head_memory = self.head_memory
        self.in_head = False
        for name in SINGLETON_HEADERS:
            if len(message.headers.getall(name, ())) > 1:
                raise ParseError(400, f"duplicate header {name}")
        self.read_start_line(message)
        message.content_length = int(message.headers.get("Content-Length", "0"))
        message.should_close = (
            not self.native_parser.should_keep_alive()
            or self.native_parser.should_upgrade()
        )
        self.new_messages.append(message)

    def read_start_line(self, message: Message) -> None:
        """Fills in the values of the start line."""
        raise NotImplementedError

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body."""
        self.message.add_body(data)
        self.framing_bytes = 0

    def on_message_complete(self) -> None:
        """Marks the message as complete."""
        self.message.complete = True
        self.message = None
        self.in_head = False
        self.message_completed = True


class RequestParser(Parser):
    """Parses the requests of one connection.

    An upgrade that a request offers is ignored, and its body is read.

    Attributes:
      is_resuming: a new llhttp parser is brought to the start of a body.
    """

    is_resuming = False

    def make_native_parser(self) -> httptools.HttpRequestParser:
        """Returns the llhttp parser."""
        return httptools.HttpRequestParser(self)

    def feed_native(self, data: bytes) -> None:
        """Passes bytes to llhttp, which stops behind a head with an upgrade."""
        try:
            self.native_parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            (head_end,) = error.args
            self.resume_at_body(self.message)
            if head_end < len(data):
                self.native_parser.feed_data(data[head_end:])

    def resume_at_body(self, message: Message) -> None:
        """Continues behind the head of a message with a new llhttp parser.

        The connection closes after it, so it needs no more than the framing.
        """
        lines = [b"POST / HTTP/1.1", b"Host: x", b"Connection: close"]
        lines += [
            name + b": " + value
            for name, value in message.raw_headers
            if name.lower() in FRAMING_HEADERS
        ]
        self.native_parser = self.make_native_parser()
        self.is_resuming = True
        self.native_parser.feed_data(b"\r\n".join(lines) + HEAD_END)
        self.is_resuming = False

    def on_message_begin(self) -> None:
        """Starts a new message."""
        if not self.is_resuming:
            super().on_message_begin()

    def on_url(self, data: bytes) -> None:
        """Stores a piece of the request target."""
        if not self.is_resuming:
            super().on_url(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores a trailer."""
        if not self.is_resuming:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Hands out the message, whose body may still follow."""
        if not self.is_resuming:
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Marks the message as complete.

        For llhttp, one that offers an upgrade ends with its head.
        """
        if not self.native_parser.should_upgrade():
            super().on_message_complete()

    def read_start_line(self, message: Message) -> None:
        """Fills in the method and the target."""
        message.method = self.native_parser.get_method().decode("ascii")
        message.target = b"".join(self.target_parts).decode(
            "utf-8", "surrogateescape"
        )
        if not message.target.startswith(TARGET_PREFIXES):
            raise ParseError(400, "request target must be a path or HTTP URL")
        message.is_http10 = self.native_parser.get_http_version() == "1.0"
        if "Host" not in message.headers and not message.is_http10:
            raise ParseError(400, "Host header is missing")


class ResponseParser(Parser):
    """Parses the responses of one connection."""

    def make_native_parser(self) -> httptools.HttpResponseParser:
        """Returns the llhttp parser."""
        return httptools.HttpResponseParser(self)

    def read_start_line(self, message: Message) -> None:
        """Fills in the status."""
        message.status = self.native_parser.get_status_code()
        if message.status not in STATUSES:
            raise ParseError(502, f"{message.status} is no status")
        if message.status < FIRST_FINAL_STATUS and (
            message.headers.get("Content-Length", "0") != "0"
            or "Transfer-Encoding" in message.headers
        ):
            raise ParseError(502, "an interim response has a body")
        transfer_coding = message.headers.get("Transfer-Encoding", "").lower()
        message.until_eof = (
            "Content-Length" not in message.headers
            and not transfer_coding.endswith("chunked")
            and message.status not in NO_BODY_STATUSES
        )
