"""Planned step-down of a leader.

Without it the group would have no leader until the other hosts time out. Only
timers change: the next leader needs the same votes and a log that holds every
committed entry.
"""

import asyncio
import math
import typing

from mangobay import replication

if typing.TYPE_CHECKING:
    from mangobay import consensus

CAMPAIGN_SPREAD_SHARE = 0.25
"""Share of an election timeout over which the campaigns of the followers are
spread, so that they rarely split the vote."""


async def step_down_and_notify(group: "consensus.Group") -> None:
    """Steps down and asks the other hosts to elect a leader now.

    Returns once they have replied, or after half an election timeout.
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
    """Schedules a campaign soon after a leader announced its step-down."""
    # A host that counted this last request as a heartbeat would refuse its
    # vote to the first candidate.
    group.leader_contact_at = -math.inf
    max_delay = CAMPAIGN_SPREAD_SHARE * group.settings.election_timeout
    group.campaign_at = group.now() + max_delay * group.rng.random()
