"""Execution of calls, with a scripted client for the backend server."""

import asyncio
import unittest.mock

import pytest

from mangobay import (
    backend,
    backendbody,
    calls,
    errors,
    execution,
    httpheaders,
    httpparse,
    ids,
    knownstates,
    localservices,
    options,
    requestbody,
    responsestream,
)
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason
PROCESS = calls.Process("me", "centre", "run-1")
LONG_SECONDS = 60.0
SLOT_WAIT_SECONDS = 2.0
CONNECT_SECONDS = 3.0
RESPONSE_SECONDS = 0.01
INCARNATION = ids.BackendIncarnation("i-1/5")


class FakePermit:
    """Records how permits were released."""

    def __init__(self):
        self.released_ok: list[bool] = []
        self.downstream_thresholds: list[int] = []

    def release(
        self,
        seconds,
        ok,
        child_wait_seconds=0.0,
        backend_shed=False,
        downstream_threshold=0,
    ):
        self.released_ok.append(ok)
        self.released_seconds = seconds
        self.downstream_thresholds.append(downstream_threshold)


class FakeAdmission:
    """An admission controller that admits every call at once."""

    threshold = 300
    reported_threshold = 400
    running = 2
    load = 2
    limit = capacity = 7

    def __init__(self):
        self.permit = FakePermit()

    async def acquire(self, request):
        return self.permit

    def set_slots(self, slots):
        pass

    def set_rate_limit(self, rate):
        self.rate_limit = rate

    def refuse_all_waiting(self):
        pass

    def downstream_threshold(self, operation):
        return self.reported_threshold


class FakeBackendClient:
    """Awaits `before_send`, then responds as the test says."""

    def __init__(self, respond):
        self.respond = respond
        self.cancelled = 0

    async def send(self, address, request, attempt):
        await attempt.prepare()
        try:
            return await self.respond(attempt)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def make_executor(respond) -> execution.CallExecutor:
    services = localservices.LocalServices(
        5, FakeAdmission, lambda services: None
    )
    address = options.Address("127.0.0.1", 1)
    services.announce(
        localservices.Announcement(
            service="stock",
            address=address,
            slots=4,
            incarnation=INCARNATION,
        )
    )
    return execution.CallExecutor(
        PROCESS, services, FakeBackendClient(respond), None
    )


def call(idempotent=True, deadline_ms=1000) -> messages.Call:
    return messages.Call(
        service="stock",
        method="GET",
        call_id="00000000000000ab",
        deadline_ms=deadline_ms,
        tries=5,
        idempotent=idempotent,
        traceparent=httpheaders.new_trace(0).traceparent("00000000000000ab"),
    )


def fail_with(error, sent):
    async def respond(attempt):
        attempt.sent = sent
        raise error

    return respond


def shed():
    async def respond(attempt):
        attempt.sent = True
        return backend.Response(
            status=503, headers=[], body=b"", seconds=0.1, shed=True
        )

    return respond


