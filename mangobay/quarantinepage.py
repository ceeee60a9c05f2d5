"""HTTP handler that lists and releases quarantined requests."""

import json
import re

from mangobay import errors, ids, leanhttp, leanserver, quarantineadmin
from mangobay.generated import messages

MAX_BODY_BYTES = 0
PATH = re.compile(
    r"/v1/services/(?P<service>[^/]+)/quarantine"
    r"(?:/(?P<digest>[^/]+)/release)?"
)
JSON_HEADER = messages.Header(name="Content-Type", value="application/json")


def make_handler(
    admin: quarantineadmin.QuarantineAdmin, otherwise: leanserver.Handler
) -> leanserver.Handler:
    """Returns a handler of operators' requests about quarantined requests.

    Args:
      admin: carries out the requests.
      otherwise: handles requests for all other paths.
    """

    async def handle(
        request: leanhttp.Request, connection: leanserver.Connection
    ) -> leanhttp.Response:
        match = PATH.fullmatch(request.path)
        if match is None:
            return await otherwise(request, connection)
        try:
            return await respond(admin, request.method, match)
        except errors.BadRequestError as error:
            return json_response(400, {"detail": str(error)})
        except errors.NotFoundError as error:
            return json_response(404, {"detail": str(error)})

    return handle


async def respond(
    admin: quarantineadmin.QuarantineAdmin, method: str, match: re.Match
) -> leanhttp.Response:
    """Carries out a request.

    Raises:
      errors.BadRequestError: the digest is malformed.
      errors.NotFoundError: nobody ever served the service.
    """
    service = ids.ServiceName(match["service"])
    match (method, match["digest"]):
        case ("GET", None):
            return json_response(200, await admin.list_requests(service))
        case ("POST", str(text)):
            digest = quarantineadmin.parse_digest(text)
            return json_response(200, await admin.release(service, digest, ""))
    return json_response(405, {"detail": "this path has no such method"})


def json_response(status: int, document: dict) -> leanhttp.Response:
    """Returns a response with a JSON object."""
    return leanhttp.Response(
        status=status,
        headers=[JSON_HEADER],
        body=json.dumps(document).encode(),
    )
