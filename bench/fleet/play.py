"""Plays days of the model and prints what callers got."""

import argparse
import collections
import concurrent.futures
import contextlib
import dataclasses
import random
import statistics
import typing

from bench.fleet import callers, days, deployments, earnings, virtual, world

WHOLE, WORST, KIND, SERVED = 0.6, 0.12, 0.08, 0.2
"""Weights of what a day earns: of all, in the worst times, of the worst kind,
and the share of requests that is served at all."""
AGAIN = 0.3
"""Taken off for each request that is refused twice, in parts of its worth."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Played:
    """One day that was played.

    Attributes:
      reasons: why requests and calls were not answered, by kind and reason.
      runs: begun at backend servers, by kind.
      arrivals: requests that reached a backend server, by kind.
      asked: requests and calls that were made, by kind.
      crossed: bytes carried between data centres.
      arrived_at: times of the requests at each backend server, in seconds of
        the day, by service and place.
    """

    name: str
    seed: int
    earned: earnings.Earnings
    reasons: collections.Counter
    runs: collections.Counter
    arrivals: collections.Counter
    asked: collections.Counter
    crossed: int
    arrived_at: dict[tuple[str, int], list[float]]

    @property
    def worth(self) -> float:
        """Returns one figure for the day, from its parts."""
        earned = self.earned
        return (
            WHOLE * earned.total.share
            + WORST * earned.worst
            + KIND * earned.worst_kind
            + SERVED * earned.served
            - AGAIN * earned.refused_again
        )


def play(name: str, seed: int, changes: world.Changes | None = None) -> Played:
    """Plays a day of the table, with changes of the nodes' settings."""
    return play_day(days.DAYS[name], seed, changes)


def play_day(
    day: deployments.Day, seed: int, changes: world.Changes | None = None
) -> Played:
    """Plays a day."""

    async def run():
        nodes = world.World(day, seed, changes)
        load = callers.Callers(day, nodes, seed)
        nodes.start()
        await load.run()
        return Played(
            name=day.name,
            seed=seed,
            earned=load.earnings,
            reasons=nodes.reasons,
            runs=nodes.runs,
            arrivals=nodes.arrivals,
            asked=nodes.asked,
            crossed=nodes.network.crossed,
            arrived_at={
                (node.server.service.name, node.server.place): [
                    at - node.server.began for at in node.server.arrived_at
                ]
                for node in nodes.nodes
            },
        )

    with seeded(seed):
        return virtual.run(run())


@contextlib.contextmanager
def seeded(seed: int) -> typing.Iterator[None]:
    """Seeds what the nodes draw from the process's own dice.

    They name calls and call trees by it, and a tree's name decides who is
    refused first: the same day would come out differently each time.
    """
    former = random.getstate()
    random.seed(seed)
    try:
        yield
    finally:
        random.setstate(former)


def show(played: Played, details: bool) -> None:
    """Prints a day."""
    earned = played.earned
    kinds = " ".join(
        f"{name} {each.share:.3f}"
        for name, each in sorted(earned.kinds.items())
    )
    print(
        f"{played.name:14} {played.seed:3} worth {played.worth:.3f}"
        f" whole {earned.total.share:.3f} worst {earned.worst:.3f}"
        f" served {earned.served:.3f} again {earned.refused_again:.3f}"
        f" crossed {played.crossed / 1e6:.0f} MB | {kinds}"
    )
    if not details:
        return
    shares = [f"{e.share:.2f}" for _, e in sorted(earned.windows.items())]
    print("  by two seconds:", *shares)
    print("  failed:", dict(sorted(earned.failures.items())))
    for key, count in sorted(played.reasons.items()):
        print(f"  {key[0]:14} {key[1]:20} {count}")
    print("  runs:", dict(played.runs))


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    made = argparse.ArgumentParser(prog="bench.fleet.play", description=__doc__)
    made.add_argument("days", nargs="*", default=list(days.DAYS))
    made.add_argument("--seeds", type=int, default=2)
    made.add_argument("--jobs", type=int, default=4)
    made.add_argument("--details", action="store_true")
    return made


def main() -> None:
    """Plays the days that the command line names."""
    arguments = parser().parse_args()
    wanted = [
        (name, seed)
        for name in arguments.days
        for seed in range(arguments.seeds)
    ]
    results = []
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for played in pool.map(play, *zip(*wanted, strict=True)):
            show(played, arguments.details)
            results.append(played.worth)
    print(f"mean worth {statistics.mean(results):.3f}")


if __name__ == "__main__":
    main()
