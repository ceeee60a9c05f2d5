"""Predicts how long a call would take at a host, by its backend server's report.

The load that it handles: backend servers that differ in speed, and whose speed
changes many times a second because they share their machines.  Reports are
old when they are used, since a node calls each host only now and then, so a
prediction moves from the reported to the usual state with the report's age.
"""

from mangobay import hosts, ids

DRAWN_HOSTS = 2
"""Hosts drawn for a call, besides the one with the newest report.

With more of them, the calls of many nodes meet at the same fast hosts."""
MAX_REPORT_AGE = 5.0
"""Seconds after which a report does not count any more.

What runs take at a host changes slowly, so old reports are of use; the reported
pace and backlog count less and less."""
PACE_MEMORY = 0.3
"""Age in seconds at which a reported pace counts half."""
BACKLOG_MEMORY = 0.3
"""Age in seconds at which a reported backlog counts half."""
CROWDING = 0.5
"""Share of a run's time that a call is expected to wait where all slots but one
are taken: other nodes may take the last one first."""
OWN_HOST_FACTOR = 1.5
"""Multiple of another host's time from which on the own host is not preferred."""
HOP_SECONDS = 0.002
"""Time that a call to another host of the same data centre takes in addition."""
REMOTE_SECONDS = 0.02
"""Time that a call to another data centre takes in addition."""


def predict(
    host: hosts.Host, operation: ids.OperationName, now: float
) -> float | None:
    """Returns the seconds that a call would take, without its child calls.

    Args:
      host: the host that would be called.
      operation: the operation that would be called.
      now: loop time.

    Returns:
      The seconds, None without a recent report that allows a prediction.
    """
    age = now - host.reported_at
    report = host.report
    if report is None or age > MAX_REPORT_AGE:
        return None
    work = host.work_seconds.get(operation)
    if work is None:
        return None
    usual_pace, usual_backlog = host.usual_pace, host.usual_backlog
    pace = usual_pace + (report.pace - usual_pace) * (
        PACE_MEMORY / (PACE_MEMORY + age)
    )
    backlog = usual_backlog + (host.backlog - usual_backlog) * (
        BACKLOG_MEMORY / (BACKLOG_MEMORY + age)
    )
    own_calls = min(host.sent_since_report, host.outstanding)
    return (
        pace
        / 100
        * (work + host.hold_seconds * wait_share(host, backlog, own_calls))
    )


def wait_share(host: hosts.Host, backlog: float, own_calls: int) -> float:
    """Returns the expected wait for a slot as a share of a run's time."""
    taken = (backlog + own_calls) / host.parallel
    if taken >= 1.0:
        return CROWDING + taken - 1.0 + 1.0 / host.parallel
    return CROWDING * taken**4


def is_clearly_better(
    other: hosts.Host,
    own: hosts.Host,
    operation: ids.OperationName,
    now: float,
) -> bool:
    """Returns whether a call should leave this host for another one.

    Args:
      other: another host of the same data centre.
      own: the host of this node.
      operation: the operation that would be called.
      now: loop time.
    """
    own_seconds = predict(own, operation, now)
    if own_seconds is None:
        return False
    seconds = predict(other, operation, now)
    if seconds is None:
        return False
    return own_seconds > OWN_HOST_FACTOR * seconds + HOP_SECONDS
