"""Tests of the leader's side of leases."""

import asyncio
import contextlib

import controlfakes
import pytest

from mangobay import (
    clock,
    coalescing,
    controlmetrics,
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
    """Sends the renewals once a second until the given loop time."""
    while clock.now() < until:
        for renewal in renewals:
            await table.renew(renewal)
        await asyncio.sleep(1)


class TestFlapping:
    """Hosts that join and leave repeatedly."""

    async def test_joins_of_a_flapping_host_are_held_ever_longer(
        self, table, state, group
    ):
        """A backend server announces itself and disappears every second.

        The first joins are committed, later ones are held, longer each time,
        so that ten minutes make few log entries. The node keeps its lease, and
        once the backend server stays, the host becomes a member again.
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

    async def test_rare_restarts_are_not_held(self, table, state):
        for run in range(20):
            await table.renew(
                controlfakes.make_renewal("a", "quotes", incarnation=str(run))
            )
            (member,) = state.views["quotes"].members
            assert member.incarnation == str(run)
            await asyncio.sleep(flapping.RESET_SECONDS + 1)

    async def test_leaving_is_never_held(self, table, state):
        """A host whose next join would be held stops serving.

        Only joins are held: the host is removed from the view by the first
        renewal without the service.
        """
        for _ in range(flapping.UNDAMPED_JOINS):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await table.renew(controlfakes.make_renewal("a"))
            assert not state.views["quotes"].members


class TestGrants:
    """When a lease is granted, and the contents of the grant."""

    async def test_a_new_host_gets_its_rows_and_views(self, table, group):
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

    async def test_only_members_get_former_views(self, table, group):
        """A host of a service restarts often, and many nodes call the service.

        Only members that take over slots need the former views. For callers
        they would be most of each update. Without them the view must not
        claim that its lineage is complete.
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

    async def test_a_leader_without_quorum_grants_nothing(self, table, group):
        """A partitioned leader does not notice that it has lost its quorum.

        A node on its side renews. No quorum confirms the leader, so there is
        no reply and the node's lease ends before the other side gives its
        slots to another owner. After the partition, the reply is a refusal
        that names the new leader.
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

    async def test_a_waiting_renewal_of_an_older_term_is_refused(
        self, table, group
    ):
        """Leadership is lost and won again while a renewal waits.

        The renewal was recorded in the former term. The new term would not
        count a grant to it when it computes the end of the node's lease.
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

    async def test_only_a_relevant_change_ends_the_wait_of_a_renewal(
        self, table, group
    ):
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

    async def test_a_replaced_process_gets_no_lease(self, table, state):
        """A host restarts; a renewal of its old process arrives late.

        If it were accepted, the two processes would replace each other in the
        view with every renewal.
        """
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        await table.renew(
            controlfakes.make_renewal("a", "quotes", incarnation="2")
        )
        late_grant = await table.renew(controlfakes.make_renewal("a", "quotes"))
        assert not late_grant.granted
        assert state.members["a"].member.incarnation == "2"

    async def test_a_grant_tells_a_host_to_drain(self, table, group):
        await table.renew(controlfakes.make_renewal("a", "quotes"))
        group.append(messages.DrainChange(host="a"))
        renewal = controlfakes.make_renewal(
            "a", "quotes", hold_ms=900, acks=[("quotes", 1, True)]
        )
        assert (await table.renew(renewal)).drain


class TestLateRenewal:
    """A renewal of a dead process that arrives after those of the next one."""

    async def test_it_does_not_lock_out_the_running_process(self, table):
        """Guards against a node that the leader refuses for as long as it leads."""
        running = controlfakes.make_renewal("a", "quotes", incarnation="2")
        late = controlfakes.make_renewal("a", "quotes", incarnation="1")
        async with controlfakes.running_task(table):
            assert (await table.renew(running)).granted
            await table.renew(late)
            refused_until = clock.now() + TTL + MARGIN + 1
            await renew_until(table, refused_until, running)
            assert (await table.renew(running)).granted

    async def test_dead_process_does_not_return_while_the_next_one_renews(
        self, table
    ):
        old = controlfakes.make_renewal("a", "quotes", incarnation="1")
        new = controlfakes.make_renewal("a", "quotes", incarnation="2")
        async with controlfakes.running_task(table):
            await table.renew(old)
            await renew_until(table, 3 * (TTL + MARGIN), new)
            assert not (await table.renew(old)).granted
            assert (await table.renew(new)).granted


class TestExpiry:
    """When a host is removed because its lease has expired."""

    async def test_a_silent_host_is_removed_after_ttl_and_margin(
        self, table, state
    ):
        async with controlfakes.running_task(table):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await asyncio.sleep(TTL + MARGIN - 0.1)
            assert "a" in state.members
            await asyncio.sleep(0.6)
            assert "a" not in state.members
            assert state.views["quotes"].members == []

    async def test_a_new_leader_waits_ttl_and_margin_before_removals(
        self, table, state, group
    ):
        """The term changes 4.5 s after a host's last grant here.

        The host may have renewed at another leader just before the new term
        began. Its lease would then still be valid, so the new leader waits
        for ttl and margin from the start of its own term.
        """
        async with controlfakes.running_task(table):
            await table.renew(controlfakes.make_renewal("a", "quotes"))
            await asyncio.sleep(4.5)
            group.term = ids.Term(2)
            await asyncio.sleep(TTL + MARGIN - 0.1)
            assert "a" in state.members
            await asyncio.sleep(1)
            assert "a" not in state.members

    async def test_restarts_make_views_with_increasing_versions(
        self, table, state
    ):
        """A host restarts every half second, each time as a new process.

        Each process makes one newer view. A replaced process never returns,
        and once the host stays up the view becomes active.
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

    async def test_a_leader_removes_nobody_right_after_a_pause(
        self, table, state
    ):
        """The leader's process is paused for ten seconds.

        Renewals are unread in its sockets, and by its clock every lease has
        expired. It must count from the end of the pause instead.
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
    """When a view becomes active."""

    async def test_a_view_is_active_once_all_former_members_acknowledge_it(
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

    async def test_only_members_learn_that_a_view_is_active(self, table):
        """A second host of a service joins; the first acknowledges the view.

        The view is then active, which its members need to know before they
        give up on lost keys. Callers do not need it, so their waiting renewals
        must go on waiting.
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

    async def test_a_member_removed_two_views_ago_still_has_to_acknowledge(
        self, table, state
    ):
        """Host a stops serving and does not acknowledge it; then c joins.

        Host a is not a member of the view before the newest. It may still use
        the first view until it acknowledges a later one or its lease ends.
        Until then the newest view must not become active.
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

    async def test_a_new_leader_waits_before_a_view_becomes_active(
        self, table, state, group
    ):
        """The term changes while a view waits for acknowledgements.

        The new leader does not know which ones are missing. It waits for ttl
        and margin: by then each process with a lease has renewed with it.
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
    """On which hosts a revision is in force."""

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
    """Nodes that each keep a renewal at the leader and apply its grants.

    Attributes:
      update_bytes: bytes of all grants with changes of views.
      update_count: number of grants with changes of views.
    """

    def __init__(self, table, node_count):
        self.table = table
        self.node_count = node_count
        self.update_bytes = 0
        self.update_count = 0

    async def renew_forever(self, host):
        """Renews for one node until cancelled."""
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
            for update in grant.view_steps:
                versions[update.service] = update.steps[-1].version
            if grant.views or grant.view_steps:
                self.update_count += 1
                envelope = messages.Envelope(body=grant)
                self.update_bytes += len(messages.encode_envelope(envelope))

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs all nodes; on entry all of them have the newest view."""
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
    """Cost of a view change for the leader and the network."""

    @pytest.mark.parametrize("nodes", [20, 200, 1000])
    async def test_bytes_of_a_change_do_not_depend_on_the_node_count(
        self, table, group, nodes
    ):
        """Guards against bytes that grow with nodes times members."""
        fake_nodes = FakeNodes(table, nodes)
        async with fake_nodes.running():
            group.append(
                controlfakes.make_member_join("h0001", "quotes", slots=71)
            )
            await asyncio.sleep(0.8)
            assert fake_nodes.update_count >= nodes - 1
            assert fake_nodes.update_bytes / fake_nodes.update_count < 600

    async def test_changes_within_a_short_time_share_grants(self, table, group):
        """Guards against a grant to every node for each of many changes."""
        fake_nodes = FakeNodes(table, 200)
        async with fake_nodes.running():
            for number in range(100):
                group.append(
                    controlfakes.make_member_join(
                        f"h{number:04}", "quotes", slots=71
                    )
                )
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.8)
            assert (
                fake_nodes.update_count
                <= coalescing.MAX_GRANTS_PER_SECOND * 2.8
            )
            assert fake_nodes.update_count <= 200 * 12

    async def test_changes_for_a_node_with_keys_are_not_delayed(
        self, table, group
    ):
        """Guards against keyed calls to an owner known to be removed."""
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

    async def test_a_keyless_node_does_not_learn_that_a_view_is_active(
        self, table, group
    ):
        """Guards against a second grant to every member for each change."""
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


class TestUnreadableRoutes:
    """Hosts that cannot read the newest routes document."""

    async def test_operators_see_such_hosts(self, table, group, state):
        """A change counts as in force on hosts that cannot read it."""
        collector = controlmetrics.ControlCollector(group, state, table)
        for unreadable, count in ((True, 1), (True, 1), (False, 0)):
            renewal = controlfakes.make_renewal(
                "a", "quotes", unreadable_routes=unreadable
            )
            await table.renew(renewal)
            assert collector.gauge_values()["unreadable_routes"] == count
