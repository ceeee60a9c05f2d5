"""Backend servers whose behaviour each request names in its path."""

import asyncio
import collections.abc
import dataclasses
import enum
import hashlib
import random
import time

from bench.soak import dialect, endless, history, wire
from mangobay import ids

BEAT_SECONDS = 1.0
SLOTS = 64
LARGE = 400_000
"""Bytes of a large answer: more than the buffers of a slow reader take."""
HUGE = 6_000_000
"""Bytes of an answer that the buffers of all processes on its way don't take."""
PIECE = 64 * 1024
"""Bytes of an answer that are written at once."""
POLL_SECONDS = 0.02
CRASHED_SECONDS = 1.0
"""Between the end of a server that crashed and its next start."""
LISTENING_SECONDS = 0.1
"""For which a listener outlives the connections."""
ANSWERED_SECONDS = 0.002
"""Between an answer and the end that follows it."""
LATE_SECONDS = 0.2
"""How long a second answer comes after the first."""


class Way(enum.Enum):
    """How a backend server answers."""

    PLAIN = "plain"
    FAIL = "fail"
    EARLY = "early"
    """Before it has read the body."""
    LENGTHLESS = "lengthless"
    """The answer ends with its connection."""
    SILENT = "silent"
    """Not at all."""
    REFUSE = "refuse"
    """Half of the time: not run."""
    LARGE = "large"
    HUGE = "huge"
    """Too large for all buffers: at work until most of it is read."""
    TRUNCATED = "truncated"
    TWICE = "twice"
    """A second answer comes late, when the next one may be expected."""
    CLOSING = "closing"
    RESET = "reset"
    """The connection is reset in the middle of the work."""
    CRASH = "crash"
    """The server ends; the number in the path only names the request."""
    CRASH_LATER = "crash-later"
    """Its connections are closed in order, its listener later."""
    CRASH_ANSWERED = "crash-answered"
    """It ends right after its answer."""
    CRASH_DARK = "crash-dark"
    """It falls silent and closes nothing."""
    CRASH_NODE = "crash-node"
    """The node beside it ends as well."""
    ENDLESS_CHUNKS = "endless-chunks"
    ENDLESS_LENGTH = "endless-length"
    ENDLESS_GZIP = "endless-gzip"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BYTES = "endless-bytes"


CRASHES = (
    Way.CRASH,
    Way.CRASH_LATER,
    Way.CRASH_ANSWERED,
    Way.CRASH_DARK,
    Way.CRASH_NODE,
)
ENDLESS = {
    Way.ENDLESS_CHUNKS: endless.Form.CHUNKS,
    Way.ENDLESS_LENGTH: endless.Form.LENGTH,
    Way.ENDLESS_GZIP: endless.Form.GZIP,
    Way.ENDLESS_HEAD: endless.Form.HEAD,
    Way.ENDLESS_BYTES: endless.Form.BYTES,
}
"""The form of the responses without end."""


EndNode = collections.abc.Callable[[], collections.abc.Awaitable[None]]


def path_of(way: Way, seconds: float) -> str:
    """Returns the path that asks for a behaviour."""
    return f"/{way.value}/{int(seconds * 1000)}"


def parse(line: str) -> tuple[Way, float]:
    """Returns the behaviour that a request line asks for, and its seconds."""
    _, way, milliseconds = line.split()[1].split("/")
    return Way(way), int(milliseconds) / 1000


def digest(data: bytes) -> str:
    """Returns a short name of some bytes."""
    return hashlib.blake2b(data, digest_size=6).hexdigest()


@dataclasses.dataclass(slots=True, eq=False)
class Incarnation:
    """One lifetime of a backend server.

    Attributes:
      instance: its name.
      born_ms: Unix milliseconds.
      sequence: of its last word about itself.
      draining: it leaves.
      limit: that it names in its responses, None for none.
      runs: requests that it has begun.
    """

    instance: ids.InstanceId
    born_ms: int
    sequence: int = 0
    draining: bool = False
    limit: history.RateLimit | None = None
    runs: int = 0


