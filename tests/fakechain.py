"""A chain of fake services with real admission, in virtual time."""

import asyncio
import collections
import dataclasses
import random

import routingfakes as fakes

from mangobay import admission, admissionrequest, ids
from mangobay.generated import messages

NORMAL = messages.Importance.NORMAL
CRITICAL = messages.Importance.CRITICAL


class RefusedDownstreamError(Exception):
    """A downstream service refused the child call."""

    def __init__(self, threshold: int):
        super().__init__()
        self.threshold = threshold


class FakeService:
    """A backend server with its admission and its downstream service.

    Attributes:
      service_seconds: Mean time of a call without its child call.
      child: The downstream service, if any.
      slowdown: Factor applied to the service time.
      busy_seconds: Time spent without child calls, by call tree.
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

    async def call(self, request: admissionrequest.AdmissionRequest) -> None:
        """Runs a call.

        Raises:
          admissionrequest.ShedError: The call was refused here.
          RefusedDownstreamError: A downstream service refused the child call.
        """
        permit = await self.admission.acquire(request)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        child_seconds = 0.0
        try:
            own_seconds = (
                self.service_seconds
                * self.slowdown
                * self.rng.uniform(0.5, 1.5)
            )
            await asyncio.sleep(own_seconds)
            self.busy_seconds[request.tree] += own_seconds
            child_started_at = loop.time()
            await self.call_child(request)
            child_seconds = loop.time() - child_started_at
        except RefusedDownstreamError as error:
            total_seconds = loop.time() - started_at
            permit.release(
                total_seconds, ok=False, downstream_threshold=error.threshold
            )
            raise
        except asyncio.CancelledError:
            permit.release(loop.time() - started_at, ok=False)
            raise
        permit.release(
            loop.time() - started_at, ok=True, child_wait_seconds=child_seconds
        )

    async def call_child(
        self, request: admissionrequest.AdmissionRequest
    ) -> None:
        """Makes the child call, if there is one."""
        if not self.child:
            return
        child_request = dataclasses.replace(request, depth=request.depth + 1)
        try:
            await self.child.call(child_request)
        except (admissionrequest.ShedError, RefusedDownstreamError):
            child_admission = self.child.admission
            downstream_threshold = child_admission.downstream_threshold(
                request.operation
            )
            threshold = max(child_admission.threshold, downstream_threshold)
            raise RefusedDownstreamError(threshold) from None


@dataclasses.dataclass(slots=True)
class CallerGroup:
    """A group of callers with the same behavior.

    Attributes:
      importance: Importance of the calls.
      rate: Requests per second, open loop.
      max_retries: Maximum retries of a refused call.
      clients: Number of clients that share the rate.
      timeout_seconds: Time from the request to its deadline.
      name: Name of the group.
    """

    importance: messages.Importance
    rate: float
    max_retries: int = 0
    clients: int = 200
    timeout_seconds: float = 1.0
    name: str = "reader"


class LoadGenerator:
    """Generates the load of several groups of callers on one service.

    Attributes:
      sent: Requests by group and second.
      answered: Answered requests by group and the second they were sent in.
      attempts: Number of calls, including retries.
      refused: Failed attempts by reason.
      wasted_seconds: Backend server time spent on failed attempts.
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

    async def run(self, groups: list[CallerGroup], until: float) -> None:
        """Sends requests until this loop time, then waits for them to end."""
        async with asyncio.TaskGroup() as tasks:
            for caller_group in groups:
                tasks.create_task(self.send(caller_group, until))

    async def send(self, caller_group: CallerGroup, until: float) -> None:
        """Sends the requests of one group."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < until:
                await asyncio.sleep(self.rng.expovariate(caller_group.rate))
                tasks.create_task(self.request(caller_group))

    async def request(self, caller_group: CallerGroup) -> None:
        """Makes one request with its retries, up to its deadline."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        second = int(now)
        self.sent[caller_group.name, second] += 1
        number = self.rng.randrange(caller_group.clients)
        client = ids.ClientId(f"{caller_group.name}-{number}")
        tree = str(self.rng.random())
        request = admissionrequest.AdmissionRequest(
            importance=caller_group.importance,
            depth=0,
            deadline=now + caller_group.timeout_seconds,
            client=client,
            tree=tree,
        )
        for _ in range(1 + caller_group.max_retries):
            if await self.attempt(request):
                self.answered[caller_group.name, second] += 1
                return
            await asyncio.sleep(0.05)
            if loop.time() >= request.deadline:
                return

    async def attempt(self, request: admissionrequest.AdmissionRequest) -> bool:
        """Makes one attempt; returns whether it was answered in time."""
        self.attempts += 1
        spent_before = self.spent_seconds(request.tree)
        if await self.is_answered(request):
            return True
        self.wasted_seconds += self.spent_seconds(request.tree) - spent_before
        return False

    def spent_seconds(self, tree: str) -> float:
        """Returns the backend server time spent on a call tree."""
        return sum(service.busy_seconds[tree] for service in self.chain)

    async def is_answered(
        self, request: admissionrequest.AdmissionRequest
    ) -> bool:
        """Makes one call; counts the reason if it was not answered."""
        try:
            async with asyncio.timeout_at(request.deadline):
                await self.service.call(request)
        except admissionrequest.ShedError as error:
            self.refused[error.reason] += 1
            return False
        except RefusedDownstreamError:
            self.refused["downstream"] += 1
            return False
        except TimeoutError:
            self.refused["timeout"] += 1
            return False
        return True

    def success_rate(self, name: str, first: int, last: int) -> float:
        """Returns the answered share of the requests sent in these seconds."""
        seconds = range(first, last)
        sent = sum(self.sent[name, second] for second in seconds)
        answered = sum(self.answered[name, second] for second in seconds)
        return answered / sent


def make_chain(
    slots: list[int], seconds: list[float], **changes
) -> list[FakeService]:
    """Returns a chain of services, in the order in which they are called."""
    chain: list[FakeService] = []
    for slot_count, service_seconds in zip(reversed(slots), reversed(seconds)):
        child = chain[0] if chain else None
        chain.insert(
            0, FakeService(slot_count, service_seconds, child, **changes)
        )
    return chain
