"""The real programs: requests that come late in the grace of a planned stop."""

import asyncio
import json

import platformfakes
import pytest
import stopfakes

LARGE_BYTES = 300_000
SMALL_BYTES = 7


@pytest.fixture
async def planned_stop(tmp_path):
    """Yields two running nodes; callers use the first, servers the second."""
    async with stopfakes.two_nodes(tmp_path) as started:
        yield started


def timings(body_bytes):
    """Returns requests of which two thirds come with the head."""
    late = [
        (-0.5, 3.5, 2.3),
        (-0.5, 4.5, 1.5),
        (0.5, 3.2, 2.3),
        (1.5, 3.2, 2.3),
        (2.5, 3.3, 2.3),
        (1.5, 4.0, 1.5),
        (2.6, 4.0, 2.3),
        (0.5, 2.0, 2.3),
        (2.0, 2.5, 0.3),
        (2.9, 3.1, 0.3),
        (3.5, 3.6, 0.3),
    ]
    return [
        stopfakes.Timing(
            head=head,
            last=last,
            work=work,
            body_bytes=body_bytes,
            first_bytes=body_bytes * 2 // 3,
        )
        for head, last, work in late
    ]


SENT_ON = stopfakes.Timing(
    head=2.7,
    last=4.7,
    body_bytes=2_000_000,
    first_bytes=50_000,
    part_times=tuple(2.9 + 0.2 * number for number in range(9)),
    reads_late=True,
)
"""A request that is sent on after it was refused."""


class TestLateRequests:
    """Requests whose last byte comes after new work is no longer taken."""

    async def test_no_late_body_is_passed_on_and_cut(self, planned_stop):
        """Guards against passing on late bodies whose servers are then cut."""
        results = await planned_stop.play(
            [*timings(LARGE_BYTES), *timings(SMALL_BYTES), SENT_ON]
        )
        assert planned_stop.breaks(results) == []
        assert results[-1].response.status == 503


class TestExitCodes:
    """What the exit code of a node tells about what it aborted."""

    @pytest.fixture
    async def short_stop(self, tmp_path):
        """Yields two running nodes that stop soon."""
        async with stopfakes.two_nodes(tmp_path, "1.5s", "300ms") as started:
            yield started

    async def start_run(self, fleet, service):
        """Returns a caller whose unsafe request runs on and on."""
        caller = await fleet.connect(stopfakes.NODE)
        caller.writer.write(
            f"POST /x HTTP/1.1\r\nHost: {service}.example\r\n"
            f"X-Mangobay-Attempt-Id: long-{service}\r\n"
            "X-Mangobay-Deadline-Ms: 8000\r\nX-Work: 30\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

        async def runs():
            return any(
                f"long-{service}" in server.runs for server in fleet.backends
            )

        await platformfakes.wait_until(runs)
        return caller

    async def test_run_that_nobody_awaits_is_not_counted(self, short_stop):
        """Guards against an alarm for a stop that cut nobody's request."""
        fleet = short_stop.fleet
        for service in ("a", "b"):
            caller = await self.start_run(fleet, service)
            caller.writer.close()
            await caller.writer.wait_closed()
        exit_codes = await asyncio.gather(fleet.stop("n11"), fleet.stop("n12"))
        assert exit_codes == [0, 0]
        for name in ("n11", "n12"):
            log = (fleet.folder / f"{name}.log").read_text()
            assert "stopping at once" in log

    async def test_run_that_is_awaited_is_counted_once(self, short_stop):
        """Guards against a stop that cuts a request and says nothing."""
        fleet = short_stop.fleet
        callers = [await self.start_run(fleet, each) for each in ("a", "b")]
        assert await fleet.stop("n12") == 1
        assert (await callers[1].read_response()).status == 502
        assert await fleet.stop("n11") == 1
        assert (await callers[0].read_response()).status == 502
        for name in ("n11", "n12"):
            log = (fleet.folder / f"{name}.log").read_text()
            [line] = [each for each in log.splitlines() if "awaited" in each]
            assert json.loads(line)["count"] == 1
