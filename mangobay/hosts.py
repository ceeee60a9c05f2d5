"""The hosts of one service, as one node sees them."""

import dataclasses
import typing

from mangobay import crossings, ejection, ids, levels
from mangobay.generated import messages, settings

LOWEST_RAMP = 0.1
"""Share of its calls that a new host gets at first."""
HINT_PART = 0.25
"""Most that a host's own word on its load changes its score."""
LOAD_MEMORY = 1.0
"""Seconds after which a host's word on its load says nothing any more; bursts
of callers come and go within some seconds."""
USUAL_LOAD = 0.5
"""Share of its limit that a host of which nothing is known may have in use."""
FIRST_FAILURE = 500
"""Status from which on an answer is no use to its caller."""
LATE_LOSS = 0.6
"""What is lost of an answer that comes after its target latency, where a failure
loses all: most callers get some use of it, and few get much."""
FAILURE_PART = 0.03
"""Weight of the newest answer in the share of failures: some thirty answers
tell a host that fails one in ten from one that does not."""
MOST_PART = 0.15
"""The same at most, where calls are rare: one failure alone moves nobody for
long, and seven tell enough."""
SIZE_PART = 0.05
"""Weight of the newest answer in the size of an operation's answers."""
FAILURE_HALF_LIFE = 3.0
"""Seconds in which a share that nothing renews fades to its half, so that a
host is tried again after some seconds."""
SHED_PART = 0.1
"""Weight of the newest reply in the share of sheds."""
SHED_COST = 4.0
"""A host that sheds everything counts as this much busier."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Observation:
    """What one call showed of a host.

    Attributes:
      outcome: as defined in the messages.
      reason: as defined in the messages.
      seconds: from sending the call to its reply.
      threshold: what the host admits now, from its reply.
      inflight: calls it says it runs; a hint.
      limit: calls it says may run; a hint.
      operation: what was called.
      below: lowest level of it that the services below admit.
      status: of the answer, 0 without one.
      size: bytes of its body.
      crossing: bytes that the calls of such a run carry to other data centres.
      late: the answer came after the operation's target latency.
    """

    outcome: messages.Outcome
    reason: messages.Reason = messages.Reason.NONE
    seconds: float = 0.0
    threshold: int = 0
    inflight: int = 0
    limit: int = 0
    operation: ids.OperationName = ids.OperationName("")
    below: int = levels.ADMIT_ALL
    status: int = 0
    size: int = 0
    crossing: int = 0
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
            return 0.0 if self.reason in NOT_FAILURES else 1.0
        if self.status >= FIRST_FAILURE:
            return 1.0
        return LATE_LOSS if self.late else 0.0


@dataclasses.dataclass(slots=True)
class Failures:
    """How often calls of one operation fail at one host.

    Attributes:
      share: of the last answers, 0 to 1.
      told: loop time of the last one.
    """

    share: float = 0.0
    told: float = 0.0

    def note(self, loss: float, now: float) -> None:
        """Takes in what one answer lost, 0 to 1.

        The rarer the answers, the more each weighs, or the share would fade
        faster than it is renewed: at two calls a second a host where half of
        them fail would look like one where an eighth does.
        """
        share = self.at(now)
        faded = 1.0 - 0.5 ** ((now - self.told) / FAILURE_HALF_LIFE)
        part = min(max(FAILURE_PART, faded), MOST_PART)
        self.share = share + (loss - share) * part
        self.told = now

    def at(self, now: float) -> float:
        """Returns the share, faded since the last answer."""
        if not self.share:
            return 0.0
        return self.share * 0.5 ** ((now - self.told) / FAILURE_HALF_LIFE)


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """One host of a service.

    Attributes:
      member: as the control group announced it.
      since: loop time at which it was first seen; minus infinity when it was
        there before this node.
      outstanding: this node's own calls in flight there.
      threshold: from the last reply.
      told: loop time of that reply.
      hint: share of its limit that it says is in use, 0 to 1.
      load: the same, above 1 where calls wait for a slot.
      sheds: share of the last replies that were refusals.
      failures: of each operation that failed there.
      carried: what the calls of a run let cross, of each operation that does.
    """

    member: messages.Member
    since: float
    outstanding: int = 0
    threshold: int = levels.ADMIT_ALL
    told: float = 0.0
    hint: float = 0.0
    load: float = 0.0
    sheds: float = 0.0
    failures: dict[ids.OperationName, Failures] = dataclasses.field(
        default_factory=dict
    )
    carried: dict[ids.OperationName, crossings.Figure] = dataclasses.field(
        default_factory=dict
    )

    def crossing(self, operation: ids.OperationName, now: float) -> float:
        """Returns the bytes that the calls of a run here let cross."""
        found = self.carried.get(operation)
        return found.at(now) if found else 0.0

    def failing(self, operation: ids.OperationName, now: float) -> float:
        """Returns the share of an operation's calls that fail here."""
        found = self.failures.get(operation)
        return found.at(now) if found else 0.0

    def note_failure(self, seen: Observation, now: float) -> None:
        """Learns whether calls of an operation fail here."""
        if seen.outcome is messages.Outcome.NOT_RUN:
            return
        found = self.failures.get(seen.operation)
        if found is None:
            if not seen.loss:
                return
            found = self.failures[seen.operation] = Failures(told=now)
        found.note(seen.loss, now)

    def threshold_at(self, now: float, reopen_time: float) -> int:
        """Returns the threshold, fallen since it was told.

        A host that gets no calls sends no replies: a threshold that never
        fell would keep it without calls for ever.
        """
        if not self.threshold:
            return levels.ADMIT_ALL
        return levels.decayed_threshold(
            self.threshold,
            now - self.told,
            reopen_time,
            levels.REMOTE_DECAY_POWER,
        )

    def sheds_at(self, now: float, reopen_time: float) -> float:
        """Returns the share of sheds, faded since the last reply.

        Without that, a host that calls were led away from would look as if
        it still shed everything.
        """
        if not self.sheds:
            return 0.0
        return self.sheds * max(0.0, 1.0 - (now - self.told) / reopen_time)

    def load_at(self, now: float) -> float:
        """Returns the load, drawn towards the usual one since it was told.

        A host that was full when last heard of, and one that never was, would
        else keep their name for ever: nobody goes there to find out.
        """
        part = min(1.0, (now - self.told) / LOAD_MEMORY)
        return self.load + (USUAL_LOAD - self.load) * part

    def score(self, ramp: float) -> float:
        """Returns how busy the host is; the lower one is picked.

        Its own word on its load may be stale or wrong, so it only shifts a
        choice between hosts that are about equal by this node's own count.
        """
        busy = (self.outstanding / ramp + 1) / max(self.member.slots, 1)
        return busy * (1 + HINT_PART * self.hint + SHED_COST * self.sheds)

    def ramp(self, now: float, slow_start: float) -> float:
        """Returns the share of its calls that the host gets now.

        A cold backend server is slower than it will be; a full share at once
        fills it with calls that time out, so that it never warms up.  It is
        a chance besides a part of the score: by score alone, a node that
        rarely has two calls outstanding picks the cold host never, and fully
        once it is warm.
        """
        age = now - self.since
        if age >= slow_start:
            return 1.0
        return max(LOWEST_RAMP, age / slow_start)

    def observe(self, seen: Observation, now: float) -> None:
        """Learns from one reply."""
        self.note_failure(seen, now)
        shed = seen.reason in SHED_REASONS
        self.sheds += ((1.0 if shed else 0.0) - self.sheds) * SHED_PART
        if seen.outcome == messages.Outcome.UNKNOWN:
            return
        self.threshold = seen.threshold
        self.told = now
        if seen.crossing or seen.operation in self.carried:
            self.carried[seen.operation] = crossings.Figure(seen.crossing, now)
        if seen.limit > 0:
            self.load = seen.inflight / seen.limit
            self.hint = min(1.0, self.load)


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
GONE_REASONS = frozenset({messages.Reason.LEAVING})
"""The host takes no more calls, though the view does not say so yet."""
NOT_FAILURES = frozenset(
    {
        messages.Reason.CANCELLED,
        messages.Reason.KEY_EXPIRED,
        messages.Reason.OWNER_CHANGED,
        messages.Reason.RUNNING,
    }
)
"""Unknown outcomes that say nothing about the host."""


