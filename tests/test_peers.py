"""Tests of connections between processes, over loopback."""

import asyncio
import gc
import socket

import pytest

from mangobay import (
    basenode,
    connections,
    errors,
    options,
    peers,
    receivedbytes,
    wire,
)
from mangobay.generated import messages

HELLO = messages.Hello(host="here", role="node")
LOOPBACK = options.Address("127.0.0.1", 0)
WAIT_SECONDS = 20.0
CLOSE_SECONDS = 3.0
"""Less than the time that a peer has to complete a frame."""
PEER_HELLO = messages.Hello(
    host="there", role="node", protocol=connections.PROTOCOL_VERSION
)


class ScriptedHandler:
    """A handler that delays its replies until the test releases them.

    Attributes:
      release_events: events to wait for, by operation name.
      cancelled: operations whose handling was cancelled.
      request_arrived: set once any request has arrived.
    """

    def __init__(self):
        self.release_events: dict[str, asyncio.Event] = {}
        self.cancelled: list[str] = []
        self.request_arrived = asyncio.Event()

    async def __call__(self, hello, body):
        self.request_arrived.set()
        if body.operation == "fault":
            raise errors.MangobayError("no")
        try:
            if body.operation in self.release_events:
                await self.release_events[body.operation].wait()
        except asyncio.CancelledError:
            self.cancelled.append(body.operation)
            raise
        return messages.Reply(body=body.operation.encode(), host=hello.host)


@pytest.fixture
async def handler():
    return ScriptedHandler()


@pytest.fixture
async def listener(handler):
    limits = peers.Limits(max_frame_bytes=70_000, max_connections=3)
    opened = peers.Listener(LOOPBACK, HELLO, handler, limits=limits)
    await opened.start()
    yield opened
    await opened.close()


@pytest.fixture
async def client():
    limits = peers.Limits(max_frame_bytes=70_000)
    opened = peers.PeerClient(HELLO, limits=limits)
    yield opened
    await opened.close()


def call(operation: str, **fields) -> messages.Call:
    return messages.Call(operation=operation, **fields)


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.001)


class TestConnecting:
    """Connecting to a host that is just starting."""

    async def test_lost_first_packet_does_not_delay_connecting(
        self, handler, client
    ):
        """Guards against nodes that lack routes for a second after a restart.

        A node connects before the control host listens, the first packet is
        lost, and the kernel resends it only after a second.  Here the accept
        queue of a listener is full at first, which also drops the packet.
        """
        loop = asyncio.get_running_loop()
        with socket.socket() as full_socket:
            full_socket.bind(("127.0.0.1", 0))
            full_socket.listen(0)
            address = options.Address(*full_socket.getsockname())
            queued_sockets = [socket.socket() for _ in range(3)]
            for queued in queued_sockets:
                queued.setblocking(False)
                queued.connect_ex(tuple(full_socket.getsockname()))
            request_task = asyncio.create_task(
                send_until_answered(client, address)
            )
            started_at = loop.time()
            await asyncio.sleep(0.15)
            for queued in queued_sockets:
                queued.close()
            full_socket.setblocking(False)
            server = await asyncio.start_server(
                serve_first_request, sock=full_socket
            )
            await request_task
            assert loop.time() - started_at < 0.85
            server.close()

    async def test_attempt_that_nobody_waits_for_fails_silently(self, client):
        """Guards against stack traces in the log of a node that is cut off."""
        loop = asyncio.get_running_loop()
        reports = []
        loop.set_exception_handler(lambda _, context: reports.append(context))
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = options.Address(*silent.getsockname())
            with pytest.raises(errors.PeerUnreachableError):
                await client.send_request(address, call("now"), 0.05)
            await asyncio.sleep(connections.CONNECT_TIMEOUT_SECONDS)
        gc.collect()
        assert not reports


async def send_until_answered(client, address):
    """Repeats a request until there is a reply."""
    while True:
        try:
            return await client.send_request(address, call("now"), WAIT_SECONDS)
        except errors.PeerError:
            await asyncio.sleep(0.01)


