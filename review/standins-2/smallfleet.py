"""Starts five control machines and two nodes, and waits until they serve."""

import asyncio
import os
import pathlib
import time

import operatorstandin
import platformstandin
import serverstandin

FIRST_SECONDS = 30.0
OTHER_SERVICE = "archive"


class SmallFleet:
    """Two nodes with their upstreams, one of the called service.

    Attributes:
      entry: the node at which the clients' requests begin.
      upstream: the upstream of the called service, beside the other node.
      host: host name of its route.
      path: path prefix of its route.
    """

    def __init__(self, platform, operator, record, service, route_type):
        self.platform = platform
        self.operator = operator
        self.record = record
        self.service = service
        self.route_type = route_type
        self.host = f"{service}.example"
        self.path = f"/{service}/"
        self.entry = None
        self.upstream = None
        self.upstreams = []

    async def start(self):
        """Starts everything; returns once a request is served."""
        platform = self.platform
        for number in range(1, 6):
            platform.add(f"core-{number}", platformstandin.CONTROL_ROLE)
        platform.seed_names = ["core-1", "core-2", "core-3"]
        nodes = [
            platform.add(f"side-{service}", platformstandin.NODE_ROLE, service)
            for service in (OTHER_SERVICE, self.service)
        ]
        self.entry = nodes[0]
        for machine in platform.machines.values():
            platform.start(machine)
        self.upstreams = [
            serverstandin.Upstream(platform, node, self.record)
            for node in nodes
        ]
        self.upstream = self.upstreams[1]
        for upstream in self.upstreams:
            await upstream.start()
        manifest = operatorstandin.manifest([self.service], self.route_type)
        if not await asyncio.to_thread(
            self.operator.replace, manifest, FIRST_SECONDS
        ):
            raise platformstandin.CannotRunError("no first manifest")
        await self.wait_until_served()

    async def connect(self):
        """Returns a client's connection to the entry node."""
        return await asyncio.open_connection(
            self.entry.ip, self.platform.ports["outbound"]
        )

    async def wait_until_served(self):
        """Waits until a request gets a success."""
        give_up_at = time.monotonic() + FIRST_SECONDS
        number = 0
        while time.monotonic() < give_up_at:
            number += 1
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await self.connect()
                    writer.write(
                        serverstandin.request_bytes(
                            f"try{number}", self.host, self.path
                        )
                    )
                    status, _, _ = await serverstandin.read_answer(reader)
                    writer.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise platformstandin.CannotRunError("no request is served")

    async def close(self):
        """Ends the upstreams."""
        for upstream in self.upstreams:
            await upstream.close()


def main(folder, run):
    """Runs a case; returns its exit code.

    Args:
      folder: the folder of the case.
      run: gets platform, operator, record and whether to bring the trouble;
        returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE") != "0"
    record = platformstandin.Record(pathlib.Path(folder) / "record.txt")
    platform = platformstandin.Platform(record)
    operator = operatorstandin.Operator(platform, record)
    try:
        held = asyncio.run(run(platform, operator, record, trouble))
    except (platformstandin.CannotRunError, OSError) as error:
        record.write("cannot run", why=str(error))
        return 2
    finally:
        platform.close()
    record.write("rule held" if held else "rule broken", trouble=trouble)
    return 0 if held else 1
