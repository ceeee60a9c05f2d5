"""Picks a host for a call among the hosts of the called service."""

import asyncio
import dataclasses
import math
import random
import typing

from mangobay import errors, hosts, ids, levels, logs, placement, remotetraffic
from mangobay.generated import messages, settings

MAX_SCANNED_HOSTS = 64
"""Maximum hosts examined per pick.

It bounds the time of a pick in a large service when many hosts are unusable.
"""
SPILL_SHED_RATE = 0.5
"""Shed rate from which on calls spill over to other data centres."""
SPILL_LOAD = 0.8
"""Load of a local host from which on calls may spill over.

It is a little lower than the load at which calls begin to wait.  Otherwise the
callers of the most loaded data centre would wait while other hosts are idle.
"""
REMOTE_LOAD_MARGIN = 0.2
"""Load difference from which on a remote host is preferred.

The margin accounts for the higher network latency.
"""
REMOTE_LOAD_MARGIN_PER_KB = 0.1
"""Addition to REMOTE_LOAD_MARGIN per 1,000 bytes of the response.

Sending a large response between data centres costs more than a wait at a local
host.
"""
FAILURE_RATE_MARGIN = 0.05
"""Failure rate difference from which on the better host is preferred.

One failure in twenty calls is more than a few stray failures add to the rate.
"""
FAILURE_RATE_MARGIN_PER_KB = 0.03
"""Addition to FAILURE_RATE_MARGIN per 1,000 bytes of a remote response."""
FAILURE_RATE_NOISE = 0.25
"""Two standard deviations of the difference of two equal failure rates.

The unit is the square root of rate x (1 - rate).  If half of the calls fail at
every host, two measured rates differ by a tenth by chance.
"""
FAILURE_PENALTY = 8.0
"""Relative score increase of a host per failure rate difference of 1.

It applies to the choice between two hosts of the same group.
"""
PROBE_SHARE = 0.02
"""Share of the calls that are sent although every host would refuse them."""
MIN_RETRY_AFTER = 0.05
"""Lower bound of `retry_after` before jitter, in seconds."""
ANY_OPERATION = ids.OperationName("")

Observation = hosts.Observation


@dataclasses.dataclass(slots=True)
class PickCriteria:
    """Criteria for picking the host of one call.

    Attributes:
      excluded: Hosts that were already tried.
      level: Admission level of the call.
      idempotent: Whether the call may probe an ejected host.
      now: Loop time.
      operation: The operation that is called.
    """

    excluded: typing.AbstractSet[ids.HostId]
    level: int
    idempotent: bool
    now: float
    operation: ids.OperationName = ids.OperationName("")


class NoHostError(errors.MangobayError):
    """No host can take the call: all known hosts were tried or are ejected."""


class EarlyRefusalError(errors.MangobayError):
    """Every host would refuse the call, according to their last replies.

    Attributes:
      retry_after: Seconds after which the caller may retry, with jitter.
      threshold: Lowest level that some host admits.
    """

    def __init__(self, retry_after: float, threshold: int):
        super().__init__("every host refuses calls of this importance")
        self.retry_after = retry_after
        self.threshold = threshold


