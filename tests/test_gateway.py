"""Child calls and shutdown at the gateway of a routed node."""

import asyncio
import random
import types

import pytest
import routingfakes
from adapter import platformnames

from mangobay import (
    accesscontrol,
    admission,
    admissionrequest,
    calls,
    gateway,
    ids,
    leanhttp,
    lease,
    metrics,
    outcomelog,
    requestlog,
    retryallowance,
    routes,
    shutdown,
)
from mangobay.generated import messages

CRITICAL = messages.Importance.CRITICAL
NORMAL = messages.Importance.NORMAL
SLOTS = 10
CHILD_SECONDS = 0.03
CHILD_CALLS = 4
CONNECTION = types.SimpleNamespace(remote="10.0.0.1")


class FakeDispatcher:
    """Runs calls at one downstream service, which has a few slots."""

    def __init__(self):
        self.admission = admission.AdmissionController(
            routingfakes.section("admission"),
            routingfakes.section("retries", client_share=0),
            routingfakes.section("recovery"),
            random.Random(3),
        )
        self.admission.set_slots(SLOTS)
        self.requests = []

    async def handle(self, request):
        self.requests.append(request)
        admission_request = admissionrequest.AdmissionRequest(
            importance=request.importance,
            depth=request.depth,
            deadline=request.deadline,
            client=request.client,
            operation=request.operation.name,
            tree=request.tree,
            max_wait=0.15,
        )
        try:
            permit = await self.admission.acquire(admission_request)
        except admissionrequest.ShedError as error:
            return calls.not_run_reply(error.reason, error.retry_after)
        await asyncio.sleep(CHILD_SECONDS)
        permit.release(CHILD_SECONDS, ok=True)
        return messages.Reply(outcome=messages.Outcome.ANSWERED, status=200)


class GatewayHarness:
    """A gateway beside a backend server that makes child calls."""

    def __init__(self):
        self.dispatcher = FakeDispatcher()
        self.schedule = shutdown.ShutdownSchedule()
        self.parents = {}
        self.gateway = gateway.Gateway(
            platformnames.HEADER_NAMES,
            ids.ServiceName("front"),
            self.parents.get,
            self.dispatcher,
            metrics.Metrics(),
            requestlog.RequestLog(),
            self.schedule,
            accesscontrol.AccessControl(lease.DocumentLease(0.0), None),
            outcomelog.OutcomeLog("n1"),
        )
        route = routes.Route(
            name="inner",
            hostname="below.example",
            prefix="/",
            retry_safety=routes.RetrySafety.SAFE,
            timeout=0.7,
            target_latency=0.3,
            priority=1,
            weighted_services=(
                routes.WeightedService(
                    service=ids.ServiceName("below"), weight=1.0
                ),
            ),
            max_attempts=1,
        )
        document = routes.Document(
            version=1, routes=(route,), services=(), limits=None
        )
        self.gateway.table = routes.RouteTable(document)

    async def call(self, attempt_id):
        """Returns the status of a call made by the backend server."""
        headers = {
            "Host": "below.example",
            platformnames.HEADER_NAMES.backend.attempt_id: attempt_id,
            platformnames.HEADER_NAMES.backend.deadline: "700",
        }
        request = leanhttp.Request(
            method="GET", target="/x", headers=headers, raw_headers=[], body=b""
        )
        response = await self.gateway.handle(request, CONNECTION)
        return response.status

    async def run(self, attempt_id, importance):
        """Runs a request with child calls; returns whether all succeeded."""
        self.parents[attempt_id] = calls.Parent(
            call=messages.Call(
                importance=importance, tree=f"tree-{attempt_id}"
            ),
            deadline=0.0,
            running_call=retryallowance.RunningCall(
                retryallowance.RetryAllowance(0)
            ),
        )
        try:
            for number in range(CHILD_CALLS):
                if await self.call(f"{attempt_id}.{number}") != 200:
                    return False
            return True
        finally:
            del self.parents[attempt_id]


class TestHeaderNames:
    """Names of the platform's headers."""

    def test_callers_do_not_get_load_reports(self):
        """Callers depend on what backend servers tell nodes."""
        names = platformnames.HEADER_NAMES.backend
        assert names.load.lower() in names.private


