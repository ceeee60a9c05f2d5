"""One connection to another process, carrying many streams."""

import asyncio
import collections.abc
import dataclasses

from mangobay import eager, errors, logs, rounds, sockets, tls, wire
from mangobay.generated import messages

PROTOCOL = 2
"""Spoken version; another one is refused at the Hello."""
CONNECT_SECONDS = 0.3
"""A first packet that is lost, or sent to a host that is just starting, is sent
again by the kernel after a second only; a new connection asks sooner.  Above the
two round trips of a connection and its Hello between far regions (0.22 s)."""
PING_AFTER = 0.3
"""Seconds without a byte, while answers are awaited, until a Ping is sent; far
above a round trip between data centres."""
SILENT_AFTER = 1.0
"""Seconds without a byte after which nothing new is sent here.  A host that is
merely slow answers a Ping in between: its loop turns several times a second
even at a sixth of its speed."""
SILENT = "the peer does not answer"
PING_STREAM = 0
"""Requests have higher ones."""

Handler = collections.abc.Callable[
    [messages.Hello, messages.EnvelopeBody],
    collections.abc.Awaitable[messages.EnvelopeBody],
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on what a peer may use.

    Attributes:
      frame_bytes: longest frame that is taken or sent.
      connections: most connections taken by a listener.
      frame_seconds: time a peer has to send its Hello, and to end a frame
        that it began.
      connect_seconds: longest wait for a connection and its Hello.
      backlog_bytes: written but not taken by the peer; above it requests
        are refused unsent.
      streams: most requests of one connection that are answered at once.
      idle_seconds: after this time without a request the asking side ends a
        connection.
    """

    frame_bytes: int = wire.FRAME_BYTES
    connections: int = 2048
    frame_seconds: float = 10
    connect_seconds: float = CONNECT_SECONDS
    backlog_bytes: int = 4 * 1024 * 1024
    streams: int = 20_000
    idle_seconds: float = 300


class Connection(asyncio.Protocol):
    """Requests and answers in both directions.

    Attributes:
      hello: who the peer says it is, once it has said so.
      greeted: done once it has.
      ended: done once the connection has ended.
      waiting: futures of the requests sent, by stream.
      serving: tasks of the requests received, by stream.
      partial_since: loop time when a frame began that has not ended, or 0.
      asked_at: loop time of the newest request sent.
      calls: streams of calls that wait for their reply.
      lasting: those of them that are not given up for silence.
      quiet_since: loop time of the last byte, or of the request that has been
        awaited longest.
      silent: the peer does not answer, though the connection stands.
      watched: connections on which silence is looked for, this one among
        them while calls wait.
    """

    def __init__(
        self,
        mine: messages.Hello,
        limits: Limits,
        handler: Handler | None = None,
        watched: "rounds.Rounds[Connection] | None" = None,
    ):
        self.loop = asyncio.get_running_loop()
        self.mine = mine
        self.limits = limits
        self.handler = handler
        self.transport: asyncio.Transport | None = None
        self.hello = messages.Hello()
        self.greeted = self.loop.create_future()
        self.ended = self.loop.create_future()
        self.incoming = wire.Frames(limits.frame_bytes)
        self.waiting: dict[int, asyncio.Future] = {}
        self.serving: dict[int, asyncio.Task] = {}
        self.last_stream = 0
        self.closed = False
        self.partial_since = 0.0
        self.asked_at = self.loop.time()
        self.calls: set[int] = set()
        self.lasting: set[int] = set()
        self.quiet_since = self.asked_at
        self.silent = False
        self.pinged = False
        self.watched = watched or rounds.Rounds(PING_AFTER, Connection.watch)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection; the connecting side greets first."""
        self.transport = transport
        sockets.tune(transport)
        if self.handler is None:
            self.greet()

    def greet(self) -> None:
        """Sends this process's Hello."""
        mine = dataclasses.replace(self.mine, protocol=PROTOCOL)
        self.send(messages.Envelope(body=mine))

    def take_hello(self, theirs: messages.EnvelopeBody) -> None:
        """Takes the peer's first message.

        Raises:
          errors.PeerProtocolError: the peer is none of the system's processes.
        """
        if not isinstance(theirs, messages.Hello):
            raise errors.PeerProtocolError("the first message is no Hello")
        if theirs.protocol != PROTOCOL:
            raise errors.PeerProtocolError(
                f"protocol {theirs.protocol}, not {PROTOCOL}"
            )
        certificate = self.transport.get_extra_info("peercert")
        if certificate and not tls.vouches(certificate, theirs):
            raise errors.PeerProtocolError(
                f"the certificate is not that of {theirs.role} {theirs.host}"
            )
        self.hello = theirs
        if self.handler is not None:
            self.greet()
        if not self.greeted.done():
            self.greeted.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Hands on what has come to whom it is for."""
        if self.closed:
            return
        self.heard()
        self.incoming.feed(data)
        try:
            while not self.closed:
                envelope = self.incoming.take()
                if envelope is None:
                    break
                self.partial_since = 0.0
                self.dispatch(envelope)
        except errors.PeerProtocolError as error:
            if self.greeted.done():
                logs.say(logs.Part.PEER, "not understood", why=str(error))
            self.refuse(error)
            return
        if self.incoming.partial and not self.partial_since:
            self.partial_since = self.loop.time()

    def refuse(self, error: errors.PeerProtocolError) -> None:
        """Ends the connection of a peer that is not understood."""
        if not self.greeted.done():
            self.greeted.set_exception(error)
        self.close(str(error))

    def eof_received(self) -> bool:
        """Ends the connection: a peer that sends no more asks nothing."""
        if self.greeted.done() and self.incoming.partial:
            why = "the stream ended in a frame"
            logs.say(logs.Part.PEER, "not understood", why=why)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks what waits for an answer."""
        why = str(exc) if exc else "closed"
        if not self.greeted.done():
            self.greeted.set_exception(errors.PeerClosedError(why))
        self.close(why)
        if not self.ended.done():
            self.ended.set_result(None)

    def dispatch(self, envelope: messages.Envelope) -> None:
        """Hands one message to whom it is for."""
        match envelope.body:
            case first if not self.greeted.done():
                self.take_hello(first)
            case messages.Hello():
                raise errors.PeerProtocolError("a second Hello")
            case messages.Cancel():
                self.cancel(envelope.stream)
            case messages.Ping(answers=False):
                answer = messages.Ping(answers=True)
                self.send(messages.Envelope(stream=PING_STREAM, body=answer))
            case messages.Ping():
                pass
            case _ if envelope.stream in self.waiting:
                self.settle(envelope)
            case _ if self.handler is not None:
                self.serve(envelope)
            # What is left answers a request given up: dropped.

    def settle(self, envelope: messages.Envelope) -> None:
        """Gives an answer to the request of its stream."""
        future = self.waiting[envelope.stream]
        if not future.done():
            future.set_result(envelope.body)

    def serve(self, envelope: messages.Envelope) -> None:
        """Starts the task that answers a request."""
        stream = envelope.stream
        if stream in self.serving or len(self.serving) >= self.limits.streams:
            raise errors.PeerProtocolError("too many requests, or one twice")
        task = eager.start(self.loop, self.answer(stream, envelope.body))
        if task.done():
            return
        self.serving[stream] = task
        if self.closed:
            # It ended within the first step, which no one could cancel.
            task.cancel()

    async def answer(self, stream: int, body: messages.EnvelopeBody) -> None:
        """Answers one request; its task is cancelled by the peer's Cancel."""
        try:
            answer = await self.handler(self.hello, body)
        except errors.MangobayError as error:
            answer = messages.Failure(text=str(error))
        except Exception as error:  # noqa: BLE001
            logs.say(logs.Part.PEER, "request failed", why=repr(error))
            answer = messages.Failure(text="internal fault")
        finally:
            self.serving.pop(stream, None)
        try:
            self.send(messages.Envelope(stream=stream, body=answer))
        except errors.FrameTooLargeError as error:
            failure = messages.Failure(text=str(error))
            self.send(messages.Envelope(stream=stream, body=failure))

    def cancel(self, stream: int) -> None:
        """Cancels the task that answers a request, if it still runs."""
        task = self.serving.get(stream)
        if task is not None:
            task.cancel()

    async def ask(
        self, body: messages.EnvelopeBody, timeout: float
    ) -> messages.EnvelopeBody:
        """Sends a request and returns its answer within timeout seconds.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent.
          errors.PeerBrokenError: sent, but no answer came or can come.
          TimeoutError: no answer in time.
        """
        self.check_writable()
        self.asked_at = self.loop.time()
        self.last_stream += 1
        stream = self.last_stream
        self.send(messages.Envelope(stream=stream, body=body))
        future = self.loop.create_future()
        self.waiting[stream] = future
        if isinstance(body, messages.Call):
            self.expect(stream, body)
        timer = self.loop.call_later(timeout, expire, future)
        try:
            answer = await future
        except (TimeoutError, asyncio.CancelledError):
            self.send(messages.Envelope(stream=stream, body=messages.Cancel()))
            raise
        finally:
            timer.cancel()
            del self.waiting[stream]
            self.forget(stream)
            if self.silent and not self.waiting:
                self.close(SILENT)
        if isinstance(answer, messages.Failure):
            raise errors.PeerBrokenError(answer.text)
        return answer

    def expect(self, stream: int, call: messages.Call) -> None:
        """Notes a call; as long as there are some, silence is looked for.

        Other requests may be held by the peer for longer, and wait for less.
        """
        if not self.calls:
            self.quiet_since = self.asked_at
            self.pinged = False
        self.calls.add(stream)
        if not call.idempotent:
            self.lasting.add(stream)
        self.watched.add(self)

    def forget(self, stream: int) -> None:
        """Notes that a call has ended."""
        self.calls.discard(stream)
        self.lasting.discard(stream)
        if not self.calls:
            self.watched.discard(self)

    def heard(self) -> None:
        """Notes that the peer is there."""
        self.quiet_since = self.loop.time()
        self.pinged = False

    def watch(self) -> None:
        """Asks a peer that does not answer whether it is there.

        A connection can fall silent without a reset: behind a cut, on a host
        that stands still, or where a device between forgot it.  Requests on it
        would wait until their deadlines, each new one again.
        """
        if self.closed or self.silent:
            self.watched.discard(self)
            return
        quiet = self.loop.time() - self.quiet_since
        if quiet >= SILENT_AFTER:
            self.fall_silent()
            return
        if quiet >= PING_AFTER and not self.pinged:
            self.pinged = True
            ping = messages.Envelope(stream=PING_STREAM, body=messages.Ping())
            self.send(ping)

    def fall_silent(self) -> None:
        """Gives up what may be sent again; the rest goes on waiting.

        What must not run twice may have run: only its own answer, which still
        arrives if the peer comes back in time, is worth more than not knowing.
        """
        self.silent = True
        logs.say(
            logs.Part.PEER,
            "silent",
            host=self.hello.host,
            given_up=len(self.waiting) - len(self.lasting),
            waiting=len(self.lasting),
        )
        for stream, future in self.waiting.items():
            if stream not in self.lasting and not future.done():
                future.set_exception(errors.PeerBrokenError(SILENT))
                cancel = messages.Envelope(
                    stream=stream, body=messages.Cancel()
                )
                self.send(cancel)
        if not self.lasting:
            self.close(SILENT)

    @property
    def unsent(self) -> bool:
        """Whether something sent is not yet with the kernel."""
        return self.transport.get_write_buffer_size() > 0

    def check_writable(self) -> None:
        """Refuses a request that would only wait in this process.

        A peer that no longer reads (stopped, or its kernel's buffer full)
        would let the backlog grow without bound while every caller waits;
        refused unsent, the call can go to another host.

        Raises:
          errors.PeerUnreachableError: closed, or too much is unsent.
        """
        if self.closed or self.transport.is_closing():
            raise errors.PeerUnreachableError("the connection is closed")
        backlog = self.transport.get_write_buffer_size()
        if backlog > self.limits.backlog_bytes:
            raise errors.PeerUnreachableError("the peer does not read")

    def send(self, envelope: messages.Envelope) -> None:
        """Writes a frame.

        Raises:
          errors.FrameTooLargeError: nothing was written.
        """
        if self.closed:
            return
        frame = wire.pack(envelope, self.limits.frame_bytes)
        if self.transport.is_closing():
            return
        self.transport.write(frame)
        backlog = self.transport.get_write_buffer_size()
        if self.handler and backlog > 4 * self.limits.backlog_bytes:
            # Answers that a peer asks for and never reads would fill the
            # memory of this process; without the connection they go nowhere.
            self.close("the peer does not read its answers")

    def end(self, transport: asyncio.Transport) -> None:
        """Ends the transport, at once where its peer does not read."""
        if transport.get_write_buffer_size() > self.limits.backlog_bytes:
            transport.abort()
        else:
            transport.close()

    def close(self, why: str = "closed") -> None:
        """Ends the connection: requests sent break, tasks are cancelled."""
        if self.closed:
            return
        self.closed = True
        self.watched.discard(self)
        if self.transport is not None:
            self.end(self.transport)
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(errors.PeerBrokenError(why))
        for task in list(self.serving.values()):
            task.cancel()


def expire(future: asyncio.Future) -> None:
    """Fails a request whose time has passed."""
    if not future.done():
        future.set_exception(TimeoutError("no answer in time"))
