"""Tests of picking a host for a call."""

import asyncio
import collections
import dataclasses
import random

import pytest
import routingfakes as fakes

from mangobay import hosts, ids, routing
from mangobay.generated import messages

NORMAL = messages.Importance.NORMAL


def make_router(*members: messages.Member, **changes) -> routing.Router:
    """Returns a router of a node in the local data centre with these hosts."""
    router = routing.Router(
        fakes.section("routing", **changes),
        fakes.section("admission"),
        fakes.LOCAL_DATA_CENTRE,
        random.Random(fakes.SEED),
    )
    router.update_views(fakes.view(1, *members))
    return router


def pick(router: routing.Router, **options) -> ids.HostId:
    """Picks a host for a normal call."""
    return router.pick(fakes.QUOTES, set(), NORMAL, 1, **options).host


def complete_call(
    router: routing.Router, host: ids.HostId, observation
) -> None:
    """Starts a call to the host and ends it with this observation."""
    router.record_call_start(fakes.QUOTES, host)
    router.record_call_end(fakes.QUOTES, host, observation)


def refusal(threshold: int) -> routing.Observation:
    """Returns a refusal with this threshold."""
    return routing.Observation(
        outcome=messages.Outcome.NOT_RUN,
        reason=messages.Reason.OVERLOADED,
        threshold=threshold,
    )


def response_with_load(inflight: int, status: int = 200) -> routing.Observation:
    """Returns a response of a host with a limit of 20 and this many calls."""
    return routing.Observation(
        outcome=messages.Outcome.ANSWERED,
        inflight=inflight,
        limit=20,
        status=status,
    )


@pytest.mark.looptime
class TestSpillover:
    """Conditions under which a call goes to another data centre."""

    def make(self):
        return make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )

    async def test_spills_over_if_calls_queue_at_the_local_host(self):
        """Callers of one data centre wait while hosts of another are idle.

        The local host has more calls than its limit, the remote host few.
        """
        router = self.make()
        complete_call(router, ids.HostId("a"), response_with_load(30))
        complete_call(router, ids.HostId("b"), response_with_load(6))
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_stays_local_if_the_remote_host_is_as_full(self):
        router = self.make()
        complete_call(router, ids.HostId("a"), response_with_load(19))
        complete_call(router, ids.HostId("b"), response_with_load(18))
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_local_host_is_tried_again(self):
        router = self.make()
        complete_call(router, ids.HostId("a"), response_with_load(30))
        complete_call(router, ids.HostId("b"), response_with_load(6))
        await asyncio.sleep(2)
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_spills_over_if_the_local_host_fails_some_calls(self):
        """The local backend server fails one call in five but is healthy.

        Its callers would get errors while those of the other data centre get
        none.  The local host is tried again after a few seconds.
        """
        router = self.make()
        for number in range(90):
            status = 500 if number % 5 == 0 else 200
            complete_call(
                router, ids.HostId("a"), response_with_load(2, status)
            )
        assert {pick(router) for _ in range(50)} == {"b"}
        await asyncio.sleep(10)
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_stays_local_if_every_host_fails(self):
        router = self.make()
        for host in ("a", "b") * 40:
            complete_call(router, ids.HostId(host), response_with_load(2, 500))
        assert {pick(router) for _ in range(50)} == {"a"}


@pytest.mark.looptime
class TestSlowHost:
    """A backend server that became slow and is not full."""

    async def test_calls_move_to_a_host_that_responds_in_time(self):
        """Callers of one data centre get every response too late.

        The local host is slow but has so few calls that none waits, so its
        load does not divert them.  The remote host responds in time.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        late = [self.call(router, slow="a") for _ in range(300)]
        assert late[:5] == [True] * 5
        assert sum(late[100:]) < 60

    async def test_slow_host_is_detected_with_few_calls(self):
        """A node with two calls per second stays with a slow host forever.

        The failure rate added by each late response decays before the next
        response arrives.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        late = []
        for number in range(60):
            slow = "a" if number % 2 else "none"
            late.append(self.call(router, slow=slow))
            await asyncio.sleep(0.5)
        assert sum(late[20:]) <= 12

    async def test_stays_local_if_every_host_is_slow(self):
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        hosts = []
        for _ in range(300):
            hosts.append(pick(router))
            complete_call(router, hosts[-1], self.make_observation(late=True))
        assert hosts.count("a") > 240

    def call(self, router, slow):
        """Completes a call; returns whether its response is late."""
        host = pick(router)
        complete_call(router, host, self.make_observation(late=host == slow))
        return host == slow

    def make_observation(self, late):
        """Returns a response of a host that is half full."""
        return routing.Observation(
            outcome=messages.Outcome.ANSWERED,
            status=200,
            inflight=10,
            limit=20,
            late=late,
        )


