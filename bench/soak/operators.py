"""Operators that change the configuration, read it back and try it out."""

import asyncio
import dataclasses
import itertools
import random

from bench.soak import callers, dialect, history, wire, world
from mangobay import ids

RACE_FACTOR = 2
READ_SECONDS = 0.7
PROBE_SECONDS = 0.25
"""Seconds between two tries of the newest route at a node."""
KEPT_ROUTES = 30
"""Versions for which a route stays."""
FIRST_SECONDS = 40.0
"""Longest wait for the first configuration to be accepted."""
LAST_TRIES = 30
RETRY_SECONDS = 0.2
CLEAR = frozenset({200, 400, 409, 412, 413, 422})
MOVED = "moved.example"
"""Host name of the route that each version has for another service."""
SEND_AGAIN = 20
"""Most times that a change without a clear answer is sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A configuration to be sent; `flaw` is what makes it invalid."""

    version: int
    base: int
    data: bytes
    flaw: dialect.Flaw | None = None


class NoConfigurationError(Exception):
    """The first configuration was not accepted."""


class Operators:
    """The operators of one run.

    Attributes:
      speech: how they speak.
      seen: gets changes, readings and probes.
      controls: the control hosts.
      nodes: the other hosts.
      newest: the newest acknowledged version.
      acknowledged: what was acknowledged, oldest first.
      versions: numbers for further versions.
    """

    def __init__(self, made: world.World, seen: history.History, seed: int):
        self.speech = made.speech
        self.seen = seen
        places = list(made.places.values())
        self.controls = [place for place in places if not place.service]
        self.nodes = [place for place in places if place.service]
        self.lots = random.Random(f"operators {seed}")
        self.newest = 0
        self.acknowledged: list[Order] = []
        self.versions = itertools.count(1)

    async def first(self) -> None:
        """Puts the first configuration in force.

        Raises:
          NoConfigurationError: no control host takes it in time.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + FIRST_SECONDS
        while not self.newest:
            if loop.time() > until:
                raise NoConfigurationError("no first configuration in force")
            await self.change(next(self.versions), 0)

    async def publish(self, count: int, gap: float, race: bool) -> None:
        """Sends changes in series; in a race two on the same version."""
        for _ in range(count):
            base = self.newest
            rivals = RACE_FACTOR if race else 1
            orders = [
                self.change(next(self.versions), base) for _ in range(rivals)
            ]
            await asyncio.gather(*orders)
            await asyncio.sleep(gap)

    async def publish_rivals(self) -> None:
        """Sends two configurations under one number, on the same version."""
        version, base = next(self.versions), self.newest
        await asyncio.gather(
            *[self.change(version, base, rival) for rival in range(RACE_FACTOR)]
        )

    async def publish_flawed(self, flaw: dialect.Flaw) -> None:
        """Sends an invalid configuration on top of the newest one."""
        base = self.newest
        is_old = flaw is dialect.Flaw.OLD_VERSION
        version = base if is_old else next(self.versions)
        data = self.speech.publish_flawed(
            version, base, routes(version, rival=RACE_FACTOR), flaw
        )
        await self.send(Order(version=version, base=base, data=data, flaw=flaw))

    async def resend(self) -> None:
        """Sends the newest acknowledged order again, and an older one."""
        newest, older = (
            self.acknowledged[-1],
            self.lots.choice(self.acknowledged),
        )
        await asyncio.gather(self.send(newest), self.send(older))

    async def change(self, version: int, base: int, rival: int = 0) -> None:
        """Sends a change; rivals have other content under the same number."""
        data = self.speech.publish(version, base, routes(version, rival))
        await self.send(Order(version=version, base=base, data=data))

    async def send(self, order: Order) -> None:
        """Sends an order until there is a clear answer."""
        loop = asyncio.get_running_loop()
        _, _, body = order.data.partition(b"\r\n\r\n")
        content = self.speech.content(body)
        for _ in range(SEND_AGAIN):
            host = self.lots.choice(self.controls)
            change = history.Change(
                version=order.version,
                base=order.base,
                host=host.name,
                sent=loop.time(),
                ended=loop.time(),
                status=0,
                content=content,
                flaw=order.flaw,
            )
            self.seen.changes.append(change)
            port = self.speech.ports.operator
            status, _ = await wire.exchange(host.ip, port, order.data)
            change.ended = loop.time()
            change.status = status
            if status == 200 and not order.flaw:
                self.newest = max(self.newest, order.version)
                if order not in self.acknowledged:
                    self.acknowledged.append(order)
            if status in CLEAR:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def watch(self) -> None:
        """Reads the configuration and tries routes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.watch_hosts())
            # A process that stands still must not hold up the others.
            for place in self.nodes:
                tasks.create_task(self.watch_routes(place))

    async def watch_hosts(self) -> None:
        """Reads the configuration, and asks nodes whether they are ready."""
        while True:
            await self.read(self.lots.choice(self.controls))
            await self.probe(self.lots.choice(self.nodes))
            for place in self.nodes:
                await self.ask_ready(place)
            await asyncio.sleep(READ_SECONDS * self.lots.random())

    async def watch_routes(self, place: dialect.Place) -> None:
        """Tries the newest route at one node."""
        while True:
            await self.probe(place, kept=True)
            await self.probe_moved(place)
            await asyncio.sleep(PROBE_SECONDS)

    async def read(self, place: dialect.Place, last: bool = False) -> bool:
        """Reads the configuration back; returns whether it was told."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        port = self.speech.ports.operator
        status, body = await wire.exchange(place.ip, port, self.speech.describe)
        version = self.speech.version(body) if status == 200 else 0
        self.seen.readings.append(
            history.Reading(
                host=place.name,
                sent=sent,
                ended=loop.time(),
                version=version,
                last=last,
                content=self.speech.content(body) if version else "",
            )
        )
        return bool(version)

    async def read_last(self) -> None:
        """Reads the configuration back once all faults are over."""
        for place in self.controls:
            for _ in range(LAST_TRIES):
                if await self.read(place, last=True):
                    break
                await asyncio.sleep(RETRY_SECONDS)

    async def ask_ready(self, place: dialect.Place) -> None:
        """Asks a node whether it takes callers."""
        sent = asyncio.get_running_loop().time()
        port = self.speech.ports.ready
        status, _ = await wire.exchange(place.ip, port, self.speech.ready)
        self.seen.readiness.append(
            history.Readiness(host=place.name, sent=sent, ready=status == 200)
        )

    async def probe(self, place: dialect.Place, kept: bool = False) -> None:
        """Tries a route of one version, or one that later versions keep."""
        version = self.newest
        if not kept:
            version = max(1, version - self.lots.choice((0, 0, 1)))
        hostname = kept_marker(version) if kept else marker(version)
        probe = self.make_probe("kept" if kept else "probe", place, version)
        probe.kept = kept
        await self.send_probe(probe, place, hostname)

    async def probe_moved(self, place: dialect.Place) -> None:
        """Tries the route that each version has for another service."""
        probe = self.make_probe("moved", place, self.newest)
        probe.moved = True
        await self.send_probe(probe, place, MOVED)

    def make_probe(
        self, name: str, place: dialect.Place, version: int
    ) -> history.Probe:
        """Returns a probe that is sent now."""
        sent = asyncio.get_running_loop().time()
        return history.Probe(
            attempt=ids.AttemptId(f"{name}-{place.name}-{sent:.6f}"),
            host=place.name,
            version=version,
            sent=sent,
        )

    async def send_probe(
        self, probe: history.Probe, place: dialect.Place, hostname: str
    ) -> None:
        """Sends a probe to a node."""
        fields = {
            "Host": hostname,
            **self.speech.request_fields(probe.attempt, 1.0),
        }
        data = wire.encode("GET /plain/0 HTTP/1.1", fields, None)
        port = self.speech.ports.outside
        self.seen.probes.append(probe)
        probe.status, _ = await wire.exchange(place.ip, port, data)
        probe.ended = asyncio.get_running_loop().time()


def marker(version: int) -> str:
    """Returns the host name of the route that only one version has."""
    return f"v{version}.example"


def moved_service(version: int) -> ids.ServiceName:
    """Returns the service of the route `MOVED` in a version."""
    return world.SERVICES[version % len(world.SERVICES)]


def kept_marker(version: int) -> str:
    """Returns the host name of the route that is there since a version."""
    return f"since{version}.example"


def routes(version: int, rival: int = 0) -> list[dialect.Route]:
    """Returns the routes of a version; rivals differ in one."""
    found = [
        dialect.Route(
            hostname=callers.hostname(service, repeatable),
            service=service,
            repeatable=repeatable,
            timeout=callers.TIMEOUTS[repeatable],
        )
        for service in world.SERVICES
        for repeatable in (True, False)
    ]
    names = {marker(version): version, MOVED: version}
    if rival:
        names[f"rival{rival}.example"] = version
    for kept in range(max(1, version - KEPT_ROUTES), version + 1):
        names[kept_marker(kept)] = kept
    return found + [
        dialect.Route(
            hostname=hostname,
            service=moved_service(number),
            repeatable=True,
            timeout=1.0,
        )
        for hostname, number in names.items()
    ]
