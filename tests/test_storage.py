"""Tests of the storage of a control host after failures."""

import os
import random
import subprocess
import sys

import groupfakes
import pytest

from mangobay import disk, errors, ids, storage
from mangobay.generated import messages

TRAILING_BYTES = 1 << 24


def entry(index: int, term: int = 1) -> messages.LogEntry:
    body = messages.SheetChange(version=f"{term}.{index}")
    return messages.LogEntry(index=index, term=term, body=body)


async def make_synced_log(files, count: int) -> storage.Storage:
    """Returns a storage with entries that were synced one by one."""
    log = storage.Storage(files)
    log.open()
    await log.save_hard_state(1, ids.DiskId(""), 0)
    for index in range(1, count + 1):
        log.append([entry(index)])
        await log.flush()
    return log


async def save_snapshot(log, snapshot, trailing: int) -> None:
    """Stages and installs a snapshot, as a host does to compact its log."""
    data = await log.stage(snapshot)
    await log.install_staged(
        storage.STAGED_FILE, snapshot, data, trailing, TRAILING_BYTES
    )


def reopen(files) -> storage.Storage:
    log = storage.Storage(files)
    log.open()
    return log


@pytest.fixture
def files():
    return groupfakes.FakeDisk(random.Random(1))


class TestRealDirectory:
    """Storage in a real directory."""

    async def test_log_state_and_snapshot_are_restored(self, tmp_path):
        files = disk.Disk(str(tmp_path))
        log = await make_synced_log(files, 20)
        snapshot = messages.Snapshot(last_index=15, last_term=1)
        await save_snapshot(log, snapshot, 5)
        log.append([entry(21)])
        await log.flush()
        files.close()
        reopened = reopen(disk.Disk(str(tmp_path)))
        assert reopened.hard_state == log.hard_state
        assert reopened.snapshot == snapshot
        assert reopened.first_index == 11
        assert reopened.records == log.records
        assert reopened.last_index == 21

    def test_new_directory_is_durable(self, tmp_path, monkeypatch):
        """A power loss removes a new data directory with all that it holds."""
        synced = set()

        def record(descriptor):
            synced.add(os.readlink(f"/proc/self/fd/{descriptor}"))

        monkeypatch.setattr(os, "fsync", record)
        reopen(disk.Disk(str(tmp_path / "new" / "data")))
        assert {str(tmp_path), str(tmp_path / "new")} <= synced

    def test_second_process_is_refused(self, tmp_path):
        """Two processes in one directory vote twice with one identity."""
        first = disk.Disk(str(tmp_path))
        first.open()
        with pytest.raises(errors.StorageError, match="another process"):
            storage.Storage(disk.Disk(str(tmp_path))).open()
        first.close()
        storage.Storage(disk.Disk(str(tmp_path))).open()


