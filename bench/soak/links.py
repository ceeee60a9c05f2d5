"""Links between the processes of a run: a relay for each pair of hosts."""

import asyncio
import collections.abc
import contextlib
import enum
import json
import pathlib

from bench import launcher
from bench.soak import dialect
from mangobay import ids, options

FIRST_NUMBER = 100
"""Last part of the IP number of the first host's relays."""
FIRST_PORT = 7700
PART = 64 * 1024
POLL_SECONDS = 0.02
"""Between two looks whether a process listens."""
SCRIPT = pathlib.Path(__file__).with_name("relayed.py")


class State(enum.Enum):
    """What becomes of the bytes on a link."""

    WHOLE = "whole"
    STALLED = "stalled"
    """They are kept until it is whole again."""
    CUT = "cut"
    """Its connections are reset, and so is each new one."""


class Link:
    """The connections from one host to another one.

    Attributes:
      address: where the relay listens.
      target: where the other host listens.
      state: what becomes of the bytes.
      server: the listener; None while the other host does not listen.
    """

    def __init__(self, address: options.Address, target: options.Address):
        self.address = address
        self.target = target
        self.state = State.WHOLE
        self.passing = asyncio.Event()
        self.passing.set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listens."""
        if self.server is None:
            self.server = await asyncio.start_server(
                self.serve, self.address.ip, self.address.port
            )

    def close(self) -> None:
        """Refuses further connections."""
        server, self.server = self.server, None
        if server is not None:
            server.close()

    def turn(self, state: State) -> None:
        """Changes what becomes of the bytes."""
        self.state = state
        if state is State.WHOLE:
            self.passing.set()
        else:
            self.passing.clear()
        if state is State.CUT:
            for task in self.tasks:
                task.cancel()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes the bytes of one connection, until one side ends it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        other = None
        try:
            if self.state is not State.CUT:
                answers, other = await asyncio.open_connection(
                    self.target.ip, self.target.port
                )
                await end_of_first(
                    self.pump(reader, other), self.pump(answers, writer)
                )
                other.close()
                writer.close()
        except (OSError, asyncio.CancelledError):
            # The other process is down, or the link was cut.
            writer.transport.abort()
            if other is not None:
                other.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes bytes one way until they end."""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(PART):
                await self.passing.wait()
                writer.write(part)
                await writer.drain()
            await self.passing.wait()


class Links:
    """All links of a run.

    Attributes:
      folder: of the tables of addresses.
      links: by the hosts that they lead from and to.
      interrupted: hosts some of whose links are not whole.
      opening: by host, the task that waits until its process listens.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        places: collections.abc.Collection[dialect.Place],
        port: int,
    ):
        self.folder = folder
        self.interrupted: set[ids.HostId] = set()
        self.opening: dict[ids.HostId, asyncio.Task] = {}
        self.links: dict[tuple[ids.HostId, ids.HostId], Link] = {}
        for number, source in enumerate(places):
            network, _, _ = source.ip.rpartition(".")
            ip = f"{network}.{FIRST_NUMBER + number}"
            for place, target in enumerate(places):
                if source is not target:
                    self.links[source.name, target.name] = Link(
                        options.Address(ip, FIRST_PORT + place),
                        options.Address(target.ip, port),
                    )

    def command(
        self, host: ids.HostId, command: collections.abc.Sequence[str]
    ) -> tuple[str, ...]:
        """Returns the command line that starts a process on these links."""
        entries = [
            [*address_of(link.target), *address_of(link.address)]
            for (source, _), link in self.links.items()
            if source == host
        ]
        path = self.folder / f"{host}.links"
        path.write_text(json.dumps(entries))
        python, *script = command
        return (python, str(SCRIPT), str(path), *script)

    def expect(self, host: ids.HostId) -> None:
        """Opens the links to a host once its new process listens."""
        self.close(host)
        self.opening[host] = asyncio.create_task(self.open(host))

    async def open(self, host: ids.HostId) -> None:
        """Opens the links to a host once its process listens."""
        found = self.links_to(host)
        while not await launcher.listens(found[0].target):
            await asyncio.sleep(POLL_SECONDS)
        for link in found:
            await link.open()

    def close(self, host: ids.HostId) -> None:
        """Refuses connections to a host whose process has ended."""
        opening = self.opening.pop(host, None)
        if opening is not None:
            opening.cancel()
        for link in self.links_to(host):
            link.close()

    def links_to(self, host: ids.HostId) -> list[Link]:
        """Returns the links that lead to a host."""
        return [
            link for (_, target), link in self.links.items() if target == host
        ]

    def turn(
        self,
        host: ids.HostId,
        others: collections.abc.Collection[ids.HostId],
        state: State,
    ) -> None:
        """Changes the links between a host and others, both ways."""
        for (source, target), link in self.links.items():
            if (source == host and target in others) or (
                target == host and source in others
            ):
                link.turn(state)

    async def end(self) -> None:
        """Ends all connections."""
        for host in list(self.opening):
            self.close(host)
        for link in self.links.values():
            link.close()
            link.turn(State.CUT)
        tasks = [task for link in self.links.values() for task in link.tasks]
        await asyncio.gather(*tasks, return_exceptions=True)


async def end_of_first(*ways: collections.abc.Coroutine) -> None:
    """Returns once one of several ways has ended; ends the others."""
    tasks = [asyncio.create_task(way) for way in ways]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def address_of(address: options.Address) -> tuple[str, int]:
    """Returns an address as sockets take it."""
    return address.ip, address.port
