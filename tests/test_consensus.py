"""Tests of the control group on a fake network, in virtual time."""

import asyncio

import groupfakes
import pytest
import xxhash

from mangobay import errors, joining, snapshottransfer, stepdown, storage
from mangobay.generated import messages

pytestmark = pytest.mark.looptime


class TestGroup:
    """Proposals without failures."""

    async def test_proposals_are_applied_on_every_host(self):
        async with groupfakes.Cluster() as cluster:
            for number in range(100):
                await cluster.commit(str(number))
            await cluster.wait_until(
                lambda: all(len(h.machine.sheets) == 100 for h in cluster.hosts)
            )
            machines = [host.machine.sheets for host in cluster.hosts]
            assert machines[0] == machines[1] == machines[2]
            versions = [version for _, version in machines[0]]
            assert versions == [str(number) for number in range(100)]

    async def test_follower_names_the_leader(self):
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            follower = cluster.others(leader)[0]
            await cluster.wait_until(lambda: follower.group.leader)
            with pytest.raises(errors.NotLeaderError) as raised:
                await follower.group.propose(messages.Noop())
            assert raised.value.leader == leader.name
            assert raised.value.address == str(leader.address)

    async def test_concurrent_proposals_share_a_sync(self):
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.leader()
            leader.disk.sync_seconds = 0.02
            syncs_before = leader.disk.sync_count
            await asyncio.gather(
                *(
                    leader.group.propose(messages.SheetChange(version=str(n)))
                    for n in range(30)
                )
            )
            assert leader.disk.sync_count - syncs_before < 10


class TestStepDown:
    """A leader that steps down as planned."""

    async def test_new_leader_is_elected_before_the_election_timeout(self):
        """A planned step-down leaves the group without a leader.

        The other hosts elect a leader before the shortest election timeout
        has passed. It has every committed entry and accepts a change.
        """
        for seed in range(1, 11):
            async with groupfakes.Cluster(seed) as cluster:
                former = await cluster.commit("before")
                timeout = former.group.settings.election_timeout
                started_at = former.group.now()
                await stepdown.step_down_and_notify(former.group)
                assert not former.is_leading
                await cluster.wait_until(
                    lambda c=cluster, f=former: any(
                        host.is_leading for host in c.others(f)
                    )
                )
                assert cluster.hosts[0].group.now() - started_at < timeout
                await former.crash()
                leader = await cluster.commit("after")
                versions = [version for _, version in leader.machine.sheets]
                assert versions == ["before", "after"]


class TestLostDisk:
    """Hosts whose disks are replaced by empty ones."""

    async def replace_disk(self, cluster, host) -> None:
        """Gives a host an empty disk and waits until that is a voter."""
        await host.crash()
        host.lose_disk()
        host.start(join=True)
        leader = await cluster.leader()
        await cluster.wait_until(
            lambda: (
                leader.group.voters.is_voter(host.group.identity)
                and not leader.group.voters.has_pending_change(
                    leader.group.commit_index
                )
            )
        )

    async def test_second_host_is_lost_after_a_disk_replacement(self):
        """The group loses its quorum although a lost disk was replaced.

        One disk is replaced, and then another host is lost. The new disk must
        be a voter in place of the old one and hold every committed entry.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("before")
            first, second = cluster.others(leader)
            await self.replace_disk(cluster, first)
            await second.crash()
            await cluster.commit("after")
            assert [v for _, v in first.machine.sheets][0] == "before"

    async def test_host_with_replaced_disk_can_lead(self):
        """The leader is lost after a disk of another host was replaced."""
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("before")
            first, second = cluster.others(leader)
            await self.replace_disk(cluster, first)
            await cluster.commit("between")
            await leader.crash()
            await cluster.commit("after")
            for host in (first, second):
                await cluster.wait_until(
                    lambda h=host: len(h.machine.sheets) == 3
                )
                versions = [v for _, v in host.machine.sheets]
                assert versions == ["before", "between", "after"]

    @pytest.mark.parametrize("join", (True, False))
    async def test_two_empty_disks_do_not_bootstrap_a_group(self, join):
        """Two hosts with empty disks lose the committed entries.

        Two of three disks are lost together while the third host is down. The
        two empty hosts are a majority of the addresses, but must not bootstrap
        a new group.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("kept")
            for host in cluster.others(leader):
                await host.crash()
                host.lose_disk()
                host.start(join=join)
            await leader.crash()
            await asyncio.sleep(30)
            assert not any(host.is_leading for host in cluster.hosts)
            leader.start()
            await asyncio.sleep(30)
            assert not any(host.is_leading for host in cluster.hosts)
            bodies = [r.entry.body for r in leader.group.log.records]
            assert messages.SheetChange(version="kept") in bodies
            last_indexes = {
                h.group.log.last_index for h in cluster.others(leader)
            }
            assert last_indexes == {0}

    async def test_bootstrap_waits_for_every_host(self):
        """A group without one of its hosts elects its first leader."""
        cluster = groupfakes.Cluster()
        late = cluster.hosts[0]
        async with cluster:
            await late.crash()
            await asyncio.sleep(30)
            assert not any(host.is_leading for host in cluster.hosts)
            late.start()
            await cluster.commit("1")


