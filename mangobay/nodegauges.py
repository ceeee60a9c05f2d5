"""The gauges of a node's current state."""

import functools
import typing

from mangobay import (
    badinput,
    callresolution,
    clock,
    metrics,
    receivedbytes,
    responsestream,
)

if typing.TYPE_CHECKING:
    from mangobay import basenode


def highest_retry_threshold(node: "basenode.BaseNode") -> int:
    """Returns the highest threshold for retries of all called services."""
    budget = node.dispatcher.dependencies.retry_budget
    now = clock.now()
    return max(
        (budget.threshold_at(service, now) for service in budget.windows),
        default=0,
    )


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
            name="unreadable_routes",
            help="1 while this node cannot read the newest routes.",
            read_value=lambda: float(node.control.routes_unreadable),
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
            name="silent_connections",
            help="Silent connections to other nodes that were replaced since "
            "the start.",
            read_value=lambda: node.peer_client.resolver.replaced_count,
        ),
        *(
            metrics.Gauge(
                name=f"queried_calls_{result.value}",
                help="Calls on such connections since the start, by what the "
                "other node told of them.",
                read_value=functools.partial(
                    node.peer_client.resolver.counts.__getitem__, result
                ),
            )
            for result in callresolution.Resolution
        ),
        metrics.Gauge(
            name="remembered_calls",
            help="Ended calls of other nodes that this node can be asked about.",
            read_value=lambda: len(node.call_memory.ended),
        ),
        metrics.Gauge(
            name="remembered_reply_bytes",
            help="Memory of the replies of these calls.",
            read_value=lambda: node.call_memory.kept_bytes,
        ),
        metrics.Gauge(
            name="query_refusals",
            help="Calls of other nodes refused by their queries since the "
            "start.",
            read_value=lambda: node.call_memory.refused_count,
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
            name="load_reports_distrusted",
            help="Backend servers here whose load reports are distrusted.",
            read_value=lambda: sum(
                service.load.distrusted for service in services.values()
            ),
        ),
        metrics.Gauge(
            name="load_prediction_error",
            help="Time of runs here as a multiple of the time predicted by "
            "the load reports.",
            read_value=lambda: max(
                (service.load.error for service in services.values()),
                default=1.0,
            ),
        ),
        metrics.Gauge(
            name="load_report_age_seconds",
            help="Mean age of the load reports by which this node places "
            "calls, -1 without any.",
            read_value=lambda: node.router.mean_report_age(),
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
            name="retry_threshold",
            help="Highest level below which a call gets no retry here, 0 "
            "while every level does.",
            read_value=lambda: highest_retry_threshold(node),
        ),
        metrics.Gauge(
            name="refused_retries",
            help="Retries refused here by the window or the threshold since "
            "the start.",
            read_value=lambda: (
                node.dispatcher.dependencies.retry_budget.refused_count
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
            name="refused_input",
            help="Malformed request heads, and those above a limit, that were "
            "refused since the start.",
            read_value=lambda: badinput.refused.count,
        ),
        metrics.Gauge(
            name="received_bytes",
            help="Bytes received that this node cannot pass on yet.",
            read_value=lambda: receivedbytes.account.held_bytes,
        ),
        metrics.Gauge(
            name="received_bytes_cut",
            help="Responses, requests and connections cut off since the start "
            "because such bytes were too many.",
            read_value=lambda: receivedbytes.account.cut_count,
        ),
        metrics.Gauge(
            name="leaving",
            help="1 while this node leaves.",
            read_value=lambda: float(node.executor.leaving),
        ),
    ]
