"""Writes a large response to the connection of a caller."""

import asyncio
import contextlib
import enum
import socket
import struct

from mangobay import errors, leanhttp, responsestream

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets the connection."""
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which closing a socket ends the connection orderly."""
SEND_BUFFER_BYTES = 128 * 1024
"""Send buffer of a connection with a large response, in bytes.

The kernel reports room once a third of the buffer is free.  It would let the
buffer grow to megabytes, of which a slow caller reads a third in minutes.
"""
LAST_CHUNK = b"0\r\n\r\n"


class Framing(enum.Enum):
    """How the caller recognises the end of a body.

    Attributes:
      LENGTH: by its length.
      CHUNKED: by the last chunk.
      CLOSE: by the orderly end of the connection; HTTP/1.0 has no chunks.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def choose_framing(body: responsestream.Body, is_http10: bool) -> Framing:
    """Returns the framing of a response."""
    if body.length is not None:
        return Framing.LENGTH
    return Framing.CLOSE if is_http10 else Framing.CHUNKED


def encode_head(
    response: leanhttp.Response, framing: Framing, should_close: bool
) -> bytes:
    """Returns the bytes of a response up to its body."""
    lines = [
        leanhttp.status_line(response.status),
        leanhttp.encode_headers(response.headers),
    ]
    match framing:
        case Framing.LENGTH:
            lines.append(f"Content-Length: {response.stream.length}\r\n")
        case Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked\r\n")
    if should_close:
        lines.append("Connection: close\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("utf-8", "surrogateescape")


def encode_chunk(data: bytes) -> bytes:
    """Returns a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class ResponseWriter:
    """Writes a response as fast as its caller reads.

    Attributes:
      transport: the connection of the caller.
      gate: closed while the write buffer of the connection is full.
      stall_timeout: seconds in which the caller has to read something.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        gate: responsestream.WriteGate,
        stall_timeout: float,
    ):
        self.transport = transport
        self.gate = gate
        self.stall_timeout = stall_timeout
        self.set_option(socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    async def write(
        self, response: leanhttp.Response, framing: Framing, should_close: bool
    ) -> bool:
        """Writes a response; returns whether it was written completely.

        An incomplete response must not look complete.  With a length or chunks
        it does not, so the connection ends orderly, and earlier responses that
        the caller has not read yet are not lost; otherwise, and if the caller
        does not read, the connection is reset.
        """
        if framing is Framing.CLOSE:
            # The kernel closes the socket of a process that is killed; only a
            # reset then shows the caller that the response is incomplete.
            self.set_option(socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.write(encode_head(response, framing, should_close))
        try:
            while data := await response.stream.read(responsestream.PART_BYTES):
                self.transport.write(
                    encode_chunk(data) if framing is Framing.CHUNKED else data
                )
                await self.wait_until_read()
            if framing is Framing.CLOSE:
                await self.drain()
                self.set_option(socket.SO_LINGER, ORDERLY_CLOSE)
        except errors.ResponseCutOffError:
            await self.end_incomplete(framing)
            return False
        except TimeoutError:
            self.reset()
            return False
        except asyncio.CancelledError:
            if framing is Framing.CLOSE:
                self.reset()
            raise
        if framing is Framing.CHUNKED:
            self.transport.write(LAST_CHUNK)
        return True

    async def wait_until_read(self) -> None:
        """Returns once the write buffer has room.

        Raises:
          errors.ResponseCutOffError: the caller sends and reads no more.
          TimeoutError: the caller reads too slowly.
        """
        if self.gate.closed:
            async with asyncio.timeout(self.stall_timeout):
                await self.gate.wait()
        if self.transport.is_closing():
            raise errors.ResponseCutOffError("the caller has disconnected")

    async def end_incomplete(self, framing: Framing) -> None:
        """Sends what is written, or resets the connection."""
        if framing is Framing.CLOSE:
            self.reset()
            return
        try:
            await self.drain()
        except (errors.ResponseCutOffError, TimeoutError):
            self.reset()

    async def drain(self) -> None:
        """Returns once the write buffer is empty.

        Raises:
          errors.ResponseCutOffError: the caller sends and reads no more.
          TimeoutError: the caller reads too slowly.
        """
        self.transport.set_write_buffer_limits(high=0)
        await self.wait_until_read()

    def set_option(self, option: int, value: int | bytes) -> None:
        """Sets an option of the socket."""
        sock = self.transport.get_extra_info("socket")
        # The socket of a caller that has disconnected is closed already.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, option, value)

    def reset(self) -> None:
        """Resets the connection, which the caller can't take for an end."""
        self.set_option(socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()
