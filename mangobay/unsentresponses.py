"""Responses in the write buffers of callers that do not read them."""

import asyncio

from mangobay import receivedbytes


class UnsentResponses:
    """What one connection holds of the account while its write buffer is full.

    Attributes:
      transport: the connection of the caller.
    """

    __slots__ = ("__weakref__", "transport")

    cut_last = False

    def __init__(self, transport: asyncio.Transport):
        self.transport = transport
        self.hold()

    def hold(self) -> None:
        """Updates the account of received bytes, which may end the connection."""
        receivedbytes.account.hold(self, self.transport.get_write_buffer_size())

    def release(self) -> None:
        """Notes that the write buffer has drained."""
        receivedbytes.account.release(self)

    def drop_received(self) -> None:
        """Resets the connection; its responses are visibly incomplete."""
        self.transport.abort()
