"""A connection between two processes that carries many streams.

Each request has a stream number, which its reply repeats.  The first message in
each direction is a Hello.
"""

import asyncio
import collections.abc
import dataclasses

from mangobay import (
    eager,
    errors,
    logs,
    periodic,
    receivedbytes,
    replyparts,
    requestbody,
    responsestream,
    silence,
    sockets,
    tls,
    wire,
)
from mangobay.generated import messages

PROTOCOL_VERSION = 2
"""Protocol version; a Hello with another one ends the connection."""
CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout of connecting, including the exchange of Hellos.

If the first packet is lost, or sent to a host that is just starting, the kernel
resends it only after a second; a new connection attempt is sooner.  The timeout
exceeds the two round trips that connecting takes between distant regions
(0.22 s).
"""
PING_AFTER_SECONDS = silence.DEFAULT_PING_AFTER
"""Time without a received byte, while requests are tracked, after which a Ping is
sent, unless the target latencies of the calls call for an earlier one."""
UNRESPONSIVE_AFTER_SECONDS = 1.0
"""Time without a received byte, while requests are tracked, after which the
connection gets no new requests.

A host that is merely slow replies to the Ping in time: even at a sixth of its
speed its event loop runs several iterations per second.
"""
UNRESPONSIVE_MESSAGE = "the peer does not respond"
MAX_HELLO_BYTES = 16 * 1024
"""Longest frame that is taken before the peer is known."""
MIN_HELD_BYTES = 4 * 1024
"""Smallest part of a frame that is on the account of received bytes."""
PING_STREAM = 0
"""Stream of Hello and Ping; requests have higher ones."""

TrackedRequest = tuple[messages.EnvelopeBody, float]
"""A request and the loop time of its deadline.

A plain tuple, as one is made for each call.
"""
OnSilent = collections.abc.Callable[["Connection"], None]
"""Called at each check of a connection that is silent in spite of a Ping."""
Handler = collections.abc.Callable[
    [messages.Hello, messages.EnvelopeBody],
    collections.abc.Awaitable[messages.EnvelopeBody],
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on what a peer may use.

    Attributes:
      max_frame_bytes: maximum size of a frame that is accepted or sent.
      max_connections: maximum number of connections that a listener accepts.
      frame_timeout: seconds that a peer has to send its Hello, and to complete
        a frame that it began.
      connect_timeout: maximum seconds for connecting, including the Hellos.
      max_unsent_bytes: maximum number of written bytes that the peer has not
        read; above it new requests fail without being sent.
      max_streams: maximum number of requests of one connection that are
        handled at once.
      idle_timeout: seconds without a request after which the connecting side
        closes a connection.
      stall_timeout: seconds in which the caller of a large reply has to read
        something.
    """

    max_frame_bytes: int = wire.DEFAULT_MAX_FRAME_BYTES
    max_connections: int = 2048
    frame_timeout: float = 10
    connect_timeout: float = CONNECT_TIMEOUT_SECONDS
    max_unsent_bytes: int = 4 * 1024 * 1024
    max_streams: int = 20_000
    idle_timeout: float = 300
    stall_timeout: float = responsestream.STALL_SECONDS


