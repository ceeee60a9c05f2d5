"""Properties of a call, parsed from the caller's HTTP request."""

import asyncio
import hashlib

from aiohttp import web

from mangobay import calls, httpheaders, ids
from mangobay.generated import messages

Reason = messages.Reason

FINGERPRINT_BYTES = 8
"""Size of the hash of a client's credentials."""


def split_path(raw_path: str) -> tuple[ids.ServiceName, str]:
    """Splits /SERVICE/rest?query into the service and the target.

    Raises:
      calls.RequestError: the target is not a path, such as an absolute URL.
    """
    if not raw_path.startswith("/"):
        raise calls.RequestError(Reason.MALFORMED, "not a path")
    path, separator, query = raw_path.partition("?")
    service, _, rest = path[1:].partition("/")
    return ids.ServiceName(service), f"/{rest}{separator}{query}"


def deadline_of(
    operation: messages.Operation, headers: httpheaders.HeaderMap
) -> float:
    """Returns the loop time by which the caller needs its response.

    Raises:
      calls.RequestError: the Request-Timeout header is malformed.
    """
    seconds = operation.deadline_ms / 1000 or calls.DEFAULT_DEADLINE
    value = headers.get(httpheaders.REQUEST_TIMEOUT)
    if value is not None:
        try:
            seconds = min(seconds, httpheaders.parse_timeout(value))
        except ValueError as error:
            raise calls.RequestError(Reason.MALFORMED, str(error)) from None
    return asyncio.get_running_loop().time() + seconds


def key_of(headers: httpheaders.HeaderMap) -> ids.IdempotencyKey:
    """Returns the idempotency key, empty if there is none.

    Raises:
      calls.RequestError: the Idempotency-Key header is malformed.
    """
    value = headers.get(httpheaders.IDEMPOTENCY_KEY)
    if value is None:
        return ids.IdempotencyKey("")
    try:
        return httpheaders.parse_idempotency_key(value)
    except ValueError as error:
        raise calls.RequestError(Reason.MALFORMED, str(error)) from None


def headers_of(headers: httpheaders.HeaderMap) -> list[messages.Header]:
    """Returns the forwarded headers, with tracestate of other vendors."""
    forwarded = httpheaders.end_to_end_headers(headers)
    if httpheaders.TRACESTATE in headers:
        _, other_tracestate = httpheaders.split_tracestate(
            headers[httpheaders.TRACESTATE]
        )
        if other_tracestate:
            forwarded.append(
                messages.Header(
                    name=httpheaders.TRACESTATE, value=other_tracestate
                )
            )
    return forwarded


def client_of(request: web.BaseRequest) -> ids.ClientId:
    """Returns the client: its address and a fingerprint of its credentials.

    The fingerprint distinguishes clients that share an address. The id never
    contains the credentials themselves.
    """
    client = request.remote or ""
    credentials = request.headers.get("Authorization")
    if credentials:
        credential_bytes = credentials.encode("utf-8", "surrogateescape")
        digest = hashlib.blake2b(
            credential_bytes, digest_size=FINGERPRINT_BYTES
        )
        client = f"{client}/{digest.hexdigest()}"
    return ids.ClientId(client)