async def serve_first_request(reader, writer):
    """Sends a Hello, and replies to the calls of a connection."""
    decoder = wire.FrameDecoder()
    while data := await reader.read(1000):
        decoder.feed(data)
        while (request := decoder.next_envelope()) is not None:
            reply = messages.Envelope(body=PEER_HELLO)
            if isinstance(request.body, messages.Call):
                reply = messages.Envelope(
                    stream=request.stream, body=messages.Reply()
                )
            writer.write(wire.encode_frame(reply))
    writer.close()


class TestClosing:
    """Requests that come while a client closes."""

    async def test_no_connection_is_made_during_the_close(self, listener):
        """Peers keep a connection that nobody uses or closes."""
        for turns in range(1, 6):
            client = peers.PeerClient(HELLO)
            await client.send_request(
                listener.address, call("before"), WAIT_SECONDS
            )
            closing = asyncio.create_task(client.close())
            for _ in range(turns):
                await asyncio.sleep(0)
            with pytest.raises(errors.PeerUnreachableError):
                await client.send_request(
                    listener.address, call("during"), WAIT_SECONDS
                )
            await closing
            await wait_until(lambda: not listener.accepted)


class TestUnresponsivePeer:
    """A peer that does not respond on an open connection."""

    async def stop_reading(self, handler, listener, client):
        """Makes the listener stop reading its only connection."""
        assert (
            await client.send_request(
                listener.address, call("first"), WAIT_SECONDS
            )
        ).body
        (connection,) = listener.connections
        connection.transport.pause_reading()

    async def test_idempotent_call_to_unresponsive_peer_fails_early(
        self, handler, listener, client
    ):
        """Guards against calls that wait for a broken connection repeatedly.

        The connection has stopped working without a reset.  Each request on it
        would wait until its deadline, and new requests would use it too.
        """
        await self.stop_reading(handler, listener, client)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(errors.PeerBrokenError):
            await client.send_request(
                listener.address, call("read", idempotent=True), WAIT_SECONDS
            )
        assert loop.time() - started_at < WAIT_SECONDS / 2
        reply = await client.send_request(
            listener.address, call("next"), WAIT_SECONDS
        )
        assert reply.body == b"next"

    async def test_renewal_at_unresponsive_peer_fails_early(
        self, handler, listener, client
    ):
        """Guards against a node that waits on a connection that is dead."""
        await self.stop_reading(handler, listener, client)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(errors.PeerBrokenError):
            await client.send_request(
                listener.address, messages.LeaseRenew(), WAIT_SECONDS
            )
        assert loop.time() - started_at < WAIT_SECONDS / 2

    async def test_held_renewal_is_not_pinged(self, handler, listener, client):
        await self.stop_reading(handler, listener, client)
        with pytest.raises(TimeoutError):
            await client.send_request(
                listener.address, messages.LeaseRenew(hold_ms=1000), 0.5
            )
        assert not client.liveness_check.items

    async def test_non_idempotent_call_keeps_waiting(
        self, handler, listener, client
    ):
        """Guards against an unknown outcome of a call that succeeds.

        The peer is suspended for longer than idempotent calls wait, resumes
        and replies.
        """
        handler.release_events["book"] = asyncio.Event()
        request_task = asyncio.create_task(
            client.send_request(listener.address, call("book"), WAIT_SECONDS)
        )
        await wait_until(
            lambda: (
                "book" in handler.release_events
                and handler.request_arrived.is_set()
            )
        )
        (connection,) = listener.connections
        connection.transport.pause_reading()
        await asyncio.sleep(connections.UNRESPONSIVE_AFTER_SECONDS * 2)
        assert not request_task.done()
        connection.transport.resume_reading()
        handler.release_events["book"].set()
        assert (await request_task).body == b"book"

    async def test_slow_handler_is_not_unresponsive(
        self, handler, listener, client
    ):
        handler.release_events["slow"] = asyncio.Event()
        request_task = asyncio.create_task(
            client.send_request(
                listener.address, call("slow", idempotent=True), WAIT_SECONDS
            )
        )
        await asyncio.sleep(connections.UNRESPONSIVE_AFTER_SECONDS * 2)
        assert not request_task.done()
        handler.release_events["slow"].set()
        assert (await request_task).body == b"slow"


