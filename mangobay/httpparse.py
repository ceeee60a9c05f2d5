"""HTTP/1.1 messages out of bytes, strictly, one parser for each connection.

The parser proper is llhttp in its strict mode, by `httptools`.  What it does not
bound is bounded here: lines, the number of fields, and a line that never ends.
"""

import dataclasses
import typing

import httptools
import multidict

MOST_HEADERS = 128
SINGLE_FIELDS = ("Content-Length", "Host")
"""Fields whose repetition lets two servers read two different requests."""
TARGET_STARTS = ("/", "http://", "https://")
NEVER_LONG = frozenset({204, 304})
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
      fields: by name in any case.
      raw: every field, as received.
      parts: the body, as it came.
      size: bytes of the body that have come.
      declared: bytes of the body by its head, 0 where that does not say.
      close: the connection ends behind the message.
      until_eof: an answer whose body ends with its connection.
      whole: the message has come to its end.
    """

    method: str = ""
    status: int = 0
    target: str = ""
    fields: multidict.CIMultiDict[str] = dataclasses.field(
        default_factory=multidict.CIMultiDict
    )
    raw: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    declared: int = 0
    close: bool = False
    until_eof: bool = False
    whole: bool = False

    @property
    def body(self) -> bytes:
        """The body as far as it has come."""
        return self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)


class Parser:
    """Takes bytes and gives messages; subclasses read the first line.

    Attributes:
      line_bytes: longest first line, and longest field.
      error: why nothing more is read; None while all is well.
      begun: messages whose heads came whole with the last bytes.
    """

    def __init__(self, line_bytes: int):
        self.line_bytes = line_bytes
        self.error: ParseError | None = None
        self.begun: list[Message] = []
        self.message: Message | None = None
        self.in_head = False
        self.completed = False
        self.unended = 0
        self.field_count = 0
        self.target: list[bytes] = []
        self.native = self.make_native()

    def make_native(self) -> typing.Any:
        """Returns the parser proper."""
        raise NotImplementedError

    def feed(self, data: bytes) -> list[Message]:
        """Takes bytes; returns the messages whose heads are now whole."""
        if self.error is not None:
            return []
        self.begun = []
        self.completed = False
        try:
            self.native.feed_data(data)
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
            self.bound_last_line(data)
        return self.begun

    def end(self) -> None:
        """Lets go of the parser proper, which refers back to this one."""
        self.native = None

    def bound_last_line(self, data: bytes) -> None:
        """Refuses a head whose last line is too long before it ends."""
        end = data.rfind(b"\n") + 1
        self.unended = len(data) - end + (0 if end else self.unended)
        if self.completed:
            # The last line may begin anywhere behind a body.
            self.unended = 0
        if self.in_head and self.unended > self.line_bytes:
            self.error = ParseError(431, "a line is too long")

    def on_message_begin(self) -> None:
        """Starts a message."""
        self.message = Message()
        self.in_head = True
        self.target = []
        self.field_count = 0

    def on_url(self, data: bytes) -> None:
        """Takes a part of the target."""
        self.target.append(data)
        if sum(map(len, self.target)) > self.line_bytes:
            raise ParseError(431, "the target is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a field."""
        if len(name) + len(value) > self.line_bytes:
            raise ParseError(431, "a field is too long")
        self.field_count += 1
        if self.field_count > MOST_HEADERS:
            raise ParseError(431, "too many fields")
        if not self.in_head:
            # Behind the body, where nobody looks for what a field decides.
            return
        value = value.strip(b" \t")
        self.message.raw.append((name, value))
        self.message.fields.add(
            name.decode("utf-8", "surrogateescape"),
            value.decode("utf-8", "surrogateescape"),
        )

    def on_headers_complete(self) -> None:
        """Gives the message, whose body may yet come."""
        message = self.message
        self.in_head = False
        for name in SINGLE_FIELDS:
            if len(message.fields.getall(name, ())) > 1:
                raise ParseError(400, f"several fields {name}")
        self.read_first_line(message)
        message.declared = int(message.fields.get("Content-Length", "0"))
        message.close = (
            not self.native.should_keep_alive() or self.native.should_upgrade()
        )
        self.begun.append(message)

    def read_first_line(self, message: Message) -> None:
        """Fills in what the first line says."""
        raise NotImplementedError

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self.message.parts.append(data)
        self.message.size += len(data)

    def on_message_complete(self) -> None:
        """Ends the message."""
        self.message.whole = True
        self.message = None
        self.in_head = False
        self.completed = True


class RequestParser(Parser):
    """Reads the requests of one connection."""

    def make_native(self) -> httptools.HttpRequestParser:
        """Returns the parser proper."""
        return httptools.HttpRequestParser(self)

    def read_first_line(self, message: Message) -> None:
        """Fills in method and target."""
        message.method = self.native.get_method().decode("ascii")
        message.target = b"".join(self.target).decode(
            "utf-8", "surrogateescape"
        )
        if not message.target.startswith(TARGET_STARTS):
            raise ParseError(400, "the target is no path")
        if "Host" not in message.fields and not self.is_old():
            raise ParseError(400, "no field Host")

    def is_old(self) -> bool:
        """Returns whether the request is of a version without Host."""
        return self.native.get_http_version() == "1.0"


class ResponseParser(Parser):
    """Reads the answers of one connection."""

    def make_native(self) -> httptools.HttpResponseParser:
        """Returns the parser proper."""
        return httptools.HttpResponseParser(self)

    def read_first_line(self, message: Message) -> None:
        """Fills in the status."""
        message.status = self.native.get_status_code()
        coding = message.fields.get("Transfer-Encoding", "").lower()
        message.until_eof = (
            "Content-Length" not in message.fields
            and not coding.endswith("chunked")
            and message.status not in NEVER_LONG
        )
