"""The leader's side of leases."""

import asyncio
import contextlib

import controlfakes
import pytest

from mangobay import (
    clock,
    coalescing,
    flapping,
    ids,
    leases,
    statemachine,
    views,
)
from mangobay.generated import messages

TTL = 4.0
MARGIN = 1.0

pytestmark = pytest.mark.looptime


@pytest.fixture
def state():
    return statemachine.ConfigStateMachine()


@pytest.fixture
def group(state):
    return controlfakes.FakeGroup(state)


@pytest.fixture
def table(state, group):
    return leases.LeaseTable(state, group, TTL, MARGIN)


async def renew_until(table, until, *renewals):
    """Renews for the hosts once a second until the loop time."""
    while clock.now() < until:
        for renewal in renewals:
            await table.renew(renewal)
        await asyncio.sleep(1)


class TestFlapping:
    """Backend servers that come and go."""

    async def test_a_host_that_comes_and_goes_is_kept_out_longer(
        self, table, state, group
    ):
        """A backend server announces itself and vanishes every second.

        The first joins are agreed on, then it is kept out, longer each time:
        in ten minutes it makes few entries. Its node keeps its lease all
        along, and once the backend server stays it becomes a member again.
        """
        while clock.now() < 600:
            for services in ((), ("quotes",)):
                assert (
                    await table.renew(controlfakes.make_renewal("a", *services))
                ).granted
                await asyncio.sleep(0.5)
        assert group.last_index < 60
        await renew_until(table, 800, controlfakes.make_renewal("a", "quotes"))
        assert [m.host for m in state.views["quotes"].members] == ["a"]

    async def test_a_host_that_restarts_now_and_then_is_not_kept_out(
        self, table, state
    ):
        for run in range(20):
            await table.renew(
                controlfakes.make_renewal("a", "quotes", incarnation=str(run))
            )
            (member,) = state.views["quotes"].members
            assert member.incarnation == str(run)
            await asyncio.sleep(flapping.RESET_SECONDS + 1)

    async def test_one_that_leaves_is_out_at_once(self, table, state):
        """A host that may not join again yet is told to take no more work.

        Only its joins are held back: it is out of the view with the first
        renewal that says so, whatever came before.
        """
        for _ in range(flapping.UNDAMPED_JOINS):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await table.renew(controlfakes.make_renewal("a"))
            assert not state.views["quotes"].members