class TestLog:
    """Torn, corrupt and replaced parts of the log."""

    async def test_torn_tail_is_truncated(self, files):
        """Power is lost while the last frame is written.

        A part of the frame is on the disk, and no caller was told of its
        entry. The log ends before it and accepts new entries.
        """
        await make_synced_log(files, 3)
        complete_bytes = len(files.files["log"])
        for torn_bytes in range(1, 40):
            log = reopen(files)
            log.append([entry(4)])
            await log.flush()
            del files.files["log"][complete_bytes + torn_bytes :]
            assert reopen(files).last_index == 3
            assert len(files.files["log"]) == complete_bytes

    @pytest.mark.parametrize("share", (0.0, 0.2, 0.5, 0.8))
    async def test_corruption_before_other_frames_is_refused(
        self, files, share
    ):
        """A bit flips in a frame that is followed by others.

        Truncating the log there would lose acknowledged entries. The host
        does not start, names the file and the byte, and keeps the file.
        """
        await make_synced_log(files, 10)
        last = files.files["log"].rfind(b"mgbL")
        files.files["log"][int(last * share)] ^= 1
        before = bytes(files.files["log"])
        with pytest.raises(errors.CorruptLogError, match="log: .*byte"):
            reopen(files)
        assert bytes(files.files["log"]) == before

    async def test_corrupt_last_frame_is_refused_if_committed(self, files):
        """Truncating a corrupt last frame loses a committed entry."""
        log = await make_synced_log(files, 5)
        await log.save_hard_state(1, ids.DiskId(""), 5)
        files.files["log"][-1] ^= 1
        with pytest.raises(errors.CorruptLogError, match="5 was committed"):
            reopen(files)

    @pytest.mark.parametrize("name", ("state", "snapshot"))
    async def test_corrupt_file_is_refused(self, files, name):
        log = await make_synced_log(files, 5)
        await save_snapshot(log, messages.Snapshot(last_index=5), 0)
        files.files[name][-1] ^= 1
        with pytest.raises(errors.CorruptLogError, match=name):
            reopen(files)

    async def test_missing_state_file_is_refused(self, files):
        await make_synced_log(files, 5)
        del files.files["state"]
        with pytest.raises(errors.CorruptLogError, match="state"):
            reopen(files)

    async def test_entries_replaced_by_a_snapshot_do_not_count_as_synced(
        self, files
    ):
        """A snapshot replaces the uncommitted last entries of a follower.

        If they still counted as synced, new entries at their indexes would
        be acknowledged without being written, and lost in a crash.
        """
        log = await make_synced_log(files, 9)
        await save_snapshot(
            log, messages.Snapshot(last_index=5, last_term=2), 0
        )
        for index in range(6, 9):
            log.append([entry(index, term=2)])
            await log.flush()
        files.crash()
        assert [r.entry.index for r in reopen(files).records] == [6, 7, 8]

    async def test_power_loss_while_compacting_keeps_synced_entries(
        self, files
    ):
        """Power is lost at each step of a log compaction in turn."""
        for step in range(1, 9):
            fake_disk = groupfakes.FakeDisk(random.Random(step))
            log = await make_synced_log(fake_disk, 9)
            fake_disk.steps_to_power_loss = step
            with pytest.raises(errors.StorageError):
                await save_snapshot(
                    log, messages.Snapshot(last_index=6, last_term=1), 0
                )
            fake_disk.crash()
            reopened = reopen(fake_disk)
            assert reopened.last_index == 9
            assert reopened.hard_state.identity == log.hard_state.identity

    async def test_power_loss_while_installing_a_snapshot_leaves_no_gap(
        self, files
    ):
        """Power is lost at each step of replacing an outdated log.

        The host restarts with the old log or with the snapshot. Entries that
        it appends after that must not leave a gap in the log.
        """
        for step in range(1, 9):
            fake_disk = groupfakes.FakeDisk(random.Random(step))
            log = await make_synced_log(fake_disk, 9)
            fake_disk.steps_to_power_loss = step
            with pytest.raises(errors.StorageError):
                await save_snapshot(
                    log, messages.Snapshot(last_index=20, last_term=2), 0
                )
            fake_disk.crash()
            reopened = reopen(fake_disk)
            assert reopened.last_index in (9, 20)
            reopened.append([entry(reopened.last_index + 1, term=2)])
            await reopened.flush()
            assert reopen(fake_disk).last_index == reopened.last_index


WRITER = """
import asyncio, sys
from mangobay import disk, storage
from mangobay.generated import messages

async def main():
    log = storage.Storage(disk.Disk(sys.argv[1]))
    log.open()
    while True:
        index = log.last_index + 1
        log.append([messages.LogEntry(index=index, body=messages.Noop())])
        await log.flush()
        if index % 50 == 0:
            snapshot = messages.Snapshot(last_index=index)
            data = await log.stage(snapshot)
            await log.install_staged(
                storage.STAGED_FILE, snapshot, data, 5, 1 << 24
            )
        print(index, flush=True)

asyncio.run(main())
"""


class TestKilled:
    """A real process that is killed while it writes."""

    def test_acknowledged_entries_survive_a_kill(self, tmp_path):
        """A process receives SIGKILL at an arbitrary point.

        Every index that it printed was synced before. The next start must
        find it, whether or not the last write or snapshot was complete.
        """
        for acknowledged in (20, 75, 130):
            command = [sys.executable, "-c", WRITER, str(tmp_path)]
            with subprocess.Popen(command, stdout=subprocess.PIPE) as writer:
                for _ in range(acknowledged):
                    last_printed = int(writer.stdout.readline())
                writer.kill()
            files = disk.Disk(str(tmp_path))
            assert reopen(files).last_index >= last_printed
            files.close()
