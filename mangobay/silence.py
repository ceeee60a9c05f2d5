"""How long each process has gone without a grant, oldest first."""

import collections
import collections.abc

from mangobay import activity


class Silence:
    """When each process was last granted a lease, in loop time.

    Attributes:
      limit: seconds after a grant until its lease has certainly ended.
      granted: loop time of the last grant, oldest first.
    """

    def __init__(self, limit: float):
        self.limit = limit
        self.granted: collections.OrderedDict[activity.Owner, float] = (
            collections.OrderedDict()
        )

    def restart(
        self, owners: collections.abc.Iterable[activity.Owner], now: float
    ) -> None:
        """Forgets everything; each owner may have been granted until now."""
        self.granted.clear()
        for owner in owners:
            self.granted[owner] = now

    def note(self, owner: activity.Owner, now: float) -> None:
        """The process was granted a lease now."""
        self.granted[owner] = now
        self.granted.move_to_end(owner)

    def ended(self, now: float) -> list[activity.Owner]:
        """Takes out and returns those whose lease has ended by now."""
        ended = []
        for owner, granted in self.granted.items():
            if granted + self.limit > now:
                break
            ended.append(owner)
        for owner in ended:
            del self.granted[owner]
        return ended

    def __contains__(self, owner: activity.Owner) -> bool:
        return owner in self.granted
