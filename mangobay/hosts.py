"""The hosts of one service, as one node sees them."""

import dataclasses
import typing

from mangobay import ejection, ids, levels, remotetraffic
from mangobay.generated import messages, settings

MIN_RAMP = 0.1
"""Share of its calls that a new host gets at first."""
HINT_WEIGHT = 0.25
"""Most that a host's own word on its load changes its score."""
LOAD_MEMORY = 1.0
"""Seconds after which a host's word on its load says nothing any more; bursts
of callers come and go within some seconds."""
DEFAULT_LOAD = 0.5
"""Share of its limit that a host of which nothing is known may have in use."""
MIN_FAILURE_STATUS = 500
"""Status from which on an answer is no use to its caller."""
LATE_RESPONSE_LOSS = 0.6
"""What is lost of an answer that comes after its target latency, where a failure
loses all: most callers get some use of it, and few get much."""
MIN_FAILURE_WEIGHT = 0.03
"""Weight of the newest answer in the share of failures: some thirty answers
tell a host that fails one in ten from one that does not."""
MAX_FAILURE_WEIGHT = 0.15
"""The same at most, where calls are rare: one failure alone moves nobody for
long, and seven tell enough."""
SIZE_WEIGHT = 0.05
"""Weight of the newest answer in the size of an operation's answers."""
FAILURE_HALF_LIFE = 3.0
"""Seconds in which a share that nothing renews fades to its half, so that a
host is tried again after some seconds."""
SHED_WEIGHT = 0.1
"""Weight of the newest reply in the share of sheds."""
SHED_PENALTY = 4.0
"""A host that sheds everything counts as this much busier."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Observation:
    """What one call showed of a host.

    Attributes:
      outcome: as defined in the messages.
      reason: as defined in the messages.
      latency_seconds: from sending the call to its reply.
      threshold: what the host admits now, from its reply.
      inflight: calls it says it runs; a hint.
      limit: calls it says may run; a hint.
      operation: what was called.
      downstream_threshold: lowest level of it that the services below admit.
      status: of the answer, 0 without one.
      response_bytes: bytes of its body.
      remote_bytes: bytes that the calls of such a run carry to other data centres.
      late: the answer came after the operation's target latency.
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

    @property
    def loss(self) -> float:
        """How much of its use the caller lost, though it may have run.

        A backend server that turned slow fails nothing, and with few calls
        it is never full: by its load alone it keeps its callers, and answers
        all of them late.  Towards other data centres it seldom outweighs the
        bytes.
        """
        if self.outcome is messages.Outcome.UNKNOWN:
            return 0.0 if self.reason in NEUTRAL_UNKNOWN_REASONS else 1.0
        if self.status >= MIN_FAILURE_STATUS:
            return 1.0
        return LATE_RESPONSE_LOSS if self.late else 0.0


