"""The real programs: bytes that come without end, from many sides at once."""

import collections

import pytest

from tests import endlessfakes, platformfakes

MAX_MEMORY_BYTES = 200_000_000
"""Memory of the smallest machines that a process may have for itself."""
REQUEST_COUNT = 200
BODY_COUNT = 800
NOT_RUN_STATUSES = {408, 421, 429, 503}


@pytest.fixture
async def endless_fleet(tmp_path):
    """Yields the processes, which the test starts."""
    async with platformfakes.Fleet(tmp_path, seeds=1, voters=1) as fleet:
        yield endlessfakes.EndlessFleet(fleet)


class TestEndlessResponses:
    """Backend servers that never end their responses."""

    async def test_they_exhaust_no_memory(self, endless_fleet):
        """Guards against many responses, each bounded, that fill the memory."""
        await endless_fleet.start("safe")
        results, small = await endless_fleet.play(
            endless_fleet.send_endless, REQUEST_COUNT, endless_fleet.entries
        )
        endless = dict(results)
        peaks = endless_fleet.peak_bytes()
        assert max(peaks.values()) < MAX_MEMORY_BYTES, peaks
        processes = endless_fleet.fleet.processes.values()
        assert {process.poll() for process in processes} == {None}
        assert {call.status for call in small} == {200}
        runs = sum(
            (collections.Counter(s.run_counts) for s in endless_fleet.servers),
            collections.Counter(),
        )
        assert set(runs.values()) == {1}
        statuses = {
            attempt_id: status
            for attempt_id, status in endless.items()
            if attempt_id in runs
        }
        assert not NOT_RUN_STATUSES.intersection(statuses.values())
        assert 502 in statuses.values()
        assert 200 not in statuses.values()
        for number in endless_fleet.entries:
            await endless_fleet.wait_until_nothing_is_held(number)


class TestIncompleteBodies:
    """Callers that never end the bodies of their requests."""

    async def test_they_exhaust_no_memory(self, endless_fleet):
        """Guards against many small bodies, each bounded, that fill the memory."""
        await endless_fleet.start("unsafe", framings=())
        statuses, _ = await endless_fleet.play(
            endless_fleet.send_incomplete, BODY_COUNT, ()
        )
        peaks = endless_fleet.peak_bytes()
        assert max(peaks.values()) < MAX_MEMORY_BYTES, peaks
        assert 503 in statuses
        assert set(statuses) <= {0, 503}
        response = await endless_fleet.fleet.request(
            endlessfakes.SMALL_NODE, endlessfakes.SMALL_SERVICE, "after"
        )
        assert response.status == 200
        await endless_fleet.wait_until_nothing_is_held(endlessfakes.SMALL_NODE)
