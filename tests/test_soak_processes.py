"""A short soak of the real programs."""

import dataclasses
import pathlib

from adapter import fakeplatform

from bench.soak import bounds, judge, play, report, world

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEED = 27
SECONDS = 12.0
BUSY = dataclasses.replace(
    bounds.TARGET, loss_slack=1.0, config_apply=5.0, freed=2.0
)
"""Wider where a busy machine is slow; what is true of requests stays so."""


class TestShortRun:
    """Restarts that overlap, and changes of configuration beside them."""

    async def test_planned_work_breaks_nothing(self, tmp_path):
        """A request taken by a stopping node is cut, or runs though refused."""
        run = play.Run(
            seed=SEED,
            seconds=SECONDS,
            size=world.Size(nodes=4, controls=3),
            tree=ROOT,
            folder=tmp_path,
        )
        played = await play.play(run, fakeplatform.DIALECT)
        found = judge.judge(played.seen, BUSY)
        assert not found, report.explain(played, found, "this test")
