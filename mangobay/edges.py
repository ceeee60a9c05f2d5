"""HTTP handlers for outside callers and for backend servers on this host."""

import asyncio
import logging
import random
import secrets
import typing

from aiohttp import web

from mangobay import (
    calls,
    dispatch,
    errors,
    execution,
    httpheaders,
    httpserver,
    ids,
    inbound,
    logs,
    metrics,
    operationtable,
    outcomelog,
    requestmemory,
    retryallowance,
)
from mangobay.generated import messages, settings

Outcome = messages.Outcome
Reason = messages.Reason

API_PREFIX = "/mangobay/"
MAX_BODIES_BYTES = 32 * 1024 * 1024
"""Bytes that all bodies of an edge hold that are received or handled."""
LARGEST_BODIES = 2
"""Bodies of the largest size that are received at the same time at least."""


class Tables(typing.Protocol):
    """The part of the operation table subject that edges use."""

    value: operationtable.OperationTable


class Directory(typing.Protocol):
    """The part of `controlclient.ControlClient` that edges use.

    Attributes:
      tables: the operations known here.
      lease: valid while they are certain to be the newest ones.
    """

    tables: Tables
    lease: dispatch.Lease

    async def fetch_service(self, service: ids.ServiceName) -> None:
        """Waits until the table has the control group's entry for a service."""


