"""Bodies of large requests, passed on while they are received.

The first bytes of a large body travel with the request as a whole small one does;
what follows them is read from the caller only as fast as it is passed on.  So the
memory of a node does not depend on the size of the bodies.
"""

import dataclasses
import typing

from mangobay import httpheaders, responsestream
from mangobay.generated import messages

PREFIX_BYTES = responsestream.WHOLE_BYTES
"""Bytes of a body that a request holds; a longer body continues behind them."""
PAUSE_BYTES = 64 * 1024
"""Unread bytes from which nothing more is read from the caller."""
MAX_REPLAY_BYTES = 512 * 1024
"""Most bytes of one body that are kept for another attempt.

More than a node sends to another one before that one takes any, so that a call
that is refused at once can be sent to another host.
"""
MAX_REPLAYS_BYTES = 16 * 1024 * 1024
"""Most bytes that are kept for other attempts, of all bodies of a process."""
LENGTH_HEADER = "Content-Length"

statistics = responsestream.Statistics()


@dataclasses.dataclass(slots=True)
class ReplayBudget:
    """Bounds the bytes that are kept for other attempts.

    Attributes:
      max_bytes: the bound.
      kept_bytes: bytes kept now.
    """

    max_bytes: int = MAX_REPLAYS_BYTES
    kept_bytes: int = 0

    def reserve(self, byte_count: int) -> bool:
        """Reserves room; returns whether there was enough."""
        if self.kept_bytes + byte_count > self.max_bytes:
            return False
        self.kept_bytes += byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Gives room back."""
        self.kept_bytes -= byte_count


class RequestBody(responsestream.Body):
    """What follows the first bytes of a large request.

    Attributes:
      budget: bounds what is kept for another attempt; None keeps nothing.
      replay: the bytes that were read, for another attempt; None once they are
        not kept any more.
      replay_bytes: number of these bytes.
    """

    __slots__ = ("budget", "replay", "replay_bytes")

    statistics = statistics

    def __init__(
        self,
        length: int | None,
        producer: responsestream.Producer,
        budget: ReplayBudget | None = None,
    ):
        super().__init__(length, producer)
        self.budget = budget
        self.replay: list[bytes] | None = None if budget is None else []
        self.replay_bytes = 0

    @property
    def is_cut_off(self) -> bool:
        """Whether it has ended before its end."""
        return self.state is responsestream.State.CUT_OFF

    @property
    def is_replayable(self) -> bool:
        """Whether another attempt can read it from its start."""
        return self.replay is not None and self.state in (
            responsestream.State.OPEN,
            responsestream.State.COMPLETE,
        )

    def take_chunk(self, max_bytes: int) -> bytes:
        """Removes and returns the first bytes, and keeps them if it may."""
        chunk = super().take_chunk(max_bytes)
        if self.replay is None:
            return chunk
        fits = self.replay_bytes + len(chunk) <= MAX_REPLAY_BYTES
        if fits and self.budget.reserve(len(chunk)):
            self.replay.append(chunk)
            self.replay_bytes += len(chunk)
        else:
            self.drop_replay()
        return chunk

    def drop_replay(self) -> None:
        """Keeps no bytes for another attempt from now on."""
        if self.replay is not None:
            self.budget.release(self.replay_bytes)
            self.replay = None
            self.replay_bytes = 0

    def rewind(self) -> None:
        """Lets the next read begin at the start; call only if replayable."""
        self.chunks.extendleft(
            bytearray(part) for part in reversed(self.replay)
        )
        self.unread_bytes += self.replay_bytes
        self.budget.release(self.replay_bytes)
        self.replay.clear()
        self.replay_bytes = 0
        self.hold()

    def discard(self, state: responsestream.State) -> None:
        """Drops the unread bytes, and counts the body in a state once."""
        super().discard(state)
        if state is not responsestream.State.COMPLETE:
            self.drop_replay()


class Source(typing.Protocol):
    """What an attempt reads the rest of its body from.

    Attributes:
      length: its size in bytes, None if it is not known.
      is_cut_off: whether it has ended before its end.
    """

    length: int | None
    is_cut_off: bool

    async def read(self, max_bytes: int) -> bytes:
        """Returns the next bytes; none at the end of a complete body.

        Raises:
          errors.ResponseCutOffError: the body ended before its end.
        """

    def abandon(self) -> None:
        """Told that the attempt wants no more bytes."""


class AttemptSource:
    """Reads a body for one attempt; the end of the attempt leaves the body open.

    Attributes:
      body: the body.
      length: its size in bytes, None if it is not known.
    """

    __slots__ = ("body", "length")

    def __init__(self, body: RequestBody):
        if body.is_replayable:
            body.rewind()
        self.body = body
        self.length = body.length

    @property
    def is_cut_off(self) -> bool:
        """Whether the body has ended before its end."""
        return self.body.is_cut_off

    async def read(self, max_bytes: int) -> bytes:
        """Returns the next bytes; none at the end of a complete body."""
        return await self.body.read(max_bytes)

    def abandon(self) -> None:
        """Leaves the body to the next attempt."""


class ContinuedCall(messages.Call):
    """A call whose body is longer than what the message holds.

    Attributes:
      rest: what follows.
    """

    __slots__ = ("rest",)
    rest: Source

    @classmethod
    def make(cls, call: messages.Call, rest: Source) -> "ContinuedCall":
        """Returns a call with the fields of another one and a body."""
        made = cls()
        for name in messages.Call.__slots__:
            setattr(made, name, getattr(call, name))
        made.continued = True
        made.rest = rest
        return made


def rest_of(call: messages.Call) -> Source | None:
    """Returns what follows the body in a call, None if that is whole."""
    return call.rest if type(call) is ContinuedCall else None


def encode_head(call: ContinuedCall) -> messages.Call:
    """Returns the message with which a call with a large body begins.

    The length is the last header: a field for it would have to be decoded
    from every call.
    """
    head = ContinuedCall.make(call, call.rest)
    if call.rest.length is not None:
        header = messages.Header(
            name=LENGTH_HEADER, value=str(call.rest.length)
        )
        head.headers = [*call.headers, header]
    return head


def decode_length(call: messages.Call) -> int | None:
    """Removes the length of the rest from the headers, and returns it."""
    value = httpheaders.find(call.headers[-1:], LENGTH_HEADER)
    if not value.isdecimal():
        return None
    call.headers.pop()
    return int(value)
