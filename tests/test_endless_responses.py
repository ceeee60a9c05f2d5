"""Backend servers that send without end; each is given up in time and bytes."""

import asyncio
import contextlib

import pytest

from mangobay import backend, errors, leanclient, options
from mangobay.generated import messages

HEADER_NAMES = leanclient.BackendHeaderNames(
    attempt_id="Attempt",
    deadline="Left-Ms",
    signature="Signature",
    not_run="Not-Run",
    rate_limit="Rate-Limit",
    leaving="Leaving",
    load="Load",
    private=frozenset(),
)
MAX_RESPONSE_BYTES = 100_000
READ_BYTES = 256 * 1024
"""Bytes of the largest read of a socket."""
MAX_READ_BYTES = MAX_RESPONSE_BYTES + 2 * READ_BYTES
"""The largest response, and two reads of a socket."""
SMALL_CHUNK = b"1\r\na\r\n"
MAX_CHUNKED_BYTES = MAX_RESPONSE_BYTES * len(SMALL_CHUNK) + READ_BYTES
"""The largest response in chunks of one byte, and the read that exceeds it."""
MAX_SECONDS = 1.0
DEADLINE_SECONDS = 5.0
PIECE = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"


class EndlessServer:
    """Sends some bytes once, then others until the client closes.

    Attributes:
      address: where it listens.
      gone: set once the client has closed the connection.
    """

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated * (PIECE // len(repeated) + 1)
        self.gone = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while True:
                writer.write(self.repeated)
                await writer.drain()
        self.gone.set()
        writer.close()


async def receive(first, repeated, monkeypatch):
    """Returns the result of a request to such a server.

    Returns:
      The status, or the class of the error; bytes read; seconds.
    """
    read_bytes = 0
    receive_data = leanclient.Connection.data_received

    def count(connection, data):
        nonlocal read_bytes
        read_bytes += len(data)
        receive_data(connection, data)

    monkeypatch.setattr(leanclient.Connection, "data_received", count)
    source = EndlessServer(first, repeated)
    server = await asyncio.start_server(source.serve, "127.0.0.1", 0)
    address = options.Address(*server.sockets[0].getsockname()[:2])
    client = leanclient.Backend(HEADER_NAMES, 10, 8.0, MAX_RESPONSE_BYTES)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    request = backend.Request(
        method="GET",
        target="/x",
        headers=[messages.Header(name="Attempt", value="a1")],
        body=b"",
        idempotent=True,
        deadline=started_at + DEADLINE_SECONDS,
        abort_at=started_at + DEADLINE_SECONDS,
    )
    try:
        response = await client.send(address, request, backend.Attempt())
        result = response.status
    except errors.BackendError as error:
        result = type(error)
    await asyncio.wait_for(source.gone.wait(), MAX_SECONDS)
    seconds = loop.time() - started_at
    await client.close()
    server.close()
    return result, read_bytes, seconds


class TestEndless:
    """What comes without end, and how the request ends."""

    @pytest.mark.parametrize(
        ("first", "repeated", "expected"),
        [
            pytest.param(
                b"HTTP/1.1 200 ", b"a", errors.BackendBrokenError, id="reason"
            ),
            pytest.param(
                HEAD + b"X: ", b"a", errors.BackendBrokenError, id="header"
            ),
            pytest.param(
                HEAD, b"X: a\r\n", errors.BackendBrokenError, id="headers"
            ),
            pytest.param(
                HEAD + b"\r\n",
                b"a",
                errors.ResponseTooLargeError,
                id="body-until-close",
            ),
            pytest.param(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                SMALL_CHUNK,
                errors.ResponseTooLargeError,
                id="chunks",
            ),
            pytest.param(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;x=",
                b"a",
                errors.BackendBrokenError,
                id="chunk-extension",
            ),
            pytest.param(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
                b"X: a\r\n",
                errors.BackendBrokenError,
                id="trailers",
            ),
            pytest.param(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",
                b"a",
                errors.BackendBrokenError,
                id="trailer",
            ),
            pytest.param(
                HEAD + b"Content-Length: 1\r\n\r\na", b"a", 200, id="extra"
            ),
            pytest.param(
                b"",
                b"HTTP/1.1 102 Processing\r\n\r\n",
                errors.BackendBrokenError,
                id="interim-responses",
            ),
            pytest.param(
                b"", b"\r\n", errors.BackendBrokenError, id="empty-lines"
            ),
        ],
    )
    async def test_it_is_given_up(self, first, repeated, expected, monkeypatch):
        """A server that never stops holds a request until its deadline."""
        result, read_bytes, seconds = await receive(
            first, repeated, monkeypatch
        )
        assert result == expected
        is_chunked = repeated == SMALL_CHUNK
        assert read_bytes <= (
            MAX_CHUNKED_BYTES if is_chunked else MAX_READ_BYTES
        )
        assert seconds <= MAX_SECONDS
