"""What a control host's state, messages and disk cost."""

import asyncio
import collections.abc
import contextlib
import pathlib
import random
import tempfile
import time
import typing

from bench import series, stock
from mangobay import (
    consensus,
    disk,
    ids,
    leases,
    options,
    peers,
    statemachine,
    storage,
)
from mangobay.generated import messages, settings

ROLE = "control host"
RUNS = 2
"""Starts of each host: every view then has former views."""
TTL = 240.0
"""Long: renewals are held for a quarter of it, longer than a measurement."""
MARGIN = 1.0
INTERESTS = 40
PAUSE = 0.001
"""Seconds between two looks at how long the loop stood still."""
ADDRESS = options.Address("127.0.0.1", 1)
HELLO = messages.Hello(host=ids.HostId("control"), role="control")


async def member_bytes(members: int) -> float:
    """Memory of members and their views, after two starts of each."""
    return series.heap(lambda: stock.machine_with(members, runs=RUNS))


async def row_bytes(rows: int) -> float:
    """Memory of the table's rows."""
    return series.heap(lambda: stock.machine_with(rows=rows))


def machine_with_history(sheets: int) -> statemachine.ConfigStateMachine:
    """Returns a machine that accepted so many sheets of one row."""
    state = statemachine.ConfigStateMachine()
    for number in range(1, sheets + 1):
        change = stock.sheet_change(1, version=f"2026-12-03.{number}")
        change.base = state.revision
        state.apply(stock.decoded(number, change))
    return state


async def history_bytes(sheets: int) -> float:
    """Memory of the history, one row changed each time."""
    return series.heap(lambda: machine_with_history(sheets))


async def apply_us(members: int) -> float:
    """Processor time of applying restarts of hosts."""
    state = stock.machine_with(members)
    entries = [
        stock.decoded(10**6 + number, stock.join(number, 7))
        for number in range(members)
    ]
    began = time.process_time()
    for entry in entries:
        state.apply(entry)
    return (time.process_time() - began) * 1e6


class Tabled:
    """A lease table over some members, with renewals that know everything."""

    def __init__(self, members: int):
        self.state = stock.machine_with(members)
        self.group = stock.OneHostGroup(self.state)
        self.table = leases.LeaseTable(self.state, self.group, TTL, MARGIN)

    def frame(
        self, number: int, interests: int = INTERESTS, hold_ms: int = 0
    ) -> bytes:
        """Returns the bytes of a renewal of a node that lacks nothing."""
        asked = stock.renewal(number, interests, hold_ms)
        for ack in asked.views:
            view = self.state.views.get(ack.service)
            ack.version = view.version if view else ack.version
        return messages.encode_envelope(messages.Envelope(body=asked))

    async def take(self, frame: bytes) -> bytes:
        """Returns the answer to a renewal, as bytes."""
        asked = messages.decode_envelope(frame).body
        grant = await self.table.renew(asked)
        return messages.encode_envelope(messages.Envelope(body=grant))


async def lease_us(renewals: int) -> float:
    """Processor time of the leader for renewals, each from another node."""
    tabled = Tabled(renewals)
    frames = [tabled.frame(number) for number in range(renewals)]

    async def work():
        for frame in frames:
            await tabled.take(frame)

    return await series.processor_us_of(work)


RENEWALS = 100


async def lease_interests_us(interests: int) -> float:
    """Processor time of one renewal by the services that its node follows."""
    tabled = Tabled(interests * stock.MEMBERS)
    frame = tabled.frame(1, interests)

    async def work():
        for _ in range(RENEWALS):
            await tabled.take(frame)

    return await series.processor_us_of(work) / RENEWALS


async def answer_us(views: int) -> float:
    """Processor time of one renewal that is answered with changed views."""
    tabled = Tabled(INTERESTS * stock.MEMBERS)
    asked = stock.renewal(stock.MEMBERS * INTERESTS - 1, INTERESTS)
    for number, ack in enumerate(asked.views):
        view = tabled.state.views[ack.service]
        ack.version = ids.ViewVersion(view.version - (number < views))
    frame = messages.encode_envelope(messages.Envelope(body=asked))

    async def work():
        for _ in range(RENEWALS):
            await tabled.take(frame)

    return await series.processor_us_of(work) / RENEWALS


