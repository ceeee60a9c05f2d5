"""A control host whose operators send routes documents."""

import typing

import prometheus_client

from mangobay import (
    control,
    controlmetrics,
    drainmanager,
    errors,
    leanhttp,
    leanserver,
    metricspage,
    routespublisher,
)
from mangobay.generated import messages, settings

HandlerFactory = typing.Callable[
    [routespublisher.RoutesPublisher], leanserver.Handler
]

WRITE_TIMEOUT_SECONDS = 0.3
"""For the last answers to be taken by their callers."""
JSON_HEADER = messages.Header(name="Content-Type", value="application/json")


class ListenerGroup:
    """Several listeners that start and close together.

    Attributes:
      listeners: that of operators first.
      drain_manager: operators' calls in flight.
    """

    def __init__(
        self,
        listeners: list[leanserver.Listener],
        taken: drainmanager.DrainManager,
    ):
        self.listeners = listeners
        self.drain_manager = taken

    async def start(self) -> None:
        """Opens the sockets.

        Raises:
          errors.StartError: an address is in use or not of this host.
        """
        for listener in self.listeners:
            await listener.start()

    async def drain(self, seconds: float) -> None:
        """Refuses new calls; gives up those that last longer than a time."""
        for listener in self.listeners:
            listener.leaving = True
        await self.drain_manager.drain(seconds)

    async def close(self) -> None:
        """Closes the sockets."""
        await self.drain(0)
        for listener in self.listeners:
            await listener.close(WRITE_TIMEOUT_SECONDS)


def drainable_handler(
    taken: drainmanager.DrainManager, api: leanserver.Handler
) -> leanserver.Handler:
    """Returns a handler that takes calls unless the host stops."""

    async def handle(
        request: leanhttp.Request, client: leanserver.Connection
    ) -> leanhttp.Response:
        try:
            return await taken.run(lambda: api(request, client))
        except (errors.ShuttingDownError, errors.AbortedByShutdownError):
            return leanhttp.Response(
                status=503, headers=[JSON_HEADER], body=b"{}"
            )

    return handle


class RoutedControl(control.Control):
    """One control host; attributes as in `control.Control`."""

    def __init__(self, config: settings.Control, make_api: HandlerFactory):
        super().__init__(config)
        self.make_handler = make_api

    def make_operator_listener(self) -> ListenerGroup:
        """Returns what answers operators, and serves metrics."""
        config = self.config
        limits = leanserver.Limits(
            max_body_bytes=config.limits.sheet_bytes,
            read_timeout=config.limits.header_timeout,
            max_connections=config.limits.operator_connections,
        )
        taken = drainmanager.DrainManager()
        api = drainable_handler(taken, self.make_handler(self.publisher))
        made = [leanserver.Listener(config.listen.operator, api, limits)]
        page = metricspage.make_handler(self.render_metrics)
        made += [
            leanserver.Listener(address, page, leanserver.Limits())
            for address in config.listen.metrics
        ]
        return ListenerGroup(made, taken)

    def render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(
            controlmetrics.ControlCollector(
                self.group, self.machine, self.leases
            )
        )
        return prometheus_client.generate_latest(registry)
