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

CAMPAIGN_SPREAD_SHARE = 0.25
"""Share of an election timeout over which the followers' campaigns spread, so
that two of them seldom split the votes."""


async def step_down_and_notify(group: "consensus.Group") -> None:
    """Stops to lead and tells the others to elect a leader now.

    Returns once they have answered, or after half an election timeout.
    """
    if not group.leading.is_set():
        return
    requests = []
    for follower in group.followers.all:
        if group.log.term_at(follower.next_index - 1) is None:
            continue
        body = replication.make_append_request(group, follower)
        body.leaving = True
        requests.append((follower.address, body))
    group.step_down()
    timeout = group.settings.election_timeout / 2
    await asyncio.gather(
        *(
            group.send_request(address, body, timeout)
            for address, body in requests
        )
    )


def handle_leader_leaving(group: "consensus.Group") -> None:
    """Forgets a leader that said farewell; campaigns soon."""
    # A host that still counts the farewell as a sign of life would refuse
    # its vote to whoever campaigns first.
    group.leader_contact_at = -math.inf
    max_delay = CAMPAIGN_SPREAD_SHARE * group.settings.election_timeout
    group.campaign_at = group.now() + max_delay * group.rng.random()
