"""An HTTP handler that serves metrics."""

import asyncio
import collections.abc

from mangobay import leanhttp, leanserver
from mangobay.generated import messages

MAX_BODY_BYTES = 0
RENDER_INTERVAL_SECONDS = 0.1
"""Seconds for which a rendered page is served again."""
MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""


class Page:
    """The metrics as text, rendered a few times a second at most.

    Attributes:
      render: returns the current metrics.
      text: the metrics when they were last rendered.
      rendered_at: loop time of that.
    """

    def __init__(self, render: collections.abc.Callable[[], bytes]):
        self.render = render
        self.text = b""
        self.rendered_at = float("-inf")

    def update(self) -> bytes:
        """Returns the metrics, rendered again unless that was just done."""
        now = asyncio.get_running_loop().time()
        if now - self.rendered_at >= RENDER_INTERVAL_SECONDS:
            self.text = self.render()
            self.rendered_at = now
        return self.text


def make_handler(
    render: collections.abc.Callable[[], bytes],
) -> leanserver.Handler:
    """Returns a handler that responds to every request with the metrics."""
    page = Page(render)

    async def handle(
        request: leanhttp.Request, client: leanserver.Connection
    ) -> leanhttp.Response:
        del request, client
        header = messages.Header(name="Content-Type", value=MEDIA_TYPE)
        return leanhttp.Response(
            status=200, headers=[header], body=page.update()
        )

    return handle
