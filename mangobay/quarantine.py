"""Decides which requests may not run because backend servers ended under them.

A request that ends every backend server on which it runs would end all servers
of a service if it were repeated often enough, whoever repeats it.  After a few
ends without a response in between, it is quarantined: it is refused, except for
one test after each pause.  The pause doubles with each test.  A response that
the server outlives refutes the ends known by then, so other requests that were
in progress when backend servers ended, and are repeated, are released.

Before that, a suspected request may run only while its ends and the runs whose
outcome is open are fewer than a quarantine needs.  So each run claims an end in
advance, from some nodes that keep the claims of that request.

Every node keeps the same ends as far as it has been told; states are merged.
"""

import collections
import collections.abc
import dataclasses
import enum

from mangobay import ids
from mangobay.generated import messages, settings

MAX_SUSPECTS = 2048
"""Requests remembered that are not quarantined, oldest forgotten first.

They are kept apart from quarantined ones: otherwise many different requests
that end one backend server each could displace those.
"""
MAX_QUARANTINED = 1024
"""Quarantined requests remembered, oldest forgotten first."""
MAX_END_IDS = 16
"""Ends remembered of one request; more do not change any decision."""
MAX_DOUBLINGS = 30
MAX_REFUTED = 8192
"""Refuted ends that are remembered, as they may be told again, oldest forgotten
first."""
CLAIM_SECONDS = 60.0
"""How long a claim counts that nobody confirms or withdraws."""
RETRY_SECONDS = 0.5
"""When a request may come back that was refused because of open claims."""