@pytest.mark.looptime
class TestChildCalls:
    """Calls that a running request makes to other services."""

    async def test_child_call_inherits_importance_tree_and_depth(self):
        harness = GatewayHarness()
        assert await harness.run("a1", CRITICAL)
        assert {
            request.importance for request in harness.dispatcher.requests
        } == {CRITICAL}
        assert {request.tree for request in harness.dispatcher.requests} == {
            "tree-a1"
        }
        assert {request.depth for request in harness.dispatcher.requests} == {1}

    async def test_waiting_for_child_calls_is_not_service_time(self):
        """A backend server seems to slow down when downstream services do.

        Its runs take longer.  If that counted as its own service time, its
        concurrency limit would fall although its slots only wait.
        """
        harness = GatewayHarness()
        task = asyncio.create_task(harness.run("a1", CRITICAL))
        await asyncio.sleep(0.5 * CHILD_SECONDS)
        parent = harness.parents["a1"]
        await task
        child_wait_seconds = parent.running_call.child_wait_seconds
        assert child_wait_seconds == pytest.approx(
            CHILD_CALLS * CHILD_SECONDS, rel=0.1
        )

    async def test_unknown_parent_leaves_importance_of_the_route(self):
        harness = GatewayHarness()
        assert await harness.call("unknown.7") == 200
        assert await harness.call("plain") == 200
        importances = {
            request.importance for request in harness.dispatcher.requests
        }
        assert importances == {messages.Importance.HIGH}

    async def test_refusal_of_a_child_call_is_told_to_its_run(self):
        """Runs that end in vain are admitted again and again."""
        harness = GatewayHarness()
        refusal = calls.not_run_reply(messages.Reason.OVERLOADED)
        refusal.threshold = 300

        async def refuse(request):
            return refusal

        harness.dispatcher.handle = refuse
        running_call = retryallowance.RunningCall(
            retryallowance.RetryAllowance(0)
        )
        harness.parents["a"] = calls.Parent(
            call=messages.Call(importance=NORMAL, tree="t"),
            deadline=0.0,
            running_call=running_call,
        )
        assert await harness.call("a.0") == 503
        assert running_call.downstream_threshold == 300

    async def test_critical_requests_complete_while_downstream_is_full(self):
        """Bookings fail half-way while the downstream service serves others.

        Bookings and readers each need four calls of a service that has slots
        for two thirds of them.  All these calls use one route.  By the route's
        importance alone, the calls of bookings would be refused as often as
        those of readers.
        """
        harness = GatewayHarness()
        tasks_by_importance = {CRITICAL: [], NORMAL: []}

        async def arrive(importance, name, interval):
            for number in range(int(6 / interval)):
                request = harness.run(f"{name}{number}", importance)
                tasks_by_importance[importance].append(
                    asyncio.create_task(request)
                )
                await asyncio.sleep(interval)

        await asyncio.gather(
            arrive(CRITICAL, "b", 1 / 40), arrive(NORMAL, "r", 1 / 85)
        )
        success_rates = {}
        for importance, tasks in tasks_by_importance.items():
            results = await asyncio.gather(*tasks)
            success_rates[importance] = sum(results) / len(results)
        assert success_rates[CRITICAL] > 0.97
        assert success_rates[NORMAL] > 0.3


@pytest.mark.looptime
class TestShutdown:
    """Requests to a node that was told to stop."""

    async def test_new_requests_are_refused_after_linger(self):
        """A request accepted too late is cut when the process ends."""
        harness = GatewayHarness()
        now = asyncio.get_running_loop().time()
        harness.schedule.start(now, grace=6, linger=2)
        assert await harness.call("while-lingering") == 200
        await asyncio.sleep(2)
        assert await harness.call("late") == 503
        assert len(harness.dispatcher.requests) == 1

    async def test_request_that_waits_for_a_token_is_refused_after_linger(
        self,
    ):
        """Guards against sending a request late after a wait for its token."""
        harness = GatewayHarness()
        given_back = []

        class SlowAccess:
            document_lease = lease.DocumentLease(0.0)

            def authenticate(self, *arguments):
                return types.SimpleNamespace(name="w", priority=None)

            async def acquire_token(self, *arguments):
                await asyncio.sleep(3)
                return "token"

            def give_back(self, workspace, token):
                given_back.append(token)

        harness.gateway.access = SlowAccess()
        now = asyncio.get_running_loop().time()
        harness.schedule.start(now, grace=6, linger=2)
        assert await harness.call("a1") == 503
        assert harness.dispatcher.requests == []
        assert given_back == ["token"]

    async def test_child_calls_are_accepted_after_linger(self):
        """A request accepted in time fails because its calls are refused."""
        harness = GatewayHarness()
        now = asyncio.get_running_loop().time()
        harness.schedule.start(now, grace=6, linger=2)
        await asyncio.sleep(2)
        assert await harness.run("a1", CRITICAL)

    @pytest.mark.parametrize(
        ("seconds", "shortened"), [(2, False), (4.5, True)]
    )
    async def test_child_call_that_outlasts_the_process_is_shortened(
        self, seconds, shortened
    ):
        """Guards against a server whose response comes after the last moment."""
        harness = GatewayHarness()
        now = asyncio.get_running_loop().time()
        harness.schedule.start(now, grace=6, linger=2)
        await asyncio.sleep(seconds)
        await harness.run("a1", CRITICAL)
        assert harness.dispatcher.requests[0].shortened is shortened
