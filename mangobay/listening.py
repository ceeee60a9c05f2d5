"""Opens listening sockets."""

import asyncio
import collections.abc
import os

from mangobay import errors, options


async def open_server(
    address: options.Address,
    opening: collections.abc.Awaitable[asyncio.Server],
) -> asyncio.Server:
    """Returns the server that is being opened at an address.

    Args:
      address: named in the error.
      opening: opens the server, such as `loop.create_server`.

    Raises:
      errors.StartError: the address is in use or not on this host.
    """
    try:
        return await opening
    except OSError as error:
        # asyncio's own text would name the address a second time.
        reason = os.strerror(error.errno) if error.errno else error
        raise errors.StartError(
            f"cannot listen on {address}: {reason}"
        ) from None


def bound_address(
    address: options.Address, server: asyncio.Server
) -> options.Address:
    """Returns the address with the port that the server is bound to.

    The port differs from the given one if that is 0.
    """
    port = server.sockets[0].getsockname()[1]
    return options.Address(address.ip, port)