class TestLivenessCheck:
    """Cost of the liveness check."""

    async def test_calls_to_many_peers_share_a_timer(self, handler, client):
        """Guards against a timer per connection, which would waste CPU time."""
        listeners = [
            peers.Listener(LOOPBACK, HELLO, handler) for _ in range(20)
        ]
        handler.release_events["slow"] = asyncio.Event()
        for each in listeners:
            await each.start()
        request_tasks = [
            asyncio.create_task(
                client.send_request(each.address, call("slow"), WAIT_SECONDS)
            )
            for each in listeners
        ]
        await wait_until(
            lambda: len(client.liveness_check.items) == len(listeners)
        )
        connections_in_use = {peer.connection for peer in client.peers.values()}
        assert client.liveness_check.items == connections_in_use
        handler.release_events["slow"].set()
        await asyncio.gather(*request_tasks)
        assert client.liveness_check.timer is None
        for each in listeners:
            await each.close()


class TestIdleConnections:
    """Connections without requests."""

    async def test_idle_connection_is_closed_and_reopened(
        self, handler, listener
    ):
        """An idle connection is closed; one with a pending request stays.

        The next request to the first peer opens a new connection.
        """
        busy_listener = peers.Listener(LOOPBACK, HELLO, handler)
        await busy_listener.start()
        handler.release_events["slow"] = asyncio.Event()
        limits = peers.Limits(idle_timeout=0.1)
        client = peers.PeerClient(HELLO, limits=limits)
        slow_task = asyncio.create_task(
            client.send_request(
                busy_listener.address, call("slow"), WAIT_SECONDS
            )
        )
        await client.send_request(listener.address, call("fast"), WAIT_SECONDS)
        await wait_until(lambda: not listener.connections)
        assert list(client.peers) == [busy_listener.address]
        reply = await client.send_request(
            listener.address, call("again"), WAIT_SECONDS
        )
        assert reply.body == b"again"
        handler.release_events["slow"].set()
        assert (await slow_task).body == b"slow"
        await client.close()
        await busy_listener.close()


