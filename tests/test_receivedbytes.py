"""The account of received bytes."""

import asyncio
import gc

import pytest

from mangobay import (
    backendbody,
    errors,
    httpparse,
    receivedbytes,
    requestbody,
    responsestream,
)


class Reader:
    """Holds bytes; counts how often it is cut off."""

    def __init__(self, cut_last=False):
        self.cut_last = cut_last
        self.cut_count = 0

    def drop_received(self):
        self.cut_count += 1


class TestAccount:
    """Who is cut off, and what is left."""

    async def test_the_greatest_holder_goes_first(self):
        """Guards against cutting the reader that came last, however small."""
        account = receivedbytes.Account(max_bytes=100)
        great, small, last = Reader(), Reader(), Reader()
        account.hold(great, 60)
        account.hold(small, 30)
        account.hold(last, 11)
        cuts = (great.cut_count, small.cut_count, last.cut_count)
        assert cuts == (1, 0, 0)
        assert (account.held_bytes, account.cut_count) == (41, 1)

    async def test_the_newest_goes_if_it_is_the_greatest(self):
        """One that alone exceeds the bound leaves the others alone."""
        account = receivedbytes.Account(max_bytes=100)
        small, great = Reader(), Reader()
        account.hold(small, 30)
        account.hold(great, 101)
        assert (small.cut_count, great.cut_count) == (0, 1)
        assert account.held_bytes == 30

    async def test_who_serves_many_goes_last(self):
        """Guards against ending all calls on a connection for one response."""
        account = receivedbytes.Account(max_bytes=100)
        peer, other_peer = Reader(cut_last=True), Reader(cut_last=True)
        response = Reader()
        account.hold(peer, 60)
        account.hold(response, 30)
        account.hold(other_peer, 20)
        cuts = (peer.cut_count, response.cut_count, other_peer.cut_count)
        assert cuts == (0, 1, 0)
        account.hold(other_peer, 50)
        assert (peer.cut_count, other_peer.cut_count) == (1, 0)

    async def test_as_many_go_as_needed(self):
        """Guards against staying above the bound after one cut."""
        account = receivedbytes.Account(max_bytes=100)
        readers = [Reader() for _ in range(5)]
        for reader in readers[:4]:
            account.hold(reader, 25)
        account.hold(readers[4], 60)
        assert account.held_bytes <= 100
        assert readers[4].cut_count == 1

    async def test_a_holder_is_counted_once(self):
        """Guards against adding what a reader held before."""
        account = receivedbytes.Account(max_bytes=100)
        reader = Reader()
        for byte_count in (10, 90, 100, 50):
            account.hold(reader, byte_count)
            assert account.held_bytes == byte_count
        account.hold(reader, 0)
        assert (account.held_bytes, account.holders) == (0, {})
        account.hold(reader, 20)
        account.release(reader)
        account.release(reader)
        assert (account.held_bytes, account.holders) == (0, {})
        assert reader.cut_count == 0

    async def test_a_holder_that_is_gone_holds_nothing(self):
        """Guards against an account that keeps what nobody reads any more."""
        account = receivedbytes.Account(max_bytes=100)
        reader = Reader()
        account.hold(reader, 60)
        del reader
        assert (account.held_bytes, account.holders) == (0, {})


class Producer:
    """Counts how often its body is abandoned."""

    def __init__(self):
        self.abandoned_count = 0

    def consumed(self, byte_count):
        pass

    def abandoned(self):
        self.abandoned_count += 1


@pytest.fixture
def account(monkeypatch):
    """Yields the account of the test."""
    account = receivedbytes.Account(max_bytes=1000)
    monkeypatch.setattr(receivedbytes, "account", account)
    return account


class TestBodies:
    """Bodies that are passed on in parts."""

    async def test_what_is_read_is_not_held(self, account):
        """Guards against counting what was passed on."""
        body = responsestream.Body(None, Producer())
        body.feed(b"x" * 500)
        assert account.held_bytes == 500
        await body.read(200)
        assert account.held_bytes == 300
        body.finish()
        assert account.held_bytes == 300
        await body.read(300)
        assert (account.held_bytes, account.holders) == (0, {})

    @pytest.mark.parametrize(
        "end",
        [
            pytest.param(lambda body: body.cut_off("test"), id="cut-off"),
            pytest.param(lambda body: body.abandon(), id="abandoned"),
            pytest.param(
                lambda body: (body.finish(), body.abandon()),
                id="abandoned-complete",
            ),
        ],
    )
    async def test_nothing_stays_held(self, account, end):
        """Guards against an account that fills up with what has ended."""
        body = responsestream.Body(None, Producer())
        body.feed(b"x" * 500)
        end(body)
        assert (account.held_bytes, account.holders) == (0, {})

    async def test_bodies_that_are_forgotten_are_not_held(self, account):
        """Guards against the same where a call ends before it reads its body."""
        body = responsestream.Body(None, Producer())
        body.feed(b"x" * 500)
        body.finish()
        del body
        gc.collect()
        assert (account.held_bytes, account.holders) == (0, {})

    async def test_the_greatest_body_is_cut_off(self, account):
        """Guards against many bodies, each bounded, that fill the memory."""
        producer = Producer()
        great = responsestream.Body(None, producer)
        small = responsestream.Body(None, Producer())
        great.feed(b"x" * 600)
        small.feed(b"x" * 401)
        assert small.state is responsestream.State.OPEN
        assert (producer.abandoned_count, account.held_bytes) == (1, 401)
        with pytest.raises(errors.ResponseCutOffError):
            await great.read(1)

    async def test_a_cut_off_body_never_looks_complete(self, account):
        """Guards against a truncated body that ends as if it were whole."""
        producer = Producer()
        great = responsestream.Body(None, producer)
        great.feed(b"x" * 600)
        great.finish()
        small = responsestream.Body(None, Producer())
        small.feed(b"x" * 401)
        assert producer.abandoned_count == 0
        with pytest.raises(errors.ResponseCutOffError):
            await great.read(1000)

    async def test_bytes_for_another_attempt_are_held_again(self, account):
        """Guards against a body that is read again and not counted."""
        body = requestbody.RequestBody(
            None, Producer(), requestbody.ReplayBudget()
        )
        body.feed(b"x" * 500)
        await body.read(500)
        assert account.held_bytes == 0
        body.rewind()
        assert account.held_bytes == 500


class PausableTransport:
    """Records whether reading is paused."""

    def __init__(self):
        self.is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class BackendConnection:
    """A connection that carries a response."""

    def __init__(self):
        self.transport = PausableTransport()

    def drop(self):
        pass


class TestScarcity:
    """Readers that can wait while little of the account is left."""

    @pytest.mark.parametrize(
        ("others_bytes", "pauses"), [(100, False), (500, True)]
    )
    async def test_reading_waits_for_the_consumer(
        self, account, others_bytes, pauses
    ):
        """Guards against cutting a body whose backend server could wait."""
        others = Reader()
        account.hold(others, others_bytes)
        connection = BackendConnection()
        message = httpparse.Message(status=200)
        body = backendbody.BackendBody(
            connection, message, asyncio.get_running_loop()
        )
        message.body_parts.append(b"x" * 200)
        body.receive()
        assert connection.transport.is_paused is pauses
        await body.body.read(200)
        assert connection.transport.is_paused is False
        body.body.abandon()
        account.release(others)
        assert account.held_bytes == 0
