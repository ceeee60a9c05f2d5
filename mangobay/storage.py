"""Durable storage of a control host: hard state, snapshot and log."""

import dataclasses
import struct
import typing
import uuid

import capnp
import xxhash

from mangobay import disk as disk_module
from mangobay import errors, ids, logs, recordlog
from mangobay.generated import messages

STATE_FILE = "state"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
TEMPORARY_SUFFIX = ".new"
STAGED_FILE = "snapshot.staged"
RECEIVED_FILE = "snapshot.received"
CHECKSUM = struct.Struct("<Q")


@dataclasses.dataclass(slots=True)
class Record:
    """A log entry.

    Attributes:
      entry: the entry.
      size: its size on the disk, in bytes.
      end: sum of the sizes up to here since the start of the process.
      data: the encoded entry until it is synced; None afterwards.
    """

    entry: messages.LogEntry
    size: int
    end: int = dataclasses.field(compare=False)
    data: bytes | None = None

    def encode(self) -> bytes:
        """Returns the encoded entry."""
        if self.data is not None:
            return self.data
        return messages.encode_log_entry(self.entry)


class Storage:
    """Hard state, snapshot and log of a control host, in memory and on disk.

    Only one task at a time may await the coroutines, apart from `stage` and
    `stage_received`; `append` may be called at any time. After a failed write
    or sync the contents of the disk are unknown, so this instance refuses
    every later write.

    Attributes:
      hard_state: term, vote, identity and commit index, as last synced.
      snapshot: the newest snapshot.
      snapshot_data: the newest snapshot, encoded.
      records: the entries in memory, without a gap, from `first_index` on.
      first_index: index of the first entry in `records`.
      synced_index: index of the newest durable entry.
      failure: reason for refusing writes, empty while writes are accepted.
      disk_full: whether that is because the disk is full.
    """

    def __init__(self, disk: disk_module.Disk):
        self.disk = disk
        self.hard_state = messages.HardState()
        self.snapshot = messages.Snapshot()
        self.snapshot_data = b""
        self.records: list[Record] = []
        self.first_index = 1
        self.synced_index = 0
        self.failure = ""
        self.disk_full = False

    def open(self) -> None:
        """Loads the data directory; creates an identity in an empty one.

        Raises:
          errors.CorruptLogError: a file is corrupt or missing.
          errors.DiskFullError: the disk is full.
          errors.StorageError: the directory cannot be read or written.
        """
        try:
            self.disk.open()
            self.load()
        except OSError as error:
            self.record_failure(
                error, f"{self.disk}: {error.strerror or error}"
            )
            raise self.make_error() from error

    def load(self) -> None:
        """Loads all files of the data directory."""
        body = self.read_checked(STATE_FILE)
        state = None
        if body is not None:
            state = self.decode_file(
                STATE_FILE, body, messages.decode_hard_state
            )
        log = self.disk.read(LOG_FILE)
        if state is None and (log or self.disk.read(SNAPSHOT_FILE)):
            raise errors.CorruptLogError(
                f"{self.disk}/{STATE_FILE}: file is missing, but a log or snapshot"
                " exists"
            )
        if state is None:
            # An empty disk is a new voter. Under its old identity it could
            # vote twice in a term, or lack an entry that it acknowledged.
            identity = ids.DiskId(str(uuid.uuid4()))
            state = messages.HardState(identity=identity)
            self.replace_file(STATE_FILE, messages.encode_hard_state(state))
        self.hard_state = state
        body = self.read_checked(SNAPSHOT_FILE)
        if body is not None:
            self.snapshot_data = body
            self.snapshot = self.decode_file(
                SNAPSHOT_FILE, body, messages.decode_snapshot
            )
        self.load_log(log or b"")

    def load_log(self, data: bytes) -> None:
        """Loads the log file; truncates a torn tail."""
        path = f"{self.disk}/{LOG_FILE}"
        scan = recordlog.scan(data, path)
        if scan.torn_bytes:
            logs.log_event(
                logs.Component.STORAGE, "cut a torn tail", bytes=scan.torn_bytes
            )
            self.disk.truncate(LOG_FILE, scan.whole_bytes)
        if data:
            # A killed process can leave bytes that it did not sync. Their
            # entries count as durable from now on, so they must survive a
            # power loss.
            self.disk.sync(LOG_FILE)
        self.first_index = scan.frames[0].first_index if scan.frames else 1
        for frame in scan.frames:
            for encoded in frame.records:
                self.add_record(messages.decode_log_entry(encoded), encoded)
                self.records[-1].data = None
        self.discard_replaced_entries()
        if scan.frames and not self.records:
            # Power was lost after a snapshot was installed and before the log
            # was compacted. Entries appended after the old ones would leave a
            # gap, which the next start would refuse as corruption.
            self.replace_file(LOG_FILE, b"", with_checksum=False)
        if self.first_index > self.snapshot.last_index + 1:
            raise errors.CorruptLogError(
                f"{path}: log starts at index {self.first_index}, but the snapshot"
                f" ends at index {self.snapshot.last_index}"
            )
        # Corruption in the last frame looks like a torn write. The saved
        # commit index tells them apart.
        if self.last_index < self.hard_state.commit:
            raise errors.CorruptLogError(
                f"{path}: log ends at index {self.last_index}, but index"
                f" {self.hard_state.commit} was committed"
            )
        self.synced_index = self.last_index

    def discard_replaced_entries(self) -> None:
        """Discards entries that conflict with or end before the snapshot."""
        last_index = self.snapshot.last_index
        if not last_index:
            return
        if self.term_at(last_index, log_only=True) == self.snapshot.last_term:
            return
        if self.records and self.first_index <= last_index:
            self.records = []
        if not self.records:
            self.first_index = last_index + 1

    def read_checked(self, name: str) -> bytes | None:
        """Returns the body of a file, None if there is no such file.

        Raises:
          errors.CorruptLogError: the checksum does not match.
        """
        data = self.disk.read(name)
        if data is None:
            return None
        body = data[CHECKSUM.size :]
        digest = CHECKSUM.pack(xxhash.xxh3_64_intdigest(body))
        if digest != data[: CHECKSUM.size]:
            raise errors.CorruptLogError(
                f"{self.disk}/{name}: checksum mismatch"
            )
        return body

    def decode_file(
        self, name: str, body: bytes, decode: typing.Callable
    ) -> typing.Any:
        """Returns the message in the body of a file.

        Raises:
          errors.CorruptLogError: the body cannot be decoded.
        """
        try:
            return decode(body)
        except capnp.KjException as error:
            raise errors.CorruptLogError(
                f"{self.disk}/{name}: {error}"
            ) from error

    def replace_file(
        self, name: str, body: bytes, with_checksum: bool = True
    ) -> None:
        """Replaces a file atomically and durably."""
        self.write_file(name + TEMPORARY_SUFFIX, body, with_checksum)
        self.disk.rename(name + TEMPORARY_SUFFIX, name)
        self.disk.sync_directory()

    def write_file(
        self, name: str, body: bytes, with_checksum: bool = True
    ) -> None:
        """Writes and syncs a file that is renamed later."""
        prefix = (
            CHECKSUM.pack(xxhash.xxh3_64_intdigest(body))
            if with_checksum
            else b""
        )
        self.disk.write(name, prefix + body)
        # After a crash, a renamed file whose data was not synced can be empty.
        self.disk.sync(name)

    @property
    def last_index(self) -> int:
        """Index of the newest entry, 0 if there is none."""
        return max(
            self.first_index + len(self.records) - 1, self.snapshot.last_index
        )

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int, log_only: bool = False) -> int | None:
        """Returns the term of an entry, None if it is not available.

        Args:
          index: index of the entry.
          log_only: whether to ignore the last entry of the snapshot.
        """
        if self.first_index <= index < self.first_index + len(self.records):
            return self.records[index - self.first_index].entry.term
        if index == self.snapshot.last_index and not log_only:
            return self.snapshot.last_term
        return None

    def add_record(self, entry: messages.LogEntry, data: bytes) -> None:
        """Adds an entry in memory."""
        end = self.records[-1].end if self.records else 0
        self.records.append(Record(entry, len(data), end + len(data), data))

    def bytes_between(self, first_index: int, last_index: int) -> int:
        """Returns the size of the entries in memory from one to another."""
        first = max(first_index, self.first_index) - self.first_index
        last = last_index - self.first_index
        if not first <= last < len(self.records):
            return 0
        record = self.records[first]
        return self.records[last].end - record.end + record.size

    def entry(self, index: int) -> messages.LogEntry:
        """Returns an entry that is in memory."""
        return self.records[index - self.first_index].entry

    def batch(self, start: int, max_bytes: int) -> list[messages.LogEntry]:
        """Returns entries from `start` on, up to `max_bytes` but at least one."""
        entries: list[messages.LogEntry] = []
        size = 0
        for record in self.records[start - self.first_index :]:
            size += record.size
            if entries and size > max_bytes:
                break
            entries.append(record.entry)
        return entries

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Appends entries in memory; the next `flush` makes them durable."""
        for entry in entries:
            self.add_record(entry, messages.encode_log_entry(entry))

    async def flush(self) -> None:
        """Makes all entries durable that were appended before the call.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        self.check_usable()
        start = self.synced_index + 1
        last_index = self.last_index
        if start > last_index:
            return
        records = self.records[start - self.first_index :]
        data = [record.encode() for record in records]
        is_new_file = start == self.first_index
        await self.run_disk_work(
            lambda: self.write_frame(start, data, is_new_file)
        )
        self.synced_index = last_index
        for record in records:
            record.data = None

    def write_frame(
        self, start: int, records: list[bytes], is_new_file: bool
    ) -> None:
        """Appends one frame and syncs it."""
        self.disk.append(LOG_FILE, recordlog.encode_frame(start, records))
        self.disk.sync(LOG_FILE)
        if is_new_file:
            self.disk.sync_directory()

    async def save_hard_state(
        self, term: int, voted_for: ids.DiskId, commit: int
    ) -> None:
        """Makes term, vote and commit index durable.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        state = messages.HardState(
            term=ids.Term(term),
            voted_for=voted_for,
            identity=self.hard_state.identity,
            commit=ids.LogIndex(commit),
        )
        data = messages.encode_hard_state(state)
        await self.run_disk_work(lambda: self.replace_file(STATE_FILE, data))
        self.hard_state = state

    async def truncate(self, start: int) -> None:
        """Removes the entries from `start` on.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        del self.records[start - self.first_index :]
        await self.rewrite_log(min(self.synced_index, start - 1))

    async def rewrite_log(self, last_index: int) -> None:
        """Rewrites the log file with the entries up to `last_index`."""
        # Truncating the file in place and appending the kept part of a frame
        # again would lose acknowledged entries in a crash between the two.
        kept = [
            record.encode()
            for record in self.records[
                : max(0, last_index - self.first_index + 1)
            ]
        ]
        data = recordlog.encode_frame(self.first_index, kept) if kept else b""
        await self.run_disk_work(
            lambda: self.replace_file(LOG_FILE, data, with_checksum=False)
        )
        self.synced_index = max(last_index, self.snapshot.last_index)

    async def stage(self, snapshot: messages.Snapshot) -> bytes:
        """Writes a snapshot to a staging file; returns it encoded.

        It may run concurrently with other coroutines, and should: encoding and
        syncing the snapshot of a large system takes longer than an election
        timeout.

        Raises:
          errors.StorageError: the disk is full or failed.
        """

        def encode_and_write() -> bytes:
            data = messages.encode_snapshot(snapshot)
            self.write_file(STAGED_FILE, data)
            return data

        return await self.run_disk_work(encode_and_write)

    async def stage_received(self, data: bytes) -> messages.Snapshot:
        """Writes a received snapshot to a staging file; returns it decoded.

        Raises:
          errors.StorageError: the disk is full or failed.
        """

        def decode_and_write() -> messages.Snapshot:
            snapshot = messages.decode_snapshot(data)
            self.write_file(RECEIVED_FILE, data)
            return snapshot

        return await self.run_disk_work(decode_and_write)

    async def install_staged(
        self,
        name: str,
        snapshot: messages.Snapshot,
        data: bytes,
        trailing: int,
        trailing_bytes: int,
    ) -> None:
        """Makes a staged snapshot the newest and compacts the log.

        Args:
          name: the staging file.
          snapshot: the snapshot.
          data: the snapshot, encoded.
          trailing: number of entries before the snapshot's index to keep, for
            hosts that are slightly behind.
          trailing_bytes: greatest size of these.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        await self.run_disk_work(lambda: self.rename_staged(name))
        self.snapshot = snapshot
        self.snapshot_data = data
        self.discard_replaced_entries()
        first_kept = max(self.first_index, snapshot.last_index + 1 - trailing)
        while (
            first_kept <= snapshot.last_index
            and self.bytes_between(first_kept, snapshot.last_index)
            > trailing_bytes
        ):
            first_kept += 1
        del self.records[: first_kept - self.first_index]
        self.first_index = first_kept
        # Entries that the snapshot replaced no longer count as synced.
        # Otherwise new entries at their indexes would be acknowledged without
        # being written.
        self.synced_index = min(self.synced_index, self.last_index)
        await self.rewrite_log(max(self.synced_index, snapshot.last_index))

    def rename_staged(self, name: str) -> None:
        """Replaces the snapshot file by a staging file, durably."""
        self.disk.rename(name, SNAPSHOT_FILE)
        self.disk.sync_directory()

    def check_usable(self) -> None:
        """Raises the error of an earlier failure, if there was one.

        Raises:
          errors.DiskFullError: the disk was full.
          errors.StorageError: the disk failed, or the storage was stopped.
        """
        if self.failure:
            raise self.make_error()

    def make_error(self) -> errors.StorageError:
        """Returns an error with the text of the recorded failure."""
        error_class = (
            errors.DiskFullError if self.disk_full else errors.StorageError
        )
        return error_class(self.failure)

    def record_failure(self, error: OSError, failure: str) -> None:
        """Records a disk failure, after which every write is refused."""
        self.failure = failure
        self.disk_full = error.errno in disk_module.FULL_ERRNOS
        logs.log_event(logs.Component.STORAGE, "disk failed", why=str(error))

    async def run_disk_work(
        self, work: typing.Callable[[], typing.Any]
    ) -> typing.Any:
        """Runs disk work in a thread; refuses it after a failure.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        self.check_usable()
        try:
            return await self.disk.offload(work)
        except OSError as error:
            # A failed sync may have dropped the dirty pages, and a later sync
            # would report success without having written them.
            self.record_failure(error, f"{self.disk}: {error}")
            raise self.make_error() from error
