"""Admission control for the calls to the backend server on this host.

A call runs at once while fewer calls run than the limit allows and none waits.
Otherwise it waits for a short time, bounded by the settings and its deadline,
or is refused at once.  A refusal is sent as soon as it is known; it is never
delayed to slow down a caller.

The setting [recovery] weight trades goodput against recovery.  It multiplies
[admission] queue_time and reopen_time by 2 ** (1 - 2 * weight): both are
doubled at 0, as configured at 0.5 and halved at 1.
"""

import asyncio
import collections
import random

from mangobay import (
    admissionrequest,
    callqueue,
    downstream,
    estimates,
    fairness,
    ids,
    knee,
    levels,
    limiter,
    overload,
    ratelimit,
)
from mangobay.generated import messages, settings

EXTENDED_WAIT_FACTOR = 4
"""Multiple of queue_time that a call may wait while the queue is not standing,
and a critical call at any time."""
DEEP_WAIT_FACTOR = 4
"""Multiple of queue_time that a call from another hop may wait if its deadline
allows."""
STANDING_QUEUE_FACTOR = 2
"""Multiple of queue_time after which a queue that was never empty is
standing."""
MAX_RETRY_AFTER = 30.0
"""Seconds, before the jitter."""
MIN_RETRY_AFTER = 0.05
"""Seconds, before the jitter."""


class Permit:
    """The permit to run one call at the backend server; it takes a slot.

    Attributes:
      admitted_at: loop time at which it was granted.
      queue_seconds: time that the call spent in the queue.
      concurrency: calls that ran when it was granted, its own included.
      held: whether the slot has not been released yet.
    """

    __slots__ = (
        "admission",
        "admitted_at",
        "concurrency",
        "level",
        "held",
        "operation",
        "queue_seconds",
    )

    def __init__(
        self,
        admission: "AdmissionController",
        operation: ids.OperationName,
        level: int,
        admitted_at: float,
        queue_seconds: float,
    ):
        self.admission = admission
        self.operation = operation
        self.level = level
        self.admitted_at = admitted_at
        self.queue_seconds = queue_seconds
        self.concurrency = admission.running
        self.held = True

    def release(
        self,
        service_seconds: float,
        ok: bool,
        child_wait_seconds: float = 0.0,
        backend_shed: bool = False,
        downstream_threshold: int = levels.ADMIT_ALL,
    ) -> None:
        """Releases the slot; only the first release has an effect.

        Args:
          service_seconds: time from the first byte to the complete response.
          ok: whether there was a complete response; other times are ignored.
          child_wait_seconds: part of that time with child calls in flight.
          backend_shed: whether the backend server itself shed the call.
          downstream_threshold: threshold that refused a child call, or
            ADMIT_ALL.
        """
        if not self.held:
            return
        self.held = False
        now = asyncio.get_running_loop().time()
        self.admission.record_service_time(
            self, service_seconds, ok, child_wait_seconds, now
        )
        if backend_shed:
            self.admission.limiter.observe_shed(self.admission.running, now)
        made_child_call = (
            child_wait_seconds > 0 or downstream_threshold > levels.ADMIT_ALL
        )
        self.admission.downstreams.observe(
            self.operation,
            self.level,
            downstream_threshold,
            made_child_call,
            ok,
            now,
        )
        self.admission.release_slot(now)


