"""A control host whose operators publish routes documents."""

import typing

import prometheus_client

from mangobay import (
    clock,
    control,
    controlmetrics,
    drainmanager,
    errors,
    leanhttp,
    leanserver,
    metricspage,
    quarantinepage,
    quota,
    routespublisher,
    statemachine,
)
from mangobay.generated import messages, settings

HandlerFactory = typing.Callable[
    [routespublisher.RoutesPublisher], leanserver.Handler
]

WRITE_TIMEOUT_SECONDS = 0.3
"""Seconds for callers to receive the last responses."""
LARGEST_ORDERS = 2
"""Orders of the largest size that are received at the same time."""
JSON_HEADER = messages.Header(name="Content-Type", value="application/json")


class ListenerGroup:
    """Several listeners that start and close together.

    Attributes:
      listeners: the listeners; the one for operators is first.
      drain_manager: runs operators' calls.
    """

    def __init__(
        self,
        listeners: list[leanserver.Listener],
        drain_manager: drainmanager.DrainManager,
    ):
        self.listeners = listeners
        self.drain_manager = drain_manager

    async def start(self) -> None:
        """Opens the sockets.

        Raises:
          errors.StartError: an address is in use or not of this host.
        """
        for listener in self.listeners:
            await listener.start()

    async def drain(self, timeout: float) -> None:
        """Refuses new calls; aborts those that outlast the timeout."""
        for listener in self.listeners:
            listener.leaving = True
        await self.drain_manager.drain(timeout)

    async def close(self) -> None:
        """Closes the sockets."""
        await self.drain(0)
        for listener in self.listeners:
            await listener.close(WRITE_TIMEOUT_SECONDS)


def drainable_handler(
    drain_manager: drainmanager.DrainManager, handler: leanserver.Handler
) -> leanserver.Handler:
    """Returns a handler that refuses calls with 503 while the host stops."""

    async def handle(
        request: leanhttp.Request, connection: leanserver.Connection
    ) -> leanhttp.Response:
        try:
            return await drain_manager.run(lambda: handler(request, connection))
        except (errors.ShuttingDownError, errors.AbortedByShutdownError):
            return leanhttp.Response(
                status=503, headers=[JSON_HEADER], body=b"{}"
            )

    return handle


class RoutedControl(control.Control):
    """A control host that publishes routes documents.

    Attributes:
      make_handler: returns the handler of operators' calls.
      quotas: grants the tokens of workspaces.
    """

    def __init__(self, config: settings.Control, make_handler: HandlerFactory):
        super().__init__(config)
        self.make_handler = make_handler

    async def start(self) -> None:
        """Reads the data directory and opens the sockets.

        Raises:
          errors.StartError: a port is in use, or a file cannot be used.
          errors.StorageError: the data directory cannot be read or written.
        """
        await super().start()
        group = self.config.group
        quota_config = self.config.quota
        self.quotas = quota.QuotaAuthority(
            self.group,
            quota.Bounds(
                window=quota_config.window,
                overage=quota_config.overage,
                slack=quota_config.slack,
                holders=max(group.voters, len(self.group.settings.hosts)),
            ),
            clock.SuspensionDetector(),
            clock.now(),
        )
        self.machine.change_listeners.append(self.update_quotas)
        self.update_quotas(statemachine.StateChange(restored=True))

    def update_quotas(self, change: statemachine.StateChange) -> None:
        """Applies the quotas of a new routes document."""
        if change.routes or change.restored:
            self.quotas.update_quotas(self.machine.routes.quotas, clock.now())

    async def handle_request(
        self, hello: messages.Hello, body: messages.EnvelopeBody
    ) -> messages.EnvelopeBody:
        """Handles a request of a node or a control host.

        Raises:
          errors.PeerProtocolError: the peer may not send this request.
        """
        match body:
            case messages.TokenRequest():
                return self.quotas.handle(body, clock.now())
        return await super().handle_request(hello, body)

    def make_operator_listener(self) -> ListenerGroup:
        """Returns the listeners for operators and for metrics."""
        config = self.config
        limits = leanserver.Limits(
            max_body_bytes=config.limits.sheet_bytes,
            max_request_bytes=LARGEST_ORDERS * config.limits.sheet_bytes,
            read_timeout=config.limits.header_timeout,
            max_connections=config.limits.operator_connections,
            pipelining=False,
        )
        drain_manager = drainmanager.DrainManager()
        handler = drainable_handler(
            drain_manager, self.make_handler(self.publisher)
        )
        listeners = [
            leanserver.Listener(config.listen.operator, handler, limits)
        ]
        internal_handler = quarantinepage.make_handler(
            self.quarantine_admin,
            otherwise=metricspage.make_handler(self.render_metrics),
        )
        listeners += [
            leanserver.Listener(
                address,
                internal_handler,
                leanserver.internal_limits(
                    max(
                        quarantinepage.MAX_BODY_BYTES,
                        metricspage.MAX_BODY_BYTES,
                    )
                ),
            )
            for address in config.listen.metrics
        ]
        return ListenerGroup(listeners, drain_manager)

    def render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(
            controlmetrics.ControlCollector(
                self.group, self.machine, self.leases
            )
        )
        registry.register(controlmetrics.QuotaCollector(self.quotas))
        return prometheus_client.generate_latest(registry)
