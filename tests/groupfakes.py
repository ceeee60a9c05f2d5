"""Fakes of the disk, network and state machine of the control group."""

import asyncio
import copy
import errno
import random

from mangobay import consensus, errors, ids, joining, options, storage
from mangobay.generated import messages, settings

ELECTION_TIMEOUT = 0.6
HEARTBEAT_INTERVAL = 0.1
REPLACE_AFTER = 1.5
SNAPSHOT_ENTRIES = 40
SNAPSHOT_BYTES = 1 << 24
LOST_DELAY_SECONDS = 5.0


class FakeDisk:
    """Files in memory that lose unsynced changes in a crash."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.files: dict[str, bytearray] = {}
        self.durable_files: dict[str, bytearray] = {}
        self.durable_contents: dict[int, tuple[bytearray, bytes]] = {}
        self.full = False
        self.steps_to_power_loss = -1
        self.sync_seconds = 0.0
        self.sync_count = 0

    def __str__(self) -> str:
        return "disk"

    def open(self) -> None:
        self.full = False
        self.steps_to_power_loss = -1
        self.sync_directory()

    def count_step(self) -> None:
        self.steps_to_power_loss -= 1
        if self.steps_to_power_loss == 0:
            self.full = True
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")

    def read(self, name):
        file = self.files.get(name)
        return None if file is None else bytes(file)

    def write(self, name, data):
        self.files[name] = bytearray()
        self.append(name, data)

    def append(self, name, data):
        file = self.files.setdefault(name, bytearray())
        file += data[: len(data) // 2]
        self.count_step()
        file += data[len(data) // 2 :]

    def truncate(self, name, size):
        self.count_step()
        del self.files[name][size:]

    def sync(self, name):
        self.count_step()
        self.sync_count += 1
        file = self.files[name]
        self.durable_contents[id(file)] = (file, bytes(file))

    def rename(self, old, new):
        self.count_step()
        if old not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", old)
        self.files[new] = self.files.pop(old)

    def sync_directory(self):
        self.count_step()
        self.durable_files = dict(self.files)

    async def offload(self, work):
        if self.sync_seconds:
            await asyncio.sleep(self.sync_seconds)
        return work()

    def crash(self) -> None:
        """Loses any part of the names and bytes that were not synced."""
        # Each name is kept or lost on its own.
        for name in {**self.files, **self.durable_files}:
            if self.rng.random() < 0.5:
                continue
            if name in self.durable_files:
                self.files[name] = self.durable_files[name]
            else:
                del self.files[name]
        for file in self.files.values():
            _, synced = self.durable_contents.get(id(file), (file, b""))
            tail = (
                bytes(file[len(synced) :]) if file.startswith(synced) else b""
            )
            file[:] = synced + tail[: self.rng.randint(0, len(tail))]
        self.files = {
            name: bytearray(content) for name, content in self.files.items()
        }
        self.durable_files = dict(self.files)
        self.durable_contents = {
            id(content): (content, bytes(content))
            for content in self.files.values()
        }
        self.full = False


class FakeStateMachine:
    """Records the log index and version of every sheet."""

    def __init__(self, committed: dict[int, messages.LogEntry]) -> None:
        self.committed = committed
        self.applied_index = 0
        self.sheets: list[tuple[int, str]] = []

    def apply(self, entry):
        assert entry.index == self.applied_index + 1
        assert self.committed.setdefault(entry.index, entry) == entry
        self.applied_index = entry.index
        match entry.body:
            case messages.SheetChange(version=version):
                self.sheets.append((entry.index, version))

    def snapshot(self):
        history = [
            messages.HistoryItem(revision=index, version=version)
            for index, version in self.sheets
        ]
        return messages.Snapshot(history=history)

    def restore(self, snapshot):
        assert snapshot.last_index >= self.applied_index
        self.applied_index = snapshot.last_index
        self.sheets = [(h.revision, h.version) for h in snapshot.history]


class FakeNetwork:
    """Delivers messages with delay, loss and one-way partitions."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.groups: dict[options.Address, consensus.Group] = {}
        self.cut_links: set[tuple[options.Address, options.Address]] = set()
        self.frozen_hosts: set[options.Address] = set()
        self.mute_hosts: set[options.Address] = set()
        self.deaf_hosts: set[options.Address] = set()
        self.deliveries: set[asyncio.Task] = set()
        self.loss_rate = 0.0
        self.delay_seconds = 0.003
        self.frozen_poll_seconds = 0.05

    def is_lost(self, sender, receiver) -> bool:
        return (
            self.rng.random() < self.loss_rate
            or (sender, receiver) in self.cut_links
            or sender in self.mute_hosts
            or receiver in self.deaf_hosts
        )

    async def deliver(self, sender, receiver, body):
        await asyncio.sleep(self.delay_seconds * (0.5 + self.rng.random()))
        while sender in self.frozen_hosts or receiver in self.frozen_hosts:
            await asyncio.sleep(self.frozen_poll_seconds)
        if self.is_lost(sender, receiver):
            await asyncio.sleep(LOST_DELAY_SECONDS)
        return copy.deepcopy(body)

    async def send_request(self, sender, receiver, body, timeout):
        # The receiver handles a message even if its sender has timed out.
        task = asyncio.create_task(self.round_trip(sender, receiver, body))
        self.deliveries.add(task)
        task.add_done_callback(self.discard_delivery)
        async with asyncio.timeout(timeout):
            return await asyncio.shield(task)

    def discard_delivery(self, task) -> None:
        self.deliveries.discard(task)
        if not task.cancelled():
            task.exception()

    async def round_trip(self, sender, receiver, body):
        body = await self.deliver(sender, receiver, body)
        group = self.groups.get(receiver)
        if group is None:
            raise errors.PeerUnreachableError(str(receiver))
        try:
            if isinstance(body, messages.GroupJoin):
                reply = joining.handle_join(group, body)
            else:
                reply = await group.handle(body)
        except (errors.StorageError, asyncio.CancelledError) as error:
            raise errors.PeerBrokenError(str(error)) from error
        return await self.deliver(receiver, sender, reply)


