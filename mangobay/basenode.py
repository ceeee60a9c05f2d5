"""The base class of nodes: components, run loop and shutdown."""

import asyncio
import collections.abc
import gc
import math
import random
import secrets
import signal
import typing

from mangobay import (
    admission,
    callquery,
    calls,
    controlclient,
    dispatch,
    errors,
    hostwatch,
    ids,
    joining,
    lease,
    localservices,
    logs,
    metrics,
    nodegauges,
    once,
    outcomelog,
    peers,
    quarantine,
    quarantinenotices,
    receivedbytes,
    retrybudget,
    routing,
    runguard,
    slotownership,
    tls,
    traces,
)
from mangobay.generated import messages, settings

ROLE = "node"
IDLE_POLL_SECONDS = 0.02
"""Seconds between two checks whether the node is still busy."""
INCARNATION_BYTES = 8
ALLOCATIONS_BETWEEN_COLLECTIONS = 50_000
"""Threshold of the youngest generation, in allocations.

A collection pauses every call, and calls create few reference cycles.
"""


class Listener(typing.Protocol):
    """A listener of the node, as shutdown needs it.

    Attributes:
      busy: whether a caller waits for a response or is still receiving one.
    """

    busy: bool

    async def close(self, seconds: float = 0.0) -> int:
        """Closes every connection; returns the number of aborted responses."""
        ...


