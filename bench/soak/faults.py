"""Faults from outside, drawn from a seed; times are seconds of the run."""

import dataclasses
import random
import typing

from bench.soak import backends, dialect, endlessfaults, linkfaults
from mangobay import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Restart:
    """SIGTERM, the end of the process, and a start after `down` seconds."""

    at: float
    host: ids.HostId
    down: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rush:
    """A restart of a node to which many connections are opened meanwhile.

    Callers that read slowly let its stop last until work may be cut.

    Attributes:
      at: SIGTERM.
      host: of the node.
      down: seconds between its end and its start.
      mark: unlike that of any other one of the run.
    """

    at: float
    host: ids.HostId
    down: float
    mark: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RestartWithSignal:
    """A restart with another signal while the process stops or starts.

    Attributes:
      at: SIGTERM.
      host: of the process.
      down: seconds between its end and its start.
      signal: the other signal's name.
      after: seconds from SIGTERM, or from the start, to the other signal.
      starting: whether it comes after the start.
    """

    at: float
    host: ids.HostId
    down: float
    signal: str
    after: float
    starting: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reload:
    """SIGHUP."""

    at: float
    host: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """SIGKILL, and a start after `down` seconds."""

    at: float
    host: ids.HostId
    down: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Freeze:
    """SIGSTOP, and SIGCONT after `seconds`."""

    at: float
    host: ids.HostId
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publish:
    """Changes of configuration in series; in a race two at a time."""

    at: float
    count: int
    gap: float
    race: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InvalidOrder:
    """An operator sends an invalid configuration."""

    at: float
    flaw: dialect.Flaw


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RivalOrders:
    """Two operators send different configurations under one number."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RepeatedOrder:
    """An operator sends acknowledged configurations again."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OddReport:
    """A node gets a heartbeat of another writer, with impossible slots."""

    at: float
    host: ids.HostId
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wipe:
    """SIGKILL of a control host, and a start with an empty disk."""

    at: float
    host: ids.HostId
    down: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replace:
    """A backend server leaves, ends, and another one starts in its place."""

    at: float
    host: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tear:
    """SIGKILL of a control host in the middle of a write to its log.

    Attributes:
      at: the signal.
      host: the control host.
      down: seconds until its start.
      left: bytes of the write that reached the disk.
    """

    at: float
    host: ids.HostId
    down: float
    left: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hang:
    """A backend server that does nothing for some seconds."""

    at: float
    host: ids.HostId
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sever:
    """Every connection of a backend server, or of a node's callers, is reset."""

    at: float
    host: ids.HostId
    callers: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """A backend server names a limit of requests a second for a time."""

    at: float
    host: ids.HostId
    rate: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """Callers of several nodes repeat a request that ends backend servers.

    Attributes:
      at: the first request.
      hosts: nodes that it is sent to, in turn.
      service: place of its service among all.
      mark: names the request.
      count: how often it is sent.
      gap: seconds between two.
      way: how servers end under it.
      leaves: whether its callers leave before that.
    """

    at: float
    hosts: tuple[ids.HostId, ...]
    service: int
    mark: int
    count: int
    gap: float
    way: backends.Way = backends.Way.CRASH
    leaves: bool = False


Fault = (
    Restart
    | RestartWithSignal
    | Reload
    | Kill
    | Freeze
    | Publish
    | Replace
    | Tear
    | Hang
    | Sever
    | Limit
    | Crash
    | InvalidOrder
    | RivalOrders
    | RepeatedOrder
    | Wipe
    | OddReport
    | Rush
    | endlessfaults.EndlessResponses
    | endlessfaults.EndlessBodies
    | linkfaults.LinkFault
)


