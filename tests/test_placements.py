"""The model that compares ways to place calls."""

import pytest

from bench import placements


class TestUnevenServers:
    """Backend servers of different and changing speed, nearly fully used."""

    @pytest.mark.parametrize("lying", [0, 2])
    def test_reports_bring_more_calls_in_time(self, lying):
        """Calls are placed worse by true or false reports than without."""
        deployment = placements.Deployment(servers=12, callers=24)
        shares = [
            placements.share_in_time(
                placements.run(
                    placements.Way(setting, setting, lying=lying),
                    deployment,
                    utilisation=0.8,
                    seconds=5.0,
                    seed=1,
                )
            )
            for setting in ("load", "reported")
        ]
        assert shares[1] > shares[0] + 0.01