@pytest.mark.looptime
class TestOutcome:
    """The outcome in a reply is true."""

    @pytest.mark.parametrize(
        ("error", "sent", "outcome", "reason"),
        [
            (
                errors.BackendUnreachableError(""),
                False,
                Outcome.NOT_RUN,
                Reason.CONNECTION_FAILED,
            ),
            (
                errors.BackendTimeoutError(""),
                False,
                Outcome.NOT_RUN,
                Reason.DEADLINE_EXCEEDED,
            ),
            (
                errors.BackendTimeoutError(""),
                True,
                Outcome.UNKNOWN,
                Reason.DEADLINE_EXCEEDED,
            ),
            (
                errors.BackendBrokenError(""),
                True,
                Outcome.UNKNOWN,
                Reason.CONNECTION_BROKEN,
            ),
            (
                errors.IncompleteResponseError(""),
                True,
                Outcome.UNKNOWN,
                Reason.INCOMPLETE_ANSWER,
            ),
            (
                errors.InvariantError(""),
                True,
                Outcome.UNKNOWN,
                Reason.INTERNAL,
            ),
        ],
    )
    async def test_not_run_only_before_the_first_byte(
        self, error, sent, outcome, reason
    ):
        executor = make_executor(fail_with(error, sent))
        reply = await executor.serve(call())
        assert (reply.outcome, reply.reason) == (outcome, reason)
        assert reply.tries_left == 5
        assert (reply.threshold, reply.inflight, reply.limit) == (300, 2, 7)
        assert reply.below == 400
        assert executor.idle

    async def test_shed_call_is_not_run_unless_it_made_child_calls(self):
        """A backend server returns the refusal of a service that it called.

        With child calls, part of its work was done, so `not_run` would be
        false. Its claim counts only if it made no child call.
        """
        executor = make_executor(shed())
        assert (await executor.serve(call())).reason == Reason.BACKEND_SHED

        async def respond_after_child_call(attempt):
            (parent,) = executor.parents.values()
            assert parent.running_call.allow_child("POST", "/book", b"")
            return await shed()(attempt)

        executor.backend_client.respond = respond_after_child_call
        reply = await executor.serve(call())
        assert (reply.outcome, reply.status) == (Outcome.ANSWERED, 503)

    async def test_admission_learns_of_a_refused_child_call(self):
        """A child call is refused, and the backend server responds with 502.

        Admission must learn the threshold that refused the child call, and
        that the call did not succeed.
        """

        async def respond_after_refusal(attempt):
            attempt.sent = True
            (parent,) = executor.parents.values()
            parent.running_call.child_refused(500)
            return backend.Response(
                status=502, headers=[], body=b"", seconds=0.1, shed=False
            )

        executor = make_executor(respond_after_refusal)
        await executor.serve(call())
        permit = executor.local_services.find("stock").admission.permit
        assert (permit.released_ok, permit.downstream_thresholds) == (
            [False],
            [500],
        )

    async def test_refusals_return_every_retry(self):
        executor = make_executor(None)
        reply = await executor.serve(call(deadline_ms=0))
        assert (reply.reason, reply.tries_left) == (Reason.DEADLINE_EXCEEDED, 5)
        executor.leaving = True
        reply = await executor.serve(call())
        assert (reply.reason, reply.tries_left) == (Reason.LEAVING, 5)


class SlowAdmission(FakeAdmission):
    """An admission controller whose slots are free after a while."""

    async def acquire(self, request):
        await asyncio.sleep(SLOT_WAIT_SECONDS)
        return await super().acquire(request)


@pytest.mark.looptime
class TestShutdown:
    """Calls that have waited until the process stops."""

    def make_executor(self):
        async def respond(attempt):
            attempt.sent = True
            return backend.Response(
                status=200, headers=[], body=b"", seconds=0.1, shed=False
            )

        executor = make_executor(respond)
        found = executor.local_services.find("stock")
        found.admission = SlowAdmission()
        return executor

    async def serve_while_stopping(self, deadline_ms):
        """Returns the reply of a call that gets its slot late."""
        executor = self.make_executor()
        now = asyncio.get_running_loop().time()
        request = call(deadline_ms=deadline_ms)
        serving = asyncio.create_task(executor.serve(request))
        await asyncio.sleep(0)
        executor.shutdown.start(
            now, grace=4 * SLOT_WAIT_SECONDS, linger=SLOT_WAIT_SECONDS / 2
        )
        return await serving

    async def test_call_that_would_be_aborted_is_not_sent(self):
        """Guards against sending a call after a wait, and cutting it."""
        reply = await self.serve_while_stopping(int(LONG_SECONDS * 1000))
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.LEAVING,
        )

    async def test_call_that_ends_before_the_abort_is_sent(self):
        """Guards against refusing calls of other nodes that can be served."""
        seconds = 2 * SLOT_WAIT_SECONDS
        reply = await self.serve_while_stopping(int(seconds * 1000))
        assert reply.outcome is Outcome.ANSWERED

    async def test_call_whose_body_was_cut_off_is_not_run(self):
        """Guards against an unknown outcome, and a host taken for leaving."""
        executor = self.make_executor()
        body = requestbody.RequestBody(None, unittest.mock.Mock())
        request = requestbody.ContinuedCall.make(
            call(), requestbody.AttemptSource(body)
        )
        serving = asyncio.create_task(executor.serve(request))
        await asyncio.sleep(0)
        body.cut_off("the process stops")
        reply = await serving
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.CANCELLED,
        )


