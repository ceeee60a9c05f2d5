"""State of the hosts of one service, as observed by one node."""

import dataclasses
import typing

from mangobay import ejection, ids, levels, remotetraffic
from mangobay.generated import messages, settings

MIN_RAMP = 0.1
"""Share of its calls that a new host receives at first."""
HINT_WEIGHT = 0.25
"""Maximum relative effect of a host's reported load on its score."""
LOAD_MEMORY = 1.0
"""Seconds after which the reported load of a host is ignored.

Bursts of calls begin and end within a few seconds.
"""
DEFAULT_LOAD = 0.5
"""Assumed load of a host without a recent report, as a share of its limit."""
MIN_FAILURE_STATUS = 500
"""Lowest HTTP status of a response that is of no use to its caller."""
LATE_RESPONSE_LOSS = 0.6
"""Loss of a response that exceeds the target latency; a failure counts as 1.

Most callers get some use of a late response, and few get much.
"""
MIN_FAILURE_WEIGHT = 0.03
"""Minimum weight of the newest response in the failure rate.

About thirty responses distinguish a host that fails one call in ten from a
host that fails none.
"""
MAX_FAILURE_WEIGHT = 0.15
"""Maximum weight of the newest response in the failure rate.

It applies when calls are rare.  A single failure diverts calls only briefly,
and about seven responses are enough for an estimate.
"""
RETRY_SHORTAGE_SECONDS = 1.0
"""Seconds for which no call trees begin that lacked retries.

Trees of the highest levels still begin and renew the threshold, so that it ends
soon after its cause.
"""
NEVER = float("-inf")
"""Loop time of what has not happened."""
REPORT_WEIGHT = 0.1
"""Weight of the newest report in the usual pace and backlog."""
SIZE_WEIGHT = 0.05
"""Weight of the newest response in the mean response size of an operation."""
FAILURE_HALF_LIFE = 3.0
"""Seconds in which a failure rate halves while no response updates it.

A host that is avoided is tried again after a few seconds.
"""
SHED_WEIGHT = 0.1
"""Weight of the newest reply in the shed rate."""
SHED_PENALTY = 4.0
"""Relative increase of the score of a host that sheds every call."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Observation:
    """Result of one call, as evidence about its host.

    Attributes:
      outcome: Outcome of the call.
      reason: Reason of the outcome.
      latency_seconds: Time from sending the call to its reply.
      threshold: Lowest level that the host admits, from its reply.
      inflight: Calls running or queued at the host, as reported by it.
      limit: Maximum running calls of the host, as reported by it.
      operation: The operation that was called.
      downstream_threshold: Lowest level of the operation that downstream
        services admit.
      status: HTTP status of the response, 0 if there is none.
      response_bytes: Size of the response body.
      remote_bytes: Average bytes that the child calls of a run of the
        operation exchange with other data centres.
      late: Whether the response exceeded the operation's target latency.
      retry_threshold: Level below which call trees of the operation lack
        retries downstream, 0 if they do not.
      load_report: Load that the backend server of the host reported, or None.
    """

    outcome: messages.Outcome
    reason: messages.Reason = messages.Reason.NONE
    latency_seconds: float = 0.0
    threshold: int = 0
    inflight: int = 0
    limit: int = 0
    operation: ids.OperationName = ids.OperationName("")
    downstream_threshold: int = levels.ADMIT_ALL
    status: int = 0
    response_bytes: int = 0
    remote_bytes: int = 0
    late: bool = False
    retry_threshold: int = 0
    load_report: messages.LoadReport | None = None

    @property
    def loss(self) -> float:
        """Share of the call's value that the caller lost, from 0 to 1.

        Late responses count as well.  A backend server that became slow does
        not fail, and with few calls it is never full, so its load alone would
        not divert its callers, and all their responses would be late.  For
        hosts in other data centres, the loss rarely outweighs the cost of the
        remote traffic.
        """
        if self.outcome is messages.Outcome.UNKNOWN:
            return 0.0 if self.reason in NEUTRAL_UNKNOWN_REASONS else 1.0
        if self.status >= MIN_FAILURE_STATUS:
            return 1.0
        return LATE_RESPONSE_LOSS if self.late else 0.0


@dataclasses.dataclass(slots=True)
class FailureRate:
    """Decaying average of the loss of one operation's calls at one host.

    Attributes:
      rate: Average loss at the last update, from 0 to 1.
      updated_at: Loop time of the last update.
    """

    rate: float = 0.0
    updated_at: float = 0.0

    def update(self, loss: float, now: float) -> None:
        """Updates the rate with the loss of one response, from 0 to 1.

        The rarer the responses, the higher the weight of each.  Otherwise the
        rate would decay faster than it is updated: at two calls per second, a
        host that fails half of them would look like one that fails an eighth.
        """
        rate = self.rate_at(now)
        decay = 1.0 - 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE)
        weight = min(max(MIN_FAILURE_WEIGHT, decay), MAX_FAILURE_WEIGHT)
        self.rate = rate + (loss - rate) * weight
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Returns the rate, decayed since the last update."""
        if not self.rate:
            return 0.0
        return self.rate * 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE)


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """One host of a service.

    Attributes:
      member: The member of the view published by the control group.
      first_seen_at: Loop time at which the host joined or was put back in use;
        minus infinity if it was there before this node.
      outstanding: Calls of this node in flight at the host.
      threshold: Lowest level that the host admits, from the last reply.
      last_reply_at: Loop time of the last reply.
      load_hint: Reported load as a share of the host's limit, at most 1.
      load: Reported load as a share of the host's limit; above 1 if calls wait
        for a slot.
      shed_rate: Moving average of the share of replies that are sheds.
      failure_rates: Failure rates of the operations that failed at the host.
      remote_bytes_per_run: Remote traffic per run, for the operations that
        cause any.
      report: Newest load report of the backend server, or None.
      reported_at: Loop time at which the report was true; minus infinity
        without a report.
      backlog: Calls running or waiting there at that time, by the report or
        by the count of the node there, whichever is higher.
      parallel: Calls that can run there at once.
      usual_backlog: Moving average of the backlog.
      usual_pace: Moving average of the reported pace, in percent.
      work_seconds: Mean time of each operation there at usual pace, without
        child calls.
      hold_seconds: Mean time that a run holds a slot there at usual pace.
      preferred: Whether it is one of the preferred hosts of its service.
      sent_since_report: Calls of this node sent since the report was true.
      last_sent_at: Loop time at which this node last sent a call there.
    """

    member: messages.Member
    first_seen_at: float
    outstanding: int = 0
    threshold: int = levels.ADMIT_ALL
    last_reply_at: float = 0.0
    load_hint: float = 0.0
    load: float = 0.0
    shed_rate: float = 0.0
    failure_rates: dict[ids.OperationName, FailureRate] = dataclasses.field(
        default_factory=dict
    )
    remote_bytes_per_run: dict[
        ids.OperationName, remotetraffic.DecayingBytes
    ] = dataclasses.field(default_factory=dict)
    report: messages.LoadReport | None = None
    reported_at: float = NEVER
    backlog: int = 0
    parallel: int = 1
    usual_backlog: float = 0.0
    usual_pace: float = 0.0
    work_seconds: dict[ids.OperationName, float] = dataclasses.field(
        default_factory=dict
    )
    hold_seconds: float = 0.0
    preferred: bool = True
    sent_since_report: int = 0
    last_sent_at: float = NEVER

    def remote_bytes_at(
        self, operation: ids.OperationName, now: float
    ) -> float:
        """Returns the remote traffic per run of an operation, in bytes."""
        per_run = self.remote_bytes_per_run.get(operation)
        return per_run.value_at(now) if per_run else 0.0

    def failure_rate_at(
        self, operation: ids.OperationName, now: float
    ) -> float:
        """Returns the failure rate of an operation at this host."""
        failure_rate = self.failure_rates.get(operation)
        return failure_rate.rate_at(now) if failure_rate else 0.0

    def update_failure_rate(self, observation: Observation, now: float) -> None:
        """Updates the failure rate of the operation that was called."""
        if observation.outcome is messages.Outcome.NOT_RUN:
            return
        failure_rate = self.failure_rates.get(observation.operation)
        if failure_rate is None:
            if not observation.loss:
                return
            failure_rate = self.failure_rates[observation.operation] = (
                FailureRate(updated_at=now)
            )
        failure_rate.update(observation.loss, now)

    def threshold_at(self, now: float, reopen_time: float) -> int:
        """Returns the threshold, decayed since the last reply.

        A host that receives no calls sends no replies.  If its threshold did
        not decay, it would never receive calls again.
        """
        if not self.threshold:
            return levels.ADMIT_ALL
        return levels.decayed_threshold(
            self.threshold,
            now - self.last_reply_at,
            reopen_time,
            levels.REMOTE_DECAY_POWER,
        )

    def shed_rate_at(self, now: float, reopen_time: float) -> float:
        """Returns the shed rate, decayed since the last reply.

        Without the decay, a host whose calls were diverted would look as if it
        still shed every call.
        """
        if not self.shed_rate:
            return 0.0
        return self.shed_rate * max(
            0.0, 1.0 - (now - self.last_reply_at) / reopen_time
        )

    def load_at(self, now: float) -> float:
        """Returns the load, which moves to the default load with its age.

        Otherwise a host that was last reported as full or idle would be
        treated so forever, since no call is sent that would update the report.
        """
        age_share = min(1.0, (now - self.last_reply_at) / LOAD_MEMORY)
        return self.load + (DEFAULT_LOAD - self.load) * age_share

    def score(self, ramp: float) -> float:
        """Returns how busy the host is; hosts with a lower score are preferred.

        The load reported by the host may be stale or wrong.  It only decides
        between hosts that are about equal by this node's count of outstanding
        calls.
        """
        busy = (self.outstanding / ramp + 1) / max(self.member.slots, 1)
        return busy * (
            1 + HINT_WEIGHT * self.load_hint + SHED_PENALTY * self.shed_rate
        )

    def ramp(self, now: float, slow_start: float) -> float:
        """Returns the share of its calls that the host receives in slow start.

        A cold backend server is slow at first.  With its full share of calls
        at once, the calls would time out and it would never warm up.  The ramp
        is used as a probability as well as in the score: by score alone, a
        node that rarely has two outstanding calls would never pick a cold host
        and would pick it fully once it is warm.
        """
        age = now - self.first_seen_at
        if age >= slow_start:
            return 1.0
        return max(MIN_RAMP, age / slow_start)

    def observe(self, observation: Observation, now: float) -> None:
        """Updates the state of the host from the result of one call."""
        self.update_failure_rate(observation, now)
        shed = observation.reason in SHED_REASONS
        self.shed_rate += (
            (1.0 if shed else 0.0) - self.shed_rate
        ) * SHED_WEIGHT
        if self.report is not None and is_failure(observation):
            # The last report of a host that went down or is cut off may say
            # that it is idle.
            self.forget_report()
        if observation.outcome == messages.Outcome.UNKNOWN:
            return
        self.threshold = observation.threshold
        self.last_reply_at = now
        if (
            observation.remote_bytes
            or observation.operation in self.remote_bytes_per_run
        ):
            self.remote_bytes_per_run[observation.operation] = (
                remotetraffic.DecayingBytes(observation.remote_bytes, now)
            )
        if observation.limit > 0:
            self.load = observation.inflight / observation.limit
            self.load_hint = min(1.0, self.load)
        if observation.load_report is not None:
            self.observe_report(observation.load_report, observation, now)
        elif self.report is not None and observation.limit:
            self.forget_report()

    def record_call_start(self, now: float) -> None:
        """Records that this node sends a call to the host."""
        self.outstanding += 1
        self.sent_since_report += 1
        self.last_sent_at = now

    def forget_report(self) -> None:
        """Forgets the report, so that calls are placed as without one."""
        self.report = None
        self.reported_at = NEVER

    def observe_report(
        self,
        report: messages.LoadReport,
        observation: Observation,
        now: float,
    ) -> None:
        """Keeps a load report if it is newer than the last one."""
        if report.work_us:
            self.work_seconds[observation.operation] = report.work_us / 1e6
        reported_at = now - report.age_ms / 1000
        if reported_at <= self.reported_at or not report.slots:
            return
        self.reported_at = reported_at
        self.backlog = max(
            report.running + report.waiting, observation.inflight
        )
        self.parallel = report.slots
        if observation.limit:
            self.parallel = min(report.slots, observation.limit)
        weight = REPORT_WEIGHT if self.report else 1.0
        self.usual_pace += (report.pace - self.usual_pace) * weight
        self.usual_backlog += (self.backlog - self.usual_backlog) * weight
        self.hold_seconds = report.hold_us / 1e6
        self.report = report
        self.sent_since_report = 1 if self.last_sent_at > reported_at else 0


