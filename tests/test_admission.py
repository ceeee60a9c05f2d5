"""Admission control at the node beside the backend server."""

import asyncio
import random

import pytest
import routingfakes as fakes

from mangobay import admission, admissionrequest, ids
from mangobay.generated import messages

NORMAL = messages.Importance.NORMAL
HIGH = messages.Importance.HIGH
CRITICAL = messages.Importance.CRITICAL


def make_controller(slots: int = 1, **changes) -> admission.AdmissionController:
    """Returns an admission controller with a fixed number of slots."""
    settings = {"policy": "fixed"} | changes
    controller = admission.AdmissionController(
        fakes.section("admission", **settings),
        fakes.section("retries"),
        fakes.section("recovery"),
        random.Random(fakes.SEED),
    )
    controller.set_slots(slots)
    return controller


def make_request(
    importance: messages.Importance = NORMAL,
    depth: int = 0,
    timeout: float = 5.0,
    client: str = "reader",
) -> admissionrequest.AdmissionRequest:
    """Returns the request of a call that arrives now."""
    return admissionrequest.AdmissionRequest(
        importance=importance,
        depth=depth,
        deadline=asyncio.get_running_loop().time() + timeout,
        client=ids.ClientId(client),
    )


async def enqueue(
    controller: admission.AdmissionController, *requests
) -> list[asyncio.Task]:
    """Lets the calls arrive one after the other."""
    tasks = []
    for request in requests:
        tasks.append(asyncio.create_task(controller.acquire(request)))
        await asyncio.sleep(0.001)
    return tasks


async def grant_order(
    tasks: list[asyncio.Task], first_permit: admission.Permit
) -> list:
    """Frees one slot after the other; returns the order of the grants."""
    order = []
    permit = first_permit
    while len(order) < len(tasks):
        permit.release(0.001, ok=False)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        (index,) = [
            number
            for number, task in enumerate(tasks)
            if task.done() and number not in order
        ]
        order.append(index)
        permit = tasks[index].result()
    return order


@pytest.mark.looptime
class TestOrder:
    """Which waiting call gets the next slot."""

    async def test_importance_then_depth_then_newest(self):
        controller = make_controller()
        permit = await controller.acquire(make_request())
        tasks = await enqueue(
            controller,
            make_request(NORMAL, 0),
            make_request(NORMAL, 2),
            make_request(HIGH, 0),
            make_request(NORMAL, 0),
            make_request(CRITICAL, 0),
        )
        assert await grant_order(tasks, permit) == [4, 2, 1, 3, 0]

    async def test_critical_calls_go_in_the_order_of_their_arrival(self):
        controller = make_controller()
        permit = await controller.acquire(make_request())
        tasks = await enqueue(
            controller, make_request(CRITICAL), make_request(CRITICAL)
        )
        assert await grant_order(tasks, permit) == [0, 1]

    async def test_oldest_first_by_setting(self):
        controller = make_controller(order="oldest", by_depth=False)
        permit = await controller.acquire(make_request())
        tasks = await enqueue(
            controller, make_request(depth=0), make_request(depth=3)
        )
        assert await grant_order(tasks, permit) == [0, 1]

    async def test_a_full_queue_sheds_its_worst_for_a_better_call(self):
        """A critical call is refused because normal calls fill the queue.

        The oldest normal call has to be refused at once, and the critical call
        takes its place.  A less important call still finds no room.
        """
        controller = make_controller(queue_length=2)
        await controller.acquire(make_request())
        oldest, _, booking = await enqueue(
            controller, make_request(), make_request(), make_request(CRITICAL)
        )
        with pytest.raises(admissionrequest.ShedError) as caught:
            await oldest
        assert caught.value.reason == messages.Reason.OVERLOADED
        assert not booking.done()
        with pytest.raises(admissionrequest.ShedError):
            await controller.acquire(
                make_request(messages.Importance.BACKGROUND)
            )


