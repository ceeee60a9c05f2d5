"""Encoding of the log file as checksummed frames, one for each sync.

All entries that one sync makes durable share a frame. A power loss can leave
any part of an unsynced write, so only the last frame can be torn. With a frame
for each entry, a torn write of several frames could look like corruption in
the middle of the file.
"""

import dataclasses
import struct

import xxhash

from mangobay import errors

MAGIC = b"mgbL"
HEADER = struct.Struct("<4sIQQ")
"""Magic bytes, payload length in bytes, checksum, index of the first entry."""
LENGTH = struct.Struct("<I")
CHECKSUM_PREFIX = struct.Struct("<IQ")


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """The entries that one sync made durable.

    Attributes:
      first_index: index of the first record.
      records: the entries, encoded.
      size: size of the frame in the file, in bytes.
    """

    first_index: int
    records: tuple[bytes, ...]
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """The contents of a log file.

    Attributes:
      frames: the complete frames, in order.
      whole_bytes: size of the file up to the end of the last complete frame.
      torn_bytes: number of bytes after the last complete frame.
    """

    frames: list[Frame]
    whole_bytes: int
    torn_bytes: int


def checksum(length: int, first_index: int, payload: bytes) -> int:
    """Returns the checksum of a frame's length, first index and payload."""
    return xxhash.xxh3_64_intdigest(
        CHECKSUM_PREFIX.pack(length, first_index) + payload
    )


def encode_frame(first_index: int, records: list[bytes]) -> bytes:
    """Returns the frame of records, the first of which has `first_index`."""
    payload = b"".join(LENGTH.pack(len(record)) + record for record in records)
    digest = checksum(len(payload), first_index, payload)
    return HEADER.pack(MAGIC, len(payload), digest, first_index) + payload


def decode_frame(data: bytes, offset: int) -> Frame | None:
    """Returns the frame at an offset, None if there is no complete one."""
    payload_start = offset + HEADER.size
    if payload_start > len(data):
        return None
    magic, length, digest, first_index = HEADER.unpack_from(data, offset)
    if magic != MAGIC or payload_start + length > len(data):
        return None
    payload = data[payload_start : payload_start + length]
    if checksum(length, first_index, payload) != digest:
        return None
    return Frame(first_index, split_records(payload), HEADER.size + length)


def split_records(payload: bytes) -> tuple[bytes, ...]:
    """Returns the records in a frame's payload."""
    records = []
    offset = 0
    while offset < len(payload):
        (length,) = LENGTH.unpack_from(payload, offset)
        offset += LENGTH.size
        records.append(payload[offset : offset + length])
        offset += length
    return tuple(records)


def scan(data: bytes, path: str) -> Scan:
    """Returns the frames of a log file and the size of its torn tail.

    Args:
      data: the contents of the file.
      path: the path of the file, for error messages.

    Raises:
      errors.CorruptLogError: a complete frame follows an incomplete one, or
        the indexes have a gap.
    """
    frames: list[Frame] = []
    offset = 0
    while offset < len(data):
        frame = decode_frame(data, offset)
        if frame is None:
            check_torn_tail(data, offset, path)
            break
        if frames and frame.first_index != frames[-1].first_index + len(
            frames[-1].records
        ):
            raise errors.CorruptLogError(
                f"{path}: entries are missing before index {frame.first_index},"
                f" at byte {offset}"
            )
        frames.append(frame)
        offset += frame.size
    return Scan(frames, offset, len(data) - offset)


def check_torn_tail(data: bytes, offset: int, path: str) -> None:
    """Refuses an incomplete frame unless it is the last one.

    Raises:
      errors.CorruptLogError: a complete frame follows.
    """
    # Frames after a corrupt one were synced and may have been acknowledged, so
    # that truncating here could lose committed entries. Nothing follows a torn
    # write.
    next_frame = data.find(MAGIC, offset + 1)
    while next_frame >= 0:
        if decode_frame(data, next_frame) is not None:
            raise errors.CorruptLogError(
                f"{path}: corrupt at byte {offset}, a complete frame follows at"
                f" byte {next_frame}; the file was not changed"
            )
        next_frame = data.find(MAGIC, next_frame + 1)
