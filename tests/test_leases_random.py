"""Leases, views and nodes together under random faults, on virtual time."""

import asyncio
import random

import controlfakes
import pytest
import routingfakes

from mangobay import clock, controlclient, errors, ids, leases, machine, options
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

ENOUGH = 500
"""Checks of a run; one that made no more has shown little."""
SECONDS = 45
LONGEST = 4 * SECONDS
CI_SEEDS = (*range(6), 240)
"""Seed 240 made 482 checks in the first 45 seconds."""
SOAK_SEEDS = range(6, 300)
HOSTS = ("a", "b", "c", "d")
SERVICES = ("quotes", "prices")
CONTROL = tuple(options.Address("127.0.0.1", port) for port in (1, 2))


class Node:
    """A run of a node's client behind a network that can be cut."""

    def __init__(self, host, run, world):
        self.world = world
        self.cut = False
        self.client = controlclient.ControlClient(
            routingfakes.section(
                "control",
                hosts=CONTROL,
                renew_interval=0.5,
                patience=0.3,
            ),
            controlclient.NodeIdentity(
                host=ids.HostId(host),
                incarnation=ids.Incarnation(run),
                data_centre=ids.DataCentre("lima"),
                peer_address=options.Address("127.0.0.1", 7),
            ),
            self,
            world.random,
        )
        self.task = asyncio.create_task(self.client.run())

    async def ask(self, address, body, timeout):
        """Carries a renewal: late, or not at all."""
        async with asyncio.timeout(timeout):
            await self.travel()
            answer = await self.world.tables[address].renew(body)
            await self.travel()
            return answer

    async def travel(self):
        if self.cut:
            await asyncio.Event().wait()
        await asyncio.sleep(self.world.random.uniform(0.001, 0.1))
        if self.world.random.random() < 0.05:
            raise errors.PeerBrokenError("lost")


class World:
    """Two control hosts over one state, one of them leading, and nodes."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.machine = machine.ConfigMachine()
        self.groups, self.tables, self.nodes = {}, {}, []
        self.faults = self.checks = 0
        for address in CONTROL:
            group = controlfakes.FakeGroup(self.machine, address=str(address))
            group.leading.clear()
            self.groups[address] = group
            self.tables[address] = leases.LeaseTable(
                self.machine, group, 2.0, 0.5
            )
        self.lead(CONTROL[0], 1)

    def lead(self, address, term):
        """Cuts the former leader off, which is not told, and elects one."""
        for group in self.groups.values():
            group.cut()
        group = self.groups[address]
        group.index = max(other.index for other in self.groups.values())
        group.term = ids.Term(term)
        group.leading.set()
        group.whole.set()

    def start(self, host):
        """Starts the next run of a host; a former one may be living still."""
        node = Node(host, f"{len(self.nodes)}", self)
        self.nodes.append(node)
        self.serve(node)

    def serve(self, node):
        """Has a node serve some of the services."""
        names = self.random.sample(SERVICES, self.random.randint(0, 2))
        node.client.serves = [
            messages.ServedService(name=name, slots=4) for name in sorted(names)
        ]

    def fault(self, term):
        """Does one random thing."""
        self.faults += 1
        node = self.random.choice(self.nodes)
        match self.random.randrange(6):
            case 0:
                self.lead(CONTROL[term % 2], term)
            case 1:
                self.start(self.random.choice(HOSTS))
            case 2:
                node.task.cancel()
            case 3 | 4:
                node.cut = not node.cut
            case 5:
                self.serve(node)

    def check(self):
        """No process that may act stands behind a view called active."""
        for service in SERVICES:
            views = [
                node.client.views.value.get(service) for node in self.nodes
            ]
            active = [view.version for view in views if view and view.active]
            if not active:
                continue
            for node, view in zip(self.nodes, views, strict=True):
                if view and node.client.lease.holds():
                    self.checks += 1
                    ack = node.client.ack(view)
                    assert not ack.member or view.version >= max(active)

    def goes_on(self, now):
        """Whether the run is too short, or has not checked enough yet."""
        return now < SECONDS or (self.checks <= ENOUGH and now < LONGEST)

    async def run(self):
        """Runs the control hosts, the nodes and the faults."""
        running = [
            asyncio.create_task(table.run()) for table in self.tables.values()
        ]
        for host in HOSTS:
            self.start(host)
        next_fault, term = 5.0, 1
        try:
            while self.goes_on(clock.now()):
                await asyncio.sleep(0.04)
                self.check()
                if clock.now() > next_fault:
                    term += 1
                    self.fault(term)
                    next_fault += self.random.expovariate(1.0)
        finally:
            for task in (*running, *(node.task for node in self.nodes)):
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
        world = World(seed)
        await world.run()
        print(f"seed {seed}: {world.faults} faults, {world.checks} checks")
        assert world.faults > 20
        assert world.checks > ENOUGH
