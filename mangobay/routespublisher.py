"""Routes documents at the control hosts: any of them answers an operator."""

import asyncio
import hashlib
import typing
import zlib

from mangobay import clock, errors, ids, leases, options, statemachine
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

Outcome = messages.RoutesOutcome

FORWARD_TIMEOUT_SECONDS = 0.8
"""Wait for the leader's answer; operators go on to another host after 1 s."""
DIGEST_BYTES = 16


class Group(leases.Group, typing.Protocol):
    """What is needed of `consensus.Group`, besides what leases need."""


def make_routes_change(
    version: ids.RoutesVersion, base: ids.RoutesVersion, document: bytes
) -> messages.RoutesChange:
    """Returns the log entry that puts a document in force.

    Args:
      version: of the document.
      base: the version that it builds on.
      document: the same bytes each time the operator sends it.
    """
    digest = hashlib.blake2b(
        b"%d %d " % (version, base) + document, digest_size=DIGEST_BYTES
    )
    return messages.RoutesChange(
        version=version,
        base=base,
        digest=digest.digest(),
        document=zlib.compress(document),
        accepted_ms=clock.unix_ms(),
    )


def decompress_document(change: messages.RoutesChange) -> bytes:
    """Returns the document as the operator sent it."""
    return zlib.decompress(change.document)


class RoutesPublisher:
    """Puts routes documents in force, and tells the newest.

    A control host that does not lead asks the leader: a redirect would need
    the operator to reach it, who may be cut off from just that host.
    """

    def __init__(
        self,
        machine: statemachine.ConfigStateMachine,
        group: Group,
        transport: "peers.Transport",
    ):
        self.machine = machine
        self.group = group
        self.transport = transport
        self.lock = asyncio.Lock()

    async def put(self, change: messages.RoutesChange) -> Outcome:
        """Returns what became of a checked document."""
        reply = await self.ask_leader(messages.RoutesPut(change=change))
        return reply.outcome

    async def fetch_newest(self) -> messages.RoutesChange | None:
        """Returns the document in force, None where that is not certain."""
        reply = await self.ask_leader(messages.RoutesFetch())
        return reply.current if reply.outcome is Outcome.ACCEPTED else None

    async def ask_leader(
        self, body: messages.RoutesPut | messages.RoutesFetch
    ) -> messages.RoutesReply:
        """Returns the leader's answer, this host's own where it leads."""
        if self.group.leading.is_set():
            return await self.handle_request(body)
        uncertain = messages.RoutesReply(outcome=Outcome.UNCERTAIN)
        if not self.group.leader_address:
            return uncertain
        address = options.parse_address(self.group.leader_address)
        try:
            reply = await self.transport.send_request(
                address, body, FORWARD_TIMEOUT_SECONDS
            )
        except (errors.PeerError, TimeoutError):
            return uncertain
        if not isinstance(reply, messages.RoutesReply):
            raise errors.PeerProtocolError("no answer about routes")
        return reply

    async def handle_request(
        self, body: messages.RoutesPut | messages.RoutesFetch
    ) -> messages.RoutesReply:
        """Answers as the leader, also another control host."""
        try:
            match body:
                case messages.RoutesPut():
                    outcome = await self.accept(body.change)
                    return messages.RoutesReply(outcome=outcome)
                case messages.RoutesFetch():
                    await self.group.confirm_leadership()
                    return messages.RoutesReply(
                        outcome=Outcome.ACCEPTED, current=self.machine.routes
                    )
        except (errors.NotLeaderError, errors.LeadershipLostError):
            return messages.RoutesReply(outcome=Outcome.UNCERTAIN)

    async def accept(self, change: messages.RoutesChange) -> Outcome:
        """Puts a document in force, or says that another is.

        Raises:
          errors.NotLeaderError: nothing was changed.
          errors.UncertainError: it may yet take effect; sent again, it gets
            its true answer.
        """
        async with self.lock:
            await self.group.confirm_leadership()
            if self.machine.has_accepted(change):
                return Outcome.ACCEPTED
            current = self.machine.routes.version
            if change.base != current or change.version <= current:
                return Outcome.OUTDATED
            await self.group.propose(change)
        if self.machine.has_accepted(change):
            return Outcome.ACCEPTED
        return Outcome.OUTDATED
