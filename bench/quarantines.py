"""Ways to attribute the ends of backend servers to requests, compared.

Run `python -m bench.quarantines`: plays the same random days with each way and
prints a table.  Time is simulated; `Quarantine` is the code of the product, and
what one node learns the others know after a short delay.

On each day, requests run at the servers of one service.  Some requests are sent
again and again, as a home page is, and most are unique.  Servers crash from
outside, alone or many at a time; connections break; and on half of the days,
callers repeat a request that ends every server that runs it.
"""

import argparse
import collections
import dataclasses
import enum
import heapq
import itertools
import random

from mangobay import display, ids, quarantine
from mangobay.generated import settings

CONFIG = settings.NodeQuarantine(
    after=3, pause=1.0, max_pause=60.0, forget=600.0
)
DAY_SECONDS = 60.0
SERVERS = 40
RATE = 300.0
"""Requests per second."""
SERVICE_SECONDS = 0.12
POPULAR_SHARE = 0.3
POPULAR_REQUESTS = 8
RESTART_SECONDS = 2.0
CRASHES = 12
MASS_CRASHES = 2
MASS_SHARE = 0.4
BREAK_SHARES = (0.0, 0.01, 0.3)
"""Share of the runs whose connection breaks although the server goes on."""
NOTICE_SECONDS = 0.01
REPEAT_SECONDS = 0.05
"""Pause after which callers repeat the request that ends servers."""
CALLER_TRIES = 4
"""Times that a caller sends a request whose run broke off."""


TITLES = (
    "way",
    "servers ended",
    "most on a day",
    "sound runs refused",
    "sound requests refused",
    "sound runs asked for",
)


class Way(enum.Enum):
    """How ends are attributed."""

    NONE = "nothing remembered"
    BROKEN = "broken connections count, a response releases"
    ENDED = "ends count, nothing releases"
    RELEASED = "ends count, a response releases"


