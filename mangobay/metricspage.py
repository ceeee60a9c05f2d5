"""An HTTP handler that serves metrics."""

import asyncio
import collections.abc

from mangobay import leanhttp, leanserver
from mangobay.generated import messages

MAX_BODY_BYTES = 0
RENDER_INTERVAL_SECONDS = 0.1
MAX_RENDERS = 4
"""Times that a page is rendered in that interval."""
MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""


class Page:
    """The metrics as text, rendered a limited number of times a second.

    Attributes:
      render: returns the current metrics.
      text: the metrics when they were last rendered.
      interval_started_at: loop time at which the interval began.
      render_count: times that the metrics were rendered in it.
    """

    def __init__(self, render: collections.abc.Callable[[], bytes]):
        self.render = render
        self.text = b""
        self.interval_started_at = float("-inf")
        self.render_count = 0

    def update(self) -> bytes:
        """Returns the metrics; those of before above the limit of renders."""
        now = asyncio.get_running_loop().time()
        if now - self.interval_started_at >= RENDER_INTERVAL_SECONDS:
            self.interval_started_at = now
            self.render_count = 0
        if self.render_count < MAX_RENDERS:
            self.text = self.render()
            self.render_count += 1
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