class FakeTransport:
    """Transport of one host on the fake network."""

    def __init__(self, network: FakeNetwork, address: options.Address):
        self.network = network
        self.address = address

    async def send_request(self, address, body, timeout):
        return await self.network.send_request(
            self.address, address, body, timeout
        )


class FakeHost:
    """A control host that can crash, restart and lose its disk."""

    def __init__(self, cluster: "Cluster", address: options.Address):
        self.cluster = cluster
        self.address = address
        self.name = ids.HostId(f"control-{address.port}")
        self.disk = FakeDisk(cluster.rng)
        self.task: asyncio.Task | None = None
        self.joining_task: asyncio.Task | None = None
        self.group: consensus.Group
        self.machine: FakeStateMachine

    def start(self, join: bool = False) -> None:
        log = storage.Storage(self.disk)
        log.open()
        self.machine = self.make_machine()
        self.group = consensus.Group(
            settings.ControlGroup(
                hosts=self.cluster.configured_addresses(),
                election_timeout=ELECTION_TIMEOUT,
                heartbeat_interval=HEARTBEAT_INTERVAL,
                data="",
                snapshot_entries=self.cluster.snapshot_entries,
                snapshot_bytes=self.cluster.snapshot_bytes,
                join=join,
                seeds=(),
                voters=self.cluster.voters,
                tolerance=self.cluster.tolerance,
                replace_after=REPLACE_AFTER,
            ),
            log,
            self.machine,
            FakeTransport(self.cluster.network, self.address),
            host=self.name,
            address=self.address,
            rng=self.cluster.rng,
        )
        self.cluster.network.groups[self.address] = self.group
        self.task = asyncio.create_task(self.group.run())
        if self.cluster.joins:
            self.joining_task = asyncio.create_task(
                joining.run(self.group, self.group.transport)
            )

    def make_machine(self):
        return FakeStateMachine(self.cluster.committed)

    async def crash(self, power_lost: bool = True) -> None:
        if self.task is None:
            return
        self.cluster.network.groups.pop(self.address, None)
        for task in filter(None, (self.task, self.joining_task)):
            task.cancel()
            await asyncio.wait([task])
        self.task = self.joining_task = None
        if power_lost:
            self.disk.crash()

    def lose_disk(self) -> None:
        assert self.task is None
        self.disk = FakeDisk(self.cluster.rng)

    @property
    def is_leading(self) -> bool:
        return self.task is not None and self.group.leading.is_set()


