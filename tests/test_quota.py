"""Which control host grants tokens of workspaces, and how many."""

import asyncio
import math
import types

import pytest

from mangobay import clock, quota
from mangobay.generated import messages

Outcome = messages.TokenOutcome
BOUNDS = quota.Bounds(window=5.0, overage=0.1, slack=20.0, holders=5)
QUOTA = messages.WorkspaceQuota(workspace="w", rate=10.0, burst=10.0)
TOLERATED = 1.1 * (10 * 5 + 10) + 20
"""Requests that may run in any window."""
ANSWER_SECONDS = 60.0
"""Longer than every hold and contact bound."""


class FakeGroup:
    """The consensus group of one host, in a state that the test sets."""

    def __init__(self, leads=True):
        self.leading = asyncio.Event()
        if leads:
            self.leading.set()
        self.term = 3
        self.is_voter = True
        self.leader_contact_at = -math.inf
        self.elected_at = 0.0
        self.confirmed_at = math.inf

    def quorum_confirmed_at(self):
        return self.confirmed_at if self.leading.is_set() else -math.inf


class FakeSuspension:
    """A host that is suspended when the test says so."""

    last = -math.inf

    def resumed_at(self):
        return self.last


class Host:
    """One control host with its quotas."""

    def __init__(self, leads=True, quotas=(QUOTA,)):
        self.group = FakeGroup(leads)
        self.suspension = FakeSuspension()
        self.authority = quota.QuotaAuthority(
            self.group, BOUNDS, self.suspension, 0.0
        )
        self.authority.update_quotas(quotas, 0.0)

    def ask(self, now, workspace="w", **fields):
        request = messages.TokenRequest(workspace=workspace, **fields)
        return self.authority.handle(request, now)

    def drain(self, now):
        """Takes every token that there is."""
        while self.ask(now).outcome is Outcome.GRANTED:
            pass

    def granted(self, start, seconds, steps=2000):
        """Returns the grants of constant demand that far exceeds the quota."""
        times = (start + seconds * step / steps for step in range(steps))
        return sum(self.ask(now).outcome is Outcome.GRANTED for now in times)


class TestLeader:
    """The host that leads and that a quorum has confirmed."""

    def test_window_stays_below_what_is_tolerated(self):
        host = Host()
        assert host.granted(100.0, 5.0) < TOLERATED - 5 * self.reserve()

    def reserve(self):
        return BOUNDS.reserve_of(QUOTA)

    def test_steady_demand_gets_the_rate(self):
        host = Host()
        host.granted(0.0, 100.0)
        assert host.granted(100.0, 20.0) == pytest.approx(200, abs=2)

    def test_callers_who_are_late_get_no_token_of_a_scarce_quota(self):
        """Callers who come back too late take the tokens of all others.

        Load: three times the quota, and each denied caller comes back once, too
        late for the target latency.
        """
        host = Host()
        host.drain(20.0)
        granted = {True: 0, False: 0}
        for step in range(600):
            now = 20.0 + step / 60
            for late in (True, False):
                reply = host.ask(now, late=late)
                granted[late] += reply.outcome is Outcome.GRANTED
        assert granted[True] == 0
        assert granted[False] == pytest.approx(100, abs=2)

    def test_callers_who_are_late_are_served_while_tokens_are_left(self):
        """A caller who comes back is denied although nobody else asks."""
        host = Host()
        assert host.ask(20.0, late=True).outcome is Outcome.GRANTED

    def test_demand_below_the_rate_is_never_denied(self):
        host = Host()
        replies = [host.ask(number * 0.11).outcome for number in range(2000)]
        assert set(replies) == {Outcome.GRANTED}

    def test_denial_says_when_to_come_back(self):
        host = Host()
        host.drain(20.0)
        reply = host.ask(20.0)
        assert reply.outcome is Outcome.DENIED
        assert 0 < reply.retry_after_ms <= 2000

    def test_unconfirmed_leader_grants_no_token_of_its_buckets(self):
        """Beside the next leader, it grants the whole rate once more."""
        host = Host()
        host.group.confirmed_at = 100.0
        assert host.ask(100.1).term == 3
        assert host.ask(100.0 + quota.AUTHORITY_SECONDS + 0.01).term == 0

    def test_leader_that_was_suspended_waits_for_a_quorum(self):
        """It takes a confirmation from before its suspension for a new one."""
        host = Host()
        host.group.confirmed_at = 99.95
        assert host.ask(100.0).term == 3
        host.suspension.last = 100.01
        assert host.ask(100.02).term == 0
        host.group.confirmed_at = 100.03
        assert host.ask(100.04).term == 3

    def test_new_leader_starts_with_empty_buckets(self):
        """A former leader has just granted the whole burst."""
        host = Host()
        host.group.elected_at = 100.0
        host.group.term = 4
        limit = 10 * 5 + BOUNDS.reserve_of(QUOTA)
        assert host.granted(100.0, 5.0) <= limit + 1

    def test_new_leader_serves_a_few_requests_at_once(self):
        """A workspace far below its quota is refused after an election."""
        host = Host()
        host.group.elected_at = 100.0
        host.group.term = 4
        replies = [host.ask(100.0).outcome for _ in range(2)]
        assert replies == [Outcome.GRANTED] * 2

    def test_unused_token_is_granted_again(self):
        host = Host()
        host.drain(20.0)
        unused = [messages.UnusedTokens(workspace="w", count=1)]
        assert host.ask(20.0, term=3, unused=unused).outcome is Outcome.GRANTED

    def test_unused_token_of_a_former_term_is_not_granted_again(self):
        """It came from another host's buckets: this one never counted it."""
        host = Host()
        host.drain(20.0)
        unused = [messages.UnusedTokens(workspace="w", count=1)]
        assert host.ask(20.0, term=2, unused=unused).outcome is Outcome.DENIED

    def test_workspace_without_quota_is_granted(self):
        assert Host().ask(0.0, workspace="x").outcome is Outcome.GRANTED


