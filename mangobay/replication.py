"""Log replication from the leader to the other control hosts."""

import asyncio
import typing

from mangobay import (
    election,
    ids,
    invariants,
    membership,
    progress,
    snapshottransfer,
)
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus

MAX_BATCH_BYTES = 1 << 20
"""Size limit of the entries in one request, which has at least one entry."""
ABSENT_LEARNER_INTERVAL_SECONDS = 1.0
"""Time between requests to a former voter that does not answer. Most are gone
for good; one that is back also makes itself known."""
FollowerReply = messages.AppendReply | messages.SnapshotReply


async def replicate(
    group: "consensus.Group", follower: progress.Follower
) -> None:
    """Replicates the log to one follower while this host leads."""
    while True:
        await group.leading.wait()
        follower.wake.clear()
        answered = await send_next(group, follower)
        if answered and has_more_to_send(group, follower):
            continue
        await wait_for_work(group, follower, answered)


def has_more_to_send(
    group: "consensus.Group", follower: progress.Follower
) -> bool:
    """Returns whether there is more to send without waiting."""
    if follower.outgoing_snapshot is not None:
        return not follower.outgoing_snapshot.is_fully_sent
    return follower.next_index <= group.log.last_index


async def wait_for_work(
    group: "consensus.Group", follower: progress.Follower, answered: bool
) -> None:
    """Waits for something to send or for the next heartbeat."""
    interval = group.settings.heartbeat_interval
    if not answered:
        # Without the delay, a host that refuses connections would be sent
        # requests in a busy loop.
        if is_absent_learner(group, follower):
            interval = max(interval, ABSENT_LEARNER_INTERVAL_SECONDS)
        await asyncio.sleep(interval)
        return
    try:
        async with asyncio.timeout(interval):
            await follower.wake.wait()
    except TimeoutError:
        return


def is_absent_learner(
    group: "consensus.Group", follower: progress.Follower
) -> bool:
    """Returns whether a follower is a former voter that does not answer."""
    silent_seconds = group.now() - follower.last_contact_at
    return silent_seconds > group.settings.replace_after and any(
        learner.address == str(follower.address)
        for learner in group.voters.newest_learners()
    )


async def send_next(
    group: "consensus.Group", follower: progress.Follower
) -> bool:
    """Sends the next request; returns whether a valid reply came."""
    term = group.term
    sent_round = group.waiters.newest_round
    sent_at = group.now()
    timeout = group.settings.election_timeout / 2
    if (
        follower.outgoing_snapshot
        or group.log.term_at(follower.next_index - 1) is None
    ):
        body: messages.EnvelopeBody = snapshottransfer.make_snapshot_put(
            group, follower
        )
    else:
        body = make_append_request(group, follower)
    reply = await group.send_request(follower.address, body, timeout)
    if not isinstance(reply, FollowerReply):
        return False
    if reply.term > group.term:
        async with group.lock:
            if reply.term > group.term:
                await group.enter_term(reply.term)
        return True
    if not group.leading.is_set() or group.term != term:
        return True
    if reply.term < term:
        return False
    process_reply(group, follower, body, reply)
    follower.last_contact_at = sent_at
    follower.confirmed_round = sent_round
    group.advance_commit_index()
    return True


def process_reply(
    group: "consensus.Group",
    follower: progress.Follower,
    sent: messages.AppendRequest | messages.SnapshotPut,
    reply: FollowerReply,
) -> None:
    """Updates a follower's progress from its reply in the current term."""
    if follower.identity != reply.identity:
        # The disk was replaced, and the entries on the old one are lost.
        follower.identity = reply.identity
        follower.reset(group.log.last_index + 1)
    follower.host = reply.host
    match reply:
        case messages.AppendReply(matched=False):
            hint = min(reply.last_index + 1, sent.prev_index)
            follower.next_index = max(1, hint)
        case messages.AppendReply():
            follower.match_index = max(follower.match_index, reply.last_index)
            follower.next_index = follower.match_index + 1
        case messages.SnapshotReply():
            snapshottransfer.process_reply(follower, reply)


def make_append_request(
    group: "consensus.Group", follower: progress.Follower
) -> messages.AppendRequest:
    """Returns a request with the next entries, a heartbeat if none."""
    previous_index = follower.next_index - 1
    return messages.AppendRequest(
        term=ids.Term(group.term),
        leader=group.host,
        prev_index=ids.LogIndex(previous_index),
        prev_term=ids.Term(group.log.term_at(previous_index) or 0),
        entries=group.log.batch(follower.next_index, MAX_BATCH_BYTES),
        commit=ids.LogIndex(group.commit_index),
        identity=group.identity,
        address=str(group.address),
    )


async def handle_append_request(
    group: "consensus.Group", body: messages.AppendRequest
) -> messages.AppendReply:
    """Appends a leader's entries durably; the caller holds the lock.

    Raises:
      errors.StorageError: the disk failed; nothing is acknowledged.
    """
    if not await election.accept_leader(group, body):
        return make_append_reply(group, False, group.log.last_index)
    if not has_previous_entry(group, body):
        return make_append_reply(
            group, False, find_conflict_hint(group, body.prev_index)
        )
    last_index = body.prev_index + len(body.entries)
    await append_entries(group, body.entries)
    group.commit_and_apply(min(body.commit, last_index))
    await membership.persist_voter_commit(group)
    return make_append_reply(group, True, last_index)


def make_append_reply(
    group: "consensus.Group", matched: bool, last_index: int
) -> messages.AppendReply:
    """Returns this host's reply to a leader."""
    return messages.AppendReply(
        term=ids.Term(group.term),
        matched=matched,
        last_index=ids.LogIndex(last_index),
        identity=group.identity,
        host=group.host,
    )


def has_previous_entry(
    group: "consensus.Group", body: messages.AppendRequest
) -> bool:
    """Returns whether the log matches the entry before a leader's entries."""
    if body.prev_index <= group.commit_index:
        return True
    return group.log.term_at(body.prev_index) == body.prev_term


def find_conflict_hint(group: "consensus.Group", index: int) -> int:
    """Returns the newest index that may match, before the conflicting term."""
    if index > group.log.last_index:
        return group.log.last_index
    term = group.log.term_at(index)
    while index > group.commit_index and group.log.term_at(index) == term:
        index -= 1
    return index


async def append_entries(
    group: "consensus.Group", entries: list[messages.LogEntry]
) -> None:
    """Appends the missing entries; truncates conflicting ones first."""
    log = group.log
    new = [
        entry
        for entry in entries
        if entry.index > group.log.snapshot.last_index
    ]
    while new and log.term_at(new[0].index) == new[0].term:
        new.pop(0)
    if new and new[0].index <= log.last_index:
        await truncate_log(group, new[0].index)
    if new:
        log.append(new)
        group.voters.add_entries(new)
    await log.flush()


async def truncate_log(group: "consensus.Group", index: int) -> None:
    """Removes entries that conflict with those of a newer leader."""
    invariants.check(
        invariants.Invariant.COMMITTED_NEVER_LOST,
        index > group.commit_index,
        f"entry {index} would be truncated, but the log is committed up to"
        f" {group.commit_index}",
    )
    group.voters.truncate(index)
    await group.log.truncate(index)
