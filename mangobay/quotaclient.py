"""Asks the control hosts whether the quota of a workspace allows a request."""

import asyncio
import collections
import dataclasses
import enum
import random
import typing

from mangobay import errors, ids, options
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

Outcome = messages.TokenOutcome

REPLY_TIMEOUT_SECONDS = 0.08
"""Seconds to wait for one control host; a sound one replies within a few
milliseconds, and the request waits meanwhile."""
SUSPECT_SECONDS = 1.0
"""Seconds for which a control host that did not reply is not asked first."""
RETRY_DELAY_SECONDS = 0.05
"""Seconds between two rounds while no control host can grant anything."""
MAX_WAIT_SECONDS = 0.4
"""Longest time that a request waits for a control host that may grant it. An
election takes about as long, and a caller that is refused waits longer."""
UNAVAILABLE_RETRY_AFTER_SECONDS = 0.5
"""Retry-After in seconds when nobody could be asked."""


class Verdict(enum.Enum):
    """Whether the quota of a workspace allows a request."""

    ALLOWED = "allowed"
    DENIED = "denied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on one request.

    Attributes:
      verdict: whether the request may run.
      term: the term of the leader that granted it; 0 from a reserve.
      retry_after: seconds after which a request that is not allowed may be
        sent again.
    """

    verdict: Verdict
    term: ids.Term = ids.Term(0)
    retry_after: float = 0.0


class Directory(typing.Protocol):
    """Knows the control hosts, as `controlclient.ControlClient` does.

    Attributes:
      current_address: the leader, as far as known.
      addresses: all control hosts.
    """

    current_address: options.Address
    addresses: list[options.Address]


class QuotaClient:
    """Asks the leader, and other control hosts while it does not reply.

    Attributes:
      directory: knows the control hosts.
      transport: sends the requests.
      rng: chooses among the control hosts that are not the leader.
      suspect_until: loop times until which hosts are asked last.
      unused: tokens of requests that did not run, by workspace.
      unused_term: the term of the leader that granted them.
    """

    def __init__(
        self,
        directory: Directory,
        transport: "peers.Transport",
        rng: random.Random,
    ):
        self.directory = directory
        self.transport = transport
        self.rng = rng
        self.suspect_until: dict[options.Address, float] = {}
        self.unused: collections.Counter[ids.WorkspaceName] = (
            collections.Counter()
        )
        self.unused_term = ids.Term(0)

    async def ask(
        self, workspace: ids.WorkspaceName, max_wait: float, late: bool = False
    ) -> Decision:
        """Returns the decision on one request of a workspace.

        Args:
          workspace: the workspace of the request.
          max_wait: longest useful wait in seconds.
          late: whether the caller has waited longer than the target latency.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + min(max_wait, MAX_WAIT_SECONDS)
        while True:
            for address in self.hosts_to_ask(loop.time()):
                decision = await self.ask_host(address, workspace, late)
                if decision is not None:
                    return decision
                if loop.time() >= give_up_at:
                    break
            if loop.time() + RETRY_DELAY_SECONDS >= give_up_at:
                return Decision(
                    Verdict.UNKNOWN,
                    retry_after=UNAVAILABLE_RETRY_AFTER_SECONDS,
                )
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    def hosts_to_ask(self, now: float) -> list[options.Address]:
        """Returns the control hosts, the most promising one first."""
        leader = self.directory.current_address
        others = [
            address for address in self.directory.addresses if address != leader
        ]
        self.rng.shuffle(others)
        return sorted(
            [leader, *others],
            key=lambda address: self.suspect_until.get(address, 0.0) > now,
        )

    async def ask_host(
        self,
        address: options.Address,
        workspace: ids.WorkspaceName,
        late: bool,
    ) -> Decision | None:
        """Returns one control host's decision, None if it makes none."""
        request = self.make_request(workspace, late)
        try:
            reply = await self.transport.send_request(
                address, request, REPLY_TIMEOUT_SECONDS
            )
        except (errors.PeerError, TimeoutError):
            now = asyncio.get_running_loop().time()
            self.suspect_until[address] = now + SUSPECT_SECONDS
            return None
        if not isinstance(reply, messages.TokenReply):
            raise errors.PeerProtocolError(
                "the reply to a request for a token is not a TokenReply"
            )
        match reply.outcome:
            case Outcome.GRANTED:
                return Decision(Verdict.ALLOWED, term=reply.term)
            case Outcome.DENIED:
                retry_after = reply.retry_after_ms / 1000
                return Decision(Verdict.DENIED, retry_after=retry_after)
        return None

    def make_request(
        self, workspace: ids.WorkspaceName, late: bool
    ) -> messages.TokenRequest:
        """Returns the question, with all unused tokens."""
        request = messages.TokenRequest(
            workspace=workspace,
            term=self.unused_term,
            unused=[
                messages.UnusedTokens(workspace=name, count=count)
                for name, count in self.unused.items()
            ],
            late=late,
        )
        # If the request is lost, so are they: given back twice, a token would
        # be granted twice.
        self.unused.clear()
        return request

    def give_back(
        self, workspace: ids.WorkspaceName, decision: Decision
    ) -> None:
        """Gives back the token of a request that did not run."""
        if not decision.term:
            return
        if decision.term != self.unused_term:
            self.unused.clear()
            self.unused_term = decision.term
        self.unused[workspace] += 1
