"""Connections between processes, over loopback."""

import asyncio
import socket

import pytest

from mangobay import connections, errors, options, peers, wire
from mangobay.generated import messages

HELLO = messages.Hello(host="here", role="node")
LOOPBACK = options.Address("127.0.0.1", 0)
WAIT_SECONDS = 20.0
PEER_HELLO = messages.Hello(
    host="there", role="node", protocol=connections.PROTOCOL_VERSION
)


class ScriptedHandler:
    """A handler whose answers the test holds back by operation name."""

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
async def desk():
    return ScriptedHandler()


@pytest.fixture
async def listener(desk):
    limits = peers.Limits(max_frame_bytes=70_000, max_connections=3)
    there = peers.Listener(LOOPBACK, HELLO, desk, limits=limits)
    await there.start()
    yield there
    await there.close()


@pytest.fixture
async def here():
    limits = peers.Limits(max_frame_bytes=70_000)
    asking = peers.PeerClient(HELLO, limits=limits)
    yield asking
    await asking.close()


def call(operation: str, **fields) -> messages.Call:
    return messages.Call(operation=operation, **fields)


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.001)


class TestConnecting:
    """The way to a host that just starts."""

    async def test_a_lost_first_packet_costs_no_second(self, desk, here):
        """After a power failure nodes stay without routes for a second.

        They ask before the control host can answer; the packet is lost, and
        the kernel sends it again after a second.  Here the queue of a
        listener is full at first, which drops the packet as well.
        """
        loop = asyncio.get_running_loop()
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = options.Address(*full.getsockname())
            waiting = [socket.socket() for _ in range(3)]
            for other in waiting:
                other.setblocking(False)
                other.connect_ex(tuple(full.getsockname()))
            asking = asyncio.create_task(send_until_answered(here, address))
            began = loop.time()
            await asyncio.sleep(0.15)
            for other in waiting:
                other.close()
            full.setblocking(False)
            server = await asyncio.start_server(serve_first_request, sock=full)
            await asking
            assert loop.time() - began < 0.85
            server.close()


async def send_until_answered(here, address):
    """Asks again and again, as whoever needs an answer does."""
    while True:
        try:
            return await here.send_request(address, call("now"), WAIT_SECONDS)
        except errors.PeerError:
            await asyncio.sleep(0.01)


async def serve_first_request(reader, writer):
    """Answers the first request of a connection."""
    frames = wire.FrameDecoder()
    while data := await reader.read(1000):
        frames.feed(data)
        while (asked := frames.next_envelope()) is not None:
            answer = messages.Envelope(body=PEER_HELLO)
            if isinstance(asked.body, messages.Call):
                answer = messages.Envelope(
                    stream=asked.stream, body=messages.Reply()
                )
            writer.write(wire.encode_frame(answer))
    writer.close()