class Router:
    """Picks hosts for the calls of one node.

    The router holds only the services of the views that it is given, so a node
    knows only the hosts of the services that it calls.

    Attributes:
      early_refusal: Whether calls that every host would refuse are refused by
        the router.
      by_importance: Whether the level depends on the importance of the call.
      reopen_time: Seconds in which a reported threshold decays to zero.
      data_centre: Data centre of this node.
      uses_reports: Whether calls go by the load that backend servers report.
      services: Hosts by service.
    """

    def __init__(
        self,
        routing: settings.NodeRouting,
        admission: settings.NodeAdmission,
        data_centre: ids.DataCentre,
        rng: random.Random,
    ):
        self.settings = routing
        self.early_refusal = admission.early_refusal
        self.by_importance = admission.by_importance
        self.reopen_time = admission.reopen_time
        self.data_centre = data_centre
        self.uses_reports = routing.placement == "reported"
        self.rng = rng
        self.services: dict[ids.ServiceName, hosts.ServiceHosts] = {}

    def update_views(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Updates the hosts from the views committed by the control group."""
        now = asyncio.get_running_loop().time()
        for service in self.services.keys() - views.keys():
            del self.services[service]
        for service, view in views.items():
            if service not in self.services:
                self.services[service] = hosts.ServiceHosts(
                    self.settings, self.data_centre
                )
            self.services[service].update(view, now)

    def pick(
        self,
        service: ids.ServiceName,
        excluded: typing.AbstractSet[ids.HostId],
        importance: messages.Importance,
        depth: int,
        *,
        operation: ids.OperationName = ANY_OPERATION,
        idempotent: bool = False,
        tree: str = "",
        begun: bool = False,
    ) -> messages.Member:
        """Returns the host for a call.

        Args:
          service: The called service.
          excluded: Hosts that were already tried for this call.
          importance: Importance of the call tree.
          depth: Hops from the first node.
          operation: The called operation.
          idempotent: Whether the call may probe an ejected host.
          tree: Id of the call tree, from which its level is derived.
          begun: Whether the call belongs to a call tree that is running.

        Raises:
          NoHostError: There is no host, or all are excluded or ejected.
          EarlyRefusalError: Every host would refuse the call.
        """
        service_hosts = self.services.get(service)
        if service_hosts is None or not service_hosts.local_hosts:
            raise NoHostError(f"no host serves {service}")
        now = asyncio.get_running_loop().time()
        level = self.level(importance, tree)
        criteria = PickCriteria(excluded, level, idempotent, now, operation)
        downstream_threshold = service_hosts.downstream_threshold_at(
            operation, now, self.reopen_time
        )
        if downstream_threshold > level:
            self.maybe_refuse_early(downstream_threshold, criteria)
        if not begun and service_hosts.retry_shortages:
            self.check_retries(service_hosts, criteria)
        return self.choose_host(service_hosts, criteria).member

    def record_call_start(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> None:
        """Records that a call is sent to the host."""
        known_host = self.find_host(service, host)
        if known_host:
            known_host.record_call_start(asyncio.get_running_loop().time())

    def record_call_end(
        self,
        service: ids.ServiceName,
        host: ids.HostId,
        observation: Observation,
    ) -> None:
        """Records the end of a call; every started call must end here.

        Calls that are interrupted by a restart of the host may end after the
        new incarnation is known, and would eject it before its first call.
        They are ignored, since the new incarnation has no outstanding calls.
        """
        service_hosts = self.services.get(service)
        known_host = service_hosts.hosts.get(host) if service_hosts else None
        if known_host is None or not known_host.outstanding:
            return
        now = asyncio.get_running_loop().time()
        known_host.outstanding -= 1
        known_host.observe(observation, now)
        service_hosts.observe_operation(observation, now)
        if observation.load_report is not None and not (
            known_host.member.leaving
        ):
            service_hosts.fresh_hosts[known_host.preferred] = known_host
        if (
            observation.reason in hosts.LEAVING_REASONS
            and not known_host.member.leaving
        ):
            service_hosts.mark_leaving(known_host)
        self.update_ejection(service_hosts, service, host, observation, now)

    def update_ejection(
        self,
        service_hosts: hosts.ServiceHosts,
        service: ids.ServiceName,
        host: ids.HostId,
        observation: Observation,
        now: float,
    ) -> None:
        """Ejects a host that fails repeatedly, or puts it back in use."""
        answered = observation.outcome == messages.Outcome.ANSWERED
        if answered and not service_hosts.outliers.records:
            return
        if hosts.is_failure(observation):
            if service_hosts.outliers.record_failure(host, now):
                self.log_host_change("host ejected", service, host)
        elif observation.outcome == messages.Outcome.UNKNOWN:
            return
        elif service_hosts.outliers.record_success(host):
            service_hosts.hosts[host].first_seen_at = now
            service_hosts.hosts[host].failure_rates.clear()
            self.log_host_change("host back in use", service, host)

    def log_host_change(
        self, event: str, service: ids.ServiceName, host: ids.HostId
    ) -> None:
        """Logs an ejection or its end; `eject_time` bounds their frequency."""
        logs.log_event(
            logs.Component.ROUTING, event, service=service, host=host
        )

    def is_elsewhere_better(
        self,
        service_hosts: hosts.ServiceHosts,
        own: hosts.Host,
        operation: ids.OperationName,
        excluded: typing.AbstractSet[ids.HostId],
        now: float,
    ) -> bool:
        """Returns whether a call should not stay at this node's own host.

        The own host is compared with a random host of its data centre and with
        the one that has the newest report.
        """
        if own.report is None or not self.uses_reports or not own.preferred:
            return False
        local_hosts = service_hosts.local_hosts
        others = (
            local_hosts[int(self.rng.random() * len(local_hosts))],
            service_hosts.fresh_hosts.get(True, own),
        )
        return any(
            other is not own
            and service_hosts.is_usable(other, excluded, now)
            and not other.threshold
            and placement.is_clearly_better(other, own, operation, now)
            for other in others
        )

    def mean_report_age(self) -> float:
        """Returns the mean age of the load reports in seconds, -1 without."""
        now = asyncio.get_running_loop().time()
        ages = [
            now - host.reported_at
            for service_hosts in self.services.values()
            for host in service_hosts.hosts.values()
            if host.report is not None
            and now - host.reported_at <= placement.MAX_REPORT_AGE
        ]
        return sum(ages) / len(ages) if ages else -1.0

    def find_host(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> hosts.Host | None:
        """Returns the state of a host of a service, or None if unknown."""
        service_hosts = self.services.get(service)
        return service_hosts.hosts.get(host) if service_hosts else None

    def level(self, importance: messages.Importance, tree: str) -> int:
        """Returns the admission level that the called host will compute."""
        if not self.by_importance:
            importance = messages.Importance.NORMAL
        return levels.level_of(importance, tree)

    def choose_host(
        self,
        service_hosts: hosts.ServiceHosts,
        criteria: PickCriteria,
    ) -> hosts.Host:
        """Returns a host to probe, else a local host, else a remote one.

        Raises:
          NoHostError: All hosts are excluded or ejected.
          EarlyRefusalError: All hosts would refuse a call of this level.
        """
        if criteria.idempotent and service_hosts.outliers.records:
            probe_host = service_hosts.find_probe_due(
                criteria.excluded, criteria.now
            )
            if probe_host:
                service_hosts.outliers.start_probe(
                    probe_host.member.host, criteria.now
                )
                return probe_host
        local = self.pick_of_two(
            service_hosts, service_hosts.local_hosts, criteria
        )
        if local and self.is_good_enough(local, criteria):
            if not local.remote_bytes_per_run:
                return local
            return self.reduce_remote_traffic(service_hosts, local, criteria)
        remote = self.pick_of_two(
            service_hosts, service_hosts.remote_hosts, criteria
        )
        if remote and self.has_capacity(remote, criteria):
            if local is None or not self.has_capacity(local, criteria):
                return remote
            if self.is_remote_better(service_hosts, remote, local, criteria):
                return remote
        fallback = local or remote
        if fallback is None:
            raise NoHostError("every host was tried or is ejected")
        if self.threshold(fallback, criteria.now) > criteria.level:
            self.maybe_refuse_early(
                self.threshold(fallback, criteria.now), criteria
            )
        return fallback

    def reduce_remote_traffic(
        self,
        service_hosts: hosts.ServiceHosts,
        local: hosts.Host,
        criteria: PickCriteria,
    ) -> hosts.Host:
        """Returns a remote host if that reduces remote traffic, else `local`.

        If the local data centre has lost its only host of a downstream
        service, every child call to that service goes to another data centre.
        A call to a remote host crosses between data centres only once.
        """
        now, operation = criteria.now, criteria.operation
        local_bytes = local.remote_bytes_at(operation, now)
        response_bytes = service_hosts.response_sizes.get(operation, 0.0)
        if not remotetraffic.should_move_run(local_bytes, 0.0, response_bytes):
            return local
        remote = self.pick_of_two(
            service_hosts, service_hosts.remote_hosts, criteria
        )
        if remote is None or not self.is_good_enough(remote, criteria):
            return local
        remote_bytes = remote.remote_bytes_at(operation, now)
        return (
            remote
            if remotetraffic.should_move_run(
                local_bytes, remote_bytes, response_bytes
            )
            else local
        )

    def is_good_enough(self, host: hosts.Host, criteria: PickCriteria) -> bool:
        """Returns whether no other host needs to be considered."""
        return (
            self.has_capacity(host, criteria)
            and host.load_at(criteria.now) < SPILL_LOAD
            and host.failure_rate_at(criteria.operation, criteria.now)
            < FAILURE_RATE_MARGIN
        )

    def is_remote_better(
        self,
        service_hosts: hosts.ServiceHosts,
        remote: hosts.Host,
        local: hosts.Host,
        criteria: PickCriteria,
    ) -> bool:
        """Returns whether a remote host is sufficiently better for the caller.

        A less loaded host does not help if more calls fail there, and a host
        with fewer failures does not help if it is full.
        """
        now = criteria.now
        kilobytes = (
            service_hosts.response_sizes.get(criteria.operation, 0.0) / 1000
        )
        local_failure_rate = local.failure_rate_at(criteria.operation, now)
        failure_rate_gain = local_failure_rate - remote.failure_rate_at(
            criteria.operation, now
        )
        load_gain = local.load_at(now) - remote.load_at(now)
        margin = FAILURE_RATE_MARGIN + FAILURE_RATE_MARGIN_PER_KB * kilobytes
        margin += FAILURE_RATE_NOISE * math.sqrt(
            local_failure_rate * (1 - local_failure_rate)
        )
        if failure_rate_gain >= margin:
            return remote.load_at(now) < 1.0 or load_gain > 0
        local_is_full = local.load_at(now) >= SPILL_LOAD
        margin = REMOTE_LOAD_MARGIN + REMOTE_LOAD_MARGIN_PER_KB * kilobytes
        local_seconds = self.predict(local, criteria)
        remote_seconds = self.predict(remote, criteria)
        if local_seconds is not None and remote_seconds is not None:
            gain = local_seconds - remote_seconds - placement.REMOTE_SECONDS
            return (
                gain > margin * local.hold_seconds
                and failure_rate_gain >= -FAILURE_RATE_MARGIN
            )
        return (
            local_is_full
            and load_gain > margin
            and failure_rate_gain >= -FAILURE_RATE_MARGIN
        )

    def has_capacity(self, host: hosts.Host, criteria: PickCriteria) -> bool:
        """Returns whether the host admits the call and sheds few others."""
        if not host.threshold and not host.shed_rate:
            return True
        if self.threshold(host, criteria.now) > criteria.level:
            return False
        shed_rate = host.shed_rate_at(criteria.now, self.reopen_time)
        return shed_rate < SPILL_SHED_RATE

    def maybe_refuse_early(
        self, threshold: int, criteria: PickCriteria
    ) -> None:
        """Refuses a call that every host would refuse, except for a few calls.

        These few calls detect that a threshold was lowered, so that early
        refusals end soon after their cause and not only when the reported
        threshold has decayed.

        Raises:
          EarlyRefusalError: The call is refused, as nearly all calls are.
        """
        if not self.early_refusal or self.rng.random() < PROBE_SHARE:
            return
        share = (threshold - criteria.level) / threshold
        wait = max(MIN_RETRY_AFTER, share * self.reopen_time)
        raise EarlyRefusalError(wait * (0.5 + self.rng.random()), threshold)

    def check_retries(
        self, service_hosts: hosts.ServiceHosts, criteria: PickCriteria
    ) -> None:
        """Refuses to begin a call tree that would lack retries.

        How long the shortage will last is not known; as long again as it has
        lasted is a fair guess.  Callers who come back sooner are mostly refused
        again.

        Raises:
          EarlyRefusalError: The call tree must not begin.
        """
        shortage = service_hosts.find_retry_shortage(
            criteria.operation, criteria.now
        )
        if (
            shortage is None
            or criteria.level >= shortage.threshold
            or not self.early_refusal
        ):
            return
        lasted = criteria.now - shortage.since
        wait = max(hosts.RETRY_SHORTAGE_SECONDS, lasted)
        raise EarlyRefusalError(
            wait * (1 + 0.5 * self.rng.random()), shortage.threshold
        )

    def threshold(self, host: hosts.Host, now: float) -> int:
        """Returns the lowest level that the host is expected to admit."""
        return host.threshold_at(now, self.reopen_time)

    def pick_of_two(
        self,
        service_hosts: hosts.ServiceHosts,
        candidates: list[hosts.Host],
        criteria: PickCriteria,
    ) -> hosts.Host | None:
        """Returns the less busy of two random hosts that admit the call.

        Returns:
          The host.  If all usable hosts would refuse the call, one of them;
          None if no host is usable.
        """
        count = len(candidates)
        if not count:
            return None
        index = int(self.rng.random() * count)
        first = candidates[index]
        if count == 1 or not self.is_eligible(service_hosts, first, criteria):
            return self.scan_hosts(service_hosts, candidates, criteria)
        if self.settings.policy == "random":
            return first
        index += 1 + int(self.rng.random() * (count - 1))
        second = candidates[index % count]
        if not self.is_eligible(service_hosts, second, criteria):
            return self.scan_hosts(service_hosts, candidates, criteria)
        return self.better_of(
            service_hosts, candidates, first, second, criteria
        )

    def better_of(
        self,
        service_hosts: hosts.ServiceHosts,
        candidates: list[hosts.Host],
        first: hosts.Host,
        second: hosts.Host,
        criteria: PickCriteria,
    ) -> hosts.Host:
        """Returns the better of two hosts, or of a few more with reports."""
        if first.report is None or second.report is None:
            return self.less_busy(first, second, criteria)
        return self.soonest(service_hosts, candidates, first, second, criteria)

    def soonest(
        self,
        service_hosts: hosts.ServiceHosts,
        candidates: list[hosts.Host],
        first: hosts.Host,
        second: hosts.Host,
        criteria: PickCriteria,
    ) -> hosts.Host:
        """Returns the host where the call would complete first.

        It is one of the two, of a few more that are drawn like them, or the
        host with the newest report, whose prediction is the most certain.
        Without predictions for the first two, it is the less busy one.
        """
        best, best_seconds = first, self.predict(first, criteria)
        seconds = self.predict(second, criteria)
        if best_seconds is None or seconds is None:
            return self.less_busy(first, second, criteria)
        if self.is_sooner(second, seconds, best, best_seconds, criteria):
            best, best_seconds = second, seconds
        for draw in range(placement.DRAWN_HOSTS - 1):
            if draw:
                index = int(self.rng.random() * len(candidates))
                candidate = candidates[index]
            else:
                candidate = service_hosts.fresh_hosts.get(first.preferred, best)
            if candidate is best or not self.is_eligible(
                service_hosts, candidate, criteria
            ):
                continue
            seconds = self.predict(candidate, criteria)
            if seconds is not None and self.is_sooner(
                candidate, seconds, best, best_seconds, criteria
            ):
                best, best_seconds = candidate, seconds
        return best

    def predict(self, host: hosts.Host, criteria: PickCriteria) -> float | None:
        """Returns the predicted seconds of the call at a host, or None."""
        if not self.uses_reports:
            return None
        return placement.predict(host, criteria.operation, criteria.now)

    def is_sooner(
        self,
        host: hosts.Host,
        seconds: float,
        best: hosts.Host,
        best_seconds: float,
        criteria: PickCriteria,
    ) -> bool:
        """Returns whether a host is better than the best one so far."""
        seconds *= 1 + hosts.SHED_PENALTY * host.shed_rate
        best_seconds *= 1 + hosts.SHED_PENALTY * best.shed_rate
        if host.failure_rates or best.failure_rates:
            seconds, best_seconds = penalize_failures(
                host, seconds, best, best_seconds, criteria
            )
        return seconds < best_seconds

    def less_busy(
        self, first: hosts.Host, second: hosts.Host, criteria: PickCriteria
    ) -> hosts.Host:
        """Returns the host with the lower score, adjusted for failures."""
        slow_start = self.settings.slow_start
        now = criteria.now
        first_score = first.score(first.ramp(now, slow_start))
        second_score = second.score(second.ramp(now, slow_start))
        first_score, second_score = penalize_failures(
            first, first_score, second, second_score, criteria
        )
        return first if first_score <= second_score else second

    def is_eligible(
        self,
        service_hosts: hosts.ServiceHosts,
        host: hosts.Host,
        criteria: PickCriteria,
    ) -> bool:
        """Returns whether the host is usable and admits the call.

        A host in slow start is eligible with the probability of its ramp.
        """
        if not service_hosts.is_usable(host, criteria.excluded, criteria.now):
            return False
        ramp = host.ramp(criteria.now, self.settings.slow_start)
        if ramp < 1.0 and self.rng.random() >= ramp:
            return False
        if not host.threshold:
            return True
        return self.threshold(host, criteria.now) <= criteria.level

    def scan_hosts(
        self,
        service_hosts: hosts.ServiceHosts,
        candidates: list[hosts.Host],
        criteria: PickCriteria,
    ) -> hosts.Host | None:
        """Does the same as `pick_of_two` if a host drawn there is not eligible.

        It examines at most MAX_SCANNED_HOSTS hosts, starting at a random one.
        """
        start = int(self.rng.random() * len(candidates))
        scanned = (candidates[start:] + candidates[:start])[:MAX_SCANNED_HOSTS]
        usable = [
            host
            for host in scanned
            if service_hosts.is_usable(host, criteria.excluded, criteria.now)
        ]
        eligible = [
            host
            for host in usable
            if self.is_eligible(service_hosts, host, criteria)
        ]
        if len(eligible) > 1:
            first, second = self.rng.sample(eligible, 2)
            return self.better_of(
                service_hosts, candidates, first, second, criteria
            )
        if eligible:
            return eligible[0]
        return min(
            usable,
            key=lambda host: self.threshold(host, criteria.now),
            default=None,
        )


def penalize_failures(
    first: hosts.Host,
    first_score: float,
    second: hosts.Host,
    second_score: float,
    criteria: PickCriteria,
) -> tuple[float, float]:
    """Returns the scores; that of the host with more failures is increased."""
    difference = first.failure_rate_at(
        criteria.operation, criteria.now
    ) - second.failure_rate_at(criteria.operation, criteria.now)
    # Hosts with about equal failure rates share the calls; if every small
    # difference counted, the better host would get all of them.
    if difference >= FAILURE_RATE_MARGIN:
        first_score *= 1 + FAILURE_PENALTY * difference
    elif difference <= -FAILURE_RATE_MARGIN:
        second_score *= 1 - FAILURE_PENALTY * difference
    return first_score, second_score
