"""Bounds what the incomplete requests of one listener hold together."""

import typing

SMALL_BYTES = 32 * 1024
"""Bytes up to which a request is never refused for the sake of others."""


class Holder(typing.Protocol):
    """A connection that receives a request."""

    def is_refusable(self) -> bool:
        """Returns whether its request is incomplete and has no handler."""

    def refuse_received(self) -> None:
        """Refuses its incomplete request, and drops what it holds."""


class RequestMemory:
    """Counts the received bytes of the requests of a listener.

    Above the bound, the incomplete request that holds most is refused, so that
    senders without end, or that stall, keep out nobody who sends little.

    Attributes:
      max_bytes: the bound.
      held_bytes: bytes held now.
      sizes: bytes held by each connection that holds any.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.sizes: dict[Holder, int] = {}

    def update(self, holder: Holder, byte_count: int) -> None:
        """Sets what a connection holds; refuses requests above the bound."""
        before = self.sizes.pop(holder, 0)
        if byte_count:
            self.sizes[holder] = byte_count
        self.held_bytes += byte_count - before
        if byte_count > before:
            self.refuse_largest()

    def refuse_largest(self) -> None:
        """Refuses the largest requests until the others are within the bound."""
        while self.held_bytes > self.max_bytes:
            largest = max(
                (
                    holder
                    for holder, size in self.sizes.items()
                    if size > SMALL_BYTES and holder.is_refusable()
                ),
                key=self.sizes.get,
                default=None,
            )
            if largest is None:
                return
            self.update(largest, 0)
            largest.refuse_received()
