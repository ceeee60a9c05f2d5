"""What the model plays: services, kinds of request, load and troubles."""

import dataclasses
import enum


class Trouble(enum.Enum):
    """What goes wrong."""

    BURST = "burst"
    """The load is `strength` times as high."""
    SHED = "shed"
    """Backend servers refuse this share of their requests."""
    SLOW = "slow"
    """Work takes `strength` times as long."""
    LOST = "lost"
    """The connection breaks after this share of the runs."""
    DOWN = "down"
    """Backend servers take no connection, and are cold afterwards."""
    LIMIT = "limit"
    """Backend servers announce `strength` requests a second as their limit."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One trouble.

    Attributes:
      at: seconds from the start of the load.
      seconds: how long it lasts.
      strength: as the kind of trouble says.
      service: whose backend servers; empty for those of all.
      hosts: how many of them, the first ones; 0 for all.
    """

    kind: Trouble
    at: float
    seconds: float
    strength: float = 1.0
    service: str = ""
    hosts: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Backend servers of one service, spread over the data centres in turn.

    Attributes:
      speeds: one for each backend server; work is divided by it.
      slots: requests that each runs at once.
      queue: further requests that each takes; one more is refused.
      knee: share of the slots above which work takes `knee_factor` as long.
      cold_seconds: after a start work takes twice as long for this time.
    """

    name: str
    speeds: tuple[float, ...]
    slots: int
    queue: int = 70
    knee: float = 1.0
    knee_factor: float = 1.0
    cold_seconds: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of request.

    Attributes:
      rate: requests a second of the whole deployment; 0 for calls that only
        backend servers make.
      work: mean seconds of work, without the calls.
      spread: deviation of the logarithm of the work.
      target: seconds within which an answer has its full worth.
      deadline: seconds that a caller waits.
      timeout: longest time by the route, seconds.
      priority: 0 is the most important.
      worth: of an answer within the target.
      late: of an answer after it.
      calls: kinds that a run calls one after the other, and how often each.
      attempts: backend servers that one request may be sent to.
      retries: how often a caller comes back.
    """

    name: str
    service: str
    rate: float = 0.0
    work: float
    spread: float = 0.5
    target: float
    deadline: float
    timeout: float
    priority: int
    worth: float = 0.0
    late: float = 0.0
    idempotent: bool = True
    calls: tuple[tuple[str, int], ...] = ()
    attempts: int = 2
    retries: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Day:
    """A load on a deployment, with its troubles.

    Attributes:
      seconds: how long the load lasts.
      load: times the rates of the kinds.
      retry_ratio: retries that the deployment bears for each request.
      retry_slack: further ones that it bears at once.
      data_centres: over which backend servers are spread.
    """

    name: str
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    events: tuple[Event, ...] = ()
    seconds: float = 24.0
    load: float = 1.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    data_centres: int = 3

    def active(self, kind: Trouble, now: float) -> list[Event]:
        """Returns the troubles of a kind at a time of the day."""
        return [
            event
            for event in self.events
            if event.kind is kind and event.at <= now < event.at + event.seconds
        ]
