"""At-most-once execution across nodes, with fake network and leases."""

import asyncio
import dataclasses

import once_fakes
import pytest

from mangobay import invariants, keyslots, records, takeover
from mangobay.generated import messages


@pytest.mark.looptime
class TestRepeats:
    """Repeats of a key without failures."""

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
        """A caller disconnects while its booking runs, then repeats it.

        The run must continue and the repeat get its response. Cancelling the
        run would make the booking's outcome unknown.
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
    """Limits on the number and memory of records."""

    def expire(self, net):
        """Removes expired records, as each node does periodically."""
        now = asyncio.get_running_loop().time()
        for node in net.nodes.values():
            node.ownership_of(once_fakes.SERVICE).registry.expire(now)

    async def test_full_memory_refuses_new_keys(self):
        """Large responses fill the memory budget while calls keep coming.

        Records of keys that ran are not removed to make room: their repeats
        get the same response, and new keys get `not_run`. New keys run again
        once the old records have expired.
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
    """The owner is lost, alone or together with its holders."""

    async def lose_owner(self, net: once_fakes.FakeNetwork, key: str) -> str:
        """Isolates the owner and commits a view without it."""
        owner = net.owner(key)
        net.isolate(owner)
        remaining = [host for host in net.members if host != owner]
        net.publish_view(*remaining)
        await asyncio.sleep(2)
        return owner

    async def test_owner_lost_after_the_response(self):
        """The owner is lost after it replied; the caller repeats the call.

        The new owner must get the response from the holder of the copy.
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
        """The owner is lost between the start and the response.

        The copy is `started` and its runner is gone: the repeat must get
        `unknown` at once, and the booking must not run again.
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
        """The new owner fetches the lost run from a holder with an old view.

        The holder does not have the view without the lost owner, so its record
        is still `started`. The repeat must get `unknown` at once and not wait
        until its deadline.
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
        """Returns the owner of the key once its current owner is gone."""
        return keyslots.rank_members(net.view.members, keyslots.slot_of(key))[
            1
        ].host

    async def test_owner_lost_before_the_start(self):
        """The owner is lost before it notified the holders: the repeat runs."""
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            await self.lose_owner(net, key)
            repeat = await net.send(net.owner(key), key)
            assert repeat.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_owner_and_holder_lost_together(self):
        """Both processes with a record of the key are lost at once.

        Older keys get `unknown`; a key created after the takeover runs.
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
        """Owner and holder are lost, then the next owner as well.

        The second owner has a floor and no record of the key. The third owner
        must get that floor from the second one's holder, or it would run the
        key again.
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

        The new owner starts the same key, and the node with the claim holds
        the copy. The claim is refused, then the new owner is lost: without the
        copy the key would run again.
        """
        async with once_fakes.running_network(3) as net:
            key = once_fakes.new_key()
            new_owner = net.owner(key)
            remaining = [host for host in net.members if host != new_owner]
            net.publish_view(*remaining)
            await asyncio.sleep(1)
            old_owner = net.owner(key)
            admitted = asyncio.Event()

            async def wait_for_admission(before_send):
                await admitted.wait()
                return await net.execute(before_send)

            claim = net.node(old_owner).run(net.call(key), wait_for_admission)
            claim_task = asyncio.create_task(claim)
            await asyncio.sleep(0.1)
            net.publish_view(*net.members)
            await asyncio.sleep(1)
            assert (net.owner(key), net.holder(key)) == (new_owner, old_owner)
            start_task = asyncio.create_task(net.send(new_owner, key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            admitted.set()
            assert (await claim_task).outcome is messages.Outcome.NOT_RUN
            net.isolate(new_owner)
            net.publish_view(*remaining)
            await asyncio.sleep(2)
            repeat = await net.send(old_owner, key)
            assert repeat.outcome is messages.Outcome.UNKNOWN
            assert net.runs == ["run"]
            await asyncio.wait([start_task])

    async def test_two_view_changes_in_a_row_lose_no_response(self):
        """Two hosts of a data centre are lost; the view changes twice.

        The owner in the view between them did nothing. Its holder replies in
        its place, so the newest owner must find the first owner's copy and not
        reply `unknown`.
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
        """The only owner restarts and loses its records.

        It replies to fetches under its old address, but as another process:
        keys from before the restart must get `unknown`.
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
    """An owner that is paused or cut off and does not notice."""

    async def test_holder_fenced_by_the_new_owner_refuses_the_old_one(self):
        """The old owner resumes with its old view and a lease that seems valid.

        It did not get the new view. The new owner fetched from the holder,
        which from then on must acknowledge no start of the old view, so the
        old owner starts nothing and the booking runs once.
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
        """The new owner fetched from the old one, which fences it.

        The old owner must start nothing more, although its lease seems valid.
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

        No reachable process knows the slot's history. The new owner must start
        nothing until the view is active, because the old owner may start calls
        until then.
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
        """The lease ends while the holder's acknowledgement is in flight.

        The second check, before the first byte, must detect it.
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
    """A leaving node hands its slots over."""

    async def test_new_owner_has_every_response(self):
        """A node leaves shortly after it ran calls.

        It must stay until the new owners have its records, so that repeats get
        the same responses from them.
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

    async def test_new_owner_knows_that_nothing_ran(self, monkeypatch):
        """Guards against `unknown` for new keys after a node has left early.

        The new owner is slow: it asks nobody before the former one has ended.
        """
        ask_members = takeover.Takeover.ask_members

        async def wait_for_departure(worker, knowledge):
            await departed.wait()
            await ask_members(worker, knowledge)

        monkeypatch.setattr(
            takeover.Takeover, "ask_members", wait_for_departure
        )
        departed = asyncio.Event()
        departed.set()
        async with once_fakes.running_network(copies=0) as net:
            departed.clear()
            key = once_fakes.new_key()
            leaving_host = net.owner(key)
            member = net.members[leaving_host]
            net.members[leaving_host] = dataclasses.replace(
                member, leaving=True
            )
            net.publish_view(*net.members)
            async with asyncio.timeout(5):
                await net.node(leaving_host).finish_handover()
            net.isolate(leaving_host)
            net.publish_view(
                *(host for host in net.members if host != leaving_host)
            )
            departed.set()
            await asyncio.sleep(3)
            reply = await net.send(net.owner(key), key)
            assert reply.outcome is messages.Outcome.ANSWERED

    async def test_run_that_outlives_the_handover_reports_its_result(self):
        """A booking still runs when its slot moves to another owner.

        The repeat waits at the new owner, to which the old one must send the
        response.
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
    """A start that is refused after its holders were notified."""

    async def refuse_after_notify(self, net, key):
        """Makes the owner refuse a call after it notified the holder.

        The slot moves to the holder while the acknowledgement is in flight, so
        the second check of the former owner refuses the start.
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
        """A repeat must not get `unknown` for a call that never ran.

        The holder, now the owner, has the call as started and would wait for a
        result that never comes. The former owner is reachable and can tell that
        it does not run the call.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            _, new_owner = await self.refuse_after_notify(net, key)
            # A repeat that already waits gets `not_run`.
            replies = [await net.send(new_owner, key) for _ in range(2)]
            outcomes = {reply.outcome for reply in replies}
            assert messages.Outcome.UNKNOWN not in outcomes
            assert replies[-1].outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_repeat_runs_though_the_old_owner_has_left(self, monkeypatch):
        """Guards against `unknown` for a call that was refused by a node that left.

        The new owner is slow: it asks nobody before the former one has ended.
        """
        ask_runners = takeover.Takeover.ask_runners

        async def wait_for_departure(worker, version):
            await departed.wait()
            return await ask_runners(worker, version)

        monkeypatch.setattr(
            takeover.Takeover, "ask_runners", wait_for_departure
        )
        departed = asyncio.Event()
        departed.set()
        async with once_fakes.running_network() as net:
            departed.clear()
            key = once_fakes.new_key()
            old_owner, new_owner = await self.refuse_after_notify(net, key)
            async with asyncio.timeout(5):
                await net.node(old_owner).finish_handover()
            net.isolate(old_owner)
            net.publish_view(
                *(each for each in net.members if each != old_owner)
            )
            departed.set()
            await asyncio.sleep(1)
            reply = await net.send(new_owner, key)
            assert reply.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]

    async def test_run_of_a_newer_member_is_no_orphan(self):
        """Guards against `unknown` for a run at a node that has just joined."""
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            entry = messages.OnceEntry(
                key=key,
                service=once_fakes.SERVICE,
                slot=keyslots.slot_of(key),
                state=messages.OnceState.STARTED,
                runner="joined",
                runner_incarnation="1",
            )
            message = messages.CopyPut(
                service=once_fakes.SERVICE,
                view_version=net.view.version + 1,
                entries=[entry],
            )
            holder = net.node(net.holder(key))
            await holder.handle(message)
            holder.update_views({once_fakes.SERVICE: net.view})
            registry = holder.ownership_of(once_fakes.SERVICE).registry
            assert registry.get(key).state is records.State.STARTED

    async def test_a_withdrawn_call_never_starts_again(self):
        """Guards against a second run after a withdrawal that arrives late."""
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner = net.owner(key)
            ownership = net.node(owner).ownership_of(once_fakes.SERVICE)
            ownership.refused_starts.withdrawn.add(key)
            reply = await net.send(owner, key)
            assert reply.outcome is messages.Outcome.NOT_RUN
            assert not net.runs

    async def test_withdrawal_names_no_other_runner(self):
        """Guards against a second run of a call that the new owner runs.

        The new owner starts the call while the former one notifies holders.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            claim = asyncio.create_task(net.send(owner, key))
            await asyncio.sleep(once_fakes.NETWORK_DELAY_SECONDS)
            entry = messages.OnceEntry(
                key=key,
                service=once_fakes.SERVICE,
                slot=keyslots.slot_of(key),
                state=messages.OnceState.STARTED,
                runner=holder,
                runner_incarnation="1",
            )
            message = messages.CopyPut(
                service=once_fakes.SERVICE,
                view_version=net.view.version + 1,
                entries=[entry],
            )
            await net.node(owner).handle(message)
            assert (await claim).outcome is not messages.Outcome.ANSWERED
            ownership = net.node(owner).ownership_of(once_fakes.SERVICE)
            (refused,) = ownership.refused_starts.by_key.values()
            assert refused.entry.runner == owner

    async def test_late_withdrawal_takes_back_no_other_run(self):
        """Guards against a second run, as a withdrawal of another start counts."""
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            claim = asyncio.create_task(net.send(owner, key))
            await asyncio.sleep(once_fakes.RUN_SECONDS / 2)
            entry = messages.OnceEntry(
                key=key,
                service=once_fakes.SERVICE,
                slot=keyslots.slot_of(key),
                state=messages.OnceState.STARTED,
                runner=owner,
                runner_incarnation="0",
            )
            message = messages.CopyPut(
                service=once_fakes.SERVICE,
                view_version=net.view.version,
                refused=[entry],
            )
            await net.node(holder).handle(message)
            registry = (
                net.node(holder).ownership_of(once_fakes.SERVICE).registry
            )
            assert registry.get(key).state is records.State.STARTED
            await claim

    async def test_old_owner_can_leave(self):
        """A leaving node must not wait forever for a call it never started.

        The new owner sends its copies to the holders, the leaving node among
        them, which thereby gets a started record of its own that it refused.
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
        """The new owner fetches while the former one runs the call.

        The former owner reports the run as started: the repeat must wait for
        its response and not run the call again.
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
    """The run-time check of the at-most-once invariant."""

    async def test_invariant_is_checked_on_every_start(self):
        before = invariants.check_counts[invariants.Invariant.AT_MOST_ONCE]
        async with once_fakes.running_network() as net:
            for _ in range(10):
                key = once_fakes.new_key()
                await net.send(net.owner(key), key)
        after = invariants.check_counts[invariants.Invariant.AT_MOST_ONCE]
        assert after - before == 10
