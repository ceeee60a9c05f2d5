"""Tests of the node's client of the control group."""

import asyncio
import dataclasses
import random

import controlfakes
import pytest
import routingfakes

from mangobay import (
    clock,
    controlclient,
    errors,
    ids,
    interests,
    invariants,
    leases,
    logs,
    options,
    statemachine,
)
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

FIRST = options.Address("127.0.0.1", 1)
SECOND = options.Address("127.0.0.1", 2)
STABLE_SECONDS = 3.0
"""Time after a fault within which nodes must be up to date again."""
CONFIG = routingfakes.section(
    "control", hosts=(FIRST, SECOND), renew_interval=1.0, patience=0.5
)


def make_client(transport, config=CONFIG):
    return controlclient.ControlClient(
        config,
        controlclient.NodeIdentity(
            host=ids.HostId("a"),
            incarnation=ids.Incarnation("1"),
            data_centre=ids.DataCentre("lima"),
            peer_address=options.Address("127.0.0.1", 7),
        ),
        transport,
        random.Random(5),
    )


@pytest.fixture
def group():
    return controlfakes.FakeGroup(statemachine.ConfigStateMachine())


@pytest.fixture
def transport(group):
    table = leases.LeaseTable(group.machine, group, 4.0, 1.0)
    return controlfakes.FakeTransport({FIRST: table})


@pytest.fixture
def client(transport):
    return make_client(transport)


class TestDocumentLease:
    """How long requests with keys are accepted without the control group."""

    MAX_STALENESS = 5.0

    @pytest.fixture
    def client(self, transport):
        config = dataclasses.replace(CONFIG, max_staleness=self.MAX_STALENESS)
        client = make_client(transport, config)
        client.document_lease.read_boot_time = clock.now
        return client

    async def test_held_renewal_leaves_nearly_the_whole_time(
        self, client, transport
    ):
        """A node that was cut off a moment ago refuses all of its callers."""
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(20)
            for _ in range(50):
                await asyncio.sleep(0.1)
                confirmed_at = client.document_lease.confirmed_at
                age = clock.now() - confirmed_at
                assert age < CONFIG.renew_interval + 0.2
            transport.lease_tables.clear()
            await asyncio.sleep(0.6 * self.MAX_STALENESS)
            assert client.document_lease.is_valid()
            await asyncio.sleep(
                0.4 * self.MAX_STALENESS + CONFIG.renew_interval
            )
            assert not client.document_lease.is_valid()

    async def test_leader_without_quorum_confirms_nothing(self, client, group):
        """It does not know that a key was taken away by the next leader."""
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(3)
            group.lose_quorum()
            await asyncio.sleep(self.MAX_STALENESS)
            assert not client.document_lease.is_valid()

    async def test_slow_reply_confirms_what_was_known_when_it_was_asked(
        self, client, transport
    ):
        """A key that was taken away while the reply travelled is accepted."""
        table = transport.lease_tables[FIRST]
        renew = table.renew

        async def renew_slowly(renewal):
            grant = await renew(renewal)
            await asyncio.sleep(0.3)
            return grant

        table.renew = renew_slowly
        async with controlfakes.running_task(client):
            await asyncio.sleep(5)
            for _ in range(40):
                await asyncio.sleep(0.05)
                replied_at = clock.now()
                assert client.document_lease.confirmed_at <= replied_at - 0.3


