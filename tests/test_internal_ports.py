"""Ports that no caller uses: what strangers can make them hold."""

import asyncio
import contextlib

import pytest

from mangobay import httpparse, leanhttp, leanserver, metricspage, options

LOOPBACK = options.Address("127.0.0.1", 0)
PIECE_BYTES = 64 * 1024
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
WAIT_SECONDS = 5.0


async def respond(request, connection):
    """Responds at once."""
    del connection
    return leanhttp.Response(status=200, body=request.body)


@contextlib.asynccontextmanager
async def listening(limits, handle=respond):
    """Yields a listener."""
    listener = leanserver.Listener(LOOPBACK, handle, limits)
    await listener.start()
    try:
        yield listener
    finally:
        await listener.close()


async def send(listener, data):
    """Returns the status line of the response to some bytes, and the rest."""
    reader, writer = await asyncio.open_connection(*listener.address)
    writer.write(data)
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
        rest = await reader.read()
    writer.close()
    return head.partition(b"\r\n")[0], rest


class TestBodies:
    """Bodies that a port does not expect, or above what it expects."""

    @pytest.mark.parametrize(
        "framing",
        [
            b"Content-Length: 1\r\n\r\n",
            b"Content-Length: 1000000000000\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n1\r\n",
        ],
    )
    async def test_body_is_refused_by_a_port_without_bodies(self, framing):
        """Guards against ports that take in bodies which they never use."""
        async with listening(leanserver.Limits()) as listener:
            status, rest = await send(
                listener, HEAD + b"Connection: close\r\n" + framing + b"x"
            )
        assert status == b"HTTP/1.1 413 Request Entity Too Large"
        assert rest == b""

    async def test_requests_without_body_are_served(self):
        async with listening(leanserver.Limits()) as listener:
            for extra in (
                b"",
                b"Content-Length: 0\r\n",
                b"Transfer-Encoding: chunked\r\n",
            ):
                status, _ = await send(
                    listener,
                    HEAD
                    + b"Connection: close\r\n"
                    + extra
                    + (b"\r\n0\r\n\r\n" if b"chunked" in extra else b"\r\n"),
                )
                assert status == b"HTTP/1.1 200 OK"

    async def test_endless_body_is_refused_and_no_longer_read(self):
        """Guards against connections that are read as long as bytes come."""
        async with listening(leanserver.Limits(max_body_bytes=100)) as listener:
            reader, writer = await asyncio.open_connection(*listener.address)
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            status = asyncio.create_task(reader.readline())
            chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
            async with asyncio.timeout(WAIT_SECONDS):
                with pytest.raises(ConnectionError):
                    while True:
                        writer.write(chunk)
                        await writer.drain()
            assert b" 413 " in await status
            assert not listener.connections


class Sender:
    """A connection that sends parts of requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        """Sends bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_head(self):
        """Returns the head of the next response."""
        async with asyncio.timeout(WAIT_SECONDS):
            return await self.reader.readuntil(b"\r\n\r\n")


class Port:
    """A listener, and the senders that are connected to it."""

    def __init__(self, listener):
        self.listener = listener
        self.senders = []

    @property
    def memory(self):
        """What the requests of the listener hold."""
        return self.listener.request_memory

    async def connect(self):
        """Returns a sender that has sent nothing."""
        address = self.listener.address
        self.senders.append(Sender(*await asyncio.open_connection(*address)))
        return self.senders[-1]

    async def begin(self, size, sent):
        """Returns a sender whose first bytes of a body were read."""
        sender = await self.connect()
        data = request_of(size)[: sent - size or None]
        await sender.send(data)
        await wait_until(lambda: len(data) in self.memory.sizes.values())
        return sender


@contextlib.asynccontextmanager
async def open_port(limits, handle=respond):
    """Yields a port."""
    async with listening(limits, handle) as listener:
        port = Port(listener)
        try:
            yield port
        finally:
            for sender in port.senders:
                sender.writer.transport.abort()


def request_of(size):
    """Returns a request with a body."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


async def wait_until(check):
    """Returns once a condition is met."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not check():
            await asyncio.sleep(0.01)


