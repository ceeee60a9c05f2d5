"""Which attempts a call gets, with hosts that a test scripts."""

import asyncio
import random
import types

import pytest

from mangobay import (
    calls,
    dispatch,
    errors,
    execution,
    httpheaders,
    inflight,
    keyslots,
    localservices,
    options,
    remotetraffic,
    retryallowance,
    retrybudget,
    routing,
    traces,
)
from mangobay.generated import messages, settings

Outcome = messages.Outcome
Reason = messages.Reason
PROCESS = calls.Process("me", "centre", "run-1")
HOSTS = ("a", "b", "c", "d", "e", "f")
OTHER_HOST = {"a": "b", "b": "a"}


def defaults(cls, chosen, **given):
    """Returns a section of the settings with its defaults."""
    values = {each.name: each.parse(each.default) for each in chosen}
    return cls(**(values | given))


def address(host: str) -> options.Address:
    places = [*HOSTS, PROCESS.host]
    return options.Address("127.0.0.1", 1000 + places.index(host))


class ScriptedTransport:
    """A transport; `script` answers each attempt, by host and number."""

    def __init__(self, script):
        self.script = script
        self.asked_hosts: list[str] = []
        self.calls: list[messages.Call] = []

    async def ask(self, where, body, timeout):
        host = HOSTS[where.port - 1000]
        self.asked_hosts.append(host)
        self.calls.append(body)
        reply = self.script(host, body)
        if isinstance(reply, Exception):
            raise reply
        if reply is None:
            await asyncio.sleep(timeout)
            raise TimeoutError
        return reply


class Lease:
    """Held unless a test says otherwise."""

    held = True

    def holds(self):
        return self.held


class Views:
    """The view of the one service, as a subject has it."""

    def __init__(self, names):
        members = [
            messages.Member(host=each, peer_address=str(address(each)), slots=9)
            for each in names
        ]
        view = messages.ServiceView(service="stock", version=1, members=members)
        self.value = {"stock": view}


def make_entry(script, names=HOSTS, **retries):
    hosts = ScriptedTransport(script)
    dice = random.Random(7)
    views = Views(names)
    router = routing.Router(
        defaults(settings.NodeRouting, settings.NODE_ROUTING_OPTIONS),
        defaults(settings.NodeAdmission, settings.NODE_ADMISSION_OPTIONS),
        "centre",
        dice,
    )
    router.update_views(views.value)
    section = defaults(
        settings.NodeRetries, settings.NODE_RETRIES_OPTIONS, **retries
    )
    served = localservices.LocalServices(1, None, None)
    tools = dispatch.Dependencies(
        process=PROCESS,
        router=router,
        retry_budget=retrybudget.RetryBudget(section),
        transport=hosts,
        executor=execution.CallExecutor(PROCESS, served, None, None),
        lease=Lease(),
        views=views,
        tracer=traces.Tracer(),
        rng=dice,
    )
    return dispatch.Dispatcher(section, tools), hosts


def make_request(idempotent=True, key="", granted=9, seconds=10.0):
    operation = messages.Operation(
        service="stock", name="x", method="GET", idempotent=idempotent
    )
    return calls.Request(
        operation=operation,
        revision=3,
        target="/x",
        headers=[],
        body=b"",
        caller="outside",
        client="c",
        importance=messages.Importance.HIGH,
        depth=0,
        deadline=asyncio.get_running_loop().time() + seconds,
        allowance=retryallowance.RetryAllowance(granted),
        key=key,
        trace=httpheaders.new_trace(0),
    )


def refused(reason=Reason.OVERLOADED):
    """Returns a script in which every host refuses and hands tries back."""

    def script(host, call):
        reply = calls.not_run_reply(reason)
        reply.tries_left = call.tries
        return reply

    return script


def answer(host, call):
    return messages.Reply(outcome=Outcome.ANSWERED, tries_left=call.tries)


