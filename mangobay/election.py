"""Leader elections of the control group, with pre-vote.

A new group is bootstrapped by a candidate for which every host of the settings
votes; the first log entry names the disks of all hosts as voters. A majority
is not enough: after the loss of two disks out of three, the two empty hosts
would bootstrap another group and lose what the first one had committed. A host
whose log has an entry never votes for such a candidate, so as long as one disk
of the group is left, hosts with empty disks are only learners.
"""

import asyncio
import enum
import typing

from mangobay import ids, logs, membership, options, progress
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus


class Role(enum.Enum):
    """The role of a control host in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


MIN_SLEEP_SECONDS = 0.001
"""Shortest sleep. One below the clock's resolution would busy-wait."""
VoteReplies = dict[options.Address, messages.VoteReply]


def has_empty_log(group: "consensus.Group") -> bool:
    """Returns whether this host's disk has never held an entry."""
    return group.log.last_index == 0


async def handle_vote_request(
    group: "consensus.Group", request: messages.VoteRequest
) -> messages.VoteReply:
    """Handles a vote or pre-vote request; the caller holds the lock.

    Raises:
      errors.StorageError: the vote could not be made durable, so that it is
        not given.
    """
    if request.prevote:
        granted = (
            request.term > group.term
            and not has_live_leader(group)
            and is_eligible_candidate(group, request)
        )
        return make_vote_reply(group, granted)
    is_newer_term = request.term > group.term
    can_vote = request.term == group.term and not group.log.hard_state.voted_for
    if (is_newer_term or can_vote) and is_eligible_candidate(group, request):
        await group.enter_term(request.term, request.identity)
    elif is_newer_term:
        await group.enter_term(request.term)
    granted = (
        request.term == group.term
        and group.log.hard_state.voted_for == request.identity
    )
    if granted:
        group.reset_election_timer()
    return make_vote_reply(group, granted)


def make_vote_reply(
    group: "consensus.Group", granted: bool
) -> messages.VoteReply:
    """Returns this host's reply to a candidate."""
    return messages.VoteReply(
        term=ids.Term(group.term),
        granted=granted,
        identity=group.identity,
        host=group.host,
    )


def is_eligible_candidate(
    group: "consensus.Group", request: messages.VoteRequest
) -> bool:
    """Returns whether a candidate's log is at least as up to date as ours.

    A candidate that bootstraps a group needs an empty log here instead, and
    settings that do not tell this host to join a group.
    """
    if request.founding:
        return has_empty_log(group) and not group.settings.join
    candidate_last = (request.last_term, request.last_index)
    return candidate_last >= (group.log.last_term, group.log.last_index)


def has_live_leader(group: "consensus.Group") -> bool:
    """Returns whether this host leads or has heard a leader recently."""
    # A partitioned host has timed out repeatedly when it returns. Its
    # campaign would depose a leader that all other hosts hear.
    if group.role is Role.LEADER:
        return True
    silent_seconds = group.now() - group.leader_contact_at
    return silent_seconds < group.settings.election_timeout


async def run_election_timer(group: "consensus.Group") -> None:
    """Campaigns at timeouts; checks quorum and voters while leading."""
    while True:
        group.voter_watch.update(group)
        if group.role is Role.LEADER:
            await asyncio.sleep(group.settings.heartbeat_interval)
            check_quorum(group)
            membership.promote_learner(group)
            async with group.lock:
                await membership.persist_voter_commit(group)
        elif group.now() < group.campaign_at:
            # A leader that announces its step-down sets an earlier campaign.
            delay = min(
                group.campaign_at - group.now(),
                group.settings.heartbeat_interval,
            )
            await asyncio.sleep(max(delay, MIN_SLEEP_SECONDS))
        else:
            group.reset_election_timer()
            await campaign(group)


def check_quorum(group: "consensus.Group") -> None:
    """Steps down if no quorum has replied for an election timeout."""
    # In a partition that drops packets silently, the leader does not learn
    # that another one was elected, and its callers would wait forever. A late
    # check costs only time: a confirmation of leadership needs a round of its
    # own and never returns stale state.
    quorum_contact_at = group.quorum_value(
        progress.Measure.LAST_CONTACT, own_value=group.now()
    )
    last_quorum_at = max(quorum_contact_at, group.elected_at)
    if (
        group.role is Role.LEADER
        and group.now() - last_quorum_at > group.settings.election_timeout
    ):
        logs.log_event(logs.Component.GROUP, "lost its quorum", term=group.term)
        group.step_down()


