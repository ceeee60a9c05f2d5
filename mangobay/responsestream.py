"""Bodies of large responses, passed on in parts with bounded memory.

A `Body` connects the part of a process that receives a response (the client of
the backend server, or a connection to another node) with the one that sends it
on (the caller's connection, or a connection to another node).
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import typing
import weakref

from mangobay import errors, receivedbytes
from mangobay.generated import messages

WHOLE_BYTES = 64 * 1024
"""Largest body that is passed on whole, in bytes."""
PART_BYTES = 32 * 1024
"""Largest part of a body, in bytes.

Replies of other calls wait behind a part on the same connection.
"""
STALL_SECONDS = 60.0
"""Default time in seconds in which a caller has to read some of its response."""


class State(enum.Enum):
    """How far a body has got.

    Attributes:
      OPEN: more bytes may come.
      COMPLETE: all bytes have come.
      CUT_OFF: it ended before its end.
      ABANDONED: its consumer no longer wants it.
    """

    OPEN = "open"
    COMPLETE = "complete"
    CUT_OFF = "cut_off"
    ABANDONED = "abandoned"


class Producer(typing.Protocol):
    """Where the bytes of a body come from."""

    def consumed(self, byte_count: int) -> None:
        """Told that the consumer has taken bytes."""

    def abandoned(self) -> None:
        """Told that no more bytes are wanted."""


@dataclasses.dataclass(slots=True)
class Statistics:
    """What became of the bodies of this process.

    Attributes:
      open_bodies: bodies that have not ended, or are not read to their end.
      end_counts: number of bodies by the state in which they ended.
    """

    open_bodies: "weakref.WeakSet[Body]" = dataclasses.field(
        default_factory=weakref.WeakSet
    )
    end_counts: collections.Counter[State] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def unread_bytes(self) -> int:
        """Bytes received and not yet passed on."""
        return sum(body.unread_bytes for body in self.open_bodies)


statistics = Statistics()


class Body:
    """The body of one large response on its way through this process.

    Attributes:
      statistics: counts the bodies of this kind.
      length: its size in bytes, None if the response does not tell.
      producer: where its bytes come from.
      state: how far it has got.
      cut_off_reason: why it was cut off, empty if it was not.
      received_bytes: bytes received so far.
      unread_bytes: bytes received and not yet read.
      chunks: those bytes, in parts of at most PART_BYTES.
      waiter: future of a read that waits for bytes.
      end_callbacks: called once no more bytes come.
    """

    __slots__ = (
        "__weakref__",
        "chunks",
        "cut_off_reason",
        "end_callbacks",
        "length",
        "producer",
        "received_bytes",
        "state",
        "unread_bytes",
        "waiter",
    )

    cut_last = False
    statistics = statistics

    def __init__(self, length: int | None, producer: Producer):
        self.length = length
        self.producer = producer
        self.state = State.OPEN
        self.cut_off_reason = ""
        self.received_bytes = 0
        self.unread_bytes = 0
        self.chunks: collections.deque[bytearray] = collections.deque()
        self.waiter: asyncio.Future | None = None
        self.end_callbacks: list[collections.abc.Callable[[], object]] = []
        self.statistics.open_bodies.add(self)

    def add_end_callback(
        self, callback: collections.abc.Callable[[], object]
    ) -> None:
        """Calls the callback once no more bytes come, at once if so now."""
        if self.state is State.OPEN:
            self.end_callbacks.append(callback)
        else:
            callback()

    def feed(self, data: bytes) -> None:
        """Adds received bytes; cuts the body off if they exceed its length."""
        if self.state is not State.OPEN or not data:
            return
        self.received_bytes += len(data)
        if self.length is not None and self.received_bytes > self.length:
            self.cut_off("more bytes than the length of the response")
            self.producer.abandoned()
            return
        self.unread_bytes += len(data)
        self.append(data)
        self.hold()
        self.wake()

    def hold(self) -> None:
        """Updates the account of received bytes, which may cut the body off."""
        receivedbytes.account.hold(self, self.unread_bytes)

    def drop_received(self) -> None:
        """Cuts the body off, even if only its consumer is late."""
        reason = "too many received bytes are held"
        match self.state:
            case State.OPEN:
                self.cut_off(reason)
                self.producer.abandoned()
            case State.COMPLETE:
                self.cut_off_reason = reason
                self.state = State.CUT_OFF
                self.discard(State.CUT_OFF)

    def append(self, data: bytes) -> None:
        """Adds bytes to the chunks.

        One large chunk would stay in memory until its last byte is read, and
        each of many small ones takes more memory than its bytes.
        """
        start = 0
        if self.chunks:
            start = PART_BYTES - len(self.chunks[-1])
            self.chunks[-1] += data[:start]
        for begin in range(start, len(data), PART_BYTES):
            self.chunks.append(bytearray(data[begin : begin + PART_BYTES]))

    def finish(self) -> None:
        """Ends the body; it is complete if its length matches."""
        if self.length is not None and self.received_bytes != self.length:
            self.cut_off("fewer bytes than the length of the response")
        else:
            self.end(State.COMPLETE)

    def cut_off(self, reason: str) -> None:
        """Ends the body before its end, and drops what is not read."""
        if self.state is not State.OPEN:
            return
        self.cut_off_reason = reason
        self.discard(State.CUT_OFF)
        self.end(State.CUT_OFF)

    def abandon(self) -> None:
        """Releases the body; the consumer wants no more of it."""
        was_open = self.state is State.OPEN
        self.discard(State.ABANDONED)
        self.end(State.ABANDONED)
        if was_open:
            self.producer.abandoned()

    def end(self, state: State) -> None:
        """Enters a final state and calls the callbacks."""
        if self.state is not State.OPEN:
            return
        self.state = state
        callbacks, self.end_callbacks = self.end_callbacks, []
        for callback in callbacks:
            callback()
        self.wake()

    def discard(self, state: State) -> None:
        """Drops the unread bytes, and counts the body in a state once."""
        self.chunks.clear()
        self.unread_bytes = 0
        receivedbytes.account.release(self)
        if self in self.statistics.open_bodies:
            self.statistics.open_bodies.discard(self)
            self.statistics.end_counts[state] += 1

    def wake(self) -> None:
        """Resumes a read that waits."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self, max_bytes: int) -> bytes:
        """Returns the next bytes; none at the end of a complete body.

        Raises:
          errors.ResponseCutOffError: the body ended before its end.
        """
        while not self.chunks and self.state is State.OPEN:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if not self.chunks:
            if self.state is not State.COMPLETE:
                raise errors.ResponseCutOffError("the response was cut off")
            self.discard(State.COMPLETE)
            return b""
        chunk = self.take_chunk(max_bytes)
        self.unread_bytes -= len(chunk)
        self.hold()
        if self.state is State.OPEN:
            self.producer.consumed(len(chunk))
        return chunk

    def take_chunk(self, max_bytes: int) -> bytes:
        """Removes and returns the first bytes."""
        first = self.chunks[0]
        if len(first) <= max_bytes:
            return bytes(self.chunks.popleft())
        chunk = bytes(first[:max_bytes])
        del first[:max_bytes]
        return chunk


