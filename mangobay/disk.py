"""File operations for the storage of the control group."""

import asyncio
import errno
import fcntl
import os
import pathlib
import typing

from mangobay import errors

LOCK_NAME = "lock"
DIRECTORY_MODE = 0o700
FILE_MODE = 0o600
"""Only this user reads the files: they hold the keys of workspaces."""
FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
"""Error numbers of a disk that is full but works."""
PROBE_NAME = "probe"
PROBE_BYTES = 64 * 1024
"""Size of the probe file, enough for some hundred log entries."""
FULL_POLL_SECONDS = 0.25
"""Time between checks whether a full disk has space again."""
Result = typing.TypeVar("Result")


def open_private(path: str, flags: int) -> int:
    """Opens a file; creates it so that only this user may read it."""
    return os.open(path, flags, FILE_MODE)


def sync_directory(path: pathlib.Path) -> None:
    """Makes the names in a directory durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class Disk:
    """Files of one data directory; changes are durable once synced.

    Every operation raises OSError if the operating system refuses it.

    Attributes:
      directory: path of the data directory.
      lock: the open lock file, None if the directory is not locked.
    """

    def __init__(self, directory: str):
        self.directory = pathlib.Path(directory)
        self.lock: typing.IO | None = None

    def __str__(self) -> str:
        return str(self.directory)

    def open(self) -> None:
        """Creates the directory if necessary and locks it.

        Raises:
          errors.StorageError: another process holds the lock.
        """
        # Two processes in one directory could each vote with the same
        # identity, so that a term could have two leaders. The operating system
        # releases the lock when the process ends.
        self.create_directory()
        self.lock = open(  # noqa: SIM115
            self.directory / LOCK_NAME, "wb", opener=open_private
        )
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise errors.StorageError(
                f"{self.directory}: another process has locked this directory"
            ) from None
        self.sync_directory()

    def create_directory(self) -> None:
        """Creates the directory and its missing parents, durably."""
        missing = [
            path
            for path in (self.directory, *self.directory.parents)
            if not path.exists()
        ]
        self.directory.mkdir(DIRECTORY_MODE, parents=True, exist_ok=True)
        for path in reversed(missing):
            sync_directory(path.parent)

    def close(self) -> None:
        """Releases the lock on the directory."""
        if self.lock is not None:
            self.lock.close()
            self.lock = None

    def read(self, name: str) -> bytes | None:
        """Returns the contents of a file, None if there is no such file."""
        try:
            return (self.directory / name).read_bytes()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Creates or overwrites a file."""
        with open(self.directory / name, "wb", opener=open_private) as file:
            file.write(data)

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file."""
        with open(self.directory / name, "ab", opener=open_private) as file:
            file.write(data)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes."""
        os.truncate(self.directory / name, size)

    def sync(self, name: str) -> None:
        """Makes the contents of a file durable."""
        with open(self.directory / name, "rb") as file:
            os.fsync(file.fileno())

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file of the new name."""
        os.rename(self.directory / old, self.directory / new)

    def sync_directory(self) -> None:
        """Makes the names of the files durable."""
        sync_directory(self.directory)

    def has_space(self) -> bool:
        """Returns whether the disk accepts writes."""
        try:
            self.write(PROBE_NAME, bytes(PROBE_BYTES))
            self.sync(PROBE_NAME)
        except OSError as error:
            if error.errno in FULL_ERRNOS:
                return False
            raise
        finally:
            (self.directory / PROBE_NAME).unlink(missing_ok=True)
        return True

    async def offload(self, work: typing.Callable[[], Result]) -> Result:
        """Runs blocking work in a thread."""
        # A sync takes milliseconds, sometimes seconds. In the event loop it
        # would delay heartbeats and cost the leader its quorum.
        return await asyncio.to_thread(work)
