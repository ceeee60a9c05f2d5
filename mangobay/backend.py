"""Requests to the backend server on this host and their answers."""

import collections.abc
import dataclasses

from mangobay.generated import messages

BeforeSend = collections.abc.Callable[[], collections.abc.Awaitable[None]]

NON_IDEMPOTENT_REUSE_SECONDS = 0.5
"""A kept connection used within this time carries non-idempotent requests.

A backend server that closes idle connections does so after seconds; on this
host its close is seen at once.  So a request on so young a connection meets
no idle close, whose outcome nobody could tell from a crash.
"""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request to the backend server.

    Attributes:
      before_send: awaited once a connection stands, before the first byte.
      sent: a byte may have gone out.
    """

    before_send: BeforeSend | None = None
    sent: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """What is sent.

    Attributes:
      method: in capitals.
      target: path and query, as received.
      headers: without those that are made for each hop.
      body: the whole body.
      idempotent: it may go over any kept connection.
      deadline: loop time, told to the backend server.
      abort_at: loop time at which the request is given up.
    """

    method: str
    target: str
    headers: list[messages.Header]
    body: bytes
    idempotent: bool
    deadline: float
    abort_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A whole answer.

    Attributes:
      seconds: from the first byte of the request to the whole answer.
      shed: the backend server says that it did not run the request.
    """

    status: int
    headers: list[messages.Header]
    body: bytes
    seconds: float
    shed: bool
