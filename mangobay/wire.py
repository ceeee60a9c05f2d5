"""Frames: a length of four bytes, then one Cap'n Proto envelope."""

import struct
import zlib

import capnp

from mangobay import errors
from mangobay.generated import messages

LENGTH = struct.Struct(">I")
FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame where the settings name no other limit."""
DEFLATED = (
    messages.AppendRequest,
    messages.LeaseGrant,
    messages.SnapshotPut,
)
"""Bodies that cross between data centres and repeat themselves: hosts of a view
have most of their names and addresses in common."""
DEFLATED_FROM = 1024
"""Bytes from which on such a body is compressed."""
LEVEL = 1
"""The fastest; higher ones gain little on names and addresses."""


def pack(envelope: messages.Envelope, limit: int = FRAME_BYTES) -> bytes:
    """Returns the frame of an envelope.

    Raises:
      errors.FrameTooLargeError: it is longer than limit bytes.
    """
    data = messages.encode_envelope(envelope)
    if len(data) >= DEFLATED_FROM and isinstance(envelope.body, DEFLATED):
        deflated = messages.Deflated(envelope=zlib.compress(data, LEVEL))
        data = messages.encode_envelope(
            messages.Envelope(stream=envelope.stream, body=deflated)
        )
    if len(data) > limit:
        raise errors.FrameTooLargeError(
            f"a message of {len(data)} bytes is above the limit of {limit}"
        )
    return LENGTH.pack(len(data)) + data


def length_of(head: bytes, limit: int) -> int:
    """Returns the length in bytes that the head of a frame tells.

    Raises:
      errors.PeerProtocolError: the frame is longer than limit bytes.
    """
    (length,) = LENGTH.unpack(head)
    if length > limit:
        raise errors.PeerProtocolError(
            f"a frame of {length} bytes is above the limit of {limit}"
        )
    return length


class Frames:
    """The envelopes in the bytes of a connection.

    Attributes:
      limit: longest frame, bytes.
      size: bytes that came and belong to no envelope taken so far.
    """

    def __init__(self, limit: int = FRAME_BYTES):
        self.limit = limit
        self.size = 0
        self.parts: list[bytes] = []
        self.data = b""
        self.offset = 0
        self.needed = LENGTH.size

    @property
    def partial(self) -> bool:
        """Whether a frame has begun that has not ended."""
        return self.size > 0

    def feed(self, data: bytes) -> None:
        """Takes further bytes."""
        self.parts.append(data)
        self.size += len(data)

    def take(self) -> messages.Envelope | None:
        """Returns the next envelope, None where it has not come whole.

        Raises:
          errors.PeerProtocolError: the frame is too long, or holds none.
        """
        if self.size < self.needed:
            return None
        if self.parts:
            self.join()
        start = self.offset + LENGTH.size
        length = length_of(self.data[self.offset : start], self.limit)
        self.needed = LENGTH.size + length
        if self.size < self.needed:
            return None
        self.offset = start + length
        self.size -= self.needed
        self.needed = LENGTH.size
        return decode(self.data[start : self.offset], self.limit)

    def join(self) -> None:
        """Puts the bytes together; not for each part of a long frame."""
        if self.offset < len(self.data):
            self.parts.insert(0, self.data[self.offset :])
        whole = len(self.parts) == 1
        self.data = self.parts[0] if whole else b"".join(self.parts)
        self.parts.clear()
        self.offset = 0


def decode(data: bytes, limit: int = FRAME_BYTES) -> messages.Envelope:
    """Returns the envelope in a frame's bytes.

    Args:
      data: of the frame.
      limit: longest envelope, also of one that was compressed.

    Raises:
      errors.PeerProtocolError: the bytes are no envelope.
    """
    try:
        envelope = messages.decode_envelope(data)
        if isinstance(envelope.body, messages.Deflated):
            whole = inflate(envelope.body.envelope, limit)
            envelope = messages.decode_envelope(whole)
            if isinstance(envelope.body, messages.Deflated):
                raise ValueError("compressed twice")
    except (capnp.KjException, ValueError, zlib.error) as error:
        text = str(error).partition("\n")[0]
        raise errors.PeerProtocolError(f"not an envelope: {text}") from None
    return envelope


def inflate(data: bytes, limit: int) -> bytes:
    """Returns what was compressed.

    Raises:
      ValueError: it is longer than limit bytes, or not whole.
      zlib.error: it was not compressed by zlib.
    """
    stream = zlib.decompressobj()
    whole = stream.decompress(data, limit)
    if not stream.eof:
        raise ValueError(f"compressed, and not whole within {limit} bytes")
    return whole
