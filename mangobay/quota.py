"""Quotas of workspaces: which control host may grant a request.

The leader has a token bucket for each workspace. Operators tolerate that more
requests run than the quota allows, since a bound over many hosts cannot be
exact. A part of this tolerance makes the buckets deeper, so that requests
which come in clumps are not refused below the rate. Another part is a reserve
that the control hosts share in advance, for the time without a leader.

In any window, all requests together stay within what is tolerated:

- The buckets of one leader grant the rate, the burst and their extra depth.
- A new leader starts with empty buckets. It is elected by a quorum that has
  not heard from the former one for an election timeout, which is longer than
  AUTHORITY_SECONDS: a leader that no quorum has confirmed for that long grants
  nothing. A control host that has just started may vote sooner, so that both
  grant at once, for at most AUTHORITY_SECONDS.
- Each control host grants its part of the reserve once a window, and nothing
  for a while after its start: it does not know what it granted before, and a
  host that it replaces may not know yet that it was replaced.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import typing

from mangobay import clock, ids, tokenbucket
from mangobay.generated import messages

Outcome = messages.TokenOutcome

AUTHORITY_SECONDS = 0.2
"""Seconds for which a leader grants tokens after a quorum confirmed it."""
RESERVE_SHARE = 0.5
"""Share of the usable tolerance that is the reserve; the rest is depth."""
LATE_KEPT_SHARE = 0.5
"""Share of a bucket that is kept for callers who can still be served in time.

A workspace that sends several times its quota is denied most requests.  If
those that come back got the next tokens, nearly every response would be late.
"""
RESERVE_CONTACT_SECONDS = 5.0
"""Seconds since the last contact with a leader within which a control host
uses its reserve. One that was replaced while it was cut off must stop."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """What operators tolerate of each workspace.

    Attributes:
      window: seconds over which requests are counted.
      overage: share by which the count may exceed rate and burst.
      slack: requests by which it may exceed them besides.
      holders: control hosts that share the reserve.
    """

    window: float
    overage: float
    slack: float
    holders: int

    @property
    def reserve_hold_seconds(self) -> float:
        """Seconds after its start in which a host grants no reserve."""
        return RESERVE_CONTACT_SECONDS + self.window

    def usable_tolerance(self, quota: messages.WorkspaceQuota) -> float:
        """Returns the tolerated requests that two leaders cannot use up."""
        allowed = quota.rate * self.window + quota.burst
        tolerated = allowed * self.overage + self.slack
        return max(tolerated - quota.rate * AUTHORITY_SECONDS, 0.0)

    def depth_of(self, quota: messages.WorkspaceQuota) -> float:
        """Returns the depth of the leader's bucket, tokens."""
        extra = self.usable_tolerance(quota) * (1.0 - RESERVE_SHARE)
        return quota.burst + extra

    def reserve_of(self, quota: messages.WorkspaceQuota) -> int:
        """Returns one host's part of the reserve, tokens per window."""
        reserve = self.usable_tolerance(quota) * RESERVE_SHARE
        return int(reserve / self.holders)


class Reserve:
    """One host's part of the reserve of one workspace.

    Attributes:
      granted_at: loop times of the grants of the last window, oldest first.
    """

    __slots__ = ("granted_at",)

    def __init__(self):
        self.granted_at: collections.deque[float] = collections.deque()

    def try_take(self, size: int, window: float, now: float) -> bool:
        """Takes one token; returns False if the part is used up."""
        while self.granted_at and self.granted_at[0] <= now - window:
            self.granted_at.popleft()
        if len(self.granted_at) >= size:
            return False
        self.granted_at.append(now)
        return True


@dataclasses.dataclass(slots=True)
class TokenCounts:
    """Decisions of one control host on one workspace since its start.

    Attributes:
      granted: tokens of the leader's bucket.
      reserve: tokens of this host's reserve.
      denied: requests over the quota.
      returned: tokens of requests that did not run.
    """

    granted: int = 0
    reserve: int = 0
    denied: int = 0
    returned: int = 0


class Group(typing.Protocol):
    """The part of `consensus.Group` that quotas use."""

    leading: asyncio.Event
    term: int
    is_voter: bool
    leader_contact_at: float
    elected_at: float

    def quorum_confirmed_at(self) -> float:
        """Returns when a quorum last confirmed this leader, -inf if never."""