@pytest.mark.looptime
class TestRefusal:
    """Calls that must not run."""

    async def test_a_wait_is_bounded_in_time(self, looptime):
        controller = make_controller(queue_time=0.05)
        await controller.acquire(make_request())
        with pytest.raises(admissionrequest.ShedError) as caught:
            await controller.acquire(make_request())
        assert caught.value.reason == messages.Reason.QUEUE_TIMEOUT
        assert caught.value.retry_after > 0
        assert looptime < 0.3

    async def test_a_deep_call_may_wait_for_one_service_time(self):
        """A call from another hop times out before any running call can end.

        This happens if queue_time limits its wait while a service slowed down
        so far that a call takes much longer than that.
        """
        controller = make_controller(queue_time=0.02)
        for _ in range(300):
            (await controller.acquire(make_request())).release(1.0, ok=True)
        permit = await controller.acquire(make_request())
        (task,) = await enqueue(controller, make_request(depth=2))
        await asyncio.sleep(0.5)
        permit.release(1.0, ok=True)
        assert (await task).held

    async def test_a_call_that_cannot_finish_is_not_run(self):
        """A call takes a slot although its deadline comes too soon to finish.

        Calls take 100 ms and one arrives with 20 ms left: it has to be refused
        at once although slots are free.
        """
        controller = make_controller(slots=4)
        for _ in range(200):
            permit = await controller.acquire(make_request())
            permit.release(0.1, ok=True)
        with pytest.raises(admissionrequest.ShedError) as caught:
            await controller.acquire(make_request(timeout=0.02))
        assert caught.value.reason == messages.Reason.DEADLINE_EXCEEDED
        assert controller.running == 0

    async def test_a_raised_threshold_refuses_waiting_calls_below_it(self):
        """Calls below a raised threshold wait in vain.

        Newer calls are admitted before them, and each earlier hop holds a slot
        while they wait.  The threshold rises above the normal calls: those that
        wait have to be refused, and the critical one goes on waiting.
        """
        controller = make_controller(queue_time=1)
        permit = await controller.acquire(make_request())
        tasks = await enqueue(
            controller,
            make_request(),
            make_request(CRITICAL),
            make_request(depth=2),
        )
        controller.overload.sustainable_threshold = lambda: CRITICAL * 256
        await asyncio.sleep(2.5)
        for _ in range(5):
            controller.update_threshold(asyncio.get_running_loop().time())
            await asyncio.sleep(0.11)
        assert controller.overload.threshold > HIGH * 256
        await asyncio.sleep(0)
        assert [task.done() for task in tasks] == [True, False, True]
        for task in (tasks[0], tasks[2]):
            with pytest.raises(admissionrequest.ShedError):
                task.result()
        permit.release(0.01, ok=True)
        assert (await tasks[1]).held

    async def test_waiting_calls_are_refused_when_the_backend_server_leaves(
        self,
    ):
        """A call reaches a backend server long after it said that it leaves.

        The call waits for a slot when the backend server begins to drain, and
        would get one when a running call ends.  Refused at once and not run, it
        can be served elsewhere.
        """
        controller = make_controller()
        permit = await controller.acquire(make_request())
        tasks = await enqueue(controller, make_request(), make_request(HIGH))
        controller.refuse_all_waiting()
        permit.release(0.001, ok=True)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        reasons = [error.reason for error in results]
        assert reasons == [messages.Reason.LEAVING] * 2

    async def test_service_times_are_estimated_by_operation(self):
        """A fast operation is refused by the service time of a slow one.

        Searches take 10 ms, prices 300 ms, and 100 ms are left: a price has to
        be refused before it runs, a search to be admitted.
        """
        controller = make_controller(slots=8)
        for name, seconds in (("price", 0.3), ("search", 0.01)):
            for _ in range(200):
                request = make_request()
                request.operation = ids.OperationName(name)
                (await controller.acquire(request)).release(seconds, ok=True)
        late_request = make_request(timeout=0.1)
        late_request.operation = ids.OperationName("price")
        with pytest.raises(admissionrequest.ShedError):
            await controller.acquire(late_request)
        late_request.operation = ids.OperationName("search")
        assert (await controller.acquire(late_request)).held

    async def test_an_estimate_above_all_deadlines_decays(self):
        """All calls are refused for ever after a backend server was very slow.

        With an estimate above every deadline no call runs, so that no response
        shows that the backend server recovered.  The estimate has to decay.
        """
        controller = make_controller(slots=4)
        for _ in range(500):
            permit = await controller.acquire(make_request(timeout=100))
            permit.release(5.0, ok=True)
        with pytest.raises(admissionrequest.ShedError):
            await controller.acquire(make_request(timeout=1.0))
        await asyncio.sleep(4)
        await controller.acquire(make_request(timeout=1.0))


