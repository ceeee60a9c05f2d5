"""A short soak of the real programs."""

import dataclasses
import pathlib

import pytest
from adapter import fakeplatform

from bench.soak import bounds, judge, play, report, world

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEED = 27
SECONDS = 12.0
MINORITY_SEED = 131
MINORITY_SECONDS = 8.0
CRASH_SEED = 4904
CRASH_SECONDS = 6.0
MANNERS_SEED = 57144
MANNERS_SECONDS = 10.0
EMPTIED_SEED = 316807
EMPTIED_SECONDS = 20.0
BUSY = dataclasses.replace(
    bounds.TARGET, loss_slack=1.0, config_apply=5.0, freed=2.0
)
"""Wider where a busy machine is slow; what is true of requests stays so."""


async def find_breaks(folder, seed, seconds, size, target):
    """Plays a seed; returns what it breaks, and the explanation."""
    run = play.Run(
        seed=seed, seconds=seconds, size=size, tree=ROOT, folder=folder
    )
    played = await play.play(run, fakeplatform.DIALECT)
    found = judge.judge(played.seen, target)
    return found, report.explain(played, found, "this test")


class TestShortRun:
    """Restarts that overlap, and changes of configuration beside them."""

    async def test_planned_work_breaks_nothing(self, tmp_path):
        """A request taken by a stopping node is cut, or runs though refused."""
        found, explanation = await find_breaks(
            tmp_path, SEED, SECONDS, world.Size(nodes=4, controls=3), BUSY
        )
        assert not found, explanation

    async def test_frozen_control_hosts_delay_no_change(self, tmp_path):
        """Two of five control hosts stand still while nodes need news."""
        target = dataclasses.replace(
            BUSY, config_apply=bounds.TARGET.config_apply
        )
        found, explanation = await find_breaks(
            tmp_path,
            MINORITY_SEED,
            MINORITY_SECONDS,
            world.Size(nodes=4, controls=5),
            target,
        )
        assert not found, explanation

    async def test_a_request_that_ends_servers_is_held_back(self, tmp_path):
        """Callers that repeat it end each server that starts again."""
        found, explanation = await find_breaks(
            tmp_path,
            CRASH_SEED,
            CRASH_SECONDS,
            world.Size(nodes=6, controls=3),
            BUSY,
        )
        assert not found, explanation

    async def test_servers_that_end_in_other_manners(self, tmp_path):
        """Only servers that close everything at once are noticed to end."""
        found, explanation = await find_breaks(
            tmp_path,
            MANNERS_SEED,
            MANNERS_SECONDS,
            world.Size(nodes=6, controls=3),
            BUSY,
        )
        assert not found, explanation

    @pytest.mark.soak
    async def test_one_control_host_frozen_and_another_emptied(self, tmp_path):
        """Guards against a node that serves by an outdated configuration."""
        found, explanation = await find_breaks(
            tmp_path,
            EMPTIED_SEED,
            EMPTIED_SECONDS,
            world.Size(nodes=6, controls=3),
            bounds.TARGET,
        )
        assert not found, explanation