class TestGrowth:
    """Groups that grow after their bootstrap."""

    async def test_group_grows_from_three_to_five_voters(self):
        """The group loses its quorum although two hosts were added.

        Two empty hosts are added to the settings and become voters one at a
        time, once they have caught up. Then two others are lost, and the
        remaining three of five are a quorum.
        """
        async with groupfakes.Cluster() as cluster:
            await cluster.commit("1")
            cluster.add_hosts(2)
            for host in cluster.hosts:
                await host.crash()
                host.start(join=True)
            leader = await cluster.leader()
            await cluster.wait_until(
                lambda: len(leader.group.voters.newest()) == 5
            )
            await cluster.commit("2")
            for host in cluster.others(leader)[:2]:
                await host.crash()
            await cluster.commit("3")

    async def test_change_accepted_while_growing_outlasts_two_disks(self):
        """A change that two of three voters hold is lost with their disks.

        The group is founded by three hosts and grows to five. Two disks are
        lost and all hosts lose power right after a change was accepted.
        """
        async with groupfakes.Cluster(voters=5, tolerance=2) as cluster:
            await cluster.leader()
            cluster.add_hosts(2)
            for new in cluster.hosts[3:]:
                new.start(join=True)
                for host in cluster.hosts[:3]:
                    host.group.add_follower(new.address)
            leader = await cluster.commit("kept")
            lost = [leader, next(iter(cluster.others(leader)))]
            await asyncio.gather(*(host.crash() for host in cluster.hosts))
            for host in lost:
                host.lose_disk()
            for host in cluster.hosts:
                host.start(join=True)
            leader = await cluster.commit("after")
            versions = [version for _, version in leader.machine.sheets]
            assert versions == ["kept", "after"]

    async def test_small_group_accepts_no_change(self):
        """A group accepts a change though a few lost disks would undo it."""
        async with groupfakes.Cluster(voters=5, tolerance=2) as cluster:
            leader = await cluster.leader()
            with pytest.raises(errors.NotLeaderError):
                await leader.group.propose(messages.SheetChange(version="1"))


