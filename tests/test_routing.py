"""The choice of a host."""

import asyncio
import collections
import dataclasses
import random

import pytest
import routingfakes as fakes

from mangobay import ids, routing
from mangobay.generated import messages

NORMAL = messages.Importance.NORMAL


def make_router(*members: messages.Member, **changes) -> routing.Router:
    """Returns a router of a node in Lima that knows these hosts."""
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


def answer(router: routing.Router, host: ids.HostId, seen) -> None:
    """Sends a call to the host and ends it with this observation."""
    router.record_call_start(fakes.QUOTES, host)
    router.record_call_end(fakes.QUOTES, host, seen)


def refusing(threshold: int) -> routing.Observation:
    """Returns a refusal with this threshold."""
    return routing.Observation(
        outcome=messages.Outcome.NOT_RUN,
        reason=messages.Reason.OVERLOADED,
        threshold=threshold,
    )


def loaded(inflight: int, status: int = 200) -> routing.Observation:
    """Returns an answer of a host with a limit of 20 and this many calls."""
    return routing.Observation(
        outcome=messages.Outcome.ANSWERED,
        inflight=inflight,
        limit=20,
        status=status,
    )


@pytest.mark.looptime
class TestSpill:
    """When a call leaves its data centre."""

    def make(self):
        return make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )

    async def test_while_calls_queue_at_the_near_host(self):
        """One data centre's callers wait while another's hosts stand idle.

        The near host has more calls than its limit and the far one few.
        """
        router = self.make()
        answer(router, ids.HostId("a"), loaded(30))
        answer(router, ids.HostId("b"), loaded(6))
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_not_to_a_host_that_is_as_full(self):
        router = self.make()
        answer(router, ids.HostId("a"), loaded(19))
        answer(router, ids.HostId("b"), loaded(18))
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_the_near_host_is_tried_again(self):
        router = self.make()
        answer(router, ids.HostId("a"), loaded(30))
        answer(router, ids.HostId("b"), loaded(6))
        await asyncio.sleep(2)
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_where_the_near_host_fails_part_of_the_calls(self):
        """Callers of one data centre get errors, those of another none.

        The near backend server fails one in five calls while its health
        check is good; some seconds later it is tried again.
        """
        router = self.make()
        for number in range(90):
            status = 500 if number % 5 == 0 else 200
            answer(router, ids.HostId("a"), loaded(2, status))
        assert {pick(router) for _ in range(50)} == {"b"}
        await asyncio.sleep(10)
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_not_where_every_host_fails(self):
        router = self.make()
        for host in ("a", "b") * 40:
            answer(router, ids.HostId(host), loaded(2, 500))
        assert {pick(router) for _ in range(50)} == {"a"}


@pytest.mark.looptime
class TestSlowHost:
    """A backend server that turned slow, with room for more calls."""

    async def test_callers_are_led_to_one_that_answers_in_time(self):
        """Callers of one data centre get every answer too late.

        Their own host needs four times as long as before, and has so few
        calls that none waits; another data centre's host answers in time.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        late = [self.call(router, slow="a") for _ in range(300)]
        assert late[:5] == [True] * 5
        assert sum(late[100:]) < 60

    async def test_few_calls_are_enough_to_tell(self):
        """A node with two calls a second stays with a slow host for ever.

        What each late answer adds fades before the next one comes.
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

    async def test_where_all_are_slow_callers_stay(self):
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        hosts = []
        for _ in range(300):
            hosts.append(pick(router))
            answer(router, hosts[-1], self.seen(late=True))
        assert hosts.count("a") > 240

    def call(self, router, slow):
        """Sends a call; returns whether its answer came late."""
        host = pick(router)
        answer(router, host, self.seen(late=host == slow))
        return host == slow

    def seen(self, late):
        """Returns an answer of a host that is half full."""
        return routing.Observation(
            outcome=messages.Outcome.ANSWERED,
            status=200,
            inflight=10,
            limit=20,
            late=late,
        )


