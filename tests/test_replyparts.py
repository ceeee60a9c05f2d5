"""Large replies over real connections between processes."""

import asyncio
import tracemalloc

import pytest

from mangobay import errors, options, peers, replyparts, responsestream
from mangobay.generated import messages

WINDOW = replyparts.WINDOW_BYTES
LOOPBACK = options.Address("127.0.0.1", 0)
SECONDS = 5.0
BLOCK = b"x" * responsestream.PART_BYTES


class Source:
    """A producer of one block, or of blocks without end if no length is set."""

    def __init__(self, length=None):
        self.body = responsestream.Body(length, self)
        self.was_abandoned = False
        self.body.feed(BLOCK)

    def consumed(self, byte_count):
        if self.body.length is None:
            asyncio.get_running_loop().call_soon(self.body.feed, BLOCK)

    def abandoned(self):
        self.was_abandoned = True


class Peers:
    """A client and a listener that answers each call with a large reply.

    Attributes:
      sources: bodies of the replies.
      received: calls that the listener got.
    """

    def __init__(self, length=None, takes_parts=True, stall_timeout=10.0):
        hello = messages.Hello(host="here", takes_parts=takes_parts)
        self.length = length
        self.sources = []
        self.received = []
        self.client = peers.PeerClient(hello)
        self.listener = peers.Listener(
            LOOPBACK,
            hello,
            self.handle,
            limits=peers.Limits(stall_timeout=stall_timeout),
        )

    async def __aenter__(self):
        await self.listener.start()
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        await self.listener.close()

    async def handle(self, hello, call):
        self.received.append(call)
        if not call.streamed:
            return messages.Reply(body=b"whole")
        self.sources.append(Source(self.length))
        return responsestream.StreamedReply.make(
            messages.Reply(status=200), self.sources[-1].body
        )

    async def call(self, streamed=True):
        call = messages.Call(streamed=streamed, idempotent=True)
        address = self.listener.address
        return await self.client.send_request(address, call, SECONDS)

    def connection(self):
        return self.client.peers[self.listener.address].connection


async def wait_until(condition):
    async with asyncio.timeout(SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


class TestCredit:
    """Bytes in flight or unread between two processes."""

    async def test_a_body_that_is_not_read_stops_at_the_window(self):
        """The receiver holds all that the sender has; other replies wait."""
        async with Peers() as both:
            reply = await both.call()
            await wait_until(lambda: reply.source.unread_bytes == WINDOW)
            await asyncio.sleep(0.05)
            # Otherwise a node that leaves cuts the rest off.
            assert both.listener.pending_responses
            sent = both.sources[0].body.received_bytes
            assert sent <= WINDOW + 2 * len(BLOCK)
            assert (await both.call(streamed=False)).body == b"whole"
            for _ in range(2 * WINDOW // len(BLOCK)):
                await reply.source.read(len(BLOCK))
            await wait_until(lambda: reply.source.unread_bytes == WINDOW)
            reply.source.abandon()

    async def test_a_peer_that_sends_more_than_its_credit(self):
        """A faulty sender fills the memory of the receiver."""
        async with Peers() as both:
            reply = await both.call()
            sender = next(iter(both.listener.connections)).bodies.senders[1]
            sender.add_credit(WINDOW)
            with pytest.raises(errors.ResponseCutOffError):
                await asyncio.sleep(0.2)
                await reply.source.read(1)
            assert both.connection().closed


class TestChunks:
    """How a body holds its unread bytes."""

    async def test_small_chunks_take_no_more_memory_than_large_ones(self):
        """Parts of two bytes take twenty times the memory of their bytes."""
        source = Source(len(BLOCK) + WINDOW)
        expected = bytearray(BLOCK)
        tracemalloc.start()
        try:
            for number in range(WINDOW // 2):
                source.body.feed(number.to_bytes(4, "big")[2:])
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held_bytes < 1.25 * WINDOW
        for number in range(WINDOW // 2):
            expected += number.to_bytes(4, "big")[2:]
        received = bytearray()
        while source.body.unread_bytes:
            # An odd size splits chunks.
            received += await source.body.read(1001)
        assert received == expected

    async def test_small_chunks_are_read_together(self):
        """Each part of two bytes becomes a message of its own."""
        source = Source(2 * len(BLOCK))
        for _ in range(1000):
            source.body.feed(b"ab")
        assert await source.body.read(len(BLOCK)) == BLOCK
        assert await source.body.read(len(BLOCK)) == b"ab" * 1000


class TestEnds:
    """How a body ends at both processes."""

    async def test_an_abandoned_body_is_released_at_both(self):
        """The sender keeps a body that nobody wants."""
        async with Peers() as both:
            reply = await both.call()
            reply.source.abandon()
            await wait_until(lambda: both.sources[0].was_abandoned)
            connection = both.connection()
            assert not connection.bodies.receivers
            assert not connection.tracked_requests

    async def test_a_complete_body_releases_its_stream(self):
        """The stream of a finished reply is pinged for ever."""
        async with Peers(len(BLOCK)) as both:
            reply = await both.call()
            assert reply.source.length == len(BLOCK)
            both.sources[0].body.finish()
            assert await reply.source.read(2 * len(BLOCK)) == BLOCK
            assert await reply.source.read(1) == b""
            await wait_until(lambda: not both.connection().tracked_requests)

    @pytest.mark.parametrize("length", [1, 2 * len(BLOCK)])
    async def test_a_length_that_does_not_match_is_cut_off(self, length):
        """A body with too few or too many bytes is passed off as complete."""
        source = Source(length)
        source.body.finish()
        with pytest.raises(errors.ResponseCutOffError):
            while await source.body.read(1):
                pass

    @pytest.mark.parametrize("at_peer", [True, False])
    async def test_a_lost_connection_cuts_it_off(self, at_peer):
        """The caller waits for the rest; the backend server goes on."""
        async with Peers() as both:
            reply = await both.call()
            lost = next(iter(both.listener.connections))
            (lost if at_peer else both.connection()).transport.abort()
            await wait_until(lambda: both.sources[0].was_abandoned)
            with pytest.raises(errors.ResponseCutOffError):
                while await reply.source.read(len(BLOCK)):
                    pass

    async def test_a_sender_without_credit_gives_up(self):
        """A receiver that halts keeps a slot of the backend server."""
        async with Peers(stall_timeout=0.05) as both:
            reply = await both.call()
            await wait_until(lambda: both.sources[0].was_abandoned)
            with pytest.raises(errors.ResponseCutOffError):
                while await reply.source.read(len(BLOCK)):
                    pass


class TestOlderPeer:
    """A process that does not know parts."""

    async def test_it_is_not_asked_for_parts(self):
        """Its reply would be awaited in parts that never come."""
        async with Peers(takes_parts=False) as both:
            assert (await both.call()).body == b"whole"
            assert not both.received[0].streamed
