"""An HTTP handler that serves metrics."""

import collections.abc

from mangobay import leanhttp, leanserver
from mangobay.generated import messages

MAX_BODY_BYTES = 0
MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""


def make_handler(
    render: collections.abc.Callable[[], bytes],
) -> leanserver.Handler:
    """Returns a handler that responds to every request with the metrics."""

    async def handle(
        request: leanhttp.Request, client: leanserver.Connection
    ) -> leanhttp.Response:
        del request, client
        header = messages.Header(name="Content-Type", value=MEDIA_TYPE)
        return leanhttp.Response(status=200, headers=[header], body=render())

    return handle
