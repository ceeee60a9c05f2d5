"""Whole processes, killed, frozen, stopped and started again."""

import asyncio
import contextlib
import itertools
import shutil
import signal

import processfakes
import uuid6

from bench import cluster, load
from mangobay import operatorclient

SLOWNESS = 200
"""Makes a booking last 4 s."""


class TestOwner:
    """At most once, when the owner of a key fails."""

    async def test_the_owner_is_killed_in_the_middle_of_a_booking(
        self, tmp_path
    ):
        """The owner's node dies by SIGKILL while its booking runs.

        The caller repeats with the same key through another node.  The copy
        says that the run began and nobody knows how it ended, so the caller
        is told `unknown`; the booking has run once.
        """
        async with processfakes.running_cluster(tmp_path) as world:
            key = str(uuid6.uuid7())
            owner = await world.find_owner(key)
            other = world.other_nodes(owner)[0]
            await world.slow_down(processfakes.SERVICE, 50)
            first = asyncio.create_task(world.book(other, key))
            await world.wait_until_running(key)
            await world.fleet.kill(owner.name)
            assert await first == load.UNKNOWN
            outcome = await world.book_until_run(other, key)
            assert outcome == load.UNKNOWN
            assert len(await world.runs_of_key(key)) == 1

    async def test_a_frozen_owner_that_wakes_runs_nothing(self, tmp_path):
        """The owner is stopped, and a booking waits in its socket.

        Its lease ends and another node runs the caller's repeat.  Then the
        owner wakes up and finds the first attempt, whose deadline has not
        passed by its own clock: it must refuse it.
        """
        async with processfakes.running_cluster(tmp_path) as world:
            key = str(uuid6.uuid7())
            owner = await world.find_owner(key)
            first_node, second_node = world.other_nodes(owner)
            await world.send_signal(owner.name, signal.SIGSTOP)
            first = asyncio.create_task(world.book(first_node, key))
            await world.wait_until_removed(owner)
            outcome = await world.book_until_run(second_node, key)
            await world.send_signal(owner.name, signal.SIGCONT)
            await first
            await world.wait_serving({owner.name})
            assert outcome == load.ANSWERED
            assert len(await world.runs_of_key(key)) == 1


class TestDataCentre:
    """A whole data centre stands still and comes back."""

    async def test_it_is_frozen_under_load_and_wakes(self, tmp_path):
        """Node, backend server and control host of one place stop at once.

        Callers of the other places are refused or left without an answer for
        the keys that it owned, until its lease has ended; then all is served.
        When it wakes, the requests that waited in its sockets run nothing
        that ran meanwhile, and it joins again.
        """
        async with processfakes.running_cluster(tmp_path) as world:
            place = world.layout.nodes[0].data_centre
            lost = [
                host
                for host in (*world.layout.nodes, *world.layout.controls)
                if host.data_centre == place
            ]
            names = [host.name for host in lost]
            names.append(cluster.backend_name(world.layout.nodes[0]))
            rest = world.layout.nodes[1:]
            async with processfakes.under_load(world, rest) as load_:
                await calls_made(load_, 20)
                for name in names:
                    await world.send_signal(name, signal.SIGSTOP)
                await world.wait_until_removed(world.layout.nodes[0])
                await calls_made(load_, 40)
                outcome = await world.book_until_run(
                    rest[0], str(uuid6.uuid7())
                )
                assert outcome == load.ANSWERED
                for name in names:
                    await world.send_signal(name, signal.SIGCONT)
                await world.wait_serving({world.layout.nodes[0].name})
                await calls_made(load_, 20)
            await world.check_outcomes(load_)


