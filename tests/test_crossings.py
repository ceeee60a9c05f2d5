"""Runs that go where their calls need not cross."""

import asyncio
import random

import pytest
import routingfakes

from mangobay import crossings, ids, routing
from mangobay.generated import messages

READ = ids.OperationName("read")
CALLS = 4
ANSWER = 600
"""Bytes of each answer, of the run and of its calls."""
RATE = 40
"""Runs a second."""


class World:
    """A host near by whose calls may have to cross, and one elsewhere.

    Attributes:
      carried: bytes that crossed between the data centres.
      below_is_near: the service below has a host near by.
    """

    def __init__(self):
        self.router = routing.Router(
            routingfakes.section("routing"),
            routingfakes.section("admission"),
            routingfakes.LOCAL_DATA_CENTRE,
            random.Random(5),
        )
        near = routingfakes.member("near")
        far = routingfakes.member("far", routingfakes.REMOTE_DATA_CENTRE)
        self.router.update(routingfakes.view(1, near, far))
        self.learned = {"near": crossings.Crossings()}
        self.learned["far"] = crossings.Crossings()
        self.carried = 0
        self.load = 0
        self.below_is_near = True

    def run(self):
        """Places one run and counts what crosses."""
        now = asyncio.get_running_loop().time()
        member = self.router.pick(
            routingfakes.QUOTES,
            frozenset(),
            messages.Importance.NORMAL,
            0,
            operation=READ,
        )
        self.router.began(routingfakes.QUOTES, member.host)
        learned = self.learned[member.host]
        if member.host == "far":
            self.carried += crossings.CALL_BYTES + ANSWER
        elif not self.below_is_near:
            for _ in range(CALLS):
                learned.crossed(READ, crossings.CALL_BYTES + ANSWER)
                self.carried += crossings.CALL_BYTES + ANSWER
        learned.ended(READ, now)
        seen = routing.Observation(
            outcome=messages.Outcome.ANSWERED,
            operation=READ,
            status=200,
            size=ANSWER,
            inflight=self.load,
            limit=20,
            crossing=learned.per_run(READ, now),
        )
        self.router.ended(routingfakes.QUOTES, member.host, seen)
        return member.host

    async def seconds(self, count):
        """Plays some seconds; returns the share of runs that went far."""
        hosts = []
        for _ in range(count * RATE):
            hosts.append(self.run())
            await asyncio.sleep(1 / RATE)
        return hosts.count("far") / len(hosts)


@pytest.mark.looptime
class TestPlacing:
    """Where runs go when a data centre lacks the service below."""

    async def test_runs_cross_in_place_of_their_calls(self):
        """Each answer waits for four far answers, one after the other.

        The only host near by for the service below went.  All four calls of
        a run cross, while a host elsewhere has that service beside it.
        """
        world = World()
        assert await world.seconds(2) == 0
        assert world.carried == 0
        world.below_is_near = False
        await world.seconds(20)
        every_call = 20 * RATE * CALLS * (crossings.CALL_BYTES + ANSWER)
        assert world.carried < 0.4 * every_call

    async def test_they_come_back_when_the_service_does(self):
        world = World()
        world.below_is_near = False
        await world.seconds(10)
        world.below_is_near = True
        await world.seconds(25)
        assert await world.seconds(5) == 0

    async def test_a_full_host_elsewhere_is_left_alone(self):
        """Bytes are saved only where callers wait no longer for it."""
        world = World()
        world.below_is_near = False
        world.load = 18
        assert await world.seconds(10) < 0.15

    @pytest.mark.parametrize("calls", [0, 1])
    async def test_one_call_is_no_reason(self, calls):
        """A run that makes one call would carry as much itself."""
        world = World()
        learned = world.learned["near"]
        for number in range(100):
            for _ in range(calls):
                learned.crossed(READ, crossings.CALL_BYTES + ANSWER)
            learned.ended(READ, number / RATE)
        assert not crossings.pays(learned.per_run(READ, 2.5), 0, ANSWER)
