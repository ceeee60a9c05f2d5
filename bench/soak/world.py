"""The processes of one run, each host with an IP number of its own."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import shutil
import signal

from bench import launcher
from bench.soak import bounds, dialect, faults, history, links
from mangobay import ids, options

SERVICES = tuple(ids.ServiceName(name) for name in ("basket", "price", "stock"))
DATA_CENTRES = tuple(
    ids.DataCentre(name) for name in ("north", "south", "west")
)
SEEDS = 3
"""Control hosts that found the group; further ones join it."""
MEMORY_INTERVAL = 0.5
"""Seconds between two looks at the memory of the processes."""
STANDSTILL = "relays stood still"
EXIT_SECONDS = 5.0
"""Longest wait for the end of a process that was killed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """How many hosts a run has."""

    nodes: int = 6
    controls: int = 3


class World:
    """Control hosts and nodes of one tree; use as an asynchronous context.

    Attributes:
      tree: whose programs are run.
      folder: of settings, output and data.
      speech: how the programs are started and their settings written.
      seen: gets every signal, start and end.
      places: every host, by name.
      fleet: the processes.
      stopping: hosts whose process was told to end.
      starting: by host, held while its process is started.
      links: between the hosts, None where they are not relayed.
    """

    def __init__(
        self,
        tree: pathlib.Path,
        folder: pathlib.Path,
        speech: dialect.Dialect,
        seen: history.History,
        size: Size,
        relayed: bool = False,
    ):
        self.tree = tree
        self.folder = folder
        self.speech = speech
        self.seen = seen
        # Runs side by side must not share IP numbers.
        lots = random.SystemRandom()
        self.network = f"127.{lots.randrange(1, 250)}.{lots.randrange(250)}"
        self.places = {place.name: place for place in self.lay_out(size)}
        seen.services = {
            place.name: place.service for place in self.places.values()
        }
        self.fleet = launcher.Fleet(folder)
        self.watching: set[asyncio.Task] = set()
        self.stopping: set[ids.HostId] = set()
        self.starting = {host: asyncio.Lock() for host in self.places}
        self.links: links.Links | None = None
        if relayed:
            port, _ = speech.ports.internal
            self.links = links.Links(folder, self.places.values(), port)

    async def __aenter__(self) -> "World":
        """Writes the settings; starts nothing yet."""
        founders = [each.ip for each in self.places.values() if each.founds]
        for place in self.places.values():
            text = self.speech.settings(self.tree, place, founders, self.folder)
            self.settings_of(place).write_text(text)
        return self

    async def __aexit__(self, *unused) -> None:
        """Ends every process that was started."""
        for task in self.watching:
            task.cancel()
        for host in list(self.fleet.started):
            self.send(ids.HostId(host), signal.SIGCONT)
        await self.fleet.__aexit__()
        if self.links is not None:
            await self.links.end()

    def lay_out(self, size: Size) -> list[dialect.Place]:
        """Returns the hosts."""
        places = []
        for number in range(1, size.controls + 1):
            places.append(
                dialect.Place(
                    name=ids.HostId(f"control-{number}"),
                    data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                    ip=f"{self.network}.{number}",
                    service=ids.ServiceName(""),
                    founds=number <= SEEDS,
                )
            )
        for number in range(1, size.nodes + 1):
            places.append(
                dialect.Place(
                    name=ids.HostId(f"node-{number}"),
                    data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                    ip=f"{self.network}.{size.controls + number}",
                    service=SERVICES[number % len(SERVICES)],
                )
            )
        return places

    @property
    def hosts(self) -> faults.Hosts:
        """The hosts that faults may befall."""
        return hosts_of(self.places.values())

    def end_bootstrap(self) -> None:
        """Tells every process that starts from now on that a group exists."""
        founders = [each.ip for each in self.places.values() if each.founds]
        for place in self.places.values():
            later = dataclasses.replace(place, founds=False)
            text = self.speech.settings(self.tree, later, founders, self.folder)
            self.settings_of(place).write_text(text)

    def settings_of(self, place: dialect.Place) -> pathlib.Path:
        """Returns the path of a host's settings."""
        return self.folder / f"{place.name}.ini"

    def note(
        self,
        host: ids.HostId,
        action: history.Action,
        detail: str = "",
        at: float | None = None,
    ) -> None:
        """Records what was done to a process; without a time, just now."""
        if at is None:
            at = asyncio.get_running_loop().time()
        self.seen.events.append(
            history.Event(at=at, host=host, action=action, detail=detail)
        )

    def note_standstill(self, since: float) -> None:
        """Records that the relays have passed nothing from a time until now."""
        if self.links is not None:
            for host in self.places:
                self.note(host, history.Action.CUT, STANDSTILL, since)
                self.note(host, history.Action.HEAL, STANDSTILL)

    async def start(self, host: ids.HostId) -> None:
        """Starts the process of a host, unless one runs."""
        # Overlapping faults may start the same host again.
        async with self.starting[host]:
            if host not in self.fleet.started:
                await self.launch(host)

    async def launch(self, host: ids.HostId) -> None:
        """Starts the process of a host."""
        place = self.places[host]
        path = self.settings_of(place)
        launch = self.speech.launch(self.tree, place, path)
        self.note(host, history.Action.START)
        command = launch.command
        if self.links is not None:
            command = self.links.command(host, command)
            self.links.expect(host)
        await self.fleet.start_command(host, command, launch.environment)
        started = self.fleet.started[host]
        task = asyncio.create_task(self.watch(host, started))
        self.watching.add(task)
        task.add_done_callback(self.watching.discard)

    async def watch(self, host: ids.HostId, started: launcher.Started) -> None:
        """Records the end of a process."""
        code = await started.process.wait()
        if self.fleet.started.get(host) is started:
            del self.fleet.started[host]
        self.stopping.discard(host)
        if self.links is not None:
            self.links.close(host)
        self.note(host, history.Action.EXIT, str(code))

    async def watch_memory(self) -> None:
        """Records the peak memory of every process until cancelled."""
        while True:
            for host, started in list(self.fleet.started.items()):
                path = pathlib.Path(f"/proc/{started.process.pid}/status")
                with contextlib.suppress(OSError):
                    _, found, rest = path.read_text().partition("VmHWM:")
                    if found:
                        peak = int(rest.split()[0]) * 1024
                        known = self.seen.peaks.get(host, 0)
                        self.seen.peaks[host] = max(known, peak)
            await asyncio.sleep(MEMORY_INTERVAL)

    async def start_all(self) -> None:
        """Starts every host; returns once all of them listen.

        Raises:
          launcher.LaunchError: one does not.
        """
        ports = self.speech.ports
        self.watching.add(asyncio.create_task(self.watch_memory()))
        for place in self.places.values():
            await self.start(place.name)
        for place in self.places.values():
            port = ports.ready if place.service else ports.operator
            address = options.Address(place.ip, port)
            await self.fleet.ready(place.name, address)

    def send(self, host: ids.HostId, number: signal.Signals) -> bool:
        """Sends a signal; returns whether there is a process to get it."""
        started = self.fleet.started.get(host)
        if started is None or started.process.returncode is not None:
            return False
        started.process.send_signal(number)
        return True

    def signal(self, host: ids.HostId, action: history.Action) -> bool:
        """Sends and records the signal of an action."""
        if not self.send(host, SIGNALS[action]):
            return False
        if action is history.Action.TERM and host in self.stopping:
            action = history.Action.TERM_AGAIN
        if action is history.Action.TERM:
            self.stopping.add(host)
        self.note(host, action)
        return True

    async def terminate(self, host: ids.HostId) -> None:
        """Stops a process as the platform does; returns once it has ended."""
        started = self.fleet.started.get(host)
        again = host in self.stopping
        if started is None or not self.signal(host, history.Action.TERM):
            return
        if await ends(started, bounds.TARGET.grace) or again:
            return
        if self.fleet.started.get(host) is started:
            self.signal(host, history.Action.KILL_LATE)
        await ends(started, EXIT_SECONDS)

    async def kill(self, host: ids.HostId) -> None:
        """Kills a process; returns once it has ended."""
        started = self.fleet.started.get(host)
        if started is not None and self.signal(host, history.Action.KILL):
            await ends(started, EXIT_SECONDS)

    def tear(self, host: ids.HostId, left: int) -> None:
        """Leaves a part of a write at the end of a control host's log."""
        path = self.speech.entries(self.folder, self.places[host])
        # A first part of an older write looks like the head of the next one.
        if host not in self.fleet.started and path.exists():
            data = path.read_bytes()
            with open(path, "ab") as file:
                file.write(data[: min(left, len(data) // 2)])
            self.note(host, history.Action.TEAR, f"{left} bytes")

    def wipe(self, host: ids.HostId) -> None:
        """Empties the disk of a control host that does not run."""
        path = self.speech.entries(self.folder, self.places[host]).parent
        if host not in self.fleet.started:
            shutil.rmtree(path, ignore_errors=True)
            self.note(host, history.Action.WIPE)

    def log_lines(self, word: str) -> list[str]:
        """Returns the lines of all processes that hold a word."""
        found = []
        for path in sorted(self.folder.glob("*.out")):
            for line in path.read_text(errors="replace").splitlines():
                if word in line:
                    found.append(f"{path.stem}: {line}")
        return found


SIGNALS = {
    history.Action.TERM: signal.SIGTERM,
    history.Action.TERM_AGAIN: signal.SIGTERM,
    history.Action.HUP: signal.SIGHUP,
    history.Action.KILL: signal.SIGKILL,
    history.Action.KILL_LATE: signal.SIGKILL,
    history.Action.FREEZE: signal.SIGSTOP,
    history.Action.THAW: signal.SIGCONT,
}


def hosts_of(places) -> faults.Hosts:
    """Returns the hosts that faults may befall."""
    found = list(places)
    return faults.Hosts(
        nodes=tuple(place.name for place in found if place.service),
        controls=tuple(place.name for place in found if not place.service),
    )


async def ends(started: launcher.Started, seconds: float) -> bool:
    """Returns whether a process ends within some seconds."""
    try:
        async with asyncio.timeout(seconds):
            await started.process.wait()
    except TimeoutError:
        return False
    return True
