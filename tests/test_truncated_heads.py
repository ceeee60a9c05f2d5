"""Backend servers that close in the middle of the head of a response."""

import asyncio
import contextlib

import platformfakes
import pytest

from mangobay import aiohttpbackend, backend, errors, leanclient, options
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
START = b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
HEADS = [
    pytest.param(START + b"Content-Length: 12\r\n\r\n", id="length"),
    pytest.param(START + b"Transfer-Encoding: chunked\r\n\r\n", id="chunked"),
    pytest.param(START + b"Connection: close\r\n\r\n", id="until-close"),
    pytest.param(
        b"HTTP/1.1 100 Continue\r\n\r\n" + START + b"Content-Length: 0\r\n\r\n",
        id="after-interim",
    ),
    pytest.param(
        b"HTTP/1.1 204 No Content\r\nAttempt: a1\r\n\r\n", id="no-body"
    ),
]
CALLING_NODE, SERVING_NODE = 11, 12
SERVICE = "svc"


def make_client(kind):
    """Returns a client for backend servers."""
    if kind == "aiohttp":
        return aiohttpbackend.Backend(10, 8.0, 1000)
    return leanclient.Backend(HEADER_NAMES, 10, 8.0, 1000)


@contextlib.asynccontextmanager
async def truncating_server(head):
    """Sends one byte more of a head to each request, and closes."""
    lengths = iter(range(1, len(head)))

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head[: next(lengths)])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield options.Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()


class TestClients:
    """What each client makes of a part of a head."""

    @pytest.mark.parametrize("kind", ["lean", "aiohttp"])
    @pytest.mark.parametrize("head", HEADS)
    async def test_part_of_a_head_is_no_response(self, kind, head):
        """The end of a connection completes the head that it cuts off."""
        client = make_client(kind)
        async with truncating_server(head) as address:
            for length in range(1, len(head)):
                end = asyncio.get_running_loop().time() + 5.0
                request = backend.Request(
                    method="GET",
                    target="/x",
                    headers=[messages.Header(name="Attempt", value="a1")],
                    body=b"",
                    idempotent=True,
                    deadline=end,
                    abort_at=end,
                    streamed=True,
                )
                try:
                    response = await client.send(
                        address, request, backend.Attempt()
                    )
                except errors.BackendBrokenError:
                    continue
                pytest.fail(f"{head[:length]!r} was taken for {response}")
        await client.close()


class TruncatingBackend(platformfakes.BackendServer):
    """Cuts each response off in its head.

    Attributes:
      length: bytes of the next response that are sent.
    """

    length = 0

    async def respond(self, writer, attempt_id):
        """Writes a part of the head and closes the connection."""
        whole = platformfakes.response_bytes(attempt_id, 200)
        writer.write(whole[: self.length])
        writer.close()


class TestPrograms:
    """What callers of the real programs get."""

    async def test_callers_get_no_success(self, tmp_path):
        """A caller gets a success with a part of the response, or none."""
        async with platformfakes.Fleet(tmp_path, seeds=1, voters=1) as fleet:
            fleet.backend_class = TruncatingBackend
            fleet.start_control(1)
            await fleet.start_node(CALLING_NODE, "other")
            server = await fleet.start_node(SERVING_NODE, SERVICE)

            async def is_published():
                response = await fleet.replace_config(
                    1, 1, [SERVICE, "other"], "0"
                )
                return response.status == 200

            async def is_served():
                response = await fleet.request(CALLING_NODE, SERVICE, "first")
                return response.status == 502

            await platformfakes.wait_until(is_published)
            await platformfakes.wait_until(is_served)
            head_length = platformfakes.response_bytes("cut-00", 200).index(
                b"\r\n\r\n"
            )
            for length in range(0, head_length + 4, 3):
                server.length = length
                attempt_id = f"cut-{length:02}"
                response = await fleet.request(
                    CALLING_NODE, SERVICE, attempt_id
                )
                assert response.status == 502
                assert server.run_counts[attempt_id] == 1
