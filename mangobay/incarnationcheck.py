"""Asks a backend server that ran before this process whether it is leaving.

A node that restarts has forgotten which incarnation has drained or deregistered,
and a heartbeat that such an incarnation sent before may still arrive.  Its health
check tells: it fails while the backend server leaves.
"""

import asyncio
import collections.abc
import enum
import typing

from mangobay import backend, errors, logs, options

UNHEALTHY_STATUS = 503
CHECK_SECONDS = 1.0
"""Longest time for the response to one check."""
CHECK_INTERVAL = 0.1
"""Seconds between two checks."""
MAX_UNKNOWN_SECONDS = 3.0
"""Time after which a backend server is used that does not tell.

If it is too busy for a check, it hardly leaves, and others need it.
"""


class Finding(enum.Enum):
    """What a check tells.

    Attributes:
      STAYS: the backend server is not leaving.
      LEAVES: it leaves, or is not healthy now.
      UNKNOWN: it does not tell.
    """

    STAYS = "stays"
    LEAVES = "leaves"
    UNKNOWN = "unknown"


class Client(typing.Protocol):
    """The part of `leanclient.Backend` that checks need."""

    async def send(
        self,
        address: options.Address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Sends a request and returns its response."""


FindPath = collections.abc.Callable[[], str | None]
"""Returns the path of the health check, None while it is not known."""


class IncarnationCheck:
    """Checks one backend server.

    Attributes:
      client: sends the requests.
      address: address of the backend server.
      find_path: returns the path of its health check.
    """

    def __init__(
        self, client: Client, address: options.Address, find_path: FindPath
    ):
        self.client = client
        self.address = address
        self.find_path = find_path

    async def wait_until_it_stays(self) -> None:
        """Returns once the backend server may be used.

        Does not return while its health check fails.
        """
        loop = asyncio.get_running_loop()
        while self.find_path() is None:
            await asyncio.sleep(CHECK_INTERVAL)
        unknown_since = loop.time()
        while True:
            match await self.check():
                case Finding.STAYS:
                    return
                case Finding.LEAVES:
                    unknown_since = loop.time()
                case Finding.UNKNOWN:
                    if loop.time() - unknown_since > MAX_UNKNOWN_SECONDS:
                        logs.log_event(
                            logs.Component.NODE,
                            "backend server is used without a health check",
                            address=str(self.address),
                        )
                        return
            await asyncio.sleep(CHECK_INTERVAL)

    async def check(self) -> Finding:
        """Returns what one health check tells."""
        abort_at = asyncio.get_running_loop().time() + CHECK_SECONDS
        request = backend.Request(
            method="GET",
            target=self.find_path(),
            headers=[],
            body=b"",
            idempotent=True,
            deadline=abort_at,
            abort_at=abort_at,
        )
        try:
            response = await self.client.send(
                self.address, request, backend.Attempt()
            )
        except errors.BackendError:
            return Finding.UNKNOWN
        if response.status != UNHEALTHY_STATUS:
            return Finding.STAYS
        return Finding.UNKNOWN if response.shed else Finding.LEAVES