class TestRenewal:
    """How the lease, the table and the views are kept."""

    async def test_change_takes_effect_before_the_next_renewal(
        self, client, group
    ):
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(1.5)
            assert client.lease.is_valid()
            entry = group.append(
                controlfakes.make_sheet_change(
                    "1", controlfakes.make_operation("sign")
                )
            )
            await asyncio.sleep(0.1)
            assert client.tables.value.revision == entry.index
            assert client.views.value["quotes"].active

    async def test_unexpected_exception_does_not_end_the_renewals(
        self, client, transport
    ):
        """A renewal that cannot be encoded ends the task that renews."""
        send_request = transport.send_request
        failures = iter([ValueError("out of range"), OverflowError()])

        async def fail_twice(*arguments):
            for error in failures:
                raise error
            return await send_request(*arguments)

        transport.send_request = fail_twice
        async with controlfakes.running_task(client):
            await asyncio.sleep(2)
            assert client.lease.is_valid()

    async def test_idle_node_renews_at_the_interval(self, client, transport):
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(20)
            assert 18 <= len(transport.requests) <= 30

    async def test_last_table_stays_without_control_hosts(
        self, client, group, transport
    ):
        """Every control host becomes unreachable.

        The lease expires ttl after the last renewal was sent.  The table and
        the views stay in use, so that idempotent calls are still routed.
        """
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            entry = group.append(
                controlfakes.make_sheet_change(
                    "1", controlfakes.make_operation("sign")
                )
            )
            await asyncio.sleep(1)
            lease_tables = dict(transport.lease_tables)
            transport.lease_tables.clear()
            await asyncio.sleep(10)
            assert not client.lease.is_valid()
            assert client.tables.value.revision == entry.index
            assert "quotes" in client.views.value
            transport.lease_tables.update(lease_tables)
            await asyncio.sleep(3)
            assert client.lease.is_valid()

    async def test_renewal_is_repeated_after_lost_replies(
        self, client, group, transport
    ):
        """Replies to the node are lost.

        The node times out and renews again with the revision that it has, so
        it gets the rows again.  Lost replies extend no lease.
        """
        async with controlfakes.running_task(client):
            transport.loses_replies = True
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            entry = group.append(
                controlfakes.make_sheet_change(
                    "1", controlfakes.make_operation("sign")
                )
            )
            await asyncio.sleep(2)
            assert not client.lease.is_valid()
            transport.loses_replies = False
            await asyncio.sleep(2)
            assert client.tables.value.revision == entry.index

    async def test_two_unresponsive_control_hosts_delay_no_change(
        self, group, transport
    ):
        """Guards against a node that keeps an old table for seconds."""
        third = options.Address("127.0.0.1", 3)
        hosts = (FIRST, SECOND, third)
        lease_table = transport.lease_tables[FIRST]
        transport.lease_tables.update(dict.fromkeys(hosts, lease_table))
        unresponsive = set()
        send_request = transport.send_request

        async def send_unless_unresponsive(address, body, timeout):
            loop = asyncio.get_running_loop()
            deadline = loop.time() + timeout
            reply = await send_request(address, body, timeout)
            if address in unresponsive:
                await asyncio.sleep(deadline - loop.time())
                raise TimeoutError
            return reply

        transport.send_request = send_unless_unresponsive
        config = routingfakes.section(
            "control", hosts=hosts, renew_interval=1.0, patience=0.5
        )
        client = make_client(transport, config)
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(1.5)
            unresponsive.add(client.current_address)
            unresponsive.add(hosts[hosts.index(client.current_address) - 2])
            entry = group.append(
                controlfakes.make_sheet_change(
                    "1", controlfakes.make_operation("sign")
                )
            )
            await asyncio.sleep(STABLE_SECONDS)
            assert client.tables.value.revision == entry.index

    async def test_leader_slower_than_the_timeout_still_grants(
        self, client, group, transport, monkeypatch
    ):
        """After a restart of the whole system, each reply takes 1.5 s.

        With a fixed timeout of 0.5 s, no renewal would ever get a reply,
        although the leader works all the time.  The node waits longer after
        each timeout, and gets its table and a lease, of which a part has
        passed by then.
        """
        renew = transport.lease_tables[FIRST].renew

        async def renew_slowly(body):
            await asyncio.sleep(1.5)
            return await renew(body)

        monkeypatch.setattr(
            transport.lease_tables[FIRST], "renew", renew_slowly
        )
        entry = group.append(
            controlfakes.make_sheet_change(
                "1", controlfakes.make_operation("sign")
            )
        )
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            valid_count = 0
            for _ in range(100):
                await asyncio.sleep(0.2)
                valid_count += client.lease.is_valid()
            assert client.tables.value.revision == entry.index
            assert valid_count > 50

    async def test_client_switches_to_the_leader_a_follower_names(
        self, group, transport
    ):
        follower = controlfakes.FakeGroup(statemachine.ConfigStateMachine())
        follower.leading.clear()
        follower.leader_address = str(FIRST)
        transport.lease_tables[SECOND] = leases.LeaseTable(
            follower.machine, follower, 4.0, 1.0
        )
        client = make_client(transport)
        client.search.leader = SECOND
        assert not await client.renew_once()
        assert client.current_address == FIRST
        assert await client.renew_once()

    async def test_grant_of_a_lagging_host_is_ignored(
        self, client, group, transport
    ):
        """A control host that missed a change grants a lease with an old table.

        The node has revision 1 and is sent revision 0.  It uses neither the
        table nor the lease, and switches to another host.
        """
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            entry = group.append(
                controlfakes.make_sheet_change(
                    "1", controlfakes.make_operation("sign")
                )
            )
            await asyncio.sleep(1)
            lagging = controlfakes.FakeGroup(statemachine.ConfigStateMachine())
            lagging.last_index = 50
            transport.lease_tables = {
                SECOND: leases.LeaseTable(lagging.machine, lagging, 4.0, 1.0)
            }
            violations = invariants.violation_counts.total()
            await asyncio.sleep(10)
            assert not client.lease.is_valid()
            assert client.tables.value.revision == entry.index
            assert client.views.value["quotes"].version < 50
            assert invariants.violation_counts.total() == violations


