"""Routes documents and the routing of HTTP requests to services.

Routes are an alternative to the sheet. The sheet lists operations; a route
matches a host name and a path prefix, and may split its requests among several
services by weight.
"""

import collections.abc
import dataclasses
import enum
import math
import typing

from mangobay import findings, ids, workspacedirectory
from mangobay.generated import messages

MIN_TIMEOUT_SECONDS = 0.001
"""Lower bound of a route's timeout; messages name it in milliseconds."""
MAX_TIMEOUT_SECONDS = 600.0
"""Upper bound of a route's timeout; callers give up after ten minutes."""


class RetrySafety(enum.Enum):
    """Whether the requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services that a route splits its requests among.

    Attributes:
      service: name of the service.
      weight: weight of the service; its share of the requests is this divided
        by the sum of the weights.
    """

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services and the limits of the requests that match a route.

    Attributes:
      name: name of the route, unique in the document.
      hostname: host name of the requests, in lower case.
      prefix: path prefix of the requests; ends with a slash.
      retry_safety: whether the requests may be repeated.
      timeout: longest time until the response, seconds.
      target_latency: latency up to which a response has its full value,
        seconds.
      priority: priority of the requests; 0 is the most important.
      weighted_services: the services that get the requests.
      max_attempts: most backend servers that one request is sent to.
      public: whether its requests need no key, although there are workspaces.
      large_responses: whether responses may be too large to be held in memory
        whole.
    """

    name: str
    hostname: str
    prefix: str
    retry_safety: RetrySafety
    timeout: float
    target_latency: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool = False
    large_responses: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """The settings of a service in a routes document.

    Attributes:
      name: name of the service.
      health_path: path of its health check.
      max_connections: most connections to one of its backend servers.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the requests of callers.

    Attributes:
      max_header_bytes: largest request line and headers, bytes.
      max_body_bytes: largest request body, bytes.
      header_timeout: seconds until the headers must be complete.
      idle_timeout: seconds that a connection may be idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """One version of the routes document.

    Attributes:
      workspaces: who may send requests; None if anybody may.
    """

    version: ids.RoutesVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    workspaces: tuple[workspacedirectory.Workspace, ...] | None = None


def validate(document: Document) -> list[findings.Finding]:
    """Returns the errors that make the document invalid, in its order."""
    known_services = {service.name for service in document.services}
    problems = []
    for route in document.routes:
        location = f"route {route.name}"
        problems += [
            findings.Finding(location, text)
            for text in route_errors(route, known_services)
        ]
    return problems + validate_workspaces(document.workspaces or ())


def validate_workspaces(
    found: collections.abc.Sequence[workspacedirectory.Workspace],
) -> list[findings.Finding]:
    """Returns the errors of the workspaces; no text contains a key."""
    texts = [
        (workspace, text)
        for workspace in found
        for text in workspacedirectory.workspace_errors(workspace)
    ]
    texts += workspacedirectory.shared_by(found)
    return [
        findings.Finding(f"workspace {workspace.name}", text)
        for workspace, text in texts
    ]


def route_errors(
    route: Route, known_services: typing.AbstractSet[ids.ServiceName]
) -> collections.abc.Iterator[str]:
    """Yields the errors of a route."""
    if not route.weighted_services:
        yield "names no service"
    for weighted in route.weighted_services:
        if weighted.service not in known_services:
            yield f"names the unknown service {weighted.service}"
        if weighted.weight < 0:
            yield f"the weight of {weighted.service} is below 0"
    if not math.isfinite(sum(part.weight for part in route.weighted_services)):
        yield "the weights are too large"
    if not MIN_TIMEOUT_SECONDS <= route.timeout <= MAX_TIMEOUT_SECONDS:
        yield (
            f"the timeout must be from {MIN_TIMEOUT_SECONDS:g} s to"
            f" {MAX_TIMEOUT_SECONDS:g} s"
        )
    if route.max_attempts < 1:
        yield "must allow at least one attempt"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield "the prefix must begin and end with a slash"


IMPORTANCE_BY_PRIORITY = (
    messages.Importance.CRITICAL,
    messages.Importance.HIGH,
    messages.Importance.NORMAL,
    messages.Importance.BACKGROUND,
)
"""Importance by priority; lower priorities get the last one."""


MAX_TRIES = 2**16 - 1
"""Most extra attempts that a message between nodes can name."""
FULL_TIME_SHARE = 0.97
"""Share of `max_time_left` below which a caller has waited before."""
MAX_OPERATIONS = 64
"""Operations cached for one route."""


def importance_of(priority: int) -> messages.Importance:
    """Returns the importance of a priority on its own."""
    last = len(IMPORTANCE_BY_PRIORITY) - 1
    return IMPORTANCE_BY_PRIORITY[min(max(priority, 0), last)]


class ImportanceRanking:
    """Importance of requests that have a workspace and a route.

    The priority of the workspace takes precedence; among workspaces of the
    same priority, that of the route decides. The pairs of priorities in the
    document are spread over all importances in this order. By the workspace
    alone, most requests would have the same importance: overload would refuse
    bookings as often as lookups.

    Attributes:
      by_priorities: importance by the priorities of workspace and route.
    """

    def __init__(self, document: Document):
        route_priorities = {
            route.priority for route in document.routes if not route.public
        }
        pairs = sorted(
            {
                (workspace.priority, priority)
                for workspace in document.workspaces or ()
                for priority in route_priorities
                if workspace.priority is not None
            }
        )
        self.by_priorities = {
            pair: IMPORTANCE_BY_PRIORITY[
                position * len(IMPORTANCE_BY_PRIORITY) // len(pairs)
            ]
            for position, pair in enumerate(pairs)
        }

    def find(
        self, workspace: workspacedirectory.Workspace | None, route: Route
    ) -> messages.Importance:
        """Returns the importance of a workspace's requests on a route."""
        own = importance_of(route.priority)
        if workspace is None or workspace.priority is None:
            return own
        pair = (workspace.priority, route.priority)
        return self.by_priorities.get(pair, own)


