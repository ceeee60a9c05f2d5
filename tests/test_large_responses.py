"""Large responses through real nodes, and what ends them midway."""

import asyncio
import itertools
import pathlib
import signal
import socket

import platformfakes
import pytest

ENTRY_NODE, SERVING_NODE = 11, 12
SERVICE = "a"
MEGABYTE = 1024 * 1024
BLOCK = bytes(range(256)) * 128
MANY_BYTES = 64 * MEGABYTE
RELEASE_SECONDS = 0.5
"""Time in which everything is released once a caller has disconnected."""
PROMPT_SECONDS = 3.0
"""Time in which a caller learns that its response was cut off; the silence of
another node is noticed after a second."""


class LargeBackend(platformfakes.BackendServer):
    """Responds with a large body.

    Attributes:
      size: bytes of the body.
      declared: value of Content-Length; None for a chunked body.
      stop_after: bytes after which the connection is closed.
      sent_bytes: bytes written so far, of all responses.
      open_responses: responses being written.
    """

    size = MANY_BYTES
    declared: int | None = MANY_BYTES
    stop_after: int | None = None

    def __init__(self, *args):
        super().__init__(*args)
        self.sent_bytes = 0
        self.open_responses = 0

    async def respond(self, writer, attempt_id):
        framing = (
            "Transfer-Encoding: chunked"
            if self.declared is None
            else f"Content-Length: {self.declared}"
        )
        head = (
            f"HTTP/1.1 200 OK\r\nX-Mangobay-Attempt-Id: {attempt_id}\r\n"
            f"X-Mangobay-Response-Signature: s\r\n{framing}\r\n\r\n"
        )
        writer.write(head.encode())
        self.open_responses += 1
        try:
            await self.write_body(writer)
        finally:
            self.open_responses -= 1

    async def write_body(self, writer):
        sent = 0
        while sent < self.size:
            if self.stop_after is not None and sent >= self.stop_after:
                writer.close()
                raise ConnectionResetError
            block = BLOCK[: self.size - sent]
            sent += len(block)
            self.sent_bytes += len(block)
            chunk = b"%x\r\n%b\r\n" % (len(block), block)
            writer.write(chunk if self.declared is None else block)
            await writer.drain()
        if self.declared is None:
            writer.write(b"0\r\n\r\n")


class Download:
    """A caller's connection on which one response is read."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.head = ""

    async def read_head(self):
        async with asyncio.timeout(platformfakes.WAIT_SECONDS):
            head = await self.reader.readuntil(b"\r\n\r\n")
        self.head = head.decode().lower()
        return int(self.head.split()[1])

    async def read_rest(self):
        """Returns the size of the body, and whether it is complete."""
        size = 0
        try:
            async with asyncio.timeout(platformfakes.WAIT_SECONDS):
                if "chunked" in self.head:
                    return await self.read_chunks()
                length = int(
                    self.head.partition("content-length: ")[2].split()[0]
                )
                while size < length:
                    data = await self.reader.read(MEGABYTE)
                    if not data:
                        return size, False
                    assert data == expected_bytes(size, len(data))
                    size += len(data)
                return size, True
        except (ConnectionError, asyncio.IncompleteReadError):
            return size, False

    async def read_chunks(self):
        size = 0
        while length := int(await self.reader.readuntil(b"\r\n"), 16):
            data = (await self.reader.readexactly(length + 2))[:-2]
            assert data == expected_bytes(size, length)
            size += length
        await self.reader.readexactly(2)
        return size, True

    def disconnect(self):
        self.writer.transport.abort()


def expected_bytes(offset, length):
    """Returns a piece of the body."""
    start = offset % len(BLOCK)
    return (BLOCK * (length // len(BLOCK) + 2))[start : start + length]


async def download(fleet, number, name, seconds=8.0):
    """Sends a request on a connection with a small buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    sock.setblocking(False)
    address = (fleet.ip(number), platformfakes.OUTSIDE)
    await asyncio.get_running_loop().sock_connect(sock, address)
    opened = Download(*await asyncio.open_connection(sock=sock, limit=16384))
    opened.writer.write(
        platformfakes.request_bytes(SERVICE, name, int(seconds * 1000))
    )
    return opened


async def gauge(fleet, number, name):
    """Returns the value of a gauge of a node."""
    response = await platformfakes.send_request(
        fleet.ip(number),
        platformfakes.METRICS,
        b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    )
    for line in response.body.decode().splitlines():
        if line.startswith(f"mangobay_{name} "):
            return float(line.split()[1])
    raise AssertionError(f"no gauge {name}: {response}")