@pytest.mark.looptime
class TestPick:
    """Which host a call goes to."""

    async def test_own_data_centre_first(self):
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_spills_over_when_the_near_host_refuses(self):
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        answer(router, ids.HostId("a"), refusing(2 * 256))
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_spills_over_while_the_backend_server_sheds(self):
        """The near backend server sheds by itself; its node knows no level.

        Calls go to the other data centre, and after a while without news
        some try the near one again.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b", fakes.REMOTE_DATA_CENTRE)
        )
        shed = routing.Observation(
            outcome=messages.Outcome.NOT_RUN,
            reason=messages.Reason.BACKEND_SHED,
        )
        for _ in range(20):
            answer(router, ids.HostId("a"), shed)
        assert {pick(router) for _ in range(50)} == {"b"}
        await asyncio.sleep(1)
        assert pick(router) == "a"

    async def test_outstanding_calls_spread(self):
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        sent = collections.Counter()
        for _ in range(90):
            host = pick(router)
            router.record_call_start(fakes.QUOTES, host)
            sent[host] += 1
        assert max(sent.values()) - min(sent.values()) <= 6

    async def test_a_leaving_host_gets_nothing(self):
        """The host says on a reply that it is leaving; the view lags.

        Calls sent there in the meantime would only be refused, so its own
        word counts at once.
        """
        router = make_router(fakes.member("a"), fakes.member("b"))
        leaving = routing.Observation(
            outcome=messages.Outcome.NOT_RUN, reason=messages.Reason.LEAVING
        )
        answer(router, ids.HostId("a"), leaving)
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_nobody_left(self):
        router = make_router(fakes.member("a"))
        with pytest.raises(routing.NoHostError):
            router.pick(fakes.QUOTES, {ids.HostId("a")}, NORMAL, 1)


@pytest.mark.looptime
class TestEarlyRefusal:
    """Refusing at the first node what a deeper hop refuses."""

    async def test_refuses_then_sees_the_threshold_fall(self):
        """Every host says that it admits only important calls.

        Callers get refusals at once, but for a few calls that go on.  Once
        such a call is admitted, its reply opens the way for the others.
        """
        router = make_router(fakes.member("a"))
        host = ids.HostId("a")
        answer(router, host, refusing(3 * 256))
        refused = 0
        for _ in range(300):
            try:
                pick(router)
            except routing.EarlyRefusalError as error:
                assert error.retry_after > 0
                refused += 1
        assert 270 <= refused < 300
        answer(router, host, fakes.ANSWERED)
        assert pick(router) == host

    async def test_only_the_operation_refused_below_is_refused(self):
        """Prices need a service in trouble, stock does not.

        The host admits everything itself.  Calls for prices are refused at
        the first node; calls for stock go on.
        """
        router = make_router(fakes.member("a"))
        price, stock = map(ids.OperationName, ("price", "stock"))
        seen = dataclasses.replace(
            fakes.ANSWERED, operation=price, downstream_threshold=2 * 256
        )
        answer(router, ids.HostId("a"), seen)
        router.rng = random.Random(fakes.SEED)
        with pytest.raises(routing.EarlyRefusalError) as refused:
            pick(router, operation=price)
        assert refused.value.threshold == 2 * 256
        assert pick(router, operation=stock) == "a"

    async def test_critical_is_never_refused_early(self):
        router = make_router(fakes.member("a"))
        answer(router, ids.HostId("a"), refusing(3 * 256))
        for _ in range(50):
            router.pick(fakes.QUOTES, set(), messages.Importance.CRITICAL, 1)


@pytest.mark.looptime
class TestEjection:
    """Hosts that keep failing."""

    async def test_a_bounded_share_is_ejected(self):
        """All three hosts break every call, as when the network is cut.

        Ejecting all would turn a partial outage into a whole one, so at
        most a third goes; the others still get calls.
        """
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        for _ in range(100):
            answer(router, pick(router), fakes.BROKEN)
        left = {pick(router) for _ in range(100)}
        assert len(left) == 2

    async def test_a_restarted_host_is_not_ejected_for_its_former_life(self):
        """A host is killed with ten calls in flight and announces itself anew.

        The calls break after the view was updated. They say nothing about
        the new process, which gets calls at once.
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
            answer(router, ids.HostId(host), refusing(0))
        assert not router.services[fakes.QUOTES].outliers.records

    async def test_one_idempotent_call_probes_it_back(self):
        """A host was ejected and its time is up; is it well again?

        A non-idempotent call must not find out, and a crowd of calls must
        not fall on it.  One idempotent call goes; its answer brings the host
        back, with a share of calls that ramps up.
        """
        router, bad = await self.make_due()
        assert bad not in {pick(router) for _ in range(50)}
        probes = [pick(router, idempotent=True) for _ in range(50)]
        assert probes.count(bad) == 1
        answer(router, bad, fakes.ANSWERED)
        assert bad in {pick(router) for _ in range(200)}

    async def make_due(self) -> tuple[routing.Router, ids.HostId]:
        """Returns a router and a host whose time out of use is just up."""
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        bad = ids.HostId("a")
        for _ in range(5):
            answer(router, bad, fakes.BROKEN)
        await asyncio.sleep(2.1)
        return router, bad

    async def test_a_failed_probe_doubles_the_time(self):
        router, bad = await self.make_due()
        assert pick(router, idempotent=True) == bad
        answer(router, bad, fakes.BROKEN)
        await asyncio.sleep(2.1)
        assert pick(router, idempotent=True) != bad
        await asyncio.sleep(2.1)
        assert pick(router, idempotent=True) == bad


