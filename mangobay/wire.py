"""Frames: a length of four bytes, then one Cap'n Proto envelope."""

import struct

import capnp

from mangobay import errors
from mangobay.generated import messages

LENGTH = struct.Struct(">I")
FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame where the settings name no other limit."""


def pack(envelope: messages.Envelope, limit: int = FRAME_BYTES) -> bytes:
    """Returns the frame of an envelope.

    Raises:
      errors.FrameTooLargeError: it is longer than limit bytes.
    """
    data = messages.encode_envelope(envelope)
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
        return decode(self.data[start : self.offset])

    def join(self) -> None:
        """Puts the bytes together; not for each part of a long frame."""
        if self.offset < len(self.data):
            self.parts.insert(0, self.data[self.offset :])
        whole = len(self.parts) == 1
        self.data = self.parts[0] if whole else b"".join(self.parts)
        self.parts.clear()
        self.offset = 0


def decode(data: bytes) -> messages.Envelope:
    """Returns the envelope in a frame's bytes.

    Raises:
      errors.PeerProtocolError: the bytes are no envelope.
    """
    try:
        return messages.decode_envelope(data)
    except (capnp.KjException, ValueError) as error:
        text = str(error).partition("\n")[0]
        raise errors.PeerProtocolError(f"not an envelope: {text}") from None
