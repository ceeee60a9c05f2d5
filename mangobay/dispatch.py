"""The entry side: brings a call to a host that runs it, within its tries."""

import asyncio
import dataclasses
import functools
import random
import typing

from mangobay import (
    calls,
    errors,
    execution,
    hosts,
    httpheaders,
    ids,
    inflight,
    keyslots,
    options,
    peers,
    remotetraffic,
    retrybudget,
    retrypolicy,
    routing,
    traces,
)
from mangobay.generated import messages, settings

Outcome = messages.Outcome
Reason = messages.Reason

MAX_REDIRECTS = 3
"""Free attempts of one call after hosts that cannot have touched it.

A host that is leaving, is not the owner or cannot be reached did no work, so
going on to another one multiplies nothing; the bound keeps stale views from
sending a call around for long.
"""
OWNER_LOOKUP_DELAY = 0.05
"""Seconds before the owner of a key is looked up again; tripled each time."""
QUEUE_WAIT_SHARE = 0.5
"""Of an operation's target latency that a call may wait for a slot: a call in
the middle of a chain that is refused wastes the work of all above it, and one
that waits longer than this comes too late as well."""
REPLY_GRACE = 0.05
"""Seconds after the deadline in which a reply that says why is awaited."""


class Lease(typing.Protocol):
    """What is needed of `lease.Lease`."""

    def holds(self) -> bool:
        """Whether the lease has not ended."""


class Views(typing.Protocol):
    """What is needed of the subject of views."""

    value: dict[ids.ServiceName, messages.ServiceView]


@dataclasses.dataclass(slots=True, kw_only=True)
class Dependencies:
    """What the entry side works with."""

    process: calls.Process
    router: routing.Router
    retry_budget: retrybudget.RetryBudget
    transport: peers.Transport
    executor: execution.CallExecutor
    lease: Lease
    views: Views
    tracer: traces.Tracer
    rng: random.Random


@dataclasses.dataclass(slots=True)
class RetryState:
    """How one call has fared so far.

    Attributes:
      excluded: hosts that are not tried again.
      retries: extra tries used here.
      redirects: free attempts used.
      unknown_reply: the reply of an attempt that may have run.
      retry_reserved: a try was taken for the attempt that comes next.
      started_at: loop time of the first attempt.
    """

    excluded: set[ids.HostId] = dataclasses.field(default_factory=set)
    retries: int = 0
    redirects: int = 0
    unknown_reply: messages.Reply | None = None
    retry_reserved: bool = False
    started_at: float = 0.0

    def record(self, reply: messages.Reply) -> None:
        """Remembers an attempt whose fate is unknown."""
        if reply.outcome == Outcome.UNKNOWN:
            self.unknown_reply = reply

    def final_reply(self, reply: messages.Reply) -> messages.Reply:
        """Returns what the caller is told.

        A refusal by the last host is true of that host only.  After an
        attempt that may have run, `not_run` would be a lie to the caller.
        """
        refused = reply.outcome == Outcome.NOT_RUN
        return self.unknown_reply if refused and self.unknown_reply else reply