class Hosts(typing.NamedTuple):
    """The hosts that faults may befall."""

    nodes: tuple[ids.HostId, ...]
    controls: tuple[ids.HostId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Final:
    """Every process is killed right after a change was acknowledged.

    Attributes:
      wiped: control hosts whose disks are empty after it.
    """

    wiped: tuple[ids.HostId, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The faults of one run.

    Attributes:
      seed: from which they are drawn.
      seconds: in which they begin, but for the final one.
      faults: in the order of time.
      final: what happens once all of them are over, None for nothing.
    """

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    final: Final | None = None


WEIGHTS = {
    "roll": 3,
    "together": 2,
    "restart": 4,
    "signal": 3,
    "reload": 1,
    "kill": 2,
    "freeze": 2,
    "publish": 3,
    "replace": 1,
    "tear": 1,
    "hang": 1,
}
MEAN_GAP = 2.5
"""Seconds between two draws; most faults last longer, so that they overlap."""
MEAN_LINK_GAP = 8.0
"""Seconds between two resets of connections."""
MEAN_LIMIT_GAP = 3.0
"""Seconds between two limits."""
MEAN_CRASH_GAP = 5.0
"""Seconds between two series of requests that end backend servers."""
MEAN_ORDER_GAP = 1.0
"""Seconds between two orders that are invalid, rivals, or sent again."""
MEAN_REPORT_GAP = 5.0
"""Seconds between two heartbeats of other writers."""
IMPOSSIBLE_SLOTS = (-1, 2**32, 2**70)
"""Slots that no message between processes can hold."""
MEAN_RUSH_GAP = 3.0
"""Seconds between two restarts under many new connections."""
MEAN_WIPE_GAP = 5.0
"""Seconds between two emptied disks."""
FINAL_SHARE = 0.5
"""Of the runs with unplanned faults, those that end with a final one."""
LEAVING_SHARE = 0.25
"""Of these series, those whose callers leave at once."""
MEAN_MINORITY_GAP = 6.0
"""Seconds between two long freezes of control hosts."""
FIRST = 1.0
"""Seconds of calm at the start."""
PLANNED_SEEDS = 3
"""Of so many seeds, one has planned work only: nothing excuses a cut there."""
SEED_KINDS = 6
ENDLESS_SEEDS = frozenset({1})
"""Remainders, by `SEED_KINDS`, of the seeds with senders without end."""
LINK_SEEDS = frozenset({4})
"""Remainders, by `SEED_KINDS`, of the seeds with faults of links."""
MOST_TORN = 200
"""Bytes of a write that is torn."""


def plan(seed: int, seconds: float, hosts: Hosts) -> Plan:
    """Returns the same faults for the same arguments."""
    lots = random.Random(f"faults {seed}")
    weights = dict(WEIGHTS)
    if seed % PLANNED_SEEDS == 0 or has_link_faults(seed):
        for name in ("kill", "freeze", "signal", "tear"):
            del weights[name]
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        name = lots.choices(list(weights), list(weights.values()))[0]
        found += draw(name, round(at, 2), hosts, lots)
        at += lots.expovariate(1 / MEAN_GAP)
    found += draw_links(seed, seconds, hosts)
    found += draw_limits(seed, seconds, hosts)
    if not has_link_faults(seed):
        # Servers end under requests that cut links keep others from knowing.
        found += draw_crashes(seed, seconds, hosts)
    found += draw_orders(seed, seconds)
    found += draw_odd_reports(seed, seconds, hosts)
    found += draw_rushes(seed, seconds, hosts)
    if has_link_faults(seed):
        found += draw_link_faults(seed, seconds, hosts)
    if seed % SEED_KINDS in ENDLESS_SEEDS:
        found += endlessfaults.draw_responses(seed, seconds, hosts.nodes)
        found += endlessfaults.draw_bodies(seed, seconds, *hosts)
    final = None
    if seed % PLANNED_SEEDS:
        wipes, final = draw_lost_disks(seed, hosts)
        if not has_link_faults(seed):
            found += draw_minorities(seed, seconds, hosts)
            found += wipes
    found = [fault for fault in found if fault.at < seconds]
    found.sort(key=lambda fault: fault.at)
    return Plan(seed=seed, seconds=seconds, faults=tuple(found), final=final)


def has_link_faults(seed: int) -> bool:
    """Returns whether links between hosts fail in the plan of a seed."""
    return seed % SEED_KINDS in LINK_SEEDS


def draw_link_faults(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns the faults of links.

    The configuration changes while a control host has none.
    """
    found: list[Fault] = []
    for fault in linkfaults.draw(seed, seconds, *hosts):
        found.append(fault)
        if fault.host in hosts.controls:
            begin = round(fault.at + 0.5, 2)
            found.append(Publish(at=begin, count=4, gap=1.0, race=False))
    return found


def draw_orders(seed: int, seconds: float) -> list[Fault]:
    """Returns the orders that are invalid, rivals, or sent again."""
    lots = random.Random(f"orders {seed}")
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_ORDER_GAP)
        begin = round(at, 2)
        flaw = lots.choice(tuple(dialect.Flaw))
        found.append(
            lots.choice(
                (
                    InvalidOrder(at=begin, flaw=flaw),
                    RivalOrders(at=begin),
                    RepeatedOrder(at=begin),
                )
            )
        )
    return found


def draw_odd_reports(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns the heartbeats of other writers."""
    lots = random.Random(f"odd reports {seed}")
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_REPORT_GAP)
        host = lots.choice(hosts.nodes)
        slots = lots.choice(IMPOSSIBLE_SLOTS)
        found.append(OddReport(at=round(at, 2), host=host, slots=slots))
    return found


def draw_rushes(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns the restarts of nodes under many new connections."""
    lots = random.Random(f"rushes {seed}")
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_RUSH_GAP)
        host = lots.choice(hosts.nodes)
        down = round(lots.uniform(0.0, 1.0), 2)
        mark = len(found)
        found.append(Rush(at=round(at, 2), host=host, down=down, mark=mark))
    return found


def draw_lost_disks(
    seed: int, hosts: Hosts
) -> tuple[list[Fault], Final | None]:
    """Returns wiped disks, and the final fault.

    All together wipe no more disks than may be lost at the same time.
    """
    lots = random.Random(f"disks {seed}")
    chosen = lots.sample(hosts.controls, (len(hosts.controls) - 1) // 2)
    final = None
    if lots.random() < FINAL_SHARE:
        count = lots.randint(0, len(chosen))
        final = Final(wiped=tuple(chosen[:count]))
        chosen = chosen[count:]
    at = FIRST
    wipes: list[Fault] = []
    for host in chosen:
        at += lots.expovariate(1 / MEAN_WIPE_GAP)
        down = round(lots.uniform(0.0, 1.0), 2)
        wipes.append(Wipe(at=round(at, 2), host=host, down=down))
    return wipes, final


def draw_links(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns the resets of connections."""
    lots = random.Random(f"links {seed}")
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_LINK_GAP)
        host = lots.choice(hosts.nodes)
        callers = lots.random() < 0.5
        found.append(Sever(at=round(at, 2), host=host, callers=callers))
    return found


def draw_limits(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns the limits that backend servers name."""
    lots = random.Random(f"limits {seed}")
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_LIMIT_GAP)
        found.append(
            Limit(
                at=round(at, 2),
                host=lots.choice(hosts.nodes),
                rate=round(lots.uniform(0.2, 3.0), 1),
                seconds=round(lots.uniform(4.0, 12.0), 2),
            )
        )
    return found


def draw_crashes(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns the series of requests that end backend servers."""
    lots = random.Random(f"crashes {seed}")
    manners = random.Random(f"manners of crashes {seed}")
    ways = backends.CRASHES
    if seed % PLANNED_SEEDS == 0:
        ways = tuple(way for way in ways if way is not backends.Way.CRASH_NODE)
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_CRASH_GAP)
        found.append(
            Crash(
                at=round(at, 2),
                hosts=tuple(lots.sample(hosts.nodes, len(hosts.nodes))),
                service=lots.randrange(1000),
                mark=len(found),
                count=lots.randint(10, 60),
                gap=round(lots.uniform(0.05, 0.2), 2),
                way=manners.choice(ways),
                leaves=manners.random() < LEAVING_SHARE,
            )
        )
    return found


def draw_minorities(seed: int, seconds: float, hosts: Hosts) -> list[Fault]:
    """Returns long freezes of a minority of the control hosts.

    The configuration changes meanwhile, since the others go on.
    """
    lots = random.Random(f"minorities {seed}")
    at = FIRST
    found: list[Fault] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_MINORITY_GAP)
        frozen = lots.uniform(5.0, 9.0)
        chosen = lots.sample(hosts.controls, (len(hosts.controls) - 1) // 2)
        found += [
            Freeze(at=round(at, 2), host=each, seconds=round(frozen, 2))
            for each in chosen
        ]
        found.append(
            Publish(at=round(at + 0.5, 2), count=4, gap=1.0, race=False)
        )
        at += frozen
    return found


def draw(
    name: str, at: float, hosts: Hosts, lots: random.Random
) -> list[Fault]:
    """Returns the faults of one draw."""
    every = hosts.nodes + hosts.controls
    down = round(lots.uniform(0.0, 1.0), 2)
    host = lots.choice(every)
    match name:
        case "roll":
            gap = round(lots.uniform(0.2, 3.0), 2)
            chosen = lots.sample(hosts.nodes, lots.randint(2, 4))
            return [
                Restart(at=round(at + place * gap, 2), host=each, down=down)
                for place, each in enumerate(chosen)
            ]
        case "together":
            chosen = lots.sample(hosts.nodes, 2)
            return [Restart(at=at, host=each, down=down) for each in chosen]
        case "restart":
            return [Restart(at=at, host=host, down=down)]
        case "signal":
            return [draw_signal(at, host, down, lots)]
        case "reload":
            return [Reload(at=at, host=host)]
        case "kill":
            return [Kill(at=at, host=host, down=down)]
        case "freeze":
            seconds = round(lots.uniform(0.2, 5.0), 2)
            return [Freeze(at=at, host=host, seconds=seconds)]
        case "publish":
            gap = round(lots.choice((0.0, 0.3, 1.0)), 2)
            race = lots.random() < 0.4
            count = lots.randint(1, 5)
            return [Publish(at=at, count=count, gap=gap, race=race)]
        case "tear":
            chosen = lots.choice(hosts.controls)
            left = lots.randint(1, MOST_TORN)
            return [Tear(at=at, host=chosen, down=down, left=left)]
        case "hang":
            seconds = round(lots.uniform(0.5, 8.0), 2)
            chosen = lots.choice(hosts.nodes)
            return [Hang(at=at, host=chosen, seconds=seconds)]
    return [Replace(at=at, host=lots.choice(hosts.nodes))]


def draw_signal(
    at: float, host: ids.HostId, down: float, lots: random.Random
) -> RestartWithSignal:
    """Returns a restart that is disturbed."""
    return RestartWithSignal(
        at=at,
        host=host,
        down=down,
        signal=lots.choice(("TERM", "HUP", "KILL", "STOP")),
        after=round(lots.uniform(0.05, 4.0), 2),
        starting=lots.random() < 0.4,
    )
