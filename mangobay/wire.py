"""Frames: a length of four bytes, then one Cap'n Proto envelope."""

import struct
import zlib

import capnp

from mangobay import errors
from mangobay.generated import messages

LENGTH_PREFIX = struct.Struct(">I")
DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame where the settings name no other limit."""
COMPRESSED_BODIES = (
    messages.AppendRequest,
    messages.LeaseGrant,
    messages.SnapshotPut,
)
"""Bodies that cross between data centres and repeat themselves: hosts of a view
have most of their names and addresses in common."""
MIN_COMPRESSED_BYTES = 1024
"""Bytes from which on such a body is compressed."""
COMPRESSION_LEVEL = 1
"""The fastest; higher ones gain little on names and addresses."""


def encode_frame(
    envelope: messages.Envelope, max_bytes: int = DEFAULT_MAX_FRAME_BYTES
) -> bytes:
    """Returns the frame of an envelope.

    Raises:
      errors.FrameTooLargeError: it is longer than limit bytes.
    """
    data = messages.encode_envelope(envelope)
    if len(data) >= MIN_COMPRESSED_BYTES and isinstance(
        envelope.body, COMPRESSED_BODIES
    ):
        compressed = messages.Deflated(
            envelope=zlib.compress(data, COMPRESSION_LEVEL)
        )
        data = messages.encode_envelope(
            messages.Envelope(stream=envelope.stream, body=compressed)
        )
    if len(data) > max_bytes:
        raise errors.FrameTooLargeError(
            f"a message of {len(data)} bytes is above the limit of {max_bytes}"
        )
    return LENGTH_PREFIX.pack(len(data)) + data


def decode_length(prefix: bytes, max_bytes: int) -> int:
    """Returns the length in bytes that the head of a frame tells.

    Raises:
      errors.PeerProtocolError: the frame is longer than limit bytes.
    """
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if length > max_bytes:
        raise errors.PeerProtocolError(
            f"a frame of {length} bytes is above the limit of {max_bytes}"
        )
    return length


class FrameDecoder:
    """The envelopes in the bytes of a connection.

    Attributes:
      max_bytes: longest frame, bytes.
      buffered_bytes: bytes that came and belong to no envelope taken so far.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_FRAME_BYTES):
        self.max_bytes = max_bytes
        self.buffered_bytes = 0
        self.chunks: list[bytes] = []
        self.buffer = b""
        self.offset = 0
        self.needed_bytes = LENGTH_PREFIX.size

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has begun that has not ended."""
        return self.buffered_bytes > 0

    def feed(self, data: bytes) -> None:
        """Takes further bytes."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)

    def next_envelope(self) -> messages.Envelope | None:
        """Returns the next envelope, None where it has not come whole.

        Raises:
          errors.PeerProtocolError: the frame is too long, or holds none.
        """
        if self.buffered_bytes < self.needed_bytes:
            return None
        if self.chunks:
            self.join_chunks()
        start = self.offset + LENGTH_PREFIX.size
        length = decode_length(self.buffer[self.offset : start], self.max_bytes)
        self.needed_bytes = LENGTH_PREFIX.size + length
        if self.buffered_bytes < self.needed_bytes:
            return None
        self.offset = start + length
        self.buffered_bytes -= self.needed_bytes
        self.needed_bytes = LENGTH_PREFIX.size
        return decode_payload(self.buffer[start : self.offset], self.max_bytes)

    def join_chunks(self) -> None:
        """Puts the bytes together; not for each part of a long frame."""
        if self.offset < len(self.buffer):
            self.chunks.insert(0, self.buffer[self.offset :])
        is_single = len(self.chunks) == 1
        self.buffer = self.chunks[0] if is_single else b"".join(self.chunks)
        self.chunks.clear()
        self.offset = 0


def decode_payload(
    data: bytes, max_bytes: int = DEFAULT_MAX_FRAME_BYTES
) -> messages.Envelope:
    """Returns the envelope in a frame's bytes.

    Args:
      data: of the frame.
      max_bytes: longest envelope, also of one that was compressed.

    Raises:
      errors.PeerProtocolError: the bytes are no envelope.
    """
    try:
        envelope = messages.decode_envelope(data)
        if isinstance(envelope.body, messages.Deflated):
            decompressed = decompress(envelope.body.envelope, max_bytes)
            envelope = messages.decode_envelope(decompressed)
            if isinstance(envelope.body, messages.Deflated):
                raise ValueError("compressed twice")
    except (capnp.KjException, ValueError, zlib.error) as error:
        message = str(error).partition("\n")[0]
        raise errors.PeerProtocolError(f"not an envelope: {message}") from None
    return envelope


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Returns what was compressed.

    Raises:
      ValueError: it is longer than limit bytes, or not whole.
      zlib.error: it was not compressed by zlib.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, max_bytes)
    if not decompressor.eof:
        raise ValueError(f"compressed, and not whole within {max_bytes} bytes")
    return decompressed