@dataclasses.dataclass(slots=True)
class Result:
    """What happened on the days of one way.

    Attributes:
      ended: servers that ended under the crashing request.
      most_ended: the most of one day.
      refused: runs refused of requests that end no server.
      refused_requests: different requests among these.
      innocent_runs: runs of such requests that were asked for.
    """

    ended: int = 0
    most_ended: int = 0
    refused: int = 0
    refused_requests: int = 0
    innocent_runs: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A run of a request at a server."""

    request: ids.RequestDigest
    server: int
    tries: int


class Day:
    """One day of one way.

    Attributes:
      up_at: time from which each server runs.
      running: runs at each server.
      break_share: share of the runs whose connection breaks.
      events: what happens next, ordered by time.
    """

    def __init__(self, way: Way, seed: int):
        self.way = way
        self.rng = random.Random(seed)
        self.crashing = seed % 2 == 0
        self.break_share = self.rng.choice(BREAK_SHARES)
        self.state = quarantine.Quarantine(CONFIG)
        self.up_at = [0.0] * SERVERS
        self.running: dict[int, set[Run]] = collections.defaultdict(set)
        self.events: list = []
        self.order = itertools.count()
        self.ends = itertools.count()
        self.result = Result()
        self.refused: set[ids.RequestDigest] = set()

    def schedule(self, at: float, action, *args) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (at, next(self.order), action, args))

    def play(self) -> Result:
        """Plays the day; returns what happened."""
        rng = self.rng
        at = 0.0
        while at < DAY_SECONDS:
            at += rng.expovariate(RATE)
            popular = rng.random() < POPULAR_SHARE
            name = rng.randrange(POPULAR_REQUESTS) if popular else f"u{at}"
            self.schedule(at, self.arrive, f"{name}".encode(), 1)
        for _ in range(CRASHES):
            self.schedule(rng.uniform(0, DAY_SECONDS), self.crash, 1)
        for _ in range(MASS_CRASHES):
            count = int(MASS_SHARE * SERVERS)
            self.schedule(rng.uniform(0, DAY_SECONDS), self.crash, count)
        repeats = int(DAY_SECONDS / 2 / REPEAT_SECONDS) if self.crashing else 0
        for number in range(repeats):
            self.schedule(5.0 + number * REPEAT_SECONDS, self.arrive, b"bad", 9)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        self.result.refused_requests = len(self.refused)
        self.result.most_ended = self.result.ended
        return self.result

    def arrive(
        self, now: float, request: ids.RequestDigest, tries: int
    ) -> None:
        """Sends a request to a server, unless it is quarantined."""
        innocent = request != b"bad"
        self.result.innocent_runs += innocent
        verdict = self.state.judge(request, now)
        if verdict is quarantine.Verdict.REFUSE:
            if innocent:
                self.result.refused += 1
                self.refused.add(request)
            return
        if verdict is quarantine.Verdict.TEST:
            self.state.record_test(request, now)
        servers = [n for n in range(SERVERS) if self.up_at[n] <= now]
        if not servers:
            return
        run = Run(request, self.rng.choice(servers), tries)
        self.running[run.server].add(run)
        seconds = self.rng.expovariate(1 / SERVICE_SECONDS)
        if not innocent:
            self.schedule(now + 0.005, self.end_server, run.server, run)
        else:
            self.schedule(now + seconds, self.finish, run)

    def finish(self, now: float, run: Run) -> None:
        """Ends a run with its response, or with a broken connection."""
        if run not in self.running[run.server]:
            return
        self.running[run.server].discard(run)
        if self.rng.random() < self.break_share:
            if self.way is Way.BROKEN:
                self.record(now, run.request)
            self.repeat(now, run)
        elif self.way in (Way.BROKEN, Way.RELEASED):
            self.state.record_response(run.request)

    def crash(self, now: float, count: int) -> None:
        """Ends servers from outside."""
        for server in self.rng.sample(range(SERVERS), count):
            self.end_server(now, server, None)

    def end_server(self, now: float, server: int, cause: Run | None) -> None:
        """Ends a server, and breaks what runs there."""
        if self.up_at[server] > now:
            return
        self.result.ended += cause is not None
        self.up_at[server] = now + RESTART_SECONDS
        end_id = ids.BackendEndId(f"e{next(self.ends)}")
        for run in self.running.pop(server, set()):
            if self.way is not Way.NONE:
                self.record(now, run.request, end_id)
            if run is not cause:
                self.repeat(now, run)

    def record(
        self, now: float, request: ids.RequestDigest, end_id=None
    ) -> None:
        """Lets all nodes know of an end after the time that a notice takes."""
        end_id = end_id or ids.BackendEndId(f"e{next(self.ends)}")
        self.schedule(now + NOTICE_SECONDS, self.learn, request, end_id)

    def learn(
        self, now: float, request: ids.RequestDigest, end_id: ids.BackendEndId
    ) -> None:
        """Records an end."""
        self.state.record_ends(request, [end_id], now)

    def repeat(self, now: float, run: Run) -> None:
        """Lets a caller send a request again that broke off."""
        if run.tries < CALLER_TRIES:
            self.schedule(now + 0.05, self.arrive, run.request, run.tries + 1)


def compare(way: Way, days: int) -> Result:
    """Returns the sum of the results of all days."""
    total = Result()
    for seed in range(days):
        result = Day(way, seed).play()
        for name in ("ended", "refused", "refused_requests", "innocent_runs"):
            setattr(total, name, getattr(total, name) + getattr(result, name))
        total.most_ended = max(total.most_ended, result.most_ended)
    return total


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--days", type=int, default=100)
    days = parser.parse_args().days
    rows = []
    for way in Way:
        result = compare(way, days)
        rows.append((way.value, *dataclasses.astuple(result)))
    print("\n".join(display.format_table(TITLES, rows)))


if __name__ == "__main__":
    main()