class FakeCallExecutor:
    """A backend server on this host, with room, that fails some calls."""

    def __init__(self, failing):
        self.local_services = self
        self.leaving = False
        self.remote_traffic = remotetraffic.RemoteTraffic()
        self.failing = failing
        self.served_calls = 0

    def find(self, service):
        del service
        return types.SimpleNamespace(
            announcement=types.SimpleNamespace(healthy=True),
            admission=types.SimpleNamespace(threshold=0, running=0, limit=9),
        )

    async def serve(self, call):
        self.served_calls += 1
        failed = self.failing and self.served_calls % self.failing == 0
        return messages.Reply(
            outcome=Outcome.ANSWERED,
            status=500 if failed else 200,
            tries_left=call.tries,
            inflight=1,
            limit=9,
        )


@pytest.mark.looptime
class TestOwnHost:
    """Calls that enter beside a backend server of their service."""

    @pytest.mark.parametrize(
        ("failing", "fewest", "most"), [(0, 200, 200), (4, 5, 80)]
    )
    async def test_its_callers_leave_it_where_calls_fail(
        self, failing, fewest, most
    ):
        """Callers on one host get errors, all others nearly none.

        The backend server beside them fails one call in four; others of the
        service are well.  It has room, and so it was never passed over.
        """
        made, _ = make_entry(
            answer, names=[*HOSTS[:5], PROCESS.host], hop_tries=0
        )
        own = made.dependencies.executor = FakeCallExecutor(failing)
        for _ in range(200):
            await made.handle(make_request(granted=0))
        assert fewest <= own.served_calls <= most


