"""HTTP/1.1 as callers and backend servers of a run speak it."""

import asyncio
import dataclasses

from bench.soak import dialect

LONGEST_HEAD = 64 * 1024
CHUNK = 700
POLL_SECONDS = 0.01
EXCHANGE_SECONDS = 3.0
"""Longest wait for the answer to a short call."""


class BrokenError(Exception):
    """What came is no HTTP message; the text says what it was."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """First line and fields of a message; names in lower case."""

    first: str
    fields: dict[str, str]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])

    @property
    def closes(self) -> bool:
        """Whether the connection ends behind the message."""
        return self.fields.get("connection", "").lower() == "close"


def encode(first: str, fields: dialect.Fields, body: bytes | None) -> bytes:
    """Returns a message; None leaves its length open."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def encode_in_chunks(first: str, fields: dialect.Fields, body: bytes) -> bytes:
    """Returns a message whose body is sent in chunks."""
    chunked = {**fields, "Transfer-Encoding": "chunked"}
    parts = [encode(first, chunked, None)]
    for place in range(0, len(body), CHUNK):
        chunk = body[place : place + CHUNK]
        parts += [f"{len(chunk):x}\r\n".encode(), chunk, b"\r\n"]
    return b"".join([*parts, b"0\r\n\r\n"])


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Returns the head of the next message.

    Raises:
      BrokenError: the bytes are no head.
      asyncio.IncompleteReadError: the connection ended.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.LimitOverrunError as error:
        raise BrokenError(str(error)) from None
    return parse_head(raw.removesuffix(b"\r\n\r\n"))


def parse_head(raw: bytes) -> Head:
    """Returns a head without its last blank line.

    Raises:
      BrokenError: the bytes are no head.
    """
    first, *lines = raw.decode("latin-1").split("\r\n")
    if "HTTP/1.1" not in first:
        raise BrokenError(f"{first[:80]!r} begins no message")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Head(first, fields)


async def read_body(
    reader: asyncio.StreamReader, head: Head, pause: float = 0.0
) -> bytes:
    """Returns the body of a message.

    Args:
      reader: of the connection.
      head: of the message.
      pause: seconds between two reads.
    """
    if head.fields.get("transfer-encoding") == "chunked":
        return await read_chunks(reader)
    left = int(head.fields.get("content-length", 0))
    parts = []
    while left:
        part = await reader.read(min(left, 16 * 1024))
        if not part:
            raise asyncio.IncompleteReadError(b"".join(parts), left)
        parts.append(part)
        left -= len(part)
        if pause:
            await asyncio.sleep(pause)
    return b"".join(parts)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a body that is sent in chunks."""
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)


async def exchange(ip: str, port: int, data: bytes) -> tuple[int, bytes]:
    """Returns status and body of the answer to a call; status 0: none came."""
    writer = None
    try:
        async with asyncio.timeout(EXCHANGE_SECONDS):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            head = await read_head(reader)
            return head.status, await read_body(reader, head)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, BrokenError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