class StreamedReply(messages.Reply):
    """A reply whose body has not been received completely.

    Attributes:
      source: the body.
    """

    __slots__ = ("source",)
    source: Body

    @classmethod
    def make(cls, reply: messages.Reply, source: Body) -> "StreamedReply":
        """Returns a reply with the fields of another one and a body."""
        made = cls()
        for name in messages.Reply.__slots__:
            setattr(made, name, getattr(reply, name))
        made.streamed = True
        made.source = source
        return made


def body_of(reply: messages.Reply) -> Body | None:
    """Returns the body of a streamed reply, None for a whole one."""
    return reply.source if reply.streamed else None


def size_of(reply: messages.Reply) -> int:
    """Returns the size of a reply's body in bytes, 0 if it is not known."""
    if reply.streamed:
        return reply.source.length or 0
    return len(reply.body)


class WriteGate:
    """Lets senders wait while the write buffer of a connection is full.

    Attributes:
      closed: whether the buffer is full.
      waiters: futures of the senders that wait.
    """

    __slots__ = ("closed", "waiters")

    def __init__(self):
        self.closed = False
        self.waiters: list[asyncio.Future] = []

    def close(self) -> None:
        """Records that the buffer is full."""
        self.closed = True

    def open(self) -> None:
        """Records that the buffer has room; resumes the senders in order."""
        self.closed = False
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Returns once the buffer has room."""
        while self.closed:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            await waiter
