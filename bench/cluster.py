"""A whole deployment as processes on loopback."""

import asyncio
import collections.abc
import pathlib

from bench import backend, deployment, hosts, launcher, sessions
from mangobay import errors, ids, operatorclient

PATIENCE = 30.0
"""Seconds until the control group has a leader and knows every host."""
POLL_SECONDS = 0.1


class Cluster:
    """The processes of a deployment.

    Attributes:
      plan: the deployment.
      fleet: the processes.
      layout: where each one listens.
      client: for operators' requests.
      former: runs of backend servers that were stopped.
      queue_share: of its connections, calls that may wait for a slot in a
        backend server.
      controlled: whether there is a control group to take a sheet.
    """

    queue_share = 0.0
    controlled = True

    def __init__(
        self,
        plan: deployment.Deployment,
        fleet: launcher.Fleet,
        folder: pathlib.Path,
        slots_share: float,
        node_changes: dict | None = None,
    ):
        self.plan = plan
        self.fleet = fleet
        self.layout = hosts.lay_out(plan, folder, hosts.Ports(), slots_share)
        hosts.write_all(self.layout, plan, node_changes)
        self.client = operatorclient.OperatorClient(
            self.layout.operators(), PATIENCE
        )
        self.session = sessions.open_session()
        self.former: list[backend.Run] = []

    async def __aenter__(self) -> "Cluster":
        """Opens the operators' client; starts nothing yet."""
        await self.client.__aenter__()
        return self

    async def __aexit__(self, *unused) -> None:
        """Closes connections; the fleet ends the processes."""
        await self.client.__aexit__()
        await self.session.close()

    async def start_control(self, host: hosts.ControlHost) -> None:
        """Starts a control host and waits until it listens."""
        arguments = ("--settings", host.settings)
        await self.fleet.start(host.name, "mangobay.cmdcontrol", *arguments)
        await self.fleet.ready(host.name, host.operator)

    async def start_node(self, host: hosts.NodeHost) -> None:
        """Starts a node and waits until it listens."""
        arguments = ("--settings", host.settings)
        await self.fleet.start(host.name, "mangobay.cmdnode", *arguments)
        await self.fleet.ready(host.name, host.local)

    async def start_backend(self, host: hosts.NodeHost) -> None:
        """Starts the backend server of a host and waits until it listens."""
        name = backend_name(host)
        facts = {
            "deployment": self.plan.name,
            "service": host.service,
            "listen": host.backend,
            "node": host.local,
            "slots": host.slots,
            "queue": round(
                self.plan.services[host.service].connections * self.queue_share
            ),
        }
        arguments = [f"--{key}={facts[key]}" for key in facts]
        await self.fleet.start(name, "bench.backend", *arguments)
        await self.fleet.ready(name, host.backend)

    async def start(self) -> None:
        """Starts everything and waits until control knows every host."""
        await all_of(self.start_control(host) for host in self.layout.controls)
        await all_of(self.start_node(host) for host in self.layout.nodes)
        await all_of(self.start_backend(host) for host in self.layout.nodes)
        await self.wait_serving({host.name for host in self.layout.nodes})

    async def wait_serving(self, wanted: set[ids.HostId]) -> None:
        """Returns once control has the announcement of each host.

        Raises:
          launcher.LaunchError: one is missing after a while.
        """
        loop = asyncio.get_running_loop()
        give_up = loop.time() + PATIENCE
        while True:
            known = {
                host.host
                for host in await self.client.hosts()
                if host.serves and host.lease and not host.leaving
            }
            if wanted <= known:
                return
            if loop.time() > give_up:
                missing = ", ".join(sorted(wanted - known))
                raise launcher.LaunchError(f"control does not know {missing}")
            await asyncio.sleep(POLL_SECONDS)

    async def apply(self, data: bytes, version: str, wait: float) -> float:
        """Sends a sheet; returns seconds until it is in force everywhere.

        Raises:
          errors.MangobayError: it was refused, or some host lags.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        accepted = await self.client.apply(
            data, ids.SheetVersion(version), "demo"
        )
        state = await self.client.in_force(accepted.revision, wait)
        if not state.is_complete:
            lagging = ", ".join(state.stragglers)
            raise errors.MangobayError(
                f"revision {accepted.revision} is in force on {state.count} of"
                f" {state.of} hosts after {wait:g} s; not on {lagging}"
            )
        return loop.time() - began

    async def leader(self) -> hosts.ControlHost:
        """Returns the control host that leads."""
        name = (await self.client.status()).leader
        return next(host for host in self.layout.controls if host.name == name)

    async def slow_down(self, service: ids.ServiceName, factor: float) -> None:
        """Makes every backend server of a service take longer."""
        await all_of(
            self.tell(host, {"factor": factor})
            for host in self.serving_hosts()
            if host.service == service
        )

    def serving_hosts(self) -> list[hosts.NodeHost]:
        """Returns the hosts whose backend server was not stopped."""
        return [
            host
            for host in self.layout.nodes
            if backend_name(host) in self.fleet.started
        ]

    async def tell(self, host: hosts.NodeHost, wanted: dict) -> None:
        """Changes how a fake backend server behaves."""
        url = f"http://{host.backend}/fake/set"
        async with self.session.post(url, json=wanted) as response:
            response.raise_for_status()

    async def stop_host(self, host: hosts.NodeHost) -> list[int]:
        """Ends node and backend server of a host as planned stops do.

        Returns:
          Their exit codes.
        """
        codes = [await self.fleet.stop(host.name)]
        self.former += await self.runs_of(host)
        codes.append(await self.fleet.stop(backend_name(host)))
        return codes

    async def runs(self) -> list[backend.Run]:
        """Returns what every backend server ran, stopped ones included."""
        runs = list(self.former)
        for host in self.serving_hosts():
            runs += await self.runs_of(host)
        return runs

    async def runs_of(self, host: hosts.NodeHost) -> list[backend.Run]:
        """Returns what the backend server of a host ran."""
        url = f"http://{host.backend}/fake/runs"
        async with self.session.get(url) as response:
            return [backend.Run(**item) for item in await response.json()]


class PlainCluster(Cluster):
    """The same backend servers behind plain forwarders: no layer at all.

    Attributes:
      tries: extra tries of each hop.
    """

    tries = 3
    controlled = False

    async def start(self) -> None:
        """Starts a forwarder and a backend server on each host."""
        await all_of(self.start_node(host) for host in self.layout.nodes)
        await all_of(self.start_backend(host) for host in self.layout.nodes)

    async def start_node(self, host: hosts.NodeHost) -> None:
        """Starts a forwarder where the node would listen."""
        await self.fleet.start(
            host.name,
            "bench.forwarder",
            f"--listen={host.outside}",
            f"--listen={host.local}",
            f"--tries={self.tries}",
            *(f"{each.service}={each.backend}" for each in self.layout.nodes),
        )
        await self.fleet.ready(host.name, host.local)


def backend_name(host: hosts.NodeHost) -> str:
    """Returns the name of a host's backend server in the fleet."""
    return f"backend-{host.name}"


async def all_of(
    steps: collections.abc.Iterable[collections.abc.Awaitable],
) -> None:
    """Takes steps at once; the first failure is raised."""
    await asyncio.gather(*steps)
