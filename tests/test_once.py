"""At most once across nodes, with fakes for the network and the lease."""

import asyncio
import dataclasses

import once_fakes
import pytest

from mangobay import invariants, keyslots, records
from mangobay.generated import messages


@pytest.mark.looptime
class TestRepeats:
    """The same key again, while nothing has failed."""

    async def test_repeat_gets_the_same_response(self):
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            first = await net.send(owner, key)
            repeat = await net.send(owner, key)
            assert first.body == repeat.body == b"slip 1"
            assert net.runs == ["run"]

    async def test_repeat_waits_for_the_run_in_progress(self):
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            replies = await asyncio.gather(
                *(net.send(owner, key) for _ in range(5))
            )
            assert {reply.body for reply in replies} == {b"slip 1"}
            assert net.runs == ["run"]

    async def test_key_with_another_body_is_refused(self):
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            await net.send(owner, key)
            other = await net.send(owner, key, body=b"unit 8")
            assert other.outcome is messages.Outcome.NOT_RUN
            assert other.reason is messages.Reason.KEY_REUSED
            assert (await net.send(owner, key)).body == b"slip 1"

    async def test_key_older_than_the_window_never_runs(self):
        async with once_fakes.running_network(window=10.0) as net:
            key = once_fakes.new_key()
            await asyncio.sleep(11)
            reply = await net.send(net.owner(key), key)
            assert reply.outcome is messages.Outcome.UNKNOWN
            assert reply.reason is messages.Reason.KEY_EXPIRED
            assert net.runs == []

    async def test_node_that_is_not_the_owner_refuses(self):
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            other = next(host for host in net.members if host != net.owner(key))
            reply = await net.send(other, key)
            assert reply.reason is messages.Reason.NOT_OWNER

    async def test_cancelled_caller_does_not_stop_a_run(self):
        """The caller hangs up while its booking runs, then asks again.

        The run goes on; the repeat gets its answer.  A cancelled run would
        leave the booking's fate unknown for nothing.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            send_task = asyncio.create_task(net.send(owner, key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            send_task.cancel()
            assert (await net.send(owner, key)).body == b"slip 1"
            assert net.runs == ["run"]


@pytest.mark.looptime
class TestBounds:
    """More keys and larger answers than a node may remember."""

    def expire(self, net):
        """Drops what left the window, as every node does from time to time."""
        now = asyncio.get_running_loop().time()
        for node in net.nodes.values():
            node.ownership_of(once_fakes.SERVICE).registry.expire(now)

    async def test_full_memory_refuses_new_keys(self):
        """Large answers fill what a node may use; callers go on.

        Keys that ran are never forgotten to make room: their repeats get
        the same answer, and a new key is told `not run`, which is true. Once
        the old ones leave the window, new keys run again.
        """
        async with once_fakes.running_network(
            window=20.0, memory_bytes=40_000
        ) as net:
            net.response_body = b"x" * 10_000
            keys = []
            reply = messages.Reply(outcome=messages.Outcome.ANSWERED)
            while reply.outcome is messages.Outcome.ANSWERED:
                keys.append(once_fakes.new_key())
                reply = await net.send(net.owner(keys[-1]), keys[-1])
            assert reply.outcome is messages.Outcome.NOT_RUN
            assert reply.reason is messages.Reason.OVERLOADED
            assert 4 <= len(net.runs) == len(keys) - 1 < 40
            for key in keys[:-1]:
                repeat = await net.send(net.owner(key), key)
                assert repeat.body == net.response_body
            await asyncio.sleep(40)
            self.expire(net)
            key = once_fakes.new_key()
            assert (
                await net.send(net.owner(key), key)
            ).body == net.response_body

    async def test_removed_records_free_the_budget(self):
        async with once_fakes.running_network(window=20.0) as net:
            for _ in range(20):
                key = once_fakes.new_key()
                await net.send(net.owner(key), key)
            await asyncio.sleep(1)
            used = [node.budget.used_bytes for node in net.nodes.values()]
            assert sum(used) >= 40 * records.RECORD_OVERHEAD_BYTES
            await asyncio.sleep(60)
            self.expire(net)
            assert not any(
                node.budget.used_bytes for node in net.nodes.values()
            )


@pytest.mark.looptime
class TestTakeover:
    """The owner is lost, alone or with its copies."""

    async def lose_owner(self, net: once_fakes.FakeNetwork, key: str) -> str:
        """Kills the owner and commits the view without it."""
        owner = net.owner(key)
        net.isolate(owner)
        remaining = [host for host in net.members if host != owner]
        net.publish_view(*remaining)
        await asyncio.sleep(2)
        return owner

    async def test_owner_lost_after_the_response(self):
        """The owner answers, then dies; the caller's repeat finds another.

        The holder of the copy gives the new owner the whole answer.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            first = await net.send(net.owner(key), key)
            await asyncio.sleep(0.1)
            await self.lose_owner(net, key)
            repeat = await net.send(net.owner(key), key)
            assert repeat.body == first.body
            assert net.runs == ["run"]

    async def test_owner_lost_during_the_run(self):
        """The owner dies between `started` and the answer.

        The copy says started, its runner is gone: the repeat is told that
        the fate is unknown, at once, and the booking does not run again.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            task = asyncio.create_task(net.send(owner, key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            await self.lose_owner(net, key)
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert repeat.reason is messages.Reason.OWNER_CHANGED
            assert net.runs == ["run"]
            await asyncio.wait([task])

    async def test_owner_lost_during_the_run_with_the_copy_elsewhere(self):
        """The new owner learns of the dead run from a holder's answer.

        The holder has not heard of the view without the dead owner, so it
        says that the run goes on.  The repeat is told at once all the same
        that its fate is unknown, and does not wait for its deadline.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            while self.next_owner(net, key) == net.holder(key):
                key = once_fakes.new_key()
            task = asyncio.create_task(net.send(net.owner(key), key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            owner, successor = net.owner(key), self.next_owner(net, key)
            net.isolate(owner)
            net.publish_view(
                *(host for host in net.members if host != owner),
                recipients=[successor],
            )
            await asyncio.sleep(2)
            repeat = await net.send(successor, key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert repeat.reason is messages.Reason.OWNER_CHANGED
            assert net.runs == ["run"]
            await asyncio.wait([task])

    def next_owner(self, net: once_fakes.FakeNetwork, key: str) -> str:
        """Returns who owns the key when its owner is gone."""
        return keyslots.rank_members(net.view.members, keyslots.slot_of(key))[
            1
        ].host

    async def test_owner_lost_before_the_start(self):
        """The owner dies before it told anybody: the repeat simply runs."""
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            await self.lose_owner(net, key)
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_owner_and_holder_lost_together(self):
        """Both processes that knew the key die at once.

        Older keys get `unknown`; a key minted after the takeover runs.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            await net.send(owner, key)
            net.isolate(owner)
            net.isolate(holder)
            remaining = [
                host for host in net.members if host not in (owner, holder)
            ]
            net.publish_view(*remaining)
            await asyncio.sleep(3)
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert net.runs == ["run"]
            await asyncio.sleep(3)
            fresh_key = once_fakes.new_key()
            while keyslots.slot_of(fresh_key) != keyslots.slot_of(key):
                fresh_key = once_fakes.new_key()
            reply = await net.send(net.owner(fresh_key), fresh_key)
            assert reply.outcome is messages.Outcome.ANSWERED

    async def test_floor_survives_the_owner_that_set_it(self):
        """Owner and holder are lost, then the owner after them as well.

        The second owner knew nothing of the key and answered `unknown`; its
        holder got everything it had, so the third owner must learn from the
        holder that older keys may have run.
        """
        async with once_fakes.running_network(6) as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            await net.send(owner, key)
            net.isolate(owner)
            net.isolate(holder)
            remaining = [
                host for host in net.members if host not in (owner, holder)
            ]
            net.publish_view(*remaining)
            await asyncio.sleep(3)
            second = net.owner(key)
            net.isolate(second)
            remaining.remove(second)
            net.publish_view(*remaining)
            await asyncio.sleep(3)
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert net.runs == ["run"]

    async def test_refused_claim_keeps_the_new_owners_record(self):
        """A claim waits for admission while its slot moves to another owner.

        The new owner starts the same key and this node holds the copy.  Then
        the claim is refused here, and the new owner dies: the copy must still
        be there, or the key would run again.
        """
        async with once_fakes.running_network(3) as net:
            key = once_fakes.new_key()
            new_owner = net.owner(key)
            remaining = [host for host in net.members if host != new_owner]
            net.publish_view(*remaining)
            await asyncio.sleep(1)
            old_owner = net.owner(key)
            admitted = asyncio.Event()

            async def wait_for_admission(gate):
                await admitted.wait()
                return await net.execute(gate)

            claim = net.node(old_owner).run(net.call(key), wait_for_admission)
            claim_task = asyncio.create_task(claim)
            await asyncio.sleep(0.1)
            net.publish_view(*net.members)
            await asyncio.sleep(1)
            assert (net.owner(key), net.holder(key)) == (new_owner, old_owner)
            started = asyncio.create_task(net.send(new_owner, key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            admitted.set()
            assert (await claim_task).outcome is messages.Outcome.NOT_RUN
            net.isolate(new_owner)
            net.publish_view(*remaining)
            await asyncio.sleep(2)
            repeat = await net.send(old_owner, key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert net.runs == ["run"]
            await asyncio.wait([started])

    async def test_two_view_changes_in_a_row_lose_no_response(self):
        """Two hosts of a data centre die; the views change one by one.

        The owner of the view between never acted.  Its holder answers for
        it, so the newest owner still finds the first owner's copy and does
        not fall back to `unknown`.
        """
        async with once_fakes.running_network(6) as net:
            key = once_fakes.new_key()
            first = await net.send(net.owner(key), key)
            await asyncio.sleep(0.1)
            owner = net.owner(key)
            data_centre = net.members[owner].data_centre
            dead = [
                host
                for host, member in net.members.items()
                if member.data_centre == data_centre
            ]
            for host in dead:
                net.isolate(host)
            remaining = list(net.members)
            for host in dead:
                remaining.remove(host)
                net.publish_view(*remaining)
            await asyncio.sleep(2)
            repeat = await net.send(net.owner(key), key)
            assert repeat.body == first.body
            assert net.runs == ["run"]

    async def test_restarted_host_does_not_count_as_its_former_process(self):
        """The only owner restarts with an empty memory.

        Under its old address it answers the questions of the takeover, but
        as another process: keys from before get `unknown`.
        """
        async with once_fakes.running_network(1) as net:
            key = once_fakes.new_key()
            await net.send("h0", key)
            await net.node("h0").close()
            net.add_node("h0", 0, incarnation="2")
            net.publish_view("h0")
            await asyncio.sleep(1)
            repeat = await net.send("h0", key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert net.runs == ["run"]


@pytest.mark.looptime
class TestFrozenOwner:
    """An owner that stops for a while and does not notice."""

    async def test_holder_fenced_by_the_new_owner_refuses_the_old_one(self):
        """The old owner wakes and believes in its view and its lease.

        Nobody could tell it of the new view; the new owner asked the holder
        instead, which from then on acknowledges no start under the old view.
        So the old owner starts nothing and the booking runs once.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            remaining = [host for host in net.members if host != owner]
            for host in remaining:
                if host != holder:
                    net.cut_pair(owner, host)
            net.publish_view(
                *remaining,
                active=False,
                recipients=[host for host in remaining if host != holder],
            )
            await asyncio.sleep(1)
            late_reply = await net.send(owner, key)
            assert late_reply.reason is messages.Reason.COPY_FAILED
            net.deliver_view([holder])
            await asyncio.sleep(1)
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_old_owner_starts_nothing_after_the_takeover(self):
        """The new owner asked the old one itself, which thereby learns.

        It starts nothing more, although its lease seems fine to it.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            remaining = [host for host in net.members if host != owner]
            net.publish_view(*remaining)
            await asyncio.sleep(1)
            late_reply = await net.send(owner, key)
            assert late_reply.outcome is messages.Outcome.NOT_RUN
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_no_floor_before_the_view_is_active(self):
        """The owner is alive but cut off together with its holder.

        Nobody vouches for the slot, so the new owner waits until the view is
        active before it starts anything: until then the old owner may.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            net.isolate(owner)
            net.isolate(holder)
            remaining = [
                host for host in net.members if host not in (owner, holder)
            ]
            net.publish_view(*remaining, active=False)
            await asyncio.sleep(2)
            early_reply = await net.send(net.owner(key), key)
            assert early_reply.outcome is messages.Outcome.NOT_RUN
            net.activate(*remaining)
            await asyncio.sleep(4)
            fresh_key = once_fakes.new_key()
            while keyslots.slot_of(fresh_key) != keyslots.slot_of(key):
                fresh_key = once_fakes.new_key()
            reply = await net.send(net.owner(fresh_key), fresh_key)
            assert reply.outcome is messages.Outcome.ANSWERED

    async def test_nothing_starts_without_a_lease(self):
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            net.leases[owner].held = False
            reply = await net.send(owner, key)
            assert reply.reason is messages.Reason.NO_LEASE
            assert net.runs == []

    async def test_lease_that_ends_during_the_copy(self):
        """The lease ends while the holder's acknowledgement is on its way.

        The second check, after the wait and before the first byte, sees it.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            task = asyncio.create_task(net.send(owner, key))
            await asyncio.sleep(once_fakes.NETWORK_DELAY_SECONDS)
            net.leases[owner].held = False
            reply = await task
            assert reply.reason is messages.Reason.NO_LEASE
            assert net.runs == []


@pytest.mark.looptime
class TestHandover:
    """A node that hands its slots over."""

    async def test_new_owner_has_every_response(self):
        """A node leaves while its keys are young.

        It stays until the new owners have asked, so that a repeat gets the
        same answer from the new owner.
        """
        async with once_fakes.running_network() as net:
            keys = [once_fakes.new_key() for _ in range(40)]
            leaving_host = net.owner(keys[0])
            for key in keys:
                await net.send(net.owner(key), key)
            member = net.members[leaving_host]
            net.members[leaving_host] = dataclasses.replace(
                member, leaving=True
            )
            net.publish_view(*net.members)
            async with asyncio.timeout(5):
                await net.node(leaving_host).finish_handover()
            net.isolate(leaving_host)
            await asyncio.sleep(1)
            replies = [await net.send(net.owner(key), key) for key in keys]
            assert {reply.body for reply in replies} == {b"slip 1"}
            assert len(net.runs) == len(keys)

    async def test_run_that_outlives_the_handover_reports_its_result(self):
        """A booking still runs when its slot moves to another owner.

        The repeat waits at the new owner; the old one sends the answer there.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            leaving_host = net.owner(key)
            first = asyncio.create_task(net.send(leaving_host, key))
            await asyncio.sleep(0.02)
            member = net.members[leaving_host]
            net.members[leaving_host] = dataclasses.replace(
                member, leaving=True
            )
            net.publish_view(*net.members)
            await asyncio.sleep(0.02)
            repeat = await net.send(net.owner(key), key)
            assert (await first).body == repeat.body == b"slip 1"
            assert net.runs == ["run"]


@pytest.mark.looptime
class TestRefusedAfterNotify:
    """A start that holders were told of, and that was refused then."""

    async def refuse_after_notify(self, net, key):
        """Has the owner refuse a call while its holder is told of the start.

        The slot moves to the holder while the announcement is on its way, so
        that the gate of the former owner stays shut behind it.
        """
        owner, holder = net.owner(key), net.holder(key)
        claim = asyncio.create_task(net.send(owner, key))
        await asyncio.sleep(0)
        member = net.members[owner]
        net.members[owner] = dataclasses.replace(member, leaving=True)
        await asyncio.sleep(once_fakes.NETWORK_DELAY_SECONDS * 1.5)
        net.publish_view(*net.members)
        assert net.owner(key) == holder
        assert (await claim).outcome is messages.Outcome.NOT_RUN
        return owner, holder

    async def test_repeat_runs_at_the_new_owner(self):
        """A repeat is told `unknown`, though the call never ran.

        The holder, now the owner, was told that the former owner starts the
        call, and waits for an end that nobody will report.  The former owner
        is there and can say that it does not run it.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            _, new_owner = await self.refuse_after_notify(net, key)
            # The repeat that was waiting already is told `not_run`.
            replies = [await net.send(new_owner, key) for _ in range(2)]
            outcomes = {reply.outcome for reply in replies}
            assert messages.Outcome.UNKNOWN not in outcomes
            assert replies[-1].outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_old_owner_can_leave(self):
        """A node that leaves waits for ever, until it is killed.

        The new owner gives its copies to the holders, the leaving node among
        them: it learns of a run of its own that it never began, and waits
        for its end.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            old_owner, new_owner = await self.refuse_after_notify(net, key)
            await asyncio.sleep(0.5)
            entry = messages.OnceEntry(
                key=key,
                service=once_fakes.SERVICE,
                slot=keyslots.slot_of(key),
                state=messages.OnceState.STARTED,
                runner=old_owner,
                runner_incarnation="1",
            )
            message = messages.CopyPut(
                service=once_fakes.SERVICE,
                view_version=net.view.version,
                entries=[entry],
            )
            await net.node(old_owner).handle(message)
            async with asyncio.timeout(5):
                await net.node(old_owner).finish_handover()

    async def test_run_in_progress_is_not_repeated(self):
        """The new owner asks while the former one runs the call.

        The former owner says that it runs it: the repeat waits for that
        answer and does not run the call again.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            old_owner, new_owner = net.owner(key), net.holder(key)
            first = asyncio.create_task(net.send(old_owner, key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            member = net.members[old_owner]
            net.members[old_owner] = dataclasses.replace(member, leaving=True)
            net.publish_view(*net.members)
            repeat = await net.send(new_owner, key)
            assert (await first).body == repeat.body == b"slip 1"
            assert net.runs == ["run"]


@pytest.mark.looptime
class TestInvariant:
    """The program's own assertion."""

    async def test_invariant_is_checked_on_every_start(self):
        before = invariants.checks[invariants.Promise.AT_MOST_ONCE]
        async with once_fakes.running_network() as net:
            for _ in range(10):
                key = once_fakes.new_key()
                await net.send(net.owner(key), key)
        after = invariants.checks[invariants.Promise.AT_MOST_ONCE]
        assert after - before == 10
