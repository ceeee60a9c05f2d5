"""Dispatches calls to hosts and retries them within their allowance."""

import asyncio
import dataclasses
import functools
import math
import random
import typing

from mangobay import (
    calls,
    errors,
    execution,
    hosts,
    hostwatch,
    httpheaders,
    ids,
    inflight,
    keyslots,
    knownstates,
    options,
    ownerattempts,
    peers,
    remotetraffic,
    requestbody,
    requestdigest,
    responsestream,
    retrybudget,
    retrypolicy,
    retrystate,
    routing,
    shutdown,
    traces,
)
from mangobay.generated import messages, settings

Outcome = messages.Outcome
Reason = messages.Reason

MAX_REDIRECTS = 3
"""Maximum redirects of one call to another host; they are not retries.

A host that is leaving, is not the owner or cannot be reached did no work, so
a redirect does not multiply load.  The bound keeps a call from being passed
on for long by nodes with stale views.
"""
OWNER_LOOKUP_DELAY = 0.05
"""Seconds before the owner of a key is looked up again.

The delay triples with each lookup.
"""
QUEUE_WAIT_SHARE = 0.5
"""Share of an operation's target latency that a call may wait for a slot.

Refusing a call in the middle of a call chain wastes the work of all callers
above it.  A call that waits longer than this would be late anyway.
"""
REPLY_GRACE = 0.05
"""Seconds after the deadline to wait for a reply that states its reason."""


class Lease(typing.Protocol):
    """The part of `lease.Lease` that the dispatcher uses."""

    def is_valid(self) -> bool:
        """Returns whether the lease is valid."""


class Views(typing.Protocol):
    """The part of the subject of views that the dispatcher uses."""

    value: dict[ids.ServiceName, messages.ServiceView]


@dataclasses.dataclass(slots=True, kw_only=True)
class Dependencies:
    """Objects that the dispatcher uses.

    Attributes:
      schedule: When calls are no longer sent to hosts.
    """

    process: calls.Process
    router: routing.Router
    retry_budget: retrybudget.RetryBudget
    transport: peers.Transport
    executor: execution.CallExecutor
    lease: Lease
    views: Views
    tracer: traces.Tracer
    rng: random.Random
    schedule: shutdown.ShutdownSchedule = dataclasses.field(
        default_factory=shutdown.ShutdownSchedule
    )