class TestRequestMemory:
    """What all requests of a port hold together."""

    LIMITS = leanserver.Limits(
        max_head_bytes=100_000,
        max_body_bytes=200_000,
        max_request_bytes=300_000,
    )

    async def test_request_that_holds_most_is_refused(self):
        """Guards against stalled senders that keep out those who send little."""
        async with open_port(self.LIMITS) as port:
            largest = await port.begin(200_000, 150_000)
            other = await port.begin(190_000, 120_000)
            small = await port.begin(100, 10)
            late = await port.begin(60_000, 40_000)
            head = await largest.read_head()
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: " in head
            assert b"Connection: close" in head
            await late.send(b"x" * 20_000)
            await small.send(b"x" * 90)
            await other.send(b"x" * 70_000)
            for sender in (late, small, other):
                assert (await sender.read_head()).startswith(b"HTTP/1.1 200 ")
            await wait_until(lambda: not port.memory.held_bytes)

    async def test_refused_sender_that_sends_on_reads_its_response(self):
        """Guards against a reset that discards the refusal."""
        async with open_port(self.LIMITS) as port:
            sender = await port.begin(200_000, 150_000)
            await port.begin(200_000, 140_000)
            await port.begin(200_000, 20_000)
            await sender.send(b"x" * 50_000)
            head = await sender.read_head()
            assert head.startswith(b"HTTP/1.1 503 ")

    async def test_incomplete_heads_are_bounded(self):
        """Guards against heads that are kept without bound for all together."""
        header = b"X-Any: %b\r\n" % (b"x" * 10_000)
        async with open_port(self.LIMITS) as port:
            senders = [await port.connect() for _ in range(10)]
            for sender in senders:
                await sender.send(HEAD + header * 9)
            reads = [
                asyncio.create_task(sender.read_head()) for sender in senders
            ]
            await wait_until(lambda: sum(read.done() for read in reads) == 7)
            for read in reads:
                if read.done():
                    assert read.result().startswith(b"HTTP/1.1 503 ")
                read.cancel()
            assert len(port.memory.sizes) == 3
            assert port.memory.held_bytes <= port.memory.max_bytes

    async def test_requests_that_are_handled_are_not_refused(self):
        """Guards against refusing a request that may have had its effect."""
        release = asyncio.Event()

        async def handle(request, connection):
            del request, connection
            await release.wait()
            return leanhttp.Response(status=200)

        async with open_port(self.LIMITS, handle) as port:
            handled = await port.begin(200_000, 200_000)
            incomplete = await port.connect()
            await incomplete.send(request_of(200_000)[:110_000])
            head = await incomplete.read_head()
            assert head.startswith(b"HTTP/1.1 503 ")
            release.set()
            head = await handled.read_head()
            assert head.startswith(b"HTTP/1.1 200 ")

    @pytest.mark.parametrize("byte_count", [20, 150_000])
    async def test_memory_is_released_with_the_connection(self, byte_count):
        async with open_port(self.LIMITS) as port:
            sender = await port.connect()
            await sender.send(request_of(200_000)[:byte_count])
            await wait_until(lambda: port.memory.held_bytes == byte_count)
            sender.writer.transport.abort()
            await wait_until(lambda: not port.memory.held_bytes)