class TestSendRequest:
    """Requests on one connection with many streams."""

    async def test_out_of_order_replies_reach_their_requests(
        self, handler, listener, client
    ):
        """Two callers share a connection, and the first reply is slow.

        The second reply arrives first.  Each caller must get its own reply.
        """
        handler.release_events["slow"] = asyncio.Event()
        slow_task = asyncio.create_task(
            client.send_request(listener.address, call("slow"), WAIT_SECONDS)
        )
        fast_reply = await client.send_request(
            listener.address, call("fast"), WAIT_SECONDS
        )
        assert fast_reply.body == b"fast"
        handler.release_events["slow"].set()
        assert (await slow_task).body == b"slow"
        assert len(listener.connections) == 1

    async def test_late_reply_to_cancelled_request_is_dropped(
        self, listener, client
    ):
        """A reply that was sent before the Cancel arrived must be dropped.

        It must neither reach the next caller nor close the connection.
        """
        await client.send_request(listener.address, call("first"), WAIT_SECONDS)
        connection = client.peers[listener.address].connection
        (peer_connection,) = listener.connections
        late_reply = messages.Envelope(
            stream=1, body=messages.Reply(body=b"old")
        )
        peer_connection.send(late_reply)
        reply = await client.send_request(
            listener.address, call("next"), WAIT_SECONDS
        )
        assert reply.body == b"next"
        assert not connection.closed

    async def test_cancelling_a_request_cancels_its_handler(
        self, handler, listener, client
    ):
        """A caller disconnects while its call runs on the peer.

        The requesting task is cancelled and sends Cancel, which cancels the
        handler on the peer and so frees its slot.
        """
        handler.release_events["held"] = asyncio.Event()
        request_task = asyncio.create_task(
            client.send_request(listener.address, call("held"), WAIT_SECONDS)
        )
        await handler.request_arrived.wait()
        request_task.cancel()
        await wait_until(lambda: handler.cancelled == ["held"])
        with pytest.raises(asyncio.CancelledError):
            await request_task

    async def test_timeout_is_raised_and_cancels_the_handler(
        self, handler, listener, client
    ):
        handler.release_events["held"] = asyncio.Event()
        await client.send_request(listener.address, call("warm"), WAIT_SECONDS)
        with pytest.raises(TimeoutError):
            await client.send_request(listener.address, call("held"), 0.01)
        await wait_until(lambda: handler.cancelled == ["held"])

    async def test_connection_lost_after_sending_is_not_unreachable(
        self, handler, listener, client
    ):
        """The peer fails while it runs a call.

        The caller must not treat the call as not run: requests that were sent
        raise PeerBrokenError, and only later ones PeerUnreachableError.
        """
        handler.release_events["held"] = asyncio.Event()
        request_task = asyncio.create_task(
            client.send_request(listener.address, call("held"), WAIT_SECONDS)
        )
        await handler.request_arrived.wait()
        await listener.close()
        with pytest.raises(errors.PeerBrokenError):
            await request_task
        for _ in range(2):
            with pytest.raises(errors.PeerUnreachableError):
                await client.send_request(
                    listener.address, call("late"), WAIT_SECONDS
                )
        assert client.peers[listener.address].consecutive_failures == 1

    async def test_handler_error_fails_only_its_request(self, listener, client):
        with pytest.raises(errors.PeerBrokenError, match="no"):
            await client.send_request(
                listener.address, call("fault"), WAIT_SECONDS
            )
        assert (
            await client.send_request(listener.address, call("a"), WAIT_SECONDS)
        ).body == b"a"

    async def test_message_above_the_limit_is_not_sent(self, listener, client):
        big = call("big", body=bytes(80_000))
        with pytest.raises(errors.PeerUnreachableError):
            await client.send_request(listener.address, big, WAIT_SECONDS)
        assert (
            await client.send_request(listener.address, call("a"), WAIT_SECONDS)
        ).body == b"a"


class TestFirstStep:
    """Handlers, which start as soon as their request is read."""

    async def test_handler_that_closes_its_connection_is_cancelled(
        self, client
    ):
        """Guards against a handler that continues after its connection closed."""
        cancelled = asyncio.Event()

        async def close_and_wait(hello, body):
            del hello, body
            (connection,) = listener.connections
            connection.close()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        listener = peers.Listener(LOOPBACK, HELLO, close_and_wait)
        await listener.start()
        with pytest.raises(errors.PeerBrokenError):
            await client.send_request(
                listener.address, call("any"), WAIT_SECONDS
            )
        await asyncio.wait_for(cancelled.wait(), WAIT_SECONDS)
        await listener.close()


class FakeTransport(asyncio.Transport):
    """A transport that records what is written."""

    def __init__(self):
        super().__init__()
        self.written: list[bytes] = []

    def get_extra_info(self, name, default=None):
        return FakeSocket() if name == "socket" else default

    def write(self, data):
        self.written.append(data)

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0


class FakeSocket:
    """A socket that ignores its options."""

    def setsockopt(self, *option):
        del option


class TestWrites:
    """Writing and reading of frames."""

    async def test_each_frame_is_written_at_once(self):
        transport = FakeTransport()
        connection = connections.Connection(HELLO, peers.Limits())
        connection.connection_made(transport)
        connection.data_received(
            wire.encode_frame(messages.Envelope(body=PEER_HELLO))
        )
        names = ("one", "two", "three")
        request_tasks = [
            asyncio.create_task(
                connection.send_request(call(name), WAIT_SECONDS)
            )
            for name in names
        ]
        await asyncio.sleep(0)
        assert transport.written[1:] == [
            wire.encode_frame(messages.Envelope(stream=number, body=call(name)))
            for number, name in enumerate(names, start=1)
        ]
        for number, task in enumerate(request_tasks, start=1):
            reply = messages.Envelope(stream=number, body=messages.Reply())
            connection.data_received(wire.encode_frame(reply))
            assert await task == messages.Reply()

    async def test_frames_may_arrive_in_any_pieces(self):
        connection = connections.Connection(HELLO, peers.Limits())
        connection.connection_made(FakeTransport())
        request_task = asyncio.create_task(
            connection.send_request(call("one"), WAIT_SECONDS)
        )
        reply = messages.Reply(body=bytes(5000))
        data = wire.encode_frame(messages.Envelope(body=PEER_HELLO))
        data += wire.encode_frame(messages.Envelope(stream=1, body=reply))
        for position in range(len(data)):
            await asyncio.sleep(0)
            connection.data_received(data[position : position + 1])
        assert await request_task == reply


