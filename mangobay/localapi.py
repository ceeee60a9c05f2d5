"""The local listener: announcements, health, readiness and metrics."""

import dataclasses
import json
import typing

from aiohttp import web

from mangobay import (
    announcements,
    calls,
    edges,
    httpserver,
    metrics,
    metricstext,
)
from mangobay.generated import messages

Reason = messages.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether callers should be sent here.

    Attributes:
      missing: what keeps the node from being ready, empty when it is.
    """

    missing: tuple[str, ...] = ()


class Status(typing.Protocol):
    """Says how the node is."""

    def readiness(self) -> Readiness:
        """Returns whether callers should be sent here."""


class LocalApi:
    """Answers /mangobay/... and passes all else to the local edge."""

    def __init__(
        self,
        local: edges.Local,
        served: announcements.Announcements,
        counts: metrics.Metrics,
        status: Status,
    ):
        self.local = local
        self.served = served
        self.metrics = counts
        self.status = status
        self.paths = {
            ("POST", "/mangobay/announce"): self.announce,
            ("DELETE", "/mangobay/announce"): self.leave,
            ("GET", "/mangobay/health"): self.health,
            ("GET", "/mangobay/ready"): self.ready,
            ("GET", "/mangobay/metrics"): self.show_metrics,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request of the local listener."""
        path = request.raw_path.partition("?")[0]
        if not path.startswith(edges.API_PREFIX):
            return await self.local.handle(request)
        try:
            answer = self.paths.get((request.method, path))
            if answer is None:
                raise calls.RequestError(Reason.NO_SUCH_OPERATION, path)
            return await answer(request)
        except calls.RequestError as error:
            reply = messages.Reply(
                outcome=messages.Outcome.NOT_RUN, reason=error.reason
            )
            return httpserver.to_response(reply, self.local.dice, str(error))

    async def announce(self, request: web.BaseRequest) -> web.Response:
        """Takes an announcement, new or renewed."""
        document = await self.document_of(request)
        self.served.announce(announcements.parse(document))
        return in_json({"silence": self.served.silence})

    async def leave(self, request: web.BaseRequest) -> web.Response:
        """Takes a service out: its backend server gets no new calls."""
        document = await self.document_of(request)
        service = document.get("service") if isinstance(document, dict) else ""
        if not self.served.leave(service):
            raise calls.RequestError(
                Reason.MALFORMED, "service: not announced here"
            )
        return in_json({})

    async def document_of(self, request: web.BaseRequest) -> typing.Any:
        """Returns the JSON document in the body.

        Raises:
          calls.RequestError: there is none.
        """
        body = await self.local.body_of(request)
        try:
            return json.loads(body)
        except ValueError:
            raise calls.RequestError(
                Reason.MALFORMED, "the body is not JSON"
            ) from None

    async def health(self, request: web.BaseRequest) -> web.Response:
        """Answers as long as the process turns."""
        del request
        return in_json({"status": "running"})

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Says whether callers should be sent here, and what is missing."""
        del request
        missing = self.status.readiness().missing
        return in_json(
            {"ready": not missing, "missing": list(missing)},
            503 if missing else 200,
        )

    async def show_metrics(self, request: web.BaseRequest) -> web.Response:
        """Answers with the metrics in the usual text format."""
        del request
        return web.Response(
            body=self.metrics.render(),
            headers={"Content-Type": metricstext.CONTENT_TYPE},
        )


def in_json(document: dict, status: int = 200) -> web.Response:
    """Returns a JSON answer."""
    return web.json_response(document, status=status)
