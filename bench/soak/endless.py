"""Messages without end, as faulty backend servers and callers send them."""

import asyncio
import contextlib
import enum

from bench.soak import dialect, wire

PIECE = b" " * 128 * 1024
"""White space, which no parser of a document can refuse early."""
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
HEADER = b"X-Filler: %b\r\n" % (b"a" * 8000)
PAUSE_SECONDS = 0.02
"""Between two pieces."""
LENGTH = 10**12
ALLOWED_LENGTH = 60_000_000
"""Within the limit of request bodies."""


class Form(enum.Enum):
    """How a message has no end."""

    CHUNKS = "chunks"
    LENGTH = "a length that is never reached"
    ALLOWED_LENGTH = "more than a length within the limits"
    GZIP = "chunks, said to be compressed"
    HEAD = "a head"
    BYTES = "no message"


BODIES = Form.CHUNKS, Form.LENGTH, Form.ALLOWED_LENGTH
"""Forms of requests."""


def make_message(
    form: Form, first: str, fields: dialect.Fields
) -> tuple[bytes, bytes]:
    """Returns what a message begins with, and what follows again and again.

    Args:
      form: of the message.
      first: its first line.
      fields: of its head, without those about its body.
    """
    piece = PIECE
    match form:
        case Form.CHUNKS | Form.GZIP:
            body = {"Transfer-Encoding": "chunked"}
            if form is Form.GZIP:
                body["Content-Encoding"] = "gzip"
            piece = CHUNK
        case Form.LENGTH:
            body = {"Content-Length": str(LENGTH)}
        case Form.ALLOWED_LENGTH:
            body = {"Content-Length": str(ALLOWED_LENGTH)}
        case Form.HEAD:
            return f"{first}\r\n".encode(), HEADER
        case Form.BYTES:
            return b"", PIECE
    return wire.encode(first, {**fields, **body}, None), piece


async def send(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    message: tuple[bytes, bytes],
) -> None:
    """Sends a message until the other side closes the connection.

    Args:
      reader: of the connection; what comes is discarded.
      writer: of the connection.
      message: its beginning, and what follows again and again.

    Raises:
      ConnectionError: the connection was reset.
    """
    beginning, piece = message
    closing = asyncio.create_task(wait_closed(reader))
    try:
        writer.write(beginning)
        while not closing.done():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        closing.cancel()


async def wait_closed(reader: asyncio.StreamReader) -> None:
    """Returns once the other side has closed the connection."""
    with contextlib.suppress(ConnectionError):
        while await reader.read(wire.LONGEST_HEAD):
            pass