SHED_REASONS = frozenset(
    {
        messages.Reason.OVERLOADED,
        messages.Reason.QUEUE_TIMEOUT,
        messages.Reason.BACKEND_SHED,
        messages.Reason.CALLER_THROTTLED,
    }
)
"""Refusals by a host that is healthy but has no capacity."""
FAILURE_REASONS = frozenset(
    {
        messages.Reason.CONNECTION_FAILED,
        messages.Reason.CONNECTION_BROKEN,
        messages.Reason.INCOMPLETE_ANSWER,
        messages.Reason.NO_BACKEND,
    }
)
"""Reasons that count as failures for outlier ejection.

Unknown outcomes count as well, except for NEUTRAL_UNKNOWN_REASONS.
"""
LEAVING_REASONS = frozenset({messages.Reason.LEAVING})
"""Reasons sent by a host that is leaving, possibly before the view says so."""
NEUTRAL_UNKNOWN_REASONS = frozenset(
    {
        messages.Reason.CANCELLED,
        messages.Reason.KEY_EXPIRED,
        messages.Reason.OWNER_CHANGED,
        messages.Reason.RUNNING,
    }
)
"""Reasons of unknown outcomes that say nothing about the health of the host."""


def is_failure(observation: Observation) -> bool:
    """Returns whether the observation counts as a failure of the host."""
    if observation.reason in FAILURE_REASONS:
        return True
    unknown = observation.outcome == messages.Outcome.UNKNOWN
    return unknown and observation.reason not in NEUTRAL_UNKNOWN_REASONS


