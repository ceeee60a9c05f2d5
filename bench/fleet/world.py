"""The nodes of the model, with the parts that decide in a real node."""

import asyncio
import collections
import random
import typing

from bench import nodesettings
from bench.fleet import backends, deployments, network
from mangobay import (
    accesscontrol,
    admission,
    calls,
    dispatch,
    gateway,
    ids,
    leanclient,
    leanhttp,
    lease,
    localservices,
    metrics,
    options,
    outcomelog,
    requestlog,
    retrybudget,
    routes,
    routing,
    traces,
)
from mangobay.generated import messages

DEADLINE = "Deadline"
HEADER_NAMES = gateway.HeaderNames(
    backend=leanclient.BackendHeaderNames(
        attempt_id=backends.ATTEMPT,
        deadline=DEADLINE,
        signature="Signature",
        not_run="Not-Run",
        rate_limit="Rate-Limit",
        load="Load",
        leaving="Leaving",
        private=frozenset(),
    ),
    caller_service="Caller",
    workspace="Workspace",
    target_instance="Target",
    parent_attempt_of=backends.parent_attempt_of,
)
RETRIES = {"spent": 0.9, "burst": 4, "client_share": 0}
"""Settings of retries, as nodes on the platform have them."""
FOREVER = 1e9
GET = "GET"


class Reasons(requestlog.RequestLog):
    """Counts in place of writing lines."""

    def __init__(self, counted: collections.Counter):
        super().__init__()
        self.counted = counted

    def log_unanswered(self, attempt, call, reply, seconds) -> None:
        """Counts a request that got no answer, or a failure."""
        del attempt, seconds
        why = reply.reason.name.lower()
        if reply.outcome is messages.Outcome.ANSWERED:
            why = str(reply.status)
        self.counted[call.operation.name, why] += 1

    def log_refused(self, attempt, error, table, routes_age) -> None:
        """Counts a request that became no call."""
        del attempt, table, routes_age
        self.counted["", error.reason.name.lower()] += 1


class Node:
    """One host: its node, and the backend server beside it.

    Attributes:
      remote: IP number of its callers, as the gateway asks for it.
    """

    remote = "10.0.0.1"

    def __init__(
        self,
        day: deployments.Day,
        service: deployments.Service,
        place: int,
        number: int,
        world: "World",
    ):
        self.service = ids.ServiceName(service.name)
        self.home = ids.DataCentre(f"dc{place % day.data_centres}")
        host = ids.HostId(f"{service.name}-{place}")
        self.dice = random.Random(f"{world.seed} {host}")
        self.process = calls.Process(host, self.home, ids.Incarnation("1"))
        self.member = messages.Member(
            host=host,
            incarnation=self.process.incarnation,
            data_centre=self.home,
            peer_address=f"10.0.{number // 250}.{number % 250 + 1}:1",
            slots=service.slots,
        )
        self.server = backends.Server(day, service, place, self.dice)
        self.server.call = self.call
        self.local_services = localservices.LocalServices(
            FOREVER, self.new_admission(world), lambda told: None
        )
        self.executor = gateway.RoutedCallExecutor(
            HEADER_NAMES, self.process, self.local_services, self.server, None
        )
        self.gateway = self.make_gateway(world)
        self.asked = world.asked

    def new_admission(self, world: "World"):
        """Returns what makes the admission of the backend server here."""
        return lambda: admission.AdmissionController(
            world.section("admission"),
            world.section("retries"),
            world.section("recovery"),
            self.dice,
        )

    def make_gateway(self, world: "World") -> gateway.Gateway:
        """Returns where requests enter."""
        self.router = routing.Router(
            world.section("routing"),
            world.section("admission"),
            self.home,
            self.dice,
        )
        retries = world.section("retries")
        entry_side = dispatch.Dispatcher(
            retries,
            dispatch.Dependencies(
                process=self.process,
                router=self.router,
                retry_budget=retrybudget.RetryBudget(retries),
                transport=network.Link(world.network, self.home),
                executor=self.executor,
                lease=lease.UnlimitedLease(),
                views=world,
                tracer=traces.Tracer(),
                rng=self.dice,
                schedule=self.executor.shutdown,
            ),
        )
        made = gateway.Gateway(
            HEADER_NAMES,
            self.service,
            self.executor.find_parent,
            entry_side,
            metrics.Metrics(),
            Reasons(world.reasons),
            self.executor.shutdown,
            accesscontrol.AccessControl(lease.DocumentLease(0.0), None),
            outcomelog.OutcomeLog(self.process.host),
        )
        made.table = world.table
        return made

    def announce(self) -> None:
        """Says that the backend server is there."""
        self.local_services.announce(
            localservices.Announcement(
                service=self.service,
                address=options.Address("127.0.0.1", 1),
                slots=self.server.service.slots,
            )
        )

    async def call(
        self, kind: deployments.Kind, attempt: str, deadline: float
    ) -> int:
        """Makes a call of the backend server here; returns the status."""
        left = deadline - asyncio.get_running_loop().time()
        answer = await self.ask(kind, attempt, min(left, kind.deadline))
        return answer.status

    async def ask(
        self, kind: deployments.Kind, attempt: str, left: float
    ) -> leanhttp.Response:
        """Answers a request that enters here."""
        self.asked[kind.name] += 1
        fields = {
            "Host": "fleet.example",
            HEADER_NAMES.backend.attempt_id: attempt,
            HEADER_NAMES.backend.deadline: str(int(left * 1000)),
        }
        request = leanhttp.Request(
            method=GET,
            target=f"/{kind.name}/",
            headers=fields,
            raw_headers=[
                (name.encode(), value.encode())
                for name, value in fields.items()
            ],
        )
        return await self.gateway.handle(request, self)


