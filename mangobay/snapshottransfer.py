"""Snapshot transfer from the leader to followers behind its log's start.

The leader sends a snapshot in parts. The follower replies to each part, and
each part counts as a heartbeat. In a single message, the snapshot of a large
system would exceed the frame limit, and a leader that needs the follower for
its quorum would lose it while the follower receives the message.
"""

import asyncio
import dataclasses
import typing

import capnp
import xxhash

from mangobay import election, errors, ids, logs, storage
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus, progress

MAX_PART_BYTES = 256 * 1024
"""Bytes of a snapshot in one message."""


@dataclasses.dataclass(slots=True)
class OutgoingSnapshot:
    """A snapshot that is being sent to one follower.

    Attributes:
      last_index: log index of the last entry that the snapshot covers.
      data: the encoded snapshot.
      checksum: XXH3 checksum of `data`.
      offset: number of bytes that the follower has received.
    """

    last_index: ids.LogIndex
    data: bytes
    checksum: int
    offset: int = 0

    @property
    def is_fully_sent(self) -> bool:
        """Whether all parts are received and only the install is pending."""
        return self.offset >= len(self.data)


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that this host is receiving.

    Attributes:
      last_index: log index of the last entry that the snapshot covers.
      size: size of the complete snapshot, bytes.
      checksum: XXH3 checksum of the complete snapshot.
      data: bytes received so far.
      install_task: installs the snapshot once it is complete.
    """

    last_index: ids.LogIndex
    size: int
    checksum: int
    data: bytearray = dataclasses.field(default_factory=bytearray)
    install_task: asyncio.Task | None = None

    def is_same_snapshot(self, body: messages.SnapshotPut) -> bool:
        """Returns whether a part belongs to exactly this snapshot."""
        return (
            self.last_index == body.last_index
            and self.size == body.size
            and self.checksum == body.checksum
        )


def make_snapshot_put(
    group: "consensus.Group", follower: "progress.Follower"
) -> messages.SnapshotPut:
    """Returns the next part for a follower behind the log's start."""
    if follower.outgoing_snapshot is None:
        data = group.log.snapshot_data
        follower.outgoing_snapshot = OutgoingSnapshot(
            last_index=group.log.snapshot.last_index,
            data=data,
            checksum=xxhash.xxh3_64_intdigest(data),
        )
    outgoing = follower.outgoing_snapshot
    return messages.SnapshotPut(
        term=ids.Term(group.term),
        leader=group.host,
        part=outgoing.data[outgoing.offset : outgoing.offset + MAX_PART_BYTES],
        identity=group.identity,
        address=str(group.address),
        last_index=outgoing.last_index,
        offset=outgoing.offset,
        size=len(outgoing.data),
        checksum=outgoing.checksum,
    )


def process_reply(
    follower: "progress.Follower", reply: messages.SnapshotReply
) -> None:
    """Records a follower's progress, or that it installed the snapshot."""
    outgoing = follower.outgoing_snapshot
    if outgoing is None:
        return
    if reply.last_index < outgoing.last_index:
        outgoing.offset = reply.received
        return
    follower.outgoing_snapshot = None
    follower.match_index = max(follower.match_index, reply.last_index)
    follower.next_index = follower.match_index + 1


async def handle_snapshot_put(
    group: "consensus.Group", body: messages.SnapshotPut
) -> messages.SnapshotReply:
    """Stores a part of the leader's snapshot; the caller holds the lock."""
    if not await election.accept_leader(group, body):
        return make_snapshot_reply(group, 0, 0)
    if body.last_index <= group.commit_index:
        group.incoming_snapshot = None
        return make_snapshot_reply(group, body.last_index, body.size)
    incoming = group.incoming_snapshot
    if incoming is None or not incoming.is_same_snapshot(body):
        incoming = IncomingSnapshot(body.last_index, body.size, body.checksum)
        group.incoming_snapshot = incoming
    if body.offset == len(incoming.data):
        incoming.data += body.part
    received = len(incoming.data)
    if received >= incoming.size and incoming.install_task is None:
        incoming.install_task = group.start_background_task(
            install(group, incoming)
        )
    return make_snapshot_reply(group, 0, received)


def make_snapshot_reply(
    group: "consensus.Group", last_index: int, received: int
) -> messages.SnapshotReply:
    """Returns this host's reply to a part."""
    return messages.SnapshotReply(
        term=ids.Term(group.term),
        last_index=ids.LogIndex(last_index),
        identity=group.identity,
        host=group.host,
        received=received,
    )


async def install(group: "consensus.Group", incoming: IncomingSnapshot) -> None:
    """Replaces the log and the state machine by a complete snapshot."""
    try:
        data = bytes(incoming.data)
        if xxhash.xxh3_64_intdigest(data) != incoming.checksum:
            raise errors.PeerProtocolError(
                "the received snapshot has a bad checksum"
            )
        # Decoding and syncing to disk take long. They run without the lock so
        # that this host still replies to the leader's heartbeats.
        async with group.install_lock:
            # The snapshot of the next leader would be staged in the same file.
            snapshot = await group.log.stage_received(data)
            async with group.lock:
                if snapshot.last_index > group.commit_index:
                    await replace_state(group, snapshot, data)
    except errors.StorageError:
        group.abort_run()
    except (errors.PeerProtocolError, capnp.KjException) as error:
        logs.log_event(
            logs.Component.GROUP,
            "the received snapshot was not installed",
            why=str(error),
        )
    finally:
        # After a failed install, the transfer restarts from the first byte.
        if group.incoming_snapshot is incoming:
            group.incoming_snapshot = None


async def replace_state(
    group: "consensus.Group", snapshot: messages.Snapshot, data: bytes
) -> None:
    """Installs a staged snapshot; the caller holds the lock.

    Raises:
      errors.StorageError: the disk failed.
    """
    await group.log.install_staged(storage.RECEIVED_FILE, snapshot, data, 0, 0)
    group.voters.truncate(group.log.last_index + 1)
    group.voters.restore_snapshot(snapshot)
    group.machine.restore(snapshot)
    group.commit_index = group.applied_index = snapshot.last_index
