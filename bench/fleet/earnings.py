"""What callers got, by kind and by time."""

import collections
import dataclasses

WINDOW = 2.0
"""Seconds over which the worst times are looked for."""
WORST = 2


@dataclasses.dataclass(slots=True)
class Earned:
    """One kind of request, or one span of time.

    Attributes:
      owed: worth of all requests, each answered in time.
      earned: worth of the answers.
      sent: requests.
      served: requests answered.
    """

    owed: float = 0.0
    earned: float = 0.0
    sent: int = 0
    served: int = 0

    def add(self, owed: float, earned: float) -> None:
        """Counts one request."""
        self.owed += owed
        self.earned += earned
        self.sent += 1
        self.served += earned > 0

    @property
    def share(self) -> float:
        """Returns the share of the worth that was earned."""
        return self.earned / self.owed if self.owed else 1.0


class Earnings:
    """Counts every request of a day.

    Attributes:
      kinds: by kind of request.
      windows: by span of time.
      again: worth of requests that came back and were refused again.
      failures: how requests ended that were not served, by kind and status.
    """

    def __init__(self):
        self.total = Earned()
        self.kinds: dict[str, Earned] = collections.defaultdict(Earned)
        self.windows: dict[int, Earned] = collections.defaultdict(Earned)
        self.again = 0.0
        self.failures: collections.Counter = collections.Counter()

    def add(self, kind, at: float, earned: float) -> None:
        """Counts a request that was sent at a time of the day."""
        for each in (
            self.total,
            self.kinds[kind.name],
            self.windows[int(at / WINDOW)],
        ):
            each.add(kind.worth, earned)

    def failed(self, kind, status: int, again: bool) -> None:
        """Counts a request that was not served."""
        self.failures[kind.name, status] += 1
        if again and status == 503:
            self.again += kind.worth

    @property
    def worst(self) -> float:
        """Returns the mean share of the worst spans of time."""
        shares = sorted(each.share for each in self.windows.values())
        return sum(shares[:WORST]) / WORST

    @property
    def worst_kind(self) -> float:
        """Returns the share of the worst kind."""
        return min(each.share for each in self.kinds.values())

    @property
    def served(self) -> float:
        """Returns the share of requests that were answered at all."""
        return self.total.served / max(self.total.sent, 1)

    @property
    def refused_again(self) -> float:
        """Returns the share of the worth that was refused twice."""
        return self.again / self.total.owed
