"""Limits on the connections of an `aiohttp` application's listener."""

import asyncio
import dataclasses

from aiohttp import web

from mangobay import boundedrequests, listening, options


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a listener.

    Attributes:
      max_connections: maximum number of open connections.
      request_timeout: seconds from accepting a connection to the end of the
        first request's head, and again for reading a body.
    """

    max_connections: int = 256
    request_timeout: float = 10.0


class RefusedConnection(asyncio.Protocol):
    """A connection above the limit, which is aborted at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Aborts the connection."""
        transport.abort()


class ConnectionLimiter:
    """Accepts connections for a server, within limits.

    aiohttp times out idle connections only after their first request.  A
    client that connects and sends nothing, or a byte now and then, would hold
    its connection forever, until no file descriptor is left for operators and
    control hosts.

    Attributes:
      awaiting_request: connections whose first request head is incomplete.
    """

    def __init__(self, limits: Limits):
        self.limits = limits
        self.awaiting_request: set[web.RequestHandler] = set()

    def open(
        self, server: web.Server, address: options.Address
    ) -> listening.Server:
        """Opens the listening socket of a server.

        Raises:
          errors.StartError: the address is in use or does not belong to this
            host.
        """
        opened = listening.Server(address, lambda: self.accept(server))
        opened.start()
        return opened

    def accept(self, server: web.Server) -> asyncio.BaseProtocol:
        """Returns the protocol of a new connection."""
        if len(server.connections) >= self.limits.max_connections:
            return RefusedConnection()
        loop = asyncio.get_running_loop()
        connection = boundedrequests.Connection(
            server, loop=loop, access_log=None
        )
        self.awaiting_request.add(connection)
        loop.call_later(
            self.limits.request_timeout, self.close_if_no_request, connection
        )
        return connection

    def close_if_no_request(self, connection: web.RequestHandler) -> None:
        """Closes the connection if no request head was received."""
        if connection in self.awaiting_request:
            self.awaiting_request.discard(connection)
            connection.force_close()

    @web.middleware
    async def record_request(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Records that a request head was received."""
        self.awaiting_request.discard(request.protocol)
        return await handler(request)
