"""Callers that use their connections until the node is gone."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import itertools
import math
import random
import socket
import typing

from bench.soak import backends, dialect, history, wire, world
from mangobay import ids

PATIENCE = 1.5
"""Seconds behind its deadline after which a caller gives up."""
RETRY_SECONDS = 0.1
"""Between two tries to connect."""
SMALL_BUFFER = 16 * 1024
"""Receive buffer of a slow reader: most of an answer stays with the node."""
READ_PAUSE = 0.05
BODY = 1, 2000
PIECES = 8
TIMEOUTS = {True: 3.0, False: 4.0}
"""Of the routes, by whether their requests may be repeated."""


class Manner(enum.Enum):
    """How a caller behaves."""

    KEPT = "kept"
    PIPELINED = "pipelined"
    IDLE = "idle"
    """Sends again after long pauses."""
    SLOW_SENDER = "slow sender"
    SLOW_READER = "slow reader"
    LEAVING = "leaving midway"
    LARGE = "large bodies"
    FRESH = "a connection for each request"
    STALLING = "stalls in a request behind another"
    HALF_CLOSED = "closes its sending side behind its request"
    LATE_BODY = "sends bodies over seconds"


BODIES = {Manner.LARGE: (1, 2_000_000), Manner.LATE_BODY: (100_000, 400_000)}
"""Bytes of the bodies that every request of a manner has."""
PIECE_PAUSES = {Manner.SLOW_SENDER: (0.02, 0.3), Manner.LATE_BODY: (0.06, 0.4)}
"""Seconds between the parts of a request."""
LEAVING_SHARES = {Manner.LEAVING: 0.7, Manner.HALF_CLOSED: 0.2}
PAUSES = {Manner.IDLE: (2.5, 7.0)}
USUAL_PAUSE = (0.05, 0.4)
WAYS = {
    backends.Way.PLAIN: 12,
    backends.Way.FAIL: 1,
    backends.Way.EARLY: 2,
    backends.Way.LENGTHLESS: 1,
    backends.Way.SILENT: 0.3,
    backends.Way.REFUSE: 1,
    backends.Way.LARGE: 2,
    backends.Way.TRUNCATED: 0.3,
    backends.Way.TWICE: 0.5,
    backends.Way.CLOSING: 1,
    backends.Way.RESET: 0.3,
}
WORK_SECONDS = (0.01, 0.02, 0.1, 0.5, 1.5, 3.0)
DEADLINES = (1.0, 2.0, 4.0, 8.0)
LONG_WORK = 3.8
LATE_WORK = 1.5
"""Longest work behind a body that took seconds, within the route's timeout."""
REPEATABLE_SHARE = 0.4
CHUNKED_SHARE = 0.3
"""Of the requests with a body, those that do not tell its length."""


