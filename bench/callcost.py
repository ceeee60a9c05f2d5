"""Processor time of a whole call in a node, without HTTP and peers.

Run `python -m bench.callcost`: a node in this process takes calls from a fake
listener and runs them at a fake backend server; prints microseconds a call.
With `--profile` it prints where the time goes instead.
"""

import argparse
import asyncio
import cProfile
import dataclasses
import pathlib
import pstats
import statistics
import tempfile
import time
import typing

import multidict

from bench import deployment, hosts, latency
from mangobay import (
    backend,
    basenode,
    edges,
    ids,
    localservices,
    node,
    options,
    settings,
)
from mangobay.generated import settings as generated

ROUNDS = 60
CALLS = 500
SHOWN = 45
SLOTS = 70
ADDRESS = options.Address("127.0.0.1", 1)
HEADERS = multidict.CIMultiDict(
    {
        "Host": "127.0.0.1:8080",
        "Accept": "*/*",
        "Accept-Encoding": "gzip, deflate",
        "User-Agent": "bench",
        "Content-Type": "application/json",
    }
)


@dataclasses.dataclass(slots=True)
class Received:
    """What the edge reads of an HTTP request."""

    method: str
    raw_path: str
    headers: typing.Mapping[str, str] = dataclasses.field(
        default_factory=lambda: HEADERS
    )
    remote: str = "127.0.0.1"
    body_exists: bool = False


class Instant:
    """A backend server that answers at once."""

    async def send(self, address, request, attempt) -> backend.Response:
        """Returns an answer."""
        attempt.sent = True
        return backend.Response(
            status=200, headers=[], body=b"{}", seconds=0.001, shed=False
        )


def make_node(plan: deployment.Deployment, folder: pathlib.Path) -> node.Node:
    """Returns a node that is not started, beside an instant backend server."""
    service = latency.leaf_of(plan).service
    layout = hosts.lay_out(plan, folder, hosts.Ports())
    hosts.write_all(layout, plan)
    place = next(each for each in layout.nodes if each.service == service)
    made = node.Node(
        settings.load(
            str(place.settings), generated.NODE_SECTIONS, generated.Node
        )
    )
    made.control.tables.on_next(plan.table)
    made.executor.backend_client = Instant()
    made.local_services.announce(
        localservices.Announcement(
            service=ids.ServiceName(service), address=ADDRESS, slots=SLOTS
        )
    )
    return made


async def call_often(edge: edges.Edge, received: Received) -> float:
    """Makes calls; returns microseconds of processor time of one."""
    began = time.process_time()
    for _ in range(CALLS):
        await edge.process_request(received)
    return (time.process_time() - began) / CALLS * 1e6


async def run(name: str, profiled: bool) -> None:
    """Measures and prints."""
    plan = deployment.read(name)
    operation = latency.leaf_of(plan)
    target = deployment.target_of(operation, 1)
    received = Received("GET", f"/{operation.service}{target}")
    with tempfile.TemporaryDirectory() as folder:
        made = make_node(plan, pathlib.Path(folder))
        edge = made.outside_listener.server.handler.__self__
        basenode.limit_gc_pauses()
        await call_often(edge, received)
        if profiled:
            profile = cProfile.Profile()
            profile.enable()
            await call_often(edge, received)
            profile.disable()
            pstats.Stats(profile).sort_stats("tottime").print_stats(SHOWN)
        else:
            rounds = [await call_often(edge, received) for _ in range(ROUNDS)]
            print(
                f"whole call: median {statistics.median(rounds):.1f} us,"
                f" least disturbed {min(rounds):.1f} us"
            )
        await made.backend.close()


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="cedal")
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    asyncio.run(run(arguments.deployment, arguments.profile))


if __name__ == "__main__":
    main()
