"""Faults of senders without end, drawn from a seed."""

import collections.abc
import dataclasses
import enum
import random

from bench.soak import backends, endless
from mangobay import ids

FIRST = 1.0
"""Seconds of calm at the start."""
MEAN_RESPONSE_GAP = 4.0
"""Seconds between two series of responses without end."""
MEAN_BODY_GAP = 3.0
"""Seconds between two series of connections with bodies without end."""


class Port(enum.Enum):
    """A port that expects no body, or a small one."""

    READY = "ready"
    HEARTBEATS = "heartbeats"
    METRICS = "metrics"
    OPERATOR = "operator"


NODE_PORTS = Port.READY, Port.HEARTBEATS, Port.METRICS
CONTROL_PORTS = Port.OPERATOR, Port.METRICS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndlessResponses:
    """Requests at once whose backend servers respond without end.

    Attributes:
      at: the first request.
      host: of the node that they are sent to.
      service: place of their service among all.
      mark: unlike that of any other series of the run.
      count: how many requests.
      way: how the servers respond.
      repeatable: whether the requests may be repeated.
    """

    at: float
    host: ids.HostId
    service: int
    mark: int
    count: int
    way: backends.Way
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndlessBodies:
    """Connections to a port of a process that send bodies without end.

    Attributes:
      at: the first connection.
      host: of the process.
      port: where they go.
      count: how many connections.
      seconds: after which those that were not closed are reset.
      form: of the bodies.
    """

    at: float
    host: ids.HostId
    port: Port
    count: int
    seconds: float
    form: endless.Form


def draw_responses(
    seed: int, seconds: float, nodes: collections.abc.Sequence[ids.HostId]
) -> list[EndlessResponses]:
    """Returns the series of responses without end."""
    lots = random.Random(f"endless responses {seed}")
    at = FIRST
    found: list[EndlessResponses] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_RESPONSE_GAP)
        found.append(
            EndlessResponses(
                at=round(at, 2),
                host=lots.choice(nodes),
                service=lots.randrange(1000),
                mark=len(found),
                count=lots.randint(10, 100),
                way=lots.choice(tuple(backends.ENDLESS)),
                repeatable=lots.random() < 0.5,
            )
        )
    return found


def draw_bodies(
    seed: int,
    seconds: float,
    nodes: collections.abc.Sequence[ids.HostId],
    controls: collections.abc.Sequence[ids.HostId],
) -> list[EndlessBodies]:
    """Returns the series of connections with bodies without end."""
    lots = random.Random(f"endless bodies {seed}")
    targets = [(nodes, port) for port in NODE_PORTS]
    targets += [(controls, port) for port in CONTROL_PORTS]
    at = FIRST
    found: list[EndlessBodies] = []
    while at < seconds:
        at += lots.expovariate(1 / MEAN_BODY_GAP)
        hosts, port = lots.choice(targets)
        found.append(
            EndlessBodies(
                at=round(at, 2),
                host=lots.choice(hosts),
                port=port,
                count=lots.randint(10, 40),
                seconds=round(lots.uniform(2.0, 6.0), 2),
                form=lots.choice(endless.BODIES),
            )
        )
    return found
