"""HTTP gateway of a routed node: turns requests into calls by their routes."""

import asyncio
import dataclasses
import functools
import typing

from mangobay import (
    accesscontrol,
    backend,
    calls,
    dispatch,
    execution,
    httpheaders,
    httpparse,
    ids,
    leanclient,
    leanhttp,
    leanserver,
    localservices,
    metrics,
    outcomelog,
    quotaclient,
    refusals,
    requestlog,
    responsestream,
    retryallowance,
    routes,
    shutdown,
    workspacedirectory,
)
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason

UNTRACED = httpheaders.TraceContext("", "", False)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that a request was not run."""
FIRST_REDIRECT_STATUS = 300
AUTHORIZATION = b"authorization"

FindParent = typing.Callable[[ids.AttemptId], calls.Parent | None]
"""Returns the running call of an attempt id, None if it does not run here."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of the headers that callers and backend servers use.

    Attributes:
      backend: headers exchanged with backend servers.
      caller_service: the service on whose host a request entered.
      workspace: the workspace of the client that caused a request.
      target_instance: the only incarnation that may run a request.
      parent_attempt_of: returns the id of the parent attempt that is part of
        the attempt id of a child call, empty if there is none.
    """

    backend: leanclient.BackendHeaderNames
    caller_service: str
    workspace: str
    target_instance: str
    parent_attempt_of: typing.Callable[[ids.AttemptId], ids.AttemptId]

    @property
    def system_header_names(self) -> frozenset[str]:
        """Lower-case names of the request headers that only the system sets."""
        return frozenset(
            name.lower()
            for name in (
                self.caller_service,
                self.workspace,
                self.target_instance,
                self.backend.deadline,
            )
        )


class RoutedCallExecutor(execution.CallExecutor):
    """Runs calls at a backend server that uses the given header names.

    Attributes:
      header_names: names of the headers exchanged with the backend server.
      call_ids_by_attempt: queued and running calls by attempt id.
    """

    def __init__(self, header_names: HeaderNames, *args):
        super().__init__(*args)
        self.header_names = header_names
        self.call_ids_by_attempt: dict[ids.AttemptId, ids.CallId] = {}

    def find_parent(self, attempt_id: ids.AttemptId) -> calls.Parent | None:
        """Returns the running call of an attempt, None if it does not run."""
        call_id = self.call_ids_by_attempt.get(attempt_id)
        return self.parents.get(call_id) if call_id is not None else None

    async def admit_and_run(self, call: messages.Call, *args) -> messages.Reply:
        """Admits a call and runs it at the backend server."""
        header_value = httpheaders.find(
            call.headers, self.header_names.backend.attempt_id
        )
        attempt_id = ids.AttemptId(header_value)
        self.call_ids_by_attempt[attempt_id] = call.call_id
        body = None
        try:
            reply = await super().admit_and_run(call, *args)
            body = responsestream.body_of(reply)
            return reply
        finally:
            if body is None:
                self.call_ids_by_attempt.pop(attempt_id, None)
            else:
                body.add_end_callback(
                    functools.partial(
                        self.call_ids_by_attempt.pop, attempt_id, None
                    )
                )

    def headers(
        self, call: messages.Call, local_service: localservices.LocalService
    ) -> list[messages.Header]:
        """Returns the headers of the request to the backend server."""
        names = self.header_names
        added = [messages.Header(name=names.caller_service, value=call.caller)]
        if call.workspace:
            added.append(
                messages.Header(name=names.workspace, value=call.workspace)
            )
        if local_service.announcement.instance:
            # By now another service or another incarnation may run at the
            # address. It reports the mismatch and does not run the request.
            added.append(
                messages.Header(
                    name=names.target_instance,
                    value=local_service.announcement.instance,
                )
            )
        return [*call.headers, *added]

    def reply_of(
        self,
        response: backend.Response,
        running_call: retryallowance.RunningCall,
    ) -> messages.Reply:
        """Returns the reply for a response of the backend server."""
        del running_call
        if response.shed:
            return calls.not_run_reply(Reason.BACKEND_SHED)
        if response.status in NOT_RUN_STATUSES:
            # Forwarded, the status would tell the caller that the request was
            # not run. Only the `not_run` header says that.
            return calls.unknown_reply(Reason.INCOMPLETE_ANSWER)
        signature = httpheaders.find(
            response.headers, self.header_names.backend.signature
        )
        if response.status < FIRST_REDIRECT_STATUS and not signature:
            return calls.unknown_reply(Reason.INCOMPLETE_ANSWER)
        return messages.Reply(
            outcome=Outcome.ANSWERED,
            status=response.status,
            headers=response.headers,
            body=response.body,
            service_ms=int(response.seconds * 1000),
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """A request that may enter.

    Attributes:
      call: the call for it.
      route: its route.
      workspace: the workspace of its key; None if it needs none.
      token: what the quota of the workspace allowed; None if it has no quota.
      seconds_waited: seconds that the caller has spent on it before.
    """

    call: calls.Request
    route: routes.Route
    workspace: workspacedirectory.Workspace | None
    token: quotaclient.Decision | None = None
    seconds_waited: float = 0.0


class Gateway:
    """Accepts requests of clients and of the backend server on this host.

    Attributes:
      table: the routes in force; None before the first document.
      caller: the service on this host.
      find_parent: returns the running call of an attempt.
      shutdown: tells when the node stops accepting requests.
      access: checks keys and quotas.
      outcome_log: counts how requests ended, for reports.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        caller: ids.ServiceName,
        find_parent: FindParent,
        dispatcher: dispatch.Dispatcher,
        call_metrics: metrics.Metrics,
        log: requestlog.RequestLog,
        schedule: shutdown.ShutdownSchedule,
        access: accesscontrol.AccessControl,
        outcome_log: outcomelog.OutcomeLog,
    ):
        self.access = access
        self.outcome_log = outcome_log
        self.header_names = header_names
        self.system_header_names = header_names.system_header_names
        self.private_header_names = self.system_header_names | {
            AUTHORIZATION.decode()
        }
        self.caller = ids.CallerName(caller)
        self.find_parent = find_parent
        self.dispatcher = dispatcher
        self.metrics = call_metrics
        self.log = log
        self.shutdown = schedule
        self.table: routes.RouteTable | None = None

    async def handle(
        self, request: leanhttp.Request, connection: leanserver.Connection
    ) -> leanhttp.Response:
        """Handles a request; returns its response."""
        attempt_id = self.attempt_id_of(request)
        parent = self.parent_of(attempt_id)
        entry = None
        try:
            self.check_accepting(parent)
            entry = self.make_entry(request, attempt_id, connection)
            if entry.route.large_responses:
                connection.hold_pipelining()
            if entry.workspace is not None and not entry.route.public:
                entry.token = await self.access.acquire_token(
                    entry.workspace, entry.route, entry.seconds_waited
                )
                self.check_accepting(parent)
        except calls.RequestError as error:
            reply = calls.not_run_reply(error.reason, error.retry_after)
            self.metrics.record_refusal(error.reason)
            if entry is not None:
                if entry.token is not None:
                    self.access.give_back(entry.workspace, entry.token)
                self.record_outcome(entry, parent, reply)
            self.log.log_refused(
                attempt_id,
                error,
                self.table,
                self.access.document_lease.age(),
            )
            return refusals.from_reply(reply)
        reply = await self.dispatch(entry, attempt_id, parent)
        if reply.streamed:
            reply.source.add_end_callback(
                functools.partial(
                    self.log.log_cut_off, attempt_id, entry.call, reply
                )
            )
        self.record_outcome(entry, parent, reply)
        if entry.token is not None and reply.outcome is Outcome.NOT_RUN:
            self.access.give_back(entry.workspace, entry.token)
        if reply.outcome is Outcome.ANSWERED:
            return leanhttp.Response(
                status=reply.status,
                headers=reply.headers,
                body=reply.body,
                stream=responsestream.body_of(reply),
            )
        return refusals.from_reply(reply)

    def record_outcome(
        self,
        entry: Entry,
        parent: calls.Parent | None,
        reply: messages.Reply,
    ) -> None:
        """Counts how a request ended."""
        call = entry.call
        self.outcome_log.record_call(
            call.operation,
            call.importance,
            parent is None,
            reply,
            call.workspace,
        )
        if entry.workspace is not None:
            self.metrics.record_workspace(
                entry.workspace.name, workspace_result(reply)
            )

    async def dispatch(
        self,
        entry: Entry,
        attempt_id: ids.AttemptId,
        parent: calls.Parent | None,
    ) -> messages.Reply:
        """Dispatches the call of a request; returns and records its reply."""
        call = entry.call
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if parent is not None:
            call.inherit_from(parent)
            if not self.shutdown.accepts_work(started_at):
                latest_deadline = self.shutdown.latest_deadline()
                call.shortened = latest_deadline < call.deadline
                call.deadline = min(call.deadline, latest_deadline)
            parent.running_call.child_started(started_at)
        reply = calls.unknown_reply(Reason.CANCELLED)
        try:
            reply = await self.dispatcher.handle(call)
        finally:
            now = loop.time()
            if parent is not None:
                parent.running_call.child_ended(now)
                if reply.reason in calls.THRESHOLD_REFUSALS:
                    parent.running_call.child_refused(
                        max(reply.threshold, reply.below)
                    )
                elif not calls.is_success(reply):
                    parent.running_call.child_failed(
                        max(call.retry_threshold, reply.retry_threshold)
                    )
            seconds = now - started_at
            self.metrics.record_call(call.operation, reply, seconds)
            if not calls.is_success(reply):
                self.log.log_unanswered(attempt_id, call, reply, seconds)
        return reply

    def check_accepting(self, parent: calls.Parent | None) -> None:
        """Checks that the node still accepts requests.

        A child call of a call that runs here is always accepted, because it
        belongs to work that was accepted before the shutdown.

        Raises:
          calls.RequestError: the node is shutting down.
        """
        now = asyncio.get_running_loop().time()
        if parent is None and not self.shutdown.accepts_work(now):
            retry_after = max(self.shutdown.abort_at - now, 0)
            raise calls.RequestError(
                Reason.LEAVING, "the node is shutting down", retry_after
            )

    def is_child_request(self, request: httpparse.Message) -> bool:
        """Returns whether a call that runs here makes a request."""
        return self.parent_of(self.attempt_id_of(request)) is not None

    def attempt_id_of(
        self, request: leanhttp.Request | httpparse.Message
    ) -> ids.AttemptId:
        """Returns the attempt id of the request, empty if it has none."""
        header_value = request.headers.get(
            self.header_names.backend.attempt_id, ""
        )
        return ids.AttemptId(header_value)

    def make_entry(
        self,
        request: leanhttp.Request,
        attempt_id: ids.AttemptId,
        connection: leanserver.Connection,
    ) -> Entry:
        """Returns the call for a request, with its route and workspace.

        Raises:
          calls.RequestError: the request is invalid, cannot be routed, or has
            no valid key.
        """
        if self.table is None:
            raise calls.RequestError(
                Reason.NO_LEASE, "no routes document received yet"
            )
        destination = self.table.find(
            request.headers.get("Host", ""), request.path
        )
        if destination is None:
            self.access.check_current()
            raise calls.RequestError(
                Reason.NO_SUCH_OPERATION, "no route matches host and path"
            )
        workspace = self.access.authenticate(
            self.table,
            destination.route,
            leanhttp.header_values(request, AUTHORIZATION),
        )
        if not attempt_id:
            raise calls.RequestError(
                Reason.MALFORMED, "attempt id header is missing"
            )
        caller_timeout = self.seconds_left(request)
        timeout = min(caller_timeout, destination.route.timeout)
        operation = destination.next_operation(request.method)
        if operation is None:
            raise calls.RequestError(
                Reason.NO_BACKEND, "no service of the route has weight"
            )
        call = calls.Request(
            operation=operation,
            revision=ids.Revision(self.table.document.version),
            target=request.target,
            headers=leanhttp.end_to_end_headers(
                request, self.removed_header_names()
            ),
            body=request.body,
            rest=request.rest,
            caller=self.caller,
            client=ids.ClientId(connection.remote),
            importance=self.table.ranking.find(workspace, destination.route),
            depth=int(destination.has_waited_before(caller_timeout)),
            deadline=asyncio.get_running_loop().time() + timeout,
            allowance=retryallowance.RetryAllowance(operation.tries),
            key=ids.IdempotencyKey(""),
            trace=UNTRACED,
            tree=httpheaders.new_tree_id(),
            workspace=workspace.name if workspace else ids.NO_WORKSPACE,
        )
        return Entry(
            call=call,
            route=destination.route,
            workspace=workspace,
            seconds_waited=destination.seconds_waited(caller_timeout),
        )

    def removed_header_names(self) -> frozenset[str]:
        """Returns the lower-case names of the headers that are not forwarded.

        The key of a workspace is a secret that backend servers do not need.
        Without workspaces, the header may be meant for a backend server.
        """
        if self.table.directory is None:
            return self.system_header_names
        return self.private_header_names

    def parent_of(self, attempt_id: ids.AttemptId) -> calls.Parent | None:
        """Returns the running call that makes an attempt, None if not here.

        The attempt inherits the importance and depth of that parent call.  By
        those of its own route, a child call of an urgent request would wait
        behind other calls, or be refused in place of them, and the urgent
        request would fail with all the work done for it.  The parent also
        makes it possible to measure the time of the run without its child
        calls.  If the id names a wrong parent, no call runs twice, or where it
        must not.
        """
        return self.find_parent(self.header_names.parent_attempt_of(attempt_id))

    def seconds_left(self, request: leanhttp.Request) -> float:
        """Returns how long the caller waits, infinity if it does not say.

        Raises:
          calls.RequestError: the deadline header is not a whole number.
        """
        header_value = request.headers.get(self.header_names.backend.deadline)
        if header_value is None:
            return float("inf")
        try:
            milliseconds = int(header_value)
        except ValueError:
            raise calls.RequestError(
                Reason.MALFORMED, f"{header_value!r} is not a deadline in ms"
            ) from None
        return milliseconds / 1000


def workspace_result(reply: messages.Reply) -> metrics.WorkspaceResult:
    """Returns how a reply counts for the workspace of its request."""
    if reply.reason is Reason.QUOTA_EXCEEDED:
        return metrics.WorkspaceResult.OVER_QUOTA
    if reply.outcome is Outcome.NOT_RUN:
        return metrics.WorkspaceResult.REFUSED
    if calls.is_success(reply):
        return metrics.WorkspaceResult.ANSWERED
    return metrics.WorkspaceResult.FAILED


class RoutesDecoder(typing.Protocol):
    """Parses a routes document in the operator's format."""

    def __call__(self, data: bytes) -> routes.Document:
        """Returns the document, which was validated when it was accepted."""