class TestCutLinks:
    """Partitions and frozen hosts."""

    async def test_isolated_leader_does_not_confirm_leadership(self):
        """An isolated leader serves stale state or blocks its callers.

        All messages from and to the leader are dropped silently, and the
        others elect a new leader. The old leader must not confirm its
        leadership, and its callers fail within a few election timeouts.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            cluster.isolate(leader)
            started_at = asyncio.get_running_loop().time()
            results = await asyncio.gather(
                leader.group.confirm_leadership(),
                leader.group.propose(messages.SheetChange(version="2")),
                return_exceptions=True,
            )
            wait_seconds = asyncio.get_running_loop().time() - started_at
            assert isinstance(results[0], errors.NotLeaderError)
            assert isinstance(results[1], errors.LeadershipLostError)
            assert wait_seconds < 3 * groupfakes.ELECTION_TIMEOUT
            new_leader = await cluster.commit("3")
            assert new_leader is not leader
            with pytest.raises(errors.NotLeaderError):
                await leader.group.confirm_leadership()
            cluster.heal()
            await cluster.wait_until(
                lambda: leader.machine.sheets == new_leader.machine.sheets
            )
            assert [v for _, v in leader.machine.sheets] == ["1", "3"]

    async def test_resumed_leader_does_not_confirm_leadership(self):
        """A leader that was frozen serves stale state when it resumes.

        The others have elected a new leader meanwhile. The quorum check has
        not run, so that the old leader still believes that it leads. Only the
        round of requests for a confirmation tells it otherwise, and a change
        that it accepts must not take effect.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            leader.group.elected_at = float("inf")  # Disables the quorum check.
            cluster.network.frozen_hosts.add(leader.address)
            await cluster.wait_until(
                lambda: any(host.is_leading for host in cluster.others(leader))
            )
            assert leader.is_leading
            confirm_task = asyncio.create_task(
                leader.group.confirm_leadership()
            )
            propose_task = asyncio.create_task(
                leader.group.propose(messages.SheetChange(version="stale"))
            )
            await asyncio.sleep(1)
            assert not confirm_task.done()
            cluster.heal()
            with pytest.raises(errors.NotLeaderError):
                await confirm_task
            with pytest.raises(errors.LeadershipLostError):
                await propose_task
            new_leader = await cluster.commit("2")
            await cluster.wait_until(
                lambda: leader.machine.sheets == new_leader.machine.sheets
            )
            assert [v for _, v in leader.machine.sheets] == ["1", "2"]

    async def test_returning_follower_does_not_depose_the_leader(self):
        """A returning follower deposes a leader that all others hear.

        The follower times out repeatedly while it is isolated. Without
        pre-vote, its higher term would cause an election.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            term = leader.group.term
            cluster.isolate(cluster.others(leader)[0])
            await asyncio.sleep(20)
            cluster.heal()
            await asyncio.sleep(5)
            assert leader.is_leading
            assert leader.group.term == term

    async def test_follower_without_link_to_the_leader_does_not_depose_it(self):
        """A follower and the leader depose each other in turn.

        The link between the two is cut, and the follower's log is up to date.
        The third host hears the leader and must not vote for the follower.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            other = cluster.others(leader)[0]
            cluster.network.cut_links |= {
                (leader.address, other.address),
                (other.address, leader.address),
            }
            await asyncio.sleep(20)
            assert leader.is_leading
            await leader.group.propose(messages.SheetChange(version="2"))

    async def test_host_far_behind_receives_a_snapshot(self):
        """The leader's compacted log lacks the entries that a host needs."""
        async with groupfakes.Cluster() as cluster:
            late = await leave_behind(cluster)
            leader = await cluster.leader()
            assert leader.group.log.first_index > late.group.log.last_index
            late.start()
            await cluster.wait_until(
                lambda: late.machine.sheets == leader.machine.sheets
            )


