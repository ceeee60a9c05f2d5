"""Picks the host for a call, among those that serve the service called."""

import asyncio
import dataclasses
import math
import random
import typing

from mangobay import errors, hosts, ids, levels, logs, remotetraffic
from mangobay.generated import messages, settings

MAX_SCANNED_HOSTS = 64
"""Hosts; bounds the time of a pick in a large service in trouble."""
SPILL_SHED_RATE = 0.5
"""Share of sheds from which on a call tries the other data centres."""
SPILL_LOAD = 0.8
"""Share of its limit in use from which on a near host may be passed over: a
little before its calls begin to wait, or callers of the worst served data centre
wait while other hosts stand idle."""
REMOTE_LOAD_MARGIN = 0.2
"""A far host must be less loaded by this much: the way there takes longer."""
REMOTE_LOAD_MARGIN_PER_KB = 0.1
"""The same for each 1,000 bytes of the answer, which cross to another data
centre: large answers cost more there than a wait near by is worth."""
FAILURE_RATE_MARGIN = 0.05
"""A host is passed over for one where this share fewer of the calls fail: one
in twenty is above what a handful of broken answers makes of the share."""
FAILURE_RATE_MARGIN_PER_KB = 0.03
"""The same for each 1,000 bytes of the answer, towards another data centre."""
FAILURE_RATE_NOISE = 0.25
"""Two deviations of the difference of two shares, over the root of
share x (1 - share): where half of all calls fail everywhere, two shares differ
by a tenth without any reason."""
FAILURE_PENALTY = 8.0
"""A host where every call fails counts as this much busier among its like."""
PROBE_SHARE = 0.02
"""Share of the calls that go on although every threshold is above them."""
MIN_RETRY_AFTER = 0.05
"""Seconds."""
ANY_OPERATION = ids.OperationName("")

Observation = hosts.Observation


@dataclasses.dataclass(slots=True)
class PickCriteria:
    """What one pick looks for.

    Attributes:
      excluded: hosts already tried.
      level: of the call.
      idempotent: may probe.
      now: loop time.
      operation: what is called.
    """

    excluded: typing.AbstractSet[ids.HostId]
    level: int
    idempotent: bool
    now: float
    operation: ids.OperationName = ids.OperationName("")


class NoHostError(errors.MangobayError):
    """No host can take the call: none is known, or all were tried."""


class EarlyRefusalError(errors.MangobayError):
    """Every host would refuse the call, by what they said last.

    Attributes:
      retry_after: seconds, jittered, after which the caller may try again.
      threshold: the lowest level that some host admits.
    """

    def __init__(self, retry_after: float, threshold: int):
        super().__init__("every host refuses calls of this importance")
        self.retry_after = retry_after
        self.threshold = threshold