class TestUnresponsivePeer:
    """A peer that does not answer, on a connection that stands."""

    async def stop_reading(self, desk, listener, here):
        """Makes the peer's only connection silent."""
        assert (
            await here.send_request(
                listener.address, call("first"), WAIT_SECONDS
            )
        ).body
        (theirs,) = listener.connections
        theirs.transport.pause_reading()

    async def test_what_may_be_sent_again_is_given_up(
        self, desk, listener, here
    ):
        """Readers of one host wait for seconds, again and again.

        The way to another host has gone silent without a reset: each request
        waits there until its deadline, and each new one goes there too.
        """
        await self.stop_reading(desk, listener, here)
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(errors.PeerBrokenError):
            await here.send_request(
                listener.address, call("read", idempotent=True), WAIT_SECONDS
            )
        assert loop.time() - began < WAIT_SECONDS / 2
        reply = await here.send_request(
            listener.address, call("next"), WAIT_SECONDS
        )
        assert reply.body == b"next"

    async def test_a_booking_goes_on_waiting(self, desk, listener, here):
        """A caller is told that its booking may have run, though it did well.

        The peer stands still for longer than others wait, wakes, and answers.
        """
        desk.release_events["book"] = asyncio.Event()
        booking = asyncio.create_task(
            here.send_request(listener.address, call("book"), WAIT_SECONDS)
        )
        await wait_until(
            lambda: (
                "book" in desk.release_events and desk.request_arrived.is_set()
            )
        )
        (theirs,) = listener.connections
        theirs.transport.pause_reading()
        await asyncio.sleep(connections.UNRESPONSIVE_AFTER_SECONDS * 2)
        assert not booking.done()
        theirs.transport.resume_reading()
        desk.release_events["book"].set()
        assert (await booking).body == b"book"

    async def test_a_peer_that_works_for_long_is_not_silent(
        self, desk, listener, here
    ):
        desk.release_events["slow"] = asyncio.Event()
        asking = asyncio.create_task(
            here.send_request(
                listener.address, call("slow", idempotent=True), WAIT_SECONDS
            )
        )
        await asyncio.sleep(connections.UNRESPONSIVE_AFTER_SECONDS * 2)
        assert not asking.done()
        desk.release_events["slow"].set()
        assert (await asking).body == b"slow"


class TestLivenessCheck:
    """What looking for silence costs."""

    async def test_calls_to_many_peers_share_a_timer(self, desk, here):
        """Guards against a wake for each call in a fleet of any size."""
        listeners = [peers.Listener(LOOPBACK, HELLO, desk) for _ in range(20)]
        desk.release_events["slow"] = asyncio.Event()
        for each in listeners:
            await each.start()
        asking = [
            asyncio.create_task(
                here.send_request(each.address, call("slow"), WAIT_SECONDS)
            )
            for each in listeners
        ]
        await wait_until(
            lambda: len(here.liveness_check.items) == len(listeners)
        )
        lines = {peer.connection for peer in here.peers.values()}
        assert here.liveness_check.items == lines
        desk.release_events["slow"].set()
        await asyncio.gather(*asking)
        assert here.liveness_check.timer is None
        for each in listeners:
            await each.close()


class TestIdleConnections:
    """Connections that nobody asks on."""

    async def test_an_idle_connection_is_ended_and_made_again(
        self, desk, listener
    ):
        """One peer is asked once; an answer of another comes very late.

        The connection to the first is ended after a while and the next
        request makes a new one.  The second, on which somebody waits, stays.
        """
        busy = peers.Listener(LOOPBACK, HELLO, desk)
        await busy.start()
        desk.release_events["slow"] = asyncio.Event()
        limits = peers.Limits(idle_timeout=0.1)
        asking = peers.PeerClient(HELLO, limits=limits)
        slow = asyncio.create_task(
            asking.send_request(busy.address, call("slow"), WAIT_SECONDS)
        )
        await asking.send_request(listener.address, call("fast"), WAIT_SECONDS)
        await wait_until(lambda: not listener.connections)
        assert list(asking.peers) == [busy.address]
        answer = await asking.send_request(
            listener.address, call("again"), WAIT_SECONDS
        )
        assert answer.body == b"again"
        desk.release_events["slow"].set()
        assert (await slow).body == b"slow"
        await asking.close()
        await busy.close()