class Cluster:
    """Control hosts on one fake network.

    Attributes:
      joins: whether hosts look for the group, as with `[group] seeds`.
    """

    def __init__(
        self,
        seed=1,
        size=3,
        snapshot_entries=SNAPSHOT_ENTRIES,
        snapshot_bytes=SNAPSHOT_BYTES,
        voters=0,
        tolerance=0,
        joins=False,
    ):
        self.rng = random.Random(seed)
        self.joins = joins
        self.voters = voters
        self.tolerance = tolerance
        self.snapshot_entries = snapshot_entries
        self.snapshot_bytes = snapshot_bytes
        self.network = FakeNetwork(self.rng)
        self.committed: dict[int, messages.LogEntry] = {}
        self.addresses: tuple[options.Address, ...] = ()
        self.hosts: list[FakeHost] = []
        self.add_hosts(size)

    def add_hosts(self, count: int) -> None:
        for _ in range(count):
            port = 7000 + len(self.hosts)
            address = options.Address("127.0.0.1", port)
            self.addresses += (address,)
            self.hosts.append(FakeHost(self, address))

    def configured_addresses(self) -> tuple[options.Address, ...]:
        """Returns the addresses in the settings of a host that starts now."""
        return self.addresses

    async def __aenter__(self):
        for host in self.hosts:
            host.start()
        return self

    async def __aexit__(self, *unused):
        for host in self.hosts:
            await host.crash()
        for task in self.network.deliveries:
            task.cancel()

    def isolate(self, host: FakeHost) -> None:
        """Drops all messages from and to a host silently."""
        for other in self.addresses:
            self.network.cut_links |= {
                (host.address, other),
                (other, host.address),
            }

    def heal(self) -> None:
        self.network.cut_links.clear()
        self.network.frozen_hosts.clear()
        self.network.mute_hosts.clear()
        self.network.deaf_hosts.clear()
        self.network.loss_rate = 0.0
        self.network.delay_seconds = 0.003

    async def leader(self, timeout_seconds: float = 30) -> FakeHost:
        """Returns a leader that a quorum has confirmed."""
        async with asyncio.timeout(timeout_seconds):
            while True:
                for host in self.hosts:
                    if host.is_leading:
                        try:
                            await host.group.confirm_leadership()
                            return host
                        except errors.NotLeaderError:
                            pass
                await asyncio.sleep(HEARTBEAT_INTERVAL / 2)

    async def commit(
        self, version: str, timeout_seconds: float = 30
    ) -> FakeHost:
        """Proposes a sheet until a leader has applied it; returns the leader."""
        async with asyncio.timeout(timeout_seconds):
            while True:
                leader = await self.leader(timeout_seconds)
                try:
                    await leader.group.propose(
                        messages.SheetChange(version=version)
                    )
                    return leader
                except (errors.NotLeaderError, errors.LeadershipLostError):
                    await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def wait_until(self, condition, timeout_seconds: float = 30) -> None:
        """Returns once the condition holds."""
        async with asyncio.timeout(timeout_seconds):
            while not condition():
                await asyncio.sleep(HEARTBEAT_INTERVAL / 2)

    def others(self, host: FakeHost) -> list[FakeHost]:
        return [other for other in self.hosts if other is not host]