class TestPipelining:
    """Requests that come before the response to the one before them."""

    async def test_only_the_first_of_many_requests_is_handled(self):
        """Guards against thousands of responses to the bytes of one read."""
        paths = []

        async def handle(request, connection):
            del connection
            paths.append(request.path)
            return leanhttp.Response(status=200)

        async with open_port(leanserver.internal_limits(0), handle) as port:
            sender = await port.connect()
            await sender.send(
                b"".join(
                    b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number
                    for number in range(1000)
                )
            )
            head = await sender.read_head()
            assert head.startswith(b"HTTP/1.1 200 ")
            assert b"Connection: close" in head
            assert await sender.reader.read() == b""
            assert paths == ["/0"]

    async def test_requests_behind_the_first_are_not_parsed(self, monkeypatch):
        """Guards against parsing thousands of requests that are not handled."""
        parsed = []
        read_start_line = httpparse.RequestParser.read_start_line

        def record(parser, message):
            parsed.append(message)
            read_start_line(parser, message)

        monkeypatch.setattr(httpparse.RequestParser, "read_start_line", record)
        async with open_port(leanserver.internal_limits(0)) as port:
            sender = await port.connect()
            await sender.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 1000)
            await sender.read_head()
            assert await sender.reader.read() == b""
            assert len(parsed) < 200

    async def test_only_the_first_of_large_requests_is_handled(self):
        """Guards against handling a request for each piece that is parsed."""
        paths = []

        async def handle(request, connection):
            del connection
            paths.append(request.path)
            return leanhttp.Response(status=200)

        request = b"GET /%d HTTP/1.1\r\nHost: h\r\nX-Any: %b\r\n\r\n"
        async with open_port(leanserver.internal_limits(0), handle) as port:
            sender = await port.connect()
            await sender.send(
                b"".join(request % (n, b"x" * 5000) for n in range(10))
            )
            await sender.read_head()
            assert await sender.reader.read() == b""
            assert paths == ["/0"]

    async def test_request_behind_one_that_is_handled(self):
        """Guards against handling many slow requests of one connection."""
        paths = []
        release = asyncio.Event()

        async def handle(request, connection):
            del connection
            paths.append(request.path)
            await release.wait()
            return leanhttp.Response(status=200)

        async with open_port(leanserver.internal_limits(0), handle) as port:
            sender = await port.connect()
            await sender.send(b"GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
            await wait_until(lambda: paths)
            await sender.send(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            (connection,) = port.listener.connections
            await wait_until(lambda: connection.closing)
            release.set()
            assert b"Connection: close" in await sender.read_head()
            assert await sender.reader.read() == b""
            assert paths == ["/0"]

    async def test_requests_in_turn_share_a_connection(self):
        async with open_port(leanserver.internal_limits(100)) as port:
            sender = await port.connect()
            for _ in range(3):
                await sender.send(request_of(5))
                head = await sender.read_head()
                assert b"Connection: close" not in head
                assert await sender.reader.readexactly(5) == b"xxxxx"


class TestConnections:
    """More connections than a port takes."""

    LIMITS = leanserver.Limits(
        max_body_bytes=1000, max_connections=3, pipelining=False
    )

    @pytest.mark.parametrize("sent", [b"", b"GET / HT", request_of(1000)[:-9]])
    async def test_stalled_connections_keep_out_nobody(self, sent):
        """Guards against strangers that take all connections of a port."""
        async with open_port(self.LIMITS) as port:
            served = await port.connect()
            await served.send(request_of(0))
            await served.read_head()
            for _ in range(10):
                stalled = await port.connect()
                await stalled.send(sent)
                await wait_until(lambda: self.newest_has_read(port, sent))
            late = await port.connect()
            for sender in (late, served):
                await sender.send(request_of(0))
                head = await sender.read_head()
                assert head.startswith(b"HTTP/1.1 200 ")
            await wait_until(lambda: len(port.listener.connections) <= 3)

    async def test_refused_connections_are_closed_first(self):
        """Guards against endless senders that displace those who begin."""
        async with open_port(self.LIMITS) as port:
            fresh = await port.connect()
            await wait_until(lambda: self.newest_has_read(port, b""))
            for _ in range(10):
                endless = await port.connect()
                await endless.send(request_of(100_000))
                head = await endless.read_head()
                assert head.startswith(b"HTTP/1.1 413 ")
            await fresh.send(request_of(0))
            head = await fresh.read_head()
            assert head.startswith(b"HTTP/1.1 200 ")

    def newest_has_read(self, port, sent):
        """Returns whether the newest connection is open and has read bytes."""
        sock = port.senders[-1].writer.get_extra_info("socket")
        for each in port.listener.connections:
            peer = each.transport.get_extra_info("peername")
            if peer == sock.getsockname():
                is_partial = each.parser.in_head or bool(each.exchanges)
                return is_partial == bool(sent)
        return False

    async def test_handled_requests_keep_their_connections(self):
        """Guards against closing connections whose responses are due."""
        release = asyncio.Event()

        async def handle(request, connection):
            del request, connection
            await release.wait()
            return leanhttp.Response(status=200)

        async with open_port(self.LIMITS, handle) as port:
            senders = [await port.connect() for _ in range(3)]
            for sender in senders:
                await sender.send(request_of(5))
            await wait_until(
                lambda: (
                    sum(
                        len(each.exchanges)
                        for each in port.listener.connections
                    )
                    == 3
                )
            )
            late = await port.connect()
            assert await late.reader.read() == b""
            release.set()
            for sender in senders:
                head = await sender.read_head()
                assert head.startswith(b"HTTP/1.1 200 ")


class TestMetricsPage:
    """Requests for the metrics."""

    async def test_many_requests_render_few_pages(self, monkeypatch):
        """Guards against strangers that keep a process busy with its metrics."""
        monkeypatch.setattr(metricspage, "RENDER_INTERVAL_SECONDS", 60.0)
        pages = []

        def render():
            pages.append(b"page %d" % len(pages))
            return pages[-1]

        handle = metricspage.make_handler(render)
        async with open_port(leanserver.internal_limits(0), handle) as port:
            sender = await port.connect()
            for number in range(10):
                await sender.send(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
                await sender.read_head()
                page = await sender.reader.readexactly(6)
                assert page == b"page %d" % min(number, 3)
        assert len(pages) == 4

    async def test_page_is_rendered_again(self, monkeypatch):
        monkeypatch.setattr(metricspage, "RENDER_INTERVAL_SECONDS", 0.0)
        page = metricspage.Page(iter(range(10)).__next__)
        assert [page.update() for _ in range(10)] == list(range(10))
