"""Overload of a chain of services: what callers get and what is wasted."""

import asyncio

import fakechain
import pytest

CRITICAL = fakechain.CRITICAL
NORMAL = fakechain.NORMAL
OWN_SECONDS = [0.01, 0.01, 0.02]


async def slow_down(
    service: fakechain.FakeService, factor: float, start: float, end: float
) -> None:
    """Slows a service down by a factor from `start` to `end` seconds."""
    await asyncio.sleep(start)
    service.slowdown = factor
    await asyncio.sleep(end - start)
    service.slowdown = 1.0


@pytest.mark.looptime
class TestSlowService:
    """The last service slows down fivefold, then recovers."""

    async def test_no_overload_outlasts_its_cause(self):
        """Retries keep a chain of services overloaded after its cause is gone.

        Refused callers retry up to four times, so load doubles, and the slots
        of the first service are held by calls that wait for the slow one.
        Critical calls have to be answered meanwhile.  Two seconds after the
        cause ended, all calls have to be answered and no queue may be standing.
        """
        chain = fakechain.make_chain([8, 8, 8], OWN_SECONDS)
        load = fakechain.LoadGenerator(chain)
        groups = [
            fakechain.CallerGroup(CRITICAL, 20, max_retries=4, name="booking"),
            fakechain.CallerGroup(NORMAL, 100, max_retries=4, name="reader"),
        ]
        slowdown = asyncio.create_task(slow_down(chain[-1], 5, 1, 5))
        await load.run(groups, 8)
        await slowdown
        assert load.success_rate("booking", 1, 5) >= 0.99
        assert load.success_rate("reader", 1, 5) < 0.9
        assert load.success_rate("reader", 7, 8) >= 0.99
        assert not any(service.admission.queue.length for service in chain)
        assert not any(service.admission.running for service in chain)

    async def test_slots_serve_complete_requests_while_a_service_is_slow(self):
        """Slots are wasted on stale or repeated work while a service is slow.

        The number of complete answers is compared with what the slots of the
        slow service can serve.
        """
        chain = fakechain.make_chain([8, 8, 8], OWN_SECONDS)
        load = fakechain.LoadGenerator(chain)
        groups = [
            fakechain.CallerGroup(NORMAL, 160, max_retries=4, name="reader")
        ]
        slowdown = asyncio.create_task(slow_down(chain[-1], 5, 1, 6))
        await load.run(groups, 6)
        await slowdown
        answered = sum(load.answered["reader", second] for second in (3, 4))
        capacity = 2 * 8 / (0.01 + 0.01 + 5 * 0.02)
        assert answered >= 0.85 * capacity
        assert load.wasted_seconds <= 0.05 * sum(
            service.busy_seconds.total() for service in chain
        )


@pytest.mark.looptime
class TestSurge:
    """Load rises to three times what the slots can serve."""

    async def test_important_calls_are_shed_last(self):
        """Critical calls are refused because normal calls fill the slots.

        Normal calls alone would fill the slots three times over.  Critical ones
        need a third of the slots and have to be answered as if the normal calls
        were not there.
        """
        chain = fakechain.make_chain([8, 8, 8], OWN_SECONDS)
        load = fakechain.LoadGenerator(chain)
        groups = [
            fakechain.CallerGroup(CRITICAL, 60, name="booking"),
            fakechain.CallerGroup(NORMAL, 500, name="reader"),
        ]
        await load.run(groups, 4)
        assert load.success_rate("booking", 0, 4) >= 0.99
        assert load.success_rate("reader", 1, 4) > 0.05

    async def test_heavy_clients_do_not_starve_the_others(self):
        """Two clients that send most of the calls get most of the slots.

        They send five times as much as 40 others together.  If every call had
        the same chance, the others would get little: within an importance, the
        calls of heavy clients have to be shed first.
        """
        chain = fakechain.make_chain([8], [0.05])
        load = fakechain.LoadGenerator(chain)
        groups = [
            fakechain.CallerGroup(NORMAL, 100, clients=40, name="reader"),
            fakechain.CallerGroup(NORMAL, 500, clients=2, name="robot"),
        ]
        await load.run(groups, 5)
        assert load.success_rate("reader", 1, 5) >= 0.8
        assert load.success_rate("robot", 1, 5) < 0.25


@pytest.mark.looptime
class TestRefusedDownstream:
    """A service with few slots at the end of the chain."""

    async def test_little_work_is_done_for_calls_refused_downstream(self):
        """Services work for calls that are refused at the end of the chain.

        The first services have slots for all calls, the last one for a tenth.
        The first ones have to learn which calls the last one refuses, and to
        refuse them at once.
        """
        chain = fakechain.make_chain([20, 20, 4], [0.01, 0.01, 0.1])
        load = fakechain.LoadGenerator(chain)
        groups = [fakechain.CallerGroup(NORMAL, 200, name="reader")]
        await load.run(groups, 5)
        served = sum(load.answered.values())
        busy = sum(service.busy_seconds.total() for service in chain)
        print(f"served {served}, wasted {load.wasted_seconds / busy:.3f}")
        assert served >= 5 * 4 / 0.1 * 0.85
        assert load.wasted_seconds <= 0.1 * busy