class TimelyServer:
    """A client of a backend server that stops work at its deadline."""

    async def send(self, address, request, attempt):
        await attempt.prepare()
        attempt.sent = True
        seconds = request.deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout_at(request.abort_at):
                await asyncio.sleep(seconds + RESPONSE_SECONDS)
        except TimeoutError:
            raise errors.BackendTimeoutError("no response in time") from None
        return backend.Response(
            status=504, headers=[], body=b"", seconds=0.1, shed=False
        )


@pytest.mark.looptime
class TestDeadline:
    """Calls whose backend server works until their shortened deadline."""

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_response_of_the_server_is_passed_on(self, idempotent):
        """Guards against an unknown outcome in place of a response."""
        executor = make_executor(shed())
        executor.backend_client = TimelyServer()
        request = call(idempotent, deadline_ms=2000)
        request.shortened = True
        reply = await executor.serve(request)
        assert (reply.outcome, reply.status) == (Outcome.ANSWERED, 504)

    async def test_short_deadline_stays_nearly_whole(self):
        """Guards against a server that gets no time for a short call."""
        executor = make_executor(shed())
        executor.backend_client = TimelyServer()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request = call(deadline_ms=10)
        request.shortened = True
        await executor.serve(request)
        assert loop.time() - started_at > 0.0095


@pytest.mark.looptime
class TestNonIdempotent:
    """Started non-idempotent calls complete."""

    async def serve_for(self, executor, seconds):
        serve_task = asyncio.create_task(executor.serve(call(idempotent=False)))
        await asyncio.sleep(seconds)
        return serve_task

    async def test_cancelled_booking_runs_to_its_end(self):
        """The caller disconnects while its booking runs.

        The call must keep its slot and its request must not be cancelled. Once
        the backend server has responded, nothing remains in progress.
        """
        done = asyncio.Event()

        async def respond_slowly(attempt):
            attempt.sent = True
            await asyncio.sleep(0.5)
            done.set()
            return await shed()(attempt)

        executor = make_executor(respond_slowly)
        serve_task = await self.serve_for(executor, 0.1)
        serve_task.cancel()
        await asyncio.wait({serve_task})
        assert serve_task.cancelled()
        assert not executor.idle
        await done.wait()
        await asyncio.sleep(0.01)
        assert executor.idle
        assert executor.backend_client.cancelled == 0

    async def test_caller_gets_unknown_at_the_deadline(self):
        async def respond_slowly(attempt):
            attempt.sent = True
            await asyncio.sleep(3)
            return await shed()(attempt)

        executor = make_executor(respond_slowly)
        reply = await executor.serve(call(idempotent=False))
        assert (reply.outcome, reply.reason) == (
            Outcome.UNKNOWN,
            Reason.DEADLINE_EXCEEDED,
        )
        assert asyncio.get_running_loop().time() < 2
        assert executor.unkeyed_tasks
        await asyncio.sleep(3)
        assert executor.idle

    async def test_cancelled_read_frees_its_slot(self):
        async def respond_late(attempt):
            attempt.sent = True
            await asyncio.sleep(LONG_SECONDS)

        executor = make_executor(respond_late)
        serve_task = asyncio.create_task(executor.serve(call()))
        await asyncio.sleep(0.1)
        serve_task.cancel()
        await asyncio.wait({serve_task})
        assert executor.idle
        permit = executor.local_services.find("stock").admission.permit
        assert permit.released_ok == [False]
        assert executor.backend_client.cancelled == 1

    async def test_booking_that_never_started_is_not_run(self):
        """A booking gets no slot before its deadline.

        The caller must get `not_run`. With `unknown` it would have to assume
        that the booking may have run.
        """
        executor = make_executor(shed())
        local_service = executor.local_services.find("stock")

        async def wait_forever(request):
            await asyncio.sleep(60)

        local_service.admission.acquire = wait_forever
        reply = await executor.serve(call(idempotent=False))
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.DEADLINE_EXCEEDED,
        )
        await asyncio.sleep(0.01)
        assert executor.idle


