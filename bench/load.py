"""Open-loop load: calls start when they are due, whatever is in flight."""

import asyncio
import collections.abc
import dataclasses
import json
import random

import aiohttp
import hdrh.histogram
import uuid6

from bench import backend, deployment, sessions
from mangobay import httpheaders, options
from mangobay.generated import messages

LONGEST_US = 60_000_000
RETRY_PAUSE = 0.05
"""Seconds before a caller's first retry; doubled for each further one."""
RETRYABLE = frozenset({0, 429, 502, 503, 504})
NO_ANSWER = 0
ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
      marker: travels with the whole call tree of the attempt.
      status: the HTTP status, 0 without an answer.
      outcome: what the node said of it, empty without an answer.
      whole: the answer is all there and belongs to this attempt.
      foreign: the answer belongs to another attempt.
      retry_after: seconds that the refusal asks to wait.
      why: what the answer gives as the reason of a failure.
    """

    marker: str
    status: int = NO_ANSWER
    outcome: str = ""
    whole: bool = False
    foreign: bool = False
    retry_after: float = 0.0
    why: str = ""


@dataclasses.dataclass(slots=True)
class Call:
    """One call from outside, with its caller's retries.

    Attributes:
      work: the operation.
      importance: of the operation.
      due: when it was meant to start, loop time.
      seconds: from then until it was over.
      in_time: whether it was over within its deadline.
      attempts: each attempt.
      keyed: whether all attempts carry one idempotency key.
    """

    work: deployment.WorkId
    importance: messages.Importance
    due: float
    seconds: float = 0.0
    in_time: bool = False
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    keyed: bool = False

    @property
    def good(self) -> bool:
        """Whether the whole answer came in time."""
        return self.in_time and bool(self.attempts) and self.attempts[-1].whole


class Load:
    """Callers of one deployment.

    Attributes:
      plan: the deployment.
      targets: where callers connect; one is picked for each attempt.
      tries: extra tries of each caller.
      calls: every call, in the order of starting.
      rate: calls a second; may be changed while it runs.
      lateness: seconds between when each call was due and its start; shows
        whether the machine was too busy for a measurement.
    """

    def __init__(
        self,
        plan: deployment.Deployment,
        targets: collections.abc.Sequence[options.Address],
        rate: float,
        tries: int = 0,
        seed: int = 1,
    ):
        self.plan = plan
        self.targets = list(targets)
        self.rate = rate
        self.tries = tries
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.lateness: list[float] = []
        self.tasks: set[asyncio.Task] = set()
        self.session = sessions.open_session()
        self.works = [work for work in plan.works.values() if work.share]
        self.shares = [work.share for work in self.works]

    async def run(self, seconds: float) -> None:
        """Starts calls as a Poisson process, then returns without waiting."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        while True:
            due += self.random.expovariate(self.rate)
            if due >= end:
                break
            await asyncio.sleep(due - loop.time())
            self.lateness.append(loop.time() - due)
            self.start(due)
        await asyncio.sleep(end - loop.time())

    def start(self, due: float) -> None:
        """Starts one call that was due at a loop time."""
        [work] = self.random.choices(self.works, self.shares)
        task = asyncio.create_task(self.call(work, due))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Waits for every call."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    async def close(self) -> None:
        """Ends what is in flight and closes the connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()

    async def call(self, work: deployment.Work, due: float) -> Call:
        """Makes a call and its retries."""
        loop = asyncio.get_running_loop()
        operation = work.operation
        call = Call(deployment.work_id(operation), operation.importance, due)
        self.calls.append(call)
        target = deployment.target_of(operation, self.random.randrange(1000))
        give_up = due + operation.deadline_ms / 1000
        key = "" if operation.idempotent else str(uuid6.uuid7())
        call.keyed = bool(key)
        for number in range(1 + self.tries):
            attempt = Attempt(str(uuid6.uuid7()))
            call.attempts.append(attempt)
            await self.attempt(call, operation, target, key, give_up)
            if attempt.whole or attempt.status not in RETRYABLE:
                break
            pause = self.random.uniform(0, RETRY_PAUSE * 2**number)
            if number == self.tries or loop.time() + pause >= give_up:
                break
            await asyncio.sleep(pause)
        call.seconds = loop.time() - due
        call.in_time = loop.time() <= give_up
        return call

    async def attempt(
        self,
        call: Call,
        operation: messages.Operation,
        target: str,
        key: str,
        give_up: float,
    ) -> None:
        """Makes the newest attempt of a call at a host picked at random."""
        attempt = call.attempts[-1]
        node = self.random.choice(self.targets)
        url = f"http://{node}/{operation.service}{target}"
        headers = {backend.MARKER: attempt.marker}
        if key:
            headers[backend.KEY] = key
        left = max(0.001, give_up - asyncio.get_running_loop().time())
        headers[httpheaders.REQUEST_TIMEOUT] = f"{left:.3f}"
        try:
            async with self.session.request(
                operation.method,
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(left),
            ) as response:
                body = await response.read()
                attempt.status = response.status
                attempt.outcome = response.headers.get(backend.OUTCOME, "")
                if attempt.status == 200:
                    judge(call, operation, body)
                else:
                    attempt.why = backend.why_of(body)
        except (aiohttp.ClientError, TimeoutError):
            attempt.status = NO_ANSWER


def judge(call: Call, operation: messages.Operation, body: bytes) -> None:
    """Notes whether an answer is whole and belongs to the newest attempt.

    A resend of an idempotency key rightly gets the answer of the attempt
    that ran, with that attempt's marker.
    """
    try:
        answer = json.loads(body)
    except ValueError:
        return
    newest = call.attempts[-1]
    markers = {attempt.marker for attempt in call.attempts}
    if operation.idempotent:
        markers = {newest.marker}
    newest.foreign = (
        answer.get("work") != call.work or answer.get("marker") not in markers
    )
    padded = answer.get("padding") == backend.PADDING
    newest.whole = padded and not newest.foreign


def histogram_of(calls: collections.abc.Iterable[Call]):
    """Returns the latencies of good calls, from when each was due."""
    histogram = hdrh.histogram.HdrHistogram(1, LONGEST_US, 3)
    for call in calls:
        if call.good:
            histogram.record_value(max(1, int(call.seconds * 1e6)))
    return histogram
