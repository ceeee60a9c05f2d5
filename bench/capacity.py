"""What the slots of a deployment could serve at best.

A slot is held while its child calls run, so a request costs each service on
its way the time of its own and of everything below.  No waiting, no network
and no refused work is counted: this bounds what any way of shedding can reach
that serves the more important requests first.
"""

import collections
import dataclasses

from bench import deployment
from mangobay import ids
from mangobay.generated import messages

NEARLY = 1e-9


@dataclasses.dataclass(slots=True)
class Demand:
    """Requests of one operation.

    Attributes:
      work: the operation.
      rate: requests a second.
      held: slot seconds of one request, by service.
      served: share of the rate that the slots can serve.
    """

    work: deployment.Work
    rate: float
    held: dict[ids.ServiceName, float]
    served: float = 0.0


Factors = dict[ids.ServiceName, float]
"""What times the work of each service."""


def seconds_of(
    plan: deployment.Deployment, work: deployment.WorkId, factors: Factors
) -> float:
    """Returns how long a call runs when it waits for no slot."""
    found = plan.works[work]
    own = found.work_ms / 1000 * factors[found.operation.service]
    return own + sum(seconds_of(plan, each, factors) for each in found.calls)


def held_by(
    plan: deployment.Deployment, work: deployment.WorkId, factors: Factors
) -> dict[ids.ServiceName, float]:
    """Returns the slot seconds of one request, by service."""
    held = collections.Counter()
    held[plan.works[work].operation.service] += seconds_of(plan, work, factors)
    for child in plan.works[work].calls:
        held.update(held_by(plan, child, factors))
    return dict(held)


def demands(
    plan: deployment.Deployment, rate: float, factors: Factors
) -> list[Demand]:
    """Returns the demand of each operation at this many requests a second."""
    total = sum(work.share for work in plan.works.values())
    return [
        Demand(work, rate * work.share / total, held_by(plan, name, factors))
        for name, work in plan.works.items()
        if work.share
    ]


def serve(
    wanted: list[Demand], slots: dict[ids.ServiceName, float]
) -> list[Demand]:
    """Fills in what the slots can serve, the more important first.

    Within an importance the shares of all operations rise together; those
    that need a full service stop there, the others go on.
    """
    left = dict(slots)
    for importance in sorted(messages.Importance, reverse=True):
        fill(
            [
                each
                for each in wanted
                if each.work.operation.importance == importance
            ],
            left,
        )
    return wanted


def fill(rising: list[Demand], left: dict[ids.ServiceName, float]) -> None:
    """Raises the shares of one importance until nothing can rise."""
    while rising:
        needed = collections.Counter()
        for each in rising:
            for service, held in each.held.items():
                needed[service] += each.rate * held
        step = min(1.0 - each.served for each in rising)
        for service in needed:
            step = min(step, left[service] / needed[service])
        for each in rising:
            each.served += step
        for service in needed:
            left[service] -= step * needed[service]
        full = {service for service in needed if left[service] < NEARLY}
        rising = [
            each
            for each in rising
            if each.served < 1 - NEARLY and not full & each.held.keys()
        ]


def share_of(wanted: list[Demand]) -> float:
    """Returns the share of all requests that is served."""
    total = sum(each.rate for each in wanted)
    return sum(each.rate * each.served for each in wanted) / total


def load_of(
    wanted: list[Demand], slots: dict[ids.ServiceName, float]
) -> dict[ids.ServiceName, float]:
    """Returns how many times its slots each service is asked for."""
    needed = collections.Counter()
    for each in wanted:
        for service, held in each.held.items():
            needed[service] += each.rate * held
    return {service: needed[service] / slots[service] for service in needed}