class TestOlderPeer:
    """A peer of a version that ends a connection on an unknown message."""

    async def test_it_gets_no_notice(self):
        """Each crash of a backend server cuts calls to hosts not updated yet."""
        connection = connections.Connection(HELLO, peers.Limits())
        transport = FakeTransport()
        connection.connection_made(transport)
        hello = wire.encode_frame(messages.Envelope(body=PEER_HELLO))
        connection.data_received(hello)
        with pytest.raises(errors.PeerUnreachableError):
            await connection.send_request(
                messages.QuarantineNotice(), WAIT_SECONDS
            )
        assert not connection.closed

    async def test_it_gets_a_reason_that_it_knows(self):
        """Each refusal of a quarantined call cuts all calls of its host."""
        reply = messages.Reply(reason=messages.Reason.QUARANTINED)
        basenode.make_known_to_older_peer(reply)
        assert reply.reason is messages.Reason.OVERLOADED


@pytest.fixture
def account(monkeypatch):
    """Yields the account of the test."""
    account = receivedbytes.Account()
    monkeypatch.setattr(receivedbytes, "account", account)
    return account


async def begin_frame(listener, hello=None, byte_count=10_000):
    """Returns a connection on which a part of a long frame was sent.

    Without a Hello it is the first frame.
    """
    reader, writer = await asyncio.open_connection(*listener.address)
    if hello is not None:
        writer.write(wire.encode_frame(messages.Envelope(body=hello)))
    length = byte_count + 1000
    writer.write(wire.LENGTH_PREFIX.pack(length) + bytes(byte_count))
    return reader, writer


class TestReceivedBytes:
    """Long frames that are not complete."""

    async def test_stranger_goes_before_a_peer(self, listener, account):
        """Guards against ending the calls of a peer for a stranger's frame."""
        account.max_bytes = 55_000
        _, writer = await begin_frame(listener, PEER_HELLO, 50_000)
        await wait_until(lambda: account.held_bytes > 50_000)
        reader, stranger = await begin_frame(listener)
        async with asyncio.timeout(CLOSE_SECONDS):
            assert await reader.read() == b""
        await wait_until(lambda: account.held_bytes == 50_004)
        assert account.cut_count == 1
        for each in (writer, stranger):
            each.close()

    async def test_peers_do_not_fill_the_memory(self, listener, account):
        """Guards against frames, each bounded, that are too many together."""
        account.max_bytes = 80_000
        greatest, writer = await begin_frame(listener, PEER_HELLO, 50_000)
        await wait_until(lambda: account.held_bytes > 50_000)
        _, other = await begin_frame(listener, PEER_HELLO, 40_000)
        async with asyncio.timeout(CLOSE_SECONDS):
            await greatest.readuntil(b"here")
            with pytest.raises((asyncio.IncompleteReadError, OSError)):
                await greatest.readexactly(10_000)
        assert account.held_bytes == 40_004
        for each in (writer, other):
            each.close()

    async def test_nothing_stays_held(self, handler, listener, account):
        """Guards against an account that fills up with what has ended."""
        frame = wire.encode_frame(
            messages.Envelope(stream=1, body=call("whole", body=bytes(60_000)))
        )
        _, writer = await begin_frame(listener)
        await wait_until(lambda: account.held_bytes > 0)
        writer.close()
        await wait_until(lambda: account.held_bytes == 0)
        _, writer = await asyncio.open_connection(*listener.address)
        writer.write(wire.encode_frame(messages.Envelope(body=PEER_HELLO)))
        writer.write(frame[:-100])
        await wait_until(lambda: account.held_bytes > 0)
        writer.write(frame[-100:])
        await asyncio.wait_for(handler.request_arrived.wait(), WAIT_SECONDS)
        assert (account.held_bytes, account.holders) == (0, {})
        writer.close()


