"""Execution of calls at the backend server on this host."""

import asyncio
import collections.abc
import dataclasses
import functools
import typing

from mangobay import (
    admission,
    admissionrequest,
    backend,
    backendbody,
    calls,
    errors,
    httpheaders,
    ids,
    invariants,
    localservices,
    logs,
    options,
    remotetraffic,
    requestbody,
    responsestream,
    retryallowance,
    runguard,
    shutdown,
    stateupdates,
)
from mangobay.generated import messages

MAX_OVERRUN_SECONDS = 30.0
"""How long a started non-idempotent call may run past its deadline, in seconds.

If it were aborted at the deadline, its outcome would stay unknown. Once it
completes, its response is kept for a repeat with the same key.
"""

MAX_SERVER_MARGIN_SECONDS = 0.02
"""Longest time before a shortened deadline at which the backend server is told
to stop, so that its own response to that comes in time."""
SERVER_MARGIN_SHARE = 0.05
"""Upper bound of that time, as a share of the time left."""

Outcome = messages.Outcome
Reason = messages.Reason
BROKEN_REASONS = frozenset({Reason.CONNECTION_BROKEN, Reason.INCOMPLETE_ANSWER})
"""Reasons of replies after which the backend server may have ended."""
PENDING_REPLY = calls.unknown_reply(Reason.CANCELLED)
"""Stands for the reply of a call in progress; never returned."""
Execute = collections.abc.Callable[
    [backend.BeforeSend | None], collections.abc.Awaitable[messages.Reply]
]
"""Admits a call and runs it; awaits the argument before the first byte."""


class AtMostOnce(typing.Protocol):
    """Interface of `once.AtMostOnce` that execution needs."""

    async def run(
        self, call: messages.Call, execute: Execute
    ) -> messages.Reply:
        """Runs a call with a key unless it ran or may have run before."""


