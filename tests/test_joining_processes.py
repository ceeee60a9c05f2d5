"""Real control hosts of which one is away while another is replaced."""

import asyncio
import pathlib
import shutil

import platformfakes

FOUNDERS = (1, 2, 3)
VOTERS = 5


class ReplacedGroup:
    """Five control hosts, of which the first is replaced by a sixth.

    Attributes:
      running: numbers of the hosts whose processes run.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.running = []

    def start(self, *numbers, join=True):
        for number in numbers:
            self.fleet.start_control(number, join=join)
            self.running.append(number)

    async def kill(self, *numbers):
        """Ends processes at the same moment."""
        for number in numbers:
            self.fleet.processes[f"c{number}"].kill()
        for number in numbers:
            process = self.fleet.processes[f"c{number}"]
            await asyncio.to_thread(process.wait)
            self.running.remove(number)

    async def lose_disks(self, *numbers):
        """Ends processes at the same moment, and empties their folders."""
        await self.kill(*numbers)
        for number in numbers:
            shutil.rmtree(pathlib.Path(self.fleet.folder) / f"data{number}")

    async def gauges(self, name):
        """Returns a gauge of each running host by its number."""
        return {
            number: await self.fleet.metric(number, f"control_{name}")
            for number in self.running
        }

    async def wait_for(self, name, accepts):
        """Returns once the values of a gauge, by host, are accepted."""

        async def check():
            return accepts(await self.gauges(name))

        await platformfakes.wait_until(check)

    async def wait_for_voters(self, *numbers):
        """Returns once these hosts vote, as all that run know."""
        await self.wait_for(
            "votes",
            lambda votes: (
                votes == {number: number in numbers for number in self.running}
            ),
        )

    async def replace_config(self, version):
        """Sends a configuration until it is acknowledged."""

        async def check():
            for number in self.running:
                response = await self.fleet.replace_config(
                    number, version, [f"s{version}"], f"r{version - 1}"
                )
                if response.status == 200:
                    return True
            return False

        await platformfakes.wait_until(check)

    async def is_read(self, version):
        """Returns whether any host tells this version."""
        for number in self.running:
            response = await self.fleet.describe_config(number)
            if response.status == 200:
                return f'"r{version}"'.encode() in response.body
        return False


class TestReplacedWhileAway:
    """A host that is killed while another one is replaced."""

    async def test_two_disks_may_be_lost_once_it_is_back(self, tmp_path):
        """Guards against a voter that stays outside of the group unnoticed."""
        async with platformfakes.Fleet(tmp_path, tolerance=2) as fleet:
            group = ReplacedGroup(fleet)
            group.start(*FOUNDERS, join=False)
            group.start(4, 5)
            await group.wait_for_voters(1, 2, 3, 4, 5)
            await group.replace_config(1)
            group.start(6)
            await group.wait_for("commit_index", lambda found: found[6])
            await group.kill(5)
            await group.wait_for_voters(1, 2, 3, 4, 6)
            restarted = list(group.running)
            await group.kill(*restarted)
            group.start(*restarted)
            await group.wait_for("leads", lambda leads: any(leads.values()))
            group.start(5)
            await group.wait_for_voters(1, 2, 3, 4, 6)
            fleet.seed_numbers = (2, 3, 4)
            await fleet.stop("c1")
            group.running.remove(1)
            await group.wait_for_voters(2, 3, 4, 5, 6)
            await group.replace_config(2)
            await group.lose_disks(2, 3)
            group.start(2, 3)
            await platformfakes.wait_until(lambda: group.is_read(2))
            await group.wait_for_voters(2, 3, 4, 5, 6)
            await group.wait_for(
                "silent_voters", lambda silent: not any(silent.values())
            )
