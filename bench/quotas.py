"""Ways to bound the requests of a workspace over many nodes, compared.

Run `python -m bench.quotas`: plays the same load with three ways and prints a
table. Time is simulated; only `OwnerBucket` uses the code of the product.

- Equal shares: each node may let the same part of the tolerated requests in,
  within any window. No messages.
- Shares by demand: the leader gives these parts to nodes by what they report
  with their renewals; a part moves only once its former holder has agreed.
- Owner bucket: every request asks the leader, which has a token bucket; other
  hosts of the control group have a reserve for the time without a leader.
"""

import argparse
import asyncio
import bisect
import collections
import collections.abc
import dataclasses
import itertools
import math
import random

from mangobay import display, quota
from mangobay.generated import messages

WINDOW_SECONDS = 5.0
BOUNDS = quota.Bounds(window=WINDOW_SECONDS, overage=0.1, slack=20.0, holders=5)
RENEWAL_SECONDS = 1.0
NODE_COUNTS = (71, 300, 23_000)
PLAY_SECONDS = 60.0
SETTLE_SECONDS = 20.0
"""Start of the load that is counted; shares by demand have settled by then."""
TOKEN_MESSAGE_BYTES = 120
"""A request for a token and its reply, with frames and TCP headers halved."""
SHARE_BYTES = 16
"""One workspace's demand or share in a renewal."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """One load.

    Attributes:
      name: name in the table.
      rate: rate of the quota; its burst is one second of it.
      nodes: number of nodes, which get the requests at random.
      demand: returns requests per second at a time.
      leaderless: time without a leader, start and end in seconds.
      lost_share: share of the nodes that end at `leaderless[0]`.
      lowered_at: when the quota is lowered to a tenth.
    """

    name: str
    rate: float = 12.0
    nodes: int = 71
    demand: collections.abc.Callable[[float], float] = lambda now: 0.0
    leaderless: tuple[float, float] = (math.inf, math.inf)
    lost_share: float = 0.0
    lowered_at: float = math.inf

    def quota_at(self, now: float) -> messages.WorkspaceQuota:
        """Returns the quota in force at a time."""
        rate = self.rate / 10 if now >= self.lowered_at else self.rate
        return messages.WorkspaceQuota(workspace="w", rate=rate, burst=rate)

    def tolerated_at(self, now: float) -> float:
        """Returns the requests that may run within a window."""
        limits = self.quota_at(now)
        allowed = limits.rate * WINDOW_SECONDS + limits.burst
        return allowed * (1 + BOUNDS.overage) + BOUNDS.slack

    def has_leader(self, now: float) -> bool:
        """Returns whether the control group has a leader."""
        return not self.leaderless[0] <= now < self.leaderless[1]


class WindowShare:
    """Lets a number of requests in within any window."""

    def __init__(self):
        self.used_at: collections.deque[float] = collections.deque()

    def in_use(self, now: float) -> int:
        """Returns the requests of the last window."""
        while self.used_at and self.used_at[0] <= now - WINDOW_SECONDS:
            self.used_at.popleft()
        return len(self.used_at)

    def try_use(self, size: int, now: float) -> bool:
        """Lets a request in unless the share is used up."""
        if self.in_use(now) >= size:
            return False
        self.used_at.append(now)
        return True


class EqualShares:
    """Each node has the same share, whatever it gets."""

    def __init__(self, case: Case):
        self.case = case
        self.shares = collections.defaultdict(WindowShare)
        self.message_count = 0
        self.byte_count = 0

    def decide(self, now: float, node: int) -> bool:
        """Decides on one request at a node."""
        # Left over requests go to the first nodes.
        whole = int(self.case.tolerated_at(now))
        size = whole // self.case.nodes + (node < whole % self.case.nodes)
        return self.shares[node].try_use(size, now)


class DemandShares(EqualShares):
    """The leader moves shares to where they were asked for."""

    def __init__(self, case: Case):
        super().__init__(case)
        whole = int(case.tolerated_at(0))
        self.sizes = [
            whole // case.nodes + (node < whole % case.nodes)
            for node in range(case.nodes)
        ]
        self.asked = [0.0] * case.nodes
        self.renew_at = RENEWAL_SECONDS

    def decide(self, now: float, node: int) -> bool:
        """Decides on one request at a node."""
        while self.renew_at <= now:
            self.renew_all(self.renew_at)
            self.renew_at += RENEWAL_SECONDS
        self.asked[node] += 1
        return self.shares[node].try_use(self.sizes[node], now)

    def renew_all(self, now: float) -> None:
        """Moves shares that are not in use, by what nodes were asked for."""
        reporting = [node for node, asked in enumerate(self.asked) if asked]
        self.message_count += 2 * len(reporting)
        self.byte_count += 2 * SHARE_BYTES * len(reporting)
        if not self.case.has_leader(now):
            return
        whole = int(self.case.tolerated_at(now))
        total = sum(self.asked) or 1.0
        in_use = [
            self.shares[node].in_use(now) for node in range(self.case.nodes)
        ]
        wanted = [
            max(used, math.ceil(whole * asked / total))
            for used, asked in zip(in_use, self.asked, strict=True)
        ]
        free = whole - sum(in_use)
        for node, want in enumerate(wanted):
            more = min(max(want - in_use[node], 0), max(free, 0))
            self.sizes[node] = in_use[node] + more
            free -= more
        decay = math.exp(-RENEWAL_SECONDS / WINDOW_SECONDS)
        self.asked = [asked * decay for asked in self.asked]


class ModelGroup:
    """The control group of the case, as one host sees it."""

    def __init__(self, case: Case, leads: bool):
        self.case = case
        self.leads = leads
        self.now = 0.0
        self.leading = asyncio.Event()
        self.is_voter = True

    @property
    def term(self) -> int:
        """A new leader has another term."""
        return 1 + (self.now >= self.case.leaderless[1])

    @property
    def elected_at(self) -> float:
        """Loop time of the election."""
        return 0.0 if self.term == 1 else self.case.leaderless[1]

    @property
    def leader_contact_at(self) -> float:
        """Loop time of the last contact with a leader."""
        if self.case.has_leader(self.now):
            return self.now
        return self.case.leaderless[0]

    def quorum_confirmed_at(self) -> float:
        """A leader is always confirmed."""
        return self.now if self.leads else -math.inf


class NeverSuspended:
    """A host that runs all the time."""

    def resumed_at(self) -> float:
        """Returns that it was never suspended."""
        return -math.inf


class OwnerBucket:
    """Every request asks the leader for a token."""

    def __init__(self, case: Case):
        self.case = case
        self.message_count = 0
        self.byte_count = 0
        self.groups = [ModelGroup(case, host == 0) for host in range(5)]
        self.groups[0].leading.set()
        self.hosts = [
            quota.QuotaAuthority(group, BOUNDS, NeverSuspended(), -PLAY_SECONDS)
            for group in self.groups
        ]
        self.current_quota = None

    def decide(self, now: float, node: int) -> bool:
        """Decides on one request at a node."""
        del node
        for group in self.groups:
            group.now = now
        if self.case.quota_at(now) != self.current_quota:
            self.current_quota = self.case.quota_at(now)
            for host in self.hosts:
                host.update_quotas([self.current_quota], now)
        asked = self.hosts[:1] if self.case.has_leader(now) else self.hosts[1:]
        request = messages.TokenRequest(workspace="w")
        for host in asked:
            self.message_count += 2
            self.byte_count += TOKEN_MESSAGE_BYTES
            reply = host.handle(request, now)
            if reply.outcome is messages.TokenOutcome.GRANTED:
                return True
        return False


WAYS = {
    "equal shares": EqualShares,
    "shares by demand": DemandShares,
    "owner bucket": OwnerBucket,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """What one way does under one load.

    Attributes:
      owed: requests that the quota allows, counted where they are sent.
      refused: those of them that were refused.
      overshoot: most requests in a window, above what is tolerated.
      messages: messages per second.
      bytes: bytes per second.
    """

    owed: int
    refused: int
    overshoot: float
    messages: float
    bytes: float


def arrivals(
    case: Case, rng: random.Random
) -> collections.abc.Iterator[tuple[float, int]]:
    """Yields time and node of each request."""
    now = 0.0
    peak = max(case.demand(second) for second in range(int(PLAY_SECONDS)))
    alive = int(case.nodes * (1 - case.lost_share))
    while now < PLAY_SECONDS:
        now += rng.expovariate(peak)
        if rng.random() < case.demand(now) / peak:
            lost = now >= case.leaderless[0]
            yield now, rng.randrange(alive if lost else case.nodes)


def play(case: Case, way, seed: int) -> Result:
    """Plays one load with one way."""
    rng = random.Random(seed)
    limiter = way(case)
    ideal = None
    owed = refused = 0
    ran_at = []
    for now, node in arrivals(case, rng):
        limits = case.quota_at(now)
        ideal = ideal or Ideal(limits.rate, limits.burst)
        is_owed = ideal.allows(now, limits.rate, limits.burst)
        runs = limiter.decide(now, node)
        if runs:
            ran_at.append(now)
        if is_owed and now >= SETTLE_SECONDS:
            owed += 1
            refused += not runs
    return Result(
        owed=owed,
        refused=refused,
        overshoot=most_overshoot(case, ran_at),
        messages=limiter.message_count / PLAY_SECONDS,
        bytes=limiter.byte_count / PLAY_SECONDS,
    )


class Ideal:
    """An exact token bucket, which knows every request at once."""

    def __init__(self, rate: float, burst: float):
        self.level = burst
        self.at = 0.0

    def allows(self, now: float, rate: float, burst: float) -> bool:
        """Returns whether the quota allows a request."""
        self.level = min(burst, self.level + (now - self.at) * rate)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


def most_overshoot(case: Case, ran_at: list[float]) -> float:
    """Returns how far any window exceeds what is tolerated, 0 if none does.

    A lower quota binds windows that begin one window after it.
    """
    worst = 0.0
    for first, start in enumerate(ran_at):
        end = bisect.bisect_left(ran_at, start + WINDOW_SECONDS)
        binding_at = start if start >= case.lowered_at + WINDOW_SECONDS else 0.0
        worst = max(worst, end - first - case.tolerated_at(binding_at))
    return worst


def make_cases() -> list[Case]:
    """Returns the loads of the table."""
    return [
        Case(name="62% of the quota", demand=lambda now: 7.5),
        Case(name="90% of the quota", demand=lambda now: 10.8),
        Case(
            name="nine times the usual from second 30",
            demand=lambda now: 67.5 if now >= 30 else 7.5,
        ),
        Case(
            name="quota lowered to a tenth at 30",
            demand=lambda now: 7.5,
            lowered_at=30.0,
        ),
        Case(
            name="no leader for 1.2 s",
            demand=lambda now: 7.5,
            leaderless=(30.0, 31.2),
        ),
        Case(
            name="no leader for 5 s",
            demand=lambda now: 7.5,
            leaderless=(30.0, 35.0),
        ),
        Case(
            name="a third of the nodes and the leader lost",
            demand=lambda now: 10.8,
            leaderless=(30.0, 31.2),
            lost_share=0.33,
        ),
        Case(
            name="rate 110, 62%, no leader for 1.2 s",
            rate=110.0,
            demand=lambda now: 68.0,
            leaderless=(30.0, 31.2),
        ),
        *(
            Case(name=f"{nodes} nodes", nodes=nodes, demand=lambda now: 7.5)
            for nodes in NODE_COUNTS
        ),
    ]


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3, help="seeds a case")
    seeds = range(parser.parse_args().seeds)
    rows = []
    for case, (name, way) in itertools.product(make_cases(), WAYS.items()):
        results = [play(case, way, seed) for seed in seeds]
        owed = sum(result.owed for result in results)
        refused = sum(result.refused for result in results)
        count = len(results)
        rows.append(
            (
                case.name,
                name,
                f"{100 * refused / owed:.1f}%",
                f"{max(result.overshoot for result in results):.0f}",
                f"{sum(result.messages for result in results) / count:.0f}",
                f"{sum(result.bytes for result in results) / count:.0f}",
            )
        )
    titles = ("load", "way", "refused", "overshoot", "messages/s", "bytes/s")
    print("\n".join(display.format_table(titles, rows)))


if __name__ == "__main__":
    main()