@pytest.mark.looptime
class TestRetries:
    """Extra tries, bounded and only where nothing can run twice."""

    async def test_a_refusal_is_tried_again_on_other_hosts_only(self):
        made, hosts = make_entry(refused(), hop_tries=4)
        request = make_request()
        reply = await made.handle(request)
        assert reply.reason == Reason.OVERLOADED
        assert len(hosts.asked_hosts) == 5
        assert len(set(hosts.asked_hosts)) == 5
        assert request.allowance.remaining == 9 - 4

    @pytest.mark.parametrize("granted", [0, 1, 2])
    async def test_attempts_never_exceed_the_grant(self, granted):
        made, hosts = make_entry(refused(), hop_tries=100)
        await made.handle(make_request(granted=granted))
        assert len(hosts.asked_hosts) == 1 + granted

    async def test_the_retry_ratio_ends_retries_of_a_dead_service(self):
        made, hosts = make_entry(refused(), burst=3, ratio=0)
        for _ in range(10):
            await made.handle(make_request())
        assert len(hosts.asked_hosts) == 10 + 3

    async def test_a_failing_service_gets_a_share_more(self):
        """Every call is refused, and each caller could go on eight times.

        The load on a service that fails must stay bounded: one attempt more
        for each four requests, however many tries the callers were granted.
        """
        made, hosts = make_entry(refused(), burst=2, ratio=0.25, hop_tries=8)
        for _ in range(20):
            await made.handle(make_request())
        # What the first request pays does not fit beside the burst.
        assert len(hosts.asked_hosts) == 20 + 2 + 20 // 4 - 1

    @pytest.mark.parametrize(("called", "attempts"), [(False, 2), (True, 1)])
    async def test_a_failure_of_the_services_below_is_not_repeated(
        self, called, attempts
    ):
        """A run fails at once, for itself or for one of its own calls.

        Another backend server may serve the first.  The second would make
        all its calls again, of a service that fails many of them.
        """

        def script(host, call):
            return messages.Reply(
                outcome=Outcome.ANSWERED, status=500, called_below=called
            )

        made, hosts = make_entry(script, hop_tries=1)
        request = make_request()
        request.operation.target_ms = 1000
        await made.handle(request)
        assert len(hosts.asked_hosts) == attempts

    async def test_only_what_may_have_run_makes_its_calls_again(self):
        """A call is refused by a node, then breaks, then is answered.

        After the refusal no backend server has seen it; after the break, the
        calls that it makes may have been made before.
        """
        ends = [
            answer,
            lambda host, call: errors.PeerBrokenError("cut"),
            refused(),
        ]
        repeats = []

        def script(host, call):
            repeats.append(call.repeat)
            return ends.pop()(host, call)

        made, _ = make_entry(script)
        await made.handle(make_request())
        assert repeats == [False, False, True]

    @pytest.mark.parametrize(
        ("idempotent", "attempts"), [(True, 3), (False, 1)]
    )
    async def test_after_unknown_only_idempotent_calls_go_on(
        self, idempotent, attempts
    ):
        """The connection breaks after a call was sent.

        It may have run.  A price is asked for again; a booking is not, and
        its caller is told that nobody knows.
        """
        made, hosts = make_entry(
            lambda host, call: errors.PeerBrokenError("cut")
        )
        reply = await made.handle(make_request(idempotent))
        assert reply.outcome == Outcome.UNKNOWN
        assert len(hosts.asked_hosts) == attempts

    async def test_a_refusal_after_a_broken_attempt_is_not_told_as_not_run(
        self,
    ):
        """The first host breaks off, every other one refuses unrun.

        The first may have run the call, so the caller must not be told that
        nothing ran, however true it is of the last host.
        """
        broken = [errors.PeerBrokenError("cut")]

        def script(host, call):
            return broken.pop() if broken else refused()(host, call)

        made, hosts = make_entry(script)
        reply = await made.handle(make_request())
        assert len(hosts.asked_hosts) == 3
        assert reply.outcome == Outcome.UNKNOWN
        assert reply.reason == Reason.CONNECTION_BROKEN

    async def test_a_refusal_that_time_will_not_mend_is_final(self):
        for reason in (Reason.DEADLINE_EXCEEDED, Reason.TRIES_EXHAUSTED):
            made, hosts = make_entry(refused(reason))
            await made.handle(make_request())
            assert len(hosts.asked_hosts) == 1

    async def test_a_host_that_did_nothing_costs_no_try(self):
        """Two of six hosts leave and one is dead while views lag.

        None of them touched the call, so it goes on without a try, even for
        an operation that has none; but not for ever.
        """
        tired = [
            calls.not_run_reply(Reason.LEAVING),
            calls.not_run_reply(Reason.LEAVING),
        ]
        tired.append(errors.PeerUnreachableError("dead"))

        def script(host, call):
            return tired.pop() if tired else answer(host, call)

        made, hosts = make_entry(script)
        request = make_request(idempotent=False, granted=0)
        reply = await made.handle(request)
        assert reply.outcome == Outcome.ANSWERED
        made, hosts = make_entry(refused(Reason.LEAVING))
        await made.handle(make_request(idempotent=False, granted=0))
        assert len(hosts.asked_hosts) == 1 + dispatch.MAX_REDIRECTS

    async def test_a_try_without_a_host_left_is_given_back(self):
        """Both hosts of a service refuse a call that has nine extra tries.

        The second attempt costs one. The third finds no host that was not
        tried, so it makes no attempt: its try goes back to the tree and to
        the retry ratio.
        """
        made, hosts = make_entry(refused(), names=HOSTS[:2], burst=3, ratio=0)
        request = make_request()
        await made.handle(request)
        assert len(hosts.asked_hosts) == 2
        assert request.allowance.remaining == 9 - 1
        assert made.dependencies.retry_budget.tokens["stock"] == 3 - 1

    async def test_tries_given_down_come_back_once(self):
        def script(host, call):
            return messages.Reply(outcome=Outcome.ANSWERED, tries_left=99)

        made, _ = make_entry(script)
        request = make_request(granted=8)
        await made.handle(request)
        assert request.allowance.remaining == 8
        made, _ = make_entry(lambda host, call: None)
        request = make_request(granted=8, seconds=1)
        reply = await made.handle(request)
        assert reply.reason == Reason.DEADLINE_EXCEEDED
        assert request.allowance.remaining == 4


