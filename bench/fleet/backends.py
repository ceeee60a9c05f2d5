"""Backend servers of the model: slots, a queue, work, and calls below."""

import asyncio
import collections
import math
import random
import typing

from bench.fleet import deployments
from mangobay import backend, errors, httpheaders, ids
from mangobay.generated import messages

Trouble = deployments.Trouble
ATTEMPT = "Attempt"
"""Field that names a request."""
COLD_FACTOR = 2.0
"""Times that work takes at a backend server that has just started."""
ANSWER_BYTES = 400

Call = typing.Callable[[deployments.Kind, str, float], typing.Awaitable[int]]
"""Makes a call: kind, attempt id, loop time of its deadline; the status."""


class Server:
    """One backend server; implements `execution.BackendClient`.

    Attributes:
      call: makes calls through the node on this host.
      began: loop time at which the load starts.
      arrivals: requests that came, by kind.
      runs: begun, by kind.
      arrived_at: loop times of all requests that came.
    """

    def __init__(
        self,
        day: deployments.Day,
        service: deployments.Service,
        place: int,
        dice: random.Random,
    ):
        self.day = day
        self.service = service
        self.place = place
        self.speed = service.speeds[place]
        self.dice = dice
        self.kinds = {kind.name: kind for kind in day.kinds}
        self.call: Call | None = None
        self.began = 0.0
        self.running = 0
        self.waiting: collections.deque[asyncio.Future] = collections.deque()
        self.arrivals: collections.Counter = collections.Counter()
        self.runs: collections.Counter = collections.Counter()
        self.arrived_at: list[float] = []

    def concerns(self, event: deployments.Event) -> bool:
        """Returns whether a trouble is about this backend server."""
        of_service = event.service in ("", self.service.name)
        return of_service and (not event.hosts or self.place < event.hosts)

    def troubles(self, kind: Trouble) -> list[deployments.Event]:
        """Returns the troubles of a kind that are on here."""
        now = asyncio.get_running_loop().time() - self.began
        return [
            event
            for event in self.day.active(kind, now)
            if self.concerns(event)
        ]

    def is_struck(self, kind: Trouble) -> bool:
        """Draws whether a trouble strikes this request."""
        return any(
            self.dice.random() < event.strength for event in self.troubles(kind)
        )

    async def send(
        self,
        address,
        request: backend.Request,
        attempt: backend.Attempt,
    ) -> backend.Response:
        """Returns the answer to one request."""
        del address
        loop = asyncio.get_running_loop()
        if self.troubles(Trouble.DOWN):
            raise errors.BackendUnreachableError("down")
        attempt.sent = True
        kind = self.kinds[request.target.strip("/")]
        self.arrivals[kind.name] += 1
        self.arrived_at.append(loop.time())
        began = loop.time()
        full = len(self.waiting) >= self.service.queue
        if full or self.is_struck(Trouble.SHED):
            return self.answer(503, began, shed=True)
        try:
            async with asyncio.timeout_at(request.deadline):
                status = await self.admitted(kind, request)
        except TimeoutError:
            status = 504
        if self.troubles(Trouble.DOWN):
            raise errors.BackendBrokenError("went down")
        if self.is_struck(Trouble.LOST):
            raise errors.BackendBrokenError("the answer was lost")
        return self.answer(status, began)

    async def admitted(
        self, kind: deployments.Kind, request: backend.Request
    ) -> int:
        """Waits for a slot and runs; returns the status."""
        if self.running >= self.service.slots:
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self.hand_on()
                elif waiter in self.waiting:
                    self.waiting.remove(waiter)
                raise
        else:
            self.running += 1
        try:
            return await self.run(kind, request)
        finally:
            self.hand_on()

    def hand_on(self) -> None:
        """Gives a slot to who waits longest, or frees it."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1

    async def run(
        self, kind: deployments.Kind, request: backend.Request
    ) -> int:
        """Works, and makes the calls; returns the status."""
        self.runs[kind.name] += 1
        work = self.work(kind)
        await asyncio.sleep(work / 2)
        own = httpheaders.find(request.headers, ATTEMPT)
        number = 0
        for name, times in kind.calls:
            for _ in range(times):
                number += 1
                status = await self.call(
                    self.kinds[name], f"{own}.{number}", request.deadline
                )
                if status != 200:
                    return 500
        await asyncio.sleep(work / 2)
        return 200

    def work(self, kind: deployments.Kind) -> float:
        """Draws the seconds of work of a run."""
        spread = kind.spread
        drawn = self.dice.lognormvariate(-spread * spread / 2, spread)
        work = kind.work * drawn / self.speed
        if self.running > self.service.knee * self.service.slots:
            work *= self.service.knee_factor
        return work * math.prod(self.slowness())

    def slowness(self) -> typing.Iterator[float]:
        """Yields what work is slowed by."""
        for event in self.troubles(Trouble.SLOW):
            yield event.strength
        if self.is_cold():
            yield COLD_FACTOR

    def is_cold(self) -> bool:
        """Returns whether it was down a short time ago."""
        now = asyncio.get_running_loop().time() - self.began
        ends = [
            event.at + event.seconds
            for event in self.day.events
            if event.kind is Trouble.DOWN and self.concerns(event)
        ]
        return any(0 <= now - end < self.service.cold_seconds for end in ends)

    def answer(
        self, status: int, began: float, shed: bool = False
    ) -> backend.Response:
        """Returns an answer."""
        signature = messages.Header(name="Signature", value="s")
        return backend.Response(
            status=status,
            headers=[] if shed else [signature],
            body=b"" if shed else bytes(ANSWER_BYTES),
            seconds=asyncio.get_running_loop().time() - began,
            shed=shed,
            server_state=self.state(),
        )

    def state(self) -> backend.ServerState:
        """Returns what it says about itself in its responses."""
        limits = [event.strength for event in self.troubles(Trouble.LIMIT)]
        return backend.ServerState(rate_limit=min(limits, default=None))


def parent_attempt_of(attempt: ids.AttemptId) -> ids.AttemptId:
    """Returns the request that the id of a call names, empty for none."""
    return ids.AttemptId(attempt.rpartition(".")[0])
