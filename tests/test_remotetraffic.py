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
        local = routingfakes.member("near")
        remote = routingfakes.member("far", routingfakes.REMOTE_DATA_CENTRE)
        self.router.update_views(routingfakes.view(1, local, remote))
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
        traffic = self.traffic[member.host]
        if member.host == "far":
            self.remote_bytes += (
                remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
            )
        elif not self.downstream_is_local:
            for _ in range(CALLS_PER_RUN):
                traffic.record_bytes(
                    READ, remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
                self.remote_bytes += (
                    remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
        traffic.record_run_end(READ, now)
        observation = routing.Observation(
            outcome=messages.Outcome.ANSWERED,
            operation=READ,
            status=200,
            response_bytes=RESPONSE_BYTES,
            inflight=self.load,
            limit=20,
            remote_bytes=traffic.bytes_per_run(READ, now),
        )
        self.router.record_call_end(
            routingfakes.QUOTES, member.host, observation
        )
        return member.host

    async def run_seconds(self, count):
        """Plays some seconds; returns the share of runs that went far."""
        hosts = []
        for _ in range(count * RUNS_PER_SECOND):
            hosts.append(self.run())
            await asyncio.sleep(1 / RUNS_PER_SECOND)
        return hosts.count("far") / len(hosts)


@pytest.mark.looptime
class TestRunPlacement:
    """Where runs go when a data centre lacks the service below."""

    async def test_runs_move_if_child_calls_are_remote(self):
        """Each answer waits for four far answers, one after the other.

        The only host near by for the service below went.  All four calls of
        a run cross, while a host elsewhere has that service beside it.
        """
        scenario = Scenario()
        assert await scenario.run_seconds(2) == 0
        assert scenario.remote_bytes == 0
        scenario.downstream_is_local = False
        await scenario.run_seconds(20)
        every_call = (
            20
            * RUNS_PER_SECOND
            * CALLS_PER_RUN
            * (remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES)
        )
        assert scenario.remote_bytes < 0.4 * every_call

    async def test_runs_return_when_the_downstream_service_returns(self):
        scenario = Scenario()
        scenario.downstream_is_local = False
        await scenario.run_seconds(10)
        scenario.downstream_is_local = True
        await scenario.run_seconds(25)
        assert await scenario.run_seconds(5) == 0

    async def test_runs_do_not_move_to_a_full_host(self):
        """Bytes are saved only where callers wait no longer for it."""
        scenario = Scenario()
        scenario.downstream_is_local = False
        scenario.load = 18
        assert await scenario.run_seconds(10) < 0.15

    @pytest.mark.parametrize("calls", [0, 1])
    async def test_run_with_at_most_one_child_call_stays(self, calls):
        """A run that makes one call would carry as much itself."""
        scenario = Scenario()
        traffic = scenario.traffic["near"]
        for number in range(100):
            for _ in range(calls):
                traffic.record_bytes(
                    READ, remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
            traffic.record_run_end(READ, number / RUNS_PER_SECOND)
        assert not remotetraffic.should_move_run(
            traffic.bytes_per_run(READ, 2.5), 0, RESPONSE_BYTES
        )