class QuotaAuthority:
    """Grants the tokens of workspaces at one control host.

    Attributes:
      group: the consensus group of this host.
      bounds: what operators tolerate.
      started_at: loop time at which this process started.
      suspension: tells when this host was last suspended.
      quotas: the quota of each limited workspace.
      buckets: the leader's buckets; those of removed workspaces stay until
        they are full, since a workspace may return within a window.
      reserves: this host's reserves.
      counts: decisions on the limited workspaces of the document in force.
      term: the term of the buckets.
    """

    def __init__(
        self,
        group: Group,
        bounds: Bounds,
        suspension: clock.SuspensionDetector,
        now: float,
    ):
        self.group = group
        self.bounds = bounds
        self.suspension = suspension
        self.started_at = now
        self.quotas: dict[ids.WorkspaceName, messages.WorkspaceQuota] = {}
        self.buckets: dict[ids.WorkspaceName, tokenbucket.TokenBucket] = {}
        self.reserves: dict[ids.WorkspaceName, Reserve] = {}
        self.counts: dict[ids.WorkspaceName, TokenCounts] = {}
        self.term = ids.Term(0)

    def update_quotas(
        self,
        quotas: collections.abc.Iterable[messages.WorkspaceQuota],
        now: float,
    ) -> None:
        """Applies the quotas of a routes document."""
        new_quotas = {quota.workspace: quota for quota in quotas}
        if self.is_leader():
            self.enter_term(now)
            for name, bucket in list(self.buckets.items()):
                quota = new_quotas.get(name)
                if quota is not None:
                    bucket.change_limits(
                        quota.rate, self.bounds.depth_of(quota), now
                    )
                elif self.is_full(bucket, now):
                    del self.buckets[name]
            for name, quota in new_quotas.items():
                if name not in self.buckets:
                    depth = self.bounds.depth_of(quota)
                    self.buckets[name] = tokenbucket.TokenBucket(
                        quota.rate, depth, depth, now
                    )
        self.quotas = new_quotas
        self.counts = {
            name: self.counts.get(name) or TokenCounts() for name in new_quotas
        }
        self.reserves = {
            name: reserve
            for name, reserve in self.reserves.items()
            if reserve.granted_at
        }

    def is_full(self, bucket: tokenbucket.TokenBucket, now: float) -> bool:
        """Returns whether a bucket holds all the tokens that it can hold."""
        bucket.refill(now)
        return bucket.level >= bucket.depth

    def handle(
        self, request: messages.TokenRequest, now: float
    ) -> messages.TokenReply:
        """Decides on one request of a workspace.

        Args:
          request: the node's question.
          now: loop time.
        """
        quota = self.quotas.get(request.workspace)
        if self.is_leader() and self.has_authority(now):
            return self.handle_as_leader(request, quota, now)
        if quota is not None and self.try_reserve(quota, now):
            return messages.TokenReply(outcome=Outcome.GRANTED)
        return messages.TokenReply(outcome=Outcome.UNAVAILABLE)

    def handle_as_leader(
        self,
        request: messages.TokenRequest,
        quota: messages.WorkspaceQuota | None,
        now: float,
    ) -> messages.TokenReply:
        """Decides by the buckets of this leader."""
        self.enter_term(now)
        if request.term == self.term:
            self.take_back(request.unused, now)
        reply = messages.TokenReply(outcome=Outcome.GRANTED, term=self.term)
        if quota is None:
            # The newest document has no quota of it, or not this workspace;
            # the node learns so before long.
            return reply
        bucket = self.buckets[quota.workspace]
        counts = self.counts[quota.workspace]
        kept = 0.0
        if request.late:
            kept = max(bucket.depth - 1.0, 0.0) * LATE_KEPT_SHARE
        if bucket.try_take(now, kept):
            counts.granted += 1
            return reply
        # The buckets of a new leader are empty, whatever was used before.
        is_new_leader = now - self.group.elected_at < self.bounds.window
        if is_new_leader and self.try_reserve(quota, now):
            return messages.TokenReply(outcome=Outcome.GRANTED)
        counts.denied += 1
        reply.outcome = Outcome.DENIED
        reply.retry_after_ms = math.ceil(bucket.promise(now) * 1000)
        return reply

    def is_leader(self) -> bool:
        """Returns whether this host leads in its own view."""
        return self.group.leading.is_set()

    def has_authority(self, now: float) -> bool:
        """Returns whether no other host can be the leader by now."""
        confirmed_at = self.group.quorum_confirmed_at()
        return confirmed_at >= max(
            now - AUTHORITY_SECONDS, self.suspension.resumed_at()
        )

    def enter_term(self, now: float) -> None:
        """Empties the buckets at the start of a term."""
        if self.term == self.group.term:
            return
        self.term = ids.Term(self.group.term)
        self.buckets = {
            name: tokenbucket.TokenBucket(
                quota.rate,
                self.bounds.depth_of(quota),
                0.0,
                min(self.group.elected_at, now),
            )
            for name, quota in self.quotas.items()
        }

    def take_back(
        self,
        unused: collections.abc.Iterable[messages.UnusedTokens],
        now: float,
    ) -> None:
        """Returns the tokens of requests that did not run to the buckets."""
        for tokens in unused:
            bucket = self.buckets.get(tokens.workspace)
            if bucket is not None:
                bucket.give_back(tokens.count, now)
                if tokens.workspace in self.counts:
                    self.counts[tokens.workspace].returned += tokens.count

    def try_reserve(self, quota: messages.WorkspaceQuota, now: float) -> bool:
        """Takes a token of this host's reserve, if it may use that now."""
        contact_at = max(
            self.group.leader_contact_at, self.group.quorum_confirmed_at()
        )
        if (
            not self.group.is_voter
            or now - self.started_at < self.bounds.reserve_hold_seconds
            or now - contact_at > RESERVE_CONTACT_SECONDS
            or contact_at < self.suspension.resumed_at()
        ):
            return False
        reserve = self.reserves.setdefault(quota.workspace, Reserve())
        granted = reserve.try_take(
            self.bounds.reserve_of(quota), self.bounds.window, now
        )
        self.counts[quota.workspace].reserve += granted
        return granted
