"""Hosts that were away while the group replaced others, in virtual time."""

import asyncio
import collections
import os
import random

import absencefakes
import groupfakes
import pytest

from mangobay import joining, logs, membership, voters
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 15.0
STEPS = 24
CI_SEEDS = range(2)
SOAK_SEEDS = range(1000, 1000 + int(os.environ.get("MANGOBAY_SEEDS", "100")))


class TestPlaceGivenAway:
    """A host comes back after the group has given its place away."""

    @pytest.fixture(
        params=absencefakes.ABSENCES, ids=lambda kind: kind.__name__
    )
    def absence_kind(self, request):
        return request.param

    async def lose_place(self, cluster, absence):
        """Takes a host away until it is no voter; returns all others."""
        await absence.begin()
        cluster.add_host()
        others = [h for h in cluster.running() if h is not absence.host]
        await cluster.wait_for_voters(others)
        return others

    @pytest.mark.parametrize("leads", [False, True])
    async def test_it_votes_again_once_there_is_room(self, absence_kind, leads):
        """Guards against a host that stays outside, and a place left empty."""
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            leader = await cluster.leader()
            away = leader if leads else cluster.others(leader)[-1]
            absence = absence_kind(cluster, away)
            kept = await self.lose_place(cluster, absence)
            await cluster.restart(kept)
            await absence.end()
            await kept[0].crash()
            await cluster.wait_for_voters(cluster.running(), CATCH_UP_SECONDS)
            await cluster.commit("after")
            await cluster.lose_disks(
                cluster.running()[: absencefakes.TOLERANCE]
            )
            leader = await cluster.commit("lost")
            versions = [version for _, version in leader.machine.sheets]
            assert versions == ["grown", "after", "lost"]

    async def test_all_hosts_that_it_knows_are_replaced(self, absence_kind):
        """Guards against a host that nobody knows and that knows nobody."""
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            away = cluster.hosts[-1]
            absence = absence_kind(cluster, away)
            others = await self.lose_place(cluster, absence)
            for host in list(others):
                others.remove(host)
                others.append(await cluster.replace(host))
                await cluster.wait_for_voters(others)
            await cluster.restart(others)
            await absence.end()
            await others[0].crash()
            await cluster.wait_for_voters(cluster.running(), CATCH_UP_SECONDS)

    async def test_two_places_at_once(self, absence_kind):
        """Guards against a second host that nobody asks back."""
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            leader = await cluster.leader()
            away = cluster.others(leader)[:2]
            absences = [absence_kind(cluster, host) for host in away]
            for absence in absences:
                await absence.begin()
            for _ in away:
                cluster.add_host()
            kept = [host for host in cluster.running() if host not in away]
            await cluster.wait_for_voters(kept)
            await cluster.restart(kept)
            for absence in absences:
                await absence.end()
            for host in kept[:2]:
                await host.crash()
            await cluster.wait_for_voters(cluster.running(), CATCH_UP_SECONDS)

    async def test_it_returns_while_a_change_is_uncommitted(self, absence_kind):
        """Guards against a host that takes an uncommitted change for agreed."""
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            leader = await cluster.leader()
            away = cluster.others(leader)[-1]
            absence = absence_kind(cluster, away)
            await absence.begin()
            for host in cluster.hosts:
                host.disk.sync_seconds = 0.3
            cluster.add_host()
            await cluster.wait_until(
                lambda: leader.group.voters.has_pending_change(
                    leader.group.commit_index
                )
            )
            await absence.end()
            kept = [host for host in cluster.running() if host is not away]
            await cluster.wait_for_voters(kept)
            for host in cluster.hosts:
                host.disk.sync_seconds = 0.0
            await kept[0].crash()
            await cluster.wait_for_voters(cluster.running(), CATCH_UP_SECONDS)

    async def test_it_goes_on_running_as_a_learner(self, absence_kind):
        """Guards against a replaced host that disturbs those in its place."""
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            leader = await cluster.leader()
            absence = absence_kind(cluster, cluster.others(leader)[-1])
            kept = await self.lose_place(cluster, absence)
            term = leader.group.term
            await absence.end()
            await asyncio.sleep(CATCH_UP_SECONDS)
            assert (leader.is_leading, leader.group.term) == (True, term)
            assert cluster.are_voters(kept)
            learner = absence.host.group
            assert learner.commit_index == leader.group.commit_index


