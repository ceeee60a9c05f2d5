"""Routes documents: which requests go to which services, and how.

A second source of what the sheet says.  The sheet names operations; a route
names a host name and the beginning of a path, and may split its requests over
several services.
"""

import collections.abc
import dataclasses
import enum
import math
import typing

from mangobay import findings, ids
from mangobay.generated import messages

MAX_TIMEOUT_SECONDS = 600.0
"""Seconds; a request held longer than ten minutes is forgotten by its caller."""


class RetrySafety(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One service of a route.

    Attributes:
      weight: its share is this part of the sum of the weights.
    """

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where some requests go, and what is promised of them.

    Attributes:
      name: unique in the document.
      hostname: of the requests, in lower case.
      prefix: the beginning of their paths; ends with a slash.
      retry_safety: what may be repeated.
      timeout: longest time a request is kept waiting, seconds.
      target_latency: an answer within it has its full worth, seconds.
      priority: 0 is the most important.
      weighted_services: where they go; one, or several by weight.
      max_attempts: backend servers that one request may be sent to.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """What the document says of a service.

    Attributes:
      health_path: path of its health check.
      max_connections: most that one of its backend servers takes.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on what callers may send.

    Attributes:
      max_header_bytes: of a request's head.
      max_body_bytes: of its body.
      header_timeout: seconds for the head to come.
      idle_timeout: seconds that a connection may stand idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """One version of the routes, whole."""

    version: ids.RoutesVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits


def validate(document: Document) -> list[findings.Finding]:
    """Returns what forbids to put the document in force, in its order."""
    known_services = {service.name for service in document.services}
    problems = []
    for route in document.routes:
        location = f"route {route.name}"
        problems += [
            findings.Finding(location, text)
            for text in route_errors(route, known_services)
        ]
    return problems


def route_errors(
    route: Route, known_services: typing.AbstractSet[ids.ServiceName]
) -> collections.abc.Iterator[str]:
    """Yields what is wrong with a route."""
    if not route.weighted_services:
        yield "names no service"
    for weighted in route.weighted_services:
        if weighted.service not in known_services:
            yield f"names the unknown service {weighted.service}"
        if weighted.weight < 0:
            yield f"the weight of {weighted.service} is below 0"
    if not 0 < route.timeout <= MAX_TIMEOUT_SECONDS:
        yield f"the timeout must be above 0 and at most {MAX_TIMEOUT_SECONDS:g} s"
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
"""By priority; what ranks lower than the last is as important as that."""


FULL_TIME_SHARE = 0.97
"""Share of a route's longest time below which some of it was spent."""
MAX_OPERATIONS = 64
"""Operations kept for one route."""


class RouteState:
    """A route as requests are judged by it.

    Attributes:
      route: as the document has it.
      operations: by part and method, as the rest of the system knows them.
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
        """Returns whether a caller has waited for this before.

        Callers give a route's requests the same time at first; one that comes
        back after a refusal, or whose call is part of a longer request, has
        less left.  What was spent on it is lost if it is refused now.

        Args:
          time_left: seconds that the caller still waits.
        """
        if time_left == math.inf:
            return False
        self.max_time_left = max(self.max_time_left, time_left)
        return time_left < FULL_TIME_SHARE * self.max_time_left

    def next_operation(self, method: str) -> messages.Operation | None:
        """Returns where the next request goes, None where no part has weight.

        Smooth weighted round robin: over any run of requests each part is at
        most one request off its share.  Drawn by lot, a part of one in ten
        would be a third off over a hundred requests of one node.
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
        """Returns what the rest of the system knows of a part's requests."""
        key = (index, method)
        operation = self.operations.get(key)
        if operation is None:
            operation = make_operation(
                self.route, self.route.weighted_services[index], method
            )
            # Callers choose the method: a hundred made-up ones must not stay.
            if len(self.operations) < MAX_OPERATIONS:
                self.operations[key] = operation
        return operation


def make_operation(
    route: Route, weighted: WeightedService, method: str
) -> messages.Operation:
    """Returns what the product knows of the requests of a route's part."""
    importance = IMPORTANCE_BY_PRIORITY[
        min(max(route.priority, 0), len(IMPORTANCE_BY_PRIORITY) - 1)
    ]
    return messages.Operation(
        service=weighted.service,
        name=ids.OperationName(route.name),
        method=method,
        importance=importance,
        idempotent=route.retry_safety is RetrySafety.SAFE,
        outside=True,
        deadline_ms=int(route.timeout * 1000),
        tries=route.max_attempts - 1,
        target_ms=int(route.target_latency * 1000),
    )


class RouteTable:
    """The routes of one document by host name and prefix.

    Attributes:
      document: what it was made of.
    """

    def __init__(self, document: Document):
        self.document = document
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
        """Returns every service that some route goes to."""
        return {
            weighted.service
            for route in self.document.routes
            for weighted in route.weighted_services
        }


def parse_hostname(host_header: str) -> str:
    """Returns the host name in a Host field, without a port."""
    name, colon, port = host_header.rpartition(":")
    if colon and port.isdecimal():
        host_header = name
    return host_header.lower()
