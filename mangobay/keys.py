"""Idempotency keys: what their age says."""

import dataclasses
import uuid

from mangobay import ids

UNIX_MS_SHIFT = 80
TIME_ORDERED = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyAge:
    """When a key was minted, as far as its text tells.

    Attributes:
      minted_ms: Unix time in milliseconds; 0 for a foreign key.
    """

    minted_ms: int = 0

    @property
    def foreign(self) -> bool:
        """Whether the key tells no time that could be trusted."""
        return self.minted_ms == 0

    def before(self, floor_ms: int, window_ms: int, now_ms: int) -> bool:
        """Whether the key may be older than the floor.

        A foreign key may be of any age, so it counts as older until every
        record of the time before the floor would have left the window.
        """
        if self.foreign:
            return now_ms < floor_ms + window_ms
        return self.minted_ms < floor_ms


def age(key: ids.IdempotencyKey, now_ms: int, skew_ms: int) -> KeyAge:
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
        return KeyAge()
    if parsed.version != TIME_ORDERED:
        return KeyAge()
    minted_ms = parsed.int >> UNIX_MS_SHIFT
    if minted_ms > now_ms + skew_ms:
        return KeyAge()
    return KeyAge(minted_ms=minted_ms)