class TestSendRequest:
    """One connection, many streams."""

    async def test_answers_out_of_order_reach_their_own_request(
        self, desk, listener, here
    ):
        """Two callers share a connection; the first one's answer is slow.

        The second answer overtakes the first on the wire.  Each caller must
        see its own answer, whatever the order.
        """
        desk.release_events["slow"] = asyncio.Event()
        slow = asyncio.create_task(
            here.send_request(listener.address, call("slow"), WAIT_SECONDS)
        )
        fast = await here.send_request(
            listener.address, call("fast"), WAIT_SECONDS
        )
        assert fast.body == b"fast"
        desk.release_events["slow"].set()
        assert (await slow).body == b"slow"
        assert len(listener.connections) == 1

    async def test_a_late_answer_to_a_given_up_stream_is_dropped(
        self, listener, here
    ):
        """The caller gives up, and the answer crosses the Cancel.

        The answer arrives on a stream nobody waits on.  It must vanish, not
        reach the next caller and not end the connection.
        """
        await here.send_request(listener.address, call("first"), WAIT_SECONDS)
        connection = here.peers[listener.address].connection
        (there,) = listener.connections
        stray = messages.Envelope(stream=1, body=messages.Reply(body=b"old"))
        there.send(stray)
        answer = await here.send_request(
            listener.address, call("next"), WAIT_SECONDS
        )
        assert answer.body == b"next"
        assert not connection.closed

    async def test_giving_up_cancels_the_handler(self, desk, listener, here):
        """A caller hangs up while its call runs on the peer.

        The asking task is cancelled, Cancel goes out, and the task that
        answers there is cancelled: its slot is free again.
        """
        desk.release_events["held"] = asyncio.Event()
        asking = asyncio.create_task(
            here.send_request(listener.address, call("held"), WAIT_SECONDS)
        )
        await desk.request_arrived.wait()
        asking.cancel()
        await wait_until(lambda: desk.cancelled == ["held"])
        with pytest.raises(asyncio.CancelledError):
            await asking

    async def test_a_timeout_says_so_and_cancels(self, desk, listener, here):
        desk.release_events["held"] = asyncio.Event()
        await here.send_request(listener.address, call("warm"), WAIT_SECONDS)
        with pytest.raises(TimeoutError):
            await here.send_request(listener.address, call("held"), 0.01)
        await wait_until(lambda: desk.cancelled == ["held"])

    async def test_a_break_after_sending_is_broken_not_unreachable(
        self, desk, listener, here
    ):
        """The peer dies while it runs a call.

        The caller must not take this for a call that was not run: sent
        requests break, and only what comes after is unreachable.
        """
        desk.release_events["held"] = asyncio.Event()
        asking = asyncio.create_task(
            here.send_request(listener.address, call("held"), WAIT_SECONDS)
        )
        await desk.request_arrived.wait()
        await listener.close()
        with pytest.raises(errors.PeerBrokenError):
            await asking
        for _ in range(2):
            with pytest.raises(errors.PeerUnreachableError):
                await here.send_request(
                    listener.address, call("late"), WAIT_SECONDS
                )
        assert here.peers[listener.address].consecutive_failures == 1

    async def test_a_fault_of_the_handler_breaks_only_its_stream(
        self, listener, here
    ):
        with pytest.raises(errors.PeerBrokenError, match="no"):
            await here.send_request(
                listener.address, call("fault"), WAIT_SECONDS
            )
        assert (
            await here.send_request(listener.address, call("a"), WAIT_SECONDS)
        ).body == b"a"

    async def test_a_message_above_the_limit_is_not_sent(self, listener, here):
        big = call("big", body=bytes(80_000))
        with pytest.raises(errors.PeerUnreachableError):
            await here.send_request(listener.address, big, WAIT_SECONDS)
        assert (
            await here.send_request(listener.address, call("a"), WAIT_SECONDS)
        ).body == b"a"


class TestFirstStep:
    """Work that starts in the moment in which its request is read."""

    async def test_it_is_cancelled_where_it_ends_its_connection(self, here):
        """Guards against work that goes on though nobody can stop it."""
        cancelled = asyncio.Event()

        async def close_and_wait(hello, body):
            del hello, body
            (line,) = there.connections
            line.close()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        there = peers.Listener(LOOPBACK, HELLO, close_and_wait)
        await there.start()
        with pytest.raises(errors.PeerBrokenError):
            await here.send_request(there.address, call("any"), WAIT_SECONDS)
        await asyncio.wait_for(cancelled.wait(), WAIT_SECONDS)
        await there.close()


