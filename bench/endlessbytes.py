"""Memory of nodes, and small calls, beside bytes that come without end.

Run `python -m bench.endlessbytes`: starts a control host and five nodes on
loopback for each load, and prints the greatest memory of a process, the slowest
small call, and how many of them were not served.
"""

import argparse
import asyncio
import dataclasses
import sys
import tempfile

from tests import endlessfakes, platformfakes

MEGABYTE = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Bytes without end, all begun at once.

    Attributes:
      name: what is printed.
      count: number of requests.
      route_type: route type of all routes.
      are_bodies: whether the bodies do not end; else the responses.
    """

    name: str
    count: int
    route_type: str = "unsafe"
    are_bodies: bool = False


LOADS = (
    Load("none", 1, are_bodies=True),
    Load("60 responses", 60),
    Load("200 responses", 200),
    Load("600 responses", 600),
    Load("200 downloads", 200, route_type="download"),
    Load("800 bodies", 800, are_bodies=True),
)


async def play(load: Load) -> None:
    """Plays a load, and prints what was seen."""
    with tempfile.TemporaryDirectory() as folder:
        async with platformfakes.Fleet(folder, seeds=1, voters=1) as fleet:
            endless = endlessfakes.EndlessFleet(fleet)
            await endless.start(load.route_type)
            send, numbers = endless.send_endless, endless.entries
            if load.are_bodies:
                send, numbers = endless.send_incomplete, ()
            _, small = await endless.play(
                send, load.count, [*numbers, endlessfakes.SMALL_NODE]
            )
            peak = max(endless.peak_bytes().values())
    slowest = max(call.seconds for call in small)
    unserved = sum(call.status != 200 for call in small)
    print(
        f"{load.name:16}{peak / MEGABYTE:6.0f} MB  slowest small call"
        f" {slowest:6.3f} s, {unserved} of {len(small)} not served",
        flush=True,
    )


async def run(names: list[str]) -> None:
    """Plays the loads of these names, or all."""
    for load in LOADS:
        if not names or load.name in names:
            await play(load)


def main() -> int:
    """Parses the arguments and plays the loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="loads, all if empty")
    asyncio.run(run(parser.parse_args().names))
    return 0


if __name__ == "__main__":
    sys.exit(main())
