"""What an idempotency key and its copy cost a call, on loopback.

One operation without child calls, sent to a node of its service in turn
without a key, with a key that this node owns, and with one that another node
owns; once with no copy and once with one.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import tempfile

import hdrh.histogram
import uuid6

from bench import backend, cluster, deployment, launcher, sessions
from mangobay import keyslots
from mangobay.generated import messages

ROUNDS = 400
WARM_UP = 30
LONGEST_US = 10_000_000
IN_FORCE_SECONDS = 15.0
SERVICE = "reservations"
IDEMPOTENT_ROW = "release,DELETE,/reservations/{reservation},critical,yes,"
KEYED_ROW = "release,DELETE,/reservations/{reservation},critical,no,"
TARGET = f"/{SERVICE}/reservations/7"


@dataclasses.dataclass(slots=True)
class Arm:
    """One kind of call.

    Attributes:
      name: for the table.
      histogram: microseconds of each call.
      failed: calls without status 200.
    """

    name: str
    histogram: hdrh.histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(1, LONGEST_US, 3)
    )
    failed: int = 0


def key_owned(view: messages.ServiceView, host: str, here: bool) -> str:
    """Returns a new key that the host owns, or that another one owns."""
    while True:
        key = str(uuid6.uuid7())
        owner = keyslots.owner(view, keyslots.slot_of(key))
        if (owner.host == host) is here:
            return key


async def call(session, url: str, key: str) -> int:
    """Makes one call; returns its status."""
    headers = {backend.MARKER: str(uuid6.uuid7())}
    if key:
        headers[backend.KEY] = key
    async with session.delete(url, headers=headers) as response:
        await response.read()
        return response.status


async def measure(running: cluster.Cluster) -> list[Arm]:
    """Makes each kind of call in turn, so that all meet the same machine."""
    serving = [h for h in running.layout.nodes if h.service == SERVICE]
    view = messages.ServiceView(
        members=[messages.Member(host=host.name) for host in serving]
    )
    asked = serving[0]
    url = f"http://{asked.outside}{TARGET}"
    no_key, here, there = (
        Arm("no key"),
        Arm("key owned here"),
        Arm("key owned by another node"),
    )
    loop = asyncio.get_running_loop()
    async with sessions.open_session() as session:
        for number in range(WARM_UP + ROUNDS):
            for arm in (no_key, here, there):
                key = ""
                if arm is not no_key:
                    key = key_owned(view, asked.name, arm is here)
                began = loop.time()
                status = await call(session, url, key)
                micros = int((loop.time() - began) * 1e6)
                if number >= WARM_UP:
                    arm.failed += status != 200
                    arm.histogram.record_value(micros)
    return [no_key, here, there]


async def run_with(copies: int) -> list[Arm]:
    """Measures with a number of copies, in a cluster of its own."""
    plan = deployment.read("cedal")
    sheet = plan.sheet.read_text().replace(IDEMPOTENT_ROW, KEYED_ROW)
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        fleet = await stack.enter_async_context(launcher.Fleet(folder))
        running = await stack.enter_async_context(
            cluster.Cluster(
                plan, fleet, folder, 1.0, {"once": {"copies": copies}}
            )
        )
        await running.start()
        await running.apply(sheet.encode(), "bookings", IN_FORCE_SECONDS)
        return await measure(running)


def main() -> None:
    """Prints the table."""
    print("| copies | call | p50 ms | p99 ms | failed |")
    print("|---|---|---|---|---|")
    for copies in (0, 1):
        for arm in asyncio.run(run_with(copies)):
            p50, p99 = (
                arm.histogram.get_value_at_percentile(share) / 1000
                for share in (50, 99)
            )
            print(
                f"| {copies} | {arm.name} | {p50:.2f} | {p99:.2f}"
                f" | {arm.failed} |"
            )


if __name__ == "__main__":
    main()
