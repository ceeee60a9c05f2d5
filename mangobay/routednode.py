"""A node whose operations come from a routes document."""

import asyncio
import dataclasses
import typing

from mangobay import (
    basenode,
    errors,
    gateway,
    heartbeats,
    ids,
    leanclient,
    leanserver,
    logs,
    metricspage,
    options,
    publishing,
    refusals,
    requestlog,
    routes,
)
from mangobay.generated import messages, settings

LEAVE_NOTICE_SECONDS = 0.7
"""Seconds before it takes no more calls that a leaving node has the others told:
a renewal, an entry of the log and the renewals of the others, with room for a
lost packet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapter:
    """How callers, backend servers and operators are spoken with.

    Attributes:
      header_names: the fields of requests and answers.
      decode: reads a routes document.
      heartbeat_api: makes the handler of heartbeats.
      ready_api: makes the handler that tells whether the node is ready.
    """

    header_names: gateway.HeaderNames
    decode: gateway.RoutesDecoder
    heartbeat_api: typing.Callable[
        [heartbeats.HeartbeatReceiver], leanserver.Handler
    ]
    ready_api: typing.Callable[[typing.Callable[[], bool]], leanserver.Handler]


class RoutedNode(basenode.BaseNode):
    """One node; attributes as in `basenode.BaseNode`.

    Attributes:
      adapter: how others are spoken with.
      listeners: for callers, heartbeats and readiness.
    """

    def __init__(self, config: settings.Node, adapter: PlatformAdapter):
        self.adapter = adapter
        super().__init__(config)

    def make_peers(self) -> None:
        """Makes what speaks to other processes."""
        super().make_peers()
        self.control.every_service = self.config.control.follow == "all"
        self.control.keyless = True

    def make_backend(self) -> None:
        """Makes the connections to the backend server here."""
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

    def make_edges(self) -> None:
        """Makes the listeners."""
        config = self.config
        self.gateway = gateway.Gateway(
            self.adapter.header_names,
            ids.ServiceName(config.backend.service),
            self.executor.find_parent,
            self.dispatcher,
            self.metrics,
            requestlog.RequestLog(),
            self.executor.shutdown,
        )
        limits = leanserver.Limits(
            max_body_bytes=config.limits.body_bytes,
            read_timeout=config.limits.header_timeout,
            max_connections=config.limits.connections,
        )
        self.outside_listener = leanserver.Listener(
            config.listen.outside, self.gateway.handle, limits
        )
        # The limit is not known before the routes are.
        self.outside_listener.too_large_response = (
            refusals.retry_later_response()
        )
        internal = (
            (
                config.listen.heartbeats,
                self.adapter.heartbeat_api(self.heartbeat_receiver),
            ),
            (config.listen.ready, self.adapter.ready_api(self.is_ready)),
            (
                config.listen.metrics,
                metricspage.make_handler(self.metrics.render),
            ),
        )
        self.listeners = [
            self.outside_listener,
            *(
                leanserver.Listener(address, handler, leanserver.Limits())
                for addresses, handler in internal
                for address in addresses
            ),
        ]

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return self.gateway.table is not None and self.leaving is None

    async def start(self) -> None:
        """Opens the listeners and starts the parts.

        Raises:
          errors.StartError: an address cannot be used.
        """
        await self.peer_listener.start()
        for listener in self.listeners:
            await listener.start()
        self.control.views.subscribe(self.router.update_views)
        self.control.views.subscribe(self.set_node_count)
        self.control.routes.subscribe(self.apply_routes)
        self.control.draining.subscribe(self.drained)
        for coroutine in (self.control.run(), self.local_services.run_expiry()):
            self.tasks.append(asyncio.create_task(coroutine))
        logs.say(logs.Part.NODE, "started", host=self.process.host)

    def set_node_count(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Takes the number of nodes from the views."""
        node_count = sum(len(view.members) for view in views.values())
        self.dispatcher.dependencies.retry_budget.set_node_count(node_count)

    def apply_routes(self, change: messages.RoutesChange) -> None:
        """Puts a routes document in force."""
        if not change.version:
            return
        document = self.adapter.decode(publishing.document_of(change))
        self.gateway.table = routes.Table(document)
        self.outside_listener.too_large_response = leanserver.TOO_LARGE_RESPONSE
        limits = self.outside_listener.limits
        limits.max_line_bytes = document.limits.header_bytes
        limits.max_body_bytes = document.limits.body_bytes
        limits.idle_timeout = document.limits.idle_timeout
        limits.read_timeout = document.limits.header_timeout
        logs.say(
            logs.Part.NODE,
            "routes in force",
            version=change.version,
            base=change.base,
            routes=len(document.routes),
        )

    async def leave(self) -> None:
        """Serves on until everybody knows that this node leaves, and ends.

        Callers learn it only after some time: until then they are served,
        and each connection is closed behind an answer.  Other nodes are
        served meanwhile too, where the answer comes before the end: where no
        other host of the data centre has the service, its callers would
        wait for answers from further away, or be refused.  After that time,
        only the calls that runs here make are still taken.
        """
        config = self.config.leaving
        logs.say(logs.Part.NODE, "leaving", grace=config.grace)
        self.outside_listener.leaving = True
        schedule = self.executor.shutdown
        schedule.start(self.told_at, config.grace, config.linger)
        linger = schedule.accept_until - self.told_at
        try:
            async with asyncio.timeout_at(schedule.abort_at):
                await asyncio.sleep(max(linger - LEAVE_NOTICE_SECONDS, 0))
                self.control.leaving = True
                await asyncio.sleep(min(linger, LEAVE_NOTICE_SECONDS))
                self.executor.leaving = True
                while self.busy():
                    await asyncio.sleep(basenode.IDLE_POLL)
        except TimeoutError:
            self.end(f"still in flight after {config.grace:g} s")
            return
        logs.say(logs.Part.NODE, "left", host=self.process.host)
        self.ended.set()

    def busy(self) -> bool:
        """Returns whether a call, a request or an answer is in flight."""
        return super().busy() or bool(self.peer_listener.owed)

    def caller_listeners(self) -> list[leanserver.Listener]:
        """Returns the listeners on which calls come in."""
        return [self.outside_listener]

    async def close(self) -> None:
        """Closes listeners, tasks and connections."""
        await self.give_up()
        await asyncio.gather(self.close_listeners(), self.close_peers())
        logs.say(logs.Part.NODE, "stopped", host=self.process.host)

    async def close_peers(self) -> None:
        """Ends the node's tasks and its connections to other processes."""
        await self.peer_listener.close()
        await self.end_tasks()
        await self.close_connections()


def only_address(addresses: tuple[options.Address, ...]) -> options.Address:
    """Returns the one address that a setting must hold.

    Raises:
      errors.StartError: it holds none or several.
    """
    if len(addresses) != 1:
        raise errors.StartError("[backend] address: give one address")
    return addresses[0]
