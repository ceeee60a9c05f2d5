"""What a way through the system adds to a call, against a plain forwarder."""

import asyncio
import dataclasses

import hdrh.histogram

from bench import deployment, sessions
from mangobay import options
from mangobay.generated import messages

LONGEST_US = 10_000_000
WARM_UP = 20


@dataclasses.dataclass(slots=True)
class Way:
    """One way to a backend server.

    Attributes:
      name: for the report.
      url: up to where the target is put behind.
      histogram: microseconds of each call.
      failed: calls without status 200.
    """

    name: str
    url: str
    histogram: hdrh.histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(1, LONGEST_US, 3)
    )
    failed: int = 0

    def at(self, percentile: float) -> float:
        """Returns the milliseconds that this share of calls took at most."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


def leaf_of(plan: deployment.Deployment) -> messages.Operation:
    """Returns the operation that calls nothing and is called most."""
    leaves = [
        work
        for work in plan.works.values()
        if not work.calls and work.operation.method == "GET"
    ]
    return max(leaves, key=lambda work: work.share).operation


def direct(address: options.Address) -> str:
    """Returns the URL of a backend server."""
    return f"http://{address}"


def through(address: options.Address, operation: messages.Operation) -> str:
    """Returns the URL of a service at a node or forwarder."""
    return f"http://{address}/{operation.service}"


async def measure(
    ways: list[Way], operation: messages.Operation, rounds: int
) -> None:
    """Calls every way in turn, so that all meet the same machine."""
    loop = asyncio.get_running_loop()
    session = sessions.open_session()
    try:
        for number in range(WARM_UP + rounds):
            for way in ways:
                target = deployment.target_of(operation, number)
                began = loop.time()
                async with session.get(way.url + target) as response:
                    await response.read()
                micros = int((loop.time() - began) * 1e6)
                if number < WARM_UP:
                    continue
                way.failed += response.status != 200
                way.histogram.record_value(max(1, micros))
    finally:
        await session.close()


def report(ways: list[Way]) -> list[str]:
    """Returns a table: the first way is what the others are compared with."""
    base = ways[0]
    lines = [
        f"{'way':34} {'p50 ms':>8} {'p99 ms':>8} {'added p50':>10}"
        f" {'added p99':>10} {'failed':>7}"
    ]
    lines += [
        f"{way.name:34} {way.at(50):8.2f} {way.at(99):8.2f}"
        f" {way.at(50) - base.at(50):10.2f} {way.at(99) - base.at(99):10.2f}"
        f" {way.failed:7d}"
        for way in ways
    ]
    return lines