class TestGrants:
    """When a lease is granted, and with what."""

    async def test_a_new_host_joins_and_gets_what_it_lacks(self, table, group):
        group.append(
            controlfakes.make_sheet_change(
                "1",
                controlfakes.make_operation("sign"),
                controlfakes.make_operation("rank", service="prices"),
            )
        )
        grant = await table.renew(controlfakes.make_renewal("a", "quotes"))
        assert grant.granted
        assert [row.name for row in grant.table.changed] == ["sign"]
        assert [view.service for view in grant.views] == ["quotes"]
        assert grant.views[0].active

    async def test_only_members_are_told_of_former_views(self, table, group):
        """A service's hosts restart all day; hundreds of nodes call it.

        The former views are for whoever takes its slots over. Told to every
        caller they would be most of each push; without them the view does
        not claim to reach back to the first one.
        """
        for run in "1234":
            group.append(
                controlfakes.make_member_join("a", "quotes", incarnation=run)
            )
        caller = controlfakes.make_renewal("b", "prices", interests=["quotes"])
        views_by_service = {
            v.service: v for v in (await table.renew(caller)).views
        }
        assert [m.host for m in views_by_service["quotes"].members] == ["a"]
        assert not views_by_service["quotes"].formers
        assert not views_by_service["quotes"].lineage_whole
        member = controlfakes.make_renewal("a", "quotes", incarnation="4")
        (view,) = (await table.renew(member)).views
        assert len(view.formers) == 3
        assert view.lineage_whole

    async def test_a_leader_that_is_cut_off_grants_nothing(self, table, group):
        """The leader is cut off silently and still believes that it leads.

        A node beside it renews. No quorum confirms, so the renewal stays
        unanswered and the node's lease runs out, before the other side
        gives its slots to another. When the cut ends, the answer is a
        refusal that names the new leader.
        """
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        group.lose_quorum()
        renewal_task = asyncio.create_task(
            table.renew(controlfakes.make_renewal("a", "quotes"))
        )
        await asyncio.sleep(60)
        assert not renewal_task.done()
        group.leading.clear()
        group.term = ids.Term(2)
        group.leader = ids.HostId("c2")
        group.has_quorum.set()
        grant = await renewal_task
        assert not grant.granted
        assert grant.leader == "c2"

    async def test_a_leader_of_another_term_drops_a_held_renewal(
        self, table, group
    ):
        """Leadership is lost and won again while a renewal is held.

        What was noted for the renewal belongs to the former term; a grant
        that the new term knows nothing of would not delay the node's end.
        """
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        renewal_task = asyncio.create_task(
            table.renew(
                controlfakes.make_renewal(
                    "a", "quotes", hold_ms=900, acks=[("quotes", 1, True)]
                )
            )
        )
        await asyncio.sleep(0.1)
        group.term = ids.Term(3)
        assert not (await renewal_task).granted

    async def test_a_change_answers_a_held_renewal_at_once(self, table, group):
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        renewal = controlfakes.make_renewal("a", "quotes", hold_ms=900)
        renewal.views = [
            messages.ViewAck(service="quotes", version=1, active=True)
        ]
        renewal_task = asyncio.create_task(table.renew(renewal))
        await asyncio.sleep(0.2)
        group.append(
            controlfakes.make_sheet_change(
                "1", controlfakes.make_operation("rank", service="prices")
            )
        )
        await asyncio.sleep(0.1)
        assert not renewal_task.done()
        group.append(
            controlfakes.make_sheet_change(
                "2", controlfakes.make_operation("sign"), base=2
            )
        )
        grant = await renewal_task
        assert clock.now() < 0.4
        assert [row.name for row in grant.table.changed] == ["sign"]
        assert (
            not table.notifier.events_by_service
            and not table.notifier.events_by_host
        )

    async def test_a_replaced_run_of_a_host_gets_nothing(self, table, state):
        """A host restarts; a renewal of its dead run arrives late.

        Taken in, it would put the dead run into the view again, and the
        living one would put it out: a new view with every renewal.
        """
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(
            controlfakes.make_renewal("a", "quotes", incarnation="2")
        )
        late = await table.renew(controlfakes.make_renewal("a", "quotes"))
        assert not late.granted
        assert state.members["a"].member.incarnation == "2"

    async def test_a_drained_host_is_told_until_it_leaves(self, table, group):
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        group.append(messages.DrainChange(host="a"))
        renewal = controlfakes.make_renewal(
            "a", "quotes", hold_ms=900, acks=[("quotes", 1, True)]
        )
        assert (await table.renew(renewal)).drain


class TestExpiry:
    """When a silent host is declared gone."""

    async def test_a_silent_host_is_gone_after_ttl_and_margin(
        self, table, state
    ):
        async with controlfakes.running_task(table):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await asyncio.sleep(TTL + MARGIN - 0.1)
            assert "a" in state.members
            await asyncio.sleep(0.6)
            assert "a" not in state.members
            assert state.views["quotes"].members == []

    async def test_a_new_leader_waits_before_it_declares_anybody_gone(
        self, table, state, group
    ):
        """The leader changes 4.5 s after a host's last grant here.

        The host may have renewed at the former leader just before the new
        term began. Its lease is then still good, so the new leader waits
        the whole ttl and margin from the start of its own term.
        """
        async with controlfakes.running_task(table):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await asyncio.sleep(4.5)
            group.term = ids.Term(2)
            await asyncio.sleep(TTL + MARGIN - 0.1)
            assert "a" in state.members
            await asyncio.sleep(1)
            assert "a" not in state.members

    async def test_a_flapping_host_gives_views_that_only_go_forward(
        self, table, state
    ):
        """A host restarts every half second, each time as a new run.

        Each run makes one newer view that follows on the one before. A run
        that was replaced never comes back, and once the host stays up the
        view becomes active.
        """
        async with controlfakes.running_task(table):
            versions = []
            for run in range(1, 9):
                await table.renew(
                    controlfakes.make_renewal(
                        "a", "quotes", incarnation=f"{run}"
                    )
                )
                versions.append(state.views["quotes"].version)
                await asyncio.sleep(0.5)
            assert versions == sorted(set(versions))
            view = state.views["quotes"]
            assert views.former_members(view)[0].incarnation == "7"
            assert "quotes" not in table.view_activity.active_services
            await renew_until(
                table,
                clock.now() + TTL + MARGIN + 1,
                controlfakes.make_renewal(
                    "a",
                    "quotes",
                    incarnation="8",
                    acks=[("quotes", view.version)],
                ),
            )
            assert "quotes" in table.view_activity.active_services
            assert "a" in state.members

    async def test_a_leader_that_stood_still_judges_nobody(self, table, state):
        """The leader's process is stopped for ten seconds and goes on.

        Renewals lie unread in its sockets, and by its clock every host was
        silent for too long. It counts from now on instead.
        """
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        stopped = clock.now()
        await asyncio.sleep(10)
        await table.check_expiry(stopped)
        assert "a" in state.members
        await asyncio.sleep(TTL + MARGIN)
        await table.check_expiry(clock.now())
        assert "a" not in state.members


