"""What the gateway makes of a call that a backend server makes."""

import asyncio
import random
import types

import pytest
import routingfakes
from adapter import words

from mangobay import (
    admission,
    admissionrequest,
    calls,
    gateway,
    ids,
    leanhttp,
    metrics,
    requestlog,
    retryallowance,
    routes,
    shutdown,
)
from mangobay.generated import messages

CRITICAL = messages.Importance.CRITICAL
NORMAL = messages.Importance.NORMAL
SLOTS = 10
INNER_SECONDS = 0.03
INNER_CALLS = 4
CLIENT = types.SimpleNamespace(remote="10.0.0.1")


class FakeDispatcher:
    """Runs calls at one service below, which has a few slots."""

    def __init__(self):
        self.admission = admission.AdmissionController(
            routingfakes.section("admission"),
            routingfakes.section("retries", client_share=0),
            routingfakes.section("recovery"),
            random.Random(3),
        )
        self.admission.set_slots(SLOTS)
        self.seen = []

    async def handle(self, request):
        self.seen.append(request)
        ticket = admissionrequest.AdmissionRequest(
            importance=request.importance,
            depth=request.depth,
            deadline=request.deadline,
            client=request.client,
            operation=request.operation.name,
            tree=request.tree,
            max_wait=0.15,
        )
        try:
            permit = await self.admission.acquire(ticket)
        except admissionrequest.ShedError as error:
            return calls.not_run_reply(error.reason, error.retry_after)
        await asyncio.sleep(INNER_SECONDS)
        permit.release(INNER_SECONDS, ok=True)
        return messages.Reply(outcome=messages.Outcome.ANSWERED, status=200)


class World:
    """A gateway beside a backend server that makes calls of its own."""

    def __init__(self):
        self.dispatcher = FakeDispatcher()
        self.departure = shutdown.ShutdownSchedule()
        self.runs = {}
        self.gateway = gateway.Gateway(
            words.HEADER_NAMES,
            ids.ServiceName("front"),
            self.runs.get,
            self.dispatcher,
            metrics.Metrics(),
            requestlog.RequestLog(),
            self.departure,
        )
        route = routes.Route(
            name="inner",
            hostname="below.example",
            prefix="/",
            kind=routes.Kind.SAFE,
            timeout=0.7,
            target_latency=0.3,
            priority=1,
            parts=(routes.Part(service=ids.ServiceName("below"), weight=1.0),),
            most_attempts=1,
        )
        document = routes.Document(
            version=1, routes=(route,), services=(), limits=None
        )
        self.gateway.table = routes.Table(document)

    async def call(self, attempt):
        """Returns the status of a call of the backend server."""
        fields = {
            "Host": "below.example",
            words.HEADER_NAMES.backend.attempt_id: attempt,
            words.HEADER_NAMES.backend.deadline: "700",
        }
        request = leanhttp.Request(
            method="GET", target="/x", headers=fields, raw_headers=[], body=b""
        )
        answer = await self.gateway.handle(request, CLIENT)
        return answer.status

    async def run(self, attempt, importance):
        """Runs a request that needs some calls; returns whether all came."""
        self.runs[attempt] = calls.Parent(
            call=messages.Call(importance=importance, tree=f"tree-{attempt}"),
            deadline=0.0,
            running_call=retryallowance.RunningCall(
                retryallowance.RetryAllowance(0)
            ),
        )
        try:
            for number in range(INNER_CALLS):
                if await self.call(f"{attempt}.{number}") != 200:
                    return False
            return True
        finally:
            del self.runs[attempt]


@pytest.mark.looptime
class TestCallsOfBackendServers:
    """Calls that a running request makes."""

    async def test_a_call_has_the_rank_of_the_request_it_is_for(self):
        world = World()
        assert await world.run("a1", CRITICAL)
        assert {each.importance for each in world.dispatcher.seen} == {CRITICAL}
        assert {each.tree for each in world.dispatcher.seen} == {"tree-a1"}
        assert {each.depth for each in world.dispatcher.seen} == {1}

    async def test_a_run_does_not_work_while_it_waits_for_its_calls(self):
        """A backend server seems to slow down as the services below do.

        Its runs last longer, and taken for its own time that would lower the
        number of runs that it is given, though its slots are only held.
        """
        world = World()
        running = asyncio.create_task(world.run("a1", CRITICAL))
        await asyncio.sleep(0.5 * INNER_SECONDS)
        parent = world.runs["a1"]
        await running
        awaited = parent.running_call.child_wait_seconds
        assert awaited == pytest.approx(INNER_CALLS * INNER_SECONDS, rel=0.1)

    async def test_an_id_that_names_nothing_here_leaves_the_routes_rank(self):
        world = World()
        assert await world.call("unknown.7") == 200
        assert await world.call("plain") == 200
        ranks = {each.importance for each in world.dispatcher.seen}
        assert ranks == {messages.Importance.HIGH}

    async def test_urgent_requests_end_though_the_service_below_is_full(self):
        """Bookings fail half-way while the service below serves others.

        Bookings and readers each need four calls of a service that has slots
        for two thirds of them.  All these calls go over one route: by its rank
        alone, the calls of bookings are refused as often as those of readers.
        """
        world = World()
        ended = {CRITICAL: [], NORMAL: []}

        async def arrive(importance, name, pause):
            for number in range(int(6 / pause)):
                run = world.run(f"{name}{number}", importance)
                ended[importance].append(asyncio.create_task(run))
                await asyncio.sleep(pause)

        await asyncio.gather(
            arrive(CRITICAL, "b", 1 / 40), arrive(NORMAL, "r", 1 / 85)
        )
        shares = {}
        for importance, tasks in ended.items():
            answered = await asyncio.gather(*tasks)
            shares[importance] = sum(answered) / len(answered)
        assert shares[CRITICAL] > 0.97
        assert shares[NORMAL] > 0.3


@pytest.mark.looptime
class TestDeparture:
    """Requests to a node that was told to stop."""

    async def test_a_node_about_to_end_takes_nothing_new(self):
        """A request taken last is cut when the process ends."""
        world = World()
        now = asyncio.get_running_loop().time()
        world.departure.start(now, grace=6, linger=2)
        assert await world.call("while-lingering") == 200
        await asyncio.sleep(2)
        assert await world.call("late") == 503
        assert len(world.dispatcher.seen) == 1

    async def test_the_calls_of_a_run_here_are_still_taken(self):
        """A run that was taken in time fails, since its calls are refused."""
        world = World()
        now = asyncio.get_running_loop().time()
        world.departure.start(now, grace=6, linger=2)
        await asyncio.sleep(2)
        assert await world.run("a1", CRITICAL)
