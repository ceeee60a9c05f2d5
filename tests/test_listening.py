"""Listening sockets, and the connections accepted just before they close."""

import asyncio
import contextlib
import errno
import gc
import socket
import time

import pytest

from mangobay import (
    httpserver,
    leanhttp,
    leanserver,
    listening,
    operatorapi,
    options,
    peers,
)
from mangobay.generated import messages

LOOPBACK = options.Address("127.0.0.1", 0)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
END_SECONDS = 0.2
"""Seconds within which a connection has ended once its listener is closed."""
MAX_TURNS = 5
"""Iterations of the event loop in which a connection is taken."""


@pytest.fixture(autouse=True)
def no_collections():
    """Leaves abandoned connections open, as in a process that runs long."""
    gc.disable()
    yield
    gc.enable()


async def connect_before_close(listener, turns, request=b""):
    """Returns what a caller reads that connects just before the close.

    Args:
      listener: a listener that is started.
      turns: iterations of the event loop between the connect and the close.
      request: what the caller sends.
    """
    loop = asyncio.get_running_loop()
    with contextlib.closing(socket.create_connection(listener.address)) as sock:
        sock.setblocking(False)
        sock.sendall(request)
        for _ in range(turns):
            await asyncio.sleep(0)
        reading = asyncio.create_task(loop.sock_recv(sock, 1000))
        await listener.close()
        try:
            return await asyncio.wait_for(reading, END_SECONDS)
        except ConnectionResetError:
            return b""


class TestClosing:
    """A connection that is accepted while its listener closes."""

    async def test_request_to_a_closing_node_is_answered(self):
        """Callers of a stopping node wait for a response until it has ended."""

        async def refuse(request, connection):
            del request, connection
            return leanhttp.Response(status=503)

        for turns in range(MAX_TURNS):
            listener = leanserver.Listener(
                LOOPBACK, refuse, leanserver.Limits()
            )
            await listener.start()
            response = await connect_before_close(listener, turns, REQUEST)
            assert response.startswith(b"HTTP/1.1 503"), turns

    async def test_connection_of_a_peer_is_closed(self):
        """Calls wait for a process that stops until it has ended."""

        async def reply(hello, body):
            del hello
            return body

        hello = messages.Hello(host="h", incarnation="1")
        for turns in range(MAX_TURNS):
            listener = peers.Listener(LOOPBACK, hello, reply)
            await listener.start()
            await connect_before_close(listener, turns)

    async def test_connection_to_an_edge_is_closed(self):
        """Callers of the product's own node wait until it has ended."""
        for turns in range(MAX_TURNS):
            listener = httpserver.Listener(
                LOOPBACK, handler=None, max_connections=10, head_timeout=10
            )
            await listener.start()
            await connect_before_close(listener, turns)

    async def test_connection_of_an_operator_is_closed(self):
        """Operators wait for a control host that stops until it has ended."""
        for turns in range(MAX_TURNS):
            api = operatorapi.OperatorApi(
                LOOPBACK, None, None, None, 2000, quarantine_admin=None
            )
            await api.start()
            await connect_before_close(api, turns)


class Recorder(asyncio.Protocol):
    """Records the transports of connections."""

    def __init__(self, transports):
        self.transports = transports

    def connection_made(self, transport):
        self.transports.append(transport)


class FailingSocket:
    """A listening socket while no file descriptor is left."""

    def __init__(self, sock):
        self.sock = sock

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def accept(self):
        raise OSError(errno.EMFILE, "")


class TestServer:
    """Accepted connections, and what goes wrong with them at the close."""

    def setup_method(self):
        self.transports = []
        self.server = listening.Server(
            LOOPBACK, lambda: Recorder(self.transports), backlog=4
        )

    async def test_whole_accept_queue_gets_protocols(self):
        """The last connection of a full accept queue is reset by the close."""
        self.server.start()
        with contextlib.ExitStack() as stack:
            for _ in range(self.server.backlog + 1):
                stack.enter_context(
                    socket.create_connection(self.server.address, timeout=1)
                )
            await self.server.close()
            assert len(self.transports) == self.server.backlog + 1
            for transport in self.transports:
                transport.abort()

    async def test_slow_iteration_drops_no_connection(self):
        """A process that pauses as it stops drops requests unanswered."""
        self.server.start()
        with socket.create_connection(self.server.address):
            closing = asyncio.create_task(self.server.close())
            await asyncio.sleep(0)
            time.sleep(1.5 * listening.HANDSHAKE_SECONDS)
            await closing
            assert len(self.transports) == 1
            assert not self.transports[0].is_closing()
            self.transports[0].abort()

    async def test_nothing_is_accepted_after_a_close_in_a_pause(self):
        """A timer of a closed listener fails, as no descriptor was left."""
        failures = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failures.append(context)
        )
        self.server.start()
        self.server.sock = FailingSocket(self.server.sock)
        self.server.accept_waiting()
        await self.server.close()
        await asyncio.sleep(1.1 * listening.ACCEPT_RETRY_SECONDS)
        assert not failures

    async def test_connection_without_protocol_is_closed(self):
        """A caller waits for a connection whose protocol was not created."""

        def fail():
            raise MemoryError

        self.server.make_protocol = fail
        self.server.start()
        with socket.create_connection(self.server.address, timeout=1) as sock:
            await self.server.close()
            assert sock.recv(1) == b""
