"""Admission levels of calls, and the thresholds that refuse calls by level.

The high byte of a level is the importance of the call, the low byte a stable
hash of its call tree or client.  A threshold is a level too: calls below it are
refused.

The hash is the same at every hop, and so is the level of a call tree.  A
threshold that falls within one importance therefore refuses whole call trees
instead of single hops.
"""

import xxhash

from mangobay.generated import messages

LEVELS_PER_IMPORTANCE = 256
ADMIT_ALL = 0
"""The threshold that refuses no call."""
MAX_THRESHOLD = messages.Importance.CRITICAL * LEVELS_PER_IMPORTANCE
"""The highest threshold.  It admits every critical call, so that only a full
queue refuses those."""
LOCAL_DECAY_POWER = 2
"""Exponent of the decay of a threshold that this host sets."""
REMOTE_DECAY_POWER = 4
"""Exponent of the decay of a threshold that another host reported."""
LEVEL_COUNT = (messages.Importance.CRITICAL + 1) * LEVELS_PER_IMPORTANCE
"""Number of levels; as a threshold it refuses every call."""


def hash_byte(key: str) -> int:
    """Returns the stable hash, 0 to 255, of a call tree or client."""
    return xxhash.xxh32_intdigest(key.encode()) & (LEVELS_PER_IMPORTANCE - 1)


def level_of(importance: int, key: str) -> int:
    """Returns the admission level of a call.

    Args:
      importance: the importance of the call.
      key: identifies its call tree or client.
    """
    return importance * LEVELS_PER_IMPORTANCE + hash_byte(key)


def decayed_threshold(
    threshold: int, seconds: float, reopen_time: float, power: int
) -> int:
    """Returns what is left of a threshold after some seconds.

    The threshold falls slowly at first and reaches ADMIT_ALL after
    reopen_time.  With a linear decay, a surge is admitted again before the
    next reply can report that there is still too much load, and the work that
    earlier hops did for those calls is wasted.

    Args:
      threshold: the threshold before the decay.
      seconds: the time since then.
      reopen_time: seconds until it reaches ADMIT_ALL.
      power: the exponent; the higher it is, the later the threshold falls.
        LOCAL_DECAY_POWER applies where this host sees at once what the
        admitted calls cause, REMOTE_DECAY_POWER where it remembers the
        threshold of another host.
    """
    elapsed = seconds / reopen_time
    if elapsed >= 1.0:
        return ADMIT_ALL
    return int(threshold * (1.0 - elapsed**power))
