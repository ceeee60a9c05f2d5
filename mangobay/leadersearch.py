"""Which control host a node asks next for its lease."""

import collections
import collections.abc
import dataclasses
import math

from mangobay import clock, ids, options

FAILURE_MEMORY_SECONDS = 1.0
"""Seconds for which a host that refused, or did not reply, is not taken for the
leader of the same term when another host names it."""

SILENCE_DELAY_SECONDS = 1.0
"""Seconds for which hosts that replied go before one that did not."""

MAX_TIMEOUT_DOUBLINGS = 3
"""Maximum number of times that the timeout of a host is doubled."""


@dataclasses.dataclass(slots=True)
class HostState:
    """What is known of one control host.

    Attributes:
      asked_at: loop time at which it was last asked.
      failed_at: loop time at which it last refused or did not reply.
      failed_term: newest term in which it is known not to lead.
      timeout_doublings: how many times its timeout is doubled.
      silent: it did not reply when it was last asked.
      connection_broken: its connection ended during the last request.
    """

    asked_at: float = -math.inf
    failed_at: float = -math.inf
    failed_term: int = -1
    timeout_doublings: int = 0
    silent: bool = False
    connection_broken: bool = False


class LeaderSearch:
    """Chooses the control host to ask next, and how long to wait for it.

    A host that another one names as the leader comes first, and the one that
    was asked least recently otherwise. A host that is cut off from the others
    goes on naming a former leader, which is cut off with it or gone: a node
    that only followed names would never ask the other hosts. The terms tell a
    leader that was just elected from a former one.

    Attributes:
      hosts: control hosts: the current voters, then the others of the settings.
      leader: the host that granted last, or was named since; None if unknown.
      patience: seconds to wait for the reply of a host that was not late before.
      states: what is known of each host.
      known_leader: the host that last was taken for the leader, and its term.
      newest_term: newest term that any host has told.
    """

    def __init__(
        self,
        hosts: collections.abc.Sequence[options.Address],
        first: options.Address,
        patience: float,
    ):
        self.hosts = list(hosts)
        self.leader: options.Address | None = first
        self.patience = patience
        self.states: collections.defaultdict[options.Address, HostState] = (
            collections.defaultdict(HostState)
        )
        self.known_leader = (first, ids.Term(0))
        self.newest_term = ids.Term(0)

    def update_hosts(
        self, hosts: collections.abc.Sequence[options.Address]
    ) -> None:
        """Replaces the control hosts; forgets what was known of others."""
        self.hosts = list(hosts)
        for host in set(self.states).difference(hosts):
            del self.states[host]

    def next_host(
        self, busy: collections.abc.Container[options.Address]
    ) -> options.Address | None:
        """Returns the host to ask, None if all of them are being asked.

        Args:
          busy: hosts that may still reply in time.
        """
        if self.leader is not None and self.leader not in busy:
            return self.leader
        return min(
            (host for host in self.hosts if host not in busy),
            key=self.turn_of,
            default=None,
        )

    def turn_of(self, host: options.Address) -> float:
        """Returns a time by which hosts take turns; silent ones come later."""
        state = self.states[host]
        return state.asked_at + (SILENCE_DELAY_SECONDS if state.silent else 0)

    @property
    def max_reply_timeout(self) -> float:
        """Seconds after which any renewal is abandoned."""
        return self.patience * 2**MAX_TIMEOUT_DOUBLINGS

    def reply_timeout(self, host: options.Address) -> float:
        """Returns the seconds after which a host may be asked again instead.

        After a restart of the whole system, a leader replies to each renewal
        later than the setting. With a fixed timeout, renewals would be
        abandoned and sent again forever: each would cost the leader its work
        and none would be granted.
        """
        doublings = self.states[host].timeout_doublings
        return self.patience * 2 ** min(doublings, MAX_TIMEOUT_DOUBLINGS)

    def record_timeout(self, host: options.Address) -> None:
        """Records that a host did not reply within its timeout."""
        self.states[host].timeout_doublings += 1
        self.record_silence(host)

    def record_reply(self, host: options.Address, seconds: float) -> None:
        """Records how long a host took to reply, beyond what it may hold."""
        state = self.states[host]
        state.connection_broken = False
        state.silent = False
        if seconds < self.reply_timeout(host) / 4:
            state.timeout_doublings = 0

    def record_asked(self, host: options.Address) -> None:
        """Records that a host is being asked."""
        self.states[host].asked_at = clock.now()

    def record_grant(self, host: options.Address, term: ids.Term) -> None:
        """Records that a host granted a lease, as only the leader does."""
        self.set_leader(host, term)

    def record_broken_connection(self, host: options.Address) -> None:
        """Records that a host did not reply since the connection ended.

        It may have been the connection to a former process: the host is asked
        once more on a new one.
        """
        if self.states[host].connection_broken:
            self.record_silence(host)
        else:
            self.states[host].connection_broken = True

    def record_silence(self, host: options.Address) -> None:
        """Records that a host did not reply in time."""
        self.states[host].silent = True
        self.record_failure(host, self.newest_term)

    def record_refusal(
        self,
        host: options.Address,
        term: ids.Term,
        named: options.Address | None,
    ) -> None:
        """Records that a host does not lead, and which one it named.

        Args:
          host: the host that refused.
          term: the newest term that it knows.
          named: the leader of that term, None if the host knows none.
        """
        # A candidate that knows no leader may be elected in the same term.
        is_candidate = named is None and (host, term) != self.known_leader
        self.record_failure(host, ids.Term(term - 1) if is_candidate else term)
        if named is not None and self.may_lead(named, term):
            self.set_leader(named, term)
        self.newest_term = max(self.newest_term, term)

    def record_failure(self, host: options.Address, term: ids.Term) -> None:
        """Records that a host does not lead in a term, as far as is known."""
        state = self.states[host]
        state.failed_at = clock.now()
        state.failed_term = max(state.failed_term, term)
        if self.leader == host:
            self.leader = None

    def set_leader(self, host: options.Address, term: ids.Term) -> None:
        """Takes a host for the leader of a term."""
        self.leader = host
        self.known_leader = (host, term)
        self.newest_term = max(self.newest_term, term)

    def may_lead(self, host: options.Address, term: ids.Term) -> bool:
        """Returns whether a host that was named may lead in a term."""
        if term < self.newest_term:
            return False
        state = self.states[host]
        if term > state.failed_term:
            return True
        return clock.now() - state.failed_at >= FAILURE_MEMORY_SECONDS