class TestActivity:
    """When nobody can act by an older view any more."""

    async def test_a_view_is_active_once_each_former_member_knows_it(
        self, table, state
    ):
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(controlfakes.make_renewal("b", "quotes"))
        version = state.views["quotes"].version
        assert "quotes" not in table.view_activity.active_services
        await table.renew(
            controlfakes.make_renewal(
                "a", "quotes", acks=[("quotes", version - 1)]
            )
        )
        assert "quotes" not in table.view_activity.active_services
        grant = await table.renew(
            controlfakes.make_renewal("a", "quotes", acks=[("quotes", version)])
        )
        assert grant.views[0].active

    async def test_a_view_that_becomes_active_is_told_to_its_members_only(
        self, table
    ):
        """A second host of a service joins; the first one learns of it.

        With that the view is active, which its members need to know before
        they give up on lost keys. Hundreds of callers have no use for it:
        their held renewals stay held.
        """
        for host in "ab":
            await table.renew(controlfakes.make_renewal(host, "quotes"))
        caller = {"interests": ["prices", "quotes"]}
        grant = await table.renew(
            controlfakes.make_renewal("c", "prices", **caller)
        )
        acks = [(view.service, view.version, True) for view in grant.views]
        acks = [acks[0], acks[1][:2]]
        renewal = controlfakes.make_renewal(
            "c", "prices", acks=acks, hold_ms=900, **caller
        )
        renewal_task = asyncio.create_task(table.renew(renewal))
        await asyncio.sleep(0.1)
        grant = await table.renew(
            controlfakes.make_renewal("a", "quotes", acks=[acks[1]])
        )
        assert [view.active for view in grant.views] == [True]
        await asyncio.sleep(0.1)
        assert not renewal_task.done()
        assert not (await renewal_task).views

    async def test_one_dropped_two_views_ago_is_still_waited_for(
        self, table, state
    ):
        """Host a stops serving and is not heard of; then b and c change.

        The newest view follows on one of which a was no member, yet a may
        act by the first until it acknowledges a later view or its lease
        ends. Until then the newest view must not be called active.
        """
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(controlfakes.make_renewal("b", "quotes"))
        await table.renew(controlfakes.make_renewal("a", interests=["quotes"]))
        await table.renew(controlfakes.make_renewal("c", "quotes"))
        version = state.views["quotes"].version
        for host in ("b", "c"):
            await table.renew(
                controlfakes.make_renewal(
                    host, "quotes", acks=[("quotes", version)]
                )
            )
        assert "quotes" not in table.view_activity.active_services
        await table.renew(
            controlfakes.make_renewal(
                "a", interests=["quotes"], acks=[("quotes", version)]
            )
        )
        assert "quotes" in table.view_activity.active_services

    async def test_a_new_leader_calls_no_view_active_from_memory(
        self, table, state, group
    ):
        """The leader changes while a view waits for its former members.

        The new leader does not know who was waited for. It waits ttl and
        margin: whoever still has a lease has by then renewed with it.
        """
        async with controlfakes.running_task(table):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await table.renew(controlfakes.make_renewal("b", "quotes"))
            version = state.views["quotes"].version
            group.term = ids.Term(2)
            renewals = [
                controlfakes.make_renewal(
                    host, "quotes", acks=[("quotes", version)]
                )
                for host in ("a", "b")
            ]
            start = clock.now()
            await renew_until(table, start + TTL + MARGIN - 1, *renewals)
            assert "quotes" not in table.view_activity.active_services
            await renew_until(table, start + TTL + MARGIN + 1, *renewals)
            assert "quotes" in table.view_activity.active_services


