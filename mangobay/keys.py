"""Creation times of idempotency keys."""

import dataclasses
import uuid

from mangobay import ids

TIMESTAMP_SHIFT_BITS = 80
"""Bits of a UUIDv7 below its 48-bit Unix timestamp in milliseconds."""
UUID7_VERSION = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CreationTime:
    """When a key was created, if its text contains a usable timestamp.

    Attributes:
      created_ms: Unix time in milliseconds; 0 for an undated key.
    """

    created_ms: int = 0

    @property
    def undated(self) -> bool:
        """Whether the key contains no timestamp that can be trusted."""
        return self.created_ms == 0

    def may_predate(self, floor_ms: int, window_ms: int, now_ms: int) -> bool:
        """Whether the key may have been created before the floor.

        An undated key may have any age. It counts as older until every record
        from before the floor would have expired.

        Args:
          floor_ms: Unix time, milliseconds.
          window_ms: how long records are kept, milliseconds.
          now_ms: Unix time, milliseconds.
        """
        if self.undated:
            return now_ms < floor_ms + window_ms
        return self.created_ms < floor_ms


def creation_time(
    key: ids.IdempotencyKey, now_ms: int, skew_ms: int
) -> CreationTime:
    """Returns the creation time of a key.

    Only a UUIDv7 has one. A UUIDv7 that is further in the future than the
    clock skew counts as undated: its record would expire before the key is
    considered too old, and a repeat would then run a second time.

    Args:
      key: the key as the caller sent it.
      now_ms: Unix time, milliseconds.
      skew_ms: how far callers' clocks may be ahead, milliseconds.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return CreationTime()
    if parsed.version != UUID7_VERSION:
        return CreationTime()
    created_ms = parsed.int >> TIMESTAMP_SHIFT_BITS
    if created_ms > now_ms + skew_ms:
        return CreationTime()
    return CreationTime(created_ms=created_ms)
