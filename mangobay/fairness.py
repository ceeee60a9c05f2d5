"""Callers that send far more than the others."""

from mangobay import ids

HALF_LIFE = 2.0
"""Seconds in which an old arrival loses half of its weight."""
MOST_CLIENTS = 2048
"""Callers remembered; the lightest ones are forgotten first."""
FORGOTTEN = 0.25
"""Arrivals; a client below this no longer counts for the mean."""
HEAVY_FROM = 8.0
"""Arrivals within about a half-life below which nobody is heavy."""
FRESHEN_AT = 2.0**4
"""Weight of an arrival at which weights are scaled back and idle clients
forgotten: else they would drag the mean down and make everybody heavy."""
MOST_HALVINGS = 64.0
"""Half-lives after which an arrival counts as nothing."""


class Fairness:
    """Decayed arrivals of each client, in bounded memory.

    Instead of decaying every client as time passes, a new arrival weighs
    more than the older ones: comparing two clients needs no clock.

    Attributes:
      share: a client above this many times the mean of the others is heavy;
        0 turns it off.
    """

    def __init__(self, share: float):
        self.share = share
        self.weights: dict[ids.ClientId, float] = {}
        self.total = 0.0
        self.origin = 0.0

    def arrived(self, client: ids.ClientId, now: float) -> None:
        """Counts an arrival; now is loop time."""
        weight = self.unit(now)
        if weight > FRESHEN_AT:
            self.freshen(now)
            weight = 1.0
        if client not in self.weights and len(self.weights) >= MOST_CLIENTS:
            self.prune(weight)
        self.weights[client] = self.weights.get(client, 0.0) + weight
        self.total += weight

    def heavy(self, client: ids.ClientId, now: float) -> bool:
        """Returns whether the client sends far more than the others."""
        others = len(self.weights) - 1
        if not self.share or others < 1:
            return False
        own = self.weights.get(client, 0.0)
        if own < HEAVY_FROM * self.unit(now):
            return False
        return own * others > self.share * (self.total - own)

    def unit(self, now: float) -> float:
        """Returns the weight of one arrival at this time.

        Loop time counts from the start of the host, the origin from 0: on a
        host that is up for half an hour the power overflows, and every first
        call fails.  Bounded, it still outweighs all that came before.
        """
        halvings = (now - self.origin) / HALF_LIFE
        return 2.0 ** min(halvings, MOST_HALVINGS)

    def freshen(self, now: float) -> None:
        """Makes now the origin and forgets who has not sent for long."""
        scale = 1.0 / self.unit(now)
        self.origin = now
        self.keep(
            {
                client: weight * scale
                for client, weight in self.weights.items()
                if weight * scale > FORGOTTEN
            }
        )

    def prune(self, unit: float) -> None:
        """Forgets the idle clients, or else the lighter half.

        Half at once, so that the sort is paid for by as many arrivals.
        """
        active = {
            client: weight
            for client, weight in self.weights.items()
            if weight > FORGOTTEN * unit
        }
        if len(active) > MOST_CLIENTS // 2:
            ranked = sorted(active, key=active.__getitem__, reverse=True)
            active = {
                client: active[client] for client in ranked[: MOST_CLIENTS // 2]
            }
        self.keep(active)

    def keep(self, weights: dict[ids.ClientId, float]) -> None:
        """Replaces the weights and their sum."""
        self.weights = weights
        self.total = sum(weights.values())
