"""The stated target that a run is held to; times are seconds."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """The limits of the target.

    Attributes:
      grace: from SIGTERM to SIGKILL.
      taken: after SIGTERM, for which callers still send without being told.
      closing_share: of the grace, its end, in which work may be cut.
      stable: after a disruption, until a process is held to its bounds again.
      loss_slack: a request sent this shortly before a close crossed it.
      config_apply: until an acknowledged configuration is in force.
      rollback: until a process that went by a configuration must do so.
      max_skew: by which disturbances of a minority of the control hosts may
        stretch `config_apply`.
      drain: until a backend server that leaves gets nothing more.
      freed: until work of a caller that left ends.
      recovery: until requests are served again.
      served_share: of the requests after recovery, at least.
      retry_window: in which further arrivals are counted.
      retry_ratio: further arrivals for each request.
      retry_slack: further arrivals besides.
      deadline_slack: by which the time handed on may be longer.
      crossing: requests that may cross a caller's close, a run.
      denied: proper requests that may be refused for good.
      denied_share: of all requests, that may be besides.
      unready: until a node that leaves says so when it is asked.
      late: until a request that is over is answered.
      late_share: of the requests that are over, at most, answered later.
      late_least: so many, from which on that share is looked at.
      freed_share: of the abandoned runs, at most, that may go on.
      freed_least: abandoned runs, from which on that share is looked at.
      rate_window: in which requests at an announced rate are counted.
      rate_factor: by which they may exceed the rate.
      rate_slack: requests that may come besides.
      told_after: until a host that passed on a state must act on it.
      memory: bytes that a process may use.
      ended: backend servers that one request may end before it is known.
      ends_known: until every node that may run it knows it.
      dark_known: the same for servers that fall silent.
      test_pause: until it may be tried again; doubled each time.
    """

    grace: float = 6.0
    taken: float = 3.0
    closing_share: float = 1 / 6
    stable: float = 3.0
    loss_slack: float = 0.2
    config_apply: float = 2.0
    rollback: float = 0.25
    max_skew: float = 5.0
    drain: float = 2.0
    freed: float = 0.5
    recovery: float = 15.0
    served_share: float = 0.25
    retry_window: float = 10.0
    retry_ratio: float = 0.2
    retry_slack: int = 50
    deadline_slack: float = 0.5
    crossing: int = 3
    denied: int = 5
    denied_share: float = 1 / 500
    unready: float = 4.0
    late: float = 0.5
    late_share: float = 0.25
    late_least: int = 8
    freed_share: float = 0.25
    freed_least: int = 8
    rate_window: float = 4.0
    rate_factor: float = 1.5
    rate_slack: int = 5
    told_after: float = 0.5
    memory: int = 200_000_000
    ended: int = 3
    ends_known: float = 1.0
    dark_known: float = 3.0
    test_pause: float = 10.0


TARGET = Bounds()
