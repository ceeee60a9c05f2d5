"""The lean HTTP client against a scripted, partly faulty backend server."""

import asyncio
import socket
import struct
import time

import pytest

from mangobay import (
    backend,
    backendbody,
    errors,
    execution,
    leanclient,
    options,
    receivedbytes,
    responsestream,
)
from mangobay.generated import messages

HEADER_NAMES = leanclient.BackendHeaderNames(
    attempt_id="Attempt",
    deadline="Left-Ms",
    signature="Signature",
    not_run="Not-Run",
    rate_limit="Rate-Limit",
    leaving="Leaving",
    load="Load",
    private=frozenset({"load"}),
)

EARLY_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
    b"Content-Length: 5\r\n\r\nearly"
)
PART_BYTES = 32 * 1024
ZERO_LINGER = struct.pack("ii", 1, 0)


class ScriptedBackendServer:
    """Responds by a script: bytes to send, None to close, RESET to reset.

    `{id}` in the bytes is replaced by the attempt id of the request.

    Attributes:
      sends_copies: whether a second copy of each response comes on the same
        connection, at the point where the next response is expected.
    """

    RESET = "reset"

    def __init__(self, *script, sends_copies=False):
        self.sends_copies = sends_copies
        self.script = list(script)
        self.heads = []
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = options.Address(
            *self.server.sockets[0].getsockname()[:2]
        )
        self.client = leanclient.Backend(HEADER_NAMES, 10, 8.0, 1000)
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        copy = b""
        try:
            while self.script:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.heads.append(head)
                writer.write(copy)
                attempt_id = head.partition("Attempt: ")[2].partition("\r\n")[0]
                for step in self.script.pop(0):
                    if step is None:
                        writer.close()
                        return
                    if step is self.RESET:
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
                        )
                        writer.transport.abort()
                        return
                    response = step.replace(b"{id}", attempt_id.encode())
                    writer.write(response)
                    copy = response if self.sends_copies else b""
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            # The test has ended; asyncio would log the cancellation.
            return

    async def send(
        self, attempt_id="a1", idempotent=True, seconds=1.0, **kwargs
    ):
        now = asyncio.get_running_loop().time()
        self.attempt = backend.Attempt(kwargs.get("before_send"))
        request = backend.Request(
            method="GET",
            target="/x",
            headers=[messages.Header(name="Attempt", value=attempt_id)],
            body=b"",
            idempotent=idempotent,
            deadline=now + seconds,
            abort_at=now + seconds,
            streamed=kwargs.get("streamed", False),
        )
        return await self.client.send(self.address, request, self.attempt)


def response_bytes(body=b"hello", extra=b""):
    """Returns a complete response with the placeholder of the attempt id."""
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n"
        + extra
        + b"Content-Length: "
        + length
        + b"\r\n\r\n"
        + body
    )


class TestOpenConnections:
    """What the pool knows of the connections that the server closes."""

    async def test_an_idle_connection_that_the_server_closes(self):
        """The end of a server between two requests is not noticed."""
        closed = []
        script = [response_bytes(), None]
        async with ScriptedBackendServer(script) as server:
            server.client.on_closed_by_server = lambda: closed.append(1)
            await server.send()
            assert server.client.has_open_connection()
            await asyncio.sleep(0.1)
            assert closed == [1]
            assert not server.client.has_open_connection()

    async def test_connections_that_are_closed_here(self):
        """Connections that the node closes itself look like an end."""
        closed = []
        async with ScriptedBackendServer([response_bytes()]) as server:
            server.client.on_closed_by_server = lambda: closed.append(1)
            await server.send()
            await server.client.close()
            await asyncio.sleep(0.1)
            assert not closed
            assert not server.client.has_open_connection()