def is_failure(seen: Observation) -> bool:
    """Returns whether the observation speaks against the host."""
    if seen.reason in FAILURE_REASONS:
        return True
    unknown = seen.outcome == messages.Outcome.UNKNOWN
    return unknown and seen.reason not in NOT_FAILURES


@dataclasses.dataclass(slots=True)
class Below:
    """What is refused below one operation, by the newest reply.

    Attributes:
      threshold: the lowest level admitted.
      told: loop time of the reply.
    """

    threshold: int
    told: float


class ServiceHosts:
    """The hosts of one service that take calls.

    Attributes:
      below: by operation; only where something is refused.  It is kept for
        all hosts together, since they call the same services below.
      near: those in the own data centre, or all when that does not matter.
      far: the others.
    """

    def __init__(self, routing: settings.NodeRouting, home: ids.DataCentre):
        self.settings = routing
        self.home = home
        self.version = ids.ViewVersion(-1)
        self.known: dict[ids.HostId, Host] = {}
        self.near: list[Host] = []
        self.far: list[Host] = []
        self.ejection = ejection.Ejection(routing)
        self.below: dict[ids.OperationName, Below] = {}
        self.sizes: dict[ids.OperationName, float] = {}

    def observe_below(self, seen: Observation, now: float) -> None:
        """Learns what the services below an operation admit."""
        if seen.outcome == messages.Outcome.UNKNOWN:
            return
        if seen.size:
            known = self.sizes.get(seen.operation, seen.size)
            self.sizes[seen.operation] = known + SIZE_PART * (seen.size - known)
        if seen.below:
            self.below[seen.operation] = Below(seen.below, now)
        else:
            self.below.pop(seen.operation, None)

    def below_at(
        self, operation: ids.OperationName, now: float, reopen_time: float
    ) -> int:
        """Returns the lowest level of an operation admitted below now."""
        found = self.below.get(operation)
        if found is None:
            return levels.ADMIT_ALL
        return levels.decayed_threshold(
            found.threshold,
            now - found.told,
            reopen_time,
            levels.REMOTE_DECAY_POWER,
        )

    def update(self, view: messages.ServiceView, now: float) -> None:
        """Takes the members of a view; keeps what was observed of them."""
        if view.version == self.version:
            return
        since = now if self.known else float("-inf")
        former = self.known
        self.known = {
            member.host: self.renewed(former.get(member.host), member, since)
            for member in view.members
        }
        for host in former.keys() - self.known.keys():
            self.ejection.forget(host)
        self.version = view.version
        self.ejection.hosts = len(self.known)
        self.arrange()

    def renewed(
        self, host: Host | None, member: messages.Member, since: float
    ) -> Host:
        """Returns the host with its new announcement."""
        if host and host.member.incarnation == member.incarnation:
            host.member = member
            return host
        self.ejection.forget(member.host)
        return Host(member, since)

    def arrange(self) -> None:
        """Sorts the hosts that take calls into near and far ones."""
        staying = [
            host for host in self.known.values() if not host.member.leaving
        ]
        self.near = [host for host in staying if self.is_near(host)]
        self.far = [host for host in staying if not self.is_near(host)]
        if not self.near:
            self.near, self.far = self.far, []

    def is_near(self, host: Host) -> bool:
        """Returns whether the host is preferred for its place."""
        if not self.settings.local_first:
            return True
        return host.member.data_centre == self.home

    def gone(self, host: Host) -> None:
        """Stops using a host that said it is leaving."""
        host.member = dataclasses.replace(host.member, leaving=True)
        self.arrange()

    def usable(
        self,
        host: Host,
        excluding: typing.AbstractSet[ids.HostId],
        now: float,
    ) -> bool:
        """Returns whether an ordinary call may go to the host."""
        name = host.member.host
        if name in excluding:
            return False
        if name not in self.ejection.records:
            return True
        return self.ejection.state(name, now) == ejection.State.IN_USE

    def due(
        self, excluding: typing.AbstractSet[ids.HostId], now: float
    ) -> Host | None:
        """Returns a host that a probing call may go to."""
        for name in self.ejection.records:
            if self.ejection.state(name, now) != ejection.State.DUE:
                continue
            host = self.known[name]
            if name not in excluding and not host.member.leaving:
                return host
        return None
