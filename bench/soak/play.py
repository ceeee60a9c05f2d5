"""Plays the faults of one seed against the real programs."""

import asyncio
import dataclasses
import functools
import itertools
import pathlib
import time

from bench.soak import (
    backends,
    bounds,
    callers,
    crowds,
    dialect,
    endlessfaults,
    faults,
    floods,
    history,
    linkfaults,
    links,
    operators,
    world,
)
from mangobay import ids

WARM_SECONDS = 1.5
SETTLE_SECONDS = 3.0
"""After the last fault is over, before the bound on recovery is looked at."""
LAST_CHANGES = 5
"""Most changes that are sent before everything ends."""
LAG_SECONDS = 0.05
STANDSTILL_SECONDS = 0.15
"""Lag by which peers may take a relayed link for interrupted."""
LEAVE_SECONDS = 0.01
"""After which callers leave that do not wait for their answer."""
LEAVE_POLLS = 20
"""How often to look whether they are connected yet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """What is played.

    Attributes:
      seed: of faults and requests.
      seconds: in which faults begin.
      size: how many hosts.
      tree: whose programs are run.
      folder: of all that they write.
    """

    seed: int
    seconds: float
    size: world.Size
    tree: pathlib.Path
    folder: pathlib.Path


@dataclasses.dataclass(slots=True, kw_only=True)
class Played:
    """A run that was played, and what was seen in it."""

    plan: faults.Plan
    seen: history.History
    made: world.World


class Player:
    """Brings faults about.

    Attributes:
      made: the processes.
      servers: the backend servers.
      boss: changes the configuration.
      clients: the callers.
      floods: senders without end.
    """

    def __init__(
        self,
        made: world.World,
        servers: dict[ids.HostId, backends.Backend],
        boss: operators.Operators,
        clients: list[callers.Caller],
    ):
        self.made = made
        self.servers = servers
        self.boss = boss
        self.clients = clients
        self.floods = floods.Floods(
            places=made.places,
            speech=made.speech,
            seen=made.seen,
            numbers=clients[0].numbers,
        )

    async def play(self, plan: faults.Plan) -> None:
        """Returns once every fault is over."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in plan.faults:
                await asyncio.sleep(max(began + fault.at - loop.time(), 0))
                group.create_task(self.bring_about(fault))

    async def bring_about(self, fault: faults.Fault) -> None:
        """Brings one fault about; returns once it is over."""
        made = self.made
        match fault:
            case faults.Restart(host=host, down=down):
                await made.terminate(host)
                await self.start(host, down)
            case faults.Rush():
                await self.rush(fault)
            case faults.RestartWithSignal():
                await self.restart_with_signal(fault)
            case faults.Reload(host=host):
                made.signal(host, history.Action.HUP)
            case faults.Kill(host=host, down=down):
                await made.kill(host)
                await self.start(host, down)
            case faults.Tear(host=host, down=down, left=left):
                await made.kill(host)
                made.tear(host, left)
                await self.start(host, down)
            case faults.Wipe(host=host, down=down):
                await made.kill(host)
                made.wipe(host)
                await self.start(host, down)
            case faults.Freeze(host=host, seconds=seconds):
                await self.freeze(host, seconds)
            case _:
                await self.bring_about_outside(fault)

    async def bring_about_outside(self, fault: faults.Fault) -> None:
        """Brings about a fault of callers, backend servers or operators."""
        match fault:
            case faults.Replace(host=host):
                await self.servers[host].replace(bounds.TARGET.drain + 1)
            case faults.Limit(host=host, rate=rate, seconds=seconds):
                await self.servers[host].announce_limit(rate, seconds)
            case faults.Crash():
                await self.repeat_crashing_request(fault)
            case faults.Hang(host=host, seconds=seconds):
                await self.servers[host].hang(seconds)
            case faults.Sever(host=host, callers=True):
                for client in self.clients:
                    if client.place.name == host:
                        client.drop(history.End.LEFT)
            case faults.Sever(host=host):
                await self.servers[host].sever()
            case faults.OddReport(host=host, slots=slots):
                await self.servers[host].tell(slots)
            case _:
                await self.bring_about_order(fault)

    async def bring_about_order(self, fault: faults.Fault) -> None:
        """Sends the configurations of a fault."""
        match fault:
            case faults.Publish(count=count, gap=gap, race=race):
                await self.boss.publish(count, gap, race)
            case faults.InvalidOrder(flaw=flaw):
                await self.boss.publish_flawed(flaw)
            case faults.RivalOrders():
                await self.boss.publish_rivals()
            case faults.RepeatedOrder():
                await self.boss.resend()
            case _:
                await self.bring_about_on_links(fault)

    async def bring_about_on_links(self, fault: faults.Fault) -> None:
        """Brings about a fault of links, or of what is sent without end."""
        match fault:
            case endlessfaults.EndlessResponses():
                await self.floods.request(fault)
            case endlessfaults.EndlessBodies():
                await self.floods.send(fault)
            case linkfaults.LinkFault():
                await self.interrupt(fault)

    async def repeat_crashing_request(self, fault: faults.Crash) -> None:
        """Sends a request that ends backend servers to nodes in turn."""
        services = world.SERVICES
        wish = callers.Wish(
            way=fault.way,
            work=fault.mark / 1000,
            repeatable=True,
            seconds=2.0,
            service=services[fault.service % len(services)],
        )
        first = self.clients[0]
        hosts = itertools.cycle(fault.hosts)
        async with asyncio.TaskGroup() as group:
            for number in range(fault.count):
                repeater = callers.Repeater(
                    wish,
                    f"{fault.mark}-{number}",
                    self.made.places[next(hosts)],
                    self.made.speech,
                    first.seen,
                    first.numbers,
                )
                group.create_task(repeater.turn())
                if fault.leaves:
                    group.create_task(leave(repeater))
                await asyncio.sleep(fault.gap)

    async def rush(self, fault: faults.Rush) -> None:
        """Restarts a node while a crowd calls it."""
        made, host = self.made, fault.host
        if host in made.stopping:
            return
        first = self.clients[0]
        crowd = crowds.Crowd(
            fault=fault,
            place=made.places[host],
            speech=made.speech,
            seen=first.seen,
            numbers=first.numbers,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(made.terminate(host))
            # The signal comes before the first connection.
            await asyncio.sleep(0)
            group.create_task(crowd.run(made.stopping))
        await self.start(host, fault.down)

    async def start(self, host: ids.HostId, down: float) -> None:
        """Starts a process that has ended."""
        await asyncio.sleep(down)
        await self.made.start(host)

    async def restart_with_signal(
        self, fault: faults.RestartWithSignal
    ) -> None:
        """Restarts a process and disturbs that with a signal."""
        host = fault.host
        if fault.starting:
            await self.made.terminate(host)
            await self.start(host, fault.down)
            await self.disturb(fault)
        else:
            disturbing = asyncio.create_task(self.disturb(fault))
            await self.made.terminate(host)
            await disturbing
        await self.start(host, fault.down)

    async def disturb(self, fault: faults.RestartWithSignal) -> None:
        """Sends the other signal."""
        await asyncio.sleep(fault.after)
        made, host = self.made, fault.host
        match fault.signal:
            case "STOP":
                await self.freeze(host, 1.0)
            case "KILL":
                await made.kill(host)
            case "HUP":
                made.signal(host, history.Action.HUP)
            case _ if fault.starting:
                await made.terminate(host)
            case _ if host in made.stopping:
                made.signal(host, history.Action.TERM_AGAIN)

    async def freeze(self, host: ids.HostId, seconds: float) -> None:
        """Lets a process stand still."""
        if self.made.signal(host, history.Action.FREEZE):
            await asyncio.sleep(seconds)
            self.made.signal(host, history.Action.THAW)

    async def interrupt(self, fault: linkfaults.LinkFault) -> None:
        """Interrupts links for a time, unless one of the hosts has such."""
        made = self.made
        if made.links.interrupted.intersection(fault.disturbed):
            return
        made.links.interrupted.update(fault.disturbed)
        made.links.turn(fault.host, fault.others, fault.state)
        for host in fault.disturbed:
            made.note(host, history.Action.CUT, fault.state.value)
        await asyncio.sleep(fault.seconds)
        made.links.turn(fault.host, fault.others, links.State.WHOLE)
        for host in fault.disturbed:
            made.note(host, history.Action.HEAL, fault.state.value)
        made.links.interrupted.difference_update(fault.disturbed)

    async def end_all(self, final: faults.Final) -> None:
        """Kills every process right after a change was acknowledged."""
        await self.mend()
        newest = self.boss.newest
        for _ in range(LAST_CHANGES):
            await self.boss.publish(1, 0.0, race=False)
            if self.boss.newest > newest:
                break
        async with asyncio.TaskGroup() as group:
            for host in self.made.places:
                group.create_task(self.made.kill(host))
        for host in final.wiped:
            self.made.wipe(host)

    async def mend(self) -> None:
        """Starts whatever does not run."""
        for host in self.made.places:
            await self.made.start(host)


async def measure_lag(made: world.World) -> None:
    """Notes for how long this process itself does not get to run."""
    seen = made.seen
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(LAG_SECONDS)
        lag = loop.time() - before - LAG_SECONDS
        seen.lag = max(seen.lag, lag)
        if lag > STANDSTILL_SECONDS:
            made.note_standstill(before)


async def play(run: Run, speech: dialect.Dialect) -> Played:
    """Returns what was seen while the faults of a seed were played.

    Raises:
      launcher.LaunchError: a process does not start.
      operators.NoConfigurationError: nothing is served at all.
    """
    seen = history.History()
    loop = asyncio.get_running_loop()
    seen.wall = time.time() - loop.time()
    run.folder.mkdir(parents=True, exist_ok=True)
    async with world.World(
        run.tree,
        run.folder,
        speech,
        seen,
        run.size,
        relayed=faults.has_link_faults(run.seed),
    ) as made:
        plan = faults.plan(run.seed, run.seconds, made.hosts)
        await made.start_all()
        servers = {
            place.name: backends.Backend(place, speech, seen, run.seed)
            for place in made.places.values()
            if place.service
        }
        for server in servers.values():
            server.end_node = functools.partial(
                end_node, made, server.place.name
            )
        boss = operators.Operators(made, seen, run.seed)
        tasks: list[asyncio.Task] = []
        for server in servers.values():
            await server.__aenter__()
        try:
            await boss.first()
            made.end_bootstrap()
            await asyncio.sleep(WARM_SECONDS)
            clients = callers_of(run, made)
            jobs = [client.run() for client in clients]
            jobs += [boss.watch(), measure_lag(made)]
            tasks += [asyncio.create_task(job) for job in jobs]
            player = Player(made, servers, boss, clients)
            await player.play(plan)
            if plan.final is not None:
                await player.end_all(plan.final)
            await player.mend()
            seen.calm = loop.time()
            await asyncio.sleep(bounds.TARGET.recovery + SETTLE_SECONDS)
            await boss.read_last()
        finally:
            seen.over = loop.time()
            await end(tasks)
            for server in servers.values():
                await server.__aexit__()
    return Played(plan=plan, seen=seen, made=made)


async def end_node(made: world.World, host: ids.HostId) -> None:
    """Kills a node, and starts it again when its backend server is back."""
    await made.kill(host)
    await asyncio.sleep(backends.CRASHED_SECONDS)
    await made.start(host)


async def leave(repeater: callers.Repeater) -> None:
    """Lets a caller leave shortly after it has sent its request."""
    for _ in range(LEAVE_POLLS):
        await asyncio.sleep(LEAVE_SECONDS)
        if repeater.connection is not None:
            await asyncio.sleep(LEAVE_SECONDS)
            break
    repeater.drop(history.End.LEFT)


async def end(tasks: list[asyncio.Task]) -> None:
    """Ends callers and observers; raises what one of them failed with."""
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


def callers_of(run: Run, made: world.World) -> list[callers.Caller]:
    """Returns a caller of each manner for each node."""
    numbers = itertools.count(1)
    return [
        callers.Caller(place, manner, made.speech, made.seen, run.seed, numbers)
        for place in made.places.values()
        if place.service
        for manner in callers.Manner
    ]
