"""What carries messages between the nodes of the model."""

import asyncio
import math
import typing

from mangobay import ids, options, remotetraffic
from mangobay.generated import messages

IN_DATA_CENTRE = 0.0003
"""Seconds one way, with what a node takes to forward."""
BETWEEN = 0.0055

Serve = typing.Callable[[messages.Call], typing.Awaitable[messages.Reply]]


class Network:
    """The nodes by address.

    Attributes:
      crossed: bytes carried between data centres.
    """

    def __init__(self):
        self.nodes: dict[str, tuple[ids.DataCentre, Serve]] = {}
        self.crossed = 0


class Link:
    """One node's way to the others; implements `peers.Transport`."""

    def __init__(self, network: Network, home: ids.DataCentre):
        self.network = network
        self.home = home

    async def send_request(
        self,
        address: options.Address,
        call: messages.Call,
        timeout: float,
        send_by: float = math.inf,
    ) -> messages.Reply:
        """Returns the reply of another node."""
        place, serve = self.network.nodes[str(address)]
        delay = IN_DATA_CENTRE if place == self.home else BETWEEN
        async with asyncio.timeout(timeout):
            await asyncio.sleep(delay)
            reply = await serve(call)
            await asyncio.sleep(delay)
        if place != self.home:
            bodies = len(call.body) + len(reply.body)
            self.network.crossed += remotetraffic.CALL_OVERHEAD_BYTES + bodies
        return reply