def peak_bytes(process):
    """Returns the peak resident memory of a process."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


@pytest.fixture
async def fleet(tmp_path):
    """A control host, an entry node, and a node with the backend server."""
    names = itertools.count()
    async with platformfakes.Fleet(tmp_path, 1, 1) as started:
        started.backend_class = LargeBackend
        started.start_control(1)
        await started.start_node(ENTRY_NODE, "b")
        serving = await started.start_node(SERVING_NODE, SERVICE)
        serving.size = serving.declared = 10

        async def accepted():
            response = await started.replace_config(
                1, 1, [SERVICE, "b"], "0", route_type="download"
            )
            return response.status == 200

        async def served():
            name = f"try-{next(names)}"
            response = await started.request(ENTRY_NODE, SERVICE, name)
            return response.status == 200

        await platformfakes.wait_until(accepted)
        await platformfakes.wait_until(served)
        for number in (ENTRY_NODE, SERVING_NODE):
            # The first metrics load the exporter, which takes time and memory.
            await gauge(started, number, "running")
        serving.size = serving.declared = MANY_BYTES
        serving.sent_bytes = 0
        started.serving = serving
        yield started


async def released(fleet):
    """Returns whether no node and no backend server holds a response."""
    held = [
        await gauge(fleet, number, name)
        for number in (ENTRY_NODE, SERVING_NODE)
        for name in ("large_responses_open", "running")
    ]
    return not any(held) and not fleet.serving.open_responses


class TestComplete:
    """Responses that arrive whole."""

    @pytest.mark.parametrize("number", [ENTRY_NODE, SERVING_NODE])
    @pytest.mark.parametrize("declared", [3 * MEGABYTE + 7, None])
    async def test_the_body_arrives_with_its_framing(
        self, fleet, number, declared
    ):
        """A byte is lost, or the length; on one and on two nodes."""
        fleet.serving.size = 3 * MEGABYTE + 7
        fleet.serving.declared = declared
        opened = await download(fleet, number, "whole")
        assert await opened.read_head() == 200
        assert await opened.read_rest() == (fleet.serving.size, True)
        assert ("chunked" in opened.head) == (declared is None)
        again = platformfakes.request_bytes(SERVICE, "again", 8000)
        opened.writer.write(again)
        assert await opened.read_head() == 200
        assert await opened.read_rest() == (fleet.serving.size, True)
        await platformfakes.wait_until(lambda: released(fleet), 2.0)

    async def test_it_may_outlast_the_deadline(self, fleet):
        """The deadline is taken for the end of the body, not for its head."""
        fleet.serving.size = fleet.serving.declared = 16 * MEGABYTE
        opened = await download(fleet, ENTRY_NODE, "late", seconds=1.0)
        assert await opened.read_head() == 200
        await asyncio.sleep(1.5)
        assert await opened.read_rest() == (16 * MEGABYTE, True)


class TestSlowCallers:
    """Callers that read slowly, or not at all."""

    async def test_reading_from_the_backend_server_stops(self, fleet):
        """A node reads all of a response that its caller does not read."""
        opened = await download(fleet, ENTRY_NODE, "slow")
        assert await opened.read_head() == 200
        await asyncio.sleep(1.0)
        sent = fleet.serving.sent_bytes
        await asyncio.sleep(0.5)
        assert fleet.serving.sent_bytes == sent < MANY_BYTES
        for number in (ENTRY_NODE, SERVING_NODE):
            held = await gauge(fleet, number, "large_responses_unread_bytes")
            assert 0 < held <= 320 * 1024
        assert await gauge(fleet, SERVING_NODE, "running") == 1
        opened.disconnect()

    @pytest.mark.parametrize("number", [ENTRY_NODE, SERVING_NODE])
    async def test_all_is_released_when_the_caller_disconnects(
        self, fleet, number
    ):
        """The slot and the memory stay with a caller that has gone."""
        opened = await download(fleet, number, "gone")
        assert await opened.read_head() == 200
        await asyncio.sleep(0.5)
        opened.disconnect()
        await asyncio.sleep(RELEASE_SECONDS)
        assert await released(fleet)

    async def test_a_pipelined_one_waits_for_the_one_before(self, fleet):
        """It holds a slot without being read, and is cut off for that."""
        opened = await download(fleet, ENTRY_NODE, "one")
        assert await opened.read_head() == 200
        opened.writer.write(platformfakes.request_bytes(SERVICE, "two", 8000))
        await asyncio.sleep(0.3)
        assert fleet.serving.open_responses == 1
        assert "two" not in fleet.serving.run_counts
        assert await opened.read_rest() == (MANY_BYTES, True)
        assert await opened.read_head() == 200
        opened.disconnect()

    async def test_memory_does_not_grow_with_the_response(self, fleet):
        """A node buffers what its callers have not read."""
        processes = [
            fleet.processes[f"n{number}"]
            for number in (ENTRY_NODE, SERVING_NODE)
        ]
        before = [peak_bytes(process) for process in processes]
        opened = [
            await download(fleet, ENTRY_NODE, f"many-{number}")
            for number in range(8)
        ]
        for one in opened:
            assert await one.read_head() == 200
        await asyncio.sleep(1.0)
        grown = [
            peak_bytes(process) - old
            for process, old in zip(processes, before, strict=True)
        ]
        assert max(grown) < 8 * MEGABYTE, grown
        for one in opened:
            one.disconnect()


class TestCutOff:
    """Responses that end before their end."""

    async def check_cut_off(self, opened):
        async with asyncio.timeout(PROMPT_SECONDS):
            _, complete = await opened.read_rest()
        assert not complete

    @pytest.mark.parametrize("number", [ENTRY_NODE, SERVING_NODE])
    @pytest.mark.parametrize("declared", [MANY_BYTES, None])
    async def test_the_backend_server_goes_down(self, fleet, number, declared):
        """A part of a response looks like all of it, or the call is repeated."""
        fleet.serving.stop_after = MEGABYTE
        fleet.serving.declared = declared
        opened = await download(fleet, number, "cut")
        assert await opened.read_head() == 200
        await self.check_cut_off(opened)
        assert fleet.serving.run_counts["cut"] == 1
        log = pathlib.Path(fleet.folder, f"n{number}.log").read_text()
        lines = [line for line in log.splitlines() if '"cut"' in line]
        assert "large response cut off" in lines[-1]
        await platformfakes.wait_until(lambda: released(fleet), 2.0)

    async def test_more_bytes_than_the_length(self, fleet):
        """The surplus is taken for the next response."""
        fleet.serving.size = MEGABYTE + 1
        fleet.serving.declared = MEGABYTE
        for name in ("long", "longer"):
            opened = await download(fleet, ENTRY_NODE, name)
            assert await opened.read_head() == 200
            assert await opened.read_rest() == (MEGABYTE, True)

    @pytest.mark.parametrize(
        "signal_number", [signal.SIGKILL, signal.SIGSTOP], ids=["ends", "halts"]
    )
    async def test_the_serving_node_goes_down(self, fleet, signal_number):
        """The caller waits for a node that is gone, or that is silent."""
        opened = await download(fleet, ENTRY_NODE, "lost")
        assert await opened.read_head() == 200
        process = fleet.processes[f"n{SERVING_NODE}"]
        process.send_signal(signal_number)
        try:
            await self.check_cut_off(opened)
            assert not await gauge(fleet, ENTRY_NODE, "large_responses_open")
        finally:
            process.send_signal(signal.SIGCONT)

    @pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
    async def test_the_end_of_a_node_is_no_end_of_a_body(
        self, fleet, signal_number
    ):
        """A caller without chunks takes the part that it has got for whole."""
        fleet.serving.declared = None
        sock = socket.create_connection(
            (fleet.ip(ENTRY_NODE), platformfakes.OUTSIDE)
        )
        reader, writer = await asyncio.open_connection(sock=sock)
        request = platformfakes.request_bytes(SERVICE, "old", 8000)
        writer.write(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head and b"chunked" not in head.lower()
        await asyncio.sleep(0.2)
        fleet.processes[f"n{ENTRY_NODE}"].send_signal(signal_number)
        async with asyncio.timeout(platformfakes.WAIT_SECONDS):
            with pytest.raises(ConnectionResetError):
                # Reads slower than a stopping node waits for its callers.
                while await reader.read(16 * 1024):
                    await asyncio.sleep(0.05)
        writer.transport.abort()

    async def test_the_entry_node_goes_down(self, fleet):
        """The slot stays with a response that nobody passes on."""
        opened = await download(fleet, ENTRY_NODE, "lost")
        assert await opened.read_head() == 200
        fleet.processes[f"n{ENTRY_NODE}"].kill()
        await asyncio.sleep(RELEASE_SECONDS)
        assert not await gauge(fleet, SERVING_NODE, "large_responses_open")
        assert not await gauge(fleet, SERVING_NODE, "running")
        assert not fleet.serving.open_responses
        opened.disconnect()
