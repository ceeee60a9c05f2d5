"""Tests of dispatching calls to scripted hosts, with retries."""

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
    retrypolicy,
    routing,
    traces,
)
from mangobay.generated import messages, settings

Outcome = messages.Outcome
Reason = messages.Reason
PROCESS = calls.Process("me", "centre", "run-1")
HOSTS = ("a", "b", "c", "d", "e", "f")
OTHER_HOST = {"a": "b", "b": "a"}


def default_section(cls, setting_options, **overrides):
    """Returns a settings section with defaults and overrides."""
    values = {each.name: each.parse(each.default) for each in setting_options}
    return cls(**(values | overrides))


def address(host: str) -> options.Address:
    places = [*HOSTS, PROCESS.host]
    return options.Address("127.0.0.1", 1000 + places.index(host))


class ScriptedTransport:
    """A transport whose replies come from `script(host, call)`."""

    def __init__(self, script):
        self.script = script
        self.asked_hosts: list[str] = []
        self.calls: list[messages.Call] = []

    async def send_request(self, where, body, timeout, send_by):
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


class FakeLease:
    """A lease that is held by default."""

    held = True

    def is_valid(self):
        return self.held


class FakeViews:
    """A subject with the view of one service."""

    def __init__(self, names):
        members = [
            messages.Member(host=each, peer_address=str(address(each)), slots=9)
            for each in names
        ]
        view = messages.ServiceView(service="stock", version=1, members=members)
        self.value = {"stock": view}


def make_dispatcher(script, names=HOSTS, **retries):
    transport = ScriptedTransport(script)
    rng = random.Random(7)
    views = FakeViews(names)
    router = routing.Router(
        default_section(settings.NodeRouting, settings.NODE_ROUTING_OPTIONS),
        default_section(
            settings.NodeAdmission, settings.NODE_ADMISSION_OPTIONS
        ),
        "centre",
        rng,
    )
    router.update_views(views.value)
    section = default_section(
        settings.NodeRetries, settings.NODE_RETRIES_OPTIONS, **retries
    )
    local_services = localservices.LocalServices(1, None, None)
    dependencies = dispatch.Dependencies(
        process=PROCESS,
        router=router,
        retry_budget=retrybudget.RetryBudget(section),
        transport=transport,
        executor=execution.CallExecutor(PROCESS, local_services, None, None),
        lease=FakeLease(),
        views=views,
        tracer=traces.Tracer(),
        rng=rng,
    )
    return dispatch.Dispatcher(section, dependencies), transport


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


def refuse_all(reason=Reason.OVERLOADED):
    """Returns a script in which every host refuses and returns retries."""

    def script(host, call):
        reply = calls.not_run_reply(reason)
        reply.tries_left = call.tries
        return reply

    return script


def respond(host, call):
    return messages.Reply(outcome=Outcome.ANSWERED, tries_left=call.tries)