@pytest.mark.looptime
class TestOwned:
    """Keyed calls that must not run twice."""

    async def test_they_go_to_the_owner_of_the_key(self):
        made, hosts = make_entry(answer)
        request = make_request(idempotent=False, key="k1")
        await made.handle(request)
        view = made.dependencies.views.value["stock"]
        owner = keyslots.owner(view, keyslots.slot_of("k1"))
        assert hosts.asked_hosts == [owner.host]
        assert hosts.calls[0].key == "k1"

    @pytest.mark.parametrize("reason", [Reason.OVERLOADED, Reason.KEY_REUSED])
    async def test_the_owners_refusal_is_final(self, reason):
        made, hosts = make_entry(refused(reason))
        await made.handle(make_request(idempotent=False, key="k"))
        assert len(hosts.asked_hosts) == 1

    async def test_a_new_owner_is_looked_up_a_few_times(self):
        """The owner of a key changes while a booking is on its way.

        The former owner refuses it unrun.  The view is looked up again, and
        the new owner runs it; a view that stays wrong ends in a refusal.
        """
        made, hosts = make_entry(None, names=("a", "b"))
        request = make_request(idempotent=False, key="k")
        view = made.dependencies.views.value["stock"]
        owner = keyslots.owner(view, keyslots.slot_of("k")).host

        def script(host, call):
            if host != owner:
                return answer(host, call)
            made.dependencies.views.value = Views([OTHER_HOST[owner]]).value
            return calls.not_run_reply(Reason.NOT_OWNER)

        hosts.script = script
        reply = await made.handle(request)
        assert reply.outcome == Outcome.ANSWERED
        assert hosts.asked_hosts == [owner, OTHER_HOST[owner]]
        made, hosts = make_entry(refused(Reason.NOT_OWNER))
        reply = await made.handle(make_request(idempotent=False, key="k"))
        assert reply.reason == Reason.NOT_OWNER
        assert len(hosts.asked_hosts) == 1 + dispatch.MAX_REDIRECTS

    async def test_without_a_lease_nothing_is_sent(self):
        made, hosts = make_entry(answer)
        made.dependencies.lease.held = False
        reply = await made.handle(make_request(idempotent=False, key="k"))
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.NO_LEASE,
        )
        assert not hosts.asked_hosts
        assert (await made.handle(make_request())).outcome == Outcome.ANSWERED


@pytest.mark.looptime
class TestGivingUp:
    """Calls in flight when a node ends."""

    async def test_a_call_that_was_refused_everywhere_is_told_so(self):
        """A caller must not send again what has never run."""
        made, _ = make_entry(refused(), hop_tries=9, backoff=4.0)
        request = make_request(idempotent=False, seconds=60)
        asking = asyncio.create_task(made.handle(request))
        await asyncio.sleep(0.001)
        assert not asking.done()
        await made.in_flight.give_up()
        reply = await asking
        assert reply.outcome is messages.Outcome.NOT_RUN

    @pytest.mark.parametrize("order", ["answer-first", "cut-first"])
    async def test_an_answer_that_came_with_the_cut_is_handed_on(self, order):
        """A whole answer is thrown away, and the caller told `unknown`."""
        made, hosts = make_entry(answer)
        loop = asyncio.get_running_loop()
        come = loop.create_future()

        async def ask(where, body, timeout):
            del where, timeout
            await come
            return answer("a", body)

        hosts.ask = ask
        request = make_request(idempotent=False, seconds=60)
        asking = asyncio.create_task(made.handle(request))
        await asyncio.sleep(0.001)
        if order == "answer-first":
            loop.call_later(
                inflight.REFUSAL_DELIVERY_SECONDS, come.set_result, None
            )
        giving_up = asyncio.create_task(made.in_flight.give_up())
        await asyncio.sleep(0)
        if order == "cut-first":
            loop.call_later(
                inflight.REFUSAL_DELIVERY_SECONDS, come.set_result, None
            )
        await giving_up
        reply = await asking
        assert reply.outcome is messages.Outcome.ANSWERED
