"""The gauges of a node's current state."""

import functools
import typing

from mangobay import metrics, responsestream

if typing.TYPE_CHECKING:
    from mangobay import basenode


def make_gauges(node: "basenode.BaseNode") -> list[metrics.Gauge]:
    """Returns the gauges of a node."""
    services = node.local_services.by_name
    return [
        metrics.Gauge(
            name="lease",
            help="1 while this node holds a lease.",
            read_value=lambda: float(node.control.lease.is_valid()),
        ),
        metrics.Gauge(
            name="revision",
            help="Revision of the table in force here.",
            read_value=lambda: node.control.tables.value.revision,
        ),
        metrics.Gauge(
            name="running",
            help="Calls that run at the backend server here.",
            read_value=lambda: len(node.executor.parents),
        ),
        metrics.Gauge(
            name="limit",
            help="Calls that may run at the backend server here.",
            read_value=lambda: sum(
                service.admission.limit for service in services.values()
            ),
        ),
        metrics.Gauge(
            name="backend_requests",
            help="Requests sent to the backend server here since the start.",
            read_value=lambda: node.executor.sent_count,
        ),
        metrics.Gauge(
            name="quarantined_requests",
            help="Requests that this node refuses because backend servers "
            "ended under them.",
            read_value=lambda: len(node.quarantine.quarantined),
        ),
        metrics.Gauge(
            name="suspected_requests",
            help="Other requests under which a backend server has ended.",
            read_value=lambda: len(node.quarantine.suspects),
        ),
        metrics.Gauge(
            name="quarantine_refusals",
            help="Calls refused here by the quarantine since the start.",
            read_value=lambda: (
                node.executor.guard.refused_count if node.executor.guard else 0
            ),
        ),
        metrics.Gauge(
            name="announced_rate_limit",
            help="Requests per second that the backend server here accepts "
            "by its last response, -1 without a limit.",
            read_value=lambda: min(
                (
                    service.state_tracker.current.rate_limit
                    for service in services.values()
                    if service.state_tracker.current.rate_limit is not None
                ),
                default=-1,
            ),
        ),
        metrics.Gauge(
            name="threshold",
            help="Highest level below which calls are refused here.",
            read_value=lambda: max(
                (service.admission.threshold for service in services.values()),
                default=0,
            ),
        ),
        metrics.Gauge(
            name="large_responses_open",
            help="Large responses that pass through this node now.",
            read_value=lambda: len(responsestream.statistics.open_bodies),
        ),
        metrics.Gauge(
            name="large_responses_unread_bytes",
            help="Bytes of large responses held by this node.",
            read_value=lambda: responsestream.statistics.unread_bytes,
        ),
        *(
            metrics.Gauge(
                name=f"large_responses_{state.value}",
                help="Large responses since the start, by how they ended.",
                read_value=functools.partial(
                    responsestream.statistics.end_counts.__getitem__, state
                ),
            )
            for state in responsestream.State
            if state is not responsestream.State.OPEN
        ),
        metrics.Gauge(
            name="leaving",
            help="1 while this node leaves.",
            read_value=lambda: float(node.executor.leaving),
        ),
    ]
