"""Tests of leases and views with nodes under random faults, in virtual time."""

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
"""Checks that a run must exceed to be meaningful."""
RUN_SECONDS = 45
MAX_RUN_SECONDS = 4 * RUN_SECONDS
CI_SEEDS = (*range(6), 240)
"""Seed 240 makes 482 checks in 45 s and so has to run longer."""
SOAK_SEEDS = range(6, 300)
HOSTS = ("a", "b", "c", "d")
SERVICES = ("quotes", "prices")
CONTROL_ADDRESSES = tuple(options.Address("127.0.0.1", port) for port in (1, 2))


class Node:
    """A node's control client behind a network that can fail."""

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
        """Delivers a renewal late, or not at all."""
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
    """Two control hosts with one shared state, one leading, and nodes."""

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
        """Isolates the former leader, which does not notice, and elects one."""
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
        """Starts a new incarnation of a host; an old one may still run."""
        node = Node(host, f"{len(self.nodes)}", self)
        self.nodes.append(node)
        self.serve_random_services(node)

    def serve_random_services(self, node):
        """Makes a node serve a random choice of the services."""
        names = self.rng.sample(SERVICES, self.rng.randint(0, 2))
        node.client.serves = [
            messages.ServedService(name=name, slots=4) for name in sorted(names)
        ]

    def inject_fault(self, term):
        """Injects one random fault."""
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
        """Checks that no member with a lease is older than an active view."""
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
        """Returns whether the run needs more time or more checks."""
        return now < RUN_SECONDS or (
            self.check_count <= MIN_CHECKS and now < MAX_RUN_SECONDS
        )

    async def run(self):
        """Runs the control hosts and nodes and injects faults."""
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
    """The guarantee of an active view under random faults."""

    @pytest.mark.parametrize("seed", CI_SEEDS)
    async def test_no_member_uses_a_view_older_than_an_active_one(self, seed):
        """Nodes restart, are isolated and change services; leaders change.

        An active view lets new owners set slot floors, below which they reply
        `unknown` to keys. So no process with a valid lease may still be a
        member under an older view: it could run such a key.
        """
        await self.run(seed)

    @pytest.mark.soak
    @pytest.mark.parametrize("seed", SOAK_SEEDS)
    async def test_no_member_uses_an_outdated_view_in_many_runs(self, seed):
        await self.run(seed)

    async def run(self, seed) -> None:
        simulation = LeaseSimulation(seed)
        await simulation.run()
        print(
            f"seed {seed}: {simulation.fault_count} faults,"
            f" {simulation.check_count} checks"
        )
        assert simulation.fault_count > 20
        assert simulation.check_count > MIN_CHECKS
