"""What a node's state and messages cost."""

import asyncio
import random

from bench import nodesettings, series, stock
from mangobay import (
    controlclient,
    ids,
    operationtable,
    options,
    peers,
    records,
    routing,
)
from mangobay.generated import messages, settings

ROLE = "node"
FORMERS = 8
HELLO = messages.Hello(
    host=ids.HostId("host-000001.example"),
    incarnation=ids.Incarnation("1"),
    role="node",
)
LOOPBACK = options.Address("127.0.0.1", 0)


async def table_bytes(rows: int) -> float:
    """Memory of a table."""
    return series.heap(lambda: swap(rows))


async def view_bytes(services: int, formers: int) -> float:
    """Memory of views with so many former views, and of the router's hosts."""

    def build():
        views = {}
        for number in range(services):
            grant = messages.LeaseGrant(views=[stock.view(number, formers)])
            for view in stock.over_the_wire(grant).views:
                views[view.service] = view
        router = routing.Router(
            nodesettings.section("routing"),
            nodesettings.section("admission"),
            ids.DataCentre("centre-01"),
            random.Random(1),
        )
        router.update_views(views)
        return views, router

    return series.heap(build)


def once_record(number: int, now: float) -> messages.OnceEntry:
    """Returns an answered key with an answer of 1 kB."""
    return messages.OnceEntry(
        key=ids.IdempotencyKey(f"0193a0c2-7b1e-7c3a-9f21-{number:012}"),
        service=stock.service_name(1),
        slot=ids.Slot(number % 1024),
        digest=bytes(16),
        state=messages.OnceState.ANSWERED,
        runner=HELLO.host,
        runner_incarnation=HELLO.incarnation,
        age_ms=int(now),
        status=201,
        body=stock.ANSWER,
    )


async def once_bytes(keys: int) -> float:
    """Memory of remembered keys, each with an answer of 1 kB."""

    def build():
        registry = records.Registry(3600, 10**7, records.MemoryBudget(1 << 40))
        for number in range(keys):
            put = messages.CopyPut(entries=[once_record(number, 0)])
            registry.merge(stock.over_the_wire(put).entries[0], 0.0)
        return registry

    return series.heap(build)


async def echo(hello: messages.Hello, body: messages.EnvelopeBody):
    """Answers a call with 1 kB."""
    return messages.Reply(
        outcome=messages.Outcome.ANSWERED, status=200, body=stock.ANSWER
    )


async def connection_bytes(count: int) -> float:
    """Memory of peer connections, both ends, without TLS."""
    listener = peers.Listener(LOOPBACK, HELLO, echo)
    await listener.start()
    clients: list[peers.PeerClient] = []

    async def build():
        for _ in range(count):
            client = peers.PeerClient(HELLO)
            await client.send_request(listener.address, messages.Call(), 5)
            clients.append(client)
        return clients

    try:
        return await series.heap_of(build)
    finally:
        for client in clients:
            await client.close()
        await listener.close()


async def call_us(calls: int) -> float:
    """Processor time of calls between two nodes, both ends, one at a time."""
    listener = peers.Listener(LOOPBACK, HELLO, echo)
    await listener.start()
    client = peers.PeerClient(HELLO)
    call = messages.Call(
        service=stock.service_name(1),
        operation=ids.OperationName("sign"),
        method="POST",
        target="/items/17",
        body=stock.ANSWER,
        deadline_ms=2000,
    )

    async def work():
        for _ in range(calls):
            await client.send_request(listener.address, call, 5)

    try:
        return await series.processor_us_of(work)
    finally:
        await client.close()
        await listener.close()


class Answering:
    """A transport whose leader has nothing new; both codecs are run."""

    def __init__(self, grant: messages.LeaseGrant):
        self.frame = messages.encode_envelope(messages.Envelope(body=grant))

    async def send_request(self, address, body, timeout):
        """Encodes the renewal and decodes the grant."""
        messages.encode_envelope(messages.Envelope(body=body))
        return messages.decode_envelope(self.frame).body


def make_client(transport) -> controlclient.ControlClient:
    """Returns a node's side of the control group."""
    hosts = (options.Address("127.0.0.1", 1),)
    return controlclient.ControlClient(
        settings.NodeControl(
            hosts=hosts,
            renew_interval=1,
            patience=0.5,
            seeds=(),
            follow="used",
            cut_off="refuse",
        ),
        controlclient.NodeIdentity(
            host=HELLO.host,
            incarnation=HELLO.incarnation,
            data_centre=ids.DataCentre("centre-01"),
            peer_address=LOOPBACK,
        ),
        transport,
        random.Random(1),
    )


RENEWALS = 50


