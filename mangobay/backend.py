"""Requests to the backend server on this host and their responses."""

import collections.abc
import dataclasses

from mangobay import requestbody, responsestream
from mangobay.generated import messages

BeforeSend = collections.abc.Callable[[], collections.abc.Awaitable[None]]
CheckSend = collections.abc.Callable[[], None]

NON_IDEMPOTENT_REUSE_SECONDS = 0.5
"""Idle seconds up to which non-idempotent requests reuse a connection.

Backend servers close idle connections after several seconds, and on the same
host the close is seen at once.  A request on a connection this recently used
therefore does not run into an idle close, which could not be told from a
crash.
"""


@dataclasses.dataclass(slots=True)
class Attempt:
    """The progress of one request to the backend server.

    Attributes:
      before_send: Callback awaited once the connection is open, before the
        first byte is sent; an exception prevents the sending.
      check_send: Called after it, right before the first byte is sent; an
        exception prevents the sending.
      sent: Whether a byte may have been sent.
      upload_seconds: Time in which the rest of a large body was sent.
    """

    before_send: BeforeSend | None = None
    check_send: CheckSend | None = None
    sent: bool = False
    upload_seconds: float = 0.0

    async def prepare(self) -> None:
        """Awaits what comes before the first byte of the request.

        Raises:
          Exception: Raised by `before_send` or `check_send`.
        """
        if self.before_send is not None:
            await self.before_send()
        if self.check_send is not None:
            self.check_send()


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request to a backend server.

    Attributes:
      method: HTTP method in capitals.
      target: Path and query, as received.
      headers: Headers without those that are set for each hop.
      body: The whole body, or its first bytes.
      rest: What follows these, None if the body is whole.
      idempotent: Whether it may use any kept-alive connection.
      deadline: Loop time sent to the backend server as a timeout.
      abort_at: Loop time at which the request is aborted.
      streamed: Whether a large response is returned before its end; then the
        times hold for its head.
    """

    method: str
    target: str
    headers: list[messages.Header]
    body: bytes
    idempotent: bool
    deadline: float
    abort_at: float
    streamed: bool = False
    rest: requestbody.Source | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerState:
    """What a backend server says about itself in a response.

    Attributes:
      rate_limit: Requests per second that it accepts from all hosts together,
        None if it names no limit.
      leaving: Whether it is shutting down.
    """

    rate_limit: float | None = None
    leaving: bool = False


NORMAL_STATE = ServerState()
"""The state of a backend server that names no limit and is not leaving."""
LEAVING_STATE = ServerState(leaving=True)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a backend server reports in a response.

    Attributes:
      running: Requests that it runs.
      waiting: Requests that wait for a slot there.
      slots: Requests that it can run at once.
      pace: How long work currently takes there in percent of the usual time,
        None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A response of a backend server, complete unless it has a stream.

    Attributes:
      seconds: Time from sending the request to the complete response, or to
        the head of a large one.
      shed: Whether the backend server says that it did not run the request.
      server_state: What the backend server says about itself, None if that
        cannot be told from the response.
      load_report: The load that it reports, None if there is no valid report.
      stream: The body of a large response, None if `body` is complete.
    """

    status: int
    headers: list[messages.Header]
    body: bytes
    seconds: float
    shed: bool
    server_state: ServerState | None = None
    load_report: LoadReport | None = None
    stream: responsestream.Body | None = None