class TestLargeSnapshots:
    """Snapshots that take longer than an election timeout."""

    async def test_quorum_survives_a_slow_snapshot_transfer(self, monkeypatch):
        """The leader loses its quorum while its only follower is updated.

        One of three hosts is lost, and another returns far behind. It needs a
        snapshot that arrives in hundreds of parts and takes 3 s to sync. It
        replies to every part, and to the leader while it syncs, so that a
        change made meanwhile is committed.
        """
        monkeypatch.setattr(snapshottransfer, "MAX_PART_BYTES", 16)
        slow_down(monkeypatch, "stage_received")
        async with groupfakes.Cluster() as cluster:
            late = await leave_behind(cluster)
            leader = await cluster.leader()
            for lost in cluster.others(leader):
                await lost.crash()
            late.start()
            await cluster.wait_until(
                lambda: leader.is_leading and late.group.incoming_snapshot
            )
            term = leader.group.term
            await cluster.wait_until(
                lambda: late.group.incoming_snapshot.install_task
            )
            await leader.group.propose(messages.SheetChange(version="last"))
            assert leader.group.term == term
            await cluster.wait_until(
                lambda: late.machine.sheets == leader.machine.sheets
            )

    async def test_slow_snapshots_do_not_delay_proposals(self, monkeypatch):
        """Every caller waits while all hosts take a slow snapshot.

        All hosts compact their logs at the same entry, which takes 3 s. If
        they held the lock, none would reply or sync meanwhile. Changes are
        committed within an election timeout, under the same leader.
        """
        slow_down(monkeypatch, "stage")
        loop = asyncio.get_running_loop()
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("0")
            term = leader.group.term
            max_seconds = 0.0
            for number in range(3 * groupfakes.SNAPSHOT_ENTRIES):
                started_at = loop.time()
                await cluster.commit(str(number))
                max_seconds = max(max_seconds, loop.time() - started_at)
            await asyncio.sleep(10)
            assert max_seconds < groupfakes.ELECTION_TIMEOUT
            assert leader.group.term == term
            for host in cluster.hosts:
                assert host.group.log.snapshot.last_index

    async def test_snapshot_corrupted_in_transfer_is_sent_again(
        self, monkeypatch
    ):
        """A host installs a snapshot that was corrupted in transfer.

        The host must detect the checksum mismatch once it has all parts,
        install nothing and request the first part again.
        """
        monkeypatch.setattr(snapshottransfer, "MAX_PART_BYTES", 64)
        make_snapshot_put = snapshottransfer.make_snapshot_put
        corrupt_offsets = []

        def make_corrupt_part(group, follower):
            body = make_snapshot_put(group, follower)
            if body.offset and not corrupt_offsets:
                corrupt_offsets.append(body.offset)
                body.part = bytes(len(body.part))
            return body

        monkeypatch.setattr(
            snapshottransfer, "make_snapshot_put", make_corrupt_part
        )
        async with groupfakes.Cluster() as cluster:
            late = await leave_behind(cluster)
            late.start()
            leader = await cluster.leader()
            await cluster.wait_until(
                lambda: late.machine.sheets == leader.machine.sheets
            )
            assert corrupt_offsets

    async def test_snapshots_of_two_leaders_are_installed_in_turn(self):
        """A host stops, or stores another snapshot than it installed.

        While the snapshot of one leader is synced, the next leader sends a
        longer one.
        """
        async with groupfakes.Cluster() as cluster:
            await cluster.leader()
            host = cluster.hosts[0]
            for other in cluster.others(host):
                await other.crash()
            host.disk.sync_seconds = 0.3
            term = host.group.term
            for number in (1, 2):
                await host.group.handle(
                    make_snapshot_put(term + number, 100 * number)
                )
                await asyncio.sleep(0.1)
            await asyncio.sleep(10)
            assert not host.task.done()
            assert host.group.log.snapshot.last_index == 200
            await host.crash()
            host.start()
            assert host.group.log.snapshot.last_index == 200


def make_snapshot_put(term, last_index) -> messages.SnapshotPut:
    """Returns a whole snapshot as the leader of a term sends it."""
    snapshot = messages.Snapshot(last_index=last_index, last_term=term)
    data = messages.encode_snapshot(snapshot)
    return messages.SnapshotPut(
        term=term,
        identity=f"leader of {term}",
        address="127.0.0.1:7999",
        part=data,
        last_index=last_index,
        size=len(data),
        checksum=xxhash.xxh3_64_intdigest(data),
    )