async def renewal_us(interests: int) -> float:
    """Processor time of one renewal by the services that a node follows."""
    grant = messages.LeaseGrant(granted=True, ttl_ms=4000)
    client = make_client(Answering(grant))
    client.apply_views([stock.view(n, 0) for n in range(interests)])
    names = [stock.service_name(number) for number in range(interests)]
    client.interests.resolve(names, names, unknown_seconds=1)

    async def work():
        for _ in range(RENEWALS):
            await client.renew_once()

    return await series.processor_us_of(work) / RENEWALS


async def renewal_bytes(interests: int) -> float:
    """Bytes of one renewal and its answer without news."""
    asked = messages.Envelope(stream=1, body=stock.renewal(1, interests))
    grant = messages.Envelope(
        stream=1,
        body=messages.LeaseGrant(
            granted=True, ttl_ms=4000, leader_address="10.0.0.1:7000"
        ),
    )
    return float(
        len(messages.encode_envelope(asked))
        + len(messages.encode_envelope(grant))
    )


async def view_push_bytes(formers: int) -> float:
    """Bytes of one pushed view, by the former views with it."""
    grant = messages.LeaseGrant(granted=True, views=[stock.view(1, formers)])
    return float(len(messages.encode_envelope(messages.Envelope(body=grant))))


def swap(rows: int) -> operationtable.OperationTable:
    """Returns a table made from a grant of so many rows."""
    changed = [stock.operation(number) for number in range(rows)]
    update = messages.TableUpdate(revision=ids.Revision(1), changed=changed)
    grant = stock.over_the_wire(messages.LeaseGrant(table=update))
    return operationtable.OperationTable().updated(grant.table)


async def swap_us(rows: int) -> float:
    """Processor time of taking in rows, both codecs included."""
    return series.processor_us(lambda: swap(rows))


async def push_us(views: int) -> float:
    """Processor time of taking in changed views."""
    grant = messages.LeaseGrant(
        granted=True, views=[stock.view(n, 0) for n in range(views)]
    )
    frame = messages.encode_envelope(messages.Envelope(body=grant))

    def work():
        client = make_client(None)
        client.apply_views(messages.decode_envelope(frame).body.views)

    return series.processor_us(work)


async def idle_tasks_bytes(tasks: int) -> float:
    """Memory of waiting tasks, as a call in flight holds a few."""
    made: list[asyncio.Task] = []

    async def build():
        made.extend(
            asyncio.create_task(asyncio.sleep(60)) for _ in range(tasks)
        )
        await asyncio.sleep(0)
        return made

    try:
        return await series.heap_of(build)
    finally:
        for task in made:
            task.cancel()
        await asyncio.gather(*made, return_exceptions=True)


ALL = (
    series.Series(
        ROLE, "table, a row", "bytes", (250, 500, 1000, 2000), table_bytes
    ),
    series.Series(
        ROLE,
        "view of 7 members and the router's hosts: a service followed",
        "bytes",
        (10, 20, 40, 80),
        lambda services: view_bytes(services, 0),
    ),
    series.Series(
        ROLE,
        "the same with 8 former views: a service served",
        "bytes",
        (10, 20, 40, 80),
        lambda services: view_bytes(services, FORMERS),
    ),
    series.Series(
        ROLE,
        "remembered key with an answer of 1 kB",
        "bytes",
        (1000, 2000, 4000, 8000),
        once_bytes,
    ),
    series.Series(
        ROLE,
        "peer connection, both ends, no TLS",
        "bytes",
        (25, 50, 100, 200),
        connection_bytes,
    ),
    series.Series(
        ROLE, "waiting task", "bytes", (500, 1000, 2000, 4000), idle_tasks_bytes
    ),
    series.Series(
        ROLE,
        "call of 1 kB and its answer between nodes, both ends",
        "us",
        (250, 500, 1000, 2000),
        call_us,
    ),
    series.Series(
        ROLE,
        "one renewal, a service followed",
        "us",
        (5, 10, 20, 40, 80),
        renewal_us,
    ),
    series.Series(
        ROLE,
        "one renewal and its answer, a service followed",
        "bytes on the wire",
        (5, 10, 20, 40, 80),
        renewal_bytes,
    ),
    series.Series(
        ROLE,
        "pushed view of 7 members, a former view",
        "bytes on the wire",
        (0, 2, 4, 8),
        view_push_bytes,
    ),
    series.Series(
        ROLE, "taking in a table, a row", "us", (250, 500, 1000, 2000), swap_us
    ),
    series.Series(
        ROLE,
        "taking in changed views of services called, a view",
        "us",
        (5, 10, 20, 40),
        push_us,
    ),
)
