"""Tests of moving runs to reduce traffic between data centres."""

import asyncio
import random

import pytest
import routingfakes

from mangobay import ids, remotetraffic, routing
from mangobay.generated import messages

READ = ids.OperationName("read")
CALLS_PER_RUN = 4
RESPONSE_BYTES = 600
"""Size of each response, to the run and to its child calls."""
RUNS_PER_SECOND = 40


class Scenario:
    """Runs on a local host, whose child calls may be remote, or a remote host.

    Attributes:
      remote_bytes: Bytes sent between the data centres.
      downstream_is_local: Whether the downstream service has a local host.
    """

    def __init__(self):
        self.router = routing.Router(
            routingfakes.section("routing"),
            routingfakes.section("admission"),
            routingfakes.LOCAL_DATA_CENTRE,
            random.Random(5),
        )
        local = routingfakes.member("local")
        remote = routingfakes.member("remote", routingfakes.REMOTE_DATA_CENTRE)
        self.router.update_views(routingfakes.view(1, local, remote))
        self.traffic = {"local": remotetraffic.RemoteTraffic()}
        self.traffic["remote"] = remotetraffic.RemoteTraffic()
        self.remote_bytes = 0
        self.load = 0
        self.downstream_is_local = True

    def run(self):
        """Places one run, records its remote traffic and returns its host."""
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
        if member.host == "remote":
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
        """Runs for `count` seconds; returns the share of remote runs."""
        hosts = []
        for _ in range(count * RUNS_PER_SECOND):
            hosts.append(self.run())
            await asyncio.sleep(1 / RUNS_PER_SECOND)
        return hosts.count("remote") / len(hosts)


@pytest.mark.looptime
class TestRunPlacement:
    """Placement of runs if a data centre lacks the downstream service."""

    async def test_runs_move_if_child_calls_are_remote(self):
        """Runs must not stay local if all their child calls are remote.

        The only local host of the downstream service leaves.  Each response
        then waits for four remote responses in sequence, while a remote host
        has the downstream service in its own data centre.
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
        """Remote traffic is reduced only if callers do not wait longer."""
        scenario = Scenario()
        scenario.downstream_is_local = False
        scenario.load = 18
        assert await scenario.run_seconds(10) < 0.15

    @pytest.mark.parametrize("calls", [0, 1])
    async def test_run_with_at_most_one_child_call_stays(self, calls):
        """Moving a run with one child call would not reduce traffic."""
        scenario = Scenario()
        traffic = scenario.traffic["local"]
        for number in range(100):
            for _ in range(calls):
                traffic.record_bytes(
                    READ, remotetraffic.CALL_OVERHEAD_BYTES + RESPONSE_BYTES
                )
            traffic.record_run_end(READ, number / RUNS_PER_SECOND)
        assert not remotetraffic.should_move_run(
            traffic.bytes_per_run(READ, 2.5), 0, RESPONSE_BYTES
        )
