"""How errors are told to an operator: problem details (RFC 9457)."""

import dataclasses

from aiohttp import web

from mangobay import errors, logs

CONTENT_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """The kind of an error.

    Attributes:
      status: the HTTP status.
      title: what went wrong, the same for every error of the kind.
    """

    status: int
    title: str


INTERNAL = Problem(500, "internal error")

PROBLEMS: dict[type[Exception], Problem] = {
    errors.BadRequestError: Problem(400, "bad request"),
    errors.NotFoundError: Problem(404, "not found"),
    errors.ConflictError: Problem(409, "version taken by another sheet"),
    errors.VersionUsedError: Problem(409, "version used long ago"),
    errors.SheetError: Problem(422, "sheet refused"),
    errors.NotLeaderError: Problem(503, "not the leader"),
    errors.LeadershipLostError: Problem(503, "leadership lost, send it again"),
    errors.ShuttingDownError: Problem(
        503, "the host stops, nothing was changed"
    ),
    errors.AbortedByShutdownError: Problem(
        503, "the host stops, send it again"
    ),
    errors.StorageError: Problem(503, "the data folder failed"),
    TimeoutError: Problem(408, "the body came too slowly"),
}
"""The first class that fits counts."""


@web.middleware
async def tell_problems(request: web.Request, handler) -> web.StreamResponse:
    """Answers errors as problem details, never with a stack trace."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return problem(Problem(error.status, error.reason), "")
    except (errors.MangobayError, TimeoutError) as error:
        kind = next(
            (PROBLEMS[cls] for cls in PROBLEMS if isinstance(error, cls)),
            INTERNAL,
        )
        return problem(kind, str(error), **members_of(error))
    except Exception as error:  # noqa: BLE001
        logs.log_event(
            logs.Component.OPERATOR, "request failed", error=repr(error)
        )
        return problem(INTERNAL, "")


def members_of(error: Exception) -> dict:
    """Returns what a problem tells besides its text."""
    match error:
        case errors.ConflictError(winner=winner):
            return {"winner": winner}
        case errors.SheetError(findings=found):
            return {"findings": [dataclasses.asdict(item) for item in found]}
        case errors.NotLeaderError(leader=leader, address=address):
            return {"leader": leader, "leader_peer_address": address}
    return {}


def problem(kind: Problem, detail: str, **members) -> web.Response:
    """Returns the answer that tells a problem."""
    body = {"status": kind.status, "title": kind.title}
    if detail:
        body["detail"] = detail
    return web.json_response(
        body | members, status=kind.status, content_type=CONTENT_TYPE
    )