class TestInForce:
    """Where a revision is in force."""

    async def test_stragglers_are_named(self, table, group):
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(controlfakes.make_renewal("b", "quotes"))
        entry = group.append(
            controlfakes.make_sheet_change(
                "1", controlfakes.make_operation("sign")
            )
        )
        await table.renew(
            controlfakes.make_renewal("a", "quotes", revision=entry.index)
        )
        status = await table.revision_reports.wait_until_in_force(
            entry.index, 0.5
        )
        assert (status.host_count, status.stragglers) == (2, ["b"])
        await table.renew(
            controlfakes.make_renewal("b", "quotes", revision=entry.index)
        )
        assert not table.revision_reports.rollout_status(entry.index).stragglers


class FakeNodes:
    """Nodes that keep a renewal at the leader and take what they are told.

    Attributes:
      update_bytes: of all grants that told of views.
      update_count: grants that told of views.
    """

    def __init__(self, table, node_count):
        self.table = table
        self.node_count = node_count
        self.update_bytes = 0
        self.update_count = 0

    async def renew_forever(self, host):
        """Renews for one node for ever."""
        versions = {}
        while True:
            renewal = controlfakes.make_renewal(
                host,
                "quotes",
                hold_ms=900,
                acks=versions.items(),
                every_service=True,
                keyless=True,
            )
            grant = await self.table.renew(renewal)
            versions.update(
                (view.service, view.version) for view in grant.views
            )
            for steps in grant.view_steps:
                versions[steps.service] = steps.steps[-1].version
            if grant.views or grant.view_steps:
                self.update_count += 1
                envelope = messages.Envelope(body=grant)
                self.update_bytes += len(messages.encode_envelope(envelope))

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs every node; all of them hold the newest view on entry."""
        tasks = [
            asyncio.create_task(self.renew_forever(f"h{number:04}"))
            for number in range(self.node_count)
        ]
        await asyncio.sleep(3)
        self.update_bytes = self.update_count = 0
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()


class TestLargeFleet:
    """What a change of a view costs the leader and the network."""

    @pytest.mark.parametrize("nodes", [20, 200, 1000])
    async def test_a_change_costs_a_node_the_same_in_a_fleet_of_any_size(
        self, table, group, nodes
    ):
        """Guards against bytes that grow with nodes times members."""
        fleet = FakeNodes(table, nodes)
        async with fleet.running():
            group.append(
                controlfakes.make_member_join("h0001", "quotes", slots=71)
            )
            await asyncio.sleep(0.8)
            assert fleet.update_count >= nodes - 1
            assert fleet.update_bytes / fleet.update_count < 600

    async def test_changes_of_a_short_time_are_told_together(
        self, table, group
    ):
        """Guards against an answer to every node for each of many changes."""
        fleet = FakeNodes(table, 200)
        async with fleet.running():
            for number in range(100):
                group.append(
                    controlfakes.make_member_join(
                        f"h{number:04}", "quotes", slots=71
                    )
                )
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.8)
            assert fleet.update_count <= coalescing.MAX_GRANTS_PER_SECOND * 2.8
            assert fleet.update_count <= 200 * 12

    async def test_a_node_that_owns_keys_is_told_at_once(self, table, group):
        """Guards against keyed calls to an owner that is known to be gone."""
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(controlfakes.make_renewal("b", "quotes"))
        version = group.machine.views["quotes"].version
        async with FakeNodes(table, 200).running():
            renewal = controlfakes.make_renewal(
                "b",
                "quotes",
                acks=[("quotes", group.machine.views["quotes"].version, True)],
                hold_ms=900,
            )
            renewal_task = asyncio.create_task(table.renew(renewal))
            await asyncio.sleep(0.01)
            group.append(controlfakes.make_member_gone("a"))
            changed_at = clock.now()
            await renewal_task
            assert clock.now() - changed_at < 0.01
        assert group.machine.views["quotes"].version > version

    async def test_a_keyless_node_is_not_told_that_a_view_is_active(
        self, table, group
    ):
        """Guards against a second answer to every member for each change."""
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(controlfakes.make_renewal("b", "quotes"))
        version = group.machine.views["quotes"].version
        renewal = controlfakes.make_renewal(
            "b",
            "quotes",
            acks=[("quotes", version)],
            hold_ms=900,
            keyless=True,
        )
        renewal_task = asyncio.create_task(table.renew(renewal))
        await asyncio.sleep(0.1)
        await table.renew(
            controlfakes.make_renewal("a", "quotes", acks=[("quotes", version)])
        )
        assert "quotes" in table.view_activity.active_services
        await asyncio.sleep(0.1)
        assert not renewal_task.done()
        grant = await renewal_task
        assert not grant.views
        assert not grant.view_steps
