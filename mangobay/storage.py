"""What a control host keeps on its disk: hard state, snapshot and log."""

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
    """One entry of the log, decoded and as it is on the disk."""

    entry: messages.LogEntry
    data: bytes


class Storage:
    """The log of one control host, in memory and on its disk.

    One task at a time may await its coroutines; `append` may be called at any
    time.  After a failed write or sync nothing is known about the disk, so
    every later write is refused until the process starts again.

    Attributes:
      hard_state: term, vote and identity as they were last synced.
      snapshot: the newest one.
      snapshot_data: the same, encoded.
      records: the entries at hand, without a gap, from `first` on.
      first_index: index of the first of them.
      synced_index: newest index that is durable.
      failure: why the storage refuses to write, empty while it works.
      disk_full: that is since the disk is full.
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
        """Reads the folder, or makes a new identity in an empty one.

        Raises:
          errors.DamagedLogError: a file fails its checksum.
          errors.DiskFullError: the folder takes no writes for now.
          errors.StorageError: the folder cannot be read or written.
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
        """Takes in what the folder holds."""
        body = self.read_checked(STATE_FILE)
        state = None
        if body is not None:
            state = self.decode_file(
                STATE_FILE, body, messages.decode_hard_state
            )
        log = self.disk.read(LOG_FILE)
        if state is None and (log or self.disk.read(SNAPSHOT_FILE)):
            raise errors.CorruptLogError(f"{self.disk}/{STATE_FILE}: missing")
        if state is None:
            # An empty disk is another voter: as its old self it could vote
            # again in a term, or deny an entry that it had acknowledged.
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
        """Takes in the log file; cuts a torn tail."""
        path = f"{self.disk}/{LOG_FILE}"
        scan = recordlog.scan(data, path)
        if scan.torn_bytes:
            logs.log_event(
                logs.Component.STORAGE, "cut a torn tail", bytes=scan.torn_bytes
            )
            self.disk.truncate(LOG_FILE, scan.whole_bytes)
        if data:
            # A killed process leaves bytes that it never synced; they count
            # as held from here on and must not go with a loss of power.
            self.disk.sync(LOG_FILE)
        self.first_index = scan.frames[0].first_index if scan.frames else 1
        self.records = [
            Record(messages.decode_log_entry(data), data)
            for frame in scan.frames
            for data in frame.records
        ]
        self.discard_replaced_entries()
        if scan.frames and not self.records:
            # Power went between an installed snapshot and the cut of the log.
            # Entries added behind the old ones would leave a gap, which the
            # next start would refuse as damage.
            self.replace_file(LOG_FILE, b"", with_checksum=False)
        if self.first_index > self.snapshot.last_index + 1:
            raise errors.CorruptLogError(
                f"{path}: starts at {self.first_index}, the snapshot ends at"
                f" {self.snapshot.last_index}"
            )
        # Damage in the very last frame looks like a torn write.  What was
        # known to be committed tells them apart.
        if self.last_index < self.hard_state.commit:
            raise errors.CorruptLogError(
                f"{path}: ends at {self.last_index}, but {self.hard_state.commit}"
                " was committed"
            )
        self.synced_index = self.last_index

    def discard_replaced_entries(self) -> None:
        """Forgets the log when the snapshot does not continue it."""
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
        """Returns what a file holds, None when there is no such file."""
        data = self.disk.read(name)
        if data is None:
            return None
        body = data[CHECKSUM.size :]
        digest = CHECKSUM.pack(xxhash.xxh3_64_intdigest(body))
        if digest != data[: CHECKSUM.size]:
            raise errors.CorruptLogError(f"{self.disk}/{name}: bad checksum")
        return body

    def decode_file(
        self, name: str, body: bytes, decode: typing.Callable
    ) -> typing.Any:
        """Returns the message in the body of a file."""
        try:
            return decode(body)
        except capnp.KjException as error:
            raise errors.CorruptLogError(
                f"{self.disk}/{name}: {error}"
            ) from error

    def replace_file(
        self, name: str, body: bytes, with_checksum: bool = True
    ) -> None:
        """Replaces a file so that a crash leaves the old one or the new."""
        self.write_file(name + TEMPORARY_SUFFIX, body, with_checksum)
        self.disk.rename(name + TEMPORARY_SUFFIX, name)
        self.disk.sync_directory()

    def write_file(
        self, name: str, body: bytes, with_checksum: bool = True
    ) -> None:
        """Writes a file that is to take the place of another."""
        prefix = (
            CHECKSUM.pack(xxhash.xxh3_64_intdigest(body))
            if with_checksum
            else b""
        )
        self.disk.write(name, prefix + body)
        # Unsynced bytes under the final name could be found empty later.
        self.disk.sync(name)

    @property
    def last_index(self) -> int:
        """Newest index, 0 when there is none."""
        return max(
            self.first_index + len(self.records) - 1, self.snapshot.last_index
        )

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int, log_only: bool = False) -> int | None:
        """Returns the term of an entry, None when it is not at hand."""
        if self.first_index <= index < self.first_index + len(self.records):
            return self.records[index - self.first_index].entry.term
        if index == self.snapshot.last_index and not log_only:
            return self.snapshot.last_term
        return None

    def entry(self, index: int) -> messages.LogEntry:
        """Returns an entry that is at hand."""
        return self.records[index - self.first_index].entry

    def batch(self, start: int, max_bytes: int) -> list[messages.LogEntry]:
        """Returns the entries from `start` on, in `most` bytes; one at least."""
        entries: list[messages.LogEntry] = []
        size = 0
        for record in self.records[start - self.first_index :]:
            size += len(record.data)
            if entries and size > max_bytes:
                break
            entries.append(record.entry)
        return entries

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Adds entries in memory; they last after the next `flush`."""
        for entry in entries:
            data = messages.encode_log_entry(entry)
            self.records.append(Record(entry, data))

    async def flush(self) -> None:
        """Makes every entry durable that was appended before the call.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        self.check_usable()
        start = self.synced_index + 1
        last_index = self.last_index
        if start > last_index:
            return
        records = [
            record.data for record in self.records[start - self.first_index :]
        ]
        is_new_file = start == self.first_index
        await self.run_disk_work(
            lambda: self.write_frame(start, records, is_new_file)
        )
        self.synced_index = last_index

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
        """Makes term and vote durable, before anyone is told of them.

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
        """Forgets the entries from `start` on.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        del self.records[start - self.first_index :]
        await self.rewrite_log(min(self.synced_index, start - 1))

    async def rewrite_log(self, last_index: int) -> None:
        """Writes the log file anew, with the entries up to `last`."""
        # Cutting the file in place and adding the kept part of a frame again
        # would, in a crash between the two, lose acknowledged entries.
        kept = [
            record.data
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
        """Writes a snapshot that nothing uses yet; returns it encoded.

        It may run beside other coroutines, and should: encoding and syncing
        that of a large system takes longer than an election timeout.

        Raises:
          errors.StorageError: the disk is full or failed.
        """

        def encode_and_write() -> bytes:
            data = messages.encode_snapshot(snapshot)
            self.write_file(STAGED_FILE, data)
            return data

        return await self.run_disk_work(encode_and_write)

    async def stage_received(self, data: bytes) -> messages.Snapshot:
        """Does the same with an encoded snapshot; returns it decoded.

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
    ) -> None:
        """Makes a staged snapshot the newest and cuts the log behind it.

        Args:
          name: where it is staged.
          snapshot: the state at its `last_index`.
          data: the same, encoded.
          trailing: entries before it to keep, for hosts a little behind.

        Raises:
          errors.StorageError: the disk is full or failed.
        """
        await self.run_disk_work(lambda: self.rename_staged(name))
        self.snapshot = snapshot
        self.snapshot_data = data
        self.discard_replaced_entries()
        first_kept = max(self.first_index, snapshot.last_index + 1 - trailing)
        del self.records[: first_kept - self.first_index]
        self.first_index = first_kept
        # What the snapshot replaced counts as synced no more: entries that
        # come in its place would never be written, yet be acknowledged.
        self.synced_index = min(self.synced_index, self.last_index)
        await self.rewrite_log(max(self.synced_index, snapshot.last_index))

    def rename_staged(self, name: str) -> None:
        """Gives a staged file the snapshot's name."""
        self.disk.rename(name, SNAPSHOT_FILE)
        self.disk.sync_directory()

    def check_usable(self) -> None:
        """Refuses to go on after a failure.

        Raises:
          errors.DiskFullError: the first failure, of a full disk.
          errors.StorageError: the first failure, of any other kind.
        """
        if self.failure:
            raise self.make_error()

    def make_error(self) -> errors.StorageError:
        """Returns the error that tells of the first failure."""
        error_class = (
            errors.DiskFullError if self.disk_full else errors.StorageError
        )
        return error_class(self.failure)

    def record_failure(self, error: OSError, failure: str) -> None:
        """Refuses every later write."""
        self.failure = failure
        self.disk_full = error.errno in disk_module.FULL_ERRNOS
        logs.log_event(logs.Component.STORAGE, "disk failed", why=str(error))

    async def run_disk_work(
        self, work: typing.Callable[[], typing.Any]
    ) -> typing.Any:
        """Runs disk work off the loop; after a failure nothing more is run."""
        self.check_usable()
        try:
            return await self.disk.offload(work)
        except OSError as error:
            # A sync that failed may have dropped the pages it could not
            # write; a later one would report success without them.
            self.record_failure(error, f"{self.disk}: {error}")
            raise self.make_error() from error
