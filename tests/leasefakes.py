"""Control hosts that grant leases, and nodes that renew them, on fakes."""

import asyncio
import copy
import random

import groupfakes
import routingfakes

from mangobay import (
    clock,
    connections,
    controlclient,
    errors,
    ids,
    leases,
    options,
    routespublisher,
    sockets,
    statemachine,
)
from mangobay.generated import messages

HOSTS = 5
LEASE_TTL_SECONDS = 4.0
LEASE_MARGIN_SECONDS = 1.0

RETRANSMIT_SECONDS = 0.2
"""First retransmission of a lost packet; each further one takes twice as long."""
CONNECT_TIMEOUT_SECONDS = 0.3
SILENCE_SECONDS = (
    connections.UNRESPONSIVE_AFTER_SECONDS + connections.PING_AFTER_SECONDS
)
"""Longest silence until a connection is dropped."""


class Connection:
    """A connection whose lost bytes are sent again, later each time.

    Attributes:
      stalled: the retransmission on which all that is sent waits, or None.
      orphaned: whether the process at one end has ended without a word.
    """

    def __init__(self, network, sender, receiver):
        self.network = network
        self.sender = sender
        self.receiver = receiver
        self.stalled = None
        self.orphaned = False

    async def transmit(self):
        """Returns once a message has arrived.

        Raises:
          errors.PeerBrokenError: the connection has ended before.
        """
        blocked = self.network.is_blocked(self.sender, self.receiver)
        if self.stalled is None and blocked:
            self.stalled = asyncio.create_task(self.retransmit())
        if self.stalled is not None and not await asyncio.shield(self.stalled):
            raise errors.PeerBrokenError("no acknowledgement")
        if self.orphaned:
            self.close()
            raise errors.PeerBrokenError("reset")

    async def retransmit(self):
        """Returns whether the bytes arrived before the connection ended."""
        delay = RETRANSMIT_SECONDS
        ends_at = clock.now() + sockets.USER_TIMEOUT_MS / 1000
        while clock.now() + delay < ends_at:
            await asyncio.sleep(delay)
            delay *= 2
            if not self.network.is_blocked(self.sender, self.receiver):
                self.stalled = None
                return True
        await asyncio.sleep(ends_at - clock.now())
        self.close()
        return False

    def close(self):
        """Forgets the connection, so that the next request makes another."""
        pair = (self.sender, self.receiver)
        if self.network.connections.get(pair) is self:
            del self.network.connections[pair]


class StallingNetwork(groupfakes.FakeNetwork):
    """Connections that stall at a cut, and for some time after it has healed.

    Attributes:
      connections: by sender and receiver.
      dark_hosts: hosts without power, which answer nothing.
    """

    def __init__(self, rng):
        super().__init__(rng)
        self.connections = {}
        self.dark_hosts = set()

    def is_blocked(self, sender, receiver):
        """Returns whether packets from a sender are lost on the way."""
        return (
            (sender, receiver) in self.cut_links
            or (receiver, sender) in self.cut_links
            or not self.dark_hosts.isdisjoint({sender, receiver})
        )

    async def deliver(self, sender, receiver, body):
        await asyncio.sleep(self.delay_seconds * (0.5 + self.rng.random()))
        await self.connection(sender, receiver).transmit()
        while not self.frozen_hosts.isdisjoint({sender, receiver}):
            await asyncio.sleep(0.05)
        return copy.deepcopy(body)

    async def send_request(self, sender, receiver, body, timeout):
        if (sender, receiver) not in self.connections:
            await asyncio.sleep(2 * self.delay_seconds)
            if receiver in self.frozen_hosts or self.is_blocked(
                sender, receiver
            ):
                await asyncio.sleep(min(CONNECT_TIMEOUT_SECONDS, timeout))
                raise errors.PeerUnreachableError("no connection")
            if receiver not in self.groups:
                raise errors.PeerUnreachableError("connection refused")
            self.connections[sender, receiver] = Connection(
                self, sender, receiver
            )
        request = super().send_request(sender, receiver, body, timeout)
        if not connections.is_tracked(body):
            return await request
        return await self.drop_if_silent(sender, receiver, request)

    async def drop_if_silent(self, sender, receiver, request):
        """Returns a reply; drops the connection if the receiver is silent.

        Raises:
          errors.PeerBrokenError: the receiver answers no Ping.
        """
        task = asyncio.create_task(request)
        self.deliveries.add(task)
        task.add_done_callback(self.discard_delivery)
        try:
            await asyncio.wait({task}, timeout=SILENCE_SECONDS)
            silent = receiver in self.frozen_hosts or self.is_blocked(
                sender, receiver
            )
            if task.done() or not silent:
                return await task
        finally:
            task.cancel()
        found = self.connections.get((sender, receiver))
        if found is not None:
            found.close()
        raise errors.PeerBrokenError("no reply to a Ping")

    def connection(self, sender, receiver):
        """Returns the connection on which a message or its reply travels.

        Raises:
          errors.PeerBrokenError: it has ended.
        """
        pair = (sender, receiver)
        found = self.connections.get(pair, self.connections.get(pair[::-1]))
        if found is None:
            raise errors.PeerBrokenError("the connection has ended")
        return found

    def end_process(self, address):
        """Ends the connections of a process, at once unless it is dark."""
        for pair, connection in list(self.connections.items()):
            if address in pair:
                connection.orphaned = True
                if address not in self.dark_hosts:
                    connection.close()


class LeaseHost(groupfakes.FakeHost):
    """A control host that grants leases."""

    def make_machine(self):
        return statemachine.ConfigStateMachine()

    def start(self, join=False):
        super().start(join)
        self.leases = leases.LeaseTable(
            self.machine, self.group, LEASE_TTL_SECONDS, LEASE_MARGIN_SECONDS
        )
        self.publisher = routespublisher.RoutesPublisher(
            self.machine, self.group, self.group.transport
        )
        self.cluster.network.groups[self.address] = self

    async def handle(self, body):
        """Handles a request of a node or of another control host."""
        match body:
            case messages.LeaseRenew():
                return await self.leases.renew(body)
            case messages.RoutesPut():
                return await self.publisher.handle_request(body)
        return await self.group.handle(body)


class LeaseCluster(groupfakes.Cluster):
    """Control hosts that grant leases, and nodes that renew them."""

    def __init__(
        self, node_count, seed=3, max_staleness=0.0, make_network=None
    ):
        super().__init__(seed, size=0)
        if make_network is not None:
            self.network = make_network(self.rng)
        self.max_staleness = max_staleness
        self.addresses = tuple(
            options.Address("127.0.0.1", 7000 + number)
            for number in range(HOSTS)
        )
        self.hosts = [LeaseHost(self, address) for address in self.addresses]
        self.clients = [self.make_client(n) for n in range(node_count)]

    def make_client(self, number):
        """Returns the control client of a node."""
        address = options.Address("127.0.1.1", 8000 + number)
        client = controlclient.ControlClient(
            routingfakes.section(
                "control",
                hosts=self.addresses[:3],
                max_staleness=self.max_staleness,
            ),
            controlclient.NodeIdentity(
                host=ids.HostId(f"n{number}"),
                incarnation=ids.Incarnation("1"),
                data_centre=ids.DataCentre("lima"),
                peer_address=address,
            ),
            groupfakes.FakeTransport(self.network, address),
            random.Random(number),
        )
        client.keyless = True
        client.every_service = True
        client.document_lease.read_boot_time = clock.now
        return client
