"""Backend servers that slow down when they are nearly full."""

import asyncio
import random

import pytest
import routingfakes

from mangobay import admission, admissionrequest, ids, knee
from mangobay.generated import messages

READ = ids.OperationName("read")
REPORT = ids.OperationName("report")
SLOTS = 23
SERVICE_SECONDS = {READ: 0.022, REPORT: 0.36}


class SimulatedBackend:
    """Feeds a knee detector with responses at any number of running calls."""

    def __init__(self, slowdown):
        self.knee = knee.KneeDetector()
        self.knee.set_slots(SLOTS)
        self.slowdown = slowdown
        self.rng = random.Random(4)
        self.now = 100.0

    def run(self, running, responses):
        for _ in range(responses):
            for operation, base_seconds in SERVICE_SECONDS.items():
                service_seconds = base_seconds * self.slowdown(running)
                service_seconds *= self.rng.uniform(0.4, 1.6)
                self.now += service_seconds / running
                self.knee.observe(operation, service_seconds, running, self.now)


class TestKnee:
    """How many slots add throughput."""

    def test_the_last_slots_stay_empty_if_they_slow_calls_down(self):
        backend = SimulatedBackend(lambda running: 1.3 if running > 21 else 1.0)
        backend.run(10, 300)
        backend.run(SLOTS, 300)
        assert backend.knee.limit == 21

    def test_the_last_slots_are_tried_again(self):
        backend = SimulatedBackend(lambda running: 1.3 if running > 21 else 1.0)
        backend.run(10, 300)
        backend.run(SLOTS, 300)
        assert backend.knee.limit == 21
        backend.slowdown = lambda running: 1.0
        backend.now += knee.INITIAL_HOLD_TIME
        backend.run(21, 200)
        backend.run(SLOTS, 200)
        assert backend.knee.limit == knee.UNLIMITED

    @pytest.mark.parametrize("slowdown", [1.0, 1.08, 12.0])
    def test_all_slots_are_used_if_the_last_ones_are_not_the_cause(
        self, slowdown
    ):
        """The limit is lowered although the last slots are not the cause.

        A backend server turns slow, however few calls it runs.  It is soon full
        and its calls take many times as long: with fewer of them at once it
        would only answer fewer.
        """
        backend = SimulatedBackend(lambda running: 1.0)
        backend.run(10, 300)
        backend.slowdown = lambda running: slowdown
        backend.run(SLOTS, 400)
        assert backend.knee.limit == knee.UNLIMITED

    def test_without_uncontended_calls_all_slots_are_used(self):
        backend = SimulatedBackend(lambda running: 1.3)
        backend.run(SLOTS, 400)
        assert backend.knee.limit == knee.UNLIMITED


@pytest.mark.looptime
class TestLoad:
    """Callers of a backend server that slows down in its last slots."""

    async def test_empty_last_slots_let_more_calls_be_served(self):
        """A backend server answers fewer calls than it could.

        Calls arrive a little faster than it can answer.  With all slots in use
        it slows down and answers fewer, so that a queue is standing and callers
        are refused.
        """
        controller = admission.AdmissionController(
            routingfakes.section("admission"),
            routingfakes.section("retries", client_share=0),
            routingfakes.section("recovery"),
            random.Random(3),
        )
        controller.set_slots(SLOTS)
        rng = random.Random(5)
        served = []

        async def make_call(arrival):
            loop = asyncio.get_running_loop()
            request = admissionrequest.AdmissionRequest(
                importance=messages.Importance.NORMAL,
                depth=0,
                deadline=loop.time() + 1,
                client=ids.ClientId("c"),
                operation=READ,
                tree=str(rng.random()),
            )
            try:
                permit = await controller.acquire(request)
            except admissionrequest.ShedError:
                return
            service_seconds = 0.05 * rng.uniform(0.6, 1.4)
            if controller.running > 0.95 * SLOTS:
                service_seconds *= 1.5
            await asyncio.sleep(service_seconds)
            permit.release(service_seconds, ok=True)
            served.append(arrival)

        async with asyncio.TaskGroup() as group:
            for rate, seconds in ((200, 3), (420, 10)):
                for _ in range(rate * seconds):
                    await asyncio.sleep(rng.expovariate(rate))
                    now = asyncio.get_running_loop().time()
                    group.create_task(make_call((rate, now)))
        served_arrivals = [
            arrived_at for rate, arrived_at in served if rate == 420
        ]
        capacity = 21 / 0.05 * 10
        assert len(served_arrivals) >= 0.93 * capacity