class BackendClient(typing.Protocol):
    """Interface of the HTTP client for the backend server."""

    async def send(
        self,
        address: options.Address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Sends a request; returns the complete response."""


class CallExecutor:
    """Runs the calls that this node and other nodes dispatch to this host.

    Attributes:
      process: this node's process.
      local_services: services of the backend server on this host.
      backend_client: sends requests to the backend server.
      once: runs calls with a key.
      leaving: whether new calls are refused.
      shutdown: when running calls are aborted; calls with a later deadline are
        refused.
      parents: calls that run at the backend server, by id. They may make child
        calls.
      unkeyed_tasks: tasks of non-idempotent calls without a key.
      guard_tasks: tasks in which `guard` learns from large responses.
      open_calls: number of calls without a reply yet.
      sent_count: number of requests sent to the backend server.
      remote_traffic: bytes that child calls transfer to other data centres.
      state_updater: acts on what is learned about the backend server.
      guard: keeps requests from the backend server under which others have
        ended; None if they are not quarantined.
      large_responses: whether large responses are passed on in parts.
    """

    def __init__(
        self,
        process: calls.Process,
        local_services: localservices.LocalServices,
        backend_client: BackendClient,
        once: AtMostOnce,
    ):
        self.process = process
        self.local_services = local_services
        self.backend_client = backend_client
        self.once = once
        self.leaving = False
        self.shutdown = shutdown.ShutdownSchedule()
        self.parents: dict[ids.CallId, calls.Parent] = {}
        self.unkeyed_tasks: set[asyncio.Task] = set()
        self.guard_tasks: set[asyncio.Task] = set()
        self.open_calls = 0
        self.sent_count = 0
        self.remote_traffic = remotetraffic.RemoteTraffic()
        self.state_updater = stateupdates.ServerStateUpdater(local_services)
        self.guard: runguard.RunGuard | None = None
        self.large_responses = False

    @property
    def idle(self) -> bool:
        """Whether no call is in progress."""
        return not (self.open_calls or self.unkeyed_tasks or self.parents)

    async def serve(self, call: messages.Call) -> messages.Reply:
        """Runs a call; returns its reply.

        Cancelling aborts an idempotent call, including its request to the
        backend server. Any other call is aborted only before its first byte is
        sent; after that it continues.
        """
        local_service = self.local_services.find(call.service)
        if self.leaving:
            return self.refuse(
                call, local_service, calls.not_run_reply(Reason.LEAVING)
            )
        if local_service is None:
            return self.refuse(
                call, local_service, calls.not_run_reply(Reason.NO_BACKEND)
            )
        if call.server_states:
            self.state_updater.adopt(local_service, call)
        if local_service.state_tracker.current.leaving:
            return self.refuse(
                call, local_service, calls.not_run_reply(Reason.NO_BACKEND)
            )
        if not call.deadline_ms:
            refusal = calls.not_run_reply(Reason.DEADLINE_EXCEEDED)
            return self.refuse(call, local_service, refusal)
        deadline = asyncio.get_running_loop().time() + call.deadline_ms / 1000
        if not self.shutdown.allows_deadline(deadline):
            return self.refuse(
                call, local_service, calls.not_run_reply(Reason.LEAVING)
            )
        allowance = retryallowance.RetryAllowance(call.tries)
        execute = functools.partial(
            self.admit_and_run, call, local_service, allowance, deadline
        )
        self.open_calls += 1
        try:
            if call.idempotent:
                reply = await execute(None)
            else:
                reply = await self.serve_non_idempotent(call, execute, deadline)
        finally:
            self.open_calls -= 1
        return self.add_host_state(
            call, reply, local_service, allowance.close()
        )

    def refuse(
        self,
        call: messages.Call,
        local_service: localservices.LocalService | None,
        reply: messages.Reply,
    ) -> messages.Reply:
        """Returns a refusal that gives back the whole retry allowance."""
        return self.add_host_state(call, reply, local_service, call.tries)

    def add_host_state(
        self,
        call: messages.Call,
        reply: messages.Reply,
        local_service: localservices.LocalService | None,
        tries_left: int,
    ) -> messages.Reply:
        """Adds this host's load and admission state to a reply.

        The reply is modified in place, so a reply that is stored for repeats of
        its key has to be copied first.
        """
        reply.tries_left = tries_left
        reply.host = self.process.host
        reply.server_states = self.state_updater.states_to_tell(
            call.service, local_service
        )
        if local_service is not None:
            reply.threshold = local_service.admission.threshold
            reply.below = local_service.admission.downstream_threshold(
                call.operation
            )
            reply.inflight = local_service.admission.load
            reply.limit = local_service.admission.capacity
            now = asyncio.get_running_loop().time()
            reply.load = local_service.load.to_messages(call.operation, now)
            reply.crossing = self.remote_traffic.bytes_per_run(
                call.operation, now
            )
        return reply

    async def serve_non_idempotent(
        self, call: messages.Call, execute: Execute, deadline: float
    ) -> messages.Reply:
        """Runs a non-idempotent call and waits until its deadline.

        A started call completes, and its result is recorded, even if nobody
        waits for it.
        """
        if not call.key:
            return await self.serve_unkeyed(execute, deadline)
        task = asyncio.ensure_future(self.once.run(call, execute))
        try:
            done, _ = await asyncio.wait(
                {task}, timeout=deadline - asyncio.get_running_loop().time()
            )
        except asyncio.CancelledError:
            task.cancel()
            raise
        if done:
            return dataclasses.replace(task.result())
        task.cancel()
        return await self.reply_at_deadline(task)

    async def reply_at_deadline(self, task: asyncio.Task) -> messages.Reply:
        """Returns the reply of a task that was cancelled at its deadline."""
        try:
            return dataclasses.replace(await task)
        except asyncio.CancelledError:
            return calls.unknown_reply(Reason.DEADLINE_EXCEEDED)

    async def serve_unkeyed(
        self, execute: Execute, deadline: float
    ) -> messages.Reply:
        """Runs a call without a key; cancels it only if it has not started."""
        started = asyncio.Event()

        async def mark_started() -> None:
            started.set()

        task = asyncio.create_task(execute(mark_started))
        self.unkeyed_tasks.add(task)
        task.add_done_callback(self.unkeyed_tasks.discard)
        timeout = deadline - asyncio.get_running_loop().time()
        try:
            await asyncio.wait({task}, timeout=timeout)
        except asyncio.CancelledError:
            if not started.is_set():
                task.cancel()
            raise
        if task.done():
            return task.result()
        if started.is_set():
            return calls.unknown_reply(Reason.DEADLINE_EXCEEDED)
        # A cancelled task does not reach `mark_started` any more, so the call
        # can't start after this reply.
        task.cancel()
        return calls.not_run_reply(Reason.DEADLINE_EXCEEDED)

    async def admit_and_run(
        self,
        call: messages.Call,
        local_service: localservices.LocalService,
        allowance: retryallowance.RetryAllowance,
        deadline: float,
        before_send: backend.BeforeSend | None,
    ) -> messages.Reply:
        """Admits a call and runs it at the backend server.

        Raises:
          Exception: whatever `before_send` raises; no byte was sent.
        """
        running_call = retryallowance.RunningCall(allowance)
        if self.guard is not None:
            refusal = self.guard.refuse(call, running_call)
            if refusal is not None:
                return refusal
        request = admissionrequest.AdmissionRequest(
            importance=call.importance,
            depth=call.depth,
            deadline=deadline,
            client=call.client,
            operation=call.operation,
            tree=call.tree,
            max_wait=call.patience_ms / 1000,
        )
        try:
            permit = await local_service.admission.acquire(request)
        except admissionrequest.ShedError as error:
            return calls.not_run_reply(error.reason, error.retry_after)
        if self.guard is not None:
            refusal = calls.unknown_reply(Reason.CANCELLED)
            try:
                refusal = await self.guard.begin(call, running_call)
            finally:
                if refusal is not None:
                    permit.release(0.0, ok=False)
            if refusal is not None:
                return refusal
            self.guard.start(call, local_service, running_call)
        self.parents[call.call_id] = calls.Parent(
            call=call,
            deadline=deadline,
            running_call=running_call,
        )
        attempt = backend.Attempt(
            before_send,
            functools.partial(
                self.check_sending, call, local_service, deadline
            ),
        )
        started_at = asyncio.get_running_loop().time()
        reply = PENDING_REPLY
        try:
            reply = await self.send_to_backend(
                call, local_service, running_call, attempt, deadline
            )
        finally:
            if not reply.streamed:
                self.end_run(
                    call,
                    reply,
                    running_call,
                    permit,
                    started_at,
                    attempt.upload_seconds,
                )
                if self.guard is not None:
                    self.guard.finish(reply, running_call)
            else:
                reply.source.add_end_callback(
                    functools.partial(
                        self.end_streamed_run,
                        call,
                        reply,
                        local_service,
                        running_call,
                        permit,
                        started_at,
                    )
                )
        if self.guard is not None and not reply.streamed:
            await self.guard.end(
                call, reply, local_service, running_call, started_at
            )
        reply.called_below = running_call.child_wait_seconds > 0
        if running_call.retry_threshold and not calls.is_success(reply):
            reply.retry_threshold = running_call.retry_threshold
        invariants.check(
            invariants.Invariant.NOT_RUN_IS_TRUE,
            reply.outcome != Outcome.NOT_RUN
            or not attempt.sent
            or reply.reason == Reason.BACKEND_SHED,
            "a byte was sent before the refusal",
        )
        return reply

    def check_sending(
        self,
        call: messages.Call,
        local_service: localservices.LocalService,
        deadline: float,
    ) -> None:
        """Checks that a call may be sent to the backend server now.

        Raises:
          errors.ServerLeftError: that server is no longer in use.
          errors.RequestCutOffError: its body was cut off.
          errors.StoppingError: it would be aborted.
        """
        if self.local_services.find(call.service) is not local_service:
            raise errors.ServerLeftError("the backend server has left")
        rest = requestbody.rest_of(call)
        if rest is not None and rest.is_cut_off:
            raise errors.RequestCutOffError(
                "the body was cut off before the call was sent"
            )
        now = asyncio.get_running_loop().time()
        if not (
            self.shutdown.allows_sending(now)
            or self.shutdown.allows_deadline(deadline)
        ):
            raise errors.StoppingError("the process stops")

    def end_run(
        self,
        call: messages.Call,
        reply: messages.Reply,
        running_call: retryallowance.RunningCall,
        permit: admission.Permit,
        started_at: float,
        paused_seconds: float = 0.0,
    ) -> None:
        """Releases the slot of a call that has ended at the backend server.

        Args:
          call: the call.
          reply: its reply.
          running_call: its child calls.
          permit: its slot.
          started_at: loop time at which it was sent.
          paused_seconds: time that the caller took to send a large request, or
            kept a large response from being read; it tells nothing about the
            backend server.
        """
        del self.parents[call.call_id]
        now = asyncio.get_running_loop().time()
        self.remote_traffic.record_run_end(call.operation, now)
        permit.release(
            now - started_at - paused_seconds,
            ok=calls.is_success(reply),
            child_wait_seconds=running_call.child_wait_seconds_at(now),
            backend_shed=reply.reason == Reason.BACKEND_SHED,
            downstream_threshold=running_call.downstream_threshold,
        )

    def end_streamed_run(
        self,
        call: messages.Call,
        reply: responsestream.StreamedReply,
        local_service: localservices.LocalService,
        running_call: retryallowance.RunningCall,
        permit: admission.Permit,
        started_at: float,
    ) -> None:
        """Does the same at the end of a large response, and learns from it."""
        state = reply.source.state
        result = reply
        if state is not responsestream.State.COMPLETE:
            result = calls.unknown_reply(Reason.INCOMPLETE_ANSWER)
        if state is responsestream.State.CUT_OFF:
            logs.log_event(
                logs.Component.CALL,
                "large response of the backend server cut off",
                service=call.service,
                operation=call.operation,
                caller=call.caller,
                why=reply.source.cut_off_reason,
                received_bytes=reply.source.received_bytes,
            )
        paused_seconds = backendbody.paused_seconds(reply.source)
        self.end_run(
            call, result, running_call, permit, started_at, paused_seconds
        )
        if self.guard is None:
            return
        self.guard.finish(result, running_call)
        if state is responsestream.State.ABANDONED:
            return
        task = asyncio.create_task(
            self.guard.end(
                call, result, local_service, running_call, started_at
            )
        )
        self.guard_tasks.add(task)
        task.add_done_callback(self.guard_tasks.discard)

    async def send_to_backend(
        self,
        call: messages.Call,
        local_service: localservices.LocalService,
        running_call: retryallowance.RunningCall,
        attempt: backend.Attempt,
        deadline: float,
    ) -> messages.Reply:
        """Sends the request; returns a reply that states whether it ran."""
        overrun = 0.0 if call.idempotent else MAX_OVERRUN_SECONDS
        request = backend.Request(
            method=call.method,
            target=call.target,
            headers=self.headers(call, local_service),
            body=call.body,
            idempotent=call.idempotent,
            deadline=server_deadline(call, deadline),
            abort_at=deadline + overrun,
            streamed=call.streamed and call.idempotent and self.large_responses,
            rest=requestbody.rest_of(call),
        )
        try:
            response = await self.backend_client.send(
                local_service.announcement.address, request, attempt
            )
        except errors.BackendError as error:
            return reply_for_error(error, attempt)
        except errors.InvariantError as error:
            logs.log_event(
                logs.Component.CALL, "invariant check failed", why=str(error)
            )
            return calls.unknown_reply(Reason.INTERNAL)
        finally:
            self.sent_count += attempt.sent
        self.state_updater.observe(local_service, response)
        if response.load_report is not None:
            self.observe_load(call, local_service, running_call, response)
        reply = self.reply_of(response, running_call)
        if response.stream is None:
            return reply
        if reply.outcome is not Outcome.ANSWERED:
            response.stream.abandon()
            return reply
        return responsestream.StreamedReply.make(reply, response.stream)

    def observe_load(
        self,
        call: messages.Call,
        local_service: localservices.LocalService,
        running_call: retryallowance.RunningCall,
        response: backend.Response,
    ) -> None:
        """Learns from the load report in a response of the backend server."""
        report = response.load_report
        if report is None or response.status == stateupdates.MISDIRECTED_STATUS:
            return
        now = asyncio.get_running_loop().time()
        load = local_service.load
        load.observe(report, now - response.seconds, now)
        succeeded = response.status < calls.FIRST_SERVER_ERROR_STATUS
        if succeeded and not response.shed:
            load.observe_run(
                report,
                call.operation,
                response.seconds,
                running_call.child_wait_seconds_at(now),
            )
        if load.update_trust(now):
            logs.log_event(
                logs.Component.NODE,
                "load reports of the backend server are distrusted"
                if load.distrusted
                else "load reports of the backend server are trusted again",
                service=call.service,
                instance=local_service.announcement.instance,
            )

    def reply_of(
        self,
        response: backend.Response,
        running_call: retryallowance.RunningCall,
    ) -> messages.Reply:
        """Returns the reply for a response of the backend server."""
        if response.shed and not running_call.child_attempts:
            return calls.not_run_reply(Reason.BACKEND_SHED)
        # A backend server may return the refusal of a service that it called.
        # After child calls part of its work was done, so its claim that nothing
        # ran is ignored, and the response counts as its own.
        return messages.Reply(
            outcome=Outcome.ANSWERED,
            status=response.status,
            headers=response.headers,
            body=response.body,
            service_ms=int(response.seconds * 1000),
        )

    def headers(
        self, call: messages.Call, local_service: localservices.LocalService
    ) -> list[messages.Header]:
        """Returns the headers of the request to the backend server."""
        del local_service
        other_tracestate = httpheaders.find(
            call.headers, httpheaders.TRACESTATE
        )
        forwarded = call.headers
        if other_tracestate:
            forwarded = [
                header
                for header in forwarded
                if header.name.lower() != httpheaders.TRACESTATE
            ]
        tracestate = httpheaders.join_tracestate(call.call_id, other_tracestate)
        return [
            *forwarded,
            messages.Header(
                name=httpheaders.TRACEPARENT, value=call.traceparent
            ),
            messages.Header(name=httpheaders.TRACESTATE, value=tracestate),
        ]

    def parent_of(
        self, tracestate: str, traceparent: str
    ) -> calls.Parent | None:
        """Returns the running call that made a child call, None if unknown."""
        call_id, _ = httpheaders.split_tracestate(tracestate)
        if call_id in self.parents:
            return self.parents[call_id]
        trace_context = httpheaders.parse_traceparent(traceparent)
        return (
            self.parents.get(ids.CallId(trace_context.parent_span))
            if trace_context
            else None
        )


def server_deadline(call: messages.Call, deadline: float) -> float:
    """Returns the loop time at which the backend server is to stop work.

    Before a shortened deadline the caller still waits for that response.
    """
    if not call.shortened:
        return deadline
    seconds_left = deadline - asyncio.get_running_loop().time()
    margin = min(MAX_SERVER_MARGIN_SECONDS, SERVER_MARGIN_SHARE * seconds_left)
    return deadline - max(margin, 0.0)


def reply_for_error(
    error: errors.BackendError, attempt: backend.Attempt
) -> messages.Reply:
    """Returns the reply for a request without a complete response."""
    match error:
        case errors.BackendTimeoutError():
            reason = Reason.DEADLINE_EXCEEDED
        case errors.StoppingError():
            reason = Reason.LEAVING
        case errors.RequestCutOffError():
            reason = Reason.CANCELLED
        case errors.ServerLeftError():
            reason = Reason.NO_BACKEND
        case errors.ResponseTooLargeError():
            reason = Reason.TOO_LARGE
        case errors.IncompleteResponseError():
            reason = Reason.INCOMPLETE_ANSWER
        case errors.BackendBrokenError():
            reason = Reason.CONNECTION_BROKEN
        case _:
            reason = Reason.CONNECTION_FAILED
    if attempt.sent:
        return calls.unknown_reply(reason)
    return calls.not_run_reply(reason)