class FakeCallExecutor:
    """An executor with free slots whose backend server fails some calls."""

    def __init__(self, failing):
        self.local_services = self
        self.leaving = False
        self.guard = None
        self.remote_traffic = remotetraffic.RemoteTraffic()
        self.failing = failing
        self.served_calls = 0

    def find(self, service):
        del service
        return types.SimpleNamespace(
            announcement=types.SimpleNamespace(healthy=True),
            admission=types.SimpleNamespace(threshold=0, has_room=lambda: True),
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
    """Calls that enter on a host with a backend server of their service."""

    @pytest.mark.parametrize(
        ("failing", "fewest", "most"), [(0, 200, 200), (4, 5, 80)]
    )
    async def test_failing_backend_server_on_the_own_host_is_avoided(
        self, failing, fewest, most
    ):
        """The backend server on the callers' host fails one call in four.

        It has free slots, so it would always be preferred, although other
        backend servers of the service fail no calls.
        """
        dispatcher, _ = make_dispatcher(
            respond, names=[*HOSTS[:5], PROCESS.host], hop_tries=0
        )
        executor = dispatcher.dependencies.executor = FakeCallExecutor(failing)
        for _ in range(200):
            await dispatcher.handle(make_request(granted=0))
        assert fewest <= executor.served_calls <= most

    @pytest.mark.parametrize(
        ("own_pace", "fewest", "most"), [(100, 200, 200), (400, 1, 100)]
    )
    async def test_slow_backend_server_on_the_own_host_is_avoided(
        self, own_pace, fewest, most
    ):
        """Calls that enter beside a slow backend server all stay there.

        It has free slots and fails no calls, so it would always be preferred.
        """

        def report(reply, pace):
            reply.inflight, reply.limit = 1, 9
            load = messages.LoadReport(
                running=1, slots=9, pace=pace, work_us=20_000, hold_us=20_000
            )
            reply.load = [load]
            return reply

        dispatcher, _ = make_dispatcher(
            lambda host, call: report(respond(host, call), 100),
            names=[*HOSTS[:5], PROCESS.host],
            hop_tries=0,
        )
        executor = dispatcher.dependencies.executor = FakeCallExecutor(0)
        serve = executor.serve

        async def serve_and_report(call):
            return report(await serve(call), own_pace)

        executor.serve = serve_and_report
        for host in HOSTS[:5]:
            await dispatcher.attempt(
                make_request(),
                dispatcher.dependencies.views.value["stock"].members[
                    HOSTS.index(host)
                ],
            )
        for _ in range(200):
            await dispatcher.handle(make_request(granted=0))
            await asyncio.sleep(0.01)
        assert fewest <= executor.served_calls <= most


@pytest.mark.looptime
class TestRetries:
    """Retries are bounded and never run a non-idempotent call twice."""

    async def test_refused_call_is_retried_on_other_hosts_only(self):
        dispatcher, transport = make_dispatcher(refuse_all(), hop_tries=4)
        request = make_request()
        reply = await dispatcher.handle(request)
        assert reply.reason == Reason.OVERLOADED
        assert len(transport.asked_hosts) == 5
        assert len(set(transport.asked_hosts)) == 5
        assert request.allowance.remaining == 9 - 4

    @pytest.mark.parametrize("granted", [0, 1, 2])
    async def test_retries_never_exceed_the_allowance(self, granted):
        dispatcher, transport = make_dispatcher(refuse_all(), hop_tries=100)
        await dispatcher.handle(make_request(granted=granted))
        assert len(transport.asked_hosts) == 1 + granted

    async def test_retry_budget_bounds_retries_of_a_dead_service(self):
        dispatcher, transport = make_dispatcher(refuse_all(), burst=3, ratio=0)
        for _ in range(10):
            await dispatcher.handle(make_request())
        assert len(transport.asked_hosts) == 10 + 3

    async def test_failing_service_gets_burst_and_ratio(self):
        """Every call is refused, and each could be retried eight times.

        The load on a failing service must stay bounded by the ratio, however
        many retries the callers were granted.
        """
        dispatcher, transport = make_dispatcher(
            refuse_all(), burst=2, ratio=0.25, hop_tries=8
        )
        for _ in range(20):
            await dispatcher.handle(make_request())
        # The tokens of the first request exceed the full bucket and are lost.
        assert len(transport.asked_hosts) == 20 + 2 + 20 // 4 - 1

    @pytest.mark.parametrize(("called", "attempts"), [(False, 2), (True, 1)])
    async def test_failure_after_child_calls_is_not_retried(
        self, called, attempts
    ):
        """A call fails fast, by itself or after one of its child calls.

        Another backend server may succeed in the first case.  In the second,
        a retry would repeat all child calls to a service that fails many.
        """

        def script(host, call):
            return messages.Reply(
                outcome=Outcome.ANSWERED, status=500, called_below=called
            )

        dispatcher, transport = make_dispatcher(script, hop_tries=1)
        request = make_request()
        request.operation.target_ms = 1000
        await dispatcher.handle(request)
        assert len(transport.asked_hosts) == attempts

    async def test_repeat_is_set_only_after_a_call_may_have_run(self):
        """A call is refused, then its connection breaks, then it succeeds.

        The refused call has not reached a backend server.  After the broken
        connection, its child calls may have been made before.
        """
        results = [
            respond,
            lambda host, call: errors.PeerBrokenError("cut"),
            refuse_all(),
        ]
        repeats = []

        def script(host, call):
            repeats.append(call.repeat)
            return results.pop()(host, call)

        dispatcher, _ = make_dispatcher(script)
        await dispatcher.handle(make_request())
        assert repeats == [False, False, True]

    @pytest.mark.parametrize(
        ("idempotent", "attempts"), [(True, 3), (False, 1)]
    )
    async def test_only_idempotent_calls_are_retried_after_unknown(
        self, idempotent, attempts
    ):
        """The connection breaks after a call was sent, so it may have run.

        An idempotent call is retried.  Otherwise the caller gets the outcome
        unknown.
        """
        dispatcher, transport = make_dispatcher(
            lambda host, call: errors.PeerBrokenError("cut")
        )
        reply = await dispatcher.handle(make_request(idempotent))
        assert reply.outcome == Outcome.UNKNOWN
        assert len(transport.asked_hosts) == attempts

    async def test_refusal_after_an_unknown_attempt_is_not_reported_as_not_run(
        self,
    ):
        """The connection to the first host breaks, the other hosts refuse.

        The first host may have run the call, so the caller must not be told
        that the call did not run.
        """
        broken = [errors.PeerBrokenError("cut")]

        def script(host, call):
            return broken.pop() if broken else refuse_all()(host, call)

        dispatcher, transport = make_dispatcher(script)
        reply = await dispatcher.handle(make_request())
        assert len(transport.asked_hosts) == 3
        assert reply.outcome == Outcome.UNKNOWN
        assert reply.reason == Reason.CONNECTION_BROKEN

    async def test_permanent_refusal_is_not_retried(self):
        for reason in (Reason.DEADLINE_EXCEEDED, Reason.TRIES_EXHAUSTED):
            dispatcher, transport = make_dispatcher(refuse_all(reason))
            await dispatcher.handle(make_request())
            assert len(transport.asked_hosts) == 1

    async def test_redirects_are_free_but_bounded(self):
        """Two of six hosts leave and one is dead while the view is stale.

        None of them processed the call, so the next attempt is no retry and
        needs no allowance.  The number of redirects is bounded.
        """
        refusals = [
            calls.not_run_reply(Reason.LEAVING),
            calls.not_run_reply(Reason.LEAVING),
        ]
        refusals.append(errors.PeerUnreachableError("dead"))

        def script(host, call):
            return refusals.pop() if refusals else respond(host, call)

        dispatcher, transport = make_dispatcher(script)
        request = make_request(idempotent=False, granted=0)
        reply = await dispatcher.handle(request)
        assert reply.outcome == Outcome.ANSWERED
        dispatcher, transport = make_dispatcher(refuse_all(Reason.LEAVING))
        await dispatcher.handle(make_request(idempotent=False, granted=0))
        assert len(transport.asked_hosts) == 1 + dispatch.MAX_REDIRECTS

    async def test_retry_without_a_host_is_refunded(self):
        """Both hosts of a service refuse a call with an allowance of nine.

        The second attempt uses one retry.  For the third there is no untried
        host, so its retry is refunded to the allowance and the budget.
        """
        dispatcher, transport = make_dispatcher(
            refuse_all(), names=HOSTS[:2], burst=3, ratio=0
        )
        request = make_request()
        await dispatcher.handle(request)
        assert len(transport.asked_hosts) == 2
        assert request.allowance.remaining == 9 - 1
        assert dispatcher.dependencies.retry_budget.tokens["stock"] == 3 - 1

    async def test_lent_retries_are_reclaimed_at_most_once(self):
        def script(host, call):
            return messages.Reply(outcome=Outcome.ANSWERED, tries_left=99)

        dispatcher, _ = make_dispatcher(script)
        request = make_request(granted=8)
        await dispatcher.handle(request)
        assert request.allowance.remaining == 8
        dispatcher, _ = make_dispatcher(lambda host, call: None)
        request = make_request(granted=8, seconds=1)
        reply = await dispatcher.handle(request)
        assert reply.reason == Reason.DEADLINE_EXCEEDED
        assert request.allowance.remaining == 4


@pytest.mark.looptime
class TestKeyedCalls:
    """Calls with an idempotency key, which must not run twice."""

    async def test_keyed_call_goes_to_the_key_owner(self):
        dispatcher, transport = make_dispatcher(respond)
        request = make_request(idempotent=False, key="k1")
        await dispatcher.handle(request)
        view = dispatcher.dependencies.views.value["stock"]
        owner = keyslots.owner(view, keyslots.slot_of("k1"))
        assert transport.asked_hosts == [owner.host]
        assert transport.calls[0].key == "k1"

    @pytest.mark.parametrize("reason", [Reason.OVERLOADED, Reason.KEY_REUSED])
    async def test_refusal_by_the_key_owner_is_final(self, reason):
        dispatcher, transport = make_dispatcher(refuse_all(reason))
        await dispatcher.handle(make_request(idempotent=False, key="k"))
        assert len(transport.asked_hosts) == 1

    async def test_key_owner_is_looked_up_a_bounded_number_of_times(self):
        """The owner of a key changes while a call is in flight.

        The former owner refuses the call.  The view is looked up again and the
        new owner runs the call.  If the view stays stale, the call is refused.
        """
        dispatcher, transport = make_dispatcher(None, names=("a", "b"))
        request = make_request(idempotent=False, key="k")
        view = dispatcher.dependencies.views.value["stock"]
        owner = keyslots.owner(view, keyslots.slot_of("k")).host

        def script(host, call):
            if host != owner:
                return respond(host, call)
            dispatcher.dependencies.views.value = FakeViews(
                [OTHER_HOST[owner]]
            ).value
            return calls.not_run_reply(Reason.NOT_OWNER)

        transport.script = script
        reply = await dispatcher.handle(request)
        assert reply.outcome == Outcome.ANSWERED
        assert transport.asked_hosts == [owner, OTHER_HOST[owner]]
        dispatcher, transport = make_dispatcher(refuse_all(Reason.NOT_OWNER))
        reply = await dispatcher.handle(make_request(idempotent=False, key="k"))
        assert reply.reason == Reason.NOT_OWNER
        assert len(transport.asked_hosts) == 1 + dispatch.MAX_REDIRECTS

    @pytest.mark.looptime
    async def test_call_at_a_frozen_owner_goes_to_its_successor(self):
        """The caller is told `unknown` at its deadline, and nothing ran."""
        dispatcher, transport = make_dispatcher(respond, names=("a", "b"))
        view = dispatcher.dependencies.views.value["stock"]
        owner = keyslots.owner(view, keyslots.slot_of("k")).host
        transport.script = lambda host, call: (
            None if host == owner else respond(host, call)
        )
        call = asyncio.create_task(
            dispatcher.handle(make_request(idempotent=False, key="k"))
        )
        await asyncio.sleep(1)
        dispatcher.dependencies.views.value = FakeViews(
            [OTHER_HOST[owner]]
        ).value
        assert (await call).outcome == Outcome.ANSWERED
        assert transport.asked_hosts == [owner, OTHER_HOST[owner]]
        assert asyncio.get_running_loop().time() < 2

    @pytest.mark.looptime
    @pytest.mark.parametrize(
        "replies",
        [
            (Outcome.UNKNOWN, Outcome.NOT_RUN),
            (Outcome.NOT_RUN, Outcome.UNKNOWN),
        ],
    )
    async def test_not_run_of_one_owner_is_not_told_for_both(self, replies):
        """A caller repeats with a new key what one of two owners has run."""
        dispatcher, transport = make_dispatcher(None, names=("a", "b"))
        view = dispatcher.dependencies.views.value["stock"]
        owner = keyslots.owner(view, keyslots.slot_of("k")).host
        outcomes = dict(zip((owner, OTHER_HOST[owner]), replies))
        request_made = transport.send_request

        async def send_slowly(where, body, timeout, send_by):
            await asyncio.sleep(1)
            return await request_made(where, body, timeout, send_by)

        transport.send_request = send_slowly
        transport.script = lambda host, call: messages.Reply(
            outcome=outcomes[host], reason=Reason.KEY_REUSED
        )
        call = asyncio.create_task(
            dispatcher.handle(make_request(idempotent=False, key="k"))
        )
        await asyncio.sleep(0.5)
        dispatcher.dependencies.views.value = FakeViews(
            [OTHER_HOST[owner]]
        ).value
        assert (await call).outcome == Outcome.UNKNOWN

    async def test_non_idempotent_call_is_not_sent_without_a_lease(self):
        dispatcher, transport = make_dispatcher(respond)
        dispatcher.dependencies.lease.held = False
        reply = await dispatcher.handle(make_request(idempotent=False, key="k"))
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.NO_LEASE,
        )
        assert not transport.asked_hosts
        assert (
            await dispatcher.handle(make_request())
        ).outcome == Outcome.ANSWERED


