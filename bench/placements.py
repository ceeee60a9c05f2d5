"""Compares ways to place calls on uneven backend servers, in virtual time.

Run `python -m bench.placements [SECONDS]`: prints, for each way and
utilisation, the share of calls within the target latency and the 99th
percentile of the time to the response.  The hosts are picked by the router;
backend servers, links and the queues in front of the backend servers are
modelled.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import heapq
import random
import sys

from bench import nodesettings
from mangobay import backend, hosts, ids, placement, routing, serverload
from mangobay.generated import messages

SERVICE = ids.ServiceName("stock")
OPERATION = ids.OperationName("count")
NOBODY: frozenset[ids.HostId] = frozenset()
DATA_CENTRES = ("a", "b", "c")
CALLER_SHARES = (0.5, 0.3, 0.2)
SLOTS = 4
WORK_SECONDS = 0.02
SPREAD = 0.5
TARGET_SECONDS = 0.1
MAX_WAIT_SECONDS = TARGET_SECONDS / 2
LINK_SECONDS = {True: 0.0003, False: 0.008}
"""One way; by whether it is within a data centre."""
PACE_SECONDS = (0.1, 0.6)
MAX_PACE = 2.5
MEAN_PACE = 1.64
"""Mean of a pace whose logarithm is uniform between 1 and MAX_PACE."""
COLD_PACE = 2.0
LYING_PACE = 5.0
"""Pace of backend servers that report falsely, in the time of the cold ones."""
COLD_SECONDS = (2.0, 4.0)
COLD_SERVERS = 2
WARM_UP_SECONDS = 1.0


class Loop:
    """An event loop with virtual time and callbacks only."""

    def __init__(self):
        self.now = 0.0
        self.events: list[tuple] = []
        self.count = 0

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now

    def call_later(
        self, seconds: float, callback: collections.abc.Callable, *args
    ) -> None:
        """Calls a function after a time in seconds."""
        self.count += 1
        event = (self.now + seconds, self.count, callback, args)
        heapq.heappush(self.events, event)

    def run_until(self, end: float) -> None:
        """Runs the events before a time, as the running loop of asyncio."""
        asyncio._set_running_loop(self)
        try:
            while self.events and self.events[0][0] < end:
                self.now, _, callback, args = heapq.heappop(self.events)
                callback(*args)
        finally:
            asyncio._set_running_loop(None)


@dataclasses.dataclass(frozen=True)
class Way:
    """One way to place calls.

    Attributes:
      name: as printed.
      setting: the setting `[routing] placement`.
      constants: values of constants of `placement`.
      own_calls: whether a node counts its calls since the report.
      remembers: whether the host with the newest report is compared as well.
      lying: number of backend servers that report that they are idle.
    """

    name: str
    setting: str
    constants: dict[str, float] = dataclasses.field(default_factory=dict)
    own_calls: bool = True
    remembers: bool = True
    lying: int = 0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Backend servers and calling nodes.

    Attributes:
      servers: number of backend servers.
      callers: number of calling nodes.
      own_pace: whether a backend server calls its own speed usual; else that
        of the mean backend server.
    """

    servers: int = 30
    callers: int = 78
    own_pace: bool = True


