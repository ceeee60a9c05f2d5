"""Calls at the backend server's node, with a backend server that is scripted."""

import asyncio

import pytest

from mangobay import (
    backend,
    calls,
    errors,
    execution,
    httpheaders,
    localservices,
    options,
)
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason
PROCESS = calls.Process("me", "centre", "run-1")
LONG_SECONDS = 60.0


class FakePermit:
    """Notes how a slot was given back."""

    def __init__(self):
        self.left: list[bool] = []
        self.below: list[int] = []

    def release(
        self,
        seconds,
        ok,
        child_wait_seconds=0.0,
        backend_shed=False,
        downstream_threshold=0,
    ):
        self.left.append(ok)
        self.below.append(downstream_threshold)


class FakeAdmission:
    """An admission that admits at once."""

    threshold = 300
    told_below = 400
    running = 2
    load = 2
    limit = 7

    def __init__(self):
        self.permit = FakePermit()

    async def acquire(self, ticket):
        return self.permit

    def set_slots(self, slots):
        pass

    def downstream_threshold(self, operation):
        return self.told_below


class FakeBackendClient:
    """Opens the gate, then does what the test says."""

    def __init__(self, act):
        self.act = act
        self.cancelled = 0

    async def send(self, address, request, attempt):
        if attempt.before_send is not None:
            await attempt.before_send()
        try:
            return await self.act(attempt)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def make_executor(act) -> execution.CallExecutor:
    served = localservices.LocalServices(
        5, FakeAdmission, lambda services: None
    )
    address = options.Address("127.0.0.1", 1)
    served.announce(
        localservices.Announcement(service="stock", address=address, slots=4)
    )
    return execution.CallExecutor(PROCESS, served, FakeBackendClient(act), None)


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
    async def act(attempt):
        attempt.sent = sent
        raise error

    return act


def shed():
    async def act(attempt):
        attempt.sent = True
        return backend.Response(
            status=503, headers=[], body=b"", seconds=0.1, shed=True
        )

    return act


@pytest.mark.looptime
class TestOutcome:
    """What is said of a call is true."""

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
    async def test_not_run_is_said_only_before_the_first_byte(
        self, error, sent, outcome, reason
    ):
        made = make_executor(fail_with(error, sent))
        reply = await made.serve(call())
        assert (reply.outcome, reply.reason) == (outcome, reason)
        assert reply.tries_left == 5
        assert (reply.threshold, reply.inflight, reply.limit) == (300, 2, 7)
        assert reply.below == 400
        assert made.idle

    async def test_a_shed_call_counts_as_not_run_unless_it_had_children(self):
        """A backend server hands on the refusal of a service below it.

        It had already booked elsewhere, so "not run" would be false.  Only
        where it made no child call its word is taken.
        """
        made = make_executor(shed())
        assert (await made.serve(call())).reason == Reason.BACKEND_SHED

        async def with_child(attempt):
            (parent,) = made.parents.values()
            assert parent.running_call.allow_child("POST", "/book", b"")
            return await shed()(attempt)

        made.backend_client.act = with_child
        reply = await made.serve(call())
        assert (reply.outcome, reply.status) == (Outcome.ANSWERED, 503)

    async def test_admission_hears_what_is_refused_below(self):
        """A child call is refused, and the backend server answers 502.

        Its slot and its work were wasted.  Admission is told the threshold
        that refused it, and that no whole answer came of it.
        """

        async def refused(attempt):
            attempt.sent = True
            (parent,) = made.parents.values()
            parent.running_call.child_refused(500)
            return backend.Response(
                status=502, headers=[], body=b"", seconds=0.1, shed=False
            )

        made = make_executor(refused)
        await made.serve(call())
        permit = made.local_services.find("stock").admission.permit
        assert (permit.left, permit.below) == ([False], [500])

    async def test_refusals_hand_every_try_back(self):
        made = make_executor(None)
        reply = await made.serve(call(deadline_ms=0))
        assert (reply.reason, reply.tries_left) == (Reason.DEADLINE_EXCEEDED, 5)
        made.leaving = True
        reply = await made.serve(call())
        assert (reply.reason, reply.tries_left) == (Reason.LEAVING, 5)


@pytest.mark.looptime
class TestStarted:
    """A booking that has started is finished."""

    async def run_for(self, made, seconds):
        asking = asyncio.create_task(made.serve(call(idempotent=False)))
        await asyncio.sleep(seconds)
        return asking

    async def test_a_cancelled_booking_goes_on(self):
        """The caller hangs up while its booking runs.

        Its slot stays taken and the backend server is not disturbed; once it
        has answered, nothing is left behind.
        """
        done = asyncio.Event()

        async def book(attempt):
            attempt.sent = True
            await asyncio.sleep(0.5)
            done.set()
            return await shed()(attempt)

        made = make_executor(book)
        asking = await self.run_for(made, 0.1)
        asking.cancel()
        await asyncio.wait({asking})
        assert asking.cancelled()
        assert not made.idle
        await done.wait()
        await asyncio.sleep(0.01)
        assert made.idle
        assert made.backend_client.cancelled == 0

    async def test_at_its_deadline_the_caller_is_told_unknown(self):
        async def book(attempt):
            attempt.sent = True
            await asyncio.sleep(3)
            return await shed()(attempt)

        made = make_executor(book)
        reply = await made.serve(call(idempotent=False))
        assert (reply.outcome, reply.reason) == (
            Outcome.UNKNOWN,
            Reason.DEADLINE_EXCEEDED,
        )
        assert asyncio.get_running_loop().time() < 2
        assert made.unkeyed_tasks
        await asyncio.sleep(3)
        assert made.idle

    async def test_a_cancelled_read_frees_its_slot(self):
        async def read(attempt):
            attempt.sent = True
            await asyncio.sleep(LONG_SECONDS)

        made = make_executor(read)
        asking = asyncio.create_task(made.serve(call()))
        await asyncio.sleep(0.1)
        asking.cancel()
        await asyncio.wait({asking})
        assert made.idle
        permit = made.local_services.find("stock").admission.permit
        assert permit.left == [False]
        assert made.backend_client.cancelled == 1

    async def test_one_that_never_started_is_told_not_run(self):
        """A caller whose booking got no slot in time may send it again.

        Every slot is taken until the deadline; told 504 the caller would have
        to take the booking for one that may have run.
        """
        made = make_executor(shed())
        place = made.local_services.find("stock")

        async def never(ticket):
            await asyncio.sleep(60)

        place.admission.acquire = never
        reply = await made.serve(call(idempotent=False))
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.DEADLINE_EXCEEDED,
        )
        await asyncio.sleep(0.01)
        assert made.idle


@pytest.mark.looptime
class TestCallsBelow:
    """What a reply says of the calls that its run made."""

    @pytest.mark.parametrize("calls_made", [0, 2])
    async def test_a_run_that_made_calls_says_so(self, calls_made):
        """A run fails; whether another attempt may help depends on why.

        One that made calls of its own mostly failed for one of those.
        """

        async def act(attempt):
            attempt.sent = True
            loop = asyncio.get_running_loop()
            (parent,) = made.parents.values()
            for _ in range(calls_made):
                parent.running_call.child_started(loop.time())
                await asyncio.sleep(0.01)
                parent.running_call.child_ended(loop.time())
            return backend.Response(
                status=500, headers=[], body=b"", seconds=0.1, shed=False
            )

        made = make_executor(act)
        reply = await made.serve(call())
        assert reply.called_below is bool(calls_made)
