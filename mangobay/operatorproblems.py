"""Error responses of the operator API: problem details (RFC 9457)."""

import dataclasses

from aiohttp import web

from mangobay import errors, logs

CONTENT_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemType:
    """The response status and title of a type of error.

    Attributes:
      status: the HTTP status.
      title: summary, the same for every error of the type.
    """

    status: int
    title: str


INTERNAL_ERROR = ProblemType(500, "internal error")

PROBLEM_TYPES: dict[type[Exception], ProblemType] = {
    errors.BadRequestError: ProblemType(400, "bad request"),
    errors.NotFoundError: ProblemType(404, "not found"),
    errors.ConflictError: ProblemType(409, "version taken by another sheet"),
    errors.VersionUsedError: ProblemType(409, "version used long ago"),
    errors.BodyTooLargeError: ProblemType(413, "body too large"),
    errors.BodyRefusedError: ProblemType(503, "too many bytes at once"),
    errors.SheetError: ProblemType(422, "sheet refused"),
    errors.NotLeaderError: ProblemType(503, "not the leader"),
    errors.LeadershipLostError: ProblemType(
        503, "leadership lost, send it again"
    ),
    errors.ShuttingDownError: ProblemType(
        503, "the host stops, nothing was changed"
    ),
    errors.AbortedByShutdownError: ProblemType(
        503, "the host stops, send it again"
    ),
    errors.StorageError: ProblemType(503, "the data folder failed"),
    TimeoutError: ProblemType(408, "the body came too slowly"),
}
"""Problem type by error class; the first matching class applies."""


@web.middleware
async def respond_with_problems(
    request: web.Request, handler
) -> web.StreamResponse:
    """Turns errors into problem details, never into stack traces."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return problem_response(ProblemType(error.status, error.reason), "")
    except (errors.MangobayError, TimeoutError) as error:
        problem_type = next(
            (
                PROBLEM_TYPES[cls]
                for cls in PROBLEM_TYPES
                if isinstance(error, cls)
            ),
            INTERNAL_ERROR,
        )
        return problem_response(
            problem_type, str(error), **extension_members(error)
        )
    except Exception as error:  # noqa: BLE001
        logs.log_event(
            logs.Component.OPERATOR, "request failed", error=repr(error)
        )
        return problem_response(INTERNAL_ERROR, "")


def extension_members(error: Exception) -> dict:
    """Returns the extension members of the problem details of an error."""
    match error:
        case errors.ConflictError(winner=winner):
            return {"winner": winner}
        case errors.SheetError(findings=findings):
            return {
                "findings": [
                    dataclasses.asdict(finding) for finding in findings
                ]
            }
        case errors.NotLeaderError(leader=leader, address=address):
            return {"leader": leader, "leader_peer_address": address}
    return {}


def problem_response(
    problem_type: ProblemType, detail: str, **members
) -> web.Response:
    """Returns a response that holds problem details."""
    body = {"status": problem_type.status, "title": problem_type.title}
    if detail:
        body["detail"] = detail
    return web.json_response(
        body | members, status=problem_type.status, content_type=CONTENT_TYPE
    )