async def leave_behind(cluster) -> groupfakes.FakeHost:
    """Returns a stopped host that needs entries compacted from the log."""
    leader = await cluster.commit("0")
    late = cluster.others(leader)[0]
    await late.crash()
    for number in range(3 * groupfakes.SNAPSHOT_ENTRIES):
        await cluster.commit(str(number))
    return late


def slow_down(monkeypatch, method_name) -> None:
    """Makes a storage method take longer than an election timeout."""
    method = getattr(storage.Storage, method_name)

    async def slow(self, argument):
        await asyncio.sleep(5 * groupfakes.ELECTION_TIMEOUT)
        return await method(self, argument)

    monkeypatch.setattr(storage.Storage, method_name, slow)


class TestDisk:
    """Full disks and restarts."""

    @pytest.mark.parametrize("leads", (True, False))
    async def test_host_with_full_disk_acknowledges_nothing(self, leads):
        """A host with a full disk acknowledges entries that are not durable.

        The disk of the leader or of a follower fills up. The host stops with
        an error and the other two continue. With space again it restarts and
        catches up.
        """
        async with groupfakes.Cluster() as cluster:
            leader = await cluster.commit("1")
            host = leader if leads else cluster.others(leader)[0]
            host.disk.full = True
            synced_before = host.group.log.synced_index
            await cluster.commit("2")
            with pytest.raises(errors.StorageError, match="No space"):
                await host.task
            assert not host.is_leading
            assert host.group.log.synced_index == synced_before
            await host.crash()
            host.start()
            last = await cluster.commit("3")
            await cluster.wait_until(
                lambda: host.machine.sheets == last.machine.sheets
            )

    async def test_single_leader_with_full_disk_fails_the_proposal(self):
        """A proposal succeeds that no disk holds durably."""
        async with groupfakes.Cluster(size=1) as cluster:
            leader = await cluster.commit("1")
            leader.disk.full = True
            with pytest.raises(errors.LeadershipLostError):
                await leader.group.propose(messages.SheetChange(version="2"))
            await leader.crash()
            leader.start()
            await cluster.commit("3")
            assert leader.machine.sheets[0][1] == "1"

    async def test_all_hosts_restart_after_a_thousand_changes(self):
        """Changes in a long log are lost when all hosts lose power."""
        async with groupfakes.Cluster(snapshot_entries=5000) as cluster:
            leader = await cluster.leader()
            for number in range(0, 1000, 20):
                await asyncio.gather(
                    *(
                        leader.group.propose(
                            messages.SheetChange(version=str(number + offset))
                        )
                        for offset in range(20)
                    )
                )
            for host in cluster.hosts:
                await host.crash()
            for host in cluster.hosts:
                host.start()
            await cluster.leader()
            for host in cluster.hosts:
                assert host.group.log.last_index >= 1001
            leader = await cluster.commit("last")
            versions = [v for _, v in leader.machine.sheets]
            assert versions == [*map(str, range(1000)), "last"]


class TestLogSize:
    """The log of a day with large entries."""

    async def test_log_is_cut_by_its_size(self):
        """Guards against a log that fits into no process that starts."""
        max_bytes = 100_000
        async with groupfakes.Cluster(
            snapshot_entries=5000, snapshot_bytes=max_bytes
        ) as cluster:
            for number in range(60):
                await cluster.commit(f"{number}-{'x' * 10_000}")
            await cluster.commit("last")
            await asyncio.sleep(1)
            sizes = [
                sum(record.size for record in host.group.log.records)
                for host in cluster.hosts
            ]
            file_sizes = [
                len(host.disk.files[storage.LOG_FILE]) for host in cluster.hosts
            ]
            assert max(sizes + file_sizes) < 1.3 * max_bytes
            for host in cluster.hosts:
                await host.crash()
            for host in cluster.hosts:
                host.start()
            leader = await cluster.commit("after")
            versions = [version for _, version in leader.machine.sheets]
            assert len(versions) == 62
            assert versions[-2:] == ["last", "after"]


