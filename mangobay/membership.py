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


def promote_learner(group: "consensus.Group") -> None:
    """Names a disk that has caught up a voter, one at a time."""
    if (
        not group.leading.is_set()
        or group.commit_index < group.term_start_index
        or group.voters.has_pending_change(group.commit_index)
    ):
        return
    for follower in group.followers.all:
        if not can_promote(group, follower):
            continue
        change = make_voter_change(group, follower.to_peer())
        if change is None:
            continue
        logs.log_event(
            logs.Component.GROUP,
            "voter changes",
            host=follower.host,
            address=str(follower.address),
            voters=len(change.voters),
        )
        group.append(change)
        return


def can_promote(group: "consensus.Group", follower: progress.Follower) -> bool:
    """Whether a follower is no voter yet, answers and has caught up."""
    silent_seconds = group.now() - follower.last_contact_at
    return (
        bool(follower.identity)
        and not group.voters.is_voter(follower.identity)
        and follower.match_index >= group.commit_index
        and silent_seconds <= group.settings.election_timeout
    )


def make_voter_change(
    group: "consensus.Group", peer: messages.Peer
) -> messages.VoterChange | None:
    """Returns the voters with a host among them, None while there is no place.

    The place of its own address is taken first, then a free one, then that of
    the voter that has been silent longest.  A host that waits for a place
    keeps learning, so that it can take one at once.
    """
    current = group.voters.newest()
    if any(voter.address == peer.address for voter in current):
        return with_voter(current, peer)
    max_voters = group.settings.voters
    if not max_voters or len(current) < max_voters:
        return with_voter(current, peer)
    replaced = find_replaceable_voter(group, current)
    if replaced is None:
        return None
    kept = [voter for voter in current if voter.identity != replaced.identity]
    return messages.VoterChange(voters=[*kept, peer])


def find_replaceable_voter(
    group: "consensus.Group", current: list[messages.Peer]
) -> messages.Peer | None:
    """Returns the voter to replace, None where all were heard lately."""
    replaceable_before = group.now() - group.settings.replace_after
    if group.elected_at > replaceable_before:
        # A new leader has heard nobody yet.
        return None
    others = [voter for voter in current if voter.identity != group.identity]
    last_contacts = {
        voter.identity: group.followers.value_of(
            voter.identity, progress.Measure.LAST_CONTACT
        )
        for voter in others
    }
    longest_silent = min(
        others, key=lambda voter: last_contacts[voter.identity], default=None
    )
    if (
        longest_silent is None
        or last_contacts[longest_silent.identity] > replaceable_before
    ):
        return None
    return longest_silent


def with_voter(
    current: list[messages.Peer], peer: messages.Peer
) -> messages.VoterChange:
    """Returns the voters with one added, in place of its address's former."""
    others = [voter for voter in current if voter.address != peer.address]
    return messages.VoterChange(voters=[*others, peer])


async def persist_voter_commit(group: "consensus.Group") -> None:
    """Makes durable that the newest voters are committed; `lock` is held."""
    # Without this a host that restarts would ask for a majority of the former
    # voters too, and a lost disk is one of those.
    if (
        group.voters.has_pending_change(group.commit_index)
        or not group.voters.configs
    ):
        return
    index = group.voters.configs[-1].index
    if group.log.hard_state.commit < index <= group.log.synced_index:
        await group.save_hard_state(group.term, group.log.hard_state.voted_for)
