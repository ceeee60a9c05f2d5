"""Detection of backend servers that have ended.

A broken connection alone does not show that the backend server has ended: it
may have closed the connection, or have been told to.  A process that has ended
accepts no new connection either.
"""

import asyncio
import collections.abc
import enum

from mangobay import ids, options

PROBE_TIMEOUT_SECONDS = 0.05
"""A connection on the same host is accepted or refused within a millisecond."""

EndIds = collections.abc.Iterator[ids.BackendEndId]


class CrashDetector:
    """Tells whether a backend server has ended, one probe at a time.

    Attributes:
      ended_at: loop time at which the last end was found.
      end_id: id of that end.
      probe: the probe in progress; None if there is none.
    """

    __slots__ = ("end_id", "ended_at", "probe")

    def __init__(self):
        self.ended_at = float("-inf")
        self.end_id = ids.BackendEndId("")
        self.probe: asyncio.Task[bool] | None = None

    async def find_end(
        self, address: options.Address, sent_at: float, end_ids: EndIds
    ) -> ids.BackendEndId | None:
        """Returns the end that broke the connection of a request, or None.

        All requests that were in progress get the id of the same end.

        Args:
          address: where the backend server accepts requests.
          sent_at: loop time at which the request was sent.
          end_ids: source of the id of an end that was not known before.
        """
        if sent_at <= self.ended_at:
            return self.end_id
        if self.probe is None:
            self.probe = asyncio.create_task(is_refused(address))
            self.probe.add_done_callback(self.forget_probe)
        if not await asyncio.shield(self.probe):
            return None
        if sent_at > self.ended_at:
            self.ended_at = asyncio.get_running_loop().time()
            self.end_id = next(end_ids)
        return self.end_id

    def forget_probe(self, probe: asyncio.Task[bool]) -> None:
        """Makes the next request start a probe of its own."""
        if self.probe is probe:
            self.probe = None


class ListenerState(enum.Enum):
    """What became of a connection attempt."""

    ACCEPTING = "accepting"
    REFUSING = "refusing"
    SILENT = "silent"
    """Neither within the time that it may take."""


async def is_refused(address: options.Address) -> bool:
    """Returns whether nothing accepts connections at an address."""
    state = await probe(address, PROBE_TIMEOUT_SECONDS)
    return state is ListenerState.REFUSING


async def probe(address: options.Address, timeout: float) -> ListenerState:
    """Returns what becomes of a connection attempt within some seconds."""
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(address.ip, address.port)
    except ConnectionError:
        return ListenerState.REFUSING
    except (OSError, TimeoutError):
        return ListenerState.SILENT
    writer.close()
    return ListenerState.ACCEPTING