class TestLearner:
    """A host that joins while its leader changes."""

    async def test_its_leader_ends_before_it_votes(self):
        """Guards against a learner that only the former leader knows."""
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            leader = await cluster.leader()
            new = cluster.add_host()
            await cluster.wait_until(lambda: new.group.commit_index > 0)
            assert not new.group.is_voter
            await leader.crash()
            await cluster.wait_for_voters(cluster.running(), CATCH_UP_SECONDS)


class TestJoinRequests:
    """Who sends join requests, and when."""

    async def test_a_voter_that_hears_its_leader_sends_none(self, monkeypatch):
        """Guards against requests without end between rare heartbeats."""
        monkeypatch.setattr(groupfakes, "ELECTION_TIMEOUT", 10.0)
        monkeypatch.setattr(groupfakes, "HEARTBEAT_INTERVAL", 3.0)
        requests = []
        request_join = joining.request_join

        def record(group, transport, address):
            requests.append(address)
            return request_join(group, transport, address)

        async with absencefakes.SeededCluster() as cluster:
            await cluster.wait_for_voters(cluster.hosts, 60)
            await asyncio.sleep(10.0)
            monkeypatch.setattr(joining, "request_join", record)
            await asyncio.sleep(60.0)
        assert not requests


class TestSilentVoters:
    """What operators see of voters that do not answer."""

    async def test_a_voter_that_never_answered_is_counted_and_logged_once(
        self, monkeypatch
    ):
        """Guards against a group that tolerates fewer losses without notice."""
        events = []
        monkeypatch.setattr(
            logs, "log_event", lambda _, event, **facts: events.append(event)
        )
        async with absencefakes.SeededCluster() as cluster:
            await cluster.grow()
            leader = await cluster.leader()
            gone, *kept = cluster.others(leader)
            await gone.crash()
            await cluster.restart([leader, *kept])
            await asyncio.sleep(CATCH_UP_SECONDS)
            leader = await cluster.leader()
            assert leader.group.silent_voter_count() == 1
            assert [h.group.silent_voter_count() for h in kept].count(1) <= 1
            assert events.count("voter does not answer") == 1
            cluster.add_host()
            await cluster.wait_for_voters(cluster.running())
            await asyncio.sleep(1.0)
            assert leader.group.silent_voter_count() == 0
            assert events.count("silent voter is replaced") == 1


class TestLearners:
    """The former voters that a configuration names."""

    def peer(self, number):
        return messages.Peer(
            host=f"c{number}",
            identity=f"d{number}",
            address=f"127.0.0.1:{number}",
        )

    def test_a_host_is_named_once_and_the_oldest_are_dropped(self):
        """Guards against a list that grows with every replaced host."""
        known = voters.Voters()
        named = [self.peer(number) for number in range(1, 4)]
        for number in range(4, 30):
            change = membership.with_voter(known, self.peer(number), named[0])
            if number == 4:
                change.voters = [*named[1:], self.peer(4)]
            entry = messages.LogEntry(index=number, term=1, body=change)
            known.add_entries([entry])
            named = known.newest()
        assert [voter.host for voter in named] == ["c27", "c28", "c29"]
        learners = [learner.host for learner in known.newest_learners()]
        assert learners == [f"c{number}" for number in range(21, 27)]
        change = membership.with_voter(known, self.peer(24), named[0])
        assert self.peer(24) not in change.learners
        assert change.learners[-1] == named[0]