async def campaign(group: "consensus.Group") -> None:
    """Runs a pre-vote, then an election; becomes leader if elected.

    Raises:
      errors.StorageError: this host's own vote could not be made durable.
    """
    group.add_voter_followers()
    founding = has_empty_log(group)
    if founding and group.settings.join:
        return
    if not founding and not group.voters.is_voter(group.identity):
        return
    term = group.term + 1
    replies = await collect_votes(
        group, make_vote_request(group, term, founding, True)
    )
    await adopt_newest_term(group, replies)
    if not has_won(group, replies, founding):
        return
    async with group.lock:
        if group.term != term - 1 or has_live_leader(group):
            return
        await group.enter_term(term, group.identity)
        group.role = Role.CANDIDATE
        request = make_vote_request(group, term, founding, False)
    replies = await collect_votes(group, request)
    await adopt_newest_term(group, replies)
    async with group.lock:
        if group.term != term or group.role is not Role.CANDIDATE:
            return
        if not has_won(group, replies, founding):
            group.role = Role.FOLLOWER
            return
        group.become_leader()
        group.append(
            make_first_voters(group, replies) if founding else messages.Noop()
        )


async def adopt_newest_term(
    group: "consensus.Group", replies: VoteReplies
) -> None:
    """Enters the newest term in the replies, if it is newer."""
    # Otherwise the only host with an up-to-date log could be refused forever
    # for its old term, by voters that cannot be elected because of their logs.
    newest_term = max([reply.term for reply in replies.values()], default=0)
    async with group.lock:
        if newest_term > group.term:
            await group.enter_term(newest_term)


def make_vote_request(
    group: "consensus.Group", term: int, founding: bool, prevote: bool
) -> messages.VoteRequest:
    """Returns the vote or pre-vote request of this host."""
    return messages.VoteRequest(
        term=ids.Term(term),
        candidate=group.host,
        identity=group.identity,
        last_index=ids.LogIndex(group.log.last_index),
        last_term=ids.Term(group.log.last_term),
        prevote=prevote,
        founding=founding,
    )


async def collect_votes(
    group: "consensus.Group", request: messages.VoteRequest
) -> VoteReplies:
    """Requests votes; returns the replies that came in time, by address."""
    replies: VoteReplies = {}
    timeout = group.settings.election_timeout / 2

    async def request_vote(address: options.Address) -> None:
        reply = await group.send_request(address, request, timeout)
        if isinstance(reply, messages.VoteReply):
            replies[address] = reply
        if has_won(group, replies, request.founding):
            decided.set()

    decided = asyncio.Event()
    async with asyncio.TaskGroup() as tasks:
        vote_tasks = [
            tasks.create_task(request_vote(follower.address))
            for follower in group.followers.all
        ]
        tasks.create_task(set_when_done(vote_tasks, decided))
        # An unreachable host takes the whole timeout. A decided election
        # does not wait for it.
        await decided.wait()
        for task in vote_tasks:
            task.cancel()
    return replies


async def set_when_done(
    tasks: "list[asyncio.Task[None]]", event: asyncio.Event
) -> None:
    """Sets the event once every task has finished."""
    if tasks:
        await asyncio.wait(tasks)
    event.set()


def has_won(
    group: "consensus.Group", replies: VoteReplies, founding: bool
) -> bool:
    """Returns whether the granted votes elect this host."""
    granted = {reply.identity for reply in replies.values() if reply.granted}
    granted.add(group.identity)
    if founding:
        return len(granted) == len(group.settings.hosts)
    quorum_vote = group.voters.quorum_value(
        group.commit_index, lambda identity: identity in granted
    )
    return quorum_vote > 0


def make_first_voters(
    group: "consensus.Group", replies: VoteReplies
) -> messages.VoterChange:
    """Returns the first log entry, which names every voting disk."""
    logs.log_event(
        logs.Component.GROUP, "bootstraps a new group", hosts=len(replies) + 1
    )
    voters = [
        messages.Peer(
            host=reply.host, identity=reply.identity, address=str(address)
        )
        for address, reply in replies.items()
        if reply.granted
    ]
    own_peer = messages.Peer(
        host=group.host, identity=group.identity, address=str(group.address)
    )
    return messages.VoterChange(voters=[own_peer, *voters])


async def accept_leader(
    group: "consensus.Group",
    body: messages.AppendRequest | messages.SnapshotPut,
) -> bool:
    """Follows the sender; returns False if its term is outdated."""
    if body.term < group.term:
        return False
    group.check_single_leader(body.term, body.identity)
    if body.term > group.term:
        await group.enter_term(body.term)
    else:
        group.step_down()
    group.leader = body.leader
    group.leader_address = body.address
    group.leader_contact_at = group.now()
    group.reset_election_timer()
    return True