@pytest.mark.looptime
class TestShutdown:
    """Calls in flight when a node shuts down."""

    async def test_refused_call_is_reported_as_not_run(self):
        """A call that never ran is not reported as unknown at shutdown."""
        dispatcher, _ = make_dispatcher(refuse_all(), hop_tries=9, backoff=4.0)
        request = make_request(idempotent=False, seconds=60)
        handling = asyncio.create_task(dispatcher.handle(request))
        await asyncio.sleep(0.001)
        assert not handling.done()
        await dispatcher.in_flight.give_up()
        reply = await handling
        assert reply.outcome is messages.Outcome.NOT_RUN

    async def test_late_retry_is_not_sent(self):
        """Guards against a retry that starts too late and is aborted."""
        dispatcher, transport = make_dispatcher(
            refuse_all(Reason.OVERLOADED), hop_tries=9, backoff=4.0
        )
        loop = asyncio.get_running_loop()
        request = make_request(idempotent=False, seconds=60)
        handling = asyncio.create_task(dispatcher.handle(request))
        await asyncio.sleep(0.001)
        sent = len(transport.calls)
        dispatcher.dependencies.schedule.start(
            loop.time(), grace=0.001, linger=0.0005
        )
        assert (await handling).outcome is Outcome.NOT_RUN
        assert len(transport.calls) == sent

    async def test_call_waits_for_a_slot_no_longer_than_it_may_be_sent(self):
        """Guards against a call that starts late after a wait elsewhere."""
        dispatcher, transport = make_dispatcher(respond)
        dispatcher.dependencies.schedule.start(
            asyncio.get_running_loop().time(), grace=6, linger=0.05
        )
        await dispatcher.handle(make_request(seconds=60))
        assert 0 < transport.calls[0].patience_ms <= 50

    @pytest.mark.parametrize("order", ["reply-first", "shutdown-first"])
    async def test_reply_that_arrives_during_shutdown_is_returned(self, order):
        """A complete reply must not be replaced by `unknown` at shutdown."""
        dispatcher, transport = make_dispatcher(respond)
        loop = asyncio.get_running_loop()
        response_ready = loop.create_future()

        async def ask(where, body, timeout, send_by):
            del where, timeout, send_by
            await response_ready
            return respond("a", body)

        transport.send_request = ask
        request = make_request(idempotent=False, seconds=60)
        handling = asyncio.create_task(dispatcher.handle(request))
        await asyncio.sleep(0.001)
        if order == "reply-first":
            loop.call_later(
                inflight.REFUSAL_DELIVERY_SECONDS,
                response_ready.set_result,
                None,
            )
        giving_up = asyncio.create_task(dispatcher.in_flight.give_up())
        await asyncio.sleep(0)
        if order == "shutdown-first":
            loop.call_later(
                inflight.REFUSAL_DELIVERY_SECONDS,
                response_ready.set_result,
                None,
            )
        await giving_up
        reply = await handling
        assert reply.outcome is messages.Outcome.ANSWERED


