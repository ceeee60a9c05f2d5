"""A real control host whose log is as long as its limits allow."""

import asyncio
import json
import random

import crowdfakes
import platformfakes
import pytest

MACHINE_BYTES = 200 * 1000 * 1000
"""Memory of the smallest machine."""
ORDERS = 400
SERVICES = 2800


class TestFullLog:
    """A start with as many large configurations as the log keeps."""

    @pytest.mark.soak
    async def test_a_start_fits_into_the_smallest_machine(self, tmp_path):
        """Guards against a log that a process can write, but not read back."""
        rng = random.Random(1)
        names = [f"s{rng.randbytes(16).hex()}" for _ in range(SERVICES)]
        async with platformfakes.Fleet(tmp_path, seeds=1, voters=1) as fleet:
            fleet.start_control(1)
            for version in range(1, ORDERS + 1):
                rng.shuffle(names)
                await platformfakes.wait_until(
                    lambda version=version: self.replace(fleet, version, names)
                )
            running_kb = crowdfakes.memory_kb(fleet.processes["c1"])
            fleet.processes["c1"].kill()
            await asyncio.to_thread(fleet.processes["c1"].wait)
            fleet.restart("c1", "control")
            await platformfakes.wait_until(lambda: self.is_read(fleet))
            start_kb = crowdfakes.memory_kb(fleet.processes["c1"])
            log_bytes = (tmp_path / "data1" / "log").stat().st_size
            print(f"running {running_kb} kB, start {start_kb} kB", log_bytes)
            assert max(running_kb, start_kb) * 1024 < MACHINE_BYTES

    async def replace(self, fleet, version, names):
        """Sends a configuration; returns whether it was accepted."""
        document = platformfakes.configuration(version, names)
        response = await platformfakes.call_rpc(
            fleet.ip(1),
            platformfakes.OPERATOR,
            "config.replace",
            document,
            base=f"r{version - 1}" if version > 1 else "0",
        )
        return response.status == 200

    async def is_read(self, fleet):
        """Returns whether the newest configuration is told."""
        response = await fleet.describe_config(1)
        return (
            response.status == 200
            and json.loads(response.body)["version"] == f"r{ORDERS}"
        )