@pytest.mark.looptime
class TestPick:
    """Choice between usable hosts."""

    async def test_prefers_the_local_data_centre(self):
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_spills_over_if_the_local_host_refuses(self):
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        complete_call(router, ids.HostId("a"), refusal(2 * 256))
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_spills_over_while_the_backend_server_sheds(self):
        """The local backend server sheds calls without reporting a threshold.

        Calls go to the other data centre.  After a time without replies, the
        local host is tried again.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        shed = routing.Observation(
            outcome=messages.Outcome.NOT_RUN,
            reason=messages.Reason.BACKEND_SHED,
        )
        for _ in range(20):
            complete_call(router, ids.HostId("a"), shed)
        assert {pick(router) for _ in range(50)} == {"b"}
        await asyncio.sleep(1)
        assert pick(router) == "a"

    async def test_outstanding_calls_are_balanced(self):
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        sent = collections.Counter()
        for _ in range(90):
            host = pick(router)
            router.record_call_start(fakes.QUOTES, host)
            sent[host] += 1
        assert max(sent.values()) - min(sent.values()) <= 6

    async def test_leaving_host_receives_no_calls(self):
        """A host replies that it is leaving before the view says so.

        Calls sent to it until the view is updated would be refused.
        """
        router = make_router(fakes.member("a"), fakes.member("b"))
        leaving = routing.Observation(
            outcome=messages.Outcome.NOT_RUN, reason=messages.Reason.LEAVING
        )
        complete_call(router, ids.HostId("a"), leaving)
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_no_host_left_raises(self):
        router = make_router(fakes.member("a"))
        with pytest.raises(routing.NoHostError):
            router.pick(fakes.QUOTES, {ids.HostId("a")}, NORMAL, 1)


@pytest.mark.looptime
class TestEarlyRefusal:
    """Refusal at the first node of calls that a later hop would refuse."""

    async def test_refuses_until_a_call_finds_the_threshold_lowered(self):
        """Every host reports that it admits only important calls.

        Other calls are refused early, except for a few.  Once one of these is
        admitted, its reply ends the early refusals.
        """
        router = make_router(fakes.member("a"))
        host = ids.HostId("a")
        complete_call(router, host, refusal(3 * 256))
        refused = 0
        for _ in range(300):
            try:
                pick(router)
            except routing.EarlyRefusalError as error:
                assert error.retry_after > 0
                refused += 1
        assert 270 <= refused < 300
        complete_call(router, host, fakes.ANSWERED)
        assert pick(router) == host

    async def test_refuses_only_the_operation_refused_downstream(self):
        """One operation needs an overloaded downstream service, another not.

        The host itself admits all calls.  Only calls of the first operation
        are refused early.
        """
        router = make_router(fakes.member("a"))
        price, stock = map(ids.OperationName, ("price", "stock"))
        observation = dataclasses.replace(
            fakes.ANSWERED, operation=price, downstream_threshold=2 * 256
        )
        complete_call(router, ids.HostId("a"), observation)
        router.rng = random.Random(fakes.SEED)
        with pytest.raises(routing.EarlyRefusalError) as refused:
            pick(router, operation=price)
        assert refused.value.threshold == 2 * 256
        assert pick(router, operation=stock) == "a"

    async def test_trees_that_lack_retries_do_not_begin(self):
        """Trees that cannot complete run, and cost the work of every hop.

        Calls of trees that have begun pass, and the refusals end soon after
        the last tree that lacked retries.
        """
        router = make_router(fakes.member("a"))
        price = ids.OperationName("price")
        observation = dataclasses.replace(
            fakes.ANSWERED, operation=price, status=500, retry_threshold=3 * 256
        )
        complete_call(router, ids.HostId("a"), observation)
        router.rng = random.Random(fakes.SEED)
        with pytest.raises(routing.EarlyRefusalError):
            pick(router, operation=price)
        assert pick(router, operation=price, begun=True) == "a"
        await asyncio.sleep(hosts.RETRY_SHORTAGE_SECONDS + 0.1)
        assert pick(router, operation=price) == "a"

    async def test_callers_are_told_to_come_back_after_a_shortage(self):
        """Callers come back while retries still lack, and are refused again."""
        router = make_router(fakes.member("a"))
        observation = dataclasses.replace(
            fakes.ANSWERED, status=500, retry_threshold=3 * 256
        )
        for _ in range(12):
            complete_call(router, ids.HostId("a"), observation)
            await asyncio.sleep(0.5)
        with pytest.raises(routing.EarlyRefusalError) as refused:
            pick(router)
        assert 5.0 < refused.value.retry_after < 10.0

    async def test_critical_calls_are_never_refused_early(self):
        router = make_router(fakes.member("a"))
        complete_call(router, ids.HostId("a"), refusal(3 * 256))
        for _ in range(50):
            router.pick(fakes.QUOTES, set(), messages.Importance.CRITICAL, 1)


@pytest.mark.looptime
class TestEjection:
    """Ejection of hosts that fail repeatedly."""

    async def test_ejected_share_is_bounded(self):
        """All three hosts fail every call, as in a network outage.

        Ejecting all of them would turn a partial outage into a complete one.
        At most a third is ejected.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        for _ in range(100):
            complete_call(router, pick(router), fakes.BROKEN)
        remaining = {pick(router) for _ in range(100)}
        assert len(remaining) == 2

    async def test_restarted_host_is_not_ejected_for_earlier_failures(self):
        """A host is killed with ten calls in flight and restarts.

        The calls fail after the view is updated.  These failures must not
        eject the new process.
        """
        others = [fakes.member("b"), fakes.member("c")]
        router = make_router(fakes.member("a"), *others)
        host = ids.HostId("a")
        for _ in range(10):
            router.record_call_start(fakes.QUOTES, host)
        router.update_views(
            fakes.view(2, fakes.member("a", incarnation="2"), *others)
        )
        for _ in range(10):
            router.record_call_end(fakes.QUOTES, host, fakes.BROKEN)
        assert not router.services[fakes.QUOTES].outliers.records

    async def test_sheds_do_not_eject(self):
        router = make_router(fakes.member("a"), fakes.member("b"))
        for host in ("a", "b", "a", "b") * 10:
            complete_call(router, ids.HostId(host), refusal(0))
        assert not router.services[fakes.QUOTES].outliers.records

    async def test_one_idempotent_call_probes_an_ejected_host(self):
        """The ejection time of a host has passed and a probe is due.

        Non-idempotent calls must not probe the host, and only one call may.
        Its response puts the host back in use, in slow start.
        """
        router, bad = await self.make_probe_due()
        assert bad not in {pick(router) for _ in range(50)}
        probes = [pick(router, idempotent=True) for _ in range(50)]
        assert probes.count(bad) == 1
        complete_call(router, bad, fakes.ANSWERED)
        assert bad in {pick(router) for _ in range(200)}

    async def make_probe_due(self) -> tuple[routing.Router, ids.HostId]:
        """Returns a router and an ejected host whose probe is due."""
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        bad = ids.HostId("a")
        for _ in range(5):
            complete_call(router, bad, fakes.BROKEN)
        await asyncio.sleep(2.1)
        return router, bad

    async def test_failed_probe_doubles_the_ejection_time(self):
        router, bad = await self.make_probe_due()
        assert pick(router, idempotent=True) == bad
        complete_call(router, bad, fakes.BROKEN)
        await asyncio.sleep(2.1)
        assert pick(router, idempotent=True) != bad
        await asyncio.sleep(2.1)
        assert pick(router, idempotent=True) == bad