class TestChangedQuotas:
    """Routes documents that change quotas."""

    def test_lower_quota_binds_at_once(self):
        host = Host()
        lower = messages.WorkspaceQuota(workspace="w", rate=1.0, burst=1.0)
        host.authority.update_quotas([lower], 100.0)
        tolerated = 1.1 * (1 * 5 + 1) + 20
        assert host.granted(100.0, 5.0) <= tolerated

    def test_workspace_that_returns_has_no_second_burst(self):
        """An operator removes a workspace and adds it again at once."""
        host = Host()
        host.granted(100.0, 1.0)
        host.authority.update_quotas([], 101.0)
        host.authority.update_quotas([QUOTA], 101.1)
        assert host.granted(101.1, 1.0) <= 12

    def test_bucket_of_a_removed_workspace_is_dropped_in_the_end(self):
        host = Host()
        host.authority.update_quotas([], 0.0)
        host.authority.update_quotas([], 1000.0)
        assert not host.authority.buckets


class TestReserve:
    """Grants of a host that does not lead, or may not."""

    def make_follower(self):
        host = Host(leads=False)
        host.group.leader_contact_at = ANSWER_SECONDS
        return host

    def test_hosts_together_stay_below_what_is_tolerated(self):
        leader = Host()
        leader.granted(ANSWER_SECONDS - 20.0, 20.0)
        granted = leader.granted(ANSWER_SECONDS, 5.0)
        for _ in range(BOUNDS.holders - 1):
            granted += self.make_follower().granted(ANSWER_SECONDS, 4.9)
        assert granted <= TOLERATED

    def test_reserve_is_there_once_a_window(self):
        host = self.make_follower()
        size = BOUNDS.reserve_of(QUOTA)
        assert size > 0
        assert host.granted(ANSWER_SECONDS, 4.9) == size
        host.group.leader_contact_at = ANSWER_SECONDS + 5
        assert host.granted(ANSWER_SECONDS + 5.0, 4.9) == size

    def test_host_that_has_just_started_grants_nothing(self):
        """What it granted before its restart is granted again."""
        host = self.make_follower()
        host.group.leader_contact_at = 9.0
        assert host.granted(9.0, 0.9) == 0

    def test_host_without_contact_grants_nothing(self):
        """It was replaced while it was cut off, and both use the reserve."""
        host = self.make_follower()
        late = ANSWER_SECONDS + quota.RESERVE_CONTACT_SECONDS
        assert host.granted(late + 0.1, 1.0) == 0

    def test_host_that_is_no_voter_grants_nothing(self):
        host = self.make_follower()
        host.group.is_voter = False
        assert host.granted(ANSWER_SECONDS, 1.0) == 0

    def test_nothing_is_left_where_nothing_is_tolerated(self):
        strict = quota.Bounds(window=5.0, overage=0.0, slack=0.0, holders=5)
        assert strict.reserve_of(QUOTA) == 0
        assert strict.depth_of(QUOTA) == QUOTA.burst


@pytest.mark.looptime
class TestSuspension:
    """Noticing that the host was suspended."""

    async def test_boot_time_that_runs_ahead_is_noticed(self):
        loop = asyncio.get_running_loop()
        state = types.SimpleNamespace(offset=1000.0)
        detector = clock.SuspensionDetector(lambda: loop.time() + state.offset)
        assert detector.resumed_at() == -math.inf
        await asyncio.sleep(100)
        assert detector.resumed_at() == -math.inf
        state.offset += 3.0
        assert detector.resumed_at() == loop.time()
        resumed_at = loop.time()
        await asyncio.sleep(1)
        assert detector.resumed_at() == resumed_at
