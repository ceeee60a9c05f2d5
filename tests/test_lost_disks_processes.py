"""Real control hosts that are all killed while two of them lose their disks."""

import asyncio
import os
import pathlib
import random
import shutil
import time

import platformfakes
import pytest

HOSTS = range(1, 6)
RECOVERY_SECONDS = 15.0
EARLY_SECONDS = 3.0
CI_SEEDS = (1, 2)
SOAK_SEEDS = range(1000, 1000 + int(os.environ.get("MANGOBAY_SEEDS", "40")))


class Play:
    """Orders in quick succession until all control hosts are killed.

    Attributes:
      newest_version: newest version that was acknowledged, 0 if none was.
      acknowledged_count: number of orders that were acknowledged.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.newest_version = 0
        self.acknowledged_count = 0

    async def send_orders(self, started_at, kill_after) -> None:
        """Sends orders until one is acknowledged late enough."""
        deadline = started_at + platformfakes.WAIT_SECONDS
        version = 0
        while time.monotonic() < deadline:
            version = max(version, self.newest_version) + 1
            response = await self.fleet.replace_config(
                self.rng.choice(HOSTS),
                version,
                [f"service{version}"],
                base=f"r{self.newest_version}",
            )
            if response.status == 200:
                self.newest_version = version
                self.acknowledged_count += 1
                if time.monotonic() - started_at >= kill_after:
                    return
            else:
                # An order without a clear response may be in force.
                await self.find_version()
        raise TimeoutError(f"nothing acknowledged after {kill_after} s")

    async def find_version(self) -> None:
        """Reads which version is in force."""
        response = await self.fleet.describe_config(self.rng.choice(HOSTS))
        if response.status == 200:
            self.newest_version = max(self.newest_version, version_in(response))
        else:
            await asyncio.sleep(0.02)

    def leader(self) -> int:
        """Returns the host that was elected last, from the logs."""
        elected = {
            max(log_lines(self.fleet, number), default=""): number
            for number in HOSTS
        }
        return elected[max(elected)]

    def choose_lost(self) -> list[int]:
        """Chooses two hosts: mostly those that founded the group."""
        leader = self.leader()
        founders = [number for number in HOSTS[:3] if number != leader]
        others = [number for number in HOSTS if number != leader]
        match self.rng.randrange(3):
            case 0:
                return [leader, self.rng.choice(founders)]
            case 1:
                return [leader, self.rng.choice(others)]
        return self.rng.sample(others, 2)

    async def kill_all(self) -> None:
        processes = self.fleet.processes.values()
        for process in processes:
            process.kill()
        for process in processes:
            await asyncio.to_thread(process.wait)

    def start_all(self, lost) -> None:
        for number in HOSTS:
            if number in lost:
                folder = pathlib.Path(self.fleet.folder) / f"data{number}"
                shutil.rmtree(folder, ignore_errors=True)
            self.fleet.start_control(number, join=True)

    async def read_back(self) -> int:
        """Returns the version read at any host, -1 if there is none in time."""
        deadline = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < deadline:
            for number in HOSTS:
                response = await self.fleet.describe_config(number)
                if response.status == 200:
                    return version_in(response)
            await asyncio.sleep(0.1)
        return -1


def log_lines(fleet, number):
    """Returns the lines of a host's log that report its election."""
    path = pathlib.Path(fleet.folder) / f"c{number}.log"
    if not path.exists():
        return []
    return [
        line
        for line in path.read_text().splitlines()
        if "became leader" in line
    ]


def version_in(response) -> int:
    """Returns the version of a configuration that was read."""
    head = response.body.partition(b'"version"')[2]
    digits = head.partition(b'"r')[2].partition(b'"')[0]
    return int(digits or b"0")


class TestAllKilledAndTwoDisksLost:
    """Kills at the moment of an acknowledgement."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_newest_acknowledged_order_is_read_back(self, seed, tmp_path):
        await self.play(seed, tmp_path)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_newest_acknowledged_order_is_read_back_in_many_plays(
        self, seed, tmp_path
    ):
        await self.play(seed, tmp_path)

    async def play(self, seed, tmp_path) -> None:
        """Loses an order that was acknowledged just before the disks."""
        async with platformfakes.Fleet(tmp_path, tolerance=2) as fleet:
            play = Play(fleet, seed)
            kill_after = play.rng.choice(
                (0.0, play.rng.random() * EARLY_SECONDS, 3 + play.rng.random())
            )
            started_at = time.monotonic()
            for number in HOSTS:
                fleet.start_control(number)
            await play.send_orders(started_at, kill_after)
            killed_after = time.monotonic() - started_at
            await play.kill_all()
            lost, leader = play.choose_lost(), play.leader()
            play.start_all(lost)
            read = await play.read_back()
            print(
                f"seed {seed}: killed after {killed_after:.2f} s, lost {lost},"
                f" leader {leader}, acknowledged {play.acknowledged_count} orders"
                f" up to {play.newest_version},"
                f" read back {read}"
            )
            assert read >= play.newest_version
