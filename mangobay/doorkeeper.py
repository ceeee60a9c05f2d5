"""Bounds on the connections of an `aiohttp` application's listener."""

import asyncio
import dataclasses

from aiohttp import web


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What a listener takes.

    Attributes:
      connections: most that stand at once.
      request_seconds: from the connection to the end of the first request's
        head, and again for a body.
    """

    connections: int = 256
    request_seconds: float = 10.0


class Refused(asyncio.Protocol):
    """A connection above the bound, ended at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ends the connection."""
        transport.abort()


class Doorkeeper:
    """Takes connections for a server, within bounds.

    aiohttp bounds the wait only after a first request.  Whoever connects and
    sends nothing, or a byte now and then, would hold a connection for ever,
    until no file descriptor is left for operators and control hosts.

    Attributes:
      awaited: connections whose first request head has not come.
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.awaited: set[web.RequestHandler] = set()

    async def open(
        self, server: web.Server, ip: str, port: int
    ) -> asyncio.Server:
        """Opens the socket of a server.

        Raises:
          OSError: the address is in use or not of this host.
        """

        def connection() -> asyncio.BaseProtocol:
            return self.take(server)

        loop = asyncio.get_running_loop()
        return await loop.create_server(connection, ip, port)

    def take(self, server: web.Server) -> asyncio.BaseProtocol:
        """Returns the protocol of a new connection."""
        if len(server.connections) >= self.bounds.connections:
            return Refused()
        connection = server()
        self.awaited.add(connection)
        loop = asyncio.get_running_loop()
        loop.call_later(self.bounds.request_seconds, self.look, connection)
        return connection

    def look(self, connection: web.RequestHandler) -> None:
        """Ends the connection if no request head has come."""
        if connection in self.awaited:
            self.awaited.discard(connection)
            connection.force_close()

    @web.middleware
    async def note(self, request: web.Request, handler) -> web.StreamResponse:
        """Notes that a request head has come."""
        self.awaited.discard(request.protocol)
        return await handler(request)
