"""Frames of the log file: checksummed, one for each sync.

All entries that one sync makes durable share one frame.  A loss of power can
leave any part of an unsynced write, so only the last frame can be torn; with
a frame for each entry, a torn write of several could look like a damaged
middle.
"""

import dataclasses
import struct

import xxhash

from mangobay import errors

MAGIC = b"mgbL"
HEADER = struct.Struct("<4sIQQ")
"""Magic, payload length in bytes, checksum, index of the first entry."""
LENGTH = struct.Struct("<I")
CHECKSUM_PREFIX = struct.Struct("<IQ")


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """What one sync made durable.

    Attributes:
      first_index: index of the first record.
      records: the entries, encoded.
      size: bytes of the frame in the file.
    """

    first_index: int
    records: tuple[bytes, ...]
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """What a log file holds.

    Attributes:
      frames: the whole frames, in order.
      whole_bytes: bytes up to the end of the last whole frame.
      torn_bytes: bytes after it.
    """

    frames: list[Frame]
    whole_bytes: int
    torn_bytes: int


def checksum(length: int, first_index: int, payload: bytes) -> int:
    """Returns the checksum over a frame's payload and its other fields."""
    return xxhash.xxh3_64_intdigest(
        CHECKSUM_PREFIX.pack(length, first_index) + payload
    )


def encode_frame(first_index: int, records: list[bytes]) -> bytes:
    """Returns the frame of some records, `first` the index of the first."""
    payload = b"".join(LENGTH.pack(len(record)) + record for record in records)
    digest = checksum(len(payload), first_index, payload)
    return HEADER.pack(MAGIC, len(payload), digest, first_index) + payload


def decode_frame(data: bytes, offset: int) -> Frame | None:
    """Returns the frame that starts there, None when none whole does."""
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
    """Returns the frames of a log file and how much of its tail is torn.

    Raises:
      errors.DamagedLogError: a whole frame follows one that is not whole, or
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
                f"{path}: gap before the entry {frame.first_index} at byte {offset}"
            )
        frames.append(frame)
        offset += frame.size
    return Scan(frames, offset, len(data) - offset)


def check_torn_tail(data: bytes, offset: int, path: str) -> None:
    """Refuses a bad frame that is not the last one.

    Raises:
      errors.DamagedLogError: a whole frame follows.
    """
    # What follows a damaged frame was synced and perhaps acknowledged: to cut
    # there would lose committed entries.  A torn write has nothing after it.
    next_frame = data.find(MAGIC, offset + 1)
    while next_frame >= 0:
        if decode_frame(data, next_frame) is not None:
            raise errors.CorruptLogError(
                f"{path}: damaged at byte {offset}, a whole record follows at"
                f" byte {next_frame}; nothing was cut"
            )
        next_frame = data.find(MAGIC, next_frame + 1)
