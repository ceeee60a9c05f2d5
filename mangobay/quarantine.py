"""Decides which requests may not run because backend servers ended under them.

A request that ends every backend server on which it runs would end all servers
of a service if it were repeated often enough, whoever repeats it.  After a few
ends without a response in between, it is quarantined: it is refused, except for
one test after each pause.  The pause doubles with each test.  A response ends
the quarantine, so other requests that were in progress when backend servers
ended, and are repeated, are released by their next response.

Every node keeps the same state as far as it has been told; states are merged.
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
    """

    end_ids: dict[ids.BackendEndId, None]
    changed_at: float
    tests: int = 0
    next_test_at: float = 0.0


class Quarantine:
    """The suspects and quarantined requests that this node knows.

    Attributes:
      config: the section [quarantine].
      suspects: requests with fewer ends than the setting `after`.
      quarantined: the other ones; both have the least recently changed first.
    """

    def __init__(self, config: settings.NodeQuarantine):
        self.config = config
        self.suspects: collections.OrderedDict[ids.RequestDigest, Suspect] = (
            collections.OrderedDict()
        )
        self.quarantined: collections.OrderedDict[
            ids.RequestDigest, Suspect
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
        suspect = self.quarantined.get(digest)
        if suspect is None:
            return Verdict.RUN
        return Verdict.TEST if now >= suspect.next_test_at else Verdict.REFUSE

    def seconds_to_test(self, digest: ids.RequestDigest, now: float) -> float:
        """Returns the seconds until the next test of a request is due."""
        suspect = self.quarantined.get(digest)
        return max(suspect.next_test_at - now, 0.0) if suspect else 0.0

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
    ) -> bool:
        """Records ends under a request.

        Returns:
          Whether the request has just been quarantined.
        """
        suspect = self.find(digest) or Suspect({}, now)
        was_quarantined = digest in self.quarantined
        suspect.end_ids.update(dict.fromkeys(end_ids))
        self.store(digest, suspect, now)
        if was_quarantined:
            self.postpone_test(suspect, now)
            return False
        return digest in self.quarantined

    def record_response(self, digest: ids.RequestDigest) -> bool:
        """Forgets the ends under a request; returns whether it had any."""
        quarantined = self.quarantined.pop(digest, None)
        suspect = self.suspects.pop(digest, None)
        return quarantined is not None or suspect is not None

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

        A request that another node has released is forgotten, and everything
        else only adds up, so the order of messages hardly matters: an end
        that is told again after the release counts until the next response.
        """
        for other in others:
            if other.answered:
                self.record_response(other.digest)
                continue
            suspect = self.find(other.digest) or Suspect({}, now)
            suspect.end_ids.update(dict.fromkeys(other.end_ids))
            suspect.tests = max(suspect.tests, other.tests)
            test_in = min(other.test_in_ms / 1000, self.config.max_pause)
            suspect.next_test_at = max(suspect.next_test_at, now + test_in)
            self.store(other.digest, suspect, now)