async def held_bytes(renewals: int) -> float:
    """Memory of renewals that are held, above that of the members."""
    tabled = Tabled(renewals)
    tasks: list[asyncio.Task] = []

    async def build():
        for number in range(renewals):
            tasks.append(
                asyncio.create_task(
                    tabled.take(tabled.frame(number, hold_ms=60_000))
                )
            )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return tasks

    try:
        return await series.heap_of(build)
    finally:
        await ended(tasks)


async def ended(tasks: list[asyncio.Task]) -> None:
    """Cancels tasks and waits for them."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def push_us(followers: int) -> float:
    """Processor time of one changed view for the nodes that follow it."""
    tabled = Tabled(followers)
    tasks = [
        asyncio.create_task(tabled.take(tabled.frame(number, hold_ms=60_000)))
        for number in range(followers)
    ]
    # Each renewal runs up to its wait.
    await asyncio.sleep(0.01)
    began = time.process_time()
    tabled.state.apply(stock.decoded(1 << 21, stock.join(0, 9)))
    await asyncio.wait(tasks, timeout=30)
    return (time.process_time() - began) * 1e6


async def socket_lease_us(renewals: int) -> float:
    """Processor time of renewals over one connection, both ends."""
    tabled = Tabled(RENEWALS)

    async def answer(hello, body):
        return await tabled.table.renew(body)

    listener = peers.Listener(options.Address("127.0.0.1", 0), HELLO, answer)
    await listener.start()
    client = peers.PeerClient(HELLO)
    body = messages.decode_envelope(tabled.frame(1)).body

    async def work():
        for _ in range(renewals):
            await client.send_request(listener.address, body, 5)

    try:
        return await series.processor_us_of(work)
    finally:
        await client.close()
        await listener.close()


class Unreachable:
    """A group of one host asks nobody."""

    async def send_request(self, address, body, timeout):
        """Never answers."""
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def group_on_disk(
    folder: pathlib.Path,
) -> collections.abc.AsyncIterator[consensus.Group]:
    """Runs a group of one host on a real disk."""
    files = disk.Disk(str(folder))
    log = storage.Storage(files)
    log.open()
    config = settings.ControlGroup(
        hosts=(ADDRESS,),
        election_timeout=0.05,
        heartbeat_interval=0.01,
        data=str(folder),
        snapshot_entries=1_000_000,
        snapshot_bytes=1 << 30,
        join=False,
        seeds=(),
        voters=0,
        tolerance=0,
        replace_after=1.5,
    )
    group = consensus.Group(
        config,
        log,
        statemachine.ConfigStateMachine(),
        Unreachable(),
        host=HELLO.host,
        address=ADDRESS,
        rng=random.Random(1),
    )
    task = asyncio.create_task(group.run())
    try:
        async with asyncio.timeout(10):
            await group.leading.wait()
            await group.confirm_leadership()
        yield group
    finally:
        await ended([task])
        files.close()


async def append_us(entries: int) -> float:
    """Time on the clock of entries that are synced one after the other."""
    with tempfile.TemporaryDirectory() as folder:
        async with group_on_disk(pathlib.Path(folder)) as group:
            began = time.perf_counter()
            for number in range(entries):
                await group.propose(stock.join(number))
            return (time.perf_counter() - began) * 1e6


async def append_processor_us(entries: int) -> float:
    """Processor time of entries that come at once and share syncs."""
    with tempfile.TemporaryDirectory() as folder:
        async with group_on_disk(pathlib.Path(folder)) as group:
            began = time.process_time()
            await asyncio.gather(
                *(group.propose(stock.join(n)) for n in range(entries))
            )
            return (time.process_time() - began) * 1e6


async def restart_us(entries: int) -> float:
    """Time on the clock from opening the folder to the state in memory."""
    with tempfile.TemporaryDirectory() as folder:
        async with group_on_disk(pathlib.Path(folder)) as group:
            await asyncio.gather(
                *(group.propose(stock.join(n)) for n in range(entries))
            )
        files = disk.Disk(folder)
        began = time.perf_counter()
        log = storage.Storage(files)
        log.open()
        state = statemachine.ConfigStateMachine()
        for record in log.records:
            state.apply(record.entry)
        spent = time.perf_counter() - began
        files.close()
        return spent * 1e6


def snapshot_of(members: int) -> messages.Snapshot:
    """Returns the snapshot of so many hosts, each started twice."""
    return stock.machine_with(members, runs=RUNS).snapshot()


async def snapshot_bytes(members: int) -> float:
    """Size of a snapshot."""
    return float(len(messages.encode_snapshot(snapshot_of(members))))


def timed(work: typing.Callable[[], typing.Any]) -> float:
    """Returns the microseconds on the clock of one run, the best of three."""
    best = float("inf")
    for _ in range(series.ROUNDS):
        began = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - began)
    return best * 1e6


async def snapshot_encode_us(members: int) -> float:
    """Time of encoding a snapshot."""
    made = snapshot_of(members)
    return timed(lambda: messages.encode_snapshot(made))


async def snapshot_load_us(members: int) -> float:
    """Time of decoding a snapshot and restoring the state."""
    data = messages.encode_snapshot(snapshot_of(members))
    return timed(
        lambda: statemachine.ConfigStateMachine().restore(
            messages.decode_snapshot(data)
        )
    )


async def snapshot_pause_us(members: int) -> float:
    """Longest time the loop stands still while a snapshot is encoded."""
    made = snapshot_of(members)
    work = asyncio.create_task(
        asyncio.to_thread(messages.encode_snapshot, made)
    )
    longest = 0.0
    while not work.done():
        began = time.perf_counter()
        await asyncio.sleep(PAUSE)
        longest = max(longest, time.perf_counter() - began - PAUSE)
    return longest * 1e6


async def snapshot_row_bytes(rows: int) -> float:
    """Size of a snapshot of rows."""
    made = stock.machine_with(rows=rows).snapshot()
    return float(len(messages.encode_snapshot(made)))


THOUSANDS = (1000, 2000, 4000, 8000)
HUNDREDS = (250, 500, 1000, 2000)

ALL = (
    series.Series(
        ROLE, "member with its part of views", "bytes", THOUSANDS, member_bytes
    ),
    series.Series(ROLE, "row of the table", "bytes", THOUSANDS, row_bytes),
    series.Series(
        ROLE, "sheet in the history", "bytes", HUNDREDS, history_bytes
    ),
    series.Series(
        ROLE, "held renewal", "bytes", (1000, 1500, 2000, 3000), held_bytes
    ),
    series.Series(ROLE, "applying a restart", "us", THOUSANDS, apply_us),
    series.Series(
        ROLE, "renewal of a node that follows 40", "us", HUNDREDS, lease_us
    ),
    series.Series(
        ROLE,
        "one renewal, a service followed",
        "us",
        (5, 10, 20, 40, 80),
        lease_interests_us,
    ),
    series.Series(
        ROLE,
        "one renewal that follows 40, a changed view in the answer",
        "us",
        (5, 10, 20, 40),
        answer_us,
    ),
    series.Series(
        ROLE,
        "renewal that follows 40 over a connection, both ends",
        "us",
        HUNDREDS,
        socket_lease_us,
    ),
    series.Series(
        ROLE,
        "one changed view, a node that is told",
        "us",
        (50, 100, 200, 400),
        push_us,
    ),
    series.Series(
        ROLE,
        "entry appended and synced alone",
        "us on the clock",
        (50, 100, 200, 400),
        append_us,
    ),
    series.Series(
        ROLE,
        "entry appended with others and applied",
        "us",
        HUNDREDS,
        append_processor_us,
    ),
    series.Series(
        ROLE,
        "restart, an entry in the log",
        "us on the clock",
        (500, 1000, 2000, 4000),
        restart_us,
    ),
    series.Series(
        ROLE, "snapshot, a member", "bytes on disk", THOUSANDS, snapshot_bytes
    ),
    series.Series(
        ROLE, "snapshot, a row", "bytes on disk", THOUSANDS, snapshot_row_bytes
    ),
    series.Series(
        ROLE,
        "encoding a snapshot, a member",
        "us on the clock",
        THOUSANDS,
        snapshot_encode_us,
    ),
    series.Series(
        ROLE,
        "longest pause of the loop beside the encoding, a member",
        "us on the clock",
        THOUSANDS,
        snapshot_pause_us,
    ),
    series.Series(
        ROLE,
        "loading a snapshot, a member",
        "us on the clock",
        THOUSANDS,
        snapshot_load_us,
    ),
)