class Backend:
    """The backend server of one host; use as an asynchronous context.

    Attributes:
      place: its host.
      speech: how it speaks.
      seen: gets every arrival.
      current: its present lifetime.
      awake: not set while it does nothing.
      server: its listener; None between two lifetimes.
      crashing: the last crash, until the next start.
      closing: connections are closed in order, and new ones at once.
      end_node: ends the node beside it and starts it again; None if it cannot.
    """

    def __init__(
        self,
        place: dialect.Place,
        speech: dialect.Dialect,
        seen: history.History,
        seed: int,
    ):
        self.place = place
        self.speech = speech
        self.seen = seen
        self.lots = random.Random(f"backend {place.name} {seed}")
        self.lives = 0
        self.tasks: set[asyncio.Task] = set()
        self.awake = asyncio.Event()
        self.awake.set()
        self.server: asyncio.Server | None = None
        self.crashing: asyncio.Task | None = None
        self.closing = False
        self.end_node: EndNode | None = None
        self.ending_node: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Backend":
        """Listens and tells the node of itself."""
        self.beating = asyncio.create_task(self.beat())
        await self.open()
        return self

    async def __aexit__(self, *unused) -> None:
        """Ends it with all its connections."""
        self.beating.cancel()
        if self.crashing is not None:
            self.crashing.cancel()
        await self.close()

    async def open(self) -> None:
        """Begins a lifetime."""
        self.lives += 1
        name = f"i-{self.place.name}-{self.lives}"
        born = int(time.time() * 1000)
        self.current = Incarnation(ids.InstanceId(name), born)
        self.server = await asyncio.start_server(
            self.serve,
            self.place.ip,
            self.speech.ports.backend,
            limit=wire.LONGEST_HEAD,
        )

    async def close(self) -> None:
        """Ends a lifetime; what it works on is broken off."""
        server, self.server = self.server, None
        if server is not None:
            server.close()
        await self.sever()

    async def crash(self, way: Way) -> None:
        """Ends without a word, and begins another lifetime a little later."""
        former = self.current
        match way:
            case Way.CRASH_LATER:
                self.closing = True
                await self.sever()
                await asyncio.sleep(LISTENING_SECONDS)
            case Way.CRASH_ANSWERED:
                await asyncio.sleep(ANSWERED_SECONDS)
            case Way.CRASH_DARK:
                self.awake.clear()
                await asyncio.sleep(CRASHED_SECONDS)
            case Way.CRASH_NODE if self.end_node is not None:
                ending = asyncio.create_task(self.end_node())
                self.ending_node.add(ending)
                ending.add_done_callback(self.ending_node.discard)
        await self.close()
        self.closing = False
        if way is Way.CRASH_DARK:
            self.awake.set()
        await asyncio.sleep(CRASHED_SECONDS)
        if self.current is former:
            await self.open()

    async def sever(self) -> None:
        """Resets every connection; what it works on is broken off."""
        ending = list(self.tasks)
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    async def replace(self, seconds: float) -> None:
        """Leaves as planned, and begins another lifetime.

        Args:
          seconds: for which it still serves once a node knows that it leaves.
        """
        former = self.current
        former.draining = True
        for _ in range(5):
            if await self.tell() and self.current is former:
                self.seen.drains.append(
                    history.Drain(
                        host=self.place.name,
                        instance=former.instance,
                        acknowledged=asyncio.get_running_loop().time(),
                    )
                )
                break
            await asyncio.sleep(BEAT_SECONDS)
        await asyncio.sleep(seconds)
        if self.current is former:
            await self.close()
            await self.open()

    async def announce_limit(self, rate: float, seconds: float) -> None:
        """Names a limit in its responses for some seconds."""
        current = self.current
        now = asyncio.get_running_loop().time()
        limit = history.RateLimit(
            host=self.place.name,
            instance=current.instance,
            rate=rate,
            since=now,
            until=now + seconds,
        )
        self.seen.limits.append(limit)
        if current.limit is not None:
            current.limit.until = now
        current.limit = limit
        await asyncio.sleep(seconds)
        if current.limit is limit:
            current.limit = None

    def state_fields(self) -> dialect.Fields:
        """Returns the fields of a response that describe this server."""
        limit = self.current.limit
        rate = limit.rate if limit is not None else None
        return self.speech.state_fields(rate, self.current.draining)

    async def hang(self, seconds: float) -> None:
        """Does nothing for some seconds."""
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    async def beat(self) -> None:
        """Tells the node of itself until cancelled."""
        while True:
            await asyncio.sleep(BEAT_SECONDS * self.lots.uniform(0.5, 1.0))
            await self.awake.wait()
            await self.tell()

    async def tell(self, slots: int = SLOTS) -> bool:
        """Tells the node of itself; returns whether it was acknowledged.

        Args:
          slots: number of slots that it names.
        """
        if self.server is None:
            return False
        current = self.current
        current.sequence += 1
        said = dialect.Beat(
            instance=current.instance,
            address=f"{self.place.ip}:{self.speech.ports.backend}",
            born_ms=current.born_ms,
            sequence=current.sequence,
            service=self.place.service,
            data_centre=self.place.data_centre,
            slots=slots,
            draining=current.draining,
        )
        port = self.speech.ports.heartbeats
        data = self.speech.beat(said)
        status, _ = await wire.exchange(self.place.ip, port, data)
        return status == 200

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        if self.closing:
            writer.close()
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            wire.BrokenError,
            asyncio.CancelledError,
        ):
            # Its own end is handled like that of the connection.
            pass
        finally:
            self.tasks.discard(task)
            if task.cancelling() and not self.closing:
                writer.transport.abort()
            else:
                writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether another one may follow."""
        head = await wire.read_head(reader)
        at = asyncio.get_running_loop().time()
        await self.awake.wait()
        if head.first.startswith(f"GET {self.speech.health_path} "):
            self.answer_health_check(writer)
            return True
        told = self.speech.told(head.fields)
        current = self.current
        arrival = history.Arrival(
            attempt=told.attempt,
            host=self.place.name,
            instance=current.instance,
            service=self.place.service,
            line=head.first.rpartition(" ")[0],
            caller=told.caller,
            seconds=told.seconds,
            at=at,
        )
        way, seconds = parse(head.first)
        if told.instance not in ("", current.instance):
            await self.refuse(arrival, 421, reader, writer, head)
            return True
        if way is Way.REFUSE and self.lots.random() < 0.5:
            await self.refuse(arrival, 503, reader, writer, head)
            return True
        current.runs += 1
        arrival.signature = f"{current.instance}.{current.runs}"
        self.seen.arrivals.append(arrival)
        try:
            return await self.run(arrival, way, seconds, reader, writer, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.end(arrival, history.Outcome.DROPPED)
            raise
        except asyncio.CancelledError:
            self.end(arrival, history.Outcome.BROKEN)
            raise

    def end(self, arrival: history.Arrival, outcome: history.Outcome) -> None:
        """Records how an arrival ended."""
        if arrival.outcome is history.Outcome.RUNNING:
            arrival.outcome = outcome
            arrival.ended = asyncio.get_running_loop().time()

    def answer_health_check(self, writer: asyncio.StreamWriter) -> None:
        """Says whether this incarnation stays."""
        status = 503 if self.current.draining else 200
        writer.write(wire.encode(f"HTTP/1.1 {status} Health", {}, b""))

    async def refuse(self, arrival, status, reader, writer, head) -> None:
        """Says that a request was not run."""
        arrival.digest = digest(await wire.read_body(reader, head))
        arrival.status = status
        self.seen.arrivals.append(arrival)
        self.end(arrival, history.Outcome.REFUSED)
        fields = {
            **self.speech.refusal_fields(arrival.attempt),
            **self.state_fields(),
        }
        writer.write(wire.encode(f"HTTP/1.1 {status} Refused", fields, b""))

    async def run(self, arrival, way, seconds, reader, writer, head) -> bool:
        """Works on a request and answers it."""
        fields = self.speech.answer_fields(arrival.attempt, arrival.signature)
        if way is Way.EARLY:
            self.answer(arrival, 200, fields, b"early", writer)
            body = await wire.read_body(reader, head)
            arrival.digest = digest(body)
            return True
        arrival.digest = digest(await wire.read_body(reader, head))
        if way in CRASHES:
            if way is Way.CRASH_ANSWERED:
                self.answer(arrival, 500, fields, b"last", writer)
            return await self.start_crash(arrival, way)
        if way in ENDLESS:
            self.end(arrival, history.Outcome.BROKEN)
            message = endless.make_message(
                ENDLESS[way], "HTTP/1.1 200 Answer", fields
            )
            await endless.send(reader, writer, message)
            return False
        loop = asyncio.get_running_loop()
        due = arrival.at + arrival.seconds
        arrival.until = loop.time() + seconds
        if way is Way.SILENT:
            arrival.until = due
        if not await self.work(arrival, reader, min(arrival.until, due)):
            self.end(arrival, history.Outcome.DROPPED)
            return False
        if way is Way.SILENT or arrival.until > due:
            self.answer(arrival, 504, fields, b"late", writer)
            return True
        return await self.finish(arrival, way, fields, writer)

    async def start_crash(self, arrival: history.Arrival, way: Way) -> bool:
        """Lets the server end under a request."""
        self.end(arrival, history.Outcome.BROKEN)
        if self.crashing is None or self.crashing.done():
            crash = history.Crash(
                at=arrival.ended,
                entered=arrival.attempt,
                host=self.place.name,
                service=self.place.service,
                line=arrival.line,
            )
            self.seen.crashes.append(crash)
            self.crashing = asyncio.create_task(self.crash(way))
        if way in (Way.CRASH_ANSWERED, Way.CRASH_DARK):
            await asyncio.Event().wait()
        return False

    async def work(
        self,
        arrival: history.Arrival,
        reader: asyncio.StreamReader,
        until: float,
    ) -> bool:
        """Works until a time; returns False once the connection has ended.

        A node sends nothing behind a request before its answer has come.
        """
        loop = asyncio.get_running_loop()
        # Before its first look it may have hung as well.
        hung = True
        while loop.time() < until or not self.awake.is_set():
            hung = hung or not self.awake.is_set()
            await self.awake.wait()
            if has_ended(reader):
                if hung:
                    # It could not notice before that nobody waits.
                    arrival.until = arrival.at
                return False
            hung = False
            left = max(until - loop.time(), 0)
            await asyncio.sleep(min(POLL_SECONDS, left))
        return True

    async def finish(self, arrival, way, fields, writer) -> bool:
        """Answers a request that was worked on to its end."""
        body = f"{arrival.attempt} by {arrival.signature}".encode()
        match way:
            case Way.FAIL:
                self.answer(arrival, 500, fields, body, writer)
            case Way.LARGE:
                body = (body + b".") * (LARGE // len(body))
                self.answer(arrival, 200, fields, body, writer)
                await writer.drain()
            case Way.HUGE:
                body = (body + b".") * (HUGE // len(body))
                told = {**fields, **self.state_fields()}
                data = wire.encode("HTTP/1.1 200 Answer", told, body)
                for place in range(0, len(data), PIECE):
                    writer.write(data[place : place + PIECE])
                    await writer.drain()
                self.record(arrival, 200, body)
            case Way.LENGTHLESS:
                self.answer(arrival, 200, fields, body, writer, False)
                return False
            case Way.TRUNCATED:
                self.end(arrival, history.Outcome.BROKEN)
                data = wire.encode("HTTP/1.1 200 OK", fields, body)
                writer.write(data[:-5])
                return False
            case Way.RESET:
                self.end(arrival, history.Outcome.BROKEN)
                writer.transport.abort()
                return False
            case Way.TWICE:
                data = self.answer(arrival, 200, fields, body, writer)
                await asyncio.sleep(LATE_SECONDS)
                writer.write(data)
            case Way.CLOSING:
                fields = {**fields, "Connection": "close"}
                self.answer(arrival, 200, fields, body, writer)
                return False
            case _:
                self.answer(arrival, 200, fields, body, writer)
        return True

    def record(
        self, arrival: history.Arrival, status: int, body: bytes
    ) -> None:
        """Records an answer."""
        arrival.status = status
        arrival.answer = digest(body)
        self.end(arrival, history.Outcome.ANSWERED)

    def answer(
        self,
        arrival: history.Arrival,
        status: int,
        fields: dialect.Fields,
        body: bytes,
        writer: asyncio.StreamWriter,
        length: bool = True,
    ) -> bytes:
        """Writes and records an answer; returns its bytes."""
        self.record(arrival, status, body)
        fields = {**fields, **self.state_fields()}
        data = wire.encode(
            f"HTTP/1.1 {status} Answer", fields, body if length else None
        )
        data += b"" if length else body
        writer.write(data)
        return data


def has_ended(reader: asyncio.StreamReader) -> bool:
    """Returns whether a connection has ended."""
    return reader.at_eof() or reader.exception() is not None
