"""Tests of requests to the backend server, over real sockets."""

import asyncio
import contextlib

import pytest

from mangobay import (
    aiohttpbackend,
    backend,
    errors,
    httpheaders,
    invariants,
    options,
    receivedbytes,
)
from mangobay.generated import messages

WAIT_SECONDS = 20.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClosingBytes(bytes):
    """A response after which the server closes the connection."""


CLOSE_WITHOUT_RESPONSE = ClosingBytes()
NO_RESPONSE = b""


class ScriptedServer:
    """A server that sends the next scripted response to each request."""

    def __init__(self, responses):
        self.responses = list(responses)
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                response = self.responses.pop(0)
                writer.write(response)
                if isinstance(response, ClosingBytes):
                    break
        self.closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def scripted_server(*responses):
    server = ScriptedServer(responses)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = aiohttpbackend.Backend(100, 2.0, 100)
    try:
        yield server, client, options.Address("127.0.0.1", port)
    finally:
        await client.close()
        listener.close()


def request(method="GET", idempotent=True, seconds=WAIT_SECONDS, headers=()):
    end = asyncio.get_running_loop().time() + seconds
    return backend.Request(
        method=method,
        target="/units/7?x=%20y",
        headers=list(headers),
        body=b"",
        idempotent=idempotent,
        deadline=end,
        abort_at=end,
    )


async def wait_until_held(account, byte_count):
    """Returns once so many bytes are held."""
    async with asyncio.timeout(WAIT_SECONDS):
        while account.held_bytes < byte_count:
            await asyncio.sleep(0.001)


class TestReceivedBytes:
    """Responses that are held until they are complete."""

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"

    async def test_the_greatest_response_is_cut(self, monkeypatch):
        """Guards against many responses, each bounded, that fill the memory."""
        account = receivedbytes.Account(max_bytes=100)
        monkeypatch.setattr(receivedbytes, "account", account)
        async with scripted_server(
            self.HEAD + bytes(70), self.HEAD + bytes(40)
        ) as (server, client, address):
            great = asyncio.create_task(
                client.send(address, request(), backend.Attempt())
            )
            await wait_until_held(account, 70)
            small = asyncio.create_task(
                client.send(address, request(), backend.Attempt())
            )
            with pytest.raises(errors.ResponseTooLargeError):
                await great
            assert account.held_bytes == 40
            small.cancel()
            await asyncio.wait({small})
            assert (account.held_bytes, account.holders) == (0, {})
            assert len(server.requests) == 2


