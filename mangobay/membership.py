"""Membership changes: how a new disk becomes a voter of the control group.

The leader replicates its log to every control host that it knows. A host whose
disk is not a voter, because the disk was replaced or the host was added, is a
learner. Once the learner has caught up, the leader makes its disk a voter in
place of the former disk of the same address. There is at most one uncommitted
change at a time.

A voter that loses its place to another host is named a learner. It may be
running and unreachable, and by the time it is back, it may know the address of
no other host, so that the leader has to know its address.
"""

import typing

from mangobay import logs, progress, voters
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus

LEARNERS_PER_VOTER = 2
"""Former voters that are named for each voter. A host that was away while each
of the others was replaced is among them."""


def promote_learner(group: "consensus.Group") -> None:
    """Makes one learner that has caught up a voter, if no change is pending."""
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
    """Returns whether a follower is a live learner that has caught up."""
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
    """Returns a change that makes a host a voter, None if not possible yet.

    The host replaces the voter of its own address, if there is one. Otherwise
    it is added while there are fewer voters than the settings ask for, or
    replaces the voter that has been unreachable for longest. Until then it
    stays a learner and keeps up with the log, so that it can replace a voter
    without delay.
    """
    current = group.voters.newest()
    if any(voter.address == peer.address for voter in current):
        return with_voter(group.voters, peer)
    max_voters = group.settings.voters and max(
        group.settings.voters, min_voters(group)
    )
    if not max_voters or len(current) < max_voters:
        return with_voter(group.voters, peer)
    replaced = find_replaceable_voter(group)
    if replaced is None:
        return None
    return with_voter(group.voters, peer, replaced)


def min_voters(group: "consensus.Group") -> int:
    """Returns how many voters outlast the loss of as many disks as may be."""
    return 2 * group.settings.tolerance + 1


def tolerates_lost_disks(group: "consensus.Group") -> bool:
    """Returns whether the group is large enough to accept changes."""
    if not group.settings.tolerance:
        return True
    # Only a commit that is known after a restart counts: a pending change
    # also needs a majority of the former, fewer voters.
    durable_commit = max(
        group.log.hard_state.commit, group.log.snapshot.last_index
    )
    voters = group.voters.voters_at(durable_commit).voters
    return len(voters) >= min_voters(group)


def find_replaceable_voter(
    group: "consensus.Group",
) -> messages.Peer | None:
    """Returns the voter to replace, None if all were heard recently."""
    return min(
        find_silent_voters(group),
        key=lambda voter: last_contact_at(group, voter),
        default=None,
    )


def find_silent_voters(group: "consensus.Group") -> list[messages.Peer]:
    """Returns the voters that have not answered this leader for too long."""
    replaceable_before = group.now() - group.settings.replace_after
    if not group.leading.is_set() or group.elected_at > replaceable_before:
        # A new leader has not heard from anybody yet.
        return []
    return [
        voter
        for voter in group.voters.newest()
        if voter.identity != group.identity
        and last_contact_at(group, voter) <= replaceable_before
    ]


def last_contact_at(group: "consensus.Group", voter: messages.Peer) -> float:
    """Returns the loop time of the last request that a voter answered."""
    return group.followers.value_of(
        voter.identity, progress.Measure.LAST_CONTACT
    )


def with_voter(
    known: voters.Voters,
    peer: messages.Peer,
    replaced: messages.Peer | None = None,
) -> messages.VoterChange:
    """Returns the voters with one added, in place of that of its address.

    Args:
      known: the voters so far.
      peer: the new voter.
      replaced: a voter of another address that becomes a learner.
    """
    kept = [
        voter
        for voter in known.newest()
        if voter != replaced and voter.address != peer.address
    ]
    named = [*kept, peer]
    former = [*known.newest_learners(), *([replaced] if replaced else [])]
    addresses = {voter.address for voter in named}
    learners = {
        learner.address: learner
        for learner in former
        if learner.address not in addresses
    }
    max_learners = LEARNERS_PER_VOTER * len(named)
    return messages.VoterChange(
        voters=named, learners=list(learners.values())[-max_learners:]
    )


async def persist_voter_commit(group: "consensus.Group") -> None:
    """Makes the commit of the newest voters durable; `lock` is held."""
    # Otherwise a host that restarts would take the change for uncommitted and
    # also need a majority of the former voters, which include a lost disk.
    if (
        group.voters.has_pending_change(group.commit_index)
        or not group.voters.configs
    ):
        return
    index = group.voters.configs[-1].index
    if group.log.hard_state.commit < index <= group.log.synced_index:
        await group.save_hard_state(group.term, group.log.hard_state.voted_for)
