"""Admission levels: importance in the high byte, a stable fraction below.

A threshold is a level too: calls below it are refused.  The fraction comes
from the caller, so one call tree has the same level at each hop, and a
threshold inside an importance refuses whole trees instead of single hops.
"""

import xxhash

from mangobay.generated import messages

LEVELS_PER_IMPORTANCE = 256
ADMIT_ALL = 0
"""The threshold that refuses nothing."""
MAX_THRESHOLD = messages.Importance.CRITICAL * LEVELS_PER_IMPORTANCE
"""No threshold is higher: critical calls are refused only by the queue."""
LOCAL_DECAY_POWER = 2
REMOTE_DECAY_POWER = 4
LEVEL_COUNT = (messages.Importance.CRITICAL + 1) * LEVELS_PER_IMPORTANCE


def hash_byte(key: str) -> int:
    """Returns the stable fraction, 0 to 255, of a caller or call tree."""
    return xxhash.xxh32_intdigest(key.encode()) & (LEVELS_PER_IMPORTANCE - 1)


def level_of(importance: int, key: str) -> int:
    """Returns the level of a call of this importance from this caller."""
    return importance * LEVELS_PER_IMPORTANCE + hash_byte(key)


def decayed_threshold(
    threshold: int, seconds: float, reopen_time: float, power: int
) -> int:
    """Returns the threshold that was `height` this many seconds ago.

    It falls slowly at first and to nothing within reopen_time.  A straight
    fall lets a surge back in before the next reply can say that it is still
    too much; work done for those calls at the hops above is wasted.  The
    higher the power, the later it falls: OWN where this host sees at once
    what comes of it, TOLD where another host's threshold is remembered.
    """
    elapsed = seconds / reopen_time
    if elapsed >= 1.0:
        return ADMIT_ALL
    return int(threshold * (1.0 - elapsed**power))