class Server:
    """A backend server and the queue of the node beside it."""

    def __init__(self, model: "Model", number: int):
        deployment = model.deployment
        self.model = model
        self.speed = 0.5 + 1.1 * number / (deployment.servers - 1)
        self.cold = number % 10 == 5 and number < 10 * COLD_SERVERS
        self.rng = random.Random(model.rng.random())
        self.lying = number < model.way.lying
        self.pace = 1.0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.load = serverload.ServerLoad()
        self.change_pace()

    def change_pace(self) -> None:
        """Changes the speed now and again after a random time."""
        self.pace = MAX_PACE ** self.rng.random()
        self.model.loop.call_later(
            self.rng.uniform(*PACE_SECONDS), self.change_pace
        )

    @property
    def slowness(self) -> float:
        """How long work takes, as a multiple of the best."""
        start, end = COLD_SECONDS
        if not start <= self.model.loop.time() < end:
            return self.pace
        if self.lying:
            return self.pace * LYING_PACE
        return self.pace * (COLD_PACE if self.cold else 1.0)

    def arrive(self, call: "PlacedCall") -> None:
        """A call arrives."""
        if self.running < SLOTS:
            self.start(call)
            return
        self.waiting.append(call)
        self.model.loop.call_later(MAX_WAIT_SECONDS, self.time_out, call)

    def time_out(self, call: "PlacedCall") -> None:
        """Refuses a call that has waited too long."""
        if call in self.waiting:
            self.waiting.remove(call)
            self.reply(call, messages.Outcome.NOT_RUN)

    def start(self, call: "PlacedCall") -> None:
        """Begins to run a call."""
        self.running += 1
        rng, loop = self.model.rng, self.model.loop
        drawn = rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        seconds = WORK_SECONDS * drawn * self.slowness / self.speed
        loop.call_later(seconds, self.end, call, loop.time())

    def end(self, call: "PlacedCall", started_at: float) -> None:
        """Ends a run and starts the next one."""
        now = self.model.loop.time()
        self.running -= 1
        report = self.report()
        self.load.observe(report, started_at, now)
        self.load.observe_run(report, OPERATION, now - started_at, 0.0)
        self.load.update_trust(now)
        while self.waiting and self.running < SLOTS:
            self.start(self.waiting.popleft())
        self.reply(call, messages.Outcome.ANSWERED)

    def report(self) -> backend.LoadReport:
        """Returns the load report of a response."""
        if self.lying:
            return backend.LoadReport(0, 0, SLOTS, 100)
        slowness = self.slowness / MEAN_PACE
        if not self.model.deployment.own_pace:
            slowness /= self.speed
        pace = max(round(slowness * 100), 1)
        return backend.LoadReport(self.running, 0, SLOTS, pace)

    def reply(self, call: "PlacedCall", outcome: messages.Outcome) -> None:
        """Sends a reply."""
        now = self.model.loop.time()
        reports = self.load.to_messages(OPERATION, now)
        observation = routing.Observation(
            outcome=outcome,
            reason=messages.Reason.NONE
            if outcome is messages.Outcome.ANSWERED
            else messages.Reason.QUEUE_TIMEOUT,
            operation=OPERATION,
            inflight=self.running + len(self.waiting),
            limit=SLOTS,
            status=200,
            response_bytes=400,
            load_report=reports[0] if reports else None,
        )
        self.model.loop.call_later(call.link_seconds, call.end, observation)


@dataclasses.dataclass(eq=False)
class PlacedCall:
    """A call under way."""

    model: "Model"
    router: routing.Router
    host: ids.HostId
    link_seconds: float
    sent_at: float

    def end(self, observation: routing.Observation) -> None:
        """Counts the reply and lets the router learn from it."""
        seconds = self.model.loop.time() - self.sent_at
        observation.late = seconds > TARGET_SECONDS
        self.router.record_call_end(SERVICE, self.host, observation)
        service_hosts = self.router.services[SERVICE]
        if not self.model.way.remembers:
            service_hosts.fresh_hosts.clear()
        answered = observation.outcome is messages.Outcome.ANSWERED
        if self.sent_at >= WARM_UP_SECONDS:
            self.model.times.append(seconds if answered else float("inf"))


class Model:
    """One run of a way.

    Attributes:
      times: seconds of each call, infinity where it was refused.
    """

    def __init__(
        self,
        loop: Loop,
        way: Way,
        deployment: Deployment,
        utilisation: float,
        seed: int,
    ):
        self.loop = loop
        self.way = way
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.times: list[float] = []
        self.servers = [
            Server(self, number) for number in range(deployment.servers)
        ]
        speed = sum(server.speed for server in self.servers)
        self.rate = utilisation * SLOTS * speed / WORK_SECONDS / MEAN_PACE
        self.routers = [
            self.make_router(number) for number in range(deployment.callers)
        ]

    def make_router(self, number: int) -> routing.Router:
        """Returns the router of a calling node."""
        router = routing.Router(
            nodesettings.section("routing", placement=self.way.setting),
            nodesettings.section("admission"),
            ids.DataCentre(DATA_CENTRES[number % 3]),
            random.Random(self.rng.random()),
        )
        members = [
            messages.Member(
                host=ids.HostId(str(place)),
                incarnation=ids.Incarnation("1"),
                data_centre=ids.DataCentre(DATA_CENTRES[place % 3]),
                slots=SLOTS,
            )
            for place in range(self.deployment.servers)
        ]
        service_hosts = hosts.ServiceHosts(router.settings, router.data_centre)
        service_hosts.update(
            messages.ServiceView(
                service=SERVICE, version=ids.ViewVersion(1), members=members
            ),
            0.0,
        )
        router.services[SERVICE] = service_hosts
        return router

    def send(self) -> None:
        """Sends one call, and the next one after a random time."""
        self.loop.call_later(self.rng.expovariate(self.rate), self.send)
        centre = self.rng.choices(range(3), CALLER_SHARES)[0]
        number = self.rng.randrange(centre, self.deployment.callers, 3)
        router = self.routers[number]
        now = self.loop.time()
        member = router.pick(
            SERVICE,
            NOBODY,
            messages.Importance.NORMAL,
            1,
            operation=OPERATION,
            idempotent=True,
        )
        router.record_call_start(SERVICE, member.host)
        if not self.way.own_calls:
            known_host = router.services[SERVICE].hosts[member.host]
            known_host.sent_since_report = 0
        link = LINK_SECONDS[member.data_centre == router.data_centre]
        call = PlacedCall(self, router, member.host, link, now)
        self.loop.call_later(link, self.servers[int(member.host)].arrive, call)


