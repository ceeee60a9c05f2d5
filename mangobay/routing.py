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
        known = self.services.get(service)
        if known is None or not known.local_hosts:
            raise NoHostError(f"no host serves {service}")
        now = asyncio.get_running_loop().time()
        level = self.level(importance, tree)
        choice = PickCriteria(excluded, level, idempotent, now, operation)
        below = known.downstream_threshold_at(operation, now, self.reopen_time)
        if below > level:
            self.maybe_refuse_early(below, choice)
        return self.choose_host(known, choice).member

    def record_call_start(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> None:
        """Counts a call sent to the host."""
        found = self.find_host(service, host)
        if found:
            found.outstanding += 1

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
        known = self.services.get(service)
        found = known.hosts.get(host) if known else None
        if found is None or not found.outstanding:
            return
        now = asyncio.get_running_loop().time()
        found.outstanding -= 1
        found.observe(observation, now)
        known.observe_operation(observation, now)
        if (
            observation.reason in hosts.LEAVING_REASONS
            and not found.member.leaving
        ):
            known.mark_leaving(found)
        self.update_ejection(known, service, host, observation, now)

    def update_ejection(
        self,
        known: hosts.ServiceHosts,
        service: ids.ServiceName,
        host: ids.HostId,
        observation: Observation,
        now: float,
    ) -> None:
        """Ejects a host that keeps failing, or takes it back."""
        answered = observation.outcome == messages.Outcome.ANSWERED
        if answered and not known.outliers.records:
            return
        if hosts.is_failure(observation):
            if known.outliers.record_failure(host, now):
                self.log_host_change("host ejected", service, host)
        elif observation.outcome == messages.Outcome.UNKNOWN:
            return
        elif known.outliers.record_success(host):
            known.hosts[host].first_seen_at = now
            known.hosts[host].failure_rates.clear()
            self.log_host_change("host back", service, host)

    def log_host_change(
        self, sentence: str, service: ids.ServiceName, host: ids.HostId
    ) -> None:
        """Logs a change of a host's state; rare, by the time out of use."""
        logs.say(logs.Part.ROUTING, sentence, service=service, host=host)

    def find_host(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> hosts.Host | None:
        """Returns what is known of a host of a service."""
        known = self.services.get(service)
        return known.hosts.get(host) if known else None

    def level(self, importance: messages.Importance, tree: str) -> int:
        """Returns the level of a call, as the called host will see it."""
        if not self.by_importance:
            importance = messages.Importance.NORMAL
        return levels.level_of(importance, tree)

    def choose_host(
        self,
        known: hosts.ServiceHosts,
        choice: PickCriteria,
    ) -> hosts.Host:
        """Returns a host to probe, else a near one, else a far one.

        Raises:
          NoHostError: all are excluded or ejected.
          EarlyRefusalError: all refuse calls of this level.
        """
        if choice.idempotent and known.outliers.records:
            due = known.find_probe_due(choice.excluded, choice.now)
            if due:
                known.outliers.start_probe(due.member.host, choice.now)
                return due
        near = self.pick_of_two(known, known.local_hosts, choice)
        if near and self.is_good_enough(near, choice):
            if not near.remote_bytes_per_run:
                return near
            return self.reduce_remote_traffic(known, near, choice)
        far = self.pick_of_two(known, known.remote_hosts, choice)
        if far and self.has_capacity(far, choice):
            if near is None or not self.has_capacity(near, choice):
                return far
            if self.is_remote_better(known, far, near, choice):
                return far
        fallback = near or far
        if fallback is None:
            raise NoHostError("every host was tried or is out of use")
        if self.threshold(fallback, choice.now) > choice.level:
            self.maybe_refuse_early(
                self.threshold(fallback, choice.now), choice
            )
        return fallback

    def reduce_remote_traffic(
        self, known: hosts.ServiceHosts, near: hosts.Host, choice: PickCriteria
    ) -> hosts.Host:
        """Returns a far host where the calls of the run stay near, or `near`.

        Where the only host of a data centre for a service went, every call of
        a run crosses; the run itself crosses once.
        """
        now, operation = choice.now, choice.operation
        carried = near.remote_bytes_at(operation, now)
        answer = known.response_sizes.get(operation, 0.0)
        if not remotetraffic.should_move_run(carried, 0.0, answer):
            return near
        far = self.pick_of_two(known, known.remote_hosts, choice)
        if far is None or not self.is_good_enough(far, choice):
            return near
        elsewhere = far.remote_bytes_at(operation, now)
        return (
            far
            if remotetraffic.should_move_run(carried, elsewhere, answer)
            else near
        )

    def is_good_enough(self, host: hosts.Host, choice: PickCriteria) -> bool:
        """Returns whether no other host need be looked at."""
        return (
            self.has_capacity(host, choice)
            and host.load_at(choice.now) < SPILL_LOAD
            and host.failure_rate_at(choice.operation, choice.now)
            < FAILURE_RATE_MARGIN
        )

    def is_remote_better(
        self,
        known: hosts.ServiceHosts,
        far: hosts.Host,
        near: hosts.Host,
        choice: PickCriteria,
    ) -> bool:
        """Returns whether a far host serves the caller enough better.

        Less loaded hosts are no help where more of the calls fail there, and
        the other way round.
        """
        now = choice.now
        kilobytes = known.response_sizes.get(choice.operation, 0.0) / 1000
        share = near.failure_rate_at(choice.operation, now)
        fails_less = share - far.failure_rate_at(choice.operation, now)
        waits_less = near.load_at(now) - far.load_at(now)
        margin = FAILURE_RATE_MARGIN + FAILURE_RATE_MARGIN_PER_KB * kilobytes
        margin += FAILURE_RATE_NOISE * math.sqrt(share * (1 - share))
        if fails_less >= margin:
            return far.load_at(now) < 1.0 or waits_less > 0
        full = near.load_at(now) >= SPILL_LOAD
        margin = REMOTE_LOAD_MARGIN + REMOTE_LOAD_MARGIN_PER_KB * kilobytes
        return (
            full and waits_less > margin and fails_less >= -FAILURE_RATE_MARGIN
        )

    def has_capacity(self, host: hosts.Host, choice: PickCriteria) -> bool:
        """Returns whether the call need not spill over from this host."""
        if not host.threshold and not host.shed_rate:
            return True
        if self.threshold(host, choice.now) > choice.level:
            return False
        sheds = host.shed_rate_at(choice.now, self.reopen_time)
        return sheds < SPILL_SHED_RATE

    def maybe_refuse_early(self, threshold: int, choice: PickCriteria) -> None:
        """Refuses a call below a threshold of every host, but for a few.

        Those few find out that a threshold fell, so that refusals end soon
        after their cause and not only when the memory of it fades.

        Raises:
          EarlyRefusalError: nearly always.
        """
        if not self.early_refusal or self.rng.random() < PROBE_SHARE:
            return
        share = (threshold - choice.level) / threshold
        wait = max(MIN_RETRY_AFTER, share * self.reopen_time)
        raise EarlyRefusalError(wait * (0.5 + self.rng.random()), threshold)

    def threshold(self, host: hosts.Host, now: float) -> int:
        """Returns what the host admits now, as far as is known."""
        return host.threshold_at(now, self.reopen_time)

    def pick_of_two(
        self,
        known: hosts.ServiceHosts,
        group: list[hosts.Host],
        choice: PickCriteria,
    ) -> hosts.Host | None:
        """Returns the less busy of two random hosts that admit the call.

        Returns:
          A host that refuses the call if all do; None if none is usable.
        """
        count = len(group)
        if not count:
            return None
        place = int(self.rng.random() * count)
        first = group[place]
        if count == 1 or not self.is_eligible(known, first, choice):
            return self.scan_hosts(known, group, choice)
        if self.settings.policy == "random":
            return first
        place += 1 + int(self.rng.random() * (count - 1))
        second = group[place % count]
        if not self.is_eligible(known, second, choice):
            return self.scan_hosts(known, group, choice)
        return self.less_busy(first, second, choice)

    def less_busy(
        self, first: hosts.Host, second: hosts.Host, choice: PickCriteria
    ) -> hosts.Host:
        """Returns the host with the lower score."""
        slow_start = self.settings.slow_start
        now = choice.now
        score = first.score(first.ramp(now, slow_start))
        other = second.score(second.ramp(now, slow_start))
        fails_more = first.failure_rate_at(
            choice.operation, now
        ) - second.failure_rate_at(choice.operation, now)
        # Hosts that fail about equally often share the calls: by every small
        # difference the better of two would get all of them.
        if fails_more >= FAILURE_RATE_MARGIN:
            score *= 1 + FAILURE_PENALTY * fails_more
        elif fails_more <= -FAILURE_RATE_MARGIN:
            other *= 1 - FAILURE_PENALTY * fails_more
        return first if score <= other else second

    def is_eligible(
        self, known: hosts.ServiceHosts, host: hosts.Host, choice: PickCriteria
    ) -> bool:
        """Returns whether the host is usable, warm and admits the call."""
        if not known.is_usable(host, choice.excluded, choice.now):
            return False
        ramp = host.ramp(choice.now, self.settings.slow_start)
        if ramp < 1.0 and self.rng.random() >= ramp:
            return False
        if not host.threshold:
            return True
        return self.threshold(host, choice.now) <= choice.level

    def scan_hosts(
        self,
        known: hosts.ServiceHosts,
        group: list[hosts.Host],
        choice: PickCriteria,
    ) -> hosts.Host | None:
        """Does what draw does where a host drawn first does not fit.

        It looks at no more than MOST_LOOKED_AT hosts, from a random one on.
        """
        start = int(self.rng.random() * len(group))
        looked = (group[start:] + group[:start])[:MAX_SCANNED_HOSTS]
        usable = [
            host
            for host in looked
            if known.is_usable(host, choice.excluded, choice.now)
        ]
        fitting = [
            host for host in usable if self.is_eligible(known, host, choice)
        ]
        if len(fitting) > 1:
            first, second = self.rng.sample(fitting, 2)
            return self.less_busy(first, second, choice)
        if fitting:
            return fitting[0]
        return min(
            usable,
            key=lambda host: self.threshold(host, choice.now),
            default=None,
        )
