"""Idempotency keys: what their age says."""

import dataclasses
import uuid

from mangobay import ids

TIMESTAMP_SHIFT_BITS = 80
UUID7_VERSION = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CreationTime:
    """When a key was minted, as far as its text tells.

    Attributes:
      created_ms: Unix time in milliseconds; 0 for a foreign key.
    """

    created_ms: int = 0

    @property
    def undated(self) -> bool:
        """Whether the key tells no time that could be trusted."""
        return self.created_ms == 0

    def may_predate(self, floor_ms: int, window_ms: int, now_ms: int) -> bool:
        """Whether the key may be older than the floor.

        A foreign key may be of any age, so it counts as older until every
        record of the time before the floor would have left the window.
        """
        if self.undated:
            return now_ms < floor_ms + window_ms
        return self.created_ms < floor_ms


def creation_time(
    key: ids.IdempotencyKey, now_ms: int, skew_ms: int
) -> CreationTime:
    """Reads a key's age.

    A UUIDv7 from further in the future than the clock skew counts as foreign:
    its record would leave the window before the key itself grew old, and a
    resend would then run a second time.

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
