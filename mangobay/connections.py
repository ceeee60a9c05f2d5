"""One connection to another process, carrying many streams."""

import asyncio
import collections.abc
import dataclasses

from mangobay import eager, errors, logs, periodic, sockets, tls, wire
from mangobay.generated import messages

PROTOCOL_VERSION = 2
"""Spoken version; another one is refused at the Hello."""
CONNECT_TIMEOUT_SECONDS = 0.3
"""A first packet that is lost, or sent to a host that is just starting, is sent
again by the kernel after a second only; a new connection asks sooner.  Above the
two round trips of a connection and its Hello between far regions (0.22 s)."""
PING_AFTER_SECONDS = 0.3
"""Seconds without a byte, while answers are awaited, until a Ping is sent; far
above a round trip between data centres."""
UNRESPONSIVE_AFTER_SECONDS = 1.0
"""Seconds without a byte after which nothing new is sent here.  A host that is
merely slow answers a Ping in between: its loop turns several times a second
even at a sixth of its speed."""
UNRESPONSIVE_MESSAGE = "the peer does not answer"
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
      max_frame_bytes: longest frame that is taken or sent.
      max_connections: most connections taken by a listener.
      frame_timeout: time a peer has to send its Hello, and to end a frame
        that it began.
      connect_timeout: longest wait for a connection and its Hello.
      max_unsent_bytes: written but not taken by the peer; above it requests
        are refused unsent.
      max_streams: most requests of one connection that are answered at once.
      idle_timeout: after this time without a request the asking side ends a
        connection.
    """

    max_frame_bytes: int = wire.DEFAULT_MAX_FRAME_BYTES
    max_connections: int = 2048
    frame_timeout: float = 10
    connect_timeout: float = CONNECT_TIMEOUT_SECONDS
    max_unsent_bytes: int = 4 * 1024 * 1024
    max_streams: int = 20_000
    idle_timeout: float = 300


class Connection(asyncio.Protocol):
    """Requests and answers in both directions.

    Attributes:
      peer_hello: who the peer says it is, once it has said so.
      handshake_done: done once it has.
      disconnected: done once the connection has ended.
      pending_requests: futures of the requests sent, by stream.
      handler_tasks: tasks of the requests received, by stream.
      partial_frame_since: loop time when a frame began that has not ended, or 0.
      last_request_at: loop time of the newest request sent.
      pending_calls: streams of calls that wait for their reply.
      non_idempotent_calls: those of them that are not given up for silence.
      last_received_at: loop time of the last byte, or of the request that has been
        awaited longest.
      unresponsive: the peer does not answer, though the connection stands.
      liveness_check: connections on which silence is looked for, this one among
        them while calls wait.
    """

    def __init__(
        self,
        local_hello: messages.Hello,
        limits: Limits,
        handler: Handler | None = None,
        liveness_check: "periodic.PeriodicCheck[Connection] | None" = None,
    ):
        self.loop = asyncio.get_running_loop()
        self.local_hello = local_hello
        self.limits = limits
        self.handler = handler
        self.transport: asyncio.Transport | None = None
        self.peer_hello = messages.Hello()
        self.handshake_done = self.loop.create_future()
        self.disconnected = self.loop.create_future()
        self.decoder = wire.FrameDecoder(limits.max_frame_bytes)
        self.pending_requests: dict[int, asyncio.Future] = {}
        self.handler_tasks: dict[int, asyncio.Task] = {}
        self.last_stream = 0
        self.closed = False
        self.partial_frame_since = 0.0
        self.last_request_at = self.loop.time()
        self.pending_calls: set[int] = set()
        self.non_idempotent_calls: set[int] = set()
        self.last_received_at = self.last_request_at
        self.unresponsive = False
        self.ping_sent = False
        self.liveness_check = liveness_check or periodic.PeriodicCheck(
            PING_AFTER_SECONDS, Connection.check_liveness
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection; the connecting side greets first."""
        self.transport = transport
        sockets.set_options(transport)
        if self.handler is None:
            self.send_hello()

    def send_hello(self) -> None:
        """Sends this process's Hello."""
        hello = dataclasses.replace(self.local_hello, protocol=PROTOCOL_VERSION)
        self.send(messages.Envelope(body=hello))

    def handle_hello(self, body: messages.EnvelopeBody) -> None:
        """Takes the peer's first message.

        Raises:
          errors.PeerProtocolError: the peer is none of the system's processes.
        """
        if not isinstance(body, messages.Hello):
            raise errors.PeerProtocolError("the first message is no Hello")
        if body.protocol != PROTOCOL_VERSION:
            raise errors.PeerProtocolError(
                f"protocol {body.protocol}, not {PROTOCOL_VERSION}"
            )
        certificate = self.transport.get_extra_info("peercert")
        if certificate and not tls.is_authorized(certificate, body):
            raise errors.PeerProtocolError(
                f"the certificate is not that of {body.role} {body.host}"
            )
        self.peer_hello = body
        if self.handler is not None:
            self.send_hello()
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Hands on what has come to whom it is for."""
        if self.closed:
            return
        self.record_received()
        self.decoder.feed(data)
        try:
            while not self.closed:
                envelope = self.decoder.next_envelope()
                if envelope is None:
                    break
                self.partial_frame_since = 0.0
                self.dispatch(envelope)
        except errors.PeerProtocolError as error:
            if self.handshake_done.done():
                logs.log_event(
                    logs.Component.PEER, "not understood", why=str(error)
                )
            self.close_on_protocol_error(error)
            return
        if self.decoder.has_partial_frame and not self.partial_frame_since:
            self.partial_frame_since = self.loop.time()

    def close_on_protocol_error(self, error: errors.PeerProtocolError) -> None:
        """Ends the connection of a peer that is not understood."""
        if not self.handshake_done.done():
            self.handshake_done.set_exception(error)
        self.close(str(error))

    def eof_received(self) -> bool:
        """Ends the connection: a peer that sends no more asks nothing."""
        if self.handshake_done.done() and self.decoder.has_partial_frame:
            reason = "the stream ended in a frame"
            logs.log_event(logs.Component.PEER, "not understood", why=reason)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks what waits for an answer."""
        reason = str(exc) if exc else "closed"
        if not self.handshake_done.done():
            self.handshake_done.set_exception(errors.PeerClosedError(reason))
        self.close(reason)
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def dispatch(self, envelope: messages.Envelope) -> None:
        """Hands one message to whom it is for."""
        match envelope.body:
            case body if not self.handshake_done.done():
                self.handle_hello(body)
            case messages.Hello():
                raise errors.PeerProtocolError("a second Hello")
            case messages.Cancel():
                self.cancel_handler(envelope.stream)
            case messages.Ping(answers=False):
                pong = messages.Ping(answers=True)
                self.send(messages.Envelope(stream=PING_STREAM, body=pong))
            case messages.Ping():
                pass
            case _ if envelope.stream in self.pending_requests:
                self.resolve_request(envelope)
            case _ if self.handler is not None:
                self.start_handler(envelope)
            # What is left answers a request given up: dropped.

    def resolve_request(self, envelope: messages.Envelope) -> None:
        """Gives an answer to the request of its stream."""
        future = self.pending_requests[envelope.stream]
        if not future.done():
            future.set_result(envelope.body)

    def start_handler(self, envelope: messages.Envelope) -> None:
        """Starts the task that answers a request."""
        stream = envelope.stream
        if (
            stream in self.handler_tasks
            or len(self.handler_tasks) >= self.limits.max_streams
        ):
            raise errors.PeerProtocolError("too many requests, or one twice")
        task = eager.start_task(
            self.loop, self.run_handler(stream, envelope.body)
        )
        if task.done():
            return
        self.handler_tasks[stream] = task
        if self.closed:
            # It ended within the first step, which no one could cancel.
            task.cancel()

    async def run_handler(
        self, stream: int, body: messages.EnvelopeBody
    ) -> None:
        """Answers one request; its task is cancelled by the peer's Cancel."""
        try:
            reply = await self.handler(self.peer_hello, body)
        except errors.MangobayError as error:
            reply = messages.Failure(text=str(error))
        except Exception as error:  # noqa: BLE001
            logs.log_event(
                logs.Component.PEER, "request failed", why=repr(error)
            )
            reply = messages.Failure(text="internal fault")
        finally:
            self.handler_tasks.pop(stream, None)
        try:
            self.send(messages.Envelope(stream=stream, body=reply))
        except errors.FrameTooLargeError as error:
            failure = messages.Failure(text=str(error))
            self.send(messages.Envelope(stream=stream, body=failure))

    def cancel_handler(self, stream: int) -> None:
        """Cancels the task that answers a request, if it still runs."""
        task = self.handler_tasks.get(stream)
        if task is not None:
            task.cancel()

    async def send_request(
        self, body: messages.EnvelopeBody, timeout: float
    ) -> messages.EnvelopeBody:
        """Sends a request and returns its answer within timeout seconds.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent.
          errors.PeerBrokenError: sent, but no answer came or can come.
          TimeoutError: no answer in time.
        """
        self.check_writable()
        self.last_request_at = self.loop.time()
        self.last_stream += 1
        stream = self.last_stream
        self.send(messages.Envelope(stream=stream, body=body))
        future = self.loop.create_future()
        self.pending_requests[stream] = future
        if isinstance(body, messages.Call):
            self.track_call(stream, body)
        timer = self.loop.call_later(timeout, fail_with_timeout, future)
        try:
            reply = await future
        except (TimeoutError, asyncio.CancelledError):
            self.send(messages.Envelope(stream=stream, body=messages.Cancel()))
            raise
        finally:
            timer.cancel()
            del self.pending_requests[stream]
            self.untrack_call(stream)
            if self.unresponsive and not self.pending_requests:
                self.close(UNRESPONSIVE_MESSAGE)
        if isinstance(reply, messages.Failure):
            raise errors.PeerBrokenError(reply.text)
        return reply

    def track_call(self, stream: int, call: messages.Call) -> None:
        """Notes a call; as long as there are some, silence is looked for.

        Other requests may be held by the peer for longer, and wait for less.
        """
        if not self.pending_calls:
            self.last_received_at = self.last_request_at
            self.ping_sent = False
        self.pending_calls.add(stream)
        if not call.idempotent:
            self.non_idempotent_calls.add(stream)
        self.liveness_check.add(self)

    def untrack_call(self, stream: int) -> None:
        """Notes that a call has ended."""
        self.pending_calls.discard(stream)
        self.non_idempotent_calls.discard(stream)
        if not self.pending_calls:
            self.liveness_check.discard(self)

    def record_received(self) -> None:
        """Notes that the peer is there."""
        self.last_received_at = self.loop.time()
        self.ping_sent = False

    def check_liveness(self) -> None:
        """Asks a peer that does not answer whether it is there.

        A connection can fall silent without a reset: behind a cut, on a host
        that stands still, or where a device between forgot it.  Requests on it
        would wait until their deadlines, each new one again.
        """
        if self.closed or self.unresponsive:
            self.liveness_check.discard(self)
            return
        silent_seconds = self.loop.time() - self.last_received_at
        if silent_seconds >= UNRESPONSIVE_AFTER_SECONDS:
            self.mark_unresponsive()
            return
        if silent_seconds >= PING_AFTER_SECONDS and not self.ping_sent:
            self.ping_sent = True
            ping = messages.Envelope(stream=PING_STREAM, body=messages.Ping())
            self.send(ping)

    def mark_unresponsive(self) -> None:
        """Gives up what may be sent again; the rest goes on waiting.

        What must not run twice may have run: only its own answer, which still
        arrives if the peer comes back in time, is worth more than not knowing.
        """
        self.unresponsive = True
        logs.log_event(
            logs.Component.PEER,
            "silent",
            host=self.peer_hello.host,
            given_up=len(self.pending_requests)
            - len(self.non_idempotent_calls),
            waiting=len(self.non_idempotent_calls),
        )
        for stream, future in self.pending_requests.items():
            if stream not in self.non_idempotent_calls and not future.done():
                future.set_exception(
                    errors.PeerBrokenError(UNRESPONSIVE_MESSAGE)
                )
                cancel = messages.Envelope(
                    stream=stream, body=messages.Cancel()
                )
                self.send(cancel)
        if not self.non_idempotent_calls:
            self.close(UNRESPONSIVE_MESSAGE)

    @property
    def has_unsent_bytes(self) -> bool:
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
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes > self.limits.max_unsent_bytes:
            raise errors.PeerUnreachableError("the peer does not read")

    def send(self, envelope: messages.Envelope) -> None:
        """Writes a frame.

        Raises:
          errors.FrameTooLargeError: nothing was written.
        """
        if self.closed:
            return
        frame = wire.encode_frame(envelope, self.limits.max_frame_bytes)
        if self.transport.is_closing():
            return
        self.transport.write(frame)
        unsent_bytes = self.transport.get_write_buffer_size()
        if self.handler and unsent_bytes > 4 * self.limits.max_unsent_bytes:
            # Answers that a peer asks for and never reads would fill the
            # memory of this process; without the connection they go nowhere.
            self.close("the peer does not read its answers")

    def close_transport(self, transport: asyncio.Transport) -> None:
        """Ends the transport, at once where its peer does not read."""
        if transport.get_write_buffer_size() > self.limits.max_unsent_bytes:
            transport.abort()
        else:
            transport.close()

    def close(self, reason: str = "closed") -> None:
        """Ends the connection: requests sent break, tasks are cancelled."""
        if self.closed:
            return
        self.closed = True
        self.liveness_check.discard(self)
        if self.transport is not None:
            self.close_transport(self.transport)
        for future in self.pending_requests.values():
            if not future.done():
                future.set_exception(errors.PeerBrokenError(reason))
        for task in list(self.handler_tasks.values()):
            task.cancel()


def fail_with_timeout(future: asyncio.Future) -> None:
    """Fails a request whose time has passed."""
    if not future.done():
        future.set_exception(TimeoutError("no answer in time"))
