"""Detects clients that send far more calls than the others."""

from mangobay import ids

HALF_LIFE = 2.0
"""Seconds in which an arrival loses half of its weight."""
MAX_CLIENTS = 2048
"""Clients remembered; the lightest ones are forgotten first."""
MIN_ARRIVALS = 0.25
"""Arrivals; a client below this no longer counts for the mean."""
MIN_HEAVY_ARRIVALS = 8.0
"""Arrivals within about a half-life below which no client is heavy."""
RESCALE_WEIGHT = 2.0**4
"""Weight of an arrival at which weights are scaled back and idle clients are
forgotten: otherwise idle clients would lower the mean and make every other
client heavy."""
MAX_HALF_LIVES = 64.0
"""Half-lives after which an arrival has no weight left."""


class HeavyClientDetector:
    """Counts the arrivals of each client with decay, in bounded memory.

    The weights of the clients do not decay as time passes; instead a new
    arrival weighs more than the older ones, so that comparing two clients needs
    no clock.

    Attributes:
      heavy_ratio: a client above this many times the mean of the others is
        heavy; 0 turns the detection off.
      weights: weight of the arrivals by client.
      total: sum of the weights.
      origin: loop time at which an arrival weighs 1.
    """

    def __init__(self, heavy_ratio: float):
        self.heavy_ratio = heavy_ratio
        self.weights: dict[ids.ClientId, float] = {}
        self.total = 0.0
        self.origin = 0.0

    def record_arrival(self, client: ids.ClientId, now: float) -> None:
        """Counts an arrival at loop time `now`."""
        weight = self.arrival_weight(now)
        if weight > RESCALE_WEIGHT:
            self.rescale(now)
            weight = 1.0
        if client not in self.weights and len(self.weights) >= MAX_CLIENTS:
            self.prune(weight)
        self.weights[client] = self.weights.get(client, 0.0) + weight
        self.total += weight

    def is_heavy(self, client: ids.ClientId, now: float) -> bool:
        """Returns whether the client sends far more than the others."""
        other_clients = len(self.weights) - 1
        if not self.heavy_ratio or other_clients < 1:
            return False
        own_weight = self.weights.get(client, 0.0)
        if own_weight < MIN_HEAVY_ARRIVALS * self.arrival_weight(now):
            return False
        return own_weight * other_clients > self.heavy_ratio * (
            self.total - own_weight
        )

    def arrival_weight(self, now: float) -> float:
        """Returns the weight of one arrival at loop time `now`.

        Loop time counts from the boot of the host, the origin starts at 0.
        Without a bound, the power overflows on a host that is up for half an
        hour, and the first call of a node fails.  With it, an arrival still
        outweighs all earlier ones.
        """
        half_lives = (now - self.origin) / HALF_LIFE
        return 2.0 ** min(half_lives, MAX_HALF_LIVES)

    def rescale(self, now: float) -> None:
        """Moves the origin to `now` and forgets clients that are idle."""
        scale = 1.0 / self.arrival_weight(now)
        self.origin = now
        self.replace_weights(
            {
                client: weight * scale
                for client, weight in self.weights.items()
                if weight * scale > MIN_ARRIVALS
            }
        )

    def prune(self, arrival_weight: float) -> None:
        """Forgets the idle clients, or else the lighter half.

        Removing half of them at once spreads the cost of sorting over as many
        arrivals.

        Args:
          arrival_weight: weight of one arrival now.
        """
        active = {
            client: weight
            for client, weight in self.weights.items()
            if weight > MIN_ARRIVALS * arrival_weight
        }
        if len(active) > MAX_CLIENTS // 2:
            ranked = sorted(active, key=active.__getitem__, reverse=True)
            active = {
                client: active[client] for client in ranked[: MAX_CLIENTS // 2]
            }
        self.replace_weights(active)

    def replace_weights(self, weights: dict[ids.ClientId, float]) -> None:
        """Replaces the weights and updates their sum."""
        self.weights = weights
        self.total = sum(weights.values())