class Dispatcher:
    """Brings calls to hosts; the only place that repeats an attempt.

    Attributes:
      in_flight: the calls that have no reply yet.
    """

    def __init__(
        self, retries: settings.NodeRetries, dependencies: Dependencies
    ):
        self.retries = retries
        self.dependencies = dependencies
        self.in_flight = inflight.InFlightCalls()

    async def handle(self, request: calls.Request) -> messages.Reply:
        """Returns the reply to a call, after other attempts where allowed.

        Cancelling gives up what may be given up; see `serving`.
        """
        operation = request.operation
        if operation.key_required and not request.key:
            return calls.not_run_reply(Reason.KEY_REQUIRED)
        if self.in_flight.given_up:
            return calls.not_run_reply(Reason.LEAVING)
        if not operation.idempotent and not self.dependencies.lease.holds():
            return calls.not_run_reply(Reason.NO_LEASE)
        self.dependencies.retry_budget.record_request(
            operation.service, request.repeat
        )
        run = (
            self.try_key_owner
            if request.requires_owner
            else self.try_routed_hosts
        )
        return await self.in_flight.track(run(request))

    async def try_routed_hosts(self, request: calls.Request) -> messages.Reply:
        """Tries hosts that the router picks."""
        state = RetryState(started_at=asyncio.get_running_loop().time())
        reply = None
        while True:
            member = self.pick_or_refuse(request, state.excluded)
            if isinstance(member, messages.Reply):
                if state.retry_reserved:
                    self.refund_retry(request)
                return state.final_reply(reply or member)
            state.retry_reserved = False
            state.excluded.add(member.host)
            reply = await self.attempt(request, member)
            state.record(reply)
            delay = self.delay_before_next(request, reply, state)
            if delay is None:
                return state.final_reply(reply)
            if delay and not await self.in_flight.pause(delay):
                return state.final_reply(reply)

    def pick_or_refuse(
        self, request: calls.Request, excluded: set[ids.HostId]
    ) -> messages.Member | messages.Reply:
        """Returns the host to try, or the refusal where there is none."""
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
        """Whether the backend server here serves well: that saves a hop.

        One that fails calls, or answers them late, would else keep all those
        that enter here: up to a third of a service's callers are beside its
        backend servers, and the router never got to choose for them.
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
        if local_service.admission.running >= local_service.admission.limit:
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
        return service_hosts.is_usable(known_host, excluded, now)

    def delay_before_next(
        self, request: calls.Request, reply: messages.Reply, state: RetryState
    ) -> float | None:
        """Returns the seconds before another attempt, None for none."""
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
        if state.retries >= self.retries.hop_tries:
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
        if request.allowance.remaining < 1:
            return None
        if not self.dependencies.retry_budget.try_withdraw(
            service, request.importance, now
        ):
            return None
        request.allowance.try_withdraw()
        state.retries += 1
        state.retry_reserved = True
        request.repeat = request.repeat or retrypolicy.may_have_reached_backend(
            reply
        )
        return delay

    def refund_retry(self, request: calls.Request) -> None:
        """Takes back the try of an attempt for which there was no host."""
        request.allowance.refund()
        self.dependencies.retry_budget.refund(request.operation.service)

    async def try_key_owner(self, request: calls.Request) -> messages.Reply:
        """Brings a keyed call to the owner of its key.

        The owner's own refusals are final here: the same host is never tried
        again, and no other one may run the key.
        """
        service = request.operation.service
        slot = keyslots.slot_of(request.key)
        for redirect in range(MAX_REDIRECTS + 1):
            view = self.dependencies.views.value.get(service)
            owner = keyslots.owner(view, slot) if view else None
            if owner is None:
                reply = calls.not_run_reply(Reason.NO_BACKEND)
            else:
                reply = await self.attempt(request, owner)
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

    async def attempt(
        self, request: calls.Request, member: messages.Member
    ) -> messages.Reply:
        """Returns the reply of one host, or what its silence means."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        seconds_left = request.deadline - started_at
        if seconds_left <= 0:
            return calls.not_run_reply(Reason.DEADLINE_EXCEEDED)
        service = request.operation.service
        lent = request.allowance.lend()
        call = self.make_call(request, seconds_left, lent)
        router = self.dependencies.router
        router.record_call_start(service, member.host)
        reply = execution.PENDING_REPLY
        try:
            reply = await self.deliver(call, member, seconds_left)
        finally:
            router.record_call_end(
                service,
                member.host,
                make_observation(request, reply, loop.time() - started_at),
            )
            self.record_remote_bytes(request, member, reply)
            if request.trace.sampled:
                attempt = traces.Attempt(
                    request=request,
                    call=call,
                    member=member,
                    reply=reply,
                    began=started_at,
                )
                self.dependencies.tracer.record(attempt)
        request.allowance.reclaim(min(reply.tries_left, lent))
        return reply

    def record_remote_bytes(
        self,
        request: calls.Request,
        member: messages.Member,
        reply: messages.Reply,
    ) -> None:
        """Counts what a call of a run here carried to a far host."""
        if not request.parent_operation:
            return
        remote_bytes = reply.crossing
        if member.data_centre not in (
            "",
            self.dependencies.process.data_centre,
        ):
            remote_bytes += (
                remotetraffic.CALL_OVERHEAD_BYTES
                + len(request.body)
                + len(reply.body)
            )
        if remote_bytes:
            self.dependencies.executor.remote_traffic.record_bytes(
                request.parent_operation, remote_bytes
            )

    def make_call(
        self, request: calls.Request, seconds_left: float, lent: int
    ) -> messages.Call:
        """Returns the message of one attempt."""
        operation = request.operation
        view = self.dependencies.views.value.get(operation.service)
        call_id = httpheaders.new_call_id()
        return messages.Call(
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
            key=request.key
            if request.requires_owner
            else ids.IdempotencyKey(""),
            traceparent=request.trace.traceparent(call_id),
            revision=request.revision,
            call_id=call_id,
            view_version=view.version if view else ids.ViewVersion(0),
            client=request.client,
            tree=request.tree,
            patience_ms=int(operation.target_ms * QUEUE_WAIT_SHARE),
            repeat=request.repeat,
        )

    async def deliver(
        self, call: messages.Call, member: messages.Member, seconds_left: float
    ) -> messages.Reply:
        """Hands the call to this host's serving side or to a peer."""
        if member.host == self.dependencies.process.host:
            return await self.dependencies.executor.serve(call)
        try:
            reply = await self.dependencies.transport.ask(
                parse_peer_address(member.peer_address),
                call,
                seconds_left + REPLY_GRACE,
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
    """Returns what the reply shows of its host."""
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
        response_bytes=len(reply.body),
        remote_bytes=reply.crossing,
        late=0 < request.operation.target_ms < seconds * 1000,
    )


@functools.lru_cache(maxsize=65536)
def parse_peer_address(text: str) -> options.Address:
    """Returns a member's peer address."""
    return options.parse_address(text)