def run(
    way: Way,
    deployment: Deployment,
    utilisation: float,
    seconds: float,
    seed: int,
) -> list[float]:
    """Returns the times of the calls of one run, sorted."""
    former = {name: getattr(placement, name) for name in way.constants}
    for name, value in way.constants.items():
        setattr(placement, name, value)
    try:
        loop = Loop()
        model = Model(loop, way, deployment, utilisation, seed)
        loop.call_later(0.0, model.send)
        loop.run_until(seconds)
        return sorted(model.times)
    finally:
        for name, value in former.items():
            setattr(placement, name, value)


def share_in_time(times: list[float]) -> float:
    """Returns the share of calls within the target latency."""
    return sum(each <= TARGET_SECONDS for each in times) / len(times)


def percentile(times: list[float], share: float) -> float:
    """Returns a percentile of the calls that were answered, in seconds."""
    answered = [each for each in times if each != float("inf")]
    return answered[int(share * (len(answered) - 1))]


def drawn(count: int, *, own_calls: bool = True, remembers: bool = True) -> Way:
    """Returns the way that takes the best of this many drawn hosts."""
    name = f"reported, {count} drawn"
    if remembers:
        name += " + newest"
    if not own_calls:
        name += ", own calls not counted"
    return Way(
        name,
        "reported",
        {"DRAWN_HOSTS": count},
        own_calls=own_calls,
        remembers=remembers,
    )


def with_constants(name: str, **constants: float) -> Way:
    """Returns the chosen way with other constants."""
    return Way(name, "reported", constants)


WAYS = (
    Way("load", "load"),
    drawn(2, remembers=False),
    drawn(2, remembers=False, own_calls=False),
    drawn(4, remembers=False),
    drawn(4, remembers=False, own_calls=False),
    drawn(2),
    drawn(2, own_calls=False),
    drawn(4),
    drawn(4, own_calls=False),
    with_constants("chosen, reports count for 1 s", MAX_REPORT_AGE=1.0),
    with_constants("chosen, pace counts half at 1 s", PACE_MEMORY=1.0),
    with_constants("chosen, backlog counts half at 1 s", BACKLOG_MEMORY=1.0),
    with_constants("chosen, no crowding", CROWDING=0.0),
)
LYING_WAYS = (
    Way("load, three report falsely", "load", lying=3),
    Way("reported, three report falsely", "reported", lying=3),
)
UTILISATIONS = (0.5, 0.7, 0.9, 1.1)
SEEDS = (1, 2, 3, 4)


def print_table(
    ways: tuple[Way, ...], deployment: Deployment, seconds: float
) -> None:
    """Prints a row for each way: share in time and p99 by utilisation."""
    print(deployment)
    head = "".join(f"{each:>16}" for each in UTILISATIONS)
    print(f"{'':52}{head}")
    for way in ways:
        cells = ""
        for utilisation in UTILISATIONS:
            times = sorted(
                time
                for seed in SEEDS
                for time in run(way, deployment, utilisation, seconds, seed)
            )
            in_time, late = share_in_time(times), percentile(times, 0.99)
            cells += f"{in_time:>8.3f} {late * 1000:4.0f} ms"
        print(f"{way.name:52}{cells}", flush=True)


def main() -> None:
    """Prints the tables."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    print_table(WAYS + LYING_WAYS, Deployment(), seconds)
    print_table(WAYS[:1] + (drawn(2),), Deployment(own_pace=False), seconds)
    print_table(WAYS[:1] + (drawn(2),), Deployment(25, 90), seconds)


if __name__ == "__main__":
    main()
