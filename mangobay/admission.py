"""Admission at the node beside the backend server.

A call runs at once while fewer than the limit run and nobody waits.  Else it
waits for a short time, bounded by the settings and by its own deadline, or is
refused at once.  Nothing is held back to calm a caller: a refusal is sent as
soon as it is known.

The setting [recovery] weight scales both times that trade goodput against
recovery, [admission] queue_time and reopen_time, by 2 ** (1 - 2 * weight): at
0 they are doubled, at 0.5 as written, at 1 halved.
"""

import asyncio
import collections
import random

from mangobay import (
    downstream,
    estimates,
    fairness,
    ids,
    knee,
    levels,
    limiter,
    pressure,
    tickets,
    waiting,
)
from mangobay.generated import messages, settings

CALM_FACTOR = 4
"""Times queue_time that a call may wait while the queue does not stand, and a
critical one always."""
DEEP_FACTOR = 4
"""Times queue_time that a call from another hop may wait, its deadline
permitting."""
STANDING_FACTOR = 2
"""Times queue_time after which a queue that was never empty stands."""
LONGEST_RETRY_AFTER = 30.0
"""Seconds."""
SHORTEST_RETRY_AFTER = 0.05
"""Seconds."""


class Pass:
    """The right to run one call at the backend server.

    Attributes:
      waited: seconds in the queue.
      beside: calls that ran when it was given, its own included.
    """

    __slots__ = (
        "admission",
        "began",
        "beside",
        "level",
        "open",
        "operation",
        "waited",
    )

    def __init__(
        self,
        admission: "Admission",
        operation: ids.OperationName,
        level: int,
        began: float,
        waited: float,
    ):
        self.admission = admission
        self.operation = operation
        self.level = level
        self.began = began
        self.waited = waited
        self.beside = admission.running
        self.open = True

    def leave(
        self,
        service_seconds: float,
        ok: bool,
        awaited: float = 0.0,
        shed: bool = False,
        below: int = levels.OPEN,
    ) -> None:
        """Gives the slot back; only the first call counts.

        Args:
          service_seconds: time from the first byte to the whole answer.
          ok: it was a whole answer; other times are not learned from.
          awaited: part of that time with child calls in flight.
          shed: the backend server itself refused the call.
          below: threshold with which a child call was refused, if one was.
        """
        if not self.open:
            return
        self.open = False
        now = asyncio.get_running_loop().time()
        self.admission.learn(self, service_seconds, ok, awaited, now)
        if shed:
            self.admission.limiter.shed(self.admission.running, now)
        used = awaited > 0 or below > levels.OPEN
        self.admission.downstreams.observe(
            self.operation, self.level, below, used, ok, now
        )
        self.admission.left(now)


