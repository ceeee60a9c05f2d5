"""A chain of fake services with real admission, on a virtual-time loop."""

import asyncio
import collections
import dataclasses
import random

import routingfakes as fakes

from mangobay import admission, admissionrequest, ids
from mangobay.generated import messages

NORMAL = messages.Importance.NORMAL
CRITICAL = messages.Importance.CRITICAL


class RefusedBelowError(Exception):
    """A deeper service refused the child call."""

    def __init__(self, threshold: int):
        super().__init__()
        self.threshold = threshold


class FakeService:
    """A backend server with slots, its admission, and the next service.

    Attributes:
      service_seconds: own time of a call without strain.
      slowdown: times that the own time takes now.
      busy_seconds: own seconds spent, by call tree.
    """

    def __init__(
        self,
        slots: int,
        service_seconds: float,
        child: "FakeService | None" = None,
        **changes,
    ):
        self.rng = random.Random(fakes.SEED)
        self.admission = admission.AdmissionController(
            fakes.section("admission", **changes),
            fakes.section("retries"),
            fakes.section("recovery"),
            random.Random(fakes.SEED),
        )
        self.admission.set_slots(slots)
        self.service_seconds = service_seconds
        self.child = child
        self.slowdown = 1.0
        self.busy_seconds: collections.Counter = collections.Counter()

    async def call(self, ticket: admissionrequest.AdmissionRequest) -> None:
        """Runs a call; raises what refuses it."""
        entered = await self.admission.acquire(ticket)
        loop = asyncio.get_running_loop()
        began = loop.time()
        awaited = 0.0
        try:
            spent = (
                self.service_seconds
                * self.slowdown
                * self.rng.uniform(0.5, 1.5)
            )
            await asyncio.sleep(spent)
            self.busy_seconds[ticket.tree] += spent
            middle = loop.time()
            await self.call_child(ticket)
            awaited = loop.time() - middle
        except RefusedBelowError as error:
            seconds = loop.time() - began
            entered.release(
                seconds, ok=False, downstream_threshold=error.threshold
            )
            raise
        except asyncio.CancelledError:
            entered.release(loop.time() - began, ok=False)
            raise
        entered.release(
            loop.time() - began, ok=True, child_wait_seconds=awaited
        )

    async def call_child(
        self, ticket: admissionrequest.AdmissionRequest
    ) -> None:
        """Makes the child call, if there is one."""
        if not self.child:
            return
        child = dataclasses.replace(ticket, depth=ticket.depth + 1)
        try:
            await self.child.call(child)
        except (admissionrequest.ShedError, RefusedBelowError):
            refusing = self.child.admission
            below = refusing.downstream_threshold(ticket.operation)
            threshold = max(refusing.threshold, below)
            raise RefusedBelowError(threshold) from None


@dataclasses.dataclass(slots=True)
class CallerGroup:
    """One kind of callers.

    Attributes:
      importance: of their calls.
      rate: calls a second, open loop.
      max_retries: how often a refused call is made again.
      clients: number of callers that share the rate.
      timeout_seconds: seconds until the deadline.
    """

    importance: messages.Importance
    rate: float
    max_retries: int = 0
    clients: int = 200
    timeout_seconds: float = 1.0
    name: str = "reader"


class LoadGenerator:
    """Callers of one service.

    Attributes:
      sent: requests by kind and second.
      answered: whole requests by kind and second of their arrival.
      attempts: calls made, repeats included.
      refused: attempts that failed, by reason.
      wasted_seconds: backend server seconds of attempts that failed.
    """

    def __init__(self, chain: list[FakeService]):
        self.chain = chain
        self.service = chain[0]
        self.rng = random.Random(fakes.SEED)
        self.sent: collections.Counter = collections.Counter()
        self.answered: collections.Counter = collections.Counter()
        self.attempts = 0
        self.refused: collections.Counter = collections.Counter()
        self.wasted_seconds = 0.0

    async def run(self, kinds: list[CallerGroup], until: float) -> None:
        """Sends all kinds until this loop time, then waits for the rest."""
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                group.create_task(self.send(kind, until))

    async def send(self, kind: CallerGroup, until: float) -> None:
        """Sends one kind."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                await asyncio.sleep(self.rng.expovariate(kind.rate))
                group.create_task(self.request(kind))

    async def request(self, kind: CallerGroup) -> None:
        """One request with its repeats, up to its deadline."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        second = int(now)
        self.sent[kind.name, second] += 1
        number = self.rng.randrange(kind.clients)
        client = ids.ClientId(f"{kind.name}-{number}")
        tree = str(self.rng.random())
        ticket = admissionrequest.AdmissionRequest(
            importance=kind.importance,
            depth=0,
            deadline=now + kind.timeout_seconds,
            client=client,
            tree=tree,
        )
        for _ in range(1 + kind.max_retries):
            if await self.attempt(ticket):
                self.answered[kind.name, second] += 1
                return
            await asyncio.sleep(0.05)
            if loop.time() >= ticket.deadline:
                return

    async def attempt(self, ticket: admissionrequest.AdmissionRequest) -> bool:
        """One attempt; returns whether it was answered in time."""
        self.attempts += 1
        spent = self.spent_seconds(ticket.tree)
        if await self.is_answered(ticket):
            return True
        self.wasted_seconds += self.spent_seconds(ticket.tree) - spent
        return False

    def spent_seconds(self, tree: str) -> float:
        """Returns the backend server seconds that a call tree took."""
        return sum(service.busy_seconds[tree] for service in self.chain)

    async def is_answered(
        self, ticket: admissionrequest.AdmissionRequest
    ) -> bool:
        """Makes one call; counts why it was not answered."""
        try:
            async with asyncio.timeout_at(ticket.deadline):
                await self.service.call(ticket)
        except admissionrequest.ShedError as error:
            self.refused[error.reason] += 1
            return False
        except RefusedBelowError:
            self.refused["below"] += 1
            return False
        except TimeoutError:
            self.refused["timeout"] += 1
            return False
        return True

    def success_rate(self, name: str, first: int, last: int) -> float:
        """Returns the answered share of requests sent in these seconds."""
        seconds = range(first, last)
        sent = sum(self.sent[name, second] for second in seconds)
        answered = sum(self.answered[name, second] for second in seconds)
        return answered / sent


def make_chain(
    slots: list[int], seconds: list[float], **changes
) -> list[FakeService]:
    """Returns the services, the first one called first."""
    chain: list[FakeService] = []
    for count, own in zip(reversed(slots), reversed(seconds)):
        child = chain[0] if chain else None
        chain.insert(0, FakeService(count, own, child, **changes))
    return chain