class Verdict(enum.Enum):
    """Whether a request may run."""

    RUN = "run"
    TEST = "test"
    """It is quarantined, and its next test is due."""
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request under which backend servers have ended.

    Attributes:
      end_ids: ends since the last response, oldest first.
      changed_at: loop time of the last end or test.
      tests: tests since the last response.
      next_test_at: loop time from which a test is due; only used while the
        request is quarantined.
      claims: runs permitted here whose outcome is open, with the loop time at
        which they expire.
      blocked_until: loop time before which no run was permitted elsewhere.
      after_response: ends before which the server had responded.
    """

    end_ids: dict[ids.BackendEndId, None]
    changed_at: float
    tests: int = 0
    next_test_at: float = 0.0
    claims: dict[ids.BackendEndId, float] = dataclasses.field(
        default_factory=dict
    )
    blocked_until: float = 0.0
    after_response: set[ids.BackendEndId] = dataclasses.field(
        default_factory=set
    )

    def drop_expired_claims(self, now: float) -> None:
        """Forgets the claims that nobody has confirmed or withdrawn."""
        for claim, expires_at in list(self.claims.items()):
            if expires_at <= now:
                del self.claims[claim]


class Quarantine:
    """The suspects and quarantined requests that this node knows.

    Attributes:
      config: the section [quarantine].
      suspects: requests with fewer ends than the setting `after`.
      quarantined: the other ones; both have the least recently changed first.
      refuted: ends that count no more for a request.
    """

    def __init__(self, config: settings.NodeQuarantine):
        self.config = config
        self.suspects: collections.OrderedDict[ids.RequestDigest, Suspect] = (
            collections.OrderedDict()
        )
        self.quarantined: collections.OrderedDict[
            ids.RequestDigest, Suspect
        ] = collections.OrderedDict()
        self.refuted: collections.OrderedDict[
            tuple[ids.RequestDigest, ids.BackendEndId], None
        ] = collections.OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or quarantined."""
        return not (self.suspects or self.quarantined)

    def find(self, digest: ids.RequestDigest) -> Suspect | None:
        """Returns what is known of a request, None if it is no suspect."""
        return self.quarantined.get(digest) or self.suspects.get(digest)

    def judge(self, digest: ids.RequestDigest, now: float) -> Verdict:
        """Returns whether a request may run."""
        self.forget_old(now)
        suspect = self.find(digest)
        if suspect is None:
            return Verdict.RUN
        if now < suspect.blocked_until:
            return Verdict.REFUSE
        if digest not in self.quarantined:
            return Verdict.RUN
        return Verdict.TEST if now >= suspect.next_test_at else Verdict.REFUSE

    def seconds_to_run(self, digest: ids.RequestDigest, now: float) -> float:
        """Returns the seconds until a refused request may run again."""
        suspect = self.find(digest)
        if suspect is None:
            return 0.0
        at = suspect.blocked_until
        if digest in self.quarantined:
            at = max(at, suspect.next_test_at)
        return max(at - now, 0.0)

    def permit(
        self, digest: ids.RequestDigest, claim: ids.BackendEndId, now: float
    ) -> float:
        """Permits a run of a suspected request if its end would not be too many.

        Returns:
          0 if it may run, else the seconds after which to ask again.
        """
        suspect = self.find(digest)
        if suspect is None:
            return 0.0
        suspect.drop_expired_claims(now)
        if len(suspect.end_ids) < self.config.after:
            if len(suspect.end_ids) + len(suspect.claims) >= self.config.after:
                return RETRY_SECONDS
        elif now < suspect.next_test_at:
            return suspect.next_test_at - now
        elif suspect.claims:
            return RETRY_SECONDS
        else:
            self.record_test(digest, now)
        suspect.claims[claim] = now + CLAIM_SECONDS
        return 0.0

    def withdraw(
        self, digest: ids.RequestDigest, claim: ids.BackendEndId
    ) -> None:
        """Withdraws the claim of a run that has ended no backend server."""
        suspect = self.find(digest)
        if suspect is not None:
            suspect.claims.pop(claim, None)

    def record_test(self, digest: ids.RequestDigest, now: float) -> None:
        """Records that a test of a quarantined request begins."""
        suspect = self.quarantined[digest]
        suspect.tests += 1
        suspect.next_test_at = now + self.pause_after(suspect.tests)
        self.store(digest, suspect, now)

    def record_ends(
        self,
        digest: ids.RequestDigest,
        end_ids: collections.abc.Iterable[ids.BackendEndId],
        now: float,
        responded: bool = False,
    ) -> bool:
        """Records ends under a request.

        Args:
          digest: the request.
          end_ids: the ends.
          now: loop time.
          responded: whether the servers had responded before.

        Returns:
          Whether the request has just been quarantined.
        """
        suspect = self.find(digest) or Suspect({}, now)
        was_quarantined = digest in self.quarantined
        end_ids = list(end_ids)
        if not self.add_ends(digest, suspect, end_ids):
            return False
        if responded:
            suspect.after_response.update(end_ids)
        self.store(digest, suspect, now)
        if was_quarantined:
            self.postpone_test(suspect, now)
            return False
        return digest in self.quarantined

    def add_ends(
        self,
        digest: ids.RequestDigest,
        suspect: Suspect,
        end_ids: collections.abc.Iterable[ids.BackendEndId],
    ) -> bool:
        """Adds ends that were not refuted; returns whether it has any."""
        for end_id in end_ids:
            if (digest, end_id) not in self.refuted:
                suspect.end_ids[end_id] = None
                suspect.claims.pop(end_id, None)
        return bool(suspect.end_ids)

    def record_response(
        self,
        digest: ids.RequestDigest,
        end_ids: collections.abc.Collection[ids.BackendEndId] | None = None,
    ) -> bool:
        """Forgets ends under a request that was answered.

        Args:
          digest: the request.
          end_ids: the ends that the response refutes; all if empty.

        Returns:
          Whether anything was known of the request.
        """
        suspect = self.find(digest)
        if suspect is None:
            return False
        for end_id in end_ids or list(suspect.end_ids):
            self.refute(digest, end_id)
            suspect.end_ids.pop(end_id, None)
            suspect.after_response.discard(end_id)
        suspect.claims.clear()
        suspect.blocked_until = 0.0
        table = self.suspects
        if digest in self.quarantined:
            table = self.quarantined
        changed_at = table.pop(digest).changed_at
        if suspect.end_ids:
            self.store(digest, suspect, changed_at)
        return True

    def refute(
        self, digest: ids.RequestDigest, end_id: ids.BackendEndId
    ) -> None:
        """Remembers that an end counts no more for a request."""
        self.refuted[digest, end_id] = None
        if len(self.refuted) > MAX_REFUTED:
            self.refuted.popitem(last=False)

    def pause_after(self, tests: int) -> float:
        """Returns the seconds before the next test, after some tests."""
        pause = self.config.pause * 2 ** min(tests, MAX_DOUBLINGS)
        return min(pause, self.config.max_pause)

    def postpone_test(self, suspect: Suspect, now: float) -> None:
        """Makes the next test due after a pause from now, or later."""
        suspect.next_test_at = max(
            suspect.next_test_at, now + self.pause_after(suspect.tests)
        )

    def store(
        self, digest: ids.RequestDigest, suspect: Suspect, now: float
    ) -> None:
        """Stores a suspect that has changed."""
        while len(suspect.end_ids) > max(MAX_END_IDS, self.config.after):
            del suspect.end_ids[next(iter(suspect.end_ids))]
        suspect.changed_at = now
        if len(suspect.end_ids) >= self.config.after:
            self.suspects.pop(digest, None)
            if digest not in self.quarantined:
                self.postpone_test(suspect, now)
            table, capacity = self.quarantined, MAX_QUARANTINED
        else:
            table, capacity = self.suspects, MAX_SUSPECTS
        table[digest] = suspect
        table.move_to_end(digest)
        if len(table) > capacity:
            table.popitem(last=False)

    def forget_old(self, now: float) -> None:
        """Forgets requests that have not changed for the setting `forget`."""
        cutoff = now - self.config.forget
        for table in (self.suspects, self.quarantined):
            while table and next(iter(table.values())).changed_at < cutoff:
                table.popitem(last=False)

    def to_messages(
        self, digests: collections.abc.Iterable[ids.RequestDigest], now: float
    ) -> list[messages.SuspectRequest]:
        """Returns what is known of requests, for other nodes."""
        found = ((digest, self.find(digest)) for digest in digests)
        return [
            messages.SuspectRequest(
                digest=digest,
                end_ids=list(suspect.end_ids),
                tests=suspect.tests,
                test_in_ms=max(int((suspect.next_test_at - now) * 1000), 0),
                after_response=sorted(
                    suspect.after_response & suspect.end_ids.keys()
                ),
            )
            for digest, suspect in found
            if suspect is not None
        ]

    def merge(
        self,
        others: collections.abc.Iterable[messages.SuspectRequest],
        now: float,
    ) -> None:
        """Adds what another node knows.

        Ends that another node has refuted are forgotten, and everything else
        only adds up, so the order of messages does not matter.
        """
        for other in others:
            if other.answered:
                self.record_response(other.digest, other.end_ids)
                continue
            if other.withdrawn:
                self.withdraw(other.digest, other.claim)
                continue
            suspect = self.find(other.digest) or Suspect({}, now)
            if not self.add_ends(other.digest, suspect, other.end_ids):
                continue
            suspect.after_response.update(other.after_response)
            suspect.tests = max(suspect.tests, other.tests)
            test_in = min(other.test_in_ms / 1000, self.config.max_pause)
            suspect.next_test_at = max(suspect.next_test_at, now + test_in)
            self.store(other.digest, suspect, now)