class Admission:
    """Admits calls to the backend server on this host.

    Attributes:
      running: calls that run now.
      limiter: finds how many may.
      knee: finds how many pay.
      expected: service times by operation.
    """

    def __init__(
        self,
        admission: settings.NodeAdmission,
        retries: settings.NodeRetries,
        recovery: settings.NodeRecovery,
        dice: random.Random,
    ):
        scale = 2.0 ** (1 - 2 * recovery.weight)
        self.settings = admission
        self.queue_time = admission.queue_time * scale
        self.calm_time = self.queue_time * CALM_FACTOR
        self.deep_time = self.queue_time * DEEP_FACTOR
        self.dice = dice
        self.limiter = limiter.make(admission.policy)
        self.knee = knee.Knee()
        self.waiting = waiting.Waiting(admission.order == "newest")
        self.fairness = fairness.Fairness(retries.client_share)
        self.pressure = pressure.Pressure(
            self.queue_time * STANDING_FACTOR, admission.reopen_time * scale
        )
        self.downstreams = downstream.Downstreams(admission.reopen_time * scale)
        self.expected = collections.defaultdict(estimates.ServiceTime)
        self.running = 0
        self.pace = estimates.Pace()

    @property
    def threshold(self) -> int:
        """The lowest level admitted now; goes back on every reply."""
        return self.pressure.threshold

    @property
    def load(self) -> int:
        """Calls that run or wait here; above the limit, they queue."""
        return self.running + self.waiting.length

    def below(self, operation: ids.OperationName) -> int:
        """The lowest level of an operation that is admitted below."""
        now = asyncio.get_running_loop().time()
        return self.downstreams.threshold(operation, now)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return min(self.limiter.limit, self.knee.limit)

    def set_slots(self, slots: int) -> None:
        """Takes the slots announced by the backend server."""
        self.limiter.set_slots(slots)
        self.knee.set_slots(slots)
        self.fill(asyncio.get_running_loop().time())

    async def enter(self, ticket: tickets.Ticket) -> Pass:
        """Returns the pass of an admitted call, perhaps after a short wait.

        Raises:
          tickets.ShedError: the call was refused and must not run.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        level, rank = self.place(ticket, now)
        self.check(ticket, level, now)
        if not self.waiting.length and self.running < self.limit:
            return self.admit(ticket.operation, level, now, 0.0)
        waiter = self.line_up(ticket, level, rank, loop)
        return await self.wait(waiter)

    def place(self, ticket: tickets.Ticket, now: float) -> tuple[int, int]:
        """Counts the arrival; returns its level and its rank in the queue."""
        importance = messages.Importance.NORMAL
        if self.settings.by_importance:
            importance = ticket.importance
        self.fairness.arrived(ticket.client, now)
        heavy = bool(self.waiting.length) and self.fairness.heavy(
            ticket.client, now
        )
        level = importance * levels.FRACTIONS
        if not heavy:
            level = levels.level_of(importance, ticket.tree or ticket.client)
        depth = ticket.depth if self.settings.by_depth else 0
        return level, waiting.rank_of(importance, heavy, depth)

    def check(self, ticket: tickets.Ticket, level: int, now: float) -> None:
        """Refuses what would be shed anyway, or could not finish in time.

        Raises:
          tickets.ShedError: the call must not run.
        """
        self.look(now)
        self.pressure.arrived[level // pressure.STEP] += 1
        below = self.downstreams.threshold(ticket.operation, now)
        if level < max(self.pressure.threshold, below):
            raise self.refusal(messages.Reason.OVERLOADED, level)
        if now + self.expected[ticket.operation].at(now) >= ticket.deadline:
            raise self.refusal(messages.Reason.DEADLINE_EXCEEDED, level)

    def admit(
        self,
        operation: ids.OperationName,
        level: int,
        now: float,
        waited: float,
    ) -> Pass:
        """Takes a slot."""
        self.running += 1
        return Pass(self, operation, level, now, waited)

    def line_up(
        self,
        ticket: tickets.Ticket,
        level: int,
        rank: int,
        loop: asyncio.AbstractEventLoop,
    ) -> waiting.Waiter:
        """Puts the call into the queue, in the place of a worse one if full.

        Raises:
          tickets.ShedError: the queue is full of calls that are no worse.
        """
        if self.queue_time <= 0:
            raise self.refusal(messages.Reason.OVERLOADED, level)
        if self.waiting.length >= self.settings.queue_length:
            self.make_room(level, rank)
        now = loop.time()
        latest = ticket.deadline - self.expected[ticket.operation].at(now)
        waiter = waiting.Waiter(
            ticket.operation, rank, level, now, latest, loop.create_future()
        )
        self.waiting.add(waiter)
        end = min(now + self.patience(ticket, now), latest)
        waiter.timer = loop.call_at(end, self.give_up, waiter)
        return waiter

    def make_room(self, level: int, rank: int) -> None:
        """Sheds the worst waiting call for a better one.

        Raises:
          tickets.ShedError: the new call is the worst.
        """
        worst = self.waiting.worst_rank()
        better = rank > worst or (rank == worst and self.waiting.newest_first)
        if worst < 0 or not better:
            raise self.refusal(messages.Reason.OVERLOADED, level)
        self.refuse(self.waiting.pop_worst(), messages.Reason.OVERLOADED)

    def patience(self, ticket: tickets.Ticket, now: float) -> float:
        """Returns the longest wait in seconds.

        A call from another hop may wait longer than a new one: giving it up
        wastes the work done above.  Yet each hop above holds a slot while it
        waits, and those slots are missed by operations that do not come here.

        A critical call may wait longer while the queue stands: nothing less
        important is let in before it, so it waits only for running calls.

        Both may wait for one service time at least.  Where that is longer
        than the settings allow, as in a service that slowed, a call would be
        given up before the first of the running ones can have ended.

        Where the call says how long a wait is of use, that counts.
        """
        service_time = self.expected[ticket.operation].at(now)
        if ticket.patience:
            return max(ticket.patience, self.queue_time)
        if ticket.depth and self.settings.by_depth:
            return max(self.deep_time, service_time)
        critical = ticket.importance == messages.Importance.CRITICAL
        if critical and self.settings.by_importance:
            return max(self.calm_time, service_time)
        if self.pressure.standing(now):
            return self.queue_time
        return self.calm_time

    async def wait(self, waiter: waiting.Waiter) -> Pass:
        """Returns the pass once it is the waiter's turn.

        Raises:
          tickets.ShedError: its time was up, or a better call took its place.
        """
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self.abandon(waiter)
            raise

    def abandon(self, waiter: waiting.Waiter) -> None:
        """Takes a cancelled call out of the queue.

        The pass may have been given in the same turn of the loop in which
        the task was cancelled: nobody would ever give that slot back.
        """
        self.waiting.remove(waiter)
        waiter.timer.cancel()
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            future.result().leave(0.0, ok=False)

    def give_up(self, waiter: waiting.Waiter) -> None:
        """Ends a wait whose time is up."""
        if not self.waiting.remove(waiter):
            return
        now = asyncio.get_running_loop().time()
        late = now >= waiter.latest
        reason = messages.Reason.QUEUE_TIMEOUT
        if late:
            reason = messages.Reason.DEADLINE_EXCEEDED
        self.refuse(waiter, reason)
        self.look(now)

    def learn(
        self, gone: Pass, seconds: float, ok: bool, awaited: float, now: float
    ) -> None:
        """Learns service times from a whole answer."""
        if not ok:
            return
        own = max(0.0, seconds - awaited)
        self.expected[gone.operation].observe(seconds, now)
        self.limiter.observe(own, self.running, gone.began, now)
        if self.settings.policy == "adaptive":
            self.knee.observe(gone.operation, own, gone.beside, now)

    def left(self, now: float) -> None:
        """Takes a slot back and gives it to the best waiting call."""
        self.running -= 1
        self.pressure.served += 1
        self.pace.answered(now)
        self.fill(now)

    def fill(self, now: float) -> None:
        """Admits waiting calls while slots are free."""
        while self.waiting.length and self.running < self.limit:
            waiter = self.waiting.pop_best()
            waiter.timer.cancel()
            if waiter.future.done():
                continue
            if now > waiter.latest:
                self.refuse(waiter, messages.Reason.DEADLINE_EXCEEDED)
                continue
            waited = now - waiter.since
            waiter.future.set_result(
                self.admit(waiter.operation, waiter.level, now, waited)
            )
        self.look(now)

    def look(self, now: float) -> None:
        """Adjusts the threshold; refuses waiting calls that it shuts out.

        On arrival they would be refused.  Newer calls go before them, so that
        they would wait in vain, and each hop above holds a slot meanwhile.
        """
        former = self.pressure.threshold
        self.pressure.look(not self.waiting.length, now)
        if self.pressure.threshold <= former:
            return
        self.refuse_below(self.pressure.threshold, messages.Reason.OVERLOADED)

    def shut(self) -> None:
        """Refuses every waiting call: the backend server takes no more.

        They can still be served elsewhere; kept in the queue they would reach
        the backend server up to a whole wait after it said that it leaves.
        """
        self.refuse_below(levels.TOP, messages.Reason.LEAVING)

    def refuse_below(self, level: int, reason: messages.Reason) -> None:
        """Refuses every waiting call below a level."""
        for waiter in self.waiting.below(level):
            self.waiting.remove(waiter)
            self.refuse(waiter, reason)

    def refuse(self, waiter: waiting.Waiter, reason: messages.Reason) -> None:
        """Ends the wait of a call that left the queue."""
        waiter.timer.cancel()
        if not waiter.future.done():
            waiter.future.set_exception(self.refusal(reason, waiter.level))

    def refusal(self, reason: messages.Reason, level: int) -> tickets.ShedError:
        """Returns the error of a refusal, with a time to try again."""
        drain = self.waiting.length * self.pace.seconds
        seconds = drain + self.pressure.reopens_in(level)
        seconds = min(max(seconds, SHORTEST_RETRY_AFTER), LONGEST_RETRY_AFTER)
        return tickets.ShedError(reason, seconds * (0.5 + self.dice.random()))