class Replacements:
    """A random series of replacements and absences, with changes meanwhile.

    Attributes:
      acknowledged: versions that were committed.
      absences: the hosts that are away.
      counts: how often each step was taken.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cluster = absencefakes.SeededCluster(seed)
        self.acknowledged = []
        self.absences = []
        self.counts = collections.Counter()

    def present(self):
        """Returns the hosts that are neither away nor gone for good."""
        away = [absence.host for absence in self.absences]
        return [host for host in self.cluster.running() if host not in away]

    def gone_voters(self):
        """Returns how many voters were taken away for good."""
        kept = [*self.present(), *(absence.host for absence in self.absences)]
        disks = {host.group.identity for host in kept}
        voters = self.cluster.committed_voters()
        return sum(voter.identity not in disks for voter in voters)

    async def change(self):
        """Proposes a change at every host that leads."""
        version = str(self.counts["changes"])
        self.counts["changes"] += 1
        try:
            await self.cluster.commit(version, 2.0)
        except TimeoutError:
            return
        self.acknowledged.append(version)

    async def take_away(self):
        if len(self.absences) < absencefakes.TOLERANCE:
            kind = self.rng.choice(absencefakes.ABSENCES)
            absence = kind(self.cluster, self.rng.choice(self.present()))
            await absence.begin()
            self.absences.append(absence)
            self.counts[kind.__name__] += 1

    async def bring_back(self):
        if self.absences:
            absence = self.rng.choice(self.absences)
            self.absences.remove(absence)
            await absence.end()

    async def replace(self):
        if self.gone_voters() >= absencefakes.TOLERANCE:
            return
        self.counts["replaced"] += 1
        replaced = self.rng.choice(self.present())
        self.cluster.add_host()
        await asyncio.sleep(self.rng.random() * CATCH_UP_SECONDS)
        await replaced.crash()
        await self.exchange_seeds()

    async def exchange_seeds(self):
        self.cluster.seeds = self.rng.sample(self.present(), 3)

    async def kill_all(self):
        self.counts["all killed"] += 1
        hosts = self.present()
        power_lost = self.rng.random() < 0.5
        for host in hosts:
            await host.crash(power_lost)
        await asyncio.sleep(self.rng.random())
        for host in hosts:
            host.start(join=True)

    async def run(self):
        async with self.cluster:
            await self.cluster.grow()
            self.acknowledged.append("grown")
            steps = (
                self.take_away,
                self.take_away,
                self.bring_back,
                self.replace,
                self.replace,
                self.exchange_seeds,
                self.kill_all,
            )
            for _ in range(STEPS):
                await self.rng.choice(steps)()
                await asyncio.sleep(self.rng.random() * 3.0)
                await self.change()
            while self.absences:
                await self.bring_back()
            await self.check()

    async def check(self):
        """Loses any two disks once all hosts are back."""
        cluster = self.cluster
        await cluster.commit("all back", RECOVERY_SECONDS)
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert cluster.are_voters(cluster.running())
        assert len(cluster.running()) == absencefakes.VOTERS
        lost = self.rng.sample(cluster.running(), absencefakes.TOLERANCE)
        await cluster.lose_disks(lost)
        leader = await cluster.commit("lost", RECOVERY_SECONDS)
        versions = {version for _, version in leader.machine.sheets}
        assert {*self.acknowledged, "all back"} <= versions


class TestReplacements:
    """Any series of replacements and absences within the tolerance."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_any_two_disks_may_be_lost_afterwards(self, seed):
        """Guards against a group with fewer voters than its hosts are."""
        await self.play(seed)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_any_two_disks_may_be_lost_after_many_series(self, seed):
        """As above, with many seeds."""
        await self.play(seed)

    async def play(self, seed):
        run = Replacements(seed)
        try:
            await run.run()
        finally:
            print(f"seed {seed}: {dict(run.counts)}")