class TestControl:
    """The control group, when its hosts fail."""

    async def test_the_leader_is_killed(self, tmp_path):
        """The leader dies just after a change was accepted.

        The next change is accepted by another leader within the client's
        patience, and both are in the history.
        """
        async with processfakes.process_cluster(tmp_path) as world:
            await start_controls(world)
            await apply_number(world, 1)
            leader = await world.leader()
            await world.fleet.kill(leader.name)
            await apply_number(world, 2)
            assert (await world.leader()).name != leader.name
            assert await world.sheet_versions() == ["1", "2"]

    async def test_a_frozen_leader_that_wakes_tells_no_old_state(
        self, tmp_path
    ):
        """The leader is stopped, the others elect one and accept a change.

        A status asked of the stopped host waits in its socket and is read
        when it wakes, while it still believes that it leads.  It must not
        tell the old revision: the operator hears the new one, or an error.
        """
        async with processfakes.process_cluster(tmp_path) as world:
            await start_controls(world)
            await apply_number(world, 1)
            leader = await world.leader()
            await world.send_signal(leader.name, signal.SIGSTOP)
            async with asyncio.timeout(processfakes.WAIT_SECONDS):
                asked = asyncio.create_task(status_of(world, leader))
                await asyncio.sleep(0)
                accepted = await apply_number(world, 2)
                await world.send_signal(leader.name, signal.SIGCONT)
                assert await asked != 200
                status = await world.client.status()
            assert status.revision == accepted.revision
            assert status.leader != leader.name

    async def test_a_restart_after_hundreds_of_changes(self, tmp_path):
        """Three hundred changes pile up and every control host is killed.

        They come back with the newest configuration and the whole history,
        and take the next change.
        """
        changes = 300
        async with processfakes.process_cluster(
            tmp_path, {"group": {"snapshot_entries": 100}}
        ) as world:
            await start_controls(world)
            for number in range(1, changes + 1):
                newest = await apply_number(world, number)
            for host in world.layout.controls:
                await world.fleet.kill(host.name)
            await start_controls(world)
            status = await world.client.status()
            assert status.revision == newest.revision
            assert (await world.sheet_versions())[-1] == str(changes)
            repeated = await apply_number(world, changes)
            assert repeated.repeated
            following = await apply_number(world, changes + 1)
            assert following.revision > newest.revision

    async def test_the_disk_of_a_host_is_emptied_and_another_is_lost(
        self, tmp_path
    ):
        """A control host comes back with an empty disk and `join = yes`.

        Once it is voted in again a second host is lost for good.  The two
        that are left, one of them repaired a moment ago, hold every accepted
        change and take the next one.
        """
        async with processfakes.process_cluster(tmp_path) as world:
            await start_controls(world)
            accepted = await apply_number(world, 1)
            repaired, lost, _ = world.layout.controls
            await world.fleet.kill(repaired.name)
            shutil.rmtree(repaired.settings.with_suffix(".data"))
            world.rewrite_control(repaired, {"group": {"join": "yes"}})
            await world.start_control(repaired)
            await world.wait_until_voter(repaired)
            await world.fleet.kill(lost.name)
            status = await world.client.status()
            assert status.revision == accepted.revision
            following = await apply_number(world, 2)
            assert following.revision > accepted.revision


