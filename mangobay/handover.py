"""How a leader that stops as planned makes way for another.

Otherwise the group would stand still until the other hosts miss its
heartbeats.  Only timers change: the next leader needs the same votes, for a
log that holds everything committed.
"""

import asyncio
import math
import typing

from mangobay import replication

if typing.TYPE_CHECKING:
    from mangobay import consensus

HASTE = 0.25
"""Share of an election timeout over which the followers' campaigns spread, so
that two of them seldom split the votes."""


async def hand_over(group: "consensus.Group") -> None:
    """Stops to lead and tells the others to elect a leader now.

    Returns once they have answered, or after half an election timeout.
    """
    if not group.leading.is_set():
        return
    farewells = []
    for follower in group.followers.all:
        if group.log.term_at(follower.next - 1) is None:
            continue
        body = replication.append_request(group, follower)
        body.leaving = True
        farewells.append((follower.address, body))
    group.stop_leading()
    patience = group.settings.election_timeout / 2
    await asyncio.gather(
        *(group.ask(address, body, patience) for address, body in farewells)
    )


def leader_left(group: "consensus.Group") -> None:
    """Forgets a leader that said farewell; campaigns soon."""
    # A host that still counts the farewell as a sign of life would refuse
    # its vote to whoever campaigns first.
    group.leader_heard = -math.inf
    spread = HASTE * group.settings.election_timeout
    group.campaign_at = group.now() + spread * group.rng.random()
