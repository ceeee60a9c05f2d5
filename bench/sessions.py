"""HTTP sessions of the bench."""

import aiohttp


def open_session(seconds: float = 30.0) -> aiohttp.ClientSession:
    """Returns a session without limits, proxies and silent repeats.

    aiohttp sends a GET again when a kept connection breaks.  The run that
    the first one started would then look as if nobody had asked for it.

    Args:
      seconds: until a request is given up.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(seconds),
        trust_env=False,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    session._retry_connection = False
    return session
