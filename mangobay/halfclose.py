"""Tells callers that have gone from those that only send no more.

A caller that closes its sending side and one that closes its connection look the
same: the stream of its requests ends.  Only bytes sent to it make a difference.
The host of a caller that has gone resets the connection.
"""

import asyncio
import collections.abc

from mangobay import leanhttp, sockets

PROBE = leanhttp.CONTINUE_RESPONSE
"""An interim response, which HTTP/1.1 callers skip."""
CHECK_SECONDS = 0.02
"""Seconds between checks whether the connection was reset."""
CHECKS_PER_PROBE = 12
"""Checks after which the caller is probed again."""


class HalfCloseProbe:
    """Probes one caller until its connection ends.

    Attributes:
      transport: the connection.
      may_probe: returns whether a response may begin now.
      check_count: number of checks so far.
      timer: timer of the next check.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        may_probe: collections.abc.Callable[[], bool],
    ):
        self.transport = transport
        self.may_probe = may_probe
        self.check_count = 0
        self.timer: asyncio.TimerHandle | None = None

    def check(self) -> None:
        """Aborts the connection if the caller has gone, else checks again."""
        if not sockets.is_half_closed(self.transport):
            self.transport.abort()
            return
        if self.check_count % CHECKS_PER_PROBE == 0 and self.may_probe():
            self.transport.write(PROBE)
        self.check_count += 1
        self.timer = asyncio.get_running_loop().call_later(
            CHECK_SECONDS, self.check
        )

    def cancel(self) -> None:
        """Stops the checks."""
        if self.timer is not None:
            self.timer.cancel()
