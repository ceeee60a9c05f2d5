"""Elections of the control group: campaigns and votes.

A brand new group is founded by a candidate that every host of the settings
votes for; its first entry names all their disks.  A majority would not do:
after the loss of two disks out of three, the two empty hosts would found
another group and deny what the first had committed.  A host that holds an
entry never votes for a founder, so as long as one disk of the group is left,
empty ones only learn.
"""

import asyncio
import enum
import typing

from mangobay import ids, logs, membership, options, progress
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus


class Role(enum.Enum):
    """What a control host is in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


MIN_SLEEP_SECONDS = 0.001
"""Seconds; a sleep shorter than the clock's resolution would spin."""
VoteReplies = dict[options.Address, messages.VoteReply]


def has_empty_log(group: "consensus.Group") -> bool:
    """Whether this host's disk has never held an entry."""
    return group.log.last_index == 0


async def handle_vote_request(
    group: "consensus.Group", request: messages.VoteRequest
) -> messages.VoteReply:
    """Votes, or says how it would; the group's lock is held.

    Raises:
      errors.StorageError: the vote could not be made durable: none is given.
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
    """Returns this host's answer to a candidate."""
    return messages.VoteReply(
        term=ids.Term(group.term),
        granted=granted,
        identity=group.identity,
        host=group.host,
    )


def is_eligible_candidate(
    group: "consensus.Group", request: messages.VoteRequest
) -> bool:
    """Whether a candidate's log holds everything that this host's does."""
    if request.founding:
        return has_empty_log(group) and not group.settings.join
    candidate_last = (request.last_term, request.last_index)
    return candidate_last >= (group.log.last_term, group.log.last_index)


def has_live_leader(group: "consensus.Group") -> bool:
    """Whether a leader is alive as far as this host can tell."""
    # A host that was cut off comes back with timeouts behind it; its
    # campaign would depose a leader that everyone else hears.
    if group.role is Role.LEADER:
        return True
    silent_seconds = group.now() - group.leader_contact_at
    return silent_seconds < group.settings.election_timeout


async def run_election_timer(group: "consensus.Group") -> None:
    """Campaigns when no leader is heard; checks the quorum while leading."""
    while True:
        if group.role is Role.LEADER:
            await asyncio.sleep(group.settings.heartbeat_interval)
            check_quorum(group)
            membership.promote_learner(group)
            async with group.lock:
                await membership.persist_voter_commit(group)
        elif group.now() < group.campaign_at:
            # A leader that says farewell puts the campaign forward.
            delay = min(
                group.campaign_at - group.now(),
                group.settings.heartbeat_interval,
            )
            await asyncio.sleep(max(delay, MIN_SLEEP_SECONDS))
        else:
            group.reset_election_timer()
            await campaign(group)


def check_quorum(group: "consensus.Group") -> None:
    """Stops to lead when no quorum answered for an election timeout."""
    # Behind a silent cut nothing tells the leader that another was
    # elected: its callers would wait for ever.  Confirmations need a
    # round of their own, so a late check costs time, never truth.
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
    """Asks for votes, first without raising the term; leads when elected.

    Raises:
      errors.StorageError: the own vote could not be made durable.
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
    """Enters the newest term that a voter has seen."""
    # Otherwise the only host with the longest log could stay refused for
    # ever, for its term, by voters that cannot be elected for their logs.
    newest_term = max([reply.term for reply in replies.values()], default=0)
    async with group.lock:
        if newest_term > group.term:
            await group.enter_term(newest_term)


def make_vote_request(
    group: "consensus.Group", term: int, founding: bool, prevote: bool
) -> messages.VoteRequest:
    """Returns what this host asks the others as a candidate."""
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
    """Returns the answers that came in time, by address."""
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
        # A dead host answers at the timeout; the others need not wait.
        await decided.wait()
        for task in vote_tasks:
            task.cancel()
    return replies


async def set_when_done(
    tasks: "list[asyncio.Task[None]]", event: asyncio.Event
) -> None:
    """Sets the event once every task has ended."""
    if tasks:
        await asyncio.wait(tasks)
    event.set()


def has_won(
    group: "consensus.Group", replies: VoteReplies, founding: bool
) -> bool:
    """Whether the votes make this host leader."""
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
    """Returns the first entry: every host with the disk that voted for it."""
    logs.log_event(
        logs.Component.GROUP, "founds a new group", hosts=len(replies) + 1
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
    """Follows the sender; returns False when its term is over."""
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
