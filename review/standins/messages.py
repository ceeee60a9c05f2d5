"""HTTP/1.1 messages as the stand-ins write and read them."""

import asyncio
import dataclasses
import json
import typing

MAX_BODY_BYTES = 1 << 27


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
      start: the words of the start line.
      headers: values by lower-case name.
      body: the body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])

    def json(self) -> typing.Any:
        """Returns the decoded body."""
        return json.loads(self.body)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Returns the next message; its body has a Content-Length.

    Raises:
      asyncio.IncompleteReadError: the connection ended before its end.
      OSError: the connection broke.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if length > MAX_BODY_BYTES:
        raise ValueError(f"a body of {length} bytes")
    body = await reader.readexactly(length) if length else b""
    return Message(first.split(" ", 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def exchange(
    ip: str, port: int, data: bytes, timeout: float
) -> Message | None:
    """Returns the response to a request on a new connection, None if none."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_rpc(
    ip: str,
    port: int,
    call: str,
    body: typing.Any,
    *,
    subject: str = "",
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> Message | None:
    """Returns the response to a call of the platform's RPC, None if none."""
    target = f"/-/rpc?call={call}"
    if subject:
        target += f"&of={subject}"
    data = encode(
        f"POST {target} HTTP/1.1",
        {
            "Host": f"{ip}:{port}",
            "Content-Type": "application/json",
            **(headers or {}),
        },
        json.dumps(body).encode(),
    )
    return await exchange(ip, port, data, timeout)