@dataclasses.dataclass(slots=True)
class ReportedThreshold:
    """Admission threshold downstream of an operation, from the newest reply.

    Attributes:
      threshold: Lowest level that is admitted.
      reported_at: Loop time of the reply.
    """

    threshold: int
    reported_at: float


@dataclasses.dataclass(slots=True)
class RetryShortage:
    """Call trees of an operation lack retries downstream.

    Attributes:
      threshold: Level below which they do, from the newest reply.
      reported_at: Loop time of the reply.
      since: Loop time of the first of these replies.
    """

    threshold: int
    reported_at: float
    since: float


class ServiceHosts:
    """Hosts of one service.

    Attributes:
      data_centre: Data centre of this node.
      view_version: Version of the view that the hosts come from.
      hosts: All hosts of the service by name.
      local_hosts: Preferred hosts that accept calls: those in the data centre
        of this node, or all if there are none or `local_first` is off.
      remote_hosts: The other hosts that accept calls.
      outliers: Ejects hosts that fail repeatedly.
      downstream_thresholds: Thresholds above zero by operation.  They are
        shared by all hosts, which call the same downstream services.
      retry_shortages: Operations whose call trees lack retries downstream.
      response_sizes: Mean response size in bytes by operation.
      fresh_hosts: The host with the newest load report among the preferred
        hosts (True) and among the others.
    """

    def __init__(
        self, routing: settings.NodeRouting, data_centre: ids.DataCentre
    ):
        self.settings = routing
        self.data_centre = data_centre
        self.view_version = ids.ViewVersion(-1)
        self.hosts: dict[ids.HostId, Host] = {}
        self.local_hosts: list[Host] = []
        self.remote_hosts: list[Host] = []
        self.outliers = ejection.OutlierDetector(routing)
        self.downstream_thresholds: dict[
            ids.OperationName, ReportedThreshold
        ] = {}
        self.retry_shortages: dict[ids.OperationName, RetryShortage] = {}
        self.response_sizes: dict[ids.OperationName, float] = {}
        self.fresh_hosts: dict[bool, Host] = {}

    def observe_operation(self, observation: Observation, now: float) -> None:
        """Updates the response size and the downstream threshold."""
        if observation.outcome == messages.Outcome.UNKNOWN:
            return
        if observation.response_bytes:
            mean = self.response_sizes.get(
                observation.operation, observation.response_bytes
            )
            self.response_sizes[observation.operation] = mean + SIZE_WEIGHT * (
                observation.response_bytes - mean
            )
        if observation.retry_threshold:
            self.record_retry_shortage(observation, now)
        if observation.downstream_threshold:
            self.downstream_thresholds[observation.operation] = (
                ReportedThreshold(observation.downstream_threshold, now)
            )
        else:
            self.downstream_thresholds.pop(observation.operation, None)

    def downstream_threshold_at(
        self, operation: ids.OperationName, now: float, reopen_time: float
    ) -> int:
        """Returns the downstream threshold of an operation, decayed by age."""
        reported = self.downstream_thresholds.get(operation)
        if reported is None:
            return levels.ADMIT_ALL
        return levels.decayed_threshold(
            reported.threshold,
            now - reported.reported_at,
            reopen_time,
            levels.REMOTE_DECAY_POWER,
        )

    def record_retry_shortage(
        self, observation: Observation, now: float
    ) -> None:
        """Records that call trees of an operation lack retries downstream."""
        operation = observation.operation
        current = self.find_retry_shortage(operation, now)
        self.retry_shortages[operation] = RetryShortage(
            threshold=observation.retry_threshold,
            reported_at=now,
            since=current.since if current else now,
        )

    def find_retry_shortage(
        self, operation: ids.OperationName, now: float
    ) -> RetryShortage | None:
        """Returns the shortage of an operation, None if there is none."""
        shortage = self.retry_shortages.get(operation)
        if shortage is None:
            return None
        if now - shortage.reported_at > RETRY_SHORTAGE_SECONDS:
            del self.retry_shortages[operation]
            return None
        return shortage

    def update(self, view: messages.ServiceView, now: float) -> None:
        """Updates the hosts from a view and keeps their observed state."""
        if view.version == self.view_version:
            return
        first_seen_at = now if self.hosts else float("-inf")
        previous = self.hosts
        self.hosts = {
            member.host: self.refresh_host(
                previous.get(member.host), member, first_seen_at
            )
            for member in view.members
        }
        for host in previous.keys() - self.hosts.keys():
            self.outliers.forget(host)
        self.view_version = view.version
        self.outliers.host_count = len(self.hosts)
        self.partition_hosts()

    def refresh_host(
        self, host: Host | None, member: messages.Member, first_seen_at: float
    ) -> Host:
        """Returns the host of a member, a new one if the member restarted."""
        if host and host.member.incarnation == member.incarnation:
            host.member = member
            return host
        self.outliers.forget(member.host)
        return Host(member, first_seen_at)

    def partition_hosts(self) -> None:
        """Divides the hosts that accept calls into local and remote ones."""
        available = [
            host for host in self.hosts.values() if not host.member.leaving
        ]
        self.local_hosts = [host for host in available if self.is_local(host)]
        self.remote_hosts = [
            host for host in available if not self.is_local(host)
        ]
        if not self.local_hosts:
            self.local_hosts, self.remote_hosts = self.remote_hosts, []
        self.fresh_hosts.clear()
        for host in self.local_hosts:
            host.preferred = True
        for host in self.remote_hosts:
            host.preferred = False

    def is_local(self, host: Host) -> bool:
        """Returns whether the host is preferred for its data centre."""
        if not self.settings.local_first:
            return True
        return host.member.data_centre == self.data_centre

    def mark_leaving(self, host: Host) -> None:
        """Stops using a host that replied that it is leaving."""
        host.member = dataclasses.replace(host.member, leaving=True)
        self.partition_hosts()

    def is_usable(
        self,
        host: Host,
        excluded: typing.AbstractSet[ids.HostId],
        now: float,
    ) -> bool:
        """Returns whether a call that is no probe may go to the host."""
        host_id = host.member.host
        if host_id in excluded:
            return False
        if host_id not in self.outliers.records:
            return True
        return self.outliers.state(host_id, now) == ejection.HostState.IN_USE

    def find_probe_due(
        self, excluded: typing.AbstractSet[ids.HostId], now: float
    ) -> Host | None:
        """Returns a host whose probe is due, or None."""
        for host_id in self.outliers.records:
            if (
                self.outliers.state(host_id, now)
                != ejection.HostState.PROBE_DUE
            ):
                continue
            host = self.hosts[host_id]
            if host_id not in excluded and not host.member.leaving:
                return host
        return None
