"""Reads from sockets in small pieces.

An `asyncio.Protocol` gets up to 256 KiB at a time. What a connection cannot
handle at once it has to keep, and connections whose callers send many requests
without reading the responses would keep a whole read each.
"""

import asyncio
import typing

READ_BYTES = 16 * 1024
"""Bytes of a read between requests and within their heads."""
BODY_READ_BYTES = 256 * 1024
"""Bytes of a read within a body."""

# All connections share it: asyncio handles one read after the other.
read_buffer = memoryview(bytearray(BODY_READ_BYTES))


class SmallReads(asyncio.BufferedProtocol):
    """Base class of protocols whose `data_received` gets small pieces."""

    __slots__ = ()

    data_received: typing.Callable[[bytes], None]

    def max_read_bytes(self) -> int:
        """Returns how much the next read may return."""
        return READ_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer of the next read."""
        del sizehint
        return read_buffer[: self.max_read_bytes()]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self.data_received(bytes(read_buffer[:nbytes]))
