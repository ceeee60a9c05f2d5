"""Processor time of the decisions of one call, without transport.

Run `python -m bench.decisions`: prints microseconds a call for each part, as
the median of some rounds.  Bounded to a few seconds.
"""

import asyncio
import random
import statistics
import time

from bench import nodesettings
from mangobay import (
    admission,
    admissionrequest,
    ids,
    levels,
    retryallowance,
    retrybudget,
    routing,
)
from mangobay.generated import messages

ROUNDS = 7
CALLS = 5000
HOSTS = 7
WAITING = 200
SERVICE = ids.ServiceName("quotes")
NOBODY: frozenset[ids.HostId] = frozenset()
ANSWERED = routing.Observation(
    outcome=messages.Outcome.ANSWERED, inflight=5, limit=70
)


def make_admission() -> admission.AdmissionController:
    """Returns an admission with 70 slots."""
    made = admission.AdmissionController(
        nodesettings.section("admission"),
        nodesettings.section("retries"),
        nodesettings.section("recovery"),
        random.Random(1),
    )
    made.set_slots(70)
    return made


def make_router() -> routing.Router:
    """Returns a router that knows one service."""
    router = routing.Router(
        nodesettings.section("routing"),
        nodesettings.section("admission"),
        ids.DataCentre("a"),
        random.Random(1),
    )
    members = [
        messages.Member(
            host=ids.HostId(f"host-{number}"),
            incarnation=ids.Incarnation("1"),
            data_centre=ids.DataCentre("a" if number < 3 else "b"),
            slots=70,
        )
        for number in range(HOSTS)
    ]
    view = messages.ServiceView(
        service=SERVICE, version=ids.ViewVersion(1), members=members
    )
    router.update_views({SERVICE: view})
    return router


def ticket(number: int) -> admissionrequest.AdmissionRequest:
    """Returns the ticket of one of 500 clients."""
    return admissionrequest.AdmissionRequest(
        importance=messages.Importance(number % 4),
        depth=number % 5,
        deadline=asyncio.get_running_loop().time() + 5,
        client=ids.ClientId(f"client-{number % 500}"),
    )


async def admit_at_once() -> None:
    """Slots are free."""
    made = make_admission()
    for number in range(CALLS):
        entered = await made.acquire(ticket(number))
        entered.release(0.02, ok=True)


async def admit_after_waiting() -> None:
    """All slots are taken: every call waits, a task of its own, and runs."""
    made = make_admission()
    made.set_slots(1)
    for start in range(0, CALLS, WAITING):
        await asyncio.gather(
            *(wait_and_leave(made, start + part) for part in range(WAITING))
        )


async def wait_and_leave(
    made: admission.AdmissionController, number: int
) -> None:
    """Enters and leaves once; a refusal counts as well."""
    try:
        entered = await made.acquire(ticket(number))
    except admissionrequest.ShedError:
        return
    await asyncio.sleep(0)
    entered.release(0.0001, ok=True)


async def route() -> None:
    """Picks a host and learns from its reply."""
    router = make_router()
    for _ in range(CALLS):
        member = router.pick(
            SERVICE, NOBODY, messages.Importance.HIGH, 1, tree="client-1"
        )
        router.record_call_start(SERVICE, member.host)
        router.record_call_end(SERVICE, member.host, ANSWERED)


async def count_tries() -> None:
    """One call with one child call."""
    grants = retryallowance.RunningCalls()
    kept = retrybudget.RetryBudget(nodesettings.section("retries"))
    for number in range(CALLS):
        name = ids.CallId(str(number))
        running = grants.start(name, retryallowance.RetryAllowance(3))
        found = grants.find(name)
        found.allow_child("GET", "/prices/1", b"")
        lent = running.allowance.lend()
        running.allowance.reclaim(lent)
        grants.finish(name)
        kept.record_request(SERVICE)


async def take_levels() -> None:
    """The hash of the caller, part of both routing and admission."""
    for _ in range(CALLS):
        levels.level_of(2, "client-1")


def measured(part) -> float:
    """Returns the median of the rounds, microseconds a call."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        asyncio.run(part())
        times.append((time.process_time() - began) / CALLS * 1e6)
    return statistics.median(times)


def main() -> None:
    """Prints one line for each part."""
    for part in (
        admit_at_once,
        admit_after_waiting,
        route,
        count_tries,
        take_levels,
    ):
        print(f"{part.__name__:20} {measured(part):6.1f} us a call")


if __name__ == "__main__":
    main()
