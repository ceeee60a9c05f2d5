"""How a disk that the control group does not know yet becomes a voter.

The leader sends its log to every host of its settings.  A host that answers
with a disk that is no voter, an emptied one or that of an added host, learns;
once it has caught up, the leader names it a voter, in place of the former
disk of the same address.  One change is made at a time.
"""

import typing

from mangobay import logs, progress
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus


def settle_voters(group: "consensus.Group") -> None:
    """Names a disk that has caught up a voter, one at a time."""
    if (
        not group.leading.is_set()
        or group.commit < group.term_start
        or group.voters.pending(group.commit)
    ):
        return
    for follower in group.followers.all:
        if may_vote(group, follower):
            logs.say(logs.Part.GROUP, "voter changes", host=follower.host)
            group.append(changed(group.voters.newest(), follower.peer()))
            return


def may_vote(group: "consensus.Group", follower: progress.Follower) -> bool:
    """Whether a follower is no voter yet, answers and has caught up."""
    silent = group.now() - follower.heard
    return (
        bool(follower.identity)
        and not group.voters.names(follower.identity)
        and follower.match >= group.commit
        and silent <= group.settings.election_timeout
    )


def changed(
    current: list[messages.Peer], peer: messages.Peer
) -> messages.VoterChange:
    """Returns the voters with one added, in place of its address's former."""
    others = [voter for voter in current if voter.address != peer.address]
    return messages.VoterChange(voters=[*others, peer])


async def remember_voters(group: "consensus.Group") -> None:
    """Makes durable that the newest voters are committed; `lock` is held."""
    # Without this a host that restarts would ask for a majority of the former
    # voters too, and a lost disk is one of those.
    if group.voters.pending(group.commit) or not group.voters.configs:
        return
    index = group.voters.configs[-1].index
    if group.log.state.commit < index <= group.log.synced:
        await group.save_state(group.term, group.log.state.voted_for)
