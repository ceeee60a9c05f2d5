"""Crowds of callers that open connections while a node stops."""

import asyncio
import collections.abc
import dataclasses
import errno
import itertools
import random
import socket

from bench.soak import (
    backends,
    bounds,
    callers,
    dialect,
    faults,
    history,
    wire,
    world,
)

HOLDERS = 6
HOLDERS_AT = 2.1
"""Seconds after SIGTERM at which holders begin to send."""
HOLDER_GAP = 0.1
"""Seconds between two of them; all are to be served still."""
HELD_SECONDS = 3.0
"""Deadline of holders: when the node may cut work, theirs is not over."""
LATE_SENDERS = 8
LATE_SENDERS_AT = 0.5
"""Seconds after SIGTERM at which senders of late bodies begin."""
LATE_SENDER_GAP = 0.28
"""Seconds between two of them; all begin while requests are accepted."""
LATE_SENDER_SECONDS = 8.0
"""Deadline of senders of late bodies: the end of the node comes before it."""
CALM_GAP = 0.5
"""Seconds between two bursts long before the node may cut work."""
DENSE_GAPS = 0.002, 0.01
DENSE_SECONDS = 0.3
"""Before that time, from which on bursts are dense."""
BURSTS = 10, 40
"""Connections of a burst."""
SEND_PAUSES = 0.0, 0.0, 0.001, 0.003, 0.006
"""Seconds between the connect and the request."""
MOST_OPEN = 150
"""Connections of a crowd at any time."""
SHORT = callers.Wish(backends.Way.PLAIN, 0.0, True, 3.0)


class Member(callers.Repeater):
    """A caller with one request on a connection of its own.

    Members do without streams: a whole burst is to connect within a few
    iterations of the node's event loop.

    Attributes:
      sock: its socket; None before it is connected.
      received: bytes of the answer so far.
      open: members with a connection.
    """

    sock: socket.socket | None = None
    received = b""
    open: set["Member"]

    def start(self, pause: float) -> None:
        """Connects, and sends the request after a pause; unless refused."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        address = (self.place.ip, self.speech.ports.outside)
        if self.sock.connect_ex(address) not in (0, errno.EINPROGRESS):
            self.sock.close()
            return
        self.open.add(self)
        if pause:
            asyncio.get_running_loop().call_later(pause, self.shoot)
        else:
            self.shoot()

    def shoot(self) -> None:
        """Sends the request and waits for the answer."""
        loop = asyncio.get_running_loop()
        if self not in self.open:
            return
        self.connection = callers.Connection(next(self.numbers), None, None)
        request, data = self.draw(self.connection)
        head, blank, rest = data.partition(b"\r\n\r\n")
        data = head + b"\r\nConnection: close" + blank + rest
        try:
            self.sock.sendall(data)
        except OSError:
            self.finish()
            return
        request.sent = loop.time()
        self.seen.requests.append(request)
        self.connection.waiting.append(request)
        loop.add_reader(self.sock, self.receive)

    def receive(self) -> None:
        """Takes bytes of the answer; it ends with the connection."""
        try:
            data = self.sock.recv(wire.LONGEST_HEAD)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.received += data
        if not data:
            self.finish()

    def give_up(self) -> None:
        """Ends the request without an answer."""
        if self.connection is not None:
            callers.close(self.connection, history.End.SILENT)
        self.finish()

    def finish(self) -> None:
        """Records how the request ended, and closes the connection."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
        self.open.discard(self)
        if self.connection is None:
            return
        head, _, body = self.received.partition(b"\r\n\r\n")
        if self.connection.waiting and body_is_whole(head, body):
            self.take(self.connection, wire.parse_head(head), body)
        callers.close(self.connection, history.End.CUT)


def body_is_whole(head: bytes, body: bytes) -> bool:
    """Returns whether a body has the length that its head tells."""
    if not head.startswith(b"HTTP/1.1 "):
        return False
    fields = wire.parse_head(head).fields
    return len(body) == int(fields.get("content-length", -1))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crowd:
    """All callers of one rush.

    Attributes:
      fault: the rush.
      place: host of the node.
      speech: how they speak.
      seen: gets every request.
      numbers: numbers of connections.
    """

    fault: faults.Rush
    place: dialect.Place
    speech: dialect.Dialect
    seen: history.History
    numbers: collections.abc.Iterator[int]

    async def run(self, stopping: collections.abc.Container) -> None:
        """Calls a node from its SIGTERM until it has ended."""
        loop = asyncio.get_running_loop()
        lots = random.Random(f"crowd {self.fault.mark}")
        began = loop.time()
        target = bounds.TARGET
        dense_at = target.grace * (1 - target.closing_share) - DENSE_SECONDS
        names = itertools.count()
        members: set[Member] = set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.hold(stopping))
            group.create_task(self.send_late(stopping))
            while self.place.name in stopping:
                passed = loop.time() - began
                if passed > target.grace:
                    break
                for _ in range(lots.randint(*BURSTS)):
                    if len(members) < MOST_OPEN:
                        member = self.member(SHORT, next(names))
                        member.open = members
                        member.start(lots.choice(SEND_PAUSES))
                gap = min(CALM_GAP, dense_at - passed)
                await asyncio.sleep(max(gap, lots.uniform(*DENSE_GAPS)))
            await self.wait_for(members)

    async def wait_for(self, members: set[Member]) -> None:
        """Returns once all members have their answers; drops late ones."""
        loop = asyncio.get_running_loop()
        patience = loop.time() + SHORT.seconds + callers.PATIENCE
        while members and loop.time() < patience:
            await asyncio.sleep(wire.POLL_SECONDS)
        for member in list(members):
            member.give_up()

    async def hold(self, stopping: collections.abc.Container) -> None:
        """Reads answers that are too large for the buffers too slowly."""
        await asyncio.sleep(HOLDERS_AT)
        if self.place.name not in stopping:
            return
        async with asyncio.TaskGroup() as group:
            for number in range(HOLDERS):
                service = world.SERVICES[number % len(world.SERVICES)]
                wish = callers.Wish(
                    backends.Way.HUGE, 0.0, True, HELD_SECONDS, service
                )
                holder = self.member(wish, f"held-{number}")
                holder.manner = callers.Manner.SLOW_READER
                group.create_task(holder.turn())
                await asyncio.sleep(HOLDER_GAP)

    async def send_late(self, stopping: collections.abc.Container) -> None:
        """Sends bodies whose last bytes come while the node stops."""
        await asyncio.sleep(LATE_SENDERS_AT)
        async with asyncio.TaskGroup() as group:
            for number in range(LATE_SENDERS):
                if self.place.name not in stopping:
                    return
                service = world.SERVICES[number % len(world.SERVICES)]
                wish = callers.Wish(
                    backends.Way.PLAIN,
                    callers.LATE_WORK,
                    False,
                    LATE_SENDER_SECONDS,
                    service,
                )
                sender = self.member(wish, f"late-{number}")
                sender.manner = callers.Manner.LATE_BODY
                sender.lots = random.Random(f"late {self.fault.mark} {number}")
                group.create_task(sender.turn())
                await asyncio.sleep(LATE_SENDER_GAP)

    def member(self, wish: callers.Wish, name: object) -> Member:
        """Returns a caller with one request."""
        return Member(
            wish,
            f"rush-{self.fault.mark}-{name}",
            self.place,
            self.speech,
            self.seen,
            self.numbers,
        )
