"""Receives whole bodies of aiohttp's requests, within a bound for all."""

import asyncio

from aiohttp import web

from mangobay import errors, requestmemory


class BodyReceiver:
    """The body of one request, from its first byte until it is released.

    Attributes:
      memory: bounds what all bodies of the listener hold.
      timeout: runs while the body is received, else None.
      refused: the body was dropped as all bodies together held too much.
    """

    def __init__(self, memory: requestmemory.RequestMemory):
        self.memory = memory
        self.timeout: asyncio.Timeout | None = None
        self.refused = False

    def is_refusable(self) -> bool:
        """Returns whether the body is still received."""
        return self.timeout is not None

    def refuse_received(self) -> None:
        """Ends the receiving."""
        self.refused = True
        self.timeout.reschedule(asyncio.get_running_loop().time())

    async def receive(
        self, request: web.BaseRequest, max_bytes: int, seconds: float
    ) -> bytes:
        """Returns the whole body.

        Args:
          request: the request.
          max_bytes: limit of the body.
          seconds: limit of the time that it takes.

        Raises:
          errors.BodyTooLargeError: it exceeds the limit.
          errors.BodyRefusedError: all bodies together exceed theirs.
          TimeoutError: it took too long.
          web.RequestPayloadError: the connection ended before its end.
        """
        try:
            async with asyncio.timeout(seconds) as self.timeout:
                return await self.read(request, max_bytes)
        except TimeoutError:
            if self.refused:
                raise errors.BodyRefusedError(
                    "too many bytes at once, send it again"
                ) from None
            raise
        finally:
            self.timeout = None

    async def read(self, request: web.BaseRequest, max_bytes: int) -> bytes:
        """Returns the whole body; raises TimeoutError if it is refused."""
        data = bytearray()
        async for chunk in request.content.iter_any():
            data += chunk
            if len(data) > max_bytes:
                raise errors.BodyTooLargeError(
                    f"the body is above {max_bytes} bytes"
                )
            self.memory.update(self, len(data))
            if self.refused:
                raise TimeoutError
        return bytes(data)

    def release(self) -> None:
        """Holds nothing any more."""
        self.memory.update(self, 0)