class RouteState:
    """A route with the state that routes its requests.

    Attributes:
      route: the route of the document.
      operations: cached operations by index of the service and method.
      current_weights: current weight of each service for the round robin.
      max_time_left: longest time until a caller's deadline, seconds.
      total_weight: sum of the weights.
    """

    __slots__ = (
        "current_weights",
        "max_time_left",
        "operations",
        "route",
        "total_weight",
    )

    def __init__(self, route: Route):
        self.route = route
        self.operations: dict[tuple[int, str], messages.Operation] = {}
        self.current_weights = [0.0] * len(route.weighted_services)
        self.max_time_left = 0.0
        self.total_weight = sum(
            weighted.weight for weighted in route.weighted_services
        )

    def has_waited_before(self, time_left: float) -> bool:
        """Returns whether the caller has already spent time on this request.

        Callers give all new requests of a route the same time. A request that
        is retried after a refusal, or that is part of a longer one, has less
        time left. The time spent on it is lost if it is refused now.

        Args:
          time_left: seconds that the caller still waits.
        """
        if time_left == math.inf:
            return False
        self.max_time_left = max(self.max_time_left, time_left)
        return time_left < FULL_TIME_SHARE * self.max_time_left

    def seconds_waited(self, time_left: float) -> float:
        """Returns the seconds that a caller has spent on this request before.

        Args:
          time_left: seconds that the caller still waits.
        """
        return max(self.max_time_left - time_left, 0.0)

    def next_operation(self, method: str) -> messages.Operation | None:
        """Returns the operation of the next request, None if all weights are 0.

        Services are chosen by smooth weighted round robin, so over any sequence
        of requests each is at most one request off its share. With a random
        choice, a service with a share of one in ten would be a third off over
        a hundred requests of one node.
        """
        if len(self.route.weighted_services) == 1:
            return self.get_operation(0, method)
        if self.total_weight <= 0:
            return None
        for index, weighted in enumerate(self.route.weighted_services):
            self.current_weights[index] += weighted.weight
        best = max(
            range(len(self.current_weights)),
            key=self.current_weights.__getitem__,
        )
        self.current_weights[best] -= self.total_weight
        return self.get_operation(best, method)

    def get_operation(self, index: int, method: str) -> messages.Operation:
        """Returns the operation of requests to the service at an index."""
        key = (index, method)
        operation = self.operations.get(key)
        if operation is None:
            operation = make_operation(
                self.route, self.route.weighted_services[index], method
            )
            # Callers choose the method, so the cache has to be bounded.
            if len(self.operations) < MAX_OPERATIONS:
                self.operations[key] = operation
        return operation


def make_operation(
    route: Route, weighted: WeightedService, method: str
) -> messages.Operation:
    """Returns the operation of a route's requests to one service."""
    return messages.Operation(
        service=weighted.service,
        name=ids.OperationName(route.name),
        method=method,
        importance=importance_of(route.priority),
        idempotent=route.retry_safety is RetrySafety.SAFE,
        outside=True,
        deadline_ms=int(route.timeout * 1000),
        tries=min(route.max_attempts - 1, MAX_TRIES),
        target_ms=int(min(route.target_latency, MAX_TIMEOUT_SECONDS) * 1000),
        large_responses=route.large_responses,
    )


def without_large_responses(document: Document) -> Document:
    """Returns a document whose responses are all passed on whole."""
    return dataclasses.replace(
        document,
        routes=tuple(
            dataclasses.replace(route, large_responses=False)
            for route in document.routes
        ),
    )


class RouteTable:
    """Finds the route of a request by host name and path.

    Attributes:
      document: the routes document.
      routes_by_hostname: routes by host name and path prefix.
      directory: finds workspaces by key; None if requests need no key.
      ranking: importance of the requests of workspaces.
    """

    def __init__(self, document: Document):
        self.document = document
        self.directory = (
            None
            if document.workspaces is None
            else workspacedirectory.WorkspaceDirectory(document.workspaces)
        )
        self.ranking = ImportanceRanking(document)
        self.routes_by_hostname: dict[str, dict[str, RouteState]] = {}
        for route in document.routes:
            by_prefix = self.routes_by_hostname.setdefault(route.hostname, {})
            by_prefix[route.prefix] = RouteState(route)

    def find(self, hostname: str, path: str) -> RouteState | None:
        """Returns the route with the longest prefix of the path, or None."""
        by_prefix = self.routes_by_hostname.get(parse_hostname(hostname))
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def services(self) -> set[ids.ServiceName]:
        """Returns the services of all routes."""
        return {
            weighted.service
            for route in self.document.routes
            for weighted in route.weighted_services
        }


def parse_hostname(host_header: str) -> str:
    """Returns the host name in a Host header, without the port."""
    name, colon, port = host_header.rpartition(":")
    if colon and port.isdecimal():
        host_header = name
    return host_header.lower()