class TestLog:
    """What the log tells of a node that gets no grant."""

    @pytest.fixture
    def events(self, monkeypatch):
        """Returns the logged events, a list that grows."""
        events = []

        def record_event(component, event, **facts):
            del component
            events.append((event, facts))

        monkeypatch.setattr(logs, "log_event", record_event)
        return events

    async def test_gap_and_its_causes_are_logged(
        self, client, transport, events
    ):
        """Guards against a node that lags for reasons that nobody can tell."""
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(2)
            lease_tables = dict(transport.lease_tables)
            transport.lease_tables.clear()
            await asyncio.sleep(5)
            transport.lease_tables.update(lease_tables)
            await asyncio.sleep(2)
        failed = [facts for event, facts in events if event == "renewal failed"]
        assert {facts["control"] for facts in failed} == {
            str(FIRST),
            str(SECOND),
        }
        assert all(facts["why"] for facts in failed)
        (late,) = [facts for event, facts in events if event == "granted late"]
        assert 4000 < late["gap_ms"] < 7000
        assert late["failures"] == len(failed) - failed_before_start(events)


def failed_before_start(events):
    """Returns how many renewals failed before the first grant."""
    names = [event for event, _ in events]
    return names[: names.index("regained")].count("renewal failed")


class TestInterest:
    """Services that a node fetches when a call needs them."""

    async def test_fetched_services_are_in_the_table(self, client, group):
        async with controlfakes.running_task(client):
            group.append(
                controlfakes.make_sheet_change(
                    "1",
                    controlfakes.make_operation("sign"),
                    controlfakes.make_operation("rank", service="prices"),
                )
            )
            await client.fetch_service("quotes")
            await client.fetch_service("prices")
            names = [row.name for row in client.tables.value.operations()]
            assert sorted(names) == ["rank", "sign"]
            assert client.tables.value.revision == 1

    async def test_unknown_services_are_not_followed(self, client, transport):
        """An outside client requests a thousand services that do not exist.

        As interests they would fill every renewal and the leader's memory.
        Each is fetched once, then dropped and remembered for a short time.
        """
        async with controlfakes.running_task(client):
            for number in range(1100):
                await client.fetch_service(f"none-{number}")
            assert not client.interests.wanted
            assert (
                len(client.interests.unknown_until)
                <= interests.MAX_UNKNOWN_SERVICES
            )
            request_count = len(transport.requests)
            await client.fetch_service("none-1099")
            assert len(transport.requests) == request_count

    async def test_unused_service_is_no_longer_followed(
        self, client, group, transport
    ):
        """A service was called once, long ago, and its rows change later.

        Followed forever, each such service would enlarge every renewal and
        reply.  It is dropped with its rows and view, and the next call uses
        the rows in force at that time.  Services that are served or used stay.
        """
        first = controlfakes.make_operation("rank", service="prices", tries=1)
        later = controlfakes.make_operation("rank", service="prices", tries=2)
        other = controlfakes.make_operation("list", service="stock")
        group.append(controlfakes.make_member_join("b", "prices"))
        entry = group.append(controlfakes.make_sheet_change("1", first, other))
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await client.fetch_service("prices")
            for _ in range(10):
                await client.fetch_service("stock")
                await asyncio.sleep(interests.IDLE_SECONDS / 4)
            assert client.interests.known == {"quotes", "stock"}
            assert "prices" not in client.views.value
            assert "prices" not in client.tables.value.services
            assert "prices" not in transport.requests[-1][2].interests
            group.append(
                controlfakes.make_sheet_change("2", later, base=entry.index)
            )
            await client.fetch_service("prices")
            operation = client.tables.value.services["prices"].operations[
                "rank"
            ]
            assert operation.tries == 2
            assert "prices" in client.views.value

    async def test_flood_of_new_names_does_not_end_the_lease(
        self, client, transport
    ):
        """Outside clients request a new service every millisecond.

        Each cancels a renewal that the leader holds.  If the following renewal
        could be cancelled too, none would ever get a reply and the lease would
        expire; so renewals that are not held are not cancelled.
        """
        async with controlfakes.running_task(client):
            await asyncio.sleep(1)
            fetch_tasks = []
            for number in range(6000):
                fetch_tasks.append(
                    asyncio.create_task(client.fetch_service(f"none-{number}"))
                )
                await asyncio.sleep(0.001)
            assert client.lease.is_valid()
            await asyncio.gather(*fetch_tasks, return_exceptions=True)

    async def test_fetch_fails_without_control_hosts(self, client, transport):
        async with controlfakes.running_task(client):
            transport.lease_tables.clear()
            with pytest.raises(errors.ControlUnavailableError):
                await client.fetch_service("quotes")