class Connection(asyncio.Protocol):
    """Sends requests and handles those of the peer.

    Attributes:
      local_hello: the Hello of this process.
      handler: handles the peer's requests; None on the connecting side, which
        gets none.
      peer_hello: the peer's Hello; empty until it is received.
      handshake_done: future that is done once the peer's Hello is received.
      disconnected: future that is done once the connection has ended.
      pending_requests: futures of the requests sent, by stream.
      handler_tasks: tasks of the requests received, by stream.
      bodies: the bodies of large replies, both ways.
      write_gate: closed while the write buffer is full.
      is_holding: whether a part of a frame is on the account of received bytes.
      partial_frame_since: loop time at which an incomplete frame began, or 0.
      last_request_at: loop time of the last request sent.
      tracked_requests: the pending requests that the peer should reply to
        without delay, by stream.
      non_idempotent_calls: those of them that keep waiting when the peer is
        unresponsive.
      last_received_at: loop time of the last byte received, or of the first
        tracked request if that is later.
      unresponsive: whether the peer has stopped responding on an open
        connection.
      retired: whether a newer connection has replaced it; it closes after its
        last pending request.
      superseded: whether the peer has replaced it, so that requests which still
        arrive are dropped.
      queried_calls: streams of the calls that the peer is asked about on
        another connection; they outlast this one.
      ping_sent_at: loop time of a Ping since which no byte was received, or 0.
      round_trip: seconds that the exchange of Hellos took.
      silence_share: share of the calls' patience that `silence` uses.
      on_silent: called while the connection is silent; None if its calls cannot
        be asked about elsewhere.
      usual_silence: moving mean of the seconds without a byte while requests
        are tracked.
      patience_ms: patience that `waits` was found for.
      waits: how long it may be silent.
      liveness_check: calls check_liveness; contains this connection while
        requests are tracked.
    """

    def __init__(
        self,
        local_hello: messages.Hello,
        limits: Limits,
        handler: Handler | None = None,
        liveness_check: "periodic.PeriodicCheck[Connection] | None" = None,
        on_silent: OnSilent | None = None,
    ):
        self.loop = asyncio.get_running_loop()
        self.local_hello = local_hello
        self.limits = limits
        self.handler = handler
        self.transport: asyncio.Transport | None = None
        self.peer_hello = messages.Hello()
        self.handshake_done = self.loop.create_future()
        self.disconnected = self.loop.create_future()
        self.decoder = wire.FrameDecoder(
            min(limits.max_frame_bytes, MAX_HELLO_BYTES)
        )
        self.pending_requests: dict[int, asyncio.Future] = {}
        self.handler_tasks: dict[int, asyncio.Task] = {}
        self.bodies = replyparts.PeerBodies(self, limits.stall_timeout)
        self.write_gate = responsestream.WriteGate()
        self.last_stream = 0
        self.closed = False
        self.is_holding = False
        self.partial_frame_since = 0.0
        self.last_request_at = self.loop.time()
        self.tracked_requests: dict[int, TrackedRequest] = {}
        self.non_idempotent_calls: set[int] = set()
        self.last_received_at = self.last_request_at
        self.unresponsive = False
        self.retired = False
        self.superseded = False
        self.queried_calls: set[int] = set()
        self.ping_sent_at = 0.0
        self.round_trip = 0.0
        self.silence_share = 0.0
        self.on_silent = on_silent
        self.patience_ms = 0
        self.usual_silence = 0.0
        self.waits = silence.DEFAULT_WAITS
        self.liveness_check = liveness_check or periodic.PeriodicCheck(
            PING_AFTER_SECONDS, Connection.check_liveness
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets up the connection; the connecting side sends its Hello first."""
        self.transport = transport
        self.last_request_at = self.loop.time()
        sockets.set_options(transport)
        if self.handler is None:
            self.send_hello()

    def pause_writing(self) -> None:
        """Stops the parts of large replies while the write buffer is full."""
        self.write_gate.close()

    def resume_writing(self) -> None:
        """Resumes the parts of large replies."""
        self.write_gate.open()

    def send_hello(self) -> None:
        """Sends this process's Hello."""
        hello = dataclasses.replace(
            self.local_hello,
            protocol=PROTOCOL_VERSION,
            takes_notices=True,
            takes_bodies=True,
        )
        self.send(messages.Envelope(body=hello))

    def handle_hello(self, body: messages.EnvelopeBody) -> None:
        """Checks the peer's first message and completes the handshake.

        Raises:
          errors.PeerProtocolError: it is not a Hello of a process of the
            system, or claims another host or role than the certificate.
        """
        if not isinstance(body, messages.Hello):
            raise errors.PeerProtocolError("the first message is not a Hello")
        if body.protocol != PROTOCOL_VERSION:
            raise errors.PeerProtocolError(
                f"Hello has protocol version {body.protocol}, expected"
                f" {PROTOCOL_VERSION}"
            )
        certificate = self.transport.get_extra_info("peercert")
        if certificate and not tls.is_authorized(certificate, body):
            raise errors.PeerProtocolError(
                "the certificate does not permit role"
                f" {body.role} of host {body.host}"
            )
        self.peer_hello = body
        self.decoder.max_bytes = self.limits.max_frame_bytes
        self.round_trip = self.loop.time() - self.last_request_at
        if not (self.local_hello.takes_queries and body.takes_queries):
            self.on_silent = None
        if self.handler is not None:
            self.send_hello()
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Decodes the received bytes and dispatches complete messages."""
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
                    logs.Component.PEER, "invalid message", why=str(error)
                )
            self.close_on_protocol_error(error)
            return
        if self.decoder.has_partial_frame and not self.partial_frame_since:
            self.partial_frame_since = self.loop.time()
        if self.is_holding or self.decoder.buffered_bytes >= MIN_HELD_BYTES:
            self.hold_received()

    def hold_received(self) -> None:
        """Updates what the account of received bytes says of a long frame."""
        held_bytes = self.decoder.buffered_bytes
        if held_bytes >= MIN_HELD_BYTES and not self.closed:
            self.is_holding = True
            receivedbytes.account.hold(self, held_bytes)
        elif self.is_holding:
            self.is_holding = False
            receivedbytes.account.release(self)

    @property
    def cut_last(self) -> bool:
        """Whether the calls of a known peer depend on the connection."""
        return self.handshake_done.done()

    def drop_received(self) -> None:
        """Closes the connection, whose frame cannot be held until its end."""
        self.decoder = wire.FrameDecoder()
        self.close("too many received bytes are held")

    def close_on_protocol_error(self, error: errors.PeerProtocolError) -> None:
        """Closes the connection after a protocol error of the peer."""
        if not self.handshake_done.done():
            self.handshake_done.set_exception(error)
        self.close(str(error))

    def eof_received(self) -> bool:
        """Closes the connection, as a peer that sends no more needs no replies.

        Returns:
          False, with which asyncio closes the transport.
        """
        if self.handshake_done.done() and self.decoder.has_partial_frame:
            reason = "the stream ended within a frame"
            logs.log_event(logs.Component.PEER, "invalid message", why=reason)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending requests and cancels the handlers."""
        reason = str(exc) if exc else "closed"
        if not self.handshake_done.done():
            self.handshake_done.set_exception(errors.PeerClosedError(reason))
        self.close(reason)
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def dispatch(self, envelope: messages.Envelope) -> None:
        """Passes one message to its handler or to the request it replies to."""
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
            case messages.ReplyCredit():
                self.bodies.add_credit(envelope.stream, envelope.body.bytes)
            case _ if envelope.stream in self.pending_requests:
                self.resolve_request(envelope)
            case messages.ReplyPart() if self.handler is not None:
                # A part of a large request, or of one that has ended.
                self.bodies.receive(envelope)
            case _ if self.handler is not None:
                self.start_handler(envelope)
            case _:
                # A part of a large reply, or dropped: the reply to a cancelled
                # request.
                self.bodies.receive(envelope)

    def resolve_request(self, envelope: messages.Envelope) -> None:
        """Resolves the pending request of the stream with its reply."""
        future = self.pending_requests[envelope.stream]
        if future.done():
            self.bodies.receive(envelope)
            return
        reply = envelope.body
        if type(reply) is messages.Reply and reply.streamed:
            reply = self.bodies.start_receiving(envelope.stream, reply)
        eager.set_result(self.loop, future, reply)

    def start_handler(self, envelope: messages.Envelope) -> None:
        """Starts the task that handles a request.

        A request on a superseded connection is dropped: the peer no longer
        waits for a reply here.

        Raises:
          errors.PeerProtocolError: the peer has too many requests in progress,
            or one on the same stream.
        """
        if self.superseded:
            return
        stream = envelope.stream
        if (
            stream in self.handler_tasks
            or len(self.handler_tasks) >= self.limits.max_streams
        ):
            raise errors.PeerProtocolError(
                "too many requests in progress, or a stream that is in use"
            )
        body = envelope.body
        if type(body) is messages.Call and body.continued:
            body = self.bodies.start_receiving_request(stream, body)
        task = eager.start_task(self.loop, self.run_handler(stream, body))
        if task.done():
            return
        self.handler_tasks[stream] = task
        if self.closed:
            # The connection closed during the task's first step, when the task
            # was not yet listed and so was not cancelled.
            task.cancel()

    async def run_handler(
        self, stream: int, body: messages.EnvelopeBody
    ) -> None:
        """Handles one request and sends the reply.

        The peer's Cancel cancels its task.
        """
        try:
            reply = await self.handler(self.peer_hello, body)
            if type(reply) is responsestream.StreamedReply:
                reply = await self.bodies.send(stream, reply)
        except errors.MangobayError as error:
            reply = messages.Failure(text=str(error))
        except Exception as error:  # noqa: BLE001
            logs.log_event(
                logs.Component.PEER, "request failed", why=repr(error)
            )
            reply = messages.Failure(text="internal fault")
        finally:
            self.handler_tasks.pop(stream, None)
            self.bodies.release_request(stream)
        try:
            self.send(messages.Envelope(stream=stream, body=reply))
        except errors.FrameTooLargeError as error:
            failure = messages.Failure(text=str(error))
            self.send(messages.Envelope(stream=stream, body=failure))

    def cancel_handler(self, stream: int) -> None:
        """Cancels the task that handles a request, if it still runs."""
        task = self.handler_tasks.get(stream)
        if task is not None:
            task.cancel()

    def is_known_to_peer(self, body: messages.EnvelopeBody) -> bool:
        """Returns whether the peer's version knows a kind of request."""
        kind = type(body)
        if kind is messages.QuarantineNotice:
            return self.peer_hello.takes_notices
        if kind is requestbody.ContinuedCall:
            return self.peer_hello.takes_bodies
        return kind is not messages.CallQuery or self.peer_hello.takes_queries

    async def send_request(
        self,
        body: messages.EnvelopeBody,
        timeout: float,
        adapts_waits: bool = True,
    ) -> messages.EnvelopeBody:
        """Sends a request and returns its reply within timeout seconds.

        Args:
          body: the request.
          timeout: seconds to wait for the reply.
          adapts_waits: whether the patience of a call tells how long the
            connection may be silent.

        Raises:
          errors.PeerUnreachableError: no byte of the request was sent, or the
            peer has refused it for good in reply to a query.
          errors.PeerBrokenError: it was sent, but no reply can come any more,
            or the peer replied with a Failure.
          TimeoutError: it was sent, but no reply came in time.
        """
        self.check_writable()
        if not self.is_known_to_peer(body):
            raise errors.PeerUnreachableError(
                "the peer is too old to know this message"
            )
        if isinstance(body, messages.Call) and not self.peer_hello.takes_parts:
            body.streamed = False
        rest = None
        if type(body) is requestbody.ContinuedCall:
            rest, body = body.rest, requestbody.encode_head(body)
        self.last_request_at = self.loop.time()
        self.last_stream += 1
        stream = self.last_stream
        self.send(messages.Envelope(stream=stream, body=body))
        future = self.loop.create_future()
        self.pending_requests[stream] = future
        if is_tracked(body):
            self.track_request(
                stream, body, self.last_request_at + timeout, adapts_waits
            )
        timer = self.loop.call_later(timeout, fail_with_timeout, future)
        upload = None
        if rest is not None:
            upload = self.loop.create_task(
                self.bodies.send_request_rest(stream, rest)
            )
        try:
            reply = await future
        except (TimeoutError, asyncio.CancelledError):
            self.send(messages.Envelope(stream=stream, body=messages.Cancel()))
            self.bodies.abandon(stream)
            raise
        finally:
            timer.cancel()
            if upload is not None:
                upload.cancel()
            del self.pending_requests[stream]
            if stream not in self.bodies.receivers:
                self.untrack_request(stream)
            if self.retired or self.unresponsive:
                self.close_if_unused()
        if isinstance(reply, messages.Failure):
            raise errors.PeerBrokenError(reply.text)
        return reply

    def close_if_unused(self) -> None:
        """Closes a connection that gets no new requests after its last one."""
        if not self.pending_requests and not self.bodies.receivers:
            self.close(
                UNRESPONSIVE_MESSAGE if self.unresponsive else "replaced"
            )

    def retire(self) -> None:
        """Notes that a newer connection has replaced this one."""
        self.retired = True
        self.close_if_unused()

    def track_request(
        self,
        stream: int,
        body: messages.EnvelopeBody,
        deadline: float,
        adapts_waits: bool,
    ) -> None:
        """Adds a request; the liveness check runs while there are any."""
        is_first = not self.tracked_requests
        if is_first:
            self.last_received_at = self.last_request_at
            self.ping_sent_at = 0.0
        self.tracked_requests[stream] = (body, deadline)
        if isinstance(body, messages.Call):
            if not body.idempotent:
                self.non_idempotent_calls.add(stream)
            if adapts_waits and self.on_silent is not None:
                self.adapt_waits(body.patience_ms, is_first)
        self.liveness_check.add(self)

    def adapt_waits(self, patience_ms: int, is_first: bool) -> None:
        """Adapts the waits to the call with the least patience.

        Args:
          patience_ms: patience of a new call, 0 if it has none.
          is_first: whether no other request is tracked.
        """
        is_shorter = not self.patience_ms or patience_ms < self.patience_ms
        if patience_ms == self.patience_ms or not (
            is_first or (patience_ms and is_shorter)
        ):
            return
        self.patience_ms = patience_ms
        self.waits = silence.find_waits(
            self.silence_share, patience_ms, self.round_trip
        )
        # The check is shared by all connections and stays at the shortest
        # interval that any of them has needed.
        self.liveness_check.interval = min(
            self.liveness_check.interval, self.waits.check_interval
        )

    def tolerate_silence(self) -> None:
        """Doubles the waits, as the peer was slow and not gone.

        Otherwise a peer under heavy load would be connected to again and again.
        """
        self.silence_share *= 2
        self.waits = silence.find_waits(
            self.silence_share, self.patience_ms, self.round_trip
        )

    def untrack_request(self, stream: int) -> None:
        """Removes a request that has ended."""
        self.tracked_requests.pop(stream, None)
        self.non_idempotent_calls.discard(stream)
        self.queried_calls.discard(stream)
        if not self.tracked_requests:
            self.liveness_check.discard(self)
        if self.retired:
            self.close_if_unused()

    def record_received(self) -> None:
        """Records that bytes of the peer have been received."""
        now = self.loop.time()
        if self.tracked_requests:
            self.usual_silence += silence.USUAL_WEIGHT * (
                now - self.last_received_at - self.usual_silence
            )
        self.last_received_at = now
        self.ping_sent_at = 0.0

    def check_liveness(self) -> None:
        """Sends a Ping on a silent connection, or marks it as unresponsive.

        A connection can stop working without a reset: at a network partition,
        when the peer's host is suspended, or when a network device has dropped
        its state.  Each request on it, and each new one, would wait until its
        deadline.
        """
        if self.closed or self.unresponsive:
            self.liveness_check.discard(self)
            return
        now = self.loop.time()
        silent_seconds = now - self.last_received_at
        if silent_seconds >= UNRESPONSIVE_AFTER_SECONDS:
            self.mark_unresponsive()
            # The check was too late to notice the silence before.
            if self.on_silent is not None and not self.closed:
                self.on_silent(self)
            return
        if self.ping_sent_at:
            # Counted from the Ping, which is late if this process was stalled.
            if (
                self.on_silent is not None
                and now - self.ping_sent_at >= self.waits.reply_within
            ):
                self.on_silent(self)
        elif silent_seconds >= self.waits.ping_after_usual(self.usual_silence):
            self.ping_sent_at = now
            ping = messages.Envelope(stream=PING_STREAM, body=messages.Ping())
            self.send(ping)

    def mark_unresponsive(self) -> None:
        """Fails all pending requests but non-idempotent calls.

        The failed requests may be sent again.  A non-idempotent call may have
        run and must not run twice, so it keeps waiting: its reply still arrives
        if the peer recovers in time, while failing it would leave its outcome
        unknown.
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
            is_kept = (
                stream in self.non_idempotent_calls
                or stream in self.queried_calls
            )
            if not is_kept and not future.done():
                future.set_exception(
                    errors.PeerBrokenError(UNRESPONSIVE_MESSAGE)
                )
                cancel = messages.Envelope(
                    stream=stream, body=messages.Cancel()
                )
                self.send(cancel)
        self.bodies.cut_off(UNRESPONSIVE_MESSAGE)
        if not self.non_idempotent_calls:
            self.close(UNRESPONSIVE_MESSAGE)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether written bytes have not been passed to the kernel yet."""
        return self.transport.get_write_buffer_size() > 0

    def check_writable(self) -> None:
        """Checks that a request would not just be queued in this process.

        With a peer that no longer reads (its process is stopped, or its
        kernel's buffer is full), the unsent bytes would grow without bound
        while every caller waits.  A call that fails unsent can be sent to
        another host.

        Raises:
          errors.PeerUnreachableError: the connection is closed, or too many
            bytes are unsent.
        """
        if self.closed or self.transport.is_closing():
            raise errors.PeerUnreachableError("the connection is closed")
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes > self.limits.max_unsent_bytes:
            raise errors.PeerUnreachableError(
                "the peer does not read its requests"
            )

    def send(self, envelope: messages.Envelope) -> None:
        """Writes the frame of an envelope; does nothing on a closed connection.

        Raises:
          errors.FrameTooLargeError: the frame is too large; nothing was
            written.
        """
        if self.closed:
            return
        frame = wire.encode_frame(envelope, self.limits.max_frame_bytes)
        if self.transport.is_closing():
            return
        self.transport.write(frame)
        unsent_bytes = self.transport.get_write_buffer_size()
        if self.handler and unsent_bytes > 4 * self.limits.max_unsent_bytes:
            # Replies that a peer requests but never reads would fill the
            # memory of this process.
            self.close("the peer does not read its replies")

    def close_transport(self, transport: asyncio.Transport) -> None:
        """Closes the transport, without flushing if the peer does not read."""
        if transport.get_write_buffer_size() > self.limits.max_unsent_bytes:
            transport.abort()
        else:
            transport.close()

    def close(self, reason: str = "closed") -> None:
        """Closes the connection.

        Pending requests fail with errors.PeerBrokenError, and the tasks of
        requests being handled are cancelled.

        Args:
          reason: text of the error.
        """
        if self.closed:
            return
        self.closed = True
        receivedbytes.account.release(self)
        self.liveness_check.discard(self)
        if self.transport is not None:
            self.close_transport(self.transport)
        for stream, future in self.pending_requests.items():
            if not future.done() and stream not in self.queried_calls:
                future.set_exception(errors.PeerBrokenError(reason))
        self.bodies.cut_off(reason)
        for task in list(self.handler_tasks.values()):
            task.cancel()


def is_tracked(body: messages.EnvelopeBody) -> bool:
    """Returns whether the peer is pinged while a request is pending.

    Renewals that the peer may hold are not tracked: they are always pending, so
    that the pings would cost more than the renewals.
    """
    match body:
        case messages.Call() | messages.CallQuery():
            return True
        case messages.LeaseRenew(hold_ms=0):
            return True
    return False


def fail_with_timeout(future: asyncio.Future) -> None:
    """Fails a request whose timeout has passed."""
    if not future.done():
        future.set_exception(TimeoutError("no reply within the timeout"))
