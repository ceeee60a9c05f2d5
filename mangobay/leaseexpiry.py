"""How long each process has gone without a grant, oldest first."""

import collections
import collections.abc

from mangobay import viewactivity


class LeaseExpiry:
    """When each process was last granted a lease, in loop time.

    Attributes:
      expiry_seconds: seconds after a grant until its lease has certainly ended.
      granted_at: loop time of the last grant, oldest first.
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
        """Forgets everything; each owner may have been granted until now."""
        self.granted_at.clear()
        for process in processes:
            self.granted_at[process] = now

    def record_grant(self, process: viewactivity.ProcessId, now: float) -> None:
        """The process was granted a lease now."""
        self.granted_at[process] = now
        self.granted_at.move_to_end(process)

    def pop_expired(self, now: float) -> list[viewactivity.ProcessId]:
        """Takes out and returns those whose lease has ended by now."""
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
