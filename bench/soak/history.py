"""What callers, backend servers and operators saw; times are loop seconds."""

import dataclasses
import enum
import math

from bench.soak import dialect
from mangobay import ids


class End(enum.Enum):
    """How a request ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "connection ended without a whole answer"
    LEFT = "caller left"
    SILENT = "caller gave up"


class Outcome(enum.Enum):
    """What a backend server did with an arrival."""

    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused, not run"
    BROKEN = "broken off by the backend server"
    DROPPED = "connection ended under the run"


class Action(enum.Enum):
    """What was done to a process, or what it did."""

    START = "start"
    TERM = "SIGTERM"
    TERM_AGAIN = "SIGTERM again"
    HUP = "SIGHUP"
    KILL = "SIGKILL"
    KILL_LATE = "SIGKILL after the grace"
    FREEZE = "SIGSTOP"
    THAW = "SIGCONT"
    EXIT = "exit"
    TEAR = "torn write"
    WIPE = "emptied disk"
    CUT = "links interrupted"
    HEAL = "links whole again"


PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that say of a request that it was not run and never will be."""
UNPLANNED = frozenset(
    {
        Action.KILL,
        Action.FREEZE,
        Action.THAW,
        Action.CUT,
    }
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """One request of a caller.

    Attributes:
      attempt: its name.
      host: of the node that it is sent to.
      service: that it is for.
      manner: how its caller behaves.
      repeatable: it may run more than once.
      line: method and path.
      digest: of its body.
      seconds: for which its caller waits.
      timeout: of its route, seconds.
      connection: number of the connection.
      behind: requests before it on the connection had no answer yet.
      began: first byte sent.
      sent: last byte sent; infinite for none.
      ended: answer whole, connection ended, or caller gone.
      end: how it ended.
      status: of the answer.
      signature: in the answer.
      named: request that the answer names.
      answer: digest of the answer's body.
    """

    attempt: ids.AttemptId
    host: ids.HostId
    service: ids.ServiceName
    manner: str
    repeatable: bool
    line: str
    digest: str
    seconds: float
    timeout: float
    connection: int
    behind: bool
    began: float
    sent: float = math.inf
    ended: float = math.inf
    end: End = End.OPEN
    status: int = 0
    signature: str = ""
    named: str = ""
    answer: str = ""

    @property
    def due(self) -> float:
        """When its time is over."""
        return self.began + min(self.seconds, self.timeout)


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """One request at a backend server.

    Attributes:
      attempt: its name.
      host: of the backend server.
      instance: incarnation of the backend server.
      service: of the backend server.
      line: method and path.
      digest: of its body; empty while that has not come.
      caller: the service that it says it comes from.
      seconds: for which its caller waits, as the backend server was told.
      at: its head has come.
      until: the work would end then; infinite where it has no end.
      ended: answered, refused or broken off.
      outcome: what came of it.
      status: of the answer.
      signature: of the answer.
      answer: digest of the answer's body.
    """

    attempt: ids.AttemptId
    host: ids.HostId
    instance: ids.InstanceId
    service: ids.ServiceName
    line: str
    caller: str
    seconds: float
    at: float
    digest: str = ""
    until: float = math.inf
    ended: float = math.inf
    outcome: Outcome = Outcome.RUNNING
    status: int = 0
    signature: str = ""
    answer: str = ""

    @property
    def ran(self) -> bool:
        """Whether work was begun."""
        return self.outcome is not Outcome.REFUSED


@dataclasses.dataclass(slots=True, kw_only=True)
class Event:
    """Something done to a process; `detail` is for people."""

    at: float
    host: ids.HostId
    action: Action
    detail: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """One configuration sent by an operator; status 0 is no clear answer.

    Attributes:
      version: its number.
      base: the version that it builds on.
      host: the control host that it was sent to.
      sent: loop time.
      ended: loop time of the answer.
      status: of the answer.
      content: digest of the configuration.
      flaw: what makes it invalid, None for nothing.
    """

    version: int
    base: int
    host: ids.HostId
    sent: float
    ended: float
    status: int
    content: str = ""
    flaw: dialect.Flaw | None = None

    @property
    def order(self) -> tuple[int, int, str]:
        """What is the same each time that a configuration is sent again."""
        return self.version, self.base, self.content


@dataclasses.dataclass(slots=True, kw_only=True)
class Reading:
    """One configuration read back; version 0: none was told."""

    host: ids.HostId
    sent: float
    ended: float
    version: int
    last: bool = False
    content: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Probe:
    """One request that shows which version of the routes a node goes by.

    Attributes:
      attempt: its id.
      host: of the node that is asked.
      version: that has the route.
      kept: later versions have the route as well.
      moved: every version has the route, for another service.
      sent: loop time.
      ended: loop time of the answer; a run may end before it comes.
      status: of the answer, 0 without one.
    """

    attempt: ids.AttemptId
    host: ids.HostId
    version: int
    sent: float
    kept: bool = False
    moved: bool = False
    ended: float = math.inf
    status: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Readiness:
    """What a node says when it is asked whether it takes callers."""

    host: ids.HostId
    sent: float
    ready: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Stray:
    """Bytes on a connection on which no request waited."""

    at: float
    host: ids.HostId
    connection: int
    data: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Drain:
    """The word of a backend server that it leaves, once acknowledged."""

    host: ids.HostId
    instance: ids.InstanceId
    acknowledged: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Crash:
    """The end of a backend server under a request.

    Attributes:
      at: loop time.
      host: of the backend server.
      service: of the backend server.
      line: method and path of the request.
      entered: id of the request.
    """

    at: float
    host: ids.HostId
    service: ids.ServiceName
    line: str
    entered: ids.AttemptId = ids.AttemptId("")


@dataclasses.dataclass(slots=True, kw_only=True)
class RateLimit:
    """A limit that a backend server names in its responses.

    Attributes:
      host: of the backend server.
      instance: its incarnation.
      rate: requests per second.
      since: first response with it.
      until: last response with it.
    """

    host: ids.HostId
    instance: ids.InstanceId
    rate: float
    since: float
    until: float


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """All that was seen in one run.

    Attributes:
      requests: of callers.
      arrivals: at backend servers.
      events: of processes.
      changes: of the configuration.
      readings: of the configuration.
      probes: of the routes in force at single nodes.
      readiness: of nodes.
      strays: bytes that belong to no request.
      drains: of backend servers.
      limits: that backend servers named.
      crashes: ends of backend servers under a request.
      peaks: most memory of any process of a host, bytes.
      services: on each node's host.
      calm: every fault is over, and every process was started again.
      over: callers end.
      wall: Unix time at loop time 0.
      lag: the longest time for which the observer itself stood still.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    events: list[Event] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    readings: list[Reading] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    readiness: list[Readiness] = dataclasses.field(default_factory=list)
    strays: list[Stray] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)
    limits: list[RateLimit] = dataclasses.field(default_factory=list)
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    peaks: dict[ids.HostId, int] = dataclasses.field(default_factory=dict)
    services: dict[ids.HostId, ids.ServiceName] = dataclasses.field(
        default_factory=dict
    )
    calm: float = math.inf
    over: float = math.inf
    wall: float = 0.0
    lag: float = 0.0

    def arrivals_of(self) -> dict[ids.AttemptId, list[Arrival]]:
        """Returns the arrivals of each request."""
        found: dict[ids.AttemptId, list[Arrival]] = {}
        for arrival in self.arrivals:
            found.setdefault(arrival.attempt, []).append(arrival)
        return found
