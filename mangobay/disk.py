"""The few operations on files that the control group's storage needs."""

import asyncio
import errno
import fcntl
import os
import pathlib
import typing

from mangobay import errors

LOCK_NAME = "lock"
FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
"""Error numbers of a disk that takes no more bytes, but is sound."""
PROBE_NAME = "probe"
PROBE_BYTES = 64 * 1024
"""Room for some hundred log entries."""
FULL_POLL_SECONDS = 0.25
"""Seconds between two looks at a full disk."""
Result = typing.TypeVar("Result")


class Disk:
    """Files of one data folder; nothing lasts before it is synced.

    Raises OSError from every operation that the system refuses.

    Attributes:
      directory: where the files live.
    """

    def __init__(self, directory: str):
        self.directory = pathlib.Path(directory)
        self.lock: typing.IO | None = None

    def __str__(self) -> str:
        return str(self.directory)

    def open(self) -> None:
        """Makes the folder and keeps other processes out of it.

        Raises:
          errors.StorageError: another process holds the folder.
        """
        # Two processes on one folder would vote twice as one identity, and
        # two leaders could win one term.  The lock ends with its process.
        self.directory.mkdir(parents=True, exist_ok=True)
        self.lock = open(self.directory / LOCK_NAME, "wb")  # noqa: SIM115
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise errors.StorageError(
                f"{self.directory}: another process holds this folder"
            ) from None
        self.sync_directory()

    def close(self) -> None:
        """Lets other processes into the folder."""
        if self.lock is not None:
            self.lock.close()
            self.lock = None

    def read(self, name: str) -> bytes | None:
        """Returns what a file holds, None when there is no such file."""
        try:
            return (self.directory / name).read_bytes()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Makes a file anew."""
        (self.directory / name).write_bytes(data)

    def append(self, name: str, data: bytes) -> None:
        """Adds to the end of a file."""
        with open(self.directory / name, "ab") as file:
            file.write(data)

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""
        os.truncate(self.directory / name, size)

    def sync(self, name: str) -> None:
        """Returns once what a file holds would survive a loss of power."""
        with open(self.directory / name, "rb") as file:
            os.fsync(file.fileno())

    def rename(self, old: str, new: str) -> None:
        """Gives a file another name, in place of any file of that name."""
        os.rename(self.directory / old, self.directory / new)

    def sync_directory(self) -> None:
        """Returns once the names of the files would survive too."""
        descriptor = os.open(self.directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def has_space(self) -> bool:
        """Returns whether the disk takes writes."""
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
        """Runs blocking work off the loop."""
        # A sync takes milliseconds, at times seconds; on the loop it would
        # hold up heartbeats and cost the leader its quorum.
        return await asyncio.to_thread(work)
