"""Faults of the links between hosts, drawn from a seed."""

import collections.abc
import dataclasses
import random

from bench.soak import links
from mangobay import ids

FIRST = 1.0
"""Seconds of calm at the start."""
MEAN_GAP = 2.5
"""Seconds between two faults of links."""
SECONDS = 0.5, 6.0
CONTROL_SECONDS = 6.0, 10.0
"""Of a control host without links: others lead, and change the configuration."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkFault:
    """Links that stall, or are cut, both ways.

    Attributes:
      at: the begin.
      host: at one end of all of them.
      others: at their other ends.
      disturbed: hosts that need not keep to bounds meanwhile.
      state: what becomes of the bytes.
      seconds: until they are whole again.
    """

    at: float
    host: ids.HostId
    others: tuple[ids.HostId, ...]
    disturbed: tuple[ids.HostId, ...]
    state: links.State
    seconds: float


def draw(
    seed: int,
    seconds: float,
    nodes: collections.abc.Sequence[ids.HostId],
    controls: collections.abc.Sequence[ids.HostId],
) -> list[LinkFault]:
    """Returns the faults of links.

    Two nodes lose each other, a node all control hosts, or a control host all
    other hosts.
    """
    lots = random.Random(f"link faults {seed}")
    at = FIRST
    found: list[LinkFault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_GAP)
        lasts = lots.uniform(*SECONDS)
        host, other = lots.sample(nodes, 2)
        match lots.randrange(3):
            case 0:
                others, disturbed = (other,), (host, other)
            case 1:
                others, disturbed = tuple(controls), (host,)
            case _:
                host = lots.choice(controls)
                rest = [each for each in controls if each != host]
                others, disturbed = (*rest, *nodes), (host,)
                lasts = lots.uniform(*CONTROL_SECONDS)
        found.append(
            LinkFault(
                at=round(at, 2),
                host=host,
                others=others,
                disturbed=disturbed,
                state=lots.choice((links.State.STALLED, links.State.CUT)),
                seconds=round(lasts, 2),
            )
        )
    return found