@pytest.mark.looptime
class TestChildCalls:
    """What a reply says about child calls."""

    @pytest.mark.parametrize("calls_made", [0, 2])
    async def test_reply_says_whether_child_calls_were_made(self, calls_made):
        """A run fails; whether a retry may help depends on its cause.

        A run with child calls mostly failed because of one of them.
        """

        async def respond(attempt):
            attempt.sent = True
            loop = asyncio.get_running_loop()
            (parent,) = executor.parents.values()
            for _ in range(calls_made):
                parent.running_call.child_started(loop.time())
                await asyncio.sleep(0.01)
                parent.running_call.child_ended(loop.time())
            return backend.Response(
                status=500, headers=[], body=b"", seconds=0.1, shed=False
            )

        executor = make_executor(respond)
        reply = await executor.serve(call())
        assert reply.called_below is bool(calls_made)


def respond_with(state, status=200):
    async def respond(attempt):
        attempt.sent = True
        return backend.Response(
            status=status,
            headers=[],
            body=b"",
            seconds=0.1,
            shed=False,
            server_state=state,
        )

    return respond


@pytest.mark.looptime
class TestServerState:
    """What the backend server says about itself in its responses."""

    LIMITED = backend.ServerState(rate_limit=19.4)

    async def test_limit_is_applied_and_reported(self):
        executor = make_executor(respond_with(self.LIMITED))
        reply = await executor.serve(call())
        (state,) = reply.server_states
        assert (state.incarnation, state.rate_limit) == (INCARNATION, 19.4)
        assert (
            executor.local_services.find("stock").admission.rate_limit == 19.4
        )

    async def test_leaving_server_gets_no_more_calls(self):
        state = backend.ServerState(leaving=True)
        executor = make_executor(respond_with(state))
        reply = await executor.serve(call())
        assert reply.outcome is Outcome.ANSWERED
        assert reply.server_states[0].leaving
        later = await executor.serve(call())
        assert later.outcome is Outcome.NOT_RUN

    async def test_call_is_not_sent_once_its_server_has_left(self):
        """Guards against sending late after a wait for a connection."""
        executor = make_executor(respond_with(backend.NORMAL_STATE))
        send = executor.backend_client.send

        async def connect_and_send(*arguments):
            await asyncio.sleep(CONNECT_SECONDS)
            return await send(*arguments)

        executor.backend_client.send = connect_and_send
        serving = asyncio.create_task(
            executor.serve(call(deadline_ms=int(2000 * CONNECT_SECONDS)))
        )
        await asyncio.sleep(CONNECT_SECONDS / 2)
        executor.local_services.withdraw("stock")
        reply = await serving
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.NO_BACKEND,
        )
        assert executor.sent_count == 0

    async def test_response_of_another_server_says_nothing(self):
        """Another server at the address sets the limit of the former one."""
        executor = make_executor(respond_with(self.LIMITED, status=421))
        reply = await executor.serve(call())
        assert reply.server_states == []

    @pytest.mark.parametrize(
        "incarnation, applies", [(INCARNATION, True), ("i-1/4", False)]
    )
    async def test_callers_tell_a_restarted_node(self, incarnation, applies):
        """A node has forgotten the limit after its restart."""
        executor = make_executor(respond_with(None))
        request = call()
        request.server_states = knownstates.to_messages(
            ids.BackendIncarnation(incarnation), self.LIMITED
        )
        reply = await executor.serve(request)
        assert bool(reply.server_states) is applies