class FakeTransport(asyncio.Transport):
    """A transport that keeps what is written."""

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
    """A socket whose options nobody looks at."""

    def setsockopt(self, *option):
        del option


class TestWrites:
    """When frames leave."""

    async def test_each_frame_goes_at_once(self):
        transport = FakeTransport()
        line = connections.Connection(HELLO, peers.Limits())
        line.connection_made(transport)
        line.data_received(
            wire.encode_frame(messages.Envelope(body=PEER_HELLO))
        )
        names = ("one", "two", "three")
        asking = [
            asyncio.create_task(line.send_request(call(name), WAIT_SECONDS))
            for name in names
        ]
        await asyncio.sleep(0)
        assert transport.written[1:] == [
            wire.encode_frame(messages.Envelope(stream=number, body=call(name)))
            for number, name in enumerate(names, start=1)
        ]
        for number, task in enumerate(asking, start=1):
            answer = messages.Envelope(stream=number, body=messages.Reply())
            line.data_received(wire.encode_frame(answer))
            assert await task == messages.Reply()

    async def test_bytes_come_in_any_pieces(self):
        line = connections.Connection(HELLO, peers.Limits())
        line.connection_made(FakeTransport())
        asking = asyncio.create_task(
            line.send_request(call("one"), WAIT_SECONDS)
        )
        answer = messages.Reply(body=bytes(5000))
        data = wire.encode_frame(messages.Envelope(body=PEER_HELLO))
        data += wire.encode_frame(messages.Envelope(stream=1, body=answer))
        for position in range(len(data)):
            await asyncio.sleep(0)
            line.data_received(data[position : position + 1])
        assert await asking == answer


class TestListener:
    """What a stranger gets."""

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
    async def test_who_does_not_greet_gets_nothing(self, desk, listener, data):
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(data)
        assert await asyncio.wait_for(reader.read(), WAIT_SECONDS) == b""
        assert not desk.request_arrived.is_set()
        writer.close()

    async def test_connections_above_the_limit_are_closed(self, listener):
        held = [
            await asyncio.open_connection(*listener.address) for _ in range(3)
        ]
        await wait_until(lambda: listener.accepted_count == 3)
        reader, writer = await asyncio.open_connection(*listener.address)
        assert await asyncio.wait_for(reader.read(), WAIT_SECONDS) == b""
        for _, each in [*held, (reader, writer)]:
            each.close()

    async def test_a_sender_that_stops_inside_a_frame_is_closed(self, desk):
        """A peer sends half a frame and then a byte now and then.

        It would hold a connection and a buffer for hours.  The listener
        ends it, and the next process connects as usual.
        """
        limits = peers.Limits(frame_timeout=0.05)
        there = peers.Listener(LOOPBACK, HELLO, desk, limits=limits)
        await there.start()
        reader, writer = await asyncio.open_connection(*there.address)
        greeting = messages.Hello(protocol=connections.PROTOCOL_VERSION)
        writer.write(wire.encode_frame(messages.Envelope(body=greeting)))
        writer.write(wire.LENGTH_PREFIX.pack(100) + b"half")
        await asyncio.wait_for(reader.read(), WAIT_SECONDS)
        writer.close()
        await there.close()

    async def test_a_graceful_close_lets_answers_out(
        self, desk, listener, here
    ):
        desk.release_events["held"] = asyncio.Event()
        asking = asyncio.create_task(
            here.send_request(listener.address, call("held"), WAIT_SECONDS)
        )
        await desk.request_arrived.wait()
        closing = asyncio.create_task(listener.close(WAIT_SECONDS))
        await asyncio.sleep(0)
        desk.release_events["held"].set()
        assert (await asking).body == b"held"
        await closing

    async def test_a_port_in_use_is_one_clear_error(self, listener, desk):
        second = peers.Listener(listener.address, HELLO, desk)
        with pytest.raises(errors.StartError, match="cannot listen on"):
            await second.start()
