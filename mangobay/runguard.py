"""Keeps quarantined requests from the backend server on this host."""

import asyncio
import collections.abc
import itertools

from mangobay import (
    calls,
    exposure,
    hostwatch,
    ids,
    localservices,
    logs,
    quarantine,
    quarantinenotices,
    requestdigest,
    retryallowance,
    serverwatch,
    stateupdates,
)
from mangobay.generated import messages

Outcome = messages.Outcome
Reason = messages.Reason

BROKEN_REASONS = frozenset({Reason.CONNECTION_BROKEN, Reason.INCOMPLETE_ANSWER})
"""Reasons of replies after which the backend server may have ended."""
HasOpenConnection = collections.abc.Callable[[], bool]
RESOLVE_SECONDS = 0.1
"""Seconds between two checks whether a server has outlived a suspected run."""
MAX_RESOLVE_SECONDS = 30.0
"""How long to wait for that."""


class RunGuard:
    """Refuses quarantined requests, and learns from the runs of others.

    The node beside a backend server is the only one that can send it requests,
    so what it refuses runs nowhere else by another way.

    Attributes:
      quarantine: the state of this node.
      exchange: tells the other nodes of a service.
      end_ids: ids of the ends of backend servers that are detected here.
      refused_count: number of refused calls.
      learning: tasks that find out what became of runs.
      watches: find out when backend servers have ended, by service.
      has_open_connection: whether a connection to the backend server is open.
    """

    def __init__(
        self,
        known: quarantine.Quarantine,
        exchange: quarantinenotices.QuarantineExchange,
        end_ids: collections.abc.Iterator[ids.BackendEndId],
    ):
        self.quarantine = known
        self.exchange = exchange
        self.end_ids = end_ids
        self.refused_count = 0
        self.learning: set[asyncio.Task] = set()
        self.watches: dict[ids.ServiceName, serverwatch.ServerWatch] = {}
        self.has_open_connection: HasOpenConnection = bool
        exchange.has_outlived = self.has_outlived

    def has_outlived(self, digest: ids.RequestDigest) -> bool:
        """Returns whether the server here has outlived a request lately."""
        now = asyncio.get_running_loop().time()
        return any(
            watch.exposures.has_outlived(digest, now)
            for watch in self.watches.values()
        )

    def find_watch(self, service: ids.ServiceName) -> serverwatch.ServerWatch:
        """Returns the watch of the backend server of a service."""
        watch = self.watches.get(service)
        if watch is None:
            watch = serverwatch.ServerWatch(service, self, self.end_ids)
            watch.has_open_connection = self.has_open_connection
            self.watches[service] = watch
        return watch

    def record_announcement(
        self, announcement: localservices.Announcement
    ) -> None:
        """Records an announcement of a backend server on this host."""
        watch = self.find_watch(announcement.service)
        watch.address = announcement.address
        now = asyncio.get_running_loop().time()
        watch.record_announcement(announcement, now)

    def record_departure(self, service: ids.ServiceName) -> None:
        """Records that a backend server on this host leaves as planned."""
        if service in self.watches:
            self.watches[service].record_departure()

    def record_silence(self, announcement: localservices.Announcement) -> None:
        """Checks a backend server whose announcement has timed out."""
        self.find_watch(announcement.service).start_checks()

    def check_servers(self) -> None:
        """Checks the backend servers, as one of them closed a connection."""
        now = asyncio.get_running_loop().time()
        for watch in self.watches.values():
            watch.record_closed_connection(now)
            watch.start_checks()

    def handle_server_end(self, end: serverwatch.ServerEnd) -> None:
        """Counts the end of a backend server on this host for its runs."""
        self.count_ends(end.exposures)

    def handle_server_return(self, end: serverwatch.ServerEnd) -> None:
        """Takes back the end of a backend server that is alive."""
        for exposed in end.exposures:
            digest = exposed.find_digest()
            if self.quarantine.record_response(digest, [exposed.end_id]):
                self.tell_release(exposed.service, digest, [exposed.end_id])

    def handle_host_end(self, end: hostwatch.HostEnd) -> None:
        """Counts the end of a host for the calls of this node."""
        self.count_ends(end.exposures)

    def count_ends(self, exposures: list[exposure.Exposure]) -> None:
        """Counts an end for runs, and tells the other nodes."""
        now = asyncio.get_running_loop().time()
        for exposed in exposures:
            digest = exposed.find_digest()
            if self.quarantine.record_ends(
                digest, [exposed.end_id], now, exposed.responded
            ):
                self.log_quarantined(exposed.service, digest)
            for suspect in self.quarantine.to_messages([digest], now):
                self.exchange.add(exposed.service, suspect, 0.0)

    def start(
        self,
        call: messages.Call,
        local_service: localservices.LocalService,
        running_call: retryallowance.RunningCall,
    ) -> None:
        """Remembers a run that begins."""
        watch = self.find_watch(call.service)
        watch.address = local_service.announcement.address
        running_call.exposure = exposure.Exposure(
            call.service,
            call,
            asyncio.get_running_loop().time(),
            claim=running_call.claim,
        )
        watch.exposures.start(running_call.exposure)

    def finish(
        self, reply: messages.Reply, running_call: retryallowance.RunningCall
    ) -> None:
        """Notes the end of a run, whether or not anybody waits for it."""
        exposed = running_call.exposure
        if exposed is None:
            return
        watch = self.find_watch(exposed.service)
        now = asyncio.get_running_loop().time()
        shed = reply.reason is Reason.BACKEND_SHED
        if shed or reply.status == stateupdates.MISDIRECTED_STATUS:
            watch.exposures.discard(exposed)
            self.withdraw_claim(exposed)
        elif reply.outcome is Outcome.NOT_RUN:
            watch.exposures.discard(exposed)
            self.withdraw_claim(exposed)
            watch.start_checks()
        elif reply.outcome is Outcome.ANSWERED:
            watch.record_response(exposed.sent_at, now)
            watch.exposures.finish(exposed, now, answered=True)
            if not running_call.end_ids:
                self.resolve_later(exposed, watch)
        else:
            if reply.reason in BROKEN_REASONS:
                watch.record_closed_connection(now)
            watch.exposures.finish(exposed, now, answered=False)
            watch.record_unanswered(exposed)
            if exposed.claim:
                self.resolve_later(exposed, watch)

    def resolve_later(
        self, exposed: exposure.Exposure, watch: serverwatch.ServerWatch
    ) -> None:
        """Finds out whether the server outlives a suspected run."""
        if self.quarantine.is_empty:
            return
        suspect = self.quarantine.find(exposed.find_digest())
        if suspect is None and not exposed.claim:
            return
        end_ids = list(suspect.end_ids) if suspect is not None else []
        task = asyncio.create_task(self.resolve(exposed, watch, end_ids))
        self.learning.add(task)
        task.add_done_callback(self.learning.discard)

    async def resolve(
        self,
        exposed: exposure.Exposure,
        watch: serverwatch.ServerWatch,
        end_ids: list[ids.BackendEndId],
    ) -> None:
        """Releases a request that a server has outlived.

        Args:
          exposed: a run of it that has ended.
          watch: of the server.
          end_ids: the ends that its response refutes.
        """
        loop = asyncio.get_running_loop()
        outlived_at = exposed.ended_at + exposure.OUTLIVE_SECONDS
        while watch.alive_at < outlived_at and not exposed.end_id:
            if loop.time() > exposed.ended_at + MAX_RESOLVE_SECONDS:
                return
            await asyncio.sleep(RESOLVE_SECONDS)
        if exposed.end_id:
            return
        if exposed.answered:
            self.release(exposed, end_ids)
        else:
            self.withdraw_claim(exposed)

    def release(
        self, exposed: exposure.Exposure, end_ids: list[ids.BackendEndId]
    ) -> None:
        """Refutes the ends under a request that was answered."""
        digest = exposed.find_digest()
        self.withdraw_claim(exposed)
        if end_ids and self.quarantine.record_response(digest, end_ids):
            self.log("suspected request is released", exposed.service, digest)
            self.tell_release(exposed.service, digest, end_ids)

    def tell_release(
        self,
        service: ids.ServiceName,
        digest: ids.RequestDigest,
        end_ids: list[ids.BackendEndId],
    ) -> None:
        """Tells the other nodes that ends count no more for a request."""
        self.exchange.tell_later(
            service,
            messages.SuspectRequest(
                digest=digest, answered=True, end_ids=end_ids
            ),
        )

    def withdraw_claim(self, exposed: exposure.Exposure) -> None:
        """Withdraws the claim of a run, if it has one."""
        if exposed.claim:
            request = messages.SuspectRequest(
                digest=exposed.find_digest(), claim=exposed.claim
            )
            self.exchange.withdraw_claim(exposed.service, request)

    def refuse(
        self, call: messages.Call, running_call: retryallowance.RunningCall
    ) -> messages.Reply | None:
        """Returns the refusal of a quarantined call, None if it may run."""
        if self.quarantine.is_empty:
            return None
        now = asyncio.get_running_loop().time()
        digest = find_digest(call, running_call)
        if self.quarantine.judge(digest, now) is not quarantine.Verdict.REFUSE:
            return None
        self.refused_count += 1
        return calls.not_run_reply(
            Reason.QUARANTINED, self.quarantine.seconds_to_run(digest, now)
        )

    async def begin(
        self, call: messages.Call, running_call: retryallowance.RunningCall
    ) -> messages.Reply | None:
        """Does the same for a call that is about to run.

        A suspected request claims an end first, so that the others count it
        even if this node ends with its backend server.
        """
        if self.exchange.questions:
            await self.exchange.wait_for_answers(call.service)
        if self.quarantine.is_empty:
            return None
        refusal = self.refuse(call, running_call)
        if refusal is not None:
            return refusal
        digest = find_digest(call, running_call)
        if self.quarantine.find(digest) is None:
            return None
        return await self.claim(call, running_call, digest)

    async def claim(
        self,
        call: messages.Call,
        running_call: retryallowance.RunningCall,
        digest: ids.RequestDigest,
    ) -> messages.Reply | None:
        """Claims an end for a run; returns the refusal if it may not run."""
        loop = asyncio.get_running_loop()
        verdict = self.quarantine.judge(digest, loop.time())
        request, *_ = self.quarantine.to_messages([digest], loop.time())
        request.claim = next(self.end_ids)
        retry_after = await self.exchange.claim(call.service, request)
        suspect = self.quarantine.find(digest)
        if retry_after:
            if suspect is not None:
                suspect.blocked_until = loop.time() + retry_after
            self.refused_count += 1
            return calls.not_run_reply(Reason.QUARANTINED, retry_after)
        running_call.claim = request.claim
        event = "suspected request runs"
        if verdict is quarantine.Verdict.TEST:
            event = "quarantined request is tested"
        self.log(event, call.service, digest, claim=request.claim)
        return None

    def refuse_child(
        self, running_call: retryallowance.RunningCall
    ) -> messages.Reply | None:
        """Returns the refusal of a call that a run makes, None if it may.

        Under a run whose calls have ended several backend servers, a further
        call would end yet another one, even if no two of the calls are alike.
        """
        config = self.quarantine.config
        if len(running_call.end_ids) < config.after:
            return None
        self.refused_count += 1
        return calls.not_run_reply(Reason.QUARANTINED, config.pause)

    async def end(
        self,
        call: messages.Call,
        reply: messages.Reply,
        local_service: localservices.LocalService,
        running_call: retryallowance.RunningCall,
        sent_at: float,
    ) -> None:
        """Learns from a run that has ended, and adds the ends to its reply."""
        if reply.reason in BROKEN_REASONS:
            learning = asyncio.create_task(
                self.detect_end(call, local_service, running_call, sent_at)
            )
            self.learning.add(learning)
            learning.add_done_callback(self.learning.discard)
            # A caller that hangs up must not keep the node from learning.
            await asyncio.shield(learning)
        elif running_call.end_ids and not calls.is_success(reply):
            await self.record_ends(call, running_call)
        if running_call.end_ids:
            reply.end_ids = sorted(running_call.end_ids)

    async def detect_end(
        self,
        call: messages.Call,
        local_service: localservices.LocalService,
        running_call: retryallowance.RunningCall,
        sent_at: float,
    ) -> None:
        """Records the end of the backend server, if that broke a connection."""
        exposed = running_call.exposure
        if exposed is None or not exposed.end_id:
            end_id = await local_service.crash_detector.find_end(
                local_service.announcement.address, sent_at, self.end_ids
            )
            if end_id is not None and exposed is not None:
                now = asyncio.get_running_loop().time()
                if not exposed.end_id:
                    self.find_watch(call.service).declare_end(
                        serverwatch.Symptom.REFUSED, now, end_id
                    )
        if exposed is not None and exposed.end_id:
            running_call.end_ids.add(exposed.end_id)
        if running_call.end_ids:
            await self.record_ends(call, running_call)

    async def record_ends(
        self, call: messages.Call, running_call: retryallowance.RunningCall
    ) -> None:
        """Records the ends under a call, and tells the other nodes."""
        now = asyncio.get_running_loop().time()
        digest = find_digest(call, running_call)
        if self.quarantine.record_ends(digest, running_call.end_ids, now):
            self.log_quarantined(call.service, digest)
        await self.tell(call, digest)

    async def close(self) -> None:
        """Stops the checks of backend servers, and what else runs."""
        for watch in self.watches.values():
            await watch.close()
        tasks = list(self.learning)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def tell(
        self, call: messages.Call, digest: ids.RequestDigest
    ) -> None:
        """Tells the other nodes of the service what is known of a request."""
        now = asyncio.get_running_loop().time()
        for suspect in self.quarantine.to_messages([digest], now):
            await self.exchange.tell(call.service, suspect)

    def log_quarantined(
        self, service: ids.ServiceName, digest: ids.RequestDigest
    ) -> None:
        """Logs that a request has just been quarantined."""
        self.log("request quarantined", service, digest)

    def log(
        self,
        event: str,
        service: ids.ServiceName,
        digest: ids.RequestDigest,
        claim: str = "",
    ) -> None:
        """Logs an event of a request, named by its digest only."""
        suspect = self.quarantine.find(digest)
        logs.log_event(
            logs.Component.CALL,
            event,
            request=digest.hex(),
            service=service,
            claim=claim,
            ends=list(suspect.end_ids) if suspect else [],
            tests=suspect.tests if suspect else 0,
        )


def find_digest(
    call: messages.Call, running_call: retryallowance.RunningCall
) -> ids.RequestDigest:
    """Returns the digest of a call, computed once for each run."""
    if running_call.digest is None:
        running_call.digest = requestdigest.digest_of(call)
    return running_call.digest


def number_ends(
    incarnation: ids.Incarnation,
) -> collections.abc.Iterator[ids.BackendEndId]:
    """Yields ids of ends that are distinct from those of other processes."""
    for number in itertools.count(1):
        yield ids.BackendEndId(f"{incarnation}/{number}")