class TestListener:
    """Connections that a listener accepts."""

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            wire.encode_frame(messages.Envelope(stream=1, body=call("early"))),
            wire.encode_frame(
                messages.Envelope(body=messages.Hello(protocol=77))
            ),
        ],
    )
    async def test_connection_without_hello_is_closed(
        self, handler, listener, data
    ):
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(data)
        assert await asyncio.wait_for(reader.read(), WAIT_SECONDS) == b""
        assert not handler.request_arrived.is_set()
        writer.close()

    async def test_long_frame_of_a_stranger_is_not_received(self, listener):
        """Guards against strangers that fill the memory with frames."""
        reader, writer = await asyncio.open_connection(*listener.address)
        length = connections.MAX_HELLO_BYTES + 1
        writer.write(wire.LENGTH_PREFIX.pack(length) + b"x")
        async with asyncio.timeout(CLOSE_SECONDS):
            assert await reader.read() == b""
        writer.close()

    async def test_connections_above_the_limit_are_closed(self, listener):
        opened = [
            await asyncio.open_connection(*listener.address) for _ in range(3)
        ]
        await wait_until(lambda: len(listener.accepted) == 3)
        reader, writer = await asyncio.open_connection(*listener.address)
        assert await asyncio.wait_for(reader.read(), WAIT_SECONDS) == b""
        for _, each in [*opened, (reader, writer)]:
            each.close()

    async def test_incomplete_frame_closes_the_connection(self, handler):
        """Guards against a peer that holds a connection and a buffer for hours.

        It sends only a part of a frame; the listener closes the connection.
        """
        limits = peers.Limits(frame_timeout=0.05)
        listener = peers.Listener(LOOPBACK, HELLO, handler, limits=limits)
        await listener.start()
        reader, writer = await asyncio.open_connection(*listener.address)
        hello = messages.Hello(protocol=connections.PROTOCOL_VERSION)
        writer.write(wire.encode_frame(messages.Envelope(body=hello)))
        writer.write(wire.LENGTH_PREFIX.pack(100) + b"half")
        await asyncio.wait_for(reader.read(), WAIT_SECONDS)
        writer.close()
        await listener.close()

    async def test_graceful_close_sends_pending_replies(
        self, handler, listener, client
    ):
        handler.release_events["held"] = asyncio.Event()
        request_task = asyncio.create_task(
            client.send_request(listener.address, call("held"), WAIT_SECONDS)
        )
        await handler.request_arrived.wait()
        close_task = asyncio.create_task(listener.close(WAIT_SECONDS))
        await asyncio.sleep(0)
        handler.release_events["held"].set()
        assert (await request_task).body == b"held"
        await close_task

    async def test_close_ends_in_time_with_a_peer_that_does_not_read(
        self, listener
    ):
        """Guards against a stop that lasts until the process is killed."""
        _, writer = await asyncio.open_connection(*listener.address)
        writer.transport.pause_reading()
        await wait_until(lambda: listener.accepted)
        (connection,) = listener.accepted
        while not connection.has_unsent_bytes:
            connection.transport.write(bytes(1024 * 1024))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await listener.close(timeout=0.1)
        assert loop.time() - started_at < peers.CLOSE_TIMEOUT_SECONDS / 2
        await wait_until(lambda: not listener.accepted)
        writer.close()

    async def test_port_in_use_is_a_start_error(self, listener, handler):
        second = peers.Listener(listener.address, HELLO, handler)
        with pytest.raises(errors.StartError, match="cannot listen on"):
            await second.start()
