"""A node whose operations are defined by a routes document."""

import asyncio
import dataclasses
import typing

from mangobay import (
    accesscontrol,
    basenode,
    errors,
    gateway,
    heartbeats,
    ids,
    incarnationcheck,
    leanclient,
    leanserver,
    logs,
    metrics,
    metricspage,
    options,
    quotaclient,
    requestlog,
    routes,
    routespublisher,
    supervision,
)
from mangobay.generated import messages, settings

MAX_READY_BODY_BYTES = 0
ARRIVAL_SECONDS = 0.2
"""Seconds for which a leaving node reads on bodies that keep coming."""
QUIET_SECONDS = 0.1
"""Seconds without input after which a body does not keep coming; more than a round
trip to callers nearby."""
LEAVE_NOTICE_SECONDS = 0.7
"""Seconds between a leaving node's notice to the others and its first refusal.

Enough for its renewal, a log entry and the renewals of the other nodes, with
room for a lost packet.
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapter:
    """Formats and APIs of a platform: callers, backend servers, operators.

    Attributes:
      header_names: names of the headers in requests and responses.
      decode: parses a routes document.
      heartbeat_api: returns the handler of heartbeats.
      max_heartbeat_bytes: limit of the body of a heartbeat.
      ready_api: returns the handler of readiness checks.
    """

    header_names: gateway.HeaderNames
    decode: gateway.RoutesDecoder
    heartbeat_api: typing.Callable[
        [heartbeats.HeartbeatReceiver], leanserver.Handler
    ]
    max_heartbeat_bytes: int
    ready_api: typing.Callable[[typing.Callable[[], bool]], leanserver.Handler]


class RoutedNode(basenode.BaseNode):
    """One node; attributes as in `basenode.BaseNode`.

    Attributes:
      adapter: formats and APIs of the platform.
      listeners: for callers, heartbeats, readiness checks and metrics.
    """

    def __init__(self, config: settings.Node, adapter: PlatformAdapter):
        self.adapter = adapter
        super().__init__(config)

    def make_peers(self) -> None:
        """Creates the clients and listeners for other processes."""
        super().make_peers()
        self.control.every_service = self.config.control.follow == "all"
        self.control.keyless = True

    def make_backend(self) -> None:
        """Creates the client of the backend server on this host."""
        config = self.config
        self.backend = leanclient.Backend(
            self.adapter.header_names.backend,
            config.backend.connections,
            config.backend.idle,
            config.limits.answer_bytes,
        )
        self.executor = gateway.RoutedCallExecutor(
            self.adapter.header_names,
            self.process,
            self.local_services,
            self.backend,
            self.once,
        )
        self.heartbeat_receiver = heartbeats.HeartbeatReceiver(
            self.local_services,
            ids.ServiceName(config.backend.service),
            only_address(config.backend.address),
        )
        self.heartbeat_receiver.wait_until_usable = (
            incarnationcheck.IncarnationCheck(
                self.backend,
                self.heartbeat_receiver.address,
                self.find_health_path,
            ).wait_until_it_stays
        )
        self.executor.state_updater.retire = self.heartbeat_receiver.retire
        self.metrics.gauges.append(
            metrics.Gauge(
                name="unused_heartbeats",
                help="Heartbeats of the backend server here that were not used.",
                read_value=lambda: self.heartbeat_receiver.unused_count,
            )
        )
        self.executor.large_responses = config.limits.large_responses

    def find_health_path(self) -> str | None:
        """Returns the path of the health check of the backend server here.

        None while the routes do not name its service.
        """
        table = self.gateway.table
        if table is None:
            return None
        service = self.heartbeat_receiver.service
        for each in table.document.services:
            if each.name == service:
                return each.health_path
        return None

    def make_quarantine(self) -> None:
        """Creates the guard of the backend server, unless it is off."""
        super().make_quarantine()
        self.quarantine_exchange.expected = ids.ServiceName(
            self.config.backend.service
        )
        guard = self.executor.guard
        if guard is not None:
            guard.has_open_connection = self.backend.has_open_connection
            self.backend.on_closed_by_server = guard.check_servers

    def make_edges(self) -> None:
        """Creates the gateway and the HTTP listeners."""
        config = self.config
        self.gateway = gateway.Gateway(
            self.adapter.header_names,
            ids.ServiceName(config.backend.service),
            self.executor.find_parent,
            self.dispatcher,
            self.metrics,
            requestlog.RequestLog(),
            self.executor.shutdown,
            accesscontrol.AccessControl(
                self.control.document_lease,
                quotaclient.QuotaClient(
                    self.control, self.peer_client, self.rng
                ),
            ),
            self.outcome_log,
        )
        limits = leanserver.Limits(
            max_body_bytes=config.limits.body_bytes,
            read_timeout=config.limits.header_timeout,
            max_connections=config.limits.connections,
            stall_timeout=config.limits.stall_timeout,
        )
        self.outside_listener = leanserver.Listener(
            config.listen.outside, self.gateway.handle, limits
        )
        self.outside_listener.limits_are_current = self.has_current_routes
        self.outside_listener.continues_bodies = True
        internal = (
            (
                config.listen.heartbeats,
                self.adapter.heartbeat_api(self.heartbeat_receiver),
                self.adapter.max_heartbeat_bytes,
            ),
            (
                config.listen.ready,
                self.adapter.ready_api(self.is_ready),
                MAX_READY_BODY_BYTES,
            ),
            (
                config.listen.metrics,
                metricspage.make_handler(self.metrics.render),
                metricspage.MAX_BODY_BYTES,
            ),
        )
        self.listeners = [
            self.outside_listener,
            *(
                leanserver.Listener(
                    address,
                    handler,
                    leanserver.internal_limits(max_body_bytes),
                )
                for addresses, handler, max_body_bytes in internal
                for address in addresses
            ),
        ]

    def has_current_routes(self) -> bool:
        """Returns whether the routes in force are certain to be the newest."""
        return (
            self.gateway.table is not None
            and self.control.document_lease.is_current()
        )

    def is_ready(self) -> bool:
        """Returns whether the node is ready for callers.

        A node that may accept no key refuses nearly every caller, and others
        may be able to serve them. So may those that can read the newest routes.
        """
        table = self.gateway.table
        if table is None or self.leave_task is not None:
            return False
        if self.control.routes_unreadable:
            return False
        return table.directory is None or self.control.document_lease.is_valid()

    async def start(self) -> None:
        """Opens the listeners and starts the background tasks.

        Raises:
          errors.StartError: an address cannot be used.
        """
        await self.peer_listener.start()
        for listener in self.listeners:
            await listener.start()
        self.control.views.subscribe(self.router.update_views)
        self.control.views.subscribe(self.quarantine_exchange.update_views)
        self.control.views.subscribe(self.set_node_count)
        self.control.routes.subscribe(self.apply_routes)
        self.control.draining.subscribe(self.leave_if_draining)
        for job in (
            self.control.run,
            self.local_services.run_expiry,
            self.outcome_log.run,
        ):
            self.tasks.append(
                asyncio.create_task(supervision.keep_running(job))
            )
        logs.log_event(logs.Component.NODE, "started", host=self.process.host)

    def set_node_count(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Tells the retry budget the number of nodes in the views."""
        node_count = sum(len(view.members) for view in views.values())
        self.dispatcher.dependencies.retry_budget.set_node_count(node_count)

    def decode_routes(
        self, change: messages.RoutesChange
    ) -> routes.Document | None:
        """Returns a routes document, None if this process cannot read it."""
        try:
            return self.adapter.decode(
                routespublisher.decompress_document(change)
            )
        except Exception as error:  # noqa: BLE001
            # A newer version may have accepted it. The renewals must go on, or
            # the node would not get the next one.
            logs.log_event(
                logs.Component.NODE,
                "routes cannot be read, older ones stay in force",
                version=change.version,
                why=repr(error),
            )
            return None

    def apply_routes(self, change: messages.RoutesChange) -> None:
        """Puts a routes document in force."""
        if not change.version:
            return
        document = self.decode_routes(change)
        self.control.routes_unreadable = document is None
        if document is None:
            return
        if not self.config.limits.large_responses:
            document = routes.without_large_responses(document)
        self.gateway.table = routes.RouteTable(document)
        self.metrics.retain_workspaces(
            {workspace.name for workspace in document.workspaces or ()}
        )
        limits = self.outside_listener.limits
        limits.max_line_bytes = document.limits.max_header_bytes
        limits.max_head_bytes = document.limits.max_header_bytes
        limits.max_body_bytes = document.limits.max_body_bytes
        limits.idle_timeout = document.limits.idle_timeout
        limits.read_timeout = document.limits.header_timeout
        logs.log_event(
            logs.Component.NODE,
            "routes in force",
            version=change.version,
            base=change.base,
            routes=len(document.routes),
        )

    async def leave(self) -> None:
        """Keeps serving until the others know that the node leaves, then ends.

        Callers notice it only after some time.  Until then they are served,
        and each connection is closed after a response.  Calls of other nodes
        are served as well if the response comes before the end: if no other
        host of the data centre has the service, their callers would wait for
        responses from further away, or be refused.  After that time, only
        child calls of calls that run here are accepted.
        """
        config = self.config.leaving
        logs.log_event(logs.Component.NODE, "leaving", grace=config.grace)
        self.outside_listener.leaving = True
        schedule = self.executor.shutdown
        schedule.start(self.stop_requested_at, config.grace, config.linger)
        linger = schedule.accept_until - self.stop_requested_at
        try:
            async with asyncio.timeout_at(schedule.abort_at):
                await asyncio.sleep(max(linger - LEAVE_NOTICE_SECONDS, 0))
                self.control.leaving = True
                await asyncio.sleep(min(linger, LEAVE_NOTICE_SECONDS))
                self.executor.leaving = True
                self.refuse_incomplete()
                while self.is_busy():
                    await asyncio.sleep(basenode.IDLE_POLL_SECONDS)
                    self.refuse_incomplete()
        except TimeoutError:
            self.abort(f"still in flight after {config.grace:g} s")
            return
        logs.log_event(logs.Component.NODE, "left", host=self.process.host)
        self.stopped.set()

    def refuse_incomplete(self) -> None:
        """Ends the requests that wait for their callers to send the rest."""
        now = asyncio.get_running_loop().time()
        arrives_until = self.executor.shutdown.accept_until + ARRIVAL_SECONDS
        self.outside_listener.refuse_incomplete(
            self.gateway.is_child_request,
            QUIET_SECONDS if now < arrives_until else 0.0,
        )

    def is_busy(self) -> bool:
        """Returns whether a call, a request or a response is in flight."""
        return super().is_busy() or bool(self.peer_listener.pending_responses)

    def caller_listeners(self) -> list[leanserver.Listener]:
        """Returns the listeners that accept calls."""
        return [self.outside_listener]

    async def close(self) -> None:
        """Closes listeners, tasks and connections."""
        await self.abort_in_flight()
        await asyncio.gather(self.close_listeners(), self.close_peers())
        self.outcome_log.log_interval(is_final=True)
        logs.log_event(logs.Component.NODE, "stopped", host=self.process.host)

    async def close_peers(self) -> None:
        """Stops the node's tasks and closes its connections to others."""
        self.undelivered_count += await self.peer_listener.close(
            timeout=self.close_timeout()
        )
        self.heartbeat_receiver.stop_check()
        await self.cancel_tasks()
        await self.close_connections()


def only_address(addresses: tuple[options.Address, ...]) -> options.Address:
    """Returns the only address of the setting `[backend] address`.

    Raises:
      errors.StartError: the setting holds no or several addresses.
    """
    if len(addresses) != 1:
        raise errors.StartError("[backend] address: expected one address")
    return addresses[0]