@dataclasses.dataclass(slots=True)
class FailureRate:
    """How often calls of one operation fail at one host.

    Attributes:
      rate: of the last answers, 0 to 1.
      updated_at: loop time of the last one.
    """

    rate: float = 0.0
    updated_at: float = 0.0

    def update(self, loss: float, now: float) -> None:
        """Takes in what one answer lost, 0 to 1.

        The rarer the answers, the more each weighs, or the share would fade
        faster than it is renewed: at two calls a second a host where half of
        them fail would look like one where an eighth does.
        """
        rate = self.rate_at(now)
        decay = 1.0 - 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE)
        weight = min(max(MIN_FAILURE_WEIGHT, decay), MAX_FAILURE_WEIGHT)
        self.rate = rate + (loss - rate) * weight
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Returns the share, faded since the last answer."""
        if not self.rate:
            return 0.0
        return self.rate * 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE)


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """One host of a service.

    Attributes:
      member: as the control group announced it.
      first_seen_at: loop time at which it was first seen; minus infinity when it was
        there before this node.
      outstanding: this node's own calls in flight there.
      threshold: from the last reply.
      last_reply_at: loop time of that reply.
      load_hint: share of its limit that it says is in use, 0 to 1.
      load: the same, above 1 where calls wait for a slot.
      shed_rate: share of the last replies that were refusals.
      failure_rates: of each operation that failed there.
      remote_bytes_per_run: what the calls of a run let cross, of each operation that does.
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

    def remote_bytes_at(
        self, operation: ids.OperationName, now: float
    ) -> float:
        """Returns the bytes that the calls of a run here let cross."""
        per_run = self.remote_bytes_per_run.get(operation)
        return per_run.value_at(now) if per_run else 0.0

    def failure_rate_at(
        self, operation: ids.OperationName, now: float
    ) -> float:
        """Returns the share of an operation's calls that fail here."""
        failure_rate = self.failure_rates.get(operation)
        return failure_rate.rate_at(now) if failure_rate else 0.0

    def update_failure_rate(self, observation: Observation, now: float) -> None:
        """Learns whether calls of an operation fail here."""
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
        """Returns the threshold, fallen since it was told.

        A host that gets no calls sends no replies: a threshold that never
        fell would keep it without calls for ever.
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
        """Returns the share of sheds, faded since the last reply.

        Without that, a host that calls were led away from would look as if
        it still shed everything.
        """
        if not self.shed_rate:
            return 0.0
        return self.shed_rate * max(
            0.0, 1.0 - (now - self.last_reply_at) / reopen_time
        )

    def load_at(self, now: float) -> float:
        """Returns the load, drawn towards the usual one since it was told.

        A host that was full when last heard of, and one that never was, would
        else keep their name for ever: nobody goes there to find out.
        """
        age_share = min(1.0, (now - self.last_reply_at) / LOAD_MEMORY)
        return self.load + (DEFAULT_LOAD - self.load) * age_share

    def score(self, ramp: float) -> float:
        """Returns how busy the host is; the lower one is picked.

        Its own word on its load may be stale or wrong, so it only shifts a
        choice between hosts that are about equal by this node's own count.
        """
        busy = (self.outstanding / ramp + 1) / max(self.member.slots, 1)
        return busy * (
            1 + HINT_WEIGHT * self.load_hint + SHED_PENALTY * self.shed_rate
        )

    def ramp(self, now: float, slow_start: float) -> float:
        """Returns the share of its calls that the host gets now.

        A cold backend server is slower than it will be; a full share at once
        fills it with calls that time out, so that it never warms up.  It is
        a chance besides a part of the score: by score alone, a node that
        rarely has two calls outstanding picks the cold host never, and fully
        once it is warm.
        """
        age = now - self.first_seen_at
        if age >= slow_start:
            return 1.0
        return max(MIN_RAMP, age / slow_start)

    def observe(self, observation: Observation, now: float) -> None:
        """Learns from one reply."""
        self.update_failure_rate(observation, now)
        shed = observation.reason in SHED_REASONS
        self.shed_rate += (
            (1.0 if shed else 0.0) - self.shed_rate
        ) * SHED_WEIGHT
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


SHED_REASONS = frozenset(
    {
        messages.Reason.OVERLOADED,
        messages.Reason.QUEUE_TIMEOUT,
        messages.Reason.BACKEND_SHED,
        messages.Reason.CALLER_THROTTLED,
    }
)
"""Refusals of a host that works but has no room."""
FAILURE_REASONS = frozenset(
    {
        messages.Reason.CONNECTION_FAILED,
        messages.Reason.CONNECTION_BROKEN,
        messages.Reason.INCOMPLETE_ANSWER,
        messages.Reason.NO_BACKEND,
    }
)
"""What counts towards ejection, besides every unknown outcome."""
LEAVING_REASONS = frozenset({messages.Reason.LEAVING})
"""The host takes no more calls, though the view does not say so yet."""
NEUTRAL_UNKNOWN_REASONS = frozenset(
    {
        messages.Reason.CANCELLED,
        messages.Reason.KEY_EXPIRED,
        messages.Reason.OWNER_CHANGED,
        messages.Reason.RUNNING,
    }
)
"""Unknown outcomes that say nothing about the host."""


def is_failure(observation: Observation) -> bool:
    """Returns whether the observation speaks against the host."""
    if observation.reason in FAILURE_REASONS:
        return True
    unknown = observation.outcome == messages.Outcome.UNKNOWN
    return unknown and observation.reason not in NEUTRAL_UNKNOWN_REASONS


@dataclasses.dataclass(slots=True)
class ReportedThreshold:
    """What is refused below one operation, by the newest reply.

    Attributes:
      threshold: the lowest level admitted.
      reported_at: loop time of the reply.
    """

    threshold: int
    reported_at: float


class ServiceHosts:
    """The hosts of one service that take calls.

    Attributes:
      downstream_thresholds: by operation; only where something is refused.  It is kept for
        all hosts together, since they call the same services below.
      local_hosts: those in the own data centre, or all when that does not matter.
      remote_hosts: the others.
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
        self.response_sizes: dict[ids.OperationName, float] = {}

    def observe_operation(self, observation: Observation, now: float) -> None:
        """Learns what the services below an operation admit."""
        if observation.outcome == messages.Outcome.UNKNOWN:
            return
        if observation.response_bytes:
            mean = self.response_sizes.get(
                observation.operation, observation.response_bytes
            )
            self.response_sizes[observation.operation] = mean + SIZE_WEIGHT * (
                observation.response_bytes - mean
            )
        if observation.downstream_threshold:
            self.downstream_thresholds[observation.operation] = (
                ReportedThreshold(observation.downstream_threshold, now)
            )
        else:
            self.downstream_thresholds.pop(observation.operation, None)

    def downstream_threshold_at(
        self, operation: ids.OperationName, now: float, reopen_time: float
    ) -> int:
        """Returns the lowest level of an operation admitted below now."""
        reported = self.downstream_thresholds.get(operation)
        if reported is None:
            return levels.ADMIT_ALL
        return levels.decayed_threshold(
            reported.threshold,
            now - reported.reported_at,
            reopen_time,
            levels.REMOTE_DECAY_POWER,
        )

    def update(self, view: messages.ServiceView, now: float) -> None:
        """Takes the members of a view; keeps what was observed of them."""
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
        """Returns the host with its new announcement."""
        if host and host.member.incarnation == member.incarnation:
            host.member = member
            return host
        self.outliers.forget(member.host)
        return Host(member, first_seen_at)

    def partition_hosts(self) -> None:
        """Sorts the hosts that take calls into near and far ones."""
        available = [
            host for host in self.hosts.values() if not host.member.leaving
        ]
        self.local_hosts = [host for host in available if self.is_local(host)]
        self.remote_hosts = [
            host for host in available if not self.is_local(host)
        ]
        if not self.local_hosts:
            self.local_hosts, self.remote_hosts = self.remote_hosts, []

    def is_local(self, host: Host) -> bool:
        """Returns whether the host is preferred for its place."""
        if not self.settings.local_first:
            return True
        return host.member.data_centre == self.data_centre

    def mark_leaving(self, host: Host) -> None:
        """Stops using a host that said it is leaving."""
        host.member = dataclasses.replace(host.member, leaving=True)
        self.partition_hosts()

    def is_usable(
        self,
        host: Host,
        excluded: typing.AbstractSet[ids.HostId],
        now: float,
    ) -> bool:
        """Returns whether an ordinary call may go to the host."""
        host_id = host.member.host
        if host_id in excluded:
            return False
        if host_id not in self.outliers.records:
            return True
        return self.outliers.state(host_id, now) == ejection.HostState.IN_USE

    def find_probe_due(
        self, excluded: typing.AbstractSet[ids.HostId], now: float
    ) -> Host | None:
        """Returns a host that a probing call may go to."""
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