class TestViewSteps:
    """Views that a node receives as differences."""

    @pytest.mark.parametrize("keyless", [True, False])
    async def test_view_steps_yield_the_newest_views(
        self, client, group, transport, keyless
    ):
        """Guards against a view that differs from the control group's."""
        rng = random.Random(11)
        client.keyless = keyless
        grants = []
        renew = transport.lease_tables[FIRST].renew

        async def renew_and_record(renewal):
            grant = await renew(renewal)
            grants.append(grant)
            return grant

        transport.lease_tables[FIRST].renew = renew_and_record
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(1)
            for run in range(200):
                host = f"h{rng.randrange(20)}"
                member = controlfakes.make_member_join(
                    host, "quotes", incarnation=str(run)
                )
                if rng.random() < 0.3 and host in group.machine.members:
                    record = group.machine.members[host]
                    member = messages.MemberChange(
                        member=record.member, gone=True
                    )
                group.append(member)
                await asyncio.sleep(rng.choice((0.0, 0.0, 0.01, 0.3)))
            await asyncio.sleep(1)
            current = client.views.value["quotes"]
            newest = group.machine.views["quotes"]
            assert current.version == newest.version
            assert current.members == newest.members
            formers = [] if keyless else newest.formers
            assert current.formers == formers
            assert current.lineage_whole == (
                newest.lineage_whole and not keyless
            )
            steps = [item for grant in grants for item in grant.view_steps]
            assert len(steps) > 20

    async def test_steps_from_another_version_are_ignored(self, client, group):
        """Guards against a late reply that applies steps to the wrong view."""
        async with controlfakes.running_task(client):
            client.serves = [messages.ServedService(name="quotes", slots=70)]
            await asyncio.sleep(1)
            view_before = client.views.value["quotes"]
            step = messages.ViewStep(
                version=99, member=messages.Member(host="z")
            )
            late_steps = messages.ViewSteps(
                service="quotes", base=view_before.version + 1, steps=[step]
            )
            client.apply_views([], [late_steps])
            assert client.views.value["quotes"] == view_before
