"""HTTP/1.1 messages out of bytes, strictly, one parser for each connection.

The parser proper is llhttp in its strict mode, by `httptools`.  What it does not
bound is bounded here: lines, the number of fields, and a line that never ends.
"""

import dataclasses
import typing

import httptools
import multidict

MAX_HEADERS = 128
SINGLETON_HEADERS = ("Content-Length", "Host")
"""Fields whose repetition lets two servers read two different requests."""
TARGET_PREFIXES = ("/", "http://", "https://")
NO_BODY_STATUSES = frozenset({204, 304})
"""Statuses of answers without a body."""


@dataclasses.dataclass(slots=True)
class ParseError(Exception):
    """Bytes that are no message.

    Attributes:
      status: that answers them.
      text: what is wrong.
    """

    status: int
    text: str

    def __str__(self) -> str:
        return self.text


@dataclasses.dataclass(slots=True, eq=False)
class Message:
    """A message as far as it has come.

    Attributes:
      method: in capitals; empty in an answer.
      status: of an answer; 0 in a request.
      target: path and query, as received; empty in an answer.
      headers: by name in any case.
      raw_headers: every field, as received.
      body_parts: the body, as it came.
      body_size: bytes of the body that have come.
      content_length: bytes of the body by its head, 0 where that does not say.
      should_close: the connection ends behind the message.
      until_eof: an answer whose body ends with its connection.
      complete: the message has come to its end.
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
    body_size: int = 0
    content_length: int = 0
    should_close: bool = False
    until_eof: bool = False
    complete: bool = False

    @property
    def body(self) -> bytes:
        """The body as far as it has come."""
        return (
            self.body_parts[0]
            if len(self.body_parts) == 1
            else b"".join(self.body_parts)
        )


class Parser:
    """Takes bytes and gives messages; subclasses read the first line.

    Attributes:
      max_line_bytes: longest first line, and longest field.
      error: why nothing more is read; None while all is well.
      new_messages: messages whose heads came whole with the last bytes.
    """

    def __init__(self, max_line_bytes: int):
        self.max_line_bytes = max_line_bytes
        self.error: ParseError | None = None
        self.new_messages: list[Message] = []
        self.message: Message | None = None
        self.in_head = False
        self.message_completed = False
        self.partial_line_bytes = 0
        self.header_count = 0
        self.target_parts: list[bytes] = []
        self.native_parser = self.make_native_parser()

    def make_native_parser(self) -> typing.Any:
        """Returns the parser proper."""
        raise NotImplementedError

    def feed(self, data: bytes) -> list[Message]:
        """Takes bytes; returns the messages whose heads are now whole."""
        if self.error is not None:
            return []
        self.new_messages = []
        self.message_completed = False
        try:
            self.native_parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows would be in another protocol, which is not spoken.
            self.error = ParseError(400, "no upgrade is spoken")
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, ParseError):
                raise
            self.error = error.__context__
        except httptools.HttpParserError as error:
            self.error = ParseError(400, str(error))
        else:
            self.check_partial_line(data)
        return self.new_messages

    def close(self) -> None:
        """Lets go of the parser proper, which refers back to this one."""
        self.native_parser = None

    def check_partial_line(self, data: bytes) -> None:
        """Refuses a head whose last line is too long before it ends."""
        line_start = data.rfind(b"\n") + 1
        self.partial_line_bytes = (
            len(data)
            - line_start
            + (0 if line_start else self.partial_line_bytes)
        )
        if self.message_completed:
            # The last line may begin anywhere behind a body.
            self.partial_line_bytes = 0
        if self.in_head and self.partial_line_bytes > self.max_line_bytes:
            self.error = ParseError(431, "a line is too long")

    def on_message_begin(self) -> None:
        """Starts a message."""
        self.message = Message()
        self.in_head = True
        self.target_parts = []
        self.header_count = 0

    def on_url(self, data: bytes) -> None:
        """Takes a part of the target."""
        self.target_parts.append(data)
        if sum(map(len, self.target_parts)) > self.max_line_bytes:
            raise ParseError(431, "the target is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a field."""
        if len(name) + len(value) > self.max_line_bytes:
            raise ParseError(431, "a field is too long")
        self.header_count += 1
        if self.header_count > MAX_HEADERS:
            raise ParseError(431, "too many fields")
        if not self.in_head:
            # Behind the body, where nobody looks for what a field decides.
            return
        value = value.strip(b" \t")
        self.message.raw_headers.append((name, value))
        self.message.headers.add(
            name.decode("utf-8", "surrogateescape"),
            value.decode("utf-8", "surrogateescape"),
        )

    def on_headers_complete(self) -> None:
        """Gives the message, whose body may yet come."""
        message = self.message
        self.in_head = False
        for name in SINGLETON_HEADERS:
            if len(message.headers.getall(name, ())) > 1:
                raise ParseError(400, f"several fields {name}")
        self.read_start_line(message)
        message.content_length = int(message.headers.get("Content-Length", "0"))
        message.should_close = (
            not self.native_parser.should_keep_alive()
            or self.native_parser.should_upgrade()
        )
        self.new_messages.append(message)

    def read_start_line(self, message: Message) -> None:
        """Fills in what the first line says."""
        raise NotImplementedError

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self.message.body_parts.append(data)
        self.message.body_size += len(data)

    def on_message_complete(self) -> None:
        """Ends the message."""
        self.message.complete = True
        self.message = None
        self.in_head = False
        self.message_completed = True


class RequestParser(Parser):
    """Reads the requests of one connection."""

    def make_native_parser(self) -> httptools.HttpRequestParser:
        """Returns the parser proper."""
        return httptools.HttpRequestParser(self)

    def read_start_line(self, message: Message) -> None:
        """Fills in method and target."""
        message.method = self.native_parser.get_method().decode("ascii")
        message.target = b"".join(self.target_parts).decode(
            "utf-8", "surrogateescape"
        )
        if not message.target.startswith(TARGET_PREFIXES):
            raise ParseError(400, "the target is no path")
        if "Host" not in message.headers and not self.is_http10():
            raise ParseError(400, "no field Host")

    def is_http10(self) -> bool:
        """Returns whether the request is of a version without Host."""
        return self.native_parser.get_http_version() == "1.0"


class ResponseParser(Parser):
    """Reads the answers of one connection."""

    def make_native_parser(self) -> httptools.HttpResponseParser:
        """Returns the parser proper."""
        return httptools.HttpResponseParser(self)

    def read_start_line(self, message: Message) -> None:
        """Fills in the status."""
        message.status = self.native_parser.get_status_code()
        transfer_coding = message.headers.get("Transfer-Encoding", "").lower()
        message.until_eof = (
            "Content-Length" not in message.headers
            and not transfer_coding.endswith("chunked")
            and message.status not in NO_BODY_STATUSES
        )
