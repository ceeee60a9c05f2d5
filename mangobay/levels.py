"""Admission levels: importance in the high byte, a stable fraction below.

A threshold is a level too: calls below it are refused.  The fraction comes
from the caller, so one call tree has the same level at each hop, and a
threshold inside an importance refuses whole trees instead of single hops.
"""

import xxhash

from mangobay.generated import messages

FRACTIONS = 256
OPEN = 0
"""The threshold that refuses nothing."""
HIGHEST = messages.Importance.CRITICAL * FRACTIONS
"""No threshold is higher: critical calls are refused only by the queue."""
OWN = 2
TOLD = 4
TOP = (messages.Importance.CRITICAL + 1) * FRACTIONS


def fraction_of(text: str) -> int:
    """Returns the stable fraction, 0 to 255, of a caller or call tree."""
    return xxhash.xxh32_intdigest(text.encode()) & (FRACTIONS - 1)


def level_of(importance: int, text: str) -> int:
    """Returns the level of a call of this importance from this caller."""
    return importance * FRACTIONS + fraction_of(text)


def fallen(height: int, seconds: float, reopen_time: float, power: int) -> int:
    """Returns the threshold that was `height` this many seconds ago.

    It falls slowly at first and to nothing within reopen_time.  A straight
    fall lets a surge back in before the next reply can say that it is still
    too much; work done for those calls at the hops above is wasted.  The
    higher the power, the later it falls: OWN where this host sees at once
    what comes of it, TOLD where another host's threshold is remembered.
    """
    gone = seconds / reopen_time
    if gone >= 1.0:
        return OPEN
    return int(height * (1.0 - gone**power))
