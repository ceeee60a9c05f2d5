"""Tracks when the lease of each process ends."""

import collections
import collections.abc

from mangobay import viewactivity


class LeaseExpiry:
    """Loop time of the last lease grant of each process.

    Attributes:
      expiry_seconds: seconds after a grant until the lease has certainly ended.
      granted_at: loop time of the last grant by process, oldest first.
    """

    def __init__(self, expiry_seconds: float):
        self.expiry_seconds = expiry_seconds
        self.granted_at: collections.OrderedDict[
            viewactivity.ProcessId, float
        ] = collections.OrderedDict()

    def reset(
        self,
        processes: collections.abc.Iterable[viewactivity.ProcessId],
        now: float,
    ) -> None:
        """Starts over as if each process had been granted a lease now."""
        self.granted_at.clear()
        for process in processes:
            self.granted_at[process] = now

    def record_grant(self, process: viewactivity.ProcessId, now: float) -> None:
        """Records that the process was granted a lease now."""
        self.granted_at[process] = now
        self.granted_at.move_to_end(process)

    def pop_expired(self, now: float) -> list[viewactivity.ProcessId]:
        """Removes and returns the processes whose lease has ended."""
        expired = []
        for process, granted_at in self.granted_at.items():
            if granted_at + self.expiry_seconds > now:
                break
            expired.append(process)
        for process in expired:
            del self.granted_at[process]
        return expired

    def __contains__(self, process: viewactivity.ProcessId) -> bool:
        return process in self.granted_at
