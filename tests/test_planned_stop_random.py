"""The real programs: requests at random times around a planned stop."""

import collections
import os
import random

import pytest
import stopfakes

REQUEST_COUNT = 30
FIRST_SECONDS, LAST_SECONDS = -0.8, 4.7
"""When the first request and the last byte may be sent, after SIGTERM."""
BODY_BYTES = (0, 7, 60_000, 70_000, 300_000, 2_000_000)
DEADLINE_SECONDS = (1.5, 2.0, 3.0, 8.0)
WORK_SECONDS = (0.0, 0.05, 0.3, 1.0, 2.3, 4.0, 7.0)
MAX_PARTS = 5
CI_SEEDS = (1003, 1007)
SOAK_SEEDS = range(1000, 1000 + int(os.environ.get("MANGOBAY_SEEDS", "40")))


def draw_timing(rng):
    """Draws how a request is sent."""
    head = rng.uniform(FIRST_SECONDS, LAST_SECONDS - 0.5)
    body_bytes = rng.choice(BODY_BYTES)
    seconds = rng.choice((0.0, rng.uniform(0, 1), rng.uniform(0, 4)))
    last = min(head + seconds, LAST_SECONDS) if body_bytes else head
    return stopfakes.Timing(
        head=head,
        last=last,
        body_bytes=body_bytes,
        first_bytes=int(body_bytes * rng.choice((0.0, 0.3, 0.7))),
        part_times=tuple(
            sorted(
                rng.uniform(head, last) for _ in range(rng.randrange(MAX_PARTS))
            )
        ),
        work=rng.choice(WORK_SECONDS),
        deadline=rng.choice(DEADLINE_SECONDS),
        reads_late=rng.random() < 0.3,
        route_type=rng.choice(list(stopfakes.RouteType)),
    )


def count_statuses(results):
    """Returns how many responses had each status."""
    return dict(
        collections.Counter(
            sorted(result.response.status for result in results)
        )
    )


class TestPlannedStop:
    """One stop of one of two nodes under requests of all kinds."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_stop_breaks_no_promise(self, seed, tmp_path):
        """Guards against requests lost, cut early, run twice or refused untruly."""
        await self.play(seed, tmp_path)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_many_stops_break_no_promise(self, seed, tmp_path):
        """Guards against the same in other orders."""
        await self.play(seed, tmp_path)

    async def play(self, seed, tmp_path) -> None:
        """Stops a node under requests that are drawn from a seed."""
        rng = random.Random(seed)
        stopped = rng.choice(list(stopfakes.Stopped))
        timings = [draw_timing(rng) for _ in range(REQUEST_COUNT)]
        async with stopfakes.two_nodes(tmp_path) as stop:
            results = await stop.play(timings, stopped)
            print(
                f"seed {seed}: {stopped.name} exited with {stop.exit_code} after"
                f" {stop.exited_at:.2f} s;"
                f" statuses {count_statuses(results)}"
            )
            assert stop.breaks(results, stopped) == []
            assert stop.has_true_exit_code(results)