class AdmissionController:
    """Admits calls to the backend server on this host.

    Attributes:
      settings: the section [admission].
      queue_time: longest wait in seconds while the queue is standing.
      extended_wait: longest wait in seconds while it is not, or of a critical
        call.
      deep_wait: longest wait in seconds of a call from another hop.
      rng: source of the jitter.
      limiter: finds how many calls may run.
      knee: finds how many slots add throughput.
      queue: the waiting calls.
      heavy_clients: detects clients that send far more than the others.
      overload: sets the threshold of this host.
      downstreams: tracks the thresholds of the downstream services.
      service_times: estimated service times by operation.
      running: calls that run now.
      completion_interval: mean interval between responses.
      run_seconds: mean time of a call at the backend server.
      rate_limiter: limits the calls that start per second.
      rate_timer: admits waiting calls once the rate allows it.
    """

    def __init__(
        self,
        admission: settings.NodeAdmission,
        retries: settings.NodeRetries,
        recovery: settings.NodeRecovery,
        rng: random.Random,
    ):
        scale = 2.0 ** (1 - 2 * recovery.weight)
        self.settings = admission
        self.queue_time = admission.queue_time * scale
        self.extended_wait = self.queue_time * EXTENDED_WAIT_FACTOR
        self.deep_wait = self.queue_time * DEEP_WAIT_FACTOR
        self.rng = rng
        self.limiter = limiter.make(admission.policy)
        self.knee = knee.KneeDetector()
        self.queue = callqueue.CallQueue(admission.order == "newest")
        self.heavy_clients = fairness.HeavyClientDetector(retries.client_share)
        self.overload = overload.OverloadController(
            self.queue_time * STANDING_QUEUE_FACTOR,
            admission.reopen_time * scale,
        )
        self.downstreams = downstream.DownstreamTrackers(
            admission.reopen_time * scale
        )
        self.service_times = collections.defaultdict(estimates.ServiceTime)
        self.running = 0
        self.completion_interval = estimates.CompletionInterval()
        self.run_seconds = estimates.MeanTime()
        self.rate_limiter = ratelimit.RateLimiter()
        self.rate_timer: asyncio.TimerHandle | None = None

    @property
    def threshold(self) -> int:
        """The lowest level admitted now; sent with every reply."""
        return self.overload.threshold

    @property
    def load(self) -> int:
        """Calls that run or wait here; above the limit, new calls queue."""
        return self.running + self.queue.length

    def downstream_threshold(self, operation: ids.OperationName) -> int:
        """Returns the lowest level of an operation not refused downstream."""
        now = asyncio.get_running_loop().time()
        return self.downstreams.threshold(operation, now)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return min(self.limiter.limit, self.knee.limit)

    @property
    def capacity(self) -> int:
        """Calls that run at once at the limits of concurrency and rate."""
        return self.rate_limiter.concurrency(
            self.run_seconds.seconds, self.limit
        )

    def has_room(self) -> bool:
        """Returns whether a call would be admitted at once."""
        now = asyncio.get_running_loop().time()
        return not self.queue.length and self.may_start(now)

    def may_start(self, now: float) -> bool:
        """Returns whether a call may start at the backend server."""
        return self.running < self.limit and self.rate_limiter.allows(now)

    def set_rate_limit(self, rate: float | None) -> None:
        """Sets the calls that may start per second, None for no limit."""
        now = asyncio.get_running_loop().time()
        self.rate_limiter.set_rate(rate, now)
        if self.rate_timer is not None:
            self.rate_timer.cancel()
            self.rate_timer = None
        self.admit_waiting(now)

    def set_slots(self, slots: int) -> None:
        """Sets the slots that the backend server announced."""
        self.limiter.set_slots(slots)
        self.knee.set_slots(slots)
        self.admit_waiting(asyncio.get_running_loop().time())

    async def acquire(
        self, request: admissionrequest.AdmissionRequest
    ) -> Permit:
        """Returns the permit of a call, possibly after a short wait.

        Raises:
          admissionrequest.ShedError: the call was refused and must not run.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        level, rank = self.classify(request, now)
        self.check_admissible(request, level, now)
        if not self.queue.length and self.may_start(now):
            return self.admit(request.operation, level, now, 0.0)
        waiter = self.enqueue(request, level, rank, loop)
        return await self.wait(waiter)

    def classify(
        self, request: admissionrequest.AdmissionRequest, now: float
    ) -> tuple[int, int]:
        """Records the arrival; returns its admission level and queue rank."""
        importance = messages.Importance.NORMAL
        if self.settings.by_importance:
            importance = request.importance
        self.heavy_clients.record_arrival(request.client, now)
        heavy = bool(self.queue.length) and self.heavy_clients.is_heavy(
            request.client, now
        )
        level = importance * levels.LEVELS_PER_IMPORTANCE
        if not heavy:
            level = levels.level_of(importance, request.tree or request.client)
        depth = request.depth if self.settings.by_depth else 0
        return level, callqueue.rank_of(importance, heavy, depth)

    def check_admissible(
        self, request: admissionrequest.AdmissionRequest, level: int, now: float
    ) -> None:
        """Refuses a call that would be shed anyway or could not finish in time.

        Raises:
          admissionrequest.ShedError: the call must not run.
        """
        self.update_threshold(now)
        self.overload.arrivals[level // overload.LEVELS_PER_GROUP] += 1
        downstream_threshold = self.downstreams.threshold(
            request.operation, now
        )
        if level < max(self.overload.threshold, downstream_threshold):
            raise self.make_shed_error(messages.Reason.OVERLOADED, level)
        if (
            now + self.service_times[request.operation].seconds_at(now)
            >= request.deadline
        ):
            raise self.make_shed_error(messages.Reason.DEADLINE_EXCEEDED, level)

    def admit(
        self,
        operation: ids.OperationName,
        level: int,
        now: float,
        queue_seconds: float,
    ) -> Permit:
        """Takes a slot and returns its permit."""
        self.running += 1
        self.rate_limiter.record_start(now)
        return Permit(self, operation, level, now, queue_seconds)

    def enqueue(
        self,
        request: admissionrequest.AdmissionRequest,
        level: int,
        rank: int,
        loop: asyncio.AbstractEventLoop,
    ) -> callqueue.Waiter:
        """Adds a call to the queue; if that is full, in place of a worse call.

        Raises:
          admissionrequest.ShedError: the queue is full of calls that are no
            worse, or the settings allow no waiting.
        """
        if self.queue_time <= 0:
            raise self.make_shed_error(messages.Reason.OVERLOADED, level)
        if self.queue.length >= self.rate_limiter.max_waiting(
            self.settings.queue_length
        ):
            self.make_room(level, rank)
        now = loop.time()
        latest_start = request.deadline - self.service_times[
            request.operation
        ].seconds_at(now)
        waiter = callqueue.Waiter(
            request.operation,
            rank,
            level,
            now,
            latest_start,
            loop.create_future(),
        )
        self.queue.add(waiter)
        timeout_at = min(now + self.max_wait(request, now), latest_start)
        waiter.timer = loop.call_at(timeout_at, self.time_out, waiter)
        self.schedule_admission(now)
        return waiter

    def make_room(self, level: int, rank: int) -> None:
        """Sheds the worst waiting call for a better one.

        Raises:
          admissionrequest.ShedError: the new call is the worst.
        """
        worst_rank = self.queue.worst_rank()
        is_better = rank > worst_rank or (
            rank == worst_rank and self.queue.newest_first
        )
        if worst_rank < 0 or not is_better:
            raise self.make_shed_error(messages.Reason.OVERLOADED, level)
        self.refuse(self.queue.pop_worst(), messages.Reason.OVERLOADED)

    def max_wait(
        self, request: admissionrequest.AdmissionRequest, now: float
    ) -> float:
        """Returns the longest wait of a call in seconds.

        A call from another hop may wait longer than a new one, since giving it
        up wastes the work of the earlier hops.  The wait is still bounded: each
        earlier hop holds a slot meanwhile, which operations that do not call
        this service then lack.

        A critical call may wait longer while the queue is standing: no less
        important call is admitted before it, so it waits only for running
        calls.

        Both may wait for at least one service time.  If that is longer than the
        settings allow, as in a service that slowed down, a call would otherwise
        be given up before the first running call can have ended.

        A max_wait of the request takes precedence, but not below queue_time.
        """
        service_time = self.service_times[request.operation].seconds_at(now)
        if request.max_wait:
            return max(request.max_wait, self.queue_time)
        if request.depth and self.settings.by_depth:
            return max(self.deep_wait, service_time)
        critical = request.importance == messages.Importance.CRITICAL
        if critical and self.settings.by_importance:
            return max(self.extended_wait, service_time)
        if self.overload.is_standing(now):
            return self.queue_time
        return self.extended_wait

    async def wait(self, waiter: callqueue.Waiter) -> Permit:
        """Waits for the permit and returns it.

        Raises:
          admissionrequest.ShedError: the wait timed out, or the call was shed.
        """
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self.cancel_wait(waiter)
            raise

    def cancel_wait(self, waiter: callqueue.Waiter) -> None:
        """Removes a cancelled call from the queue.

        The permit may have been granted in the same iteration of the event loop
        in which the task was cancelled; nobody else would release it.
        """
        self.queue.remove(waiter)
        waiter.timer.cancel()
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            future.result().release(0.0, ok=False)

    def time_out(self, waiter: callqueue.Waiter) -> None:
        """Refuses a call whose wait timed out."""
        if not self.queue.remove(waiter):
            return
        now = asyncio.get_running_loop().time()
        missed_deadline = now >= waiter.latest_start
        reason = messages.Reason.QUEUE_TIMEOUT
        if missed_deadline:
            reason = messages.Reason.DEADLINE_EXCEEDED
        self.refuse(waiter, reason)
        self.update_threshold(now)

    def record_service_time(
        self,
        permit: Permit,
        seconds: float,
        ok: bool,
        child_wait_seconds: float,
        now: float,
    ) -> None:
        """Updates the estimates with the time of a complete response."""
        self.run_seconds.observe(seconds)
        if not ok:
            return
        own_seconds = max(0.0, seconds - child_wait_seconds)
        self.service_times[permit.operation].observe(seconds, now)
        self.limiter.observe(own_seconds, self.running, permit.admitted_at, now)
        if self.settings.policy == "adaptive":
            self.knee.observe(
                permit.operation, own_seconds, permit.concurrency, now
            )

    def release_slot(self, now: float) -> None:
        """Frees a slot and gives it to the best waiting call."""
        self.running -= 1
        self.overload.served += 1
        self.completion_interval.observe(now)
        self.admit_waiting(now)

    def admit_waiting(self, now: float) -> None:
        """Admits waiting calls while slots are free and the rate allows it."""
        while self.queue.length and self.may_start(now):
            waiter = self.queue.pop_best()
            waiter.timer.cancel()
            if waiter.future.done():
                continue
            if now > waiter.latest_start:
                self.refuse(waiter, messages.Reason.DEADLINE_EXCEEDED)
                continue
            queue_seconds = now - waiter.queued_at
            waiter.future.set_result(
                self.admit(waiter.operation, waiter.level, now, queue_seconds)
            )
        self.update_threshold(now)
        self.schedule_admission(now)

    def schedule_admission(self, now: float) -> None:
        """Starts the timer if the rate limit alone delays waiting calls."""
        if (
            not self.queue.length
            or self.running >= self.limit
            or self.rate_timer is not None
        ):
            return
        self.rate_timer = asyncio.get_running_loop().call_at(
            now + self.rate_limiter.delay(now), self.admit_at_rate
        )

    def admit_at_rate(self) -> None:
        """Admits the calls that waited for the rate limit."""
        self.rate_timer = None
        self.admit_waiting(asyncio.get_running_loop().time())

    def update_threshold(self, now: float) -> None:
        """Updates the threshold and refuses the waiting calls below it.

        On arrival they would be refused.  Newer calls are admitted before them,
        so they would wait in vain while each earlier hop holds a slot.
        """
        previous = self.overload.threshold
        self.overload.update(not self.queue.length, now)
        if self.overload.threshold <= previous:
            return
        self.refuse_below(self.overload.threshold, messages.Reason.OVERLOADED)

    def refuse_all_waiting(self) -> None:
        """Refuses every waiting call, since the backend server is leaving.

        The calls can still be served elsewhere.  If they stayed in the queue,
        they would reach the backend server up to a whole wait after it said
        that it leaves.
        """
        self.refuse_below(levels.LEVEL_COUNT, messages.Reason.LEAVING)

    def refuse_below(self, level: int, reason: messages.Reason) -> None:
        """Refuses every waiting call with a lower level than this."""
        for waiter in self.queue.waiters_below(level):
            self.queue.remove(waiter)
            self.refuse(waiter, reason)

    def refuse(self, waiter: callqueue.Waiter, reason: messages.Reason) -> None:
        """Refuses a call that was removed from the queue."""
        waiter.timer.cancel()
        if not waiter.future.done():
            waiter.future.set_exception(
                self.make_shed_error(reason, waiter.level)
            )

    def make_shed_error(
        self, reason: messages.Reason, level: int
    ) -> admissionrequest.ShedError:
        """Returns the error for a refused call, with a time to retry."""
        drain_seconds = self.queue.length * self.completion_interval.seconds
        seconds = drain_seconds + self.overload.seconds_until_admitted(level)
        seconds = min(max(seconds, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        return admissionrequest.ShedError(
            reason, seconds * (0.5 + self.rng.random())
        )