class BaseNode:
    """One node; subclasses create its edges and define its start and shutdown.

    Attributes:
      listeners: for callers, the backend server and readiness checks.
      stop_requested_at: loop time at which the node was told to stop.
      stopped: set once the node has left or has aborted.
      undelivered_count: responses to callers and replies to other nodes that
        were cut.
    """

    listeners: collections.abc.Sequence[Listener]

    def __init__(self, config: settings.Node):
        self.config = config
        self.process = calls.Process(
            ids.HostId(config.host.name),
            ids.DataCentre(config.host.data_centre),
            ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
        )
        self.rng = random.Random()
        self.metrics = metrics.Metrics()
        self.outcome_log = outcomelog.OutcomeLog(self.process.host)
        self.tasks: list[asyncio.Task] = []
        self.leave_task: asyncio.Task | None = None
        self.stop_requested_at = math.inf
        self.stopped = asyncio.Event()
        self.undelivered_count = 0
        receivedbytes.account.max_bytes = config.limits.received_bytes
        self.make_peers()
        self.make_executor()
        self.make_dispatcher()
        self.make_edges()
        self.metrics.gauges += nodegauges.make_gauges(self)

    def make_peers(self) -> None:
        """Creates the clients and the listener for other processes."""
        config = self.config
        hello = messages.Hello(
            host=self.process.host,
            data_centre=self.process.data_centre,
            incarnation=self.process.incarnation,
            role=ROLE,
            takes_queries=config.silence.queries,
            takes_parts=config.limits.large_responses,
        )
        limits = peers.Limits(
            max_frame_bytes=config.limits.frame_bytes,
            max_connections=config.limits.connections,
            frame_timeout=config.limits.header_timeout,
            stall_timeout=config.limits.stall_timeout,
        )
        identity = tls.load_identity(config.tls)
        self.peer_client = peers.PeerClient(
            hello,
            identity=identity,
            limits=limits,
            silence_share=config.silence.share,
        )
        self.peer_listener = peers.Listener(
            config.listen.peer,
            hello,
            self.handle_request,
            identity=identity,
            limits=limits,
        )
        self.call_memory = callquery.CallMemory(
            config.silence, self.peer_listener
        )
        self.control = controlclient.ControlClient(
            joining.node_control_with_seeds(config.control, config.listen.peer),
            controlclient.NodeIdentity(
                host=self.process.host,
                incarnation=self.process.incarnation,
                data_centre=self.process.data_centre,
                peer_address=config.listen.peer,
            ),
            self.peer_client,
            self.rng,
        )

    def make_executor(self) -> None:
        """Creates the components that run calls at the local backend server."""
        config = self.config
        self.once = once.AtMostOnce(
            config.once,
            slotownership.ProcessId(
                self.process.host, self.process.incarnation
            ),
            self.peer_client,
            self.control.lease,
        )
        self.local_services = localservices.LocalServices(
            config.backend.silence,
            self.make_admission_controller,
            self.set_served_services,
        )
        self.make_backend()
        self.make_quarantine()

    def make_quarantine(self) -> None:
        """Creates the guard of the backend server, unless it is off."""
        self.quarantine = quarantine.Quarantine(self.config.quarantine)
        self.quarantine_exchange = quarantinenotices.QuarantineExchange(
            self.process.host, self.peer_client, self.quarantine
        )
        if self.config.quarantine.after:
            self.executor.guard = runguard.RunGuard(
                self.quarantine,
                self.quarantine_exchange,
                runguard.number_ends(self.process.incarnation),
            )
            self.local_services.observer = self.executor.guard

    def make_backend(self) -> None:
        """Creates the client of the local backend server, and the executor."""
        raise NotImplementedError

    def make_edges(self) -> None:
        """Creates the edges and the HTTP listeners."""
        raise NotImplementedError

    def caller_listeners(self) -> list[Listener]:
        """Returns the listeners that accept calls."""
        raise NotImplementedError

    async def start(self) -> None:
        """Opens the listeners and starts the background tasks.

        Raises:
          errors.StartError: an address cannot be used.
        """
        raise NotImplementedError

    async def leave(self) -> None:
        """Refuses new work, finishes the work in flight, and stops."""
        raise NotImplementedError

    async def close(self) -> None:
        """Closes listeners, tasks and connections."""
        raise NotImplementedError

    def make_admission_controller(self) -> admission.AdmissionController:
        """Returns a controller for a service announced to this node."""
        config = self.config
        return admission.AdmissionController(
            config.admission, config.retries, config.recovery, self.rng
        )

    def set_served_services(self, served: list[messages.ServedService]) -> None:
        """Announces the services of the local backend server to control."""
        self.control.serves = served
        self.quarantine_exchange.update_served(
            [service.name for service in served]
        )

    def make_dispatcher(self) -> None:
        """Creates the components that send calls to hosts."""
        config = self.config
        self.router = routing.Router(
            config.routing,
            config.admission,
            self.process.data_centre,
            self.rng,
        )
        self.tracer = traces.Tracer()
        if config.trace.file:
            try:
                self.tracer = traces.make_file_tracer(
                    config.trace.file, self.process
                )
            except OSError as error:
                raise errors.StartError(f"trace file: {error}") from None
        self.dispatcher = dispatch.Dispatcher(
            config.retries,
            dispatch.Dependencies(
                process=self.process,
                router=self.router,
                retry_budget=retrybudget.RetryBudget(config.retries),
                transport=self.peer_client,
                executor=self.executor,
                lease=self.make_dispatch_lease(),
                views=self.control.views,
                tracer=self.tracer,
                rng=self.rng,
                schedule=self.executor.shutdown,
            ),
        )
        self.watch_hosts()

    def watch_hosts(self) -> None:
        """Creates the watch of called hosts, unless there is no guard."""
        guard = self.executor.guard
        if guard is not None:
            self.dispatcher.host_watch = hostwatch.HostWatch(
                self.peer_client, guard.handle_host_end
            )

    def make_dispatch_lease(self) -> dispatch.Lease:
        """Returns the lease that non-idempotent calls require."""
        if self.config.control.cut_off == "serve":
            return lease.UnlimitedLease()
        return self.control.lease

    async def handle_request(
        self, hello: messages.Hello, body: messages.EnvelopeBody
    ) -> messages.EnvelopeBody:
        """Handles a request of another process of the system.

        Raises:
          errors.PeerProtocolError: nodes do not handle such a request.
        """
        match body:
            case messages.Call() if self.answers_queries_of(hello):
                return await self.call_memory.run(body, self.serve_call)
            case messages.Call():
                reply = await self.serve_call(body)
                if not hello.takes_notices:
                    make_known_to_older_peer(reply)
                return reply
            case messages.CallQuery() if self.answers_queries_of(hello):
                return await self.call_memory.answer(hello, body)
            case messages.CopyPut() | messages.CopyFetch():
                return await self.once.handle(body)
            case messages.QuarantineNotice():
                return self.quarantine_exchange.handle(body)
        raise errors.PeerProtocolError(
            f"a node does not answer {type(body).__name__} of {hello.host}"
        )

    def answers_queries_of(self, hello: messages.Hello) -> bool:
        """Returns whether a process may ask about its calls to this node."""
        return hello.takes_queries and self.config.silence.queries

    async def serve_call(self, call: messages.Call) -> messages.Reply:
        """Runs a call of another node at the backend server here."""
        reply = await self.executor.serve(call)
        reply.revision = self.control.tables.value.revision
        return reply

    async def run(self) -> int:
        """Runs until the node has left; returns the exit code."""
        handlers = {
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.interrupt,
            signal.SIGHUP: self.reload,
        }
        loop = asyncio.get_running_loop()
        for signal_number, handler in handlers.items():
            loop.add_signal_handler(signal_number, handler)
        try:
            await self.start()
            limit_gc_pauses()
            await self.stopped.wait()
        finally:
            await self.close()
        if not self.aborted_count:
            return 0
        logs.log_event(
            logs.Component.NODE,
            "awaited responses were aborted",
            count=self.aborted_count,
        )
        return 1

    @property
    def aborted_count(self) -> int:
        """Number of responses that were awaited and aborted.

        It is final once the node is closed.
        """
        return self.undelivered_count + self.dispatcher.in_flight.given_up_count

    def reload(self) -> None:
        """Logs that settings are read only at the start.

        All configuration that changes at run time comes from the control group.
        """
        logs.log_event(
            logs.Component.NODE, "settings are read at the next start"
        )

    def leave_if_draining(self, draining: bool) -> None:
        """Leaves if an operator has requested it."""
        if draining and self.leave_task is None:
            self.stop()

    def stop(self) -> None:
        """Starts a graceful shutdown; does nothing if one is in progress.

        Service managers send SIGTERM to a drained node, and some send it twice.
        """
        if self.leave_task is not None:
            logs.log_event(
                logs.Component.NODE, "told to stop again, goes on leaving"
            )
            return
        self.stop_requested_at = asyncio.get_running_loop().time()
        self.leave_task = asyncio.create_task(self.leave())

    def interrupt(self) -> None:
        """Starts a graceful shutdown; aborts if one is in progress."""
        if self.leave_task is None:
            self.stop()
            return
        self.abort("interrupted")

    def is_busy(self) -> bool:
        """Returns whether a call or a request is in flight."""
        return bool(
            self.dispatcher.in_flight.open
            or not self.executor.idle
            or any(listener.busy for listener in self.caller_listeners())
        )

    def abort(self, reason: str) -> None:
        """Stops at once and logs what is still in flight."""
        if self.stopped.is_set():
            return
        running_operations = [
            parent.call.operation for parent in self.executor.parents.values()
        ]
        now = asyncio.get_running_loop().time()
        entered_at = [
            call.entered_at for call in self.dispatcher.in_flight.open
        ]
        logs.log_event(
            logs.Component.NODE,
            "stopping at once",
            why=reason,
            calls_entered_here=len(entered_at),
            entered_while_leaving=sum(
                entry > self.stop_requested_at for entry in entered_at
            ),
            oldest_s=round(now - min(entered_at, default=now), 3),
            newest_s=round(now - max(entered_at, default=now), 3),
            operations_running_here=running_operations,
        )
        self.stopped.set()

    async def abort_in_flight(self) -> None:
        """Refuses waiting calls and ends the others with `unknown`."""
        self.executor.leaving = True
        for local_service in self.local_services.by_name.values():
            local_service.admission.refuse_all_waiting()
        await self.dispatcher.in_flight.give_up()

    def write_timeout(self) -> float:
        """Returns the seconds left for callers to receive responses."""
        now = asyncio.get_running_loop().time()
        return self.executor.shutdown.write_timeout(now)

    def close_timeout(self) -> float:
        """Returns the seconds left for connections to other nodes to end."""
        now = asyncio.get_running_loop().time()
        return self.executor.shutdown.close_timeout(now)

    async def close_listeners(self) -> None:
        """Closes the HTTP listeners; counts aborted responses."""
        timeout = self.write_timeout()
        undelivered_count = sum(
            await asyncio.gather(
                *(listener.close(timeout) for listener in self.listeners)
            )
        )
        if undelivered_count:
            logs.log_event(
                logs.Component.NODE,
                "responses not received by their callers",
                answers=undelivered_count,
            )
        self.undelivered_count += undelivered_count

    async def cancel_tasks(self) -> None:
        """Cancels the background tasks."""
        if self.leave_task is not None:
            self.tasks.append(self.leave_task)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def close_connections(self) -> None:
        """Closes the connections to peers and to the backend server."""
        await self.once.close()
        if self.executor.guard is not None:
            await self.executor.guard.close()
            await self.dispatcher.host_watch.close()
        await self.quarantine_exchange.close()
        await self.peer_client.close(self.close_timeout())
        await self.backend.close()


def make_known_to_older_peer(reply: messages.Reply) -> None:
    """Replaces a reason that would end the connection of an older peer."""
    if reply.reason is messages.Reason.QUARANTINED:
        reply.reason = messages.Reason.OVERLOADED


def limit_gc_pauses() -> None:
    """Excludes objects created so far from garbage collection.

    A collection pauses every call.  Most objects created at the start live as
    long as the process; traversing them takes milliseconds and frees nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(ALLOCATIONS_BETWEEN_COLLECTIONS, 10, 10)