@pytest.mark.looptime
class TestLoadReport:
    """The load that the backend server reports in its responses."""

    REPORT = backend.LoadReport(running=3, waiting=1, slots=4, pace=200)

    async def replies(self, report, seconds=0.1, status=200):
        """Returns a reply and, 0.3 s later, that to a call past its time."""

        async def respond(attempt):
            attempt.sent = True
            return backend.Response(
                status=status,
                headers=[],
                body=b"",
                seconds=seconds,
                shed=False,
                load_report=report,
            )

        executor = make_executor(respond)
        reply = await executor.serve(call())
        await asyncio.sleep(0.3)
        return reply, await executor.serve(call(deadline_ms=0))

    async def test_replies_and_refusals_carry_the_report_with_its_age(self):
        reply, refusal = await self.replies(self.REPORT)
        (load,) = reply.load
        assert (load.running, load.waiting, load.slots, load.pace) == (
            (3, 1, 4, 200)
        )
        assert (load.age_ms, load.work_us, load.hold_us) == (0, 40000, 40000)
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.load[0].age_ms == 300

    async def test_report_without_pace_is_not_passed_on(self):
        """The part takes effect where it is not called for."""
        reply, refusal = await self.replies(backend.LoadReport(3, 1, 4))
        assert (reply.load, refusal.load) == ([], [])

    async def test_response_of_another_server_says_nothing(self):
        """Another server at the address directs calls by its load."""
        reply, _ = await self.replies(self.REPORT, status=421)
        assert reply.load == []


class HangingGuard:
    """A guard that waits for the permission of other nodes."""

    def refuse(self, call, running_call):
        return None

    async def begin(self, call, running_call):
        await asyncio.Event().wait()


@pytest.mark.looptime
class TestGuard:
    """Calls that wait for their guard."""

    async def test_a_caller_that_leaves_frees_the_slot(self):
        """Each caller that leaves while a run is claimed loses a slot."""
        executor = make_executor(shed())
        executor.guard = HangingGuard()
        task = asyncio.create_task(executor.serve(call()))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        admission = executor.local_services.find("stock").admission
        assert admission.permit.released_ok == [False]


@pytest.mark.looptime
class TestLargeResponses:
    """The slot of a response that is passed on before its end."""

    async def serve(self):
        """Returns an executor, its permit and the body of a large response."""
        message = httpparse.Message(status=200, body_parts=[bytes(100_000)])
        connection = unittest.mock.Mock()
        loop = asyncio.get_running_loop()
        source = backendbody.BackendBody(connection, message, loop)

        async def respond(attempt):
            attempt.sent = True
            return backend.Response(
                status=200,
                headers=[],
                body=b"",
                seconds=0.1,
                shed=False,
                stream=source.body,
            )

        executor = make_executor(respond)
        reply = await executor.serve(call())
        assert reply.tries_left == 5
        permit = executor.local_services.find("stock").admission.permit
        assert not permit.released_ok
        assert not executor.idle
        return source, permit, executor

    async def test_it_is_held_until_the_end(self):
        """Slow callers are taken for a slow backend server."""
        source, permit, executor = await self.serve()
        await asyncio.sleep(2.0)
        source.receive()
        await asyncio.sleep(7.0)
        while source.body.unread_bytes:
            await source.body.read(responsestream.PART_BYTES)
        await asyncio.sleep(1.0)
        source.body.finish()
        assert permit.released_ok == [True]
        assert permit.released_seconds == pytest.approx(3.0, abs=0.1)
        assert executor.idle

    @pytest.mark.parametrize("ending", ["abandon", "cut_off"])
    async def test_a_response_without_its_end_releases_it(self, ending):
        """The slots of responses that broke off are lost."""
        source, permit, executor = await self.serve()
        if ending == "cut_off":
            source.body.cut_off("test")
        else:
            source.body.abandon()
        assert permit.released_ok == [False]
        assert executor.idle