@pytest.mark.looptime
class TestSlots:
    """No slot is lost or granted twice."""

    async def test_a_cancelled_wait_releases_its_slot(self):
        """A slot is lost because its call is cancelled as it is admitted.

        If both happen in the same iteration of the event loop, the permit was
        granted, but nobody uses or releases it.
        """
        controller = make_controller()
        permit = await controller.acquire(make_request())
        (task,) = await enqueue(controller, make_request())
        permit.release(0.001, ok=True)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert controller.running == 0

    async def test_releasing_twice_frees_one_slot(self):
        controller = make_controller(slots=2)
        permit = await controller.acquire(make_request())
        await controller.acquire(make_request())
        permit.release(0.1, ok=True)
        permit.release(0.1, ok=True)
        assert controller.running == 1

    async def test_never_more_calls_run_than_the_limit(self):
        """More calls run than there are slots, or slots are lost.

        Calls arrive, wait, are cancelled and end in random order.
        """
        controller = make_controller(slots=3)
        rng = random.Random(fakes.SEED)
        max_running = 0

        async def make_call() -> None:
            nonlocal max_running
            await asyncio.sleep(rng.random())
            importance = messages.Importance(rng.randrange(4))
            try:
                async with asyncio.timeout(rng.uniform(0.01, 0.2)):
                    permit = await controller.acquire(make_request(importance))
            except (TimeoutError, admissionrequest.ShedError):
                return
            max_running = max(max_running, controller.running)
            await asyncio.sleep(rng.uniform(0, 0.05))
            permit.release(0.02, ok=True)

        await asyncio.gather(*(make_call() for _ in range(400)))
        assert max_running == 3
        assert controller.running == 0
        assert controller.queue.length == 0


@pytest.mark.looptime
class TestRateLimit:
    """Calls that start per second at the backend server."""

    async def test_waiting_calls_start_at_the_rate(self):
        """Waiting calls start only when another one ends, and time out."""
        controller = make_controller(slots=50, queue_time=10.0)
        controller.set_rate_limit(100.0)
        started_at = asyncio.get_running_loop().time()
        tasks = await enqueue(controller, *(make_request() for _ in range(20)))
        await asyncio.gather(*tasks)
        seconds = asyncio.get_running_loop().time() - started_at
        assert 0.19 <= seconds <= 0.22

    async def test_important_calls_start_first(self):
        controller = make_controller(slots=50, queue_time=10.0)
        controller.set_rate_limit(10.0)
        normal, critical = await enqueue(
            controller, make_request(), make_request(CRITICAL)
        )
        await asyncio.wait({normal, critical}, return_when="FIRST_COMPLETED")
        assert critical.done() and not normal.done()
        normal.cancel()

    async def test_important_call_takes_the_place_of_another(self):
        """An important call is refused since the few places are taken."""
        controller = make_controller(slots=50, queue_time=10.0)
        controller.set_rate_limit(1.0)
        normal, critical = await enqueue(
            controller, make_request(), make_request(CRITICAL)
        )
        with pytest.raises(admissionrequest.ShedError):
            await normal
        await critical

    async def test_waiting_calls_start_when_the_limit_ends(self):
        controller = make_controller(slots=50, queue_time=10.0)
        controller.set_rate_limit(100.0)
        tasks = await enqueue(controller, *(make_request() for _ in range(20)))
        assert not all(task.done() for task in tasks)
        controller.set_rate_limit(None)
        await asyncio.sleep(0)
        assert all(task.done() for task in tasks)

    async def test_waiting_calls_start_when_the_limit_is_raised(self):
        """Calls wait as long as the former limit says, and time out."""
        controller = make_controller(slots=50, queue_time=10.0)
        controller.set_rate_limit(0.1)
        tasks = await enqueue(controller, make_request())
        controller.set_rate_limit(10.0)
        await asyncio.sleep(0.2)
        assert tasks[0].done()

    async def test_capacity_follows_the_rate(self):
        """Other nodes keep sending as if only the slots were limited."""
        controller = make_controller(slots=50)
        for _ in range(10):
            (await controller.acquire(make_request())).release(0.5, ok=True)
        assert controller.capacity == 50
        controller.set_rate_limit(10.0)
        assert controller.capacity == 5
        assert not controller.has_room()


class TestRecoveryWeight:
    """The setting that trades goodput against recovery."""

    @pytest.mark.parametrize("weight, factor", [(0, 2), (0.5, 1), (1, 0.5)])
    def test_scales_queue_time_and_reopening(self, weight, factor):
        settings = fakes.section("admission", queue_time=0.1, reopen_time=2.0)
        controller = admission.AdmissionController(
            settings,
            fakes.section("retries"),
            fakes.section("recovery", weight=weight),
            random.Random(fakes.SEED),
        )
        assert controller.queue_time == pytest.approx(0.1 * factor)
        assert controller.overload.reopen_time == pytest.approx(2.0 * factor)
