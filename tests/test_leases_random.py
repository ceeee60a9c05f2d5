"""Leases, views and nodes together under random faults, on virtual time."""

import asyncio
import random

import controlfakes
import pytest
import routingfakes

from mangobay import (
    clock,
    controlclient,
    errors,
    ids,
    leases,
    options,
    statemachine,
)
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

MIN_CHECKS = 500
"""Checks of a run; one that made no more has shown little."""
RUN_SECONDS = 45
MAX_RUN_SECONDS = 4 * RUN_SECONDS
CI_SEEDS = (*range(6), 240)
"""Seed 240 made 482 checks in the first 45 seconds."""
SOAK_SEEDS = range(6, 300)
HOSTS = ("a", "b", "c", "d")
SERVICES = ("quotes", "prices")
CONTROL_ADDRESSES = tuple(options.Address("127.0.0.1", port) for port in (1, 2))


class Node:
    """A run of a node's client behind a network that can be cut."""

    def __init__(self, host, incarnation, simulation):
        self.simulation = simulation
        self.is_cut = False
        self.client = controlclient.ControlClient(
            routingfakes.section(
                "control",
                hosts=CONTROL_ADDRESSES,
                renew_interval=0.5,
                patience=0.3,
            ),
            controlclient.NodeIdentity(
                host=ids.HostId(host),
                incarnation=ids.Incarnation(incarnation),
                data_centre=ids.DataCentre("lima"),
                peer_address=options.Address("127.0.0.1", 7),
            ),
            self,
            simulation.rng,
        )
        self.task = asyncio.create_task(self.client.run())

    async def send_request(self, address, body, timeout):
        """Carries a renewal: late, or not at all."""
        async with asyncio.timeout(timeout):
            await self.simulate_network()
            grant = await self.simulation.tables[address].renew(body)
            await self.simulate_network()
            return grant

    async def simulate_network(self):
        if self.is_cut:
            await asyncio.Event().wait()
        await asyncio.sleep(self.simulation.rng.uniform(0.001, 0.1))
        if self.simulation.rng.random() < 0.05:
            raise errors.PeerBrokenError("lost")


class LeaseSimulation:
    """Two control hosts over one state, one of them leading, and nodes."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.machine = statemachine.ConfigStateMachine()
        self.groups, self.tables, self.nodes = {}, {}, []
        self.fault_count = self.check_count = 0
        for address in CONTROL_ADDRESSES:
            group = controlfakes.FakeGroup(self.machine, address=str(address))
            group.leading.clear()
            self.groups[address] = group
            self.tables[address] = leases.LeaseTable(
                self.machine, group, 2.0, 0.5
            )
        self.elect(CONTROL_ADDRESSES[0], 1)

    def elect(self, address, term):
        """Cuts the former leader off, which is not told, and elects one."""
        for group in self.groups.values():
            group.lose_quorum()
        group = self.groups[address]
        group.last_index = max(
            other.last_index for other in self.groups.values()
        )
        group.term = ids.Term(term)
        group.leading.set()
        group.has_quorum.set()

    def start_node(self, host):
        """Starts the next run of a host; a former one may be living still."""
        node = Node(host, f"{len(self.nodes)}", self)
        self.nodes.append(node)
        self.serve_random_services(node)

    def serve_random_services(self, node):
        """Has a node serve some of the services."""
        names = self.rng.sample(SERVICES, self.rng.randint(0, 2))
        node.client.serves = [
            messages.ServedService(name=name, slots=4) for name in sorted(names)
        ]

    def inject_fault(self, term):
        """Does one random thing."""
        self.fault_count += 1
        node = self.rng.choice(self.nodes)
        match self.rng.randrange(6):
            case 0:
                self.elect(CONTROL_ADDRESSES[term % 2], term)
            case 1:
                self.start_node(self.rng.choice(HOSTS))
            case 2:
                node.task.cancel()
            case 3 | 4:
                node.is_cut = not node.is_cut
            case 5:
                self.serve_random_services(node)

    def check_active_views(self):
        """No process that may act stands behind a view called active."""
        for service in SERVICES:
            views = [
                node.client.views.value.get(service) for node in self.nodes
            ]
            active = [view.version for view in views if view and view.active]
            if not active:
                continue
            for node, view in zip(self.nodes, views, strict=True):
                if view and node.client.lease.is_valid():
                    self.check_count += 1
                    ack = node.client.make_view_ack(view)
                    assert not ack.member or view.version >= max(active)

    def should_continue(self, now):
        """Whether the run is too short, or has not checked enough yet."""
        return now < RUN_SECONDS or (
            self.check_count <= MIN_CHECKS and now < MAX_RUN_SECONDS
        )

    async def run(self):
        """Runs the control hosts, the nodes and the faults."""
        table_tasks = [
            asyncio.create_task(table.run()) for table in self.tables.values()
        ]
        for host in HOSTS:
            self.start_node(host)
        next_fault, term = 5.0, 1
        try:
            while self.should_continue(clock.now()):
                await asyncio.sleep(0.04)
                self.check_active_views()
                if clock.now() > next_fault:
                    term += 1
                    self.inject_fault(term)
                    next_fault += self.rng.expovariate(1.0)
        finally:
            for task in (*table_tasks, *(node.task for node in self.nodes)):
                task.cancel()


class TestRandomFaults:
    """What `active` promises to those who take over slots."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_nobody_acts_behind_an_active_view(self, seed):
        """Nodes restart, are cut off and change services; leaders change.

        A view that any node was told is active lets new owners set floors.
        So no process that holds a lease on its own clock may still be a
        member by an older view: it could run a key twice.
        """
        await self.run(seed)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_nobody_acts_in_many_runs(self, seed):
        await self.run(seed)

    async def run(self, seed) -> None:
        simulation = LeaseSimulation(seed)
        await simulation.run()
        print(
            f"seed {seed}: {simulation.fault_count} faults, {simulation.check_count} checks"
        )
        assert simulation.fault_count > 20
        assert simulation.check_count > MIN_CHECKS
