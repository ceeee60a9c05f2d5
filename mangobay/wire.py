"""Framing of peer messages.

A frame is a length prefix of four bytes followed by one Cap'n Proto envelope.
"""

import struct
import zlib

import capnp

from mangobay import errors
from mangobay.generated import messages

LENGTH_PREFIX = struct.Struct(">I")
DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum frame size where the settings give no other one."""
COMPRESSED_BODIES = (
    messages.AppendRequest,
    messages.LeaseGrant,
    messages.SnapshotPut,
)
"""Bodies that are compressed.

They are sent between data centres and are repetitive: the hosts of a view share
most of their names and addresses.
"""
MIN_COMPRESSED_BYTES = 1024
"""Minimum size in bytes of an envelope that is compressed."""
COMPRESSION_LEVEL = 1
"""The fastest zlib level; higher ones gain little on names and addresses."""


def encode_frame(
    envelope: messages.Envelope, max_bytes: int = DEFAULT_MAX_FRAME_BYTES
) -> bytes:
    """Returns the frame of an envelope, compressed where that pays.

    Raises:
      errors.FrameTooLargeError: the envelope is larger than max_bytes.
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
    """Returns the payload length in bytes that a length prefix holds.

    Raises:
      errors.PeerProtocolError: the payload is larger than max_bytes.
    """
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if length > max_bytes:
        raise errors.PeerProtocolError(
            f"frame of {length} bytes exceeds the limit of {max_bytes} bytes"
        )
    return length


class FrameDecoder:
    """Decodes the envelopes in the byte stream of a connection.

    Attributes:
      max_bytes: maximum size of a frame's payload.
      buffered_bytes: bytes received that belong to no returned envelope.
      chunks: bytes received but not yet joined to the buffer.
      buffer: joined bytes.
      offset: position in the buffer of the next frame.
      needed_bytes: bytes that the next step of decoding needs: the length
        prefix, then the whole frame.
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
        """Whether a part of a frame has been received, but not all of it."""
        return self.buffered_bytes > 0

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)

    def next_envelope(self) -> messages.Envelope | None:
        """Returns the next envelope, or None if its frame is incomplete.

        Raises:
          errors.PeerProtocolError: the frame is too large or holds no valid
            envelope.
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
        """Joins the received bytes into one buffer.

        Only called once the needed bytes have been received, so that a long
        frame isn't copied again for each chunk.
        """
        if self.offset < len(self.buffer):
            self.chunks.insert(0, self.buffer[self.offset :])
        is_single = len(self.chunks) == 1
        self.buffer = self.chunks[0] if is_single else b"".join(self.chunks)
        self.chunks.clear()
        self.offset = 0


def decode_payload(
    data: bytes, max_bytes: int = DEFAULT_MAX_FRAME_BYTES
) -> messages.Envelope:
    """Returns the envelope in a frame's payload.

    Args:
      data: the payload.
      max_bytes: maximum size of the envelope once it is decompressed.

    Raises:
      errors.PeerProtocolError: the payload is not a valid envelope.
    """
    try:
        envelope = messages.decode_envelope(data)
        if isinstance(envelope.body, messages.Deflated):
            decompressed = decompress(envelope.body.envelope, max_bytes)
            envelope = messages.decode_envelope(decompressed)
            if isinstance(envelope.body, messages.Deflated):
                raise ValueError("envelope is compressed twice")
    except (capnp.KjException, ValueError, zlib.error) as error:
        message = str(error).partition("\n")[0]
        raise errors.PeerProtocolError(f"invalid envelope: {message}") from None
    return envelope


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Returns the decompressed bytes.

    Raises:
      ValueError: they are more than max_bytes, or data is incomplete.
      zlib.error: data isn't valid zlib data.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, max_bytes)
    if not decompressor.eof:
        raise ValueError(
            f"compressed envelope is incomplete or exceeds {max_bytes} bytes"
        )
    return decompressed
