"""Fakes for the tests of at-most-once execution: network, lease, clock."""

import asyncio
import contextlib
import dataclasses
import random

import uuid6

from mangobay import errors, ids, keyslots, once, slotownership
from mangobay.generated import messages, settings

SERVICE = ids.ServiceName("reservations")
NETWORK_DELAY_SECONDS = 0.003
SLOW_DELAY_SECONDS = 6.0
LOST_DELAY_SECONDS = 3600.0
"""Delay of a message that never arrives."""
RUN_SECONDS = 0.05
RNG = random.Random(7)
UUID7_BITS = (7 << 76) | (2 << 62)
START_UNIX_MS = 1_800_000_000_000
OPTIONS = settings.NodeOnce(
    window=3600.0,
    entries=1000,
    memory_bytes=1 << 30,
    copies=1,
    copy_place="other_data_centre",
    clock_skew=2.0,
    copy_timeout=0.5,
)


@dataclasses.dataclass
class FakeLease:
    """A lease whose state the test sets."""

    held: bool = True

    def is_valid(self) -> bool:
        return self.held


class FakeNetwork:
    """Nodes that reach each other unless the test cuts connections.

    Attributes:
      nodes: nodes by peer address.
      isolated: addresses that nobody reaches.
      slow: addresses whose messages are delayed.
      cut_pairs: pairs of addresses that do not reach each other.
      runs: one item for each call that ran.
      response_body: body of every response.
    """

    def __init__(self, hosts: int, **changes):
        self.nodes: dict[str, once.AtMostOnce] = {}
        self.leases: dict[str, FakeLease] = {}
        self.members: dict[str, messages.Member] = {}
        self.isolated: set[str] = set()
        self.slow: set[str] = set()
        self.cut_pairs: set[frozenset] = set()
        self.deliveries: set[asyncio.Task] = set()
        self.runs: list[str] = []
        self.response_body = b"slip 1"
        self.options = dataclasses.replace(OPTIONS, **changes)
        self.formers: list[messages.FormerView] = []
        self.view = messages.ServiceView(service=SERVICE)
        for index in range(hosts):
            self.add_node(f"h{index}", index)

    def can_reach(self, first: str, second: str) -> bool:
        addresses = frozenset((first, second))
        return not self.isolated & addresses and addresses not in self.cut_pairs

    def delay(self, first: str, second: str) -> float:
        return (
            SLOW_DELAY_SECONDS
            if self.slow & {first, second}
            else NETWORK_DELAY_SECONDS
        )

    def unix_ms(self) -> int:
        return START_UNIX_MS + int(asyncio.get_running_loop().time() * 1000)

    def add_node(self, host: str, index: int, incarnation: str = "1") -> None:
        address = f"127.0.0.1:{1000 + index}"
        self.members[host] = messages.Member(
            host=host,
            incarnation=incarnation,
            data_centre=f"dc{index % 3}",
            peer_address=address,
        )
        self.leases[host] = FakeLease()
        self.nodes[address] = once.AtMostOnce(
            self.options,
            slotownership.ProcessId(
                ids.HostId(host), ids.Incarnation(incarnation)
            ),
            FakeTransport(self, address),
            self.leases[host],
            self.unix_ms,
        )

    def node(self, host: str) -> once.AtMostOnce:
        return self.nodes[self.members[host].peer_address]

    def publish_view(
        self, *hosts: str, active: bool = True, recipients=()
    ) -> None:
        """Commits a view; delivers it to `recipients`, or to all its hosts."""
        self.publish_members([self.members[host] for host in hosts], active)
        self.deliver_view(recipients or hosts)

    def publish_members(self, members, active: bool = False) -> None:
        """Commits a view of these members without delivering it."""
        if self.view.version:
            former = messages.FormerView(
                version=self.view.version, members=self.view.members
            )
            self.formers = [former, *self.formers]
        self.view = messages.ServiceView(
            service=SERVICE,
            version=self.view.version + 1,
            members=members,
            formers=self.formers,
            lineage_whole=True,
            active=active,
        )

    def deliver_view(self, hosts) -> None:
        for host in hosts:
            self.node(host).update_views({SERVICE: self.view})

    def activate(self, *hosts: str) -> None:
        self.view = dataclasses.replace(self.view, active=True)
        self.deliver_view(hosts)

    def cut_pair(self, first: str, second: str) -> None:
        """Cuts the connection between two hosts."""
        addresses = (
            self.members[first].peer_address,
            self.members[second].peer_address,
        )
        self.cut_pairs.add(frozenset(addresses))

    def isolate(self, host: str) -> None:
        """Cuts all connections of a host; to others it looks dead."""
        self.isolated.add(self.members[host].peer_address)

    def owner(self, key: str) -> str:
        return keyslots.owner(self.view, keyslots.slot_of(key)).host

    def holder(self, key: str) -> str:
        ownership = self.node(self.owner(key)).ownership_of(SERVICE)
        return ownership.placement.holders(keyslots.slot_of(key))[0].host

    def call(self, key: str, body: bytes = b"unit 7") -> messages.Call:
        return messages.Call(
            service=SERVICE,
            method="POST",
            target="/units",
            body=body,
            key=key,
            deadline_ms=3000,
        )

    async def execute(self, before_send) -> messages.Reply:
        await before_send()
        self.runs.append("run")
        await asyncio.sleep(RUN_SECONDS)
        return messages.Reply(
            outcome=messages.Outcome.ANSWERED,
            status=201,
            body=self.response_body,
        )

    async def send(self, host: str, key: str, **options) -> messages.Reply:
        call = self.call(key, **options)
        return await self.node(host).run(call, self.execute)

    async def close(self) -> None:
        for node in self.nodes.values():
            await node.close()
        for delivery in list(self.deliveries):
            delivery.cancel()


@dataclasses.dataclass
class FakeTransport:
    """The transport of one node."""

    network: FakeNetwork
    address: str

    async def send_request(self, address, body, timeout):
        # The request is still delivered, late, after the sender timed out.
        delivery = asyncio.create_task(self.deliver(str(address), body))
        self.network.deliveries.add(delivery)
        delivery.add_done_callback(self.network.deliveries.discard)
        return await asyncio.wait_for(asyncio.shield(delivery), timeout)

    async def deliver(self, target, body):
        nodes = self.network.nodes
        await asyncio.sleep(self.network.delay(self.address, target))
        if not self.network.can_reach(self.address, target):
            await asyncio.sleep(LOST_DELAY_SECONDS)
        if target not in nodes:
            raise errors.PeerUnreachableError
        result = await nodes[target].handle(body)
        await asyncio.sleep(self.network.delay(self.address, target))
        if not self.network.can_reach(self.address, target):
            await asyncio.sleep(LOST_DELAY_SECONDS)
        return result


@contextlib.asynccontextmanager
async def running_network(hosts: int = 4, **changes):
    """Yields a network of nodes whose first takeover has completed."""
    fake_network = FakeNetwork(hosts, **changes)
    fake_network.publish_view(*fake_network.members)
    await asyncio.sleep(1)
    try:
        yield fake_network
    finally:
        await fake_network.close()


def new_key(rng: random.Random = RNG) -> str:
    """Returns a key created at the current time of the fake clock."""
    now = START_UNIX_MS + int(asyncio.get_running_loop().time() * 1000)
    value = (now << 80) | (UUID7_BITS | rng.getrandbits(62))
    return str(uuid6.UUID(int=value))
