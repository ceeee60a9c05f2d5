"""Log compaction of the control group by snapshots."""

import typing

from mangobay import ids, storage
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus

TRAILING_DIVISOR = 10
"""The snapshot interval divided by this is the number and size of the entries
that a compacted log keeps before the snapshot's index."""


def restore_from_log(group: "consensus.Group") -> None:
    """Restores the state machine and the voters from storage."""
    snapshot = group.log.snapshot
    group.voters.restore_snapshot(snapshot)
    entries = [record.entry for record in group.log.records]
    group.voters.add_entries(
        [entry for entry in entries if entry.index > snapshot.last_index]
    )
    if snapshot.last_index:
        group.machine.restore(snapshot)
    group.commit_index = group.applied_index = snapshot.last_index
    group.commit_and_apply(group.log.hard_state.commit)


def is_snapshot_due(group: "consensus.Group") -> bool:
    """Returns whether the log is so long or large that it is compacted."""
    first_index = group.log.snapshot.last_index + 1
    entry_count = group.applied_index + 1 - first_index
    byte_count = group.log.bytes_between(first_index, group.applied_index)
    return (
        entry_count >= group.settings.snapshot_entries
        or byte_count >= group.settings.snapshot_bytes
    )


async def take_snapshots(group: "consensus.Group") -> None:
    """Takes a snapshot and compacts the log whenever one is due.

    Raises:
      errors.StorageError: the disk failed.
    """
    trailing = group.settings.snapshot_entries // TRAILING_DIVISOR
    trailing_bytes = group.settings.snapshot_bytes // TRAILING_DIVISOR
    while True:
        await group.snapshot_due.wait()
        async with group.lock:
            group.snapshot_due.clear()
            if group.applied_index <= group.log.snapshot.last_index:
                continue
            snapshot = make_snapshot(group)
        # All hosts get here at the same entry. If they encoded and synced
        # while holding the lock, none would reply to the leader meanwhile,
        # and the snapshot of 23,000 hosts takes longer than an election
        # timeout.
        data = await group.log.stage(snapshot)
        async with group.lock:
            if snapshot.last_index <= group.log.snapshot.last_index:
                continue
            await group.log.install_staged(
                storage.STAGED_FILE, snapshot, data, trailing, trailing_bytes
            )
            group.voters.restore_snapshot(snapshot)


def make_snapshot(group: "consensus.Group") -> messages.Snapshot:
    """Returns a snapshot of state machine and voters; the lock is held."""
    snapshot = group.machine.snapshot()
    snapshot.last_index = ids.LogIndex(group.applied_index)
    snapshot.last_term = ids.Term(group.log.term_at(group.applied_index) or 0)
    snapshot.voters = group.voters.voters_at(group.applied_index)
    return snapshot