class TestResponses:
    """Complete, interim, incomplete and duplicate responses."""

    async def test_complete_responses_reuse_the_connection(self):
        async with ScriptedBackendServer(
            [response_bytes()], [response_bytes(b"you")]
        ) as server:
            load_header = b"Load: 3,0,8\r\n"
            server.script[0] = [response_bytes(extra=load_header)]
            response = await server.send("a1")
            assert response.body == b"hello"
            assert "Load" not in [header.name for header in response.headers]
            assert (await server.send("a2")).body == b"you"
            assert server.connections == 1
            assert "Left-Ms: 9" in server.heads[0]

    async def test_interim_responses_are_skipped(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        async with ScriptedBackendServer([interim, response_bytes()]) as server:
            assert (await server.send()).body == b"hello"

    async def test_response_without_length_ends_at_eof(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n\r\n"
        async with ScriptedBackendServer([head, b"all", None]) as server:
            assert (await server.send()).body == b"all"

    async def test_response_without_length_cut_by_reset_fails(self):
        """A caller takes half of a response for the complete one.

        The response has no length, and its connection is reset on the way.
        """
        head = b"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n\r\n"
        script = [head, b"half", ScriptedBackendServer.RESET]
        async with ScriptedBackendServer(script) as server:
            with pytest.raises(errors.IncompleteResponseError):
                await server.send()

    @pytest.mark.parametrize(
        "script",
        [
            [response_bytes()[:-2], None],
            [b"garbage\r\n\r\n"],
            [None],
            [response_bytes(b"x" * 1001)],
        ],
    )
    async def test_broken_responses_raise(self, script):
        async with ScriptedBackendServer(script) as server:
            with pytest.raises(errors.BackendBrokenError):
                await server.send()
            assert server.attempt.sent

    @pytest.mark.parametrize(
        "status",
        ["000", "001", "099", "600", "999", "0", "99", "1000", "150", "103"],
    )
    async def test_status_of_no_final_response_raises(self, status):
        """Guards against answers that are none, passed on or waited for."""
        script = [response_bytes().replace(b" 200 ", b" %s " % status.encode())]
        async with ScriptedBackendServer(script) as server:
            with pytest.raises(errors.BackendBrokenError):
                await server.send()
            assert server.attempt.sent

    async def test_duplicate_response_is_not_taken_for_the_next(self):
        """A caller gets the response to another caller's request.

        A backend server responds to a request twice.  The duplicate arrives
        while the next request on the connection awaits its response.
        """
        first_response = [response_bytes(b"one")]
        duplicate_then_second = [
            response_bytes(b"one").replace(b"{id}", b"a1"),
            response_bytes(b"two"),
        ]
        async with ScriptedBackendServer(
            first_response, duplicate_then_second, [response_bytes(b"3")]
        ) as server:
            assert (await server.send("a1")).body == b"one"
            assert (await server.send("a2")).body == b"two"
            assert (await server.send("a3")).body == b"3"
            assert server.connections == 2

    async def test_surplus_bytes_close_the_connection(self):
        async with ScriptedBackendServer(
            [response_bytes(), b"more"], [response_bytes()]
        ) as server:
            await server.send("a1")
            await asyncio.sleep(0.05)
            await server.send("a2")
            assert server.connections == 2

    async def test_not_run_header_marks_the_response_as_shed(self):
        response = (
            b"HTTP/1.1 503 Busy\r\nAttempt: {id}\r\nNot-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with ScriptedBackendServer([response]) as server:
            assert (await server.send()).shed


def rejection(extra=b""):
    """Returns a rejection with the placeholder of the attempt id."""
    return (
        b"HTTP/1.1 503 Full\r\nAttempt: {id}\r\nNot-Run: 1\r\n"
        + extra
        + b"Content-Length: 0\r\n\r\n"
    )


class TestRepeatedAttempts:
    """A request that is sent again with its id, after a late second copy."""

    REJECTED_COPY = rejection().replace(b"{id}", b"a1")

    async def test_copy_of_a_rejection_is_not_taken_for_the_response(self):
        """A booking runs and is reported as rejected."""
        script = [[rejection()], [response_bytes()]]
        async with ScriptedBackendServer(*script, sends_copies=True) as server:
            assert (await server.send()).shed
            response = await server.send()
            assert response.status == 200
            assert server.connections == 2

    async def test_other_requests_use_the_connection(self):
        """Each rejection costs a connection."""
        script = [[rejection()], [response_bytes()], [response_bytes()]]
        async with ScriptedBackendServer(*script) as server:
            await server.send("a1")
            await server.send("a2")
            await server.send("a3")
            assert server.connections == 1

    @pytest.mark.parametrize(
        "before",
        [
            pytest.param([REJECTED_COPY], id="copy"),
            pytest.param([REJECTED_COPY, REJECTED_COPY], id="two copies"),
            pytest.param(
                [b"HTTP/1.1 102 Processing\r\n\r\n", REJECTED_COPY],
                id="interim response and copy",
            ),
            pytest.param(
                [REJECTED_COPY, b"HTTP/1.1 100 Continue\r\n\r\n"],
                id="copy and interim response",
            ),
            pytest.param([REJECTED_COPY + b"\r\n\r\n"], id="empty lines"),
        ],
    )
    async def test_copy_before_the_response_of_another_request(self, before):
        """The copy of an earlier rejection is taken for the response."""
        script = [[rejection()], [*before, response_bytes(b"own")]]
        async with ScriptedBackendServer(*script) as server:
            await server.send("a1")
            assert (await server.send("a2")).body == b"own"
            assert server.connections == 1

    @pytest.mark.parametrize("status", [b"500 Failed", b"421 Misdirected"])
    async def test_failures_are_not_followed_by_the_same_request(self, status):
        """The copy of a failure is taken for the response to the retry."""
        failure = rejection().replace(b"503 Full", status)
        script = [[failure], [response_bytes()]]
        async with ScriptedBackendServer(*script, sends_copies=True) as server:
            await server.send()
            assert (await server.send()).status == 200

    async def test_copy_that_begins_with_the_response(self):
        """The rest of a copy is read as part of the next response."""
        half = self.REJECTED_COPY[:40]
        script = [[response_bytes() + half], [response_bytes()]]
        async with ScriptedBackendServer(*script) as server:
            await server.send("a1")
            await server.send("a1")
            assert server.connections == 2

    async def test_endless_copy_takes_no_memory(self):
        """A copy that is skipped is held up to the deadline of the request."""
        piece = bytes(100_000)
        head = b"HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 9000000\r\n\r\n"
        script = [[response_bytes()], [head, *[piece] * 5]]
        async with ScriptedBackendServer(*script) as server:
            await server.send("a1")
            [connection] = server.client.idle_connections[server.address]
            with pytest.raises(errors.BackendTimeoutError):
                await server.send("a2", seconds=0.5)
            skipped = connection.parser.message
            assert skipped.body_size == 500_000
            assert skipped.body_parts == []

    async def test_number_of_kept_ids_is_bounded(self, monkeypatch):
        """A connection that gets rejections only grows without end."""
        monkeypatch.setattr(leanclient, "MAX_FAILED_ATTEMPTS", 2)
        script = [[rejection()], [rejection()], [response_bytes()]]
        async with ScriptedBackendServer(*script) as server:
            for number in range(3):
                await server.send(f"a{number}")
            assert server.connections == 2


class TestServerState:
    """What backend servers say about themselves in responses."""

    @pytest.mark.parametrize(
        "extra, state",
        [
            (b"", backend.NORMAL_STATE),
            (b"Rate-Limit: 19.4\r\n", backend.ServerState(rate_limit=19.4)),
            (b"Rate-Limit: 0\r\n", backend.ServerState(rate_limit=0.0)),
            (b"Leaving: 1\r\n", backend.ServerState(leaving=True)),
            (b"Leaving: 0\r\n", backend.NORMAL_STATE),
            (b"Rate-Limit: many\r\n", None),
            (b"Rate-Limit: nan\r\n", None),
            (b"Rate-Limit: inf\r\n", None),
            (b"Rate-Limit: -1\r\n", None),
        ],
    )
    async def test_state_is_parsed(self, extra, state):
        async with ScriptedBackendServer(
            [response_bytes(extra=extra)]
        ) as server:
            response = await server.send()
        assert response.server_state == state


class TestLoadReport:
    """The load that backend servers report in responses."""

    @pytest.mark.parametrize(
        "value, report",
        [
            (b"3,0,8", backend.LoadReport(3, 0, 8)),
            (b"3, 1, 8, 250", backend.LoadReport(3, 1, 8, 250)),
            (b"3 , 1,8,249.6", backend.LoadReport(3, 1, 8, 250)),
            (b"3,1", None),
            (b"3,1,8,100,1", None),
            (b"3,1,0,100", None),
            (b"3,1,8,0", None),
            (b"-3,1,8,100", None),
            (b"3,1,8,nan", None),
            (b"3,1,8,1e9", None),
            (b"3,1,8,9999999", None),
            (b"9999999,1,8,100", None),
            (b"3,,8,100", None),
            (b"", None),
            (b"0" * 80 + b"3,1,8", None),
        ],
    )
    async def test_report_is_parsed_and_not_passed_on(self, value, report):
        """Callers see the header, or an absurd value directs calls."""
        extra = b"Load: " + value + b"\r\n"
        async with ScriptedBackendServer(
            [response_bytes(extra=extra)]
        ) as server:
            response = await server.send()
        assert response.load_report == report
        assert "load" not in [each.name.lower() for each in response.headers]

    def test_invalid_reports_are_logged_once_a_minute(self, monkeypatch):
        """An invalid report in every response floods the log."""
        lines = []
        monkeypatch.setattr(
            leanclient.logs, "log_event", lambda *args, **facts: lines.append(1)
        )
        parser = leanclient.LoadReportParser()
        for second in range(70):
            assert parser.parse("busy", float(second)) is None
        assert len(lines) == 2


class TestConnections:
    """Reuse, failure and closing of connections."""

    async def test_connection_close_prevents_reuse(self):
        close_header = b"Connection: close\r\n"
        async with ScriptedBackendServer(
            [response_bytes(extra=close_header)], [response_bytes()]
        ) as server:
            await server.send("a1")
            await server.send("a2")
            assert server.connections == 2

    async def test_non_idempotent_request_avoids_a_long_idle_connection(
        self, monkeypatch
    ):
        """A booking gets status 502 although it may never have run.

        The backend server silently drops an idle connection just when the
        booking is sent over it.
        """
        monkeypatch.setattr(backend, "NON_IDEMPOTENT_REUSE_SECONDS", 0.0)
        async with ScriptedBackendServer(
            [response_bytes()], [response_bytes()], [response_bytes()]
        ) as server:
            await server.send("a1")
            await server.send("a2", idempotent=False)
            assert server.connections == 2

    async def test_cancelled_request_drops_its_connection(self):
        async with ScriptedBackendServer([], [response_bytes()]) as server:
            task = asyncio.create_task(server.send("a1"))
            await asyncio.sleep(0.05)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not server.client.idle_connections[server.address]

    async def test_deadline_raises_a_timeout(self):
        async with ScriptedBackendServer([]) as server:
            with pytest.raises(errors.BackendTimeoutError):
                await server.send(seconds=0.05)

    async def test_refused_connection_means_that_nothing_was_sent(self):
        async with ScriptedBackendServer() as server:
            server.server.close()
            await server.server.wait_closed()
            with pytest.raises(errors.BackendUnreachableError):
                await server.send()
            assert not server.attempt.sent


class TestLargeResponses:
    """Responses that are returned before their end."""

    LARGE = b"x" * (responsestream.WHOLE_BYTES + 1)

    async def test_the_connection_is_reused_after_the_end(self):
        """It carries the next request amid a body, or leaks; 1000 is no limit.

        A response of the whole size is returned with its body as before.
        """
        whole = response_bytes(b"y" * 1000)
        head, large = response_bytes(self.LARGE).split(b"\r\n\r\n")
        async with ScriptedBackendServer(
            [head + b"\r\n\r\n", large[:-1], large[-1:]], [whole]
        ) as server:
            response = await server.send(streamed=True)
            assert response.body == b""
            assert response.stream.length == len(self.LARGE)
            assert server.client.inflight == 1
            received = b""
            while data := await response.stream.read(50_000):
                received += data
            assert received == self.LARGE
            assert server.client.inflight == 0
            again = await server.send("a2", streamed=True)
            assert (again.stream, len(again.body)) == (None, 1000)
            assert server.connections == 1

    async def test_a_stalled_backend_server_is_cut_off(self, monkeypatch):
        """Its body never ends, and its slot is never released."""
        monkeypatch.setattr(backendbody, "STALL_SECONDS", 0.1)
        halted = response_bytes(self.LARGE)[:-1]
        async with ScriptedBackendServer([halted, b""], []) as server:
            response = await server.send(streamed=True)
            with pytest.raises(errors.ResponseCutOffError):
                while await response.stream.read(50_000):
                    await asyncio.sleep(0)
            assert server.client.inflight == 0

    async def test_whole_responses_stay_bounded(self):
        """A process that takes no parts gets a response of any size."""
        async with ScriptedBackendServer(
            [response_bytes(self.LARGE)]
        ) as server:
            with pytest.raises(errors.ResponseTooLargeError):
                await server.send()

    async def test_a_status_without_body_is_passed_on_whole(self):
        """Its Content-Length announces bytes that never come."""
        head = response_bytes(self.LARGE).partition(b"\r\n\r\n")[0]
        head = head.replace(b" 200 OK", b" 204 No Content")
        async with ScriptedBackendServer([head + b"\r\n\r\n"]) as server:
            response = await server.send(streamed=True)
            assert (response.status, response.stream) == (204, None)


class RecordingAccount(receivedbytes.Account):
    """Records the most that it has held."""

    most_held_bytes = 0

    def hold(self, holder, byte_count):
        super().hold(holder, byte_count)
        self.most_held_bytes = max(self.most_held_bytes, self.held_bytes)


@pytest.fixture
def account(monkeypatch):
    """Yields the account of the test."""
    account = RecordingAccount()
    monkeypatch.setattr(receivedbytes, "account", account)
    return account


class TestReceivedBytes:
    """Responses that are held until they are complete."""

    HEAD, BODY = response_bytes(b"y" * 500).split(b"\r\n\r\n")
    START = HEAD + b"\r\n\r\n" + BODY[:100]
    CHUNKED = HEAD.replace(
        b"Content-Length: 500", b"Transfer-Encoding: chunked"
    )
    UNTIL_CLOSE = HEAD.replace(b"Content-Length: 500", b"X: y")

    @pytest.mark.parametrize(
        ("script", "expected"),
        [
            pytest.param([START, BODY[100:]], 200, id="complete"),
            pytest.param(
                [UNTIL_CLOSE + b"\r\n\r\n" + BODY, None], 200, id="until-close"
            ),
            pytest.param(
                [START, None], errors.IncompleteResponseError, id="closed"
            ),
            pytest.param(
                [START, ScriptedBackendServer.RESET],
                errors.IncompleteResponseError,
                id="reset",
            ),
            pytest.param([START], errors.BackendTimeoutError, id="timeout"),
            pytest.param(
                [CHUNKED + b"\r\n\r\n5\r\nhello\r\n", b"none"],
                errors.BackendBrokenError,
                id="malformed",
            ),
            pytest.param(
                [
                    CHUNKED + b"\r\n\r\n5\r\nhello\r\n",
                    b"400\r\n" + b"x" * 1024,
                ],
                errors.ResponseTooLargeError,
                id="too-large",
            ),
        ],
    )
    async def test_nothing_stays_held(self, script, expected, account):
        """Guards against an account that fills up with what has ended."""
        async with ScriptedBackendServer(script) as server:
            try:
                result = (await server.send(seconds=0.3)).status
            except errors.BackendError as error:
                result = type(error)
            assert result == expected
            assert account.most_held_bytes > 0
            assert (account.held_bytes, account.holders) == (0, {})

    async def test_nothing_stays_held_after_a_cancellation(self, account):
        """Guards against the same where the caller has gone."""
        async with ScriptedBackendServer([self.START]) as server:
            task = asyncio.create_task(server.send())
            await wait_until_held(account, 100)
            task.cancel()
            await asyncio.wait({task})
            assert (account.held_bytes, account.holders) == (0, {})

    async def test_one_read_is_not_held(self, account):
        """What is complete at once costs no entry."""
        async with ScriptedBackendServer([response_bytes()]) as server:
            assert (await server.send()).status == 200
            assert account.most_held_bytes == 0

    async def test_the_greatest_response_is_cut(self, account):
        """Guards against cutting a small response for a large one.

        It may have run, so its failure must not say otherwise.
        """
        account.max_bytes = 700
        great = self.START + self.BODY[100:-1]
        async with (
            ScriptedBackendServer([great]) as server,
            ScriptedBackendServer([self.START, self.BODY[100:]]) as other,
        ):
            task = asyncio.create_task(server.send())
            await wait_until_held(account, 499)
            assert (await other.send()).status == 200
            with pytest.raises(errors.ResponseTooLargeError) as raised:
                await task
            reply = execution.reply_for_error(raised.value, server.attempt)
            assert reply.outcome is messages.Outcome.UNKNOWN
            assert reply.reason is messages.Reason.TOO_LARGE
            assert (account.cut_count, account.held_bytes) == (1, 0)


class TestHeldStreams:
    """Large responses that are passed on in parts."""

    HEAD = response_bytes().partition(b"Content-Length")[0]
    CHUNK = b"%x\r\n%b\r\n" % (100_000, b"x" * 100_000)
    START = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK

    async def test_a_head_is_delivered_before_its_body_is_cut(self, account):
        """Guards against a request without an end where its first read is cut."""
        account.max_bytes = 50_000
        async with ScriptedBackendServer([self.START]) as server:
            response = await server.send(streamed=True)
            assert response.status == 200
            with pytest.raises(errors.ResponseCutOffError):
                await response.stream.read(1)
            assert server.client.inflight == 0
            assert (account.held_bytes, account.holders) == (0, {})

    async def test_a_complete_one_is_cut_as_well(self, account):
        """Guards against the same where the response is complete at once."""
        account.max_bytes = 50_000
        whole = self.START + b"0\r\n\r\n"
        async with ScriptedBackendServer([whole]) as server:
            response = await server.send(streamed=True)
            with pytest.raises(errors.ResponseCutOffError):
                await response.stream.read(1)
            assert server.client.inflight == 0
            assert (account.held_bytes, account.holders) == (0, {})


async def wait_until_held(account, byte_count):
    """Returns once so many bytes are held."""
    async with asyncio.timeout(5):
        while account.held_bytes < byte_count:
            await asyncio.sleep(0.001)


class StallingSource:
    """The rest of a request; blocks the event loop before its second part.

    Meanwhile the response and the reset of the connection arrive.
    """

    length = 2 * PART_BYTES
    is_cut_off = False

    def __init__(self):
        self.parts = [bytes(PART_BYTES), bytes(PART_BYTES)]

    async def read(self, max_bytes):
        del max_bytes
        if len(self.parts) == 1:
            time.sleep(0.2)
        return self.parts.pop(0) if self.parts else b""

    def abandon(self):
        pass


class CutOffSource(StallingSource):
    """The rest of a request that ends before its end."""

    def __init__(self, cut_off):
        super().__init__()
        self.cut_off = cut_off

    async def read(self, max_bytes):
        await self.cut_off.wait()
        raise errors.ResponseCutOffError("the caller has left")


def make_request(rest):
    """Returns a request whose body continues with such a rest."""
    now = asyncio.get_running_loop().time()
    return backend.Request(
        method="POST",
        target="/x",
        headers=[messages.Header(name="Attempt", value="a1")],
        body=b"",
        idempotent=False,
        deadline=now + 5,
        abort_at=now + 5,
        rest=rest,
    )


class TestEarlyResponses:
    """Responses that come before the request has been sent whole."""

    async def send(self, address, rest):
        """Returns the response to a request with such a rest."""
        client = leanclient.Backend(HEADER_NAMES, 10, 8.0, 1_000_000)
        request = make_request(rest)
        try:
            return await client.send(address, request, backend.Attempt())
        finally:
            await client.close()

    async def test_response_of_a_server_that_closes_at_once(self):
        """Guards against a failed write that discards a whole response."""

        def serve():
            connection, _ = sock.accept()
            with connection:
                connection.recv(1000)
                connection.sendall(EARLY_RESPONSE)

        with socket.create_server(("127.0.0.1", 0)) as sock:
            serving = asyncio.create_task(asyncio.to_thread(serve))
            address = options.Address(*sock.getsockname())
            response = await self.send(address, StallingSource())
            await serving
        assert (response.status, response.body) == (200, b"early")

    async def test_connection_of_an_incomplete_request_is_not_reused(self):
        """Guards against a request that is sent within the body before it."""
        cut_off = asyncio.Event()
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(EARLY_RESPONSE[:-2])
                await writer.drain()
                await asyncio.sleep(0.05)
                cut_off.set()
                await asyncio.sleep(0.05)
                writer.write(EARLY_RESPONSE[-2:])
                await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = options.Address(*server.sockets[0].getsockname())
        client = leanclient.Backend(HEADER_NAMES, 10, 8.0, 1_000_000)
        for _ in range(2):
            request = make_request(CutOffSource(cut_off))
            response = await client.send(address, request, backend.Attempt())
            assert (response.status, response.body) == (200, b"early")
            cut_off.clear()
        await client.close()
        server.close()
        assert len(connections) == 2

    async def test_response_that_began_before_the_request_was_cut_off(self):
        """Guards against the end of a request that discards its response."""
        cut_off = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(EARLY_RESPONSE[:-2])
            await writer.drain()
            await asyncio.sleep(0.05)
            cut_off.set()
            await asyncio.sleep(0.05)
            writer.write(EARLY_RESPONSE[-2:])
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = options.Address(*server.sockets[0].getsockname())
        response = await self.send(address, CutOffSource(cut_off))
        server.close()
        assert (response.status, response.body) == (200, b"early")


class TestClosing:
    """Requests that are sent while the client closes."""

    async def test_connection_in_use_is_closed_after_its_response(self):
        """A backend server keeps a connection that nobody uses or closes."""
        head = b"HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt: {id}\r\n"
        response = head + b"Content-Length: 1\r\n\r\nx"
        async with ScriptedBackendServer([response]) as server:
            sending = asyncio.create_task(server.send())
            while not server.client.has_open_connection():
                await asyncio.sleep(0)
            await server.client.close()
            assert (await sending).status == 200
            await asyncio.sleep(0.01)
            assert not server.client.has_open_connection()
