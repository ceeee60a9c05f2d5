"""The troubles that are measured."""

import dataclasses

from bench import capacity, cluster, deployment

SURGE = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One trouble, which begins and ends at once.

    Attributes:
      title: for the report.
      slow: whether the last service takes `slowdown` times as long.
      surge: what times the demand.
      lies: whether health endpoints of the last service call it idle.
      caller_tries: extra tries of each caller, before and after it as well.
    """

    title: str
    slow: bool = False
    surge: float = 1.0
    lies: bool = False
    caller_tries: int = 5


SCENARIOS = {
    "a": Scenario("a deep service slows", slow=True),
    "b": Scenario("demand surges", surge=SURGE),
    "c": Scenario("both, callers retry five times", slow=True, surge=SURGE),
    "f": Scenario("health lies while it slows", slow=True, lies=True),
}


def slowed(plan: deployment.Deployment) -> str:
    """Returns the deepest service."""
    return list(plan.services)[-1]


def factors(
    plan: deployment.Deployment, scenario: Scenario, stretch: float
) -> capacity.Factors:
    """Returns what times the work of each service in the trouble."""
    made = {service: stretch for service in plan.services}
    if scenario.slow:
        made[slowed(plan)] *= plan.slowdown
    return made


async def begin(
    running: cluster.Cluster, scenario: Scenario, stretch: float
) -> None:
    """Starts what happens to backend servers."""
    plan = running.plan
    if scenario.slow:
        await running.slow_down(slowed(plan), stretch * plan.slowdown)
    if scenario.lies:
        await tell_health(running, honest=False)


async def end(
    running: cluster.Cluster, scenario: Scenario, stretch: float
) -> None:
    """Ends what `begin` started."""
    if scenario.slow:
        await running.slow_down(slowed(running.plan), stretch)
    if scenario.lies:
        await tell_health(running, honest=True)


async def tell_health(running: cluster.Cluster, honest: bool) -> None:
    """Makes the health endpoints of the deepest service lie or not."""
    service = slowed(running.plan)
    for host in running.layout.nodes:
        if host.service == service:
            await running.tell(host, {"honest": honest})