class Wish(typing.NamedTuple):
    """What a request asks for; times in seconds.

    Without a service, any one is called.
    """

    way: backends.Way
    work: float
    repeatable: bool
    seconds: float
    service: ids.ServiceName = ids.ServiceName("")


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection of a caller.

    Attributes:
      number: unlike that of any other connection.
      reader: of its bytes.
      writer: to it.
      waiting: requests without an answer, oldest first.
      closed: nothing more is sent on it.
      stalled: the rest of a request is due on it.
      reading: the task that takes the answers.
    """

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    waiting: collections.deque[history.Request] = dataclasses.field(
        default_factory=collections.deque
    )
    closed: bool = False
    stalled: bool = False
    reading: asyncio.Task | None = None


class Caller:
    """One caller of one node.

    Attributes:
      place: host of the node.
      manner: how it behaves.
      speech: how it speaks.
      seen: gets every request.
      numbers: numbers of connections.
      lots: drawn from the seed.
    """

    def __init__(
        self,
        place: dialect.Place,
        manner: Manner,
        speech: dialect.Dialect,
        seen: history.History,
        seed: int,
        numbers: collections.abc.Iterator[int],
    ):
        self.place = place
        self.manner = manner
        self.speech = speech
        self.seen = seen
        self.numbers = numbers
        self.lots = random.Random(f"{place.name} {manner.value} {seed}")
        self.count = itertools.count(1)
        self.connection: Connection | None = None

    async def run(self) -> None:
        """Sends requests until cancelled."""
        pause = PAUSES.get(self.manner, USUAL_PAUSE)
        try:
            while True:
                await self.turn()
                await asyncio.sleep(self.lots.uniform(*pause))
        finally:
            self.drop(history.End.LEFT)

    async def turn(self) -> None:
        """Sends one request, or several behind each other."""
        connection = await self.connect()
        if connection is None:
            await asyncio.sleep(RETRY_SECONDS)
            return
        count = 1
        if self.manner is Manner.PIPELINED:
            count = self.lots.randint(2, 5)
        sent = []
        for _ in range(count):
            if connection.closed:
                break
            sent.append(await self.send(connection))
        if self.manner is Manner.HALF_CLOSED:
            close_sending_side(connection, sent)
        leaving = LEAVING_SHARES.get(self.manner)
        if leaving is not None and self.lots.random() < leaving:
            await asyncio.sleep(self.lots.uniform(0.0, 0.6))
            self.drop(history.End.LEFT)
        if self.manner is Manner.STALLING and not connection.closed:
            self.send_half(connection)
        for request in sent:
            await self.wait(connection, request)
        if self.manner in (Manner.FRESH, Manner.HALF_CLOSED):
            self.drop(history.End.LEFT)

    async def connect(self) -> Connection | None:
        """Returns the open connection or a new one, None if there is none."""
        found = self.connection
        if found is not None and not found.closed:
            return None if found.stalled else found
        self.drop(history.End.LEFT)
        slow = self.manner is Manner.SLOW_READER
        try:
            reader, writer = await asyncio.open_connection(
                sock=await self.open_socket(slow), limit=wire.LONGEST_HEAD
            )
        except (OSError, TimeoutError):
            return None
        made = Connection(next(self.numbers), reader, writer)
        made.reading = asyncio.create_task(self.read(made, slow))
        self.connection = made
        return made

    async def open_socket(self, slow: bool) -> socket.socket:
        """Returns a connected socket.

        Raises:
          OSError: the node does not listen.
          TimeoutError: it does not answer.
        """
        made = socket.socket()
        try:
            made.setblocking(False)
            if slow:
                made.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER
                )
            address = (self.place.ip, self.speech.ports.outside)
            async with asyncio.timeout(1.0):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(made, address)
        except BaseException:
            made.close()
            raise
        return made

    def choose(self) -> Wish:
        """Returns what the next request asks for."""
        lots = self.lots
        way = lots.choices(list(WAYS), list(WAYS.values()))[0]
        repeatable = lots.random() < REPEATABLE_SHARE
        work, seconds = lots.choice(WORK_SECONDS), lots.choice(DEADLINES)
        if self.manner is Manner.SLOW_READER:
            way = backends.Way.LARGE
        if self.manner is Manner.STALLING:
            # At work still when the time for what is behind it is over.
            way, repeatable = backends.Way.PLAIN, False
            work, seconds = LONG_WORK, max(DEADLINES)
        if self.manner is Manner.LATE_BODY:
            way = backends.Way.PLAIN
            work, seconds = min(work, LATE_WORK), max(DEADLINES)
        return Wish(way, work, repeatable, seconds)

    def draw(self, connection: Connection) -> tuple[history.Request, bytes]:
        """Returns the next request and its bytes."""
        lots = self.lots
        wish = self.choose()
        repeatable, seconds = wish.repeatable, wish.seconds
        service = wish.service or lots.choice(world.SERVICES)
        path = backends.path_of(wish.way, wish.work)
        body = b""
        if not repeatable or self.manner in BODIES:
            sizes = BODIES.get(self.manner, BODY)
            body = lots.randbytes(lots.randint(*sizes))
        attempt = self.make_attempt()
        line = f"{'POST' if body else 'GET'} {path}"
        request = history.Request(
            attempt=attempt,
            host=self.place.name,
            service=service,
            manner=self.manner.value,
            repeatable=repeatable,
            line=line,
            digest=backends.digest(body),
            seconds=seconds,
            timeout=TIMEOUTS[repeatable],
            connection=connection.number,
            behind=bool(connection.waiting),
            began=asyncio.get_running_loop().time(),
        )
        fields = {
            "Host": hostname(service, repeatable),
            **self.speech.request_fields(attempt, seconds),
        }
        encode = wire.encode
        if body and lots.random() < CHUNKED_SHARE:
            encode = wire.encode_in_chunks
        return request, encode(f"{line} HTTP/1.1", fields, body)

    def make_attempt(self) -> ids.AttemptId:
        """Returns an id that no other request has."""
        return ids.AttemptId(
            f"{self.place.name}-{self.manner.name.lower()}-{next(self.count)}"
        )

    async def send(self, connection: Connection) -> history.Request:
        """Sends the next request."""
        request, data = self.draw(connection)
        self.seen.requests.append(request)
        connection.waiting.append(request)
        pieces = [data]
        pause = 0.0
        if self.manner in PIECE_PAUSES:
            size = len(data) // PIECES + 1
            places = range(0, len(data), size)
            pieces = [data[place : place + size] for place in places]
            pause = self.lots.uniform(*PIECE_PAUSES[self.manner])
        try:
            for piece in pieces:
                if connection.closed:
                    return request
                connection.writer.write(piece)
                await connection.writer.drain()
                if pause:
                    await asyncio.sleep(pause)
            # What the kernel has not taken yet was not sent.
            while connection.writer.transport.get_write_buffer_size():
                await asyncio.sleep(wire.POLL_SECONDS)
        except ConnectionError:
            return request
        if not connection.closed:
            request.sent = asyncio.get_running_loop().time()
        return request

    def send_half(self, connection: Connection) -> None:
        """Sends the first half of a request, whose rest never comes."""
        request, data = self.draw(connection)
        self.seen.requests.append(request)
        connection.waiting.append(request)
        connection.writer.write(data[: len(data) // 2])
        connection.stalled = True

    async def wait(
        self, connection: Connection, request: history.Request
    ) -> None:
        """Returns once a request has ended; gives up when it is too late."""
        loop = asyncio.get_running_loop()
        patience = loop.time() + request.seconds + PATIENCE
        while request.end is history.End.OPEN:
            if loop.time() > patience:
                if connection is self.connection:
                    self.drop(history.End.SILENT)
                return
            await asyncio.sleep(wire.POLL_SECONDS)

    def drop(self, end: history.End) -> None:
        """Closes the connection; what waits on it ends so."""
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if connection.reading is not None:
            connection.reading.cancel()
        close(connection, end)
        transport = connection.writer.transport
        # asyncio fails to abort a closed transport that has written its rest.
        if not transport.is_closing() or transport.get_write_buffer_size():
            transport.abort()

    async def read(self, connection: Connection, slow: bool) -> None:
        """Takes answers until the connection ends."""
        reader = connection.reader
        try:
            while not connection.closed:
                head = await wire.read_head(reader)
                if not connection.waiting:
                    self.stray(connection, head.first)
                    break
                pause = READ_PAUSE if slow else 0.0
                body = await wire.read_body(reader, head, pause)
                self.take(connection, head, body)
                if head.closes:
                    break
        except asyncio.IncompleteReadError as error:
            if error.partial and not connection.waiting:
                self.stray(connection, repr(error.partial[:80]))
        except wire.BrokenError as error:
            self.stray(connection, str(error))
        except (ConnectionError, ValueError):
            pass
        close(connection, history.End.CUT)
        connection.writer.close()

    def take(
        self, connection: Connection, head: wire.Head, body: bytes
    ) -> None:
        """Records the answer to the oldest request of a connection."""
        if head.status < 200:
            return
        request = connection.waiting.popleft()
        request.ended = asyncio.get_running_loop().time()
        request.end = history.End.ANSWERED
        request.status = head.status
        request.signature = self.speech.signature(head.fields)
        request.named = self.speech.attempt(head.fields)
        request.answer = backends.digest(body)

    def stray(self, connection: Connection, data: str) -> None:
        """Records bytes that belong to no request."""
        now = asyncio.get_running_loop().time()
        self.seen.strays.append(
            history.Stray(
                at=now,
                host=self.place.name,
                connection=connection.number,
                data=data,
            )
        )


class Repeater(Caller):
    """A caller that sends one request of a series of equal ones.

    Attributes:
      wish: what the request asks for.
      name: unlike that of any other request.
    """

    def __init__(
        self,
        wish: Wish,
        name: str,
        place: dialect.Place,
        speech: dialect.Dialect,
        seen: history.History,
        numbers: collections.abc.Iterator[int],
    ):
        super().__init__(place, Manner.FRESH, speech, seen, 0, numbers)
        self.wish = wish
        self.name = name

    def choose(self) -> Wish:
        """Returns what the request asks for."""
        return self.wish

    def make_attempt(self) -> ids.AttemptId:
        """Returns an id that no other request has."""
        return ids.AttemptId(f"{self.place.name}-repeat-{self.name}")


def close_sending_side(
    connection: Connection, sent: list[history.Request]
) -> None:
    """Closes the sending side of a connection behind whole requests."""
    whole = all(not math.isinf(request.sent) for request in sent)
    if whole and not connection.closed:
        # A connection that was reset has no sending side left.
        with contextlib.suppress(OSError):
            connection.writer.write_eof()


def close(connection: Connection, end: history.End) -> None:
    """Ends what waits on a connection."""
    connection.closed = True
    now = asyncio.get_running_loop().time()
    while connection.waiting:
        request = connection.waiting.popleft()
        request.end = end
        request.ended = now


def hostname(service: ids.ServiceName, repeatable: bool) -> str:
    """Returns the host name of the route for a kind of request."""
    return f"{'any' if repeatable else 'once'}.{service}.example"