class Router:
    """Routes the calls of one node.

    It holds only the services of the views it is given, so a node knows the
    hosts of the services that it calls and of no others.
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
        self.rng = rng
        self.services: dict[ids.ServiceName, hosts.ServiceHosts] = {}

    def update_views(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Takes the views as committed by the control group."""
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
    ) -> messages.Member:
        """Returns the host for a call.

        Args:
          service: the service called.
          excluded: hosts already tried for this call.
          importance: of the call tree.
          depth: hops from the first node.
          operation: what is called.
          idempotent: the call may probe a host that failed before.
          tree: the text that the ticket's level comes from.

        Raises:
          NoHostError: there is none, or all are excluded or ejected.
          EarlyRefusalError: the call would be refused wherever it went.
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
        return self.choose_host(service_hosts, criteria).member

    def record_call_start(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> None:
        """Counts a call sent to the host."""
        known_host = self.find_host(service, host)
        if known_host:
            known_host.outstanding += 1

    def record_call_end(
        self,
        service: ids.ServiceName,
        host: ids.HostId,
        observation: Observation,
    ) -> None:
        """Learns from a call that began; every one must end here.

        Calls cut by a restart may end when the host is already known under
        its new incarnation, and would eject it before its first call.  It has
        no calls in flight then, so they are told by that.
        """
        service_hosts = self.services.get(service)
        known_host = service_hosts.hosts.get(host) if service_hosts else None
        if known_host is None or not known_host.outstanding:
            return
        now = asyncio.get_running_loop().time()
        known_host.outstanding -= 1
        known_host.observe(observation, now)
        service_hosts.observe_operation(observation, now)
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
        """Ejects a host that keeps failing, or takes it back."""
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
            self.log_host_change("host back", service, host)

    def log_host_change(
        self, event: str, service: ids.ServiceName, host: ids.HostId
    ) -> None:
        """Logs a change of a host's state; rare, by the time out of use."""
        logs.say(logs.Part.ROUTING, event, service=service, host=host)

    def find_host(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> hosts.Host | None:
        """Returns what is known of a host of a service."""
        service_hosts = self.services.get(service)
        return service_hosts.hosts.get(host) if service_hosts else None

    def level(self, importance: messages.Importance, tree: str) -> int:
        """Returns the level of a call, as the called host will see it."""
        if not self.by_importance:
            importance = messages.Importance.NORMAL
        return levels.level_of(importance, tree)

    def choose_host(
        self,
        service_hosts: hosts.ServiceHosts,
        criteria: PickCriteria,
    ) -> hosts.Host:
        """Returns a host to probe, else a near one, else a far one.

        Raises:
          NoHostError: all are excluded or ejected.
          EarlyRefusalError: all refuse calls of this level.
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
            raise NoHostError("every host was tried or is out of use")
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
        """Returns a far host where the calls of the run stay near, or `near`.

        Where the only host of a data centre for a service went, every call of
        a run crosses; the run itself crosses once.
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
        """Returns whether no other host need be looked at."""
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
        """Returns whether a far host serves the caller enough better.

        Less loaded hosts are no help where more of the calls fail there, and
        the other way round.
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
        return (
            local_is_full
            and load_gain > margin
            and failure_rate_gain >= -FAILURE_RATE_MARGIN
        )

    def has_capacity(self, host: hosts.Host, criteria: PickCriteria) -> bool:
        """Returns whether the call need not spill over from this host."""
        if not host.threshold and not host.shed_rate:
            return True
        if self.threshold(host, criteria.now) > criteria.level:
            return False
        shed_rate = host.shed_rate_at(criteria.now, self.reopen_time)
        return shed_rate < SPILL_SHED_RATE

    def maybe_refuse_early(
        self, threshold: int, criteria: PickCriteria
    ) -> None:
        """Refuses a call below a threshold of every host, but for a few.

        Those few find out that a threshold fell, so that refusals end soon
        after their cause and not only when the memory of it fades.

        Raises:
          EarlyRefusalError: nearly always.
        """
        if not self.early_refusal or self.rng.random() < PROBE_SHARE:
            return
        share = (threshold - criteria.level) / threshold
        wait = max(MIN_RETRY_AFTER, share * self.reopen_time)
        raise EarlyRefusalError(wait * (0.5 + self.rng.random()), threshold)

    def threshold(self, host: hosts.Host, now: float) -> int:
        """Returns what the host admits now, as far as is known."""
        return host.threshold_at(now, self.reopen_time)

    def pick_of_two(
        self,
        service_hosts: hosts.ServiceHosts,
        candidates: list[hosts.Host],
        criteria: PickCriteria,
    ) -> hosts.Host | None:
        """Returns the less busy of two random hosts that admit the call.

        Returns:
          A host that refuses the call if all do; None if none is usable.
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
        return self.less_busy(first, second, criteria)

    def less_busy(
        self, first: hosts.Host, second: hosts.Host, criteria: PickCriteria
    ) -> hosts.Host:
        """Returns the host with the lower score."""
        slow_start = self.settings.slow_start
        now = criteria.now
        first_score = first.score(first.ramp(now, slow_start))
        second_score = second.score(second.ramp(now, slow_start))
        failure_rate_difference = first.failure_rate_at(
            criteria.operation, now
        ) - second.failure_rate_at(criteria.operation, now)
        # Hosts that fail about equally often share the calls: by every small
        # difference the better of two would get all of them.
        if failure_rate_difference >= FAILURE_RATE_MARGIN:
            first_score *= 1 + FAILURE_PENALTY * failure_rate_difference
        elif failure_rate_difference <= -FAILURE_RATE_MARGIN:
            second_score *= 1 - FAILURE_PENALTY * failure_rate_difference
        return first if first_score <= second_score else second

    def is_eligible(
        self,
        service_hosts: hosts.ServiceHosts,
        host: hosts.Host,
        criteria: PickCriteria,
    ) -> bool:
        """Returns whether the host is usable, warm and admits the call."""
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
        """Does what draw does where a host drawn first does not fit.

        It looks at no more than MOST_LOOKED_AT hosts, from a random one on.
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
            return self.less_busy(first, second, criteria)
        if eligible:
            return eligible[0]
        return min(
            usable,
            key=lambda host: self.threshold(host, criteria.now),
            default=None,
        )