@pytest.mark.looptime
class TestRejectedCalls:
    """Calls that a backend server rejected unrun, with retries by window."""

    def make_dispatcher(self, script):
        dispatcher, transport = make_dispatcher(
            script, ratio=0.2, slack=70, window=10.0, hop_tries=1
        )
        budget = dispatcher.dependencies.retry_budget
        budget.set_node_count(70)
        now = asyncio.get_running_loop().time()
        for _ in range(200):
            budget.record_request("stock", now=now)
        return dispatcher, transport

    def reject(self, times):
        """Returns a script that rejects so many calls."""
        reject_all = refuse_all(Reason.BACKEND_SHED)
        left = iter(range(times))

        def script(host, call):
            if next(left, None) is None:
                return respond(host, call)
            return reject_all(host, call)

        return script

    async def test_it_is_sent_again_to_hosts_that_were_tried(self):
        """A call fails although nothing ran and retries are left."""
        dispatcher, transport = self.make_dispatcher(self.reject(4))
        reply = await dispatcher.handle(make_request(granted=1))
        assert reply.outcome is Outcome.ANSWERED
        assert len(transport.asked_hosts) == 5
        assert len(set(transport.asked_hosts)) == 2

    async def test_the_number_of_attempts_is_bounded(self):
        dispatcher, transport = self.make_dispatcher(self.reject(100))
        await dispatcher.handle(make_request(granted=1))
        assert len(transport.asked_hosts) == 2 + retrypolicy.MAX_RESENDS

    async def test_a_call_that_may_have_run_is_not_sent_again(self):
        """An unsafe call runs twice at the same backend server."""

        def script(host, call):
            return calls.unknown_reply(Reason.CONNECTION_BROKEN)

        dispatcher, transport = self.make_dispatcher(script)
        await dispatcher.handle(make_request(idempotent=False, granted=0))
        assert len(transport.asked_hosts) == 1

    async def test_trees_below_more_important_ones_are_told(self):
        """Nobody learns that all retries go to more important calls."""
        dispatcher, _ = self.make_dispatcher(self.reject(1000))
        budget = dispatcher.dependencies.retry_budget
        window = budget.find_window("stock")
        window.demand[-1] = 1000.0
        request = make_request(granted=1)
        await dispatcher.handle(request)
        assert request.retry_threshold > 0