class TestLeaving:
    """Planned stops."""

    async def test_nodes_leave_under_load(self, tmp_path):
        """One node gets SIGTERM, then another is drained, under load.

        Nothing in flight is cut, nothing new reaches their backend servers
        after two seconds, and both end with 0; callers that they refuse are
        told `not_run` and repeat elsewhere.
        """
        async with processfakes.running_cluster(tmp_path) as world:
            stopped, drained, _ = world.layout.nodes
            async with processfakes.under_load(
                world, world.layout.nodes
            ) as load_:
                await calls_made(load_, 40)
                assert await world.fleet.stop(stopped.name) == 0
                load_.targets.remove(stopped.outside)
                await world.check_no_new_work(stopped)
                await world.client.drain(drained.name)
                async with asyncio.timeout(processfakes.WAIT_SECONDS):
                    assert await world.wait_for_exit(drained.name) == 0
                load_.targets.remove(drained.outside)
                await world.check_no_new_work(drained)
            await world.check_all_answered(load_)

    async def test_everything_is_restarted_in_turn_under_load(self, tmp_path):
        """Each node and each control host is stopped and started again.

        Bookings may be refused `not_run` meanwhile and are repeated; in the
        end each is answered, none ran twice and none was cut.
        """
        async with processfakes.running_cluster(tmp_path) as world:
            async with processfakes.under_load(
                world, world.layout.nodes
            ) as load_:
                for host in world.layout.nodes:
                    load_.targets.remove(host.outside)
                    assert await world.fleet.stop(host.name) == 0
                    await world.start_node(host)
                    await world.wait_serving({host.name})
                    load_.targets.append(host.outside)
                for host in world.layout.controls:
                    assert await world.fleet.stop(host.name) == 0
                    await world.start_control(host)
                    await world.client.status()
            await world.check_all_answered(load_)

    async def test_signals_in_series_cut_nothing_under_load(self, tmp_path):
        """A signal that comes while a node leaves cuts what it carries."""
        async with processfakes.running_cluster(tmp_path) as world:
            async with processfakes.under_load(
                world, world.layout.nodes
            ) as load_:
                await calls_made(load_, 40)
                for host in world.layout.nodes[:2]:
                    await world.send_signal(host.name, signal.SIGHUP)
                    await calls_made(load_, 40)
                    await world.client.drain(host.name)
                    process = world.fleet.started[host.name].process
                    ending = asyncio.create_task(world.wait_for_exit(host.name))
                    await self.signal_until(process, ending)
                    assert await ending == 0
                    load_.targets.remove(host.outside)
                    await world.check_no_new_work(host)
            await world.check_all_answered(load_)

    async def signal_until(self, process, ending):
        """Sends SIGTERM and SIGHUP in turn until a process has ended."""
        for number in itertools.cycle((signal.SIGTERM, signal.SIGHUP)):
            await asyncio.wait({ending}, timeout=0.02)
            if ending.done():
                return
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    async def test_a_second_sigterm_waits_for_what_is_in_flight(self, tmp_path):
        """A manager's second SIGTERM cuts what the first one waits for."""
        async with processfakes.running_cluster(tmp_path) as world:
            owner, booking = await self.start_slow_booking(world)
            await world.send_signal(owner.name, signal.SIGTERM)
            await world.wait_until_leaving(owner)
            for _ in range(2):
                await world.send_signal(owner.name, signal.SIGTERM)
                await asyncio.sleep(processfakes.POLL_SECONDS)
            async with asyncio.timeout(processfakes.WAIT_SECONDS):
                assert await booking == load.ANSWERED
                assert await world.wait_for_exit(owner.name) == 0
            log = owner.settings.with_suffix(".log").read_text()
            assert '"operations_running_here"' not in log
            assert log.count("told to stop again") >= 1

    async def test_a_drain_and_then_sigterm_cuts_nothing(self, tmp_path):
        """A manager stops the process while it drains, and cuts its work."""
        async with processfakes.running_cluster(tmp_path) as world:
            owner, booking = await self.start_slow_booking(world)
            await world.client.drain(owner.name)
            await world.wait_until_leaving(owner)
            await world.send_signal(owner.name, signal.SIGTERM)
            async with asyncio.timeout(processfakes.WAIT_SECONDS):
                assert await booking == load.ANSWERED
                assert await world.wait_for_exit(owner.name) == 0

    async def test_sigint_while_leaving_cuts_and_says_what(self, tmp_path):
        """A cut is not logged, or its caller is told that nothing ran."""
        async with processfakes.running_cluster(tmp_path) as world:
            owner, booking = await self.start_slow_booking(world)
            await world.send_signal(owner.name, signal.SIGTERM)
            await world.wait_until_leaving(owner)
            await world.send_signal(owner.name, signal.SIGINT)
            async with asyncio.timeout(processfakes.WAIT_SECONDS):
                assert await world.wait_for_exit(owner.name) == 1
            log = owner.settings.with_suffix(".log").read_text()
            assert '"operations_running_here":["book"]' in log
            assert await booking == load.UNKNOWN

    async def start_slow_booking(self, world):
        """Starts a slow booking; returns the host that runs it and a task."""
        key = str(uuid6.uuid7())
        owner = await world.find_owner(key)
        await world.slow_down(processfakes.SERVICE, SLOWNESS)
        caller = world.other_nodes(owner)[0]
        booking = asyncio.create_task(world.book(caller, key))
        await world.wait_until_running(key)
        return owner, booking

    async def test_a_node_without_control_ends_at_once(self, tmp_path):
        """Every control host is gone, then a node is told to stop.

        Nobody can take over the keys that it owns.  It must not wait out
        its grace of 30 s for that, and says so in its log.
        """
        async with processfakes.running_cluster(tmp_path) as world:
            host = world.layout.nodes[0]
            await world.book_until_run(host, str(uuid6.uuid7()))
            for control in world.layout.controls:
                await world.fleet.kill(control.name)
            assert await world.fleet.stop(host.name) == 0
            log = host.settings.with_suffix(".log").read_text()
            assert '"keys_handed_over":false' in log


async def calls_made(running: load.Load, number: int) -> None:
    """Returns once that many calls have started."""
    wanted = len(running.calls) + number
    while len(running.calls) < wanted:
        await asyncio.sleep(0.05)


async def start_controls(world):
    """Starts the control hosts and waits for a leader."""
    await cluster.all_of(
        world.start_control(host) for host in world.layout.controls
    )
    await world.client.status()


async def apply_number(world, number) -> operatorclient.ApplyResult:
    """Applies a sheet whose deadline is the version's number."""
    data = world.plan.sheet.read_bytes().replace(b"6000", b"%d" % number)
    return await world.client.apply(data, str(number), "ana")


async def status_of(world, host) -> int:
    """Asks one control host alone for its status; returns the HTTP status."""
    url = f"http://{host.operator}/v1/status"
    async with world.session.get(url) as response:
        return response.status
