"""The local listener: announcements, health, readiness and metrics."""

import dataclasses
import json
import typing

from aiohttp import web

from mangobay import (
    calls,
    edges,
    httpserver,
    localservices,
    metrics,
    metricstext,
)
from mangobay.generated import messages

Reason = messages.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether requests should be sent to this node.

    Attributes:
      missing: The conditions that are not met; empty if the node is ready.
    """

    missing: tuple[str, ...] = ()


class ReadinessSource(typing.Protocol):
    """Reports the readiness of the node."""

    def readiness(self) -> Readiness:
        """Returns whether requests should be sent to this node."""


class LocalApi:
    """Handles /mangobay/... and passes other requests to the local edge."""

    def __init__(
        self,
        local_edge: edges.LocalEdge,
        local_services: localservices.LocalServices,
        call_metrics: metrics.Metrics,
        readiness_source: ReadinessSource,
    ):
        self.local_edge = local_edge
        self.local_services = local_services
        self.metrics = call_metrics
        self.readiness_source = readiness_source
        self.handlers = {
            ("POST", "/mangobay/announce"): self.announce,
            ("DELETE", "/mangobay/announce"): self.withdraw,
            ("GET", "/mangobay/health"): self.health,
            ("GET", "/mangobay/ready"): self.ready,
            ("GET", "/mangobay/metrics"): self.show_metrics,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request of the local listener."""
        path = request.raw_path.partition("?")[0]
        if not path.startswith(edges.API_PREFIX):
            return await self.local_edge.handle(request)
        try:
            handler = self.handlers.get((request.method, path))
            if handler is None:
                raise calls.RequestError(Reason.NO_SUCH_OPERATION, path)
            return await handler(request)
        except calls.RequestError as error:
            reply = messages.Reply(
                outcome=messages.Outcome.NOT_RUN, reason=error.reason
            )
            return httpserver.to_response(
                reply, self.local_edge.rng, str(error)
            )

    async def announce(self, request: web.BaseRequest) -> web.Response:
        """Adds an announced service or renews its announcement."""
        document = await self.read_json(request)
        self.local_services.announce(localservices.parse_announcement(document))
        return json_response({"silence": self.local_services.timeout_seconds})

    async def withdraw(self, request: web.BaseRequest) -> web.Response:
        """Removes a service, so that its backend server gets no new calls."""
        document = await self.read_json(request)
        service = document.get("service") if isinstance(document, dict) else ""
        if not self.local_services.withdraw(service):
            raise calls.RequestError(
                Reason.MALFORMED, "service: not announced here"
            )
        return json_response({})

    async def read_json(self, request: web.BaseRequest) -> typing.Any:
        """Returns the decoded JSON document in the body.

        Raises:
          calls.RequestError: The body is not JSON, or cannot be read.
        """
        body = await self.local_edge.read_body(request)
        try:
            return json.loads(body)
        except ValueError:
            raise calls.RequestError(
                Reason.MALFORMED, "the body is not JSON"
            ) from None

    async def health(self, request: web.BaseRequest) -> web.Response:
        """Responds as long as the event loop runs."""
        del request
        return json_response({"status": "running"})

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Reports whether the node is ready, and what is missing."""
        del request
        missing = self.readiness_source.readiness().missing
        return json_response(
            {"ready": not missing, "missing": list(missing)},
            503 if missing else 200,
        )

    async def show_metrics(self, request: web.BaseRequest) -> web.Response:
        """Responds with the metrics in the Prometheus text format."""
        del request
        return web.Response(
            body=self.metrics.render(),
            headers={"Content-Type": metricstext.CONTENT_TYPE},
        )


def json_response(document: dict, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.json_response(document, status=status)
