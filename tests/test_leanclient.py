"""Lean connections to a backend server, one of which misbehaves."""

import asyncio
import socket
import struct

import pytest

from mangobay import backend, errors, leanclient, options
from mangobay.generated import messages

NAMES = leanclient.BackendHeaderNames(
    attempt_id="Attempt",
    deadline="Left-Ms",
    signature="Signature",
    not_run="Not-Run",
    private=frozenset({"load"}),
)

NO_LINGER = struct.pack("ii", 1, 0)


class BackendServer:
    """Answers by a script: bytes to send, None to close, RESET to reset.

    `{id}` in the bytes stands for the id of the request.
    """

    RESET = "reset"

    def __init__(self, *script):
        self.script = list(script)
        self.heads = []
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = options.Address(
            *self.server.sockets[0].getsockname()[:2]
        )
        self.client = leanclient.Backend(NAMES, 10, 8.0, 1000)
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.script:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.heads.append(head)
                named = head.partition("Attempt: ")[2].partition("\r\n")[0]
                for step in self.script.pop(0):
                    if step is None:
                        writer.close()
                        return
                    if step is self.RESET:
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                        )
                        writer.transport.abort()
                        return
                    writer.write(step.replace(b"{id}", named.encode()))
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            # The test is over; asyncio would log what it means by that.
            return

    async def send(self, name="a1", idempotent=True, seconds=1.0, **more):
        now = asyncio.get_running_loop().time()
        self.attempt = backend.Attempt(more.get("gate"))
        request = backend.Request(
            method="GET",
            target="/x",
            headers=[messages.Header(name="Attempt", value=name)],
            body=b"",
            idempotent=idempotent,
            deadline=now + seconds,
            abort_at=now + seconds,
        )
        return await self.client.send(self.address, request, self.attempt)


def whole(body=b"hello", extra=b""):
    """Returns an answer that names its request."""
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n"
        + extra
        + b"Content-Length: "
        + length
        + b"\r\n\r\n"
        + body
    )


class TestAnswers:
    """Whole answers, and what only looks like one."""

    async def test_whole_ones_share_a_connection(self):
        async with BackendServer([whole()], [whole(b"you")]) as server:
            load = b"Load: 3,0,8\r\n"
            server.script[0] = [whole(extra=load)]
            answer = await server.send("a1")
            assert answer.body == b"hello"
            assert "Load" not in [each.name for each in answer.headers]
            assert (await server.send("a2")).body == b"you"
            assert server.connections == 1
            assert "Left-Ms: 9" in server.heads[0]

    async def test_interim_answers_are_passed_over(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        async with BackendServer([interim, whole()]) as server:
            assert (await server.send()).body == b"hello"

    async def test_one_without_length_ends_with_its_connection(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n\r\n"
        async with BackendServer([head, b"all", None]) as server:
            assert (await server.send()).body == b"all"

    async def test_one_without_length_that_is_reset_is_not_whole(self):
        """A caller gets half of an answer and takes it for the whole.

        The answer tells no length, and its connection is reset on the way.
        """
        head = b"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n\r\n"
        script = [head, b"half", BackendServer.RESET]
        async with BackendServer(script) as server:
            with pytest.raises(errors.IncompleteResponseError):
                await server.send()

    @pytest.mark.parametrize(
        "script",
        [
            [whole()[:-2], None],
            [b"garbage\r\n\r\n"],
            [None],
            [whole(b"x" * 1001)],
        ],
    )
    async def test_broken_ones_are_told(self, script):
        async with BackendServer(script) as server:
            with pytest.raises(errors.BackendBrokenError):
                await server.send()
            assert server.attempt.sent

    async def test_a_second_answer_is_not_taken_for_the_next(self):
        """A caller gets the answer to somebody else's request.

        A backend server answers a request twice; the second answer arrives
        when the next request on the connection waits for its own.
        """
        twice = [whole(b"one")]
        late = [whole(b"one").replace(b"{id}", b"a1"), whole(b"two")]
        async with BackendServer(twice, late, [whole(b"3")]) as server:
            assert (await server.send("a1")).body == b"one"
            assert (await server.send("a2")).body == b"two"
            assert (await server.send("a3")).body == b"3"
            assert server.connections == 2

    async def test_bytes_behind_an_answer_end_the_connection(self):
        async with BackendServer([whole(), b"more"], [whole()]) as server:
            await server.send("a1")
            await asyncio.sleep(0.05)
            await server.send("a2")
            assert server.connections == 2

    async def test_what_says_that_it_was_not_run(self):
        answer = (
            b"HTTP/1.1 503 Busy\r\nAttempt: {id}\r\nNot-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with BackendServer([answer]) as server:
            assert (await server.send()).shed


class TestConnections:
    """Which connection carries a request."""

    async def test_closed_ones_are_not_used_again(self):
        close = b"Connection: close\r\n"
        async with BackendServer([whole(extra=close)], [whole()]) as server:
            await server.send("a1")
            await server.send("a2")
            assert server.connections == 2

    async def test_one_near_its_idle_end_carries_nothing_unrepeatable(
        self, monkeypatch
    ):
        """A booking is answered 502, though it may never have run.

        The backend server forgets an idle connection without a word, just as
        the booking is sent over it.
        """
        monkeypatch.setattr(backend, "NON_IDEMPOTENT_REUSE_SECONDS", 0.0)
        async with BackendServer([whole()], [whole()], [whole()]) as server:
            await server.send("a1")
            await server.send("a2", idempotent=False)
            assert server.connections == 2

    async def test_one_who_gives_up_ends_the_connection(self):
        async with BackendServer([], [whole()]) as server:
            task = asyncio.create_task(server.send("a1"))
            await asyncio.sleep(0.05)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not server.client.idle_connections[server.address]

    async def test_time_that_runs_out(self):
        async with BackendServer([]) as server:
            with pytest.raises(errors.BackendTimeoutError):
                await server.send(seconds=0.05)

    async def test_nobody_there_means_that_nothing_was_sent(self):
        async with BackendServer() as server:
            server.server.close()
            await server.server.wait_closed()
            with pytest.raises(errors.BackendUnreachableError):
                await server.send()
            assert not server.attempt.sent