@pytest.mark.looptime
class TestSlowStart:
    """A host that was just started."""

    async def test_its_share_ramps_up(self):
        """A third host joins cold, at a service under steady load.

        With a third of the calls at once it would time out on all of them.
        Its share grows over the time set.
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
        """Sends 90 calls at once, ends them; returns the host's share."""
        sent = []
        for _ in range(90):
            sent.append(pick(router))
            router.record_call_start(fakes.QUOTES, sent[-1])
        for each in sent:
            router.record_call_end(fakes.QUOTES, each, fakes.ANSWERED)
        return sent.count(host) / len(sent)


@pytest.mark.looptime
class TestHints:
    """What a host says of its own load."""

    async def test_a_host_that_lies_does_not_draw_the_calls(self):
        """A stuck host says that it is idle; the others say they are full.

        Its calls do not come back, and this node's own count of them keeps
        new ones away, whatever the host says.
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
        liar = ids.HostId("a")
        answer(router, liar, idle)
        stuck = 0
        for _ in range(300):
            host = pick(router)
            router.record_call_start(fakes.QUOTES, host)
            if host == liar:
                stuck += 1
            else:
                router.record_call_end(fakes.QUOTES, host, full)
        assert stuck <= 4


class Cluster:
    """Random hosts that fail, shed, leave and restart.

    Attributes:
      picked: calls that found a host.
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
            made = fakes.member(
                name,
                self.rng.choice(
                    [fakes.LOCAL_DATA_CENTRE, fakes.REMOTE_DATA_CENTRE]
                ),
                str(self.rng.randrange(3)),
            )
            made.leaving = self.rng.random() < 0.3
            self.members[name] = made
        self.version += 1
        self.router.update_views(
            fakes.view(self.version, *self.members.values())
        )

    def call(self) -> None:
        """Picks a host; checks that it may be picked."""
        excluding = {ids.HostId(f"host-{self.rng.randrange(8)}")}
        idempotent = self.rng.random() < 0.5
        try:
            found = self.router.pick(
                fakes.QUOTES,
                excluding,
                messages.Importance(self.rng.randrange(4)),
                1,
                idempotent=idempotent,
                tree=str(self.rng.random()),
            )
        except (routing.NoHostError, routing.EarlyRefusalError):
            return
        self.picked += 1
        assert found.host not in excluding
        assert not self.members[found.host].leaving
        self.router.record_call_start(fakes.QUOTES, found.host)
        self.in_flight.append(found.host)

    def end(self) -> None:
        """Ends a random call in a random way."""
        if not self.in_flight:
            return
        place = self.rng.randrange(len(self.in_flight))
        seen = self.rng.choice(
            [fakes.ANSWERED, fakes.BROKEN, fakes.BROKEN, refusing(500)]
        )
        self.router.record_call_end(
            fakes.QUOTES, self.in_flight.pop(place), seen
        )

    def check(self) -> None:
        """Asserts what holds at any time."""
        known = self.router.services[fakes.QUOTES]
        assert known.hosts.keys() == self.members.keys()
        assert known.outliers.records.keys() <= known.hosts.keys()
        assert all(host.outstanding >= 0 for host in known.hosts.values())


@pytest.mark.looptime
class TestRandomRuns:
    """Hosts come, go, fail and return while calls are in flight."""

    @pytest.mark.parametrize("seed", range(4))
    async def test_only_usable_hosts_are_picked(self, seed):
        """Replies arrive from hosts that restarted or left meanwhile.

        Counts of a former incarnation must not stay with the new one, and
        no call may go to a host that leaves or was already tried.
        """
        cluster = Cluster(seed)
        cluster.change()
        steps = [cluster.change] + [cluster.call, cluster.end] * 8
        for _ in range(3000):
            cluster.rng.choice(steps)()
            cluster.check()
            await asyncio.sleep(0.01)
        assert cluster.picked > 500
