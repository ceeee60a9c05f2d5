"""Runs that go where their calls need not cross."""

import asyncio
import random

import pytest
import routingfakes

from mangobay import ids, remotetraffic, routing
from mangobay.generated import messages

READ = ids.OperationName("read")
CALLS_PER_RUN = 4
RESPONSE_BYTES = 600
"""Bytes of each answer, of the run and of its calls."""
RUNS_PER_SECOND = 40
"""Runs a second."""


class Scenario:
    """A host near by whose calls may have to cross, and one elsewhere.

    Attributes:
      remote_bytes: bytes that crossed between the data centres.
      downstream_is_local: the service below has a host near by.
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
        self.router.update_views(routingfakes.view(1, near, far))
        self.traffic = {"near": remotetraffic.RemoteTraffic()}
        self.traffic["far"] = remotetraffic.RemoteTraffic()
        self.remote_bytes = 0
        self.load = 0
        self.downstream_is_local = True

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
        self.router.record_call_start(routingfakes.QUOTES, member.host)
        learned = self.traffic[member.host]
        if member.host == "far":
            self.remote_bytes += (
                remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
            )
        elif not self.downstream_is_local:
            for _ in range(CALLS_PER_RUN):
                learned.record_bytes(
                    READ, remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
                self.remote_bytes += (
                    remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
        learned.record_run_end(READ, now)
        seen = routing.Observation(
            outcome=messages.Outcome.ANSWERED,
            operation=READ,
            status=200,
            response_bytes=RESPONSE_BYTES,
            inflight=self.load,
            limit=20,
            remote_bytes=learned.bytes_per_run(READ, now),
        )
        self.router.record_call_end(routingfakes.QUOTES, member.host, seen)
        return member.host

    async def run_seconds(self, count):
        """Plays some seconds; returns the share of runs that went far."""
        hosts = []
        for _ in range(count * RUNS_PER_SECOND):
            hosts.append(self.run())
            await asyncio.sleep(1 / RUNS_PER_SECOND)
        return hosts.count("far") / len(hosts)


@pytest.mark.looptime
class TestPlacing:
    """Where runs go when a data centre lacks the service below."""

    async def test_runs_cross_in_place_of_their_calls(self):
        """Each answer waits for four far answers, one after the other.

        The only host near by for the service below went.  All four calls of
        a run cross, while a host elsewhere has that service beside it.
        """
        world = Scenario()
        assert await world.run_seconds(2) == 0
        assert world.remote_bytes == 0
        world.downstream_is_local = False
        await world.run_seconds(20)
        every_call = (
            20
            * RUNS_PER_SECOND
            * CALLS_PER_RUN
            * (remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES)
        )
        assert world.remote_bytes < 0.4 * every_call

    async def test_they_come_back_when_the_service_does(self):
        world = Scenario()
        world.downstream_is_local = False
        await world.run_seconds(10)
        world.downstream_is_local = True
        await world.run_seconds(25)
        assert await world.run_seconds(5) == 0

    async def test_a_full_host_elsewhere_is_left_alone(self):
        """Bytes are saved only where callers wait no longer for it."""
        world = Scenario()
        world.downstream_is_local = False
        world.load = 18
        assert await world.run_seconds(10) < 0.15

    @pytest.mark.parametrize("calls", [0, 1])
    async def test_one_call_is_no_reason(self, calls):
        """A run that makes one call would carry as much itself."""
        world = Scenario()
        learned = world.traffic["near"]
        for number in range(100):
            for _ in range(calls):
                learned.record_bytes(
                    READ, remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
            learned.record_run_end(READ, number / RUNS_PER_SECOND)
        assert not remotetraffic.should_move_run(
            learned.bytes_per_run(READ, 2.5), 0, RESPONSE_BYTES
        )