Changes = typing.Mapping[str, typing.Mapping[str, typing.Any]]
"""Settings that differ, by section and name."""


class World:
    """All nodes of a day; also the views that they go by.

    Attributes:
      changes: settings that differ from those of the platform.
      value: the views, by service.
      reasons: why requests and calls were not answered, by kind.
      asked: requests and calls that were made, by kind.
    """

    def __init__(
        self, day: deployments.Day, seed: int, changes: Changes | None = None
    ):
        self.day = day
        self.seed = seed
        self.changes = changes or {}
        self.network = network.Network()
        self.reasons: collections.Counter = collections.Counter()
        self.asked: collections.Counter = collections.Counter()
        self.table = routes.RouteTable(document_of(day))
        self.nodes: list[Node] = []
        for service in day.services:
            for place in range(len(service.speeds)):
                number = len(self.nodes)
                node = Node(day, service, place, number, self)
                self.nodes.append(node)
        self.value = self.views()
        for node in self.nodes:
            self.network.nodes[node.member.peer_address] = (
                node.home,
                node.executor.serve,
            )

    def section(self, name: str):
        """Returns one section of every node's settings."""
        values = dict(self.changes.get(name, {}))
        if name == "retries":
            bounds = {"ratio": self.day.retry_ratio}
            bounds["slack"] = self.day.retry_slack
            values = RETRIES | bounds | values
        return nodesettings.section(name, **values)

    def views(self) -> dict[ids.ServiceName, messages.ServiceView]:
        """Returns the members of every service."""
        return {
            ids.ServiceName(service.name): messages.ServiceView(
                service=ids.ServiceName(service.name),
                version=ids.ViewVersion(1),
                members=[
                    node.member
                    for node in self.nodes
                    if node.service == service.name
                ],
                active=True,
            )
            for service in self.day.services
        }

    def start(self) -> None:
        """Lets every node know the others; the load starts now."""
        now = asyncio.get_running_loop().time()
        for node in self.nodes:
            node.announce()
            node.router.update_views(self.value)
            node.gateway.dispatcher.dependencies.retry_budget.set_node_count(
                len(self.nodes)
            )
            node.server.began = now

    @property
    def arrivals(self) -> collections.Counter:
        """Returns the requests that reached a backend server, by kind."""
        found = (node.server.arrivals for node in self.nodes)
        return sum(found, collections.Counter())

    @property
    def runs(self) -> collections.Counter:
        """Returns the runs begun at backend servers, by kind."""
        return sum((n.server.runs for n in self.nodes), collections.Counter())


def document_of(day: deployments.Day) -> routes.Document:
    """Returns the routes of a day."""
    return routes.Document(
        version=1,
        routes=tuple(
            routes.Route(
                name=kind.name,
                hostname="fleet.example",
                prefix=f"/{kind.name}/",
                retry_safety=(
                    routes.RetrySafety.SAFE
                    if kind.idempotent
                    else routes.RetrySafety.UNSAFE
                ),
                timeout=kind.timeout,
                target_latency=kind.target,
                priority=kind.priority,
                weighted_services=(
                    routes.WeightedService(
                        service=ids.ServiceName(kind.service), weight=1.0
                    ),
                ),
                max_attempts=kind.attempts,
            )
            for kind in day.kinds
        ),
        services=(),
        limits=None,
    )