@pytest.mark.looptime
class TestSlowStart:
    """A host that has just joined."""

    async def test_share_of_a_new_host_ramps_up(self):
        """A third, cold host joins a service under steady load.

        With a third of the calls at once, all of its calls would time out.
        Its share grows over the slow start time.
        """
        old = [fakes.member("a", slots=100), fakes.member("b", slots=100)]
        router = make_router(*old)
        router.update_views(fakes.view(2, *old, fakes.member("c", slots=100)))
        shares = []
        for _ in range(6):
            shares.append(self.share_of(router, ids.HostId("c")))
            await asyncio.sleep(1)
        assert shares[0] < 0.1
        assert shares[2] < 0.3
        assert 0.25 < shares[-1] < 0.4

    def share_of(self, router: routing.Router, host: ids.HostId) -> float:
        """Completes 90 concurrent calls; returns the host's share."""
        sent = []
        for _ in range(90):
            sent.append(pick(router))
            router.record_call_start(fakes.QUOTES, sent[-1])
        for each in sent:
            router.record_call_end(fakes.QUOTES, each, fakes.ANSWERED)
        return sent.count(host) / len(sent)


@pytest.mark.looptime
class TestReportedLoad:
    """Load that hosts report of themselves."""

    async def test_wrong_reported_load_does_not_attract_calls(self):
        """A stuck host reports that it is idle, the others that they are full.

        Its calls do not end.  The node's own count of outstanding calls must
        keep new calls away, whatever load the host reports.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        idle = routing.Observation(
            outcome=messages.Outcome.ANSWERED, inflight=0, limit=20
        )
        full = routing.Observation(
            outcome=messages.Outcome.ANSWERED, inflight=20, limit=20
        )
        stuck_host = ids.HostId("a")
        complete_call(router, stuck_host, idle)
        stuck_calls = 0
        for _ in range(300):
            host = pick(router)
            router.record_call_start(fakes.QUOTES, host)
            if host == stuck_host:
                stuck_calls += 1
            else:
                router.record_call_end(fakes.QUOTES, host, full)
        assert stuck_calls <= 4


class Cluster:
    """Random hosts that fail, shed, leave and restart.

    Attributes:
      picked: Number of calls that found a host.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.version = 1
        self.members: dict[str, messages.Member] = {}
        self.router = make_router()
        self.in_flight: list[ids.HostId] = []
        self.picked = 0

    def change(self) -> None:
        """Adds, restarts, drains or removes a host."""
        name = f"host-{self.rng.randrange(8)}"
        if self.rng.random() < 0.3:
            self.members.pop(name, None)
        else:
            member = fakes.member(
                name,
                self.rng.choice(
                    [fakes.LOCAL_DATA_CENTRE, fakes.REMOTE_DATA_CENTRE]
                ),
                str(self.rng.randrange(3)),
            )
            member.leaving = self.rng.random() < 0.3
            self.members[name] = member
        self.version += 1
        self.router.update_views(
            fakes.view(self.version, *self.members.values())
        )

    def call(self) -> None:
        """Picks a host and checks that it may be picked."""
        excluded = {ids.HostId(f"host-{self.rng.randrange(8)}")}
        idempotent = self.rng.random() < 0.5
        try:
            member = self.router.pick(
                fakes.QUOTES,
                excluded,
                messages.Importance(self.rng.randrange(4)),
                1,
                idempotent=idempotent,
                tree=str(self.rng.random()),
            )
        except (routing.NoHostError, routing.EarlyRefusalError):
            return
        self.picked += 1
        assert member.host not in excluded
        assert not self.members[member.host].leaving
        self.router.record_call_start(fakes.QUOTES, member.host)
        self.in_flight.append(member.host)

    def end(self) -> None:
        """Ends a random call with a random observation."""
        if not self.in_flight:
            return
        index = self.rng.randrange(len(self.in_flight))
        observation = self.rng.choice(
            [fakes.ANSWERED, fakes.BROKEN, fakes.BROKEN, refusal(500)]
        )
        self.router.record_call_end(
            fakes.QUOTES, self.in_flight.pop(index), observation
        )

    def check(self) -> None:
        """Checks the invariants of the router's state."""
        service_hosts = self.router.services[fakes.QUOTES]
        assert service_hosts.hosts.keys() == self.members.keys()
        assert (
            service_hosts.outliers.records.keys() <= service_hosts.hosts.keys()
        )
        assert all(
            host.outstanding >= 0 for host in service_hosts.hosts.values()
        )


@pytest.mark.looptime
class TestRandomEvents:
    """Random changes of the hosts while calls are in flight."""

    @pytest.mark.parametrize("seed", range(4))
    async def test_only_usable_hosts_are_picked(self, seed):
        """Replies arrive from hosts that have restarted or left.

        Counts of a former incarnation must not carry over to the new one, and
        no call may go to a host that is leaving or was already tried.
        """
        cluster = Cluster(seed)
        cluster.change()
        steps = [cluster.change] + [cluster.call, cluster.end] * 8
        for _ in range(3000):
            cluster.rng.choice(steps)()
            cluster.check()
            await asyncio.sleep(0.01)
        assert cluster.picked > 500