class Edge:
    """The request handling that both edges share."""

    def __init__(
        self,
        limits: settings.NodeLimits,
        directory: Directory,
        dispatcher: dispatch.Dispatcher,
        executor: execution.CallExecutor,
        call_metrics: metrics.Metrics,
        outcome_log: outcomelog.OutcomeLog,
        sample_rate: float,
    ):
        self.limits = limits
        self.directory = directory
        self.dispatcher = dispatcher
        self.executor = executor
        self.metrics = call_metrics
        self.outcome_log = outcome_log
        self.sample_rate = sample_rate
        self.rng = random.Random()
        self.body_memory = requestmemory.RequestMemory(
            max(MAX_BODIES_BYTES, LARGEST_BODIES * limits.body_bytes)
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request; every response states its outcome."""
        detail = ""
        try:
            reply = await self.process_request(request)
        except calls.RequestError as error:
            reply = calls.not_run_reply(error.reason)
            detail = str(error)
        except errors.MangobayError as error:
            logs.log_event(logs.Component.CALL, "call failed", why=str(error))
            reply = calls.unknown_reply(Reason.INTERNAL)
        return httpserver.to_response(reply, self.rng, detail)

    async def process_request(self, request: web.BaseRequest) -> messages.Reply:
        """Returns the reply to a request.

        Raises:
          calls.RequestError: The request is refused before it becomes a call.
        """
        raise NotImplementedError

    def check_accepting(self) -> None:
        """Checks that the node accepts new work.

        Not for the child calls of a call that runs here: they belong to work
        accepted before.

        Raises:
          calls.RequestError: The node is leaving.
        """
        if self.executor.leaving:
            raise calls.RequestError(Reason.LEAVING, "")

    async def submit(self, request: calls.Request) -> messages.Reply:
        """Dispatches a call and counts its outcome."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        # Counted if the caller disconnects: the call may have run.
        reply = calls.unknown_reply(Reason.CANCELLED)
        try:
            reply = await self.dispatcher.handle(request)
        finally:
            self.metrics.record_call(
                request.operation, reply, loop.time() - started_at
            )
            self.outcome_log.record_call(
                request.operation,
                request.importance,
                request.caller == ids.OUTSIDE,
                reply,
            )
        return reply

    async def read_body(self, request: web.BaseRequest) -> bytes:
        """Returns the whole body.

        Raises:
          calls.RequestError: The body is too long, too slow or incomplete.
        """
        return await httpserver.read_body(
            request,
            self.limits.body_bytes,
            self.limits.header_timeout,
            self.body_memory,
        )

    def find_allowed(
        self, service: ids.ServiceName, method: str, target: str, caller
    ) -> messages.Operation | None:
        """Returns the operation, or None if it is unknown or not allowed."""
        operation = self.directory.tables.value.find(service, method, target)
        if operation is None or not operationtable.OperationTable.allows(
            operation, caller
        ):
            return None
        return operation

    def no_such_operation(self) -> calls.RequestError:
        """Returns the refusal of a call to an operation that is not known.

        Without a lease, the operation may have been added meanwhile.
        """
        if self.directory.lease.is_valid():
            return calls.RequestError(Reason.NO_SUCH_OPERATION, "")
        return calls.RequestError(
            Reason.NO_LEASE, "the operations known here may be outdated"
        )

    async def fetch_services(self, *services: ids.ServiceName) -> None:
        """Waits until the table has the control group's entries for services.

        Raises:
          calls.RequestError: No control host answers.
        """
        try:
            await asyncio.gather(*map(self.directory.fetch_service, services))
        except errors.MangobayError as error:
            raise calls.RequestError(Reason.NO_LEASE, str(error)) from None


class OutsideEdge(Edge):
    """Handles requests of outside callers to /SERVICE/path.

    Attributes:
      decoy: Random suffix for service names that do not exist.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.decoy = secrets.token_hex(8)

    async def process_request(self, request: web.BaseRequest) -> messages.Reply:
        """Returns the reply to an outside caller's request.

        Raises:
          calls.RequestError: The request is refused before it becomes a call.
        """
        self.check_accepting()
        service, target = inbound.split_path(request.raw_path)
        operation = await self.resolve(service, request.method, target)
        headers = request.headers
        deadline = inbound.deadline_of(operation, headers)
        key = inbound.key_of(headers)
        body = await self.read_body(request)
        # The node may have started to leave while the body was read.
        self.check_accepting()
        return await self.submit(
            calls.Request(
                operation=operation,
                revision=self.directory.tables.value.revision,
                target=target,
                headers=inbound.headers_of(headers),
                body=body,
                caller=ids.OUTSIDE,
                client=inbound.client_of(request),
                importance=operation.importance,
                depth=0,
                deadline=deadline,
                allowance=retryallowance.RetryAllowance(operation.tries),
                key=key,
                trace=self.make_trace(headers),
                tree=httpheaders.new_tree_id(),
            )
        )

    async def resolve(
        self, service: ids.ServiceName, method: str, target: str
    ) -> messages.Operation:
        """Returns an operation that is visible from outside.

        Response times must not reveal hidden services.  Without a decoy, a
        hidden service that this node knows would be refused at once, while
        an unknown name costs a round trip to the control group.  So every
        refusal first asks for both the name and a decoy that never exists;
        both are cached for the same time.

        Raises:
          calls.RequestError: There is no such operation, or it is hidden.
        """
        operation = self.find_allowed(service, method, target, ids.OUTSIDE)
        if operation is None:
            decoy = ids.ServiceName(f"{service}~{self.decoy}")
            await self.fetch_services(service, decoy)
            operation = self.find_allowed(service, method, target, ids.OUTSIDE)
        if operation is None:
            raise self.no_such_operation()
        return operation

    def make_trace(
        self, headers: httpheaders.HeaderMap
    ) -> httpheaders.TraceContext:
        """Returns the caller's trace context, or a new one.

        The sampling decision is made here, since callers that set the sampled
        flag on every request would have every span recorded.
        """
        own_trace = httpheaders.new_trace(self.sample_rate)
        caller_trace = httpheaders.parse_traceparent(
            headers.get(httpheaders.TRACEPARENT, "")
        )
        if caller_trace is None:
            return own_trace
        return httpheaders.TraceContext(
            caller_trace.trace_id, caller_trace.parent_span, own_trace.sampled
        )


class LocalEdge(Edge):
    """Handles the calls that backend servers on this host make."""

    async def process_request(self, request: web.BaseRequest) -> messages.Reply:
        """Returns the reply to a call of a backend server.

        Raises:
          calls.RequestError: The request is refused before it becomes a call.
        """
        headers = request.headers
        parent = self.executor.parent_of(
            headers.get(httpheaders.TRACESTATE, ""),
            headers.get(httpheaders.TRACEPARENT, ""),
        )
        if parent is None:
            self.check_accepting()
        caller = self.identify_caller(headers, parent)
        service, target = inbound.split_path(request.raw_path)
        operation = await self.resolve(service, request.method, target, caller)
        deadline = inbound.deadline_of(operation, headers)
        key = inbound.key_of(headers)
        body = await self.read_body(request)
        call = calls.Request(
            operation=operation,
            revision=self.directory.tables.value.revision,
            target=target,
            headers=inbound.headers_of(headers),
            body=body,
            caller=caller,
            client=ids.ClientId(caller),
            importance=operation.importance,
            depth=0,
            deadline=deadline,
            allowance=retryallowance.RetryAllowance(0),
            key=key,
            trace=httpheaders.new_trace(self.sample_rate),
            tree=httpheaders.new_tree_id(),
        )
        if parent is None:
            self.check_accepting()
            return await self.submit(call)
        return await self.submit_child(call, parent)

    async def submit_child(
        self, call: calls.Request, parent: calls.Parent
    ) -> messages.Reply:
        """Dispatches a child call with part of its parent's retry allowance."""
        running_call = parent.running_call
        child_target = f"{call.operation.service}{call.target}"
        if not running_call.allow_child(
            call.operation.method, child_target, call.body
        ):
            return calls.not_run_reply(Reason.TRIES_EXHAUSTED)
        call.client = parent.call.client
        call.inherit_from(parent)
        call.deadline = min(call.deadline, parent.deadline)
        call.trace = parent.trace
        call.allowance = retryallowance.RetryAllowance(
            running_call.allowance.lend()
        )
        loop = asyncio.get_running_loop()
        running_call.child_started(loop.time())
        try:
            reply = await self.submit(call)
            if reply.reason in calls.THRESHOLD_REFUSALS:
                running_call.child_refused(max(reply.threshold, reply.below))
            return reply
        finally:
            running_call.child_ended(loop.time())
            running_call.allowance.reclaim(call.allowance.close())

    def identify_caller(
        self, headers: httpheaders.HeaderMap, parent: calls.Parent | None
    ) -> ids.CallerName:
        """Returns the calling service.

        Raises:
          calls.RequestError: No service is announced, or several are and the
            request names none of them.
        """
        if parent is not None:
            return ids.CallerName(parent.call.service)
        names = list(self.executor.local_services.by_name)
        claimed_name = headers.get(httpheaders.SERVICE, "")
        if claimed_name in names:
            return ids.CallerName(claimed_name)
        if claimed_name or len(names) != 1:
            raise calls.RequestError(
                Reason.MALFORMED,
                f"announce the calling service first, and name it in "
                f"{httpheaders.SERVICE} where several are announced",
            )
        return ids.CallerName(names[0])

    async def resolve(
        self,
        service: ids.ServiceName,
        method: str,
        target: str,
        caller: ids.CallerName,
    ) -> messages.Operation:
        """Returns the operation that the caller asks for.

        Raises:
          calls.RequestError: There is no such operation, or the caller may
            not call it.
        """
        operation = self.find_allowed(service, method, target, caller)
        if operation is None:
            await self.fetch_services(service)
            operation = self.find_allowed(service, method, target, caller)
        if operation is None:
            raise self.no_such_operation()
        return operation


logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