class Dispatcher:
    """Dispatches calls to hosts; the only component that makes retries.

    Attributes:
      retries: Settings of retries.
      dependencies: Objects that the dispatcher uses.
      in_flight: Calls without a reply.
      known_states: What is known of the backend servers of other hosts.
      host_watch: Finds out that called hosts have ended; None if nobody acts
        on it.
    """

    def __init__(
        self, retries: settings.NodeRetries, dependencies: Dependencies
    ):
        self.retries = retries
        self.dependencies = dependencies
        self.in_flight = inflight.InFlightCalls()
        self.known_states = knownstates.KnownStates()
        self.host_watch: hostwatch.HostWatch | None = None

    @property
    def max_ends(self) -> float:
        """Backend servers that may end under one call, infinite if any may."""
        guard = self.dependencies.executor.guard
        return guard.quarantine.config.after if guard else float("inf")

    async def handle(self, request: calls.Request) -> messages.Reply:
        """Returns the reply to a call, after retries where allowed.

        Cancellation also cancels the attempt if that is safe; see `execution`.
        """
        operation = request.operation
        if operation.key_required and not request.key:
            return calls.not_run_reply(Reason.KEY_REQUIRED)
        if self.in_flight.given_up:
            return calls.not_run_reply(Reason.LEAVING)
        if not operation.idempotent and not self.dependencies.lease.is_valid():
            return calls.not_run_reply(Reason.NO_LEASE)
        refusal = self.refuse_child(request)
        if refusal is not None:
            return refusal
        self.dependencies.retry_budget.record_request(
            operation.service,
            request.repeat,
            asyncio.get_running_loop().time(),
        )
        run = (
            self.try_key_owner
            if request.requires_owner
            else self.try_routed_hosts
        )
        reply = await self.in_flight.track(run(request))
        if reply.end_ids and request.parent_run is not None:
            request.parent_run.end_ids.update(reply.end_ids)
        return reply

    def refuse_child(self, request: calls.Request) -> messages.Reply | None:
        """Returns the refusal of a call that a run may not make, or None."""
        guard = self.dependencies.executor.guard
        if guard is None or request.parent_run is None:
            return None
        return guard.refuse_child(request.parent_run)

    async def try_routed_hosts(self, request: calls.Request) -> messages.Reply:
        """Tries the hosts that the router picks until a reply is final."""
        state = retrystate.RetryState(
            started_at=asyncio.get_running_loop().time()
        )
        reply = None
        while True:
            excluded = state.excluded
            if state.resend:
                excluded = self.hosts_not_tried(request, state.excluded)
            member = self.pick_or_refuse(request, excluded)
            if isinstance(member, messages.Reply):
                if state.retry_reserved:
                    self.refund_retry(request, state)
                return state.final_reply(reply or member)
            state.retry_reserved = state.resend = False
            state.excluded.add(member.host)
            reply = await self.attempt(request, member)
            state.record(reply)
            delay = self.delay_before_next(request, reply, state)
            if delay is None:
                return state.final_reply(reply)
            if delay and not await self.in_flight.pause(delay):
                return state.final_reply(reply)

    def may_send(self, request: calls.Request) -> bool:
        """Returns whether a call may still be sent to a host."""
        return asyncio.get_running_loop().time() < self.send_until(request)

    def send_until(self, request: calls.Request) -> float:
        """Returns the loop time until which a call may be sent to a host.

        The child calls of a call that runs here always may: they belong to work
        that was sent before.
        """
        if request.parent_run is not None:
            return math.inf
        return self.dependencies.schedule.send_until

    def hosts_not_tried(
        self, request: calls.Request, tried: set[ids.HostId]
    ) -> set[ids.HostId]:
        """Returns the hosts of the called service that were not tried."""
        service_hosts = self.dependencies.router.services.get(
            request.operation.service
        )
        return service_hosts.hosts.keys() - tried if service_hosts else set()

    def pick_or_refuse(
        self, request: calls.Request, excluded: set[ids.HostId]
    ) -> messages.Member | messages.Reply:
        """Returns the next host, or the refusal if there is none."""
        if not self.may_send(request):
            return calls.not_run_reply(Reason.LEAVING)
        service = request.operation.service
        if self.prefers_own_host(request.operation, excluded):
            return messages.Member(host=self.dependencies.process.host)
        try:
            return self.dependencies.router.pick(
                service,
                excluded,
                request.importance,
                request.depth,
                operation=request.operation.name,
                idempotent=request.operation.idempotent,
                tree=request.tree,
                begun=bool(request.parent_operation),
            )
        except routing.EarlyRefusalError as error:
            reply = calls.not_run_reply(Reason.OVERLOADED, error.retry_after)
            reply.threshold = error.threshold
            return reply
        except routing.NoHostError:
            return calls.not_run_reply(Reason.NO_BACKEND)

    def prefers_own_host(
        self, operation: messages.Operation, excluded: set[ids.HostId]
    ) -> bool:
        """Returns whether to use the backend server on this host.

        That saves a hop.  A backend server that fails calls, responds late, or
        is clearly slower than another one is not preferred.  Otherwise it would
        receive all calls that enter on its host: up to a third of a service's
        callers run on the hosts of its backend servers, and the router would
        not choose a host for them.
        """
        executor = self.dependencies.executor
        local_service = executor.local_services.find(operation.service)
        host = self.dependencies.process.host
        if local_service is None or executor.leaving or host in excluded:
            return False
        if (
            not local_service.announcement.healthy
            or local_service.admission.threshold
        ):
            return False
        if not local_service.admission.has_room():
            return False
        service_hosts = self.dependencies.router.services.get(operation.service)
        known_host = service_hosts.hosts.get(host) if service_hosts else None
        if known_host is None:
            return True
        now = asyncio.get_running_loop().time()
        if (
            known_host.failure_rate_at(operation.name, now)
            >= routing.FAILURE_RATE_MARGIN
        ):
            return False
        if not service_hosts.is_usable(known_host, excluded, now):
            return False
        return not self.dependencies.router.is_elsewhere_better(
            service_hosts, known_host, operation.name, excluded, now
        )

    def delay_before_next(
        self,
        request: calls.Request,
        reply: messages.Reply,
        state: retrystate.RetryState,
    ) -> float | None:
        """Returns the seconds before the next attempt, or None for no attempt.

        A retry is charged to the retry budget and to the call's allowance.
        """
        if request.rest is not None and not request.rest.is_replayable:
            return None
        now = asyncio.get_running_loop().time()
        has_response = reply.outcome is Outcome.ANSWERED
        if has_response and not retrypolicy.is_fast_failure(
            request, reply, now - state.started_at
        ):
            return None
        seconds_left = request.deadline - now
        if seconds_left <= 0 or self.in_flight.given_up:
            return None
        if retrypolicy.is_redirect(reply) and state.redirects < MAX_REDIRECTS:
            state.redirects += 1
            return 0.0
        if not has_response and not retrypolicy.may_retry(request, reply):
            return None
        if state.possible_ends >= self.max_ends:
            return None
        uses_allowance = (
            state.retries < self.retries.hop_tries
            and request.allowance.remaining >= 1
        )
        budget = self.dependencies.retry_budget
        if not uses_allowance and not (
            budget.uses_windows and retrypolicy.may_resend(reply, state.resends)
        ):
            return None
        delay = retrybudget.backoff(
            self.retries.backoff,
            state.retries + 1,
            seconds_left,
            self.dependencies.rng,
        )
        if delay is None:
            return None
        service = request.operation.service
        level = self.dependencies.router.level(request.importance, request.tree)
        if not budget.try_withdraw(service, request.importance, now, level):
            request.retry_threshold = retrypolicy.early_refusal_threshold(
                level, budget.threshold_at(service, now)
            )
            return None
        if uses_allowance:
            request.allowance.try_withdraw()
            state.retries += 1
        else:
            state.resends += 1
            state.resend = True
        state.retry_reserved = True
        request.repeat = request.repeat or retrypolicy.may_have_reached_backend(
            reply
        )
        return delay

    def refund_retry(
        self, request: calls.Request, state: retrystate.RetryState
    ) -> None:
        """Refunds a reserved retry for which there is no host."""
        if not state.resend:
            request.allowance.refund()
        self.dependencies.retry_budget.refund(
            request.operation.service, asyncio.get_running_loop().time()
        )

    async def try_key_owner(self, request: calls.Request) -> messages.Reply:
        """Sends a call with an idempotency key to the owner of the key.

        A refusal by the owner is final: the same host is not tried again, and
        no other host may run a call with this key.
        """
        find_owner = functools.partial(self.find_owner, request)
        for redirect in range(MAX_REDIRECTS + 1):
            if not self.may_send(request):
                return calls.not_run_reply(Reason.LEAVING)
            owner = find_owner()
            if owner is None:
                reply = calls.not_run_reply(Reason.NO_BACKEND)
            else:
                attempts = ownerattempts.OwnerAttempts(
                    functools.partial(self.attempt, request),
                    find_owner,
                    MAX_REDIRECTS,
                )
                reply = await attempts.run(owner)
            if not retrypolicy.is_redirect(reply) or redirect == MAX_REDIRECTS:
                return reply
            seconds_left = request.deadline - asyncio.get_running_loop().time()
            delay = (
                OWNER_LOOKUP_DELAY
                * 3**redirect
                * self.dependencies.rng.uniform(0.5, 1)
            )
            if delay >= seconds_left or not await self.in_flight.pause(delay):
                return reply
        return reply

    def find_owner(self, request: calls.Request) -> messages.Member | None:
        """Returns the owner of the call's key by the newest view, or None."""
        view = self.dependencies.views.value.get(request.operation.service)
        slot = keyslots.slot_of(request.key)
        return keyslots.owner(view, slot) if view else None

    async def attempt(
        self, request: calls.Request, member: messages.Member
    ) -> messages.Reply:
        """Returns the reply of one host, or one that describes its failure."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        seconds_left = request.deadline - started_at
        if seconds_left <= 0:
            return calls.not_run_reply(Reason.DEADLINE_EXCEEDED)
        service = request.operation.service
        lent = request.allowance.lend()
        call = self.make_call(request, seconds_left, lent)
        call.server_states = self.known_states.find(service, member.host)
        router = self.dependencies.router
        router.record_call_start(service, member.host)
        reply = execution.PENDING_REPLY
        try:
            reply = await self.deliver(request, call, member, seconds_left)
        finally:
            router.record_call_end(
                service,
                member.host,
                make_observation(request, reply, loop.time() - started_at),
            )
            if (
                self.host_watch is not None
                and member.host != self.dependencies.process.host
            ):
                self.host_watch.record(
                    member, call, reply, started_at, loop.time()
                )
            self.record_remote_bytes(request, member, reply)
            if request.trace.sampled:
                attempt = traces.Attempt(
                    request=request,
                    call=call,
                    member=member,
                    reply=reply,
                    started_at=started_at,
                )
                self.dependencies.tracer.record_attempt(attempt)
        if reply.reason is Reason.CONNECTION_BROKEN and not reply.host:
            await self.find_host_end(call, member, reply, started_at)
        self.known_states.record(service, member.host, reply)
        request.allowance.reclaim(min(reply.tries_left, lent))
        return reply

    async def find_host_end(
        self,
        call: messages.Call,
        member: messages.Member,
        reply: messages.Reply,
        sent_at: float,
    ) -> None:
        """Adds the end of the called host to a reply, if that broke the call."""
        guard = self.dependencies.executor.guard
        if self.host_watch is None or guard is None:
            return
        end_id = await self.host_watch.wait_for_end(member.host, sent_at)
        if end_id is not None:
            reply.end_ids = [end_id]
            await guard.tell(call, requestdigest.digest_of(call))

    def record_remote_bytes(
        self,
        request: calls.Request,
        member: messages.Member,
        reply: messages.Reply,
    ) -> None:
        """Records the remote traffic of a child call for its parent's run."""
        if not request.parent_operation:
            return
        remote_bytes = reply.crossing
        if member.data_centre not in (
            "",
            self.dependencies.process.data_centre,
        ):
            remote_bytes += (
                remotetraffic.CALL_OVERHEAD_BYTES
                + request.body_bytes
                + responsestream.size_of(reply)
            )
        if remote_bytes:
            self.dependencies.executor.remote_traffic.record_bytes(
                request.parent_operation, remote_bytes
            )

    def make_call(
        self, request: calls.Request, seconds_left: float, lent: int
    ) -> messages.Call:
        """Builds the message of one attempt.

        Args:
          request: The call.
          seconds_left: Seconds until the deadline.
          lent: Retries lent to the attempt.
        """
        operation = request.operation
        view = self.dependencies.views.value.get(operation.service)
        call_id = httpheaders.new_call_id()
        call = messages.Call(
            service=operation.service,
            operation=operation.name,
            method=operation.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            caller=request.caller,
            importance=request.importance,
            depth=request.depth,
            deadline_ms=max(int(seconds_left * 1000), 1),
            tries=lent,
            idempotent=operation.idempotent,
            streamed=operation.large_responses,
            key=request.key
            if request.requires_owner
            else ids.IdempotencyKey(""),
            traceparent=request.trace.traceparent(call_id),
            revision=request.revision,
            call_id=call_id,
            view_version=view.version if view else ids.ViewVersion(0),
            client=request.client,
            tree=request.tree,
            patience_ms=self.patience_ms(request),
            repeat=request.repeat,
            workspace=request.workspace,
            shortened=request.shortened,
        )
        if request.rest is None:
            return call
        source = requestbody.AttemptSource(request.rest)
        return requestbody.ContinuedCall.make(call, source)

    def patience_ms(self, request: calls.Request) -> int:
        """Returns how long a call may wait for a slot at the called host."""
        patience_ms = int(request.operation.target_ms * QUEUE_WAIT_SHARE)
        send_until = self.send_until(request)
        if send_until == math.inf:
            return patience_ms
        now = asyncio.get_running_loop().time()
        left_ms = max(int((send_until - now) * 1000), 1)
        return min(patience_ms, left_ms) if patience_ms else left_ms

    async def deliver(
        self,
        request: calls.Request,
        call: messages.Call,
        member: messages.Member,
        seconds_left: float,
    ) -> messages.Reply:
        """Sends the call to the executor of this host or to a peer."""
        if member.host == self.dependencies.process.host:
            return await self.dependencies.executor.serve(call)
        try:
            reply = await self.dependencies.transport.send_request(
                parse_peer_address(member.peer_address),
                call,
                seconds_left + REPLY_GRACE,
                self.send_until(request),
            )
        except errors.PeerUnreachableError:
            reply = calls.not_run_reply(Reason.CONNECTION_FAILED)
            reply.tries_left = call.tries
            return reply
        except errors.PeerError:
            return calls.unknown_reply(Reason.CONNECTION_BROKEN)
        except TimeoutError:
            return calls.unknown_reply(Reason.DEADLINE_EXCEEDED)
        if not isinstance(reply, messages.Reply):
            return calls.unknown_reply(Reason.INTERNAL)
        return reply


def make_observation(
    request: calls.Request, reply: messages.Reply, seconds: float
) -> hosts.Observation:
    """Builds the observation of a host from its reply."""
    return hosts.Observation(
        operation=request.operation.name,
        downstream_threshold=reply.below,
        outcome=reply.outcome,
        reason=reply.reason,
        latency_seconds=seconds,
        threshold=reply.threshold,
        inflight=reply.inflight,
        limit=reply.limit,
        status=reply.status,
        response_bytes=responsestream.size_of(reply),
        remote_bytes=reply.crossing,
        retry_threshold=reply.retry_threshold,
        late=0 < request.operation.target_ms < seconds * 1000,
        load_report=reply.load[0] if reply.load else None,
    )


@functools.lru_cache(maxsize=65536)
def parse_peer_address(text: str) -> options.Address:
    """Parses the peer address of a member; results are cached."""
    return options.parse_address(text)