class TestJoin:
    """Hosts that join without being in the settings of the others."""

    async def start_joining_host(self, cluster):
        """Starts an empty host that joins as in the module `joining`."""
        cluster.add_hosts(1)
        new = cluster.hosts[-1]
        new.start(join=True)
        for host in cluster.hosts[:-1]:
            if host.task is not None:
                host.group.add_follower(new.address)
        return new

    async def test_joining_host_replaces_an_unreachable_voter(self):
        """The group loses its quorum although a lost host was replaced.

        One of three hosts is lost, and an empty one joins at another address.
        It must become a voter, so that the loss of another of the three
        leaves a quorum.
        """
        async with groupfakes.Cluster(voters=3) as cluster:
            await cluster.commit("1")
            leader = await cluster.leader()
            lost, other = cluster.others(leader)
            await lost.crash()
            new = await self.start_joining_host(cluster)
            await cluster.wait_until(lambda: new.group.is_voter)
            assert len(new.group.voters.newest()) == 3
            assert str(lost.address) not in leader.group.voter_addresses()
            await other.crash()
            await cluster.commit("2")

    async def test_joining_host_replaces_no_reachable_voter(self):
        """A reachable voter is replaced by a host that joins."""
        async with groupfakes.Cluster(voters=3) as cluster:
            await cluster.commit("1")
            new = await self.start_joining_host(cluster)
            await asyncio.sleep(10)
            assert not new.group.is_voter
            assert len(new.group.voters.newest()) == 3

    @pytest.mark.parametrize("absence", ["crashed", "isolated"])
    async def test_voter_whose_place_was_taken_while_it_was_away_joins(
        self, absence
    ):
        """Guards against a host that takes itself for a voter and stays outside.

        The hosts that have started since know only the seeds and the voters.
        """
        async with groupfakes.Cluster(voters=3) as cluster:
            seeds = cluster.addresses
            await cluster.commit("1")
            leader = await cluster.leader()
            lost, kept = cluster.others(leader)
            await lost.crash()
            away = await self.start_joining_host(cluster)
            await cluster.wait_until(lambda: away.group.is_voter)
            if absence == "crashed":
                await away.crash(power_lost=False)
            else:
                cluster.isolate(away)
            successor = await self.start_joining_host(cluster)
            await cluster.wait_until(lambda: successor.group.is_voter)
            group = [leader, kept, successor]
            for host in group:
                await host.crash(power_lost=False)
            cluster.addresses = seeds
            for host in group:
                host.start()
            await cluster.commit("2")
            cluster.heal()
            if absence == "crashed":
                away.start(join=True)
            joining_task = asyncio.create_task(
                joining.run(away.group, away.group.transport)
            )
            await cluster.wait_until(lambda: not away.group.is_voter)
            await kept.crash()
            await cluster.wait_until(lambda: away.group.is_voter)
            joining_task.cancel()
            await successor.crash()
            assert await cluster.commit("3") in (leader, away)

    async def test_returning_replaced_voter_elects_no_leader(self):
        """Two leaders accept changes, one of them elected by a former voter.

        An isolated voter is replaced. When it returns, it still has the old
        configuration and has campaigned without success.
        """
        async with groupfakes.Cluster(voters=3) as cluster:
            await cluster.commit("1")
            leader = await cluster.leader()
            isolated = cluster.others(leader)[0]
            cluster.isolate(isolated)
            new = await self.start_joining_host(cluster)
            await cluster.wait_until(lambda: new.group.is_voter)
            cluster.heal()
            await asyncio.sleep(5)
            await cluster.commit("2")
            assert not isolated.is_leading
            assert not isolated.group.is_voter