class TestSend:
    """Each request is sent at most once, and its outcome is reported truly."""

    async def test_response_is_returned_and_no_header_is_added(self):
        async with scripted_server(OK) as (server, client, address):
            extra_header = messages.Header(name="X-Sale", value="1")
            answer = await client.send(
                address, request(headers=[extra_header]), backend.Attempt()
            )
        assert (answer.status, answer.body) == (200, b"ok")
        lines = server.requests[0].split(b"\r\n")
        assert lines[0] == b"GET /units/7?x=%20y HTTP/1.1"
        names = {line.split(b":")[0].lower() for line in lines[1:] if line}
        assert names == {b"host", b"x-sale", b"request-timeout"}

    @pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_request_is_not_resent_after_a_dropped_connection(
        self, method, idempotent
    ):
        """The backend server crashes after reading a request.

        On a kept-alive connection, aiohttp would resend an idempotent method
        over a new one, which would be an uncounted run.  Exactly one request
        must arrive, and its outcome is unknown.
        """
        async with scripted_server(OK, CLOSE_WITHOUT_RESPONSE, OK) as (
            server,
            client,
            address,
        ):
            await client.send(
                address, request(method, idempotent), backend.Attempt()
            )
            attempt = backend.Attempt()
            with pytest.raises(errors.BackendBrokenError):
                await client.send(address, request(method, idempotent), attempt)
            assert server.connections == 1
        assert attempt.sent
        assert len(server.requests) == 2

    async def test_resend_by_aiohttp_violates_the_invariant(self):
        """A new aiohttp version may drop the switch that stops resending.

        The check in SingleSendRequest must then stop the second sending of an
        attempt and count a violation of the invariant.
        """
        promise = invariants.Invariant.AT_MOST_ONCE
        violations_before = invariants.violation_counts[promise]
        async with scripted_server(OK, CLOSE_WITHOUT_RESPONSE, OK) as (
            server,
            client,
            address,
        ):
            client.idempotent_session._retry_connection = True
            await client.send(address, request(), backend.Attempt())
            with pytest.raises(errors.InvariantError):
                await client.send(address, request(), backend.Attempt())
        assert len(server.requests) == 2
        assert invariants.violation_counts.pop(promise) == violations_before + 1

    @pytest.mark.parametrize(
        ("script", "error"),
        [
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                errors.IncompleteResponseError,
            ),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                errors.IncompleteResponseError,
            ),
            (b"HTTP/1.1 200 OK\r\n\r\nall?", errors.IncompleteResponseError),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + bytes(101),
                errors.ResponseTooLargeError,
            ),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"70\r\n" + bytes(112) + b"\r\n0\r\n\r\n",
                errors.ResponseTooLargeError,
            ),
            (b"rubbish\r\n\r\n", errors.BackendBrokenError),
            (
                b"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nhello",
                errors.BackendBrokenError,
            ),
            (
                b"HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nhello",
                errors.BackendBrokenError,
            ),
        ],
    )
    async def test_incomplete_or_too_large_response_is_an_error(
        self, script, error
    ):
        """A part of a response must not be passed on as a complete one.

        The backend server sends half a body, one of unknown length or one
        above the limit.  The result is an error, and since the request was
        sent, its outcome is unknown.
        """
        async with scripted_server(ClosingBytes(script)) as (
            _,
            client,
            address,
        ):
            attempt = backend.Attempt()
            with pytest.raises(error):
                await client.send(address, request(), attempt)
            assert attempt.sent

    async def test_refused_connection_means_nothing_was_sent(self):
        async with scripted_server() as (_, client, address):
            closed_address = options.Address(address.ip, 1)
            attempt = backend.Attempt()
            with pytest.raises(errors.BackendUnreachableError):
                await client.send(closed_address, request(), attempt)
            assert not attempt.sent

    async def test_exception_before_send_sends_no_byte(self):
        class SendRefusedError(Exception):
            pass

        async def refuse_send():
            raise SendRefusedError

        async with scripted_server(OK) as (server, client, address):
            attempt = backend.Attempt(refuse_send)
            with pytest.raises(SendRefusedError):
                await client.send(address, request(), attempt)
            assert not attempt.sent
            await client.send(address, request(), backend.Attempt())
            assert len(server.requests) == 1

    async def test_deadline_and_cancellation_close_the_connection(self):
        """A slow backend server must learn that nobody waits any more.

        So the connection is closed at the deadline, and also when the caller
        disconnects.
        """
        async with scripted_server(NO_RESPONSE) as (server, client, address):
            with pytest.raises(errors.BackendTimeoutError):
                await client.send(
                    address, request(seconds=0.05), backend.Attempt()
                )
            await asyncio.wait_for(server.closed.wait(), WAIT_SECONDS)
        async with scripted_server(NO_RESPONSE) as (server, client, address):
            sending = asyncio.create_task(
                client.send(address, request(), backend.Attempt())
            )
            while not server.requests:
                await asyncio.sleep(0.001)
            sending.cancel()
            await asyncio.wait_for(server.closed.wait(), WAIT_SECONDS)
            assert client.inflight == 0

    async def test_redirects_and_cookies_are_passed_to_the_caller(self):
        moved = (
            b"HTTP/1.1 302 Found\r\nLocation: /x\r\nSet-Cookie: a=1\r\n"
            b"Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nraw"
        )
        async with scripted_server(moved, OK) as (server, client, address):
            answer = await client.send(address, request(), backend.Attempt())
            await client.send(address, request(), backend.Attempt())
        assert (answer.status, answer.body) == (302, b"raw")
        assert httpheaders.find(answer.headers, "set-cookie") == "a=1"
        assert b"ookie" not in server.requests[1]

    async def test_non_idempotent_request_avoids_an_idle_connection(
        self, monkeypatch
    ):
        """The backend server may be closing a connection that was idle.

        A request sent over it then has an unknown outcome.  So only
        idempotent requests, which can be resent, use such a connection.
        """
        monkeypatch.setattr(backend, "NON_IDEMPOTENT_REUSE_SECONDS", 0.01)
        async with scripted_server(*[OK] * 4) as (server, client, address):
            for idempotent in (True, False):
                for _ in range(2):
                    await client.send(
                        address,
                        request(idempotent=idempotent),
                        backend.Attempt(),
                    )
                    await asyncio.sleep(0.05)
            assert server.connections == 3

    async def test_shed_response_is_recognized(self):
        shed = (
            b"HTTP/1.1 503 Busy\r\nMangobay-Outcome: not_run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with scripted_server(shed) as (_, client, address):
            answer = await client.send(address, request(), backend.Attempt())
        assert answer.shed
        assert not httpheaders.find(answer.headers, httpheaders.OUTCOME)
