"""The few operations on files that the control group's storage needs."""

import asyncio
import errno
import fcntl
import os
import pathlib
import typing

from mangobay import errors

LOCK_NAME = "lock"
FULL = frozenset({errno.ENOSPC, errno.EDQUOT})
"""Error numbers of a disk that takes no more bytes, but is sound."""
PROBE_NAME = "probe"
PROBE_BYTES = 64 * 1024
"""Room for some hundred log entries."""
ROOM_POLL = 0.25
"""Seconds between two looks at a full disk."""
Result = typing.TypeVar("Result")


class Disk:
    """Files of one data folder; nothing lasts before it is synced.

    Raises OSError from every operation that the system refuses.

    Attributes:
      folder: where the files live.
    """

    def __init__(self, folder: str):
        self.folder = pathlib.Path(folder)
        self.lock: typing.IO | None = None

    def __str__(self) -> str:
        return str(self.folder)

    def open(self) -> None:
        """Makes the folder and keeps other processes out of it.

        Raises:
          errors.StorageError: another process holds the folder.
        """
        # Two processes on one folder would vote twice as one identity, and
        # two leaders could win one term.  The lock ends with its process.
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock = open(self.folder / LOCK_NAME, "wb")  # noqa: SIM115
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise errors.StorageError(
                f"{self.folder}: another process holds this folder"
            ) from None
        self.sync_folder()

    def close(self) -> None:
        """Lets other processes into the folder."""
        if self.lock is not None:
            self.lock.close()
            self.lock = None

    def read(self, name: str) -> bytes | None:
        """Returns what a file holds, None when there is no such file."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Makes a file anew."""
        (self.folder / name).write_bytes(data)

    def append(self, name: str, data: bytes) -> None:
        """Adds to the end of a file."""
        with open(self.folder / name, "ab") as file:
            file.write(data)

    def cut(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""
        os.truncate(self.folder / name, size)

    def sync(self, name: str) -> None:
        """Returns once what a file holds would survive a loss of power."""
        with open(self.folder / name, "rb") as file:
            os.fsync(file.fileno())

    def rename(self, old: str, new: str) -> None:
        """Gives a file another name, in place of any file of that name."""
        os.rename(self.folder / old, self.folder / new)

    def sync_folder(self) -> None:
        """Returns once the names of the files would survive too."""
        number = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def has_room(self) -> bool:
        """Returns whether the disk takes writes."""
        try:
            self.write(PROBE_NAME, bytes(PROBE_BYTES))
            self.sync(PROBE_NAME)
        except OSError as error:
            if error.errno in FULL:
                return False
            raise
        finally:
            (self.folder / PROBE_NAME).unlink(missing_ok=True)
        return True

    async def offload(self, work: typing.Callable[[], Result]) -> Result:
        """Runs blocking work off the loop."""
        # A sync takes milliseconds, at times seconds; on the loop it would
        # hold up heartbeats and cost the leader its quorum.
        return await asyncio.to_thread(work)
