"""Publishing and fetching of routes documents at any control host."""

import asyncio
import collections.abc
import hashlib
import typing
import zlib

from mangobay import clock, errors, ids, leases, options, statemachine
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

Outcome = messages.RoutesOutcome

FORWARD_TIMEOUT_SECONDS = 0.8
"""Timeout for the leader's reply.

Operators turn to another control host after 1 s.
"""
DIGEST_BYTES = 16
"""Bytes of the digest of a routes document."""


class Group(leases.Group, typing.Protocol):
    """The part of `consensus.Group` that the publisher uses."""


def make_routes_change(
    version: ids.RoutesVersion,
    base: ids.RoutesVersion,
    document: bytes,
    credentials: bytes = b"",
    quotas: collections.abc.Sequence[messages.WorkspaceQuota] = (),
) -> messages.RoutesChange:
    """Returns the log entry that puts a document in force.

    Args:
      version: version of the document.
      base: the version that it replaces.
      document: the encoded document, with digests in place of keys; the same
        bytes for each resend.
      credentials: the encoded keys, which only control hosts get.
      quotas: the limits of the workspaces that have one.
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
        credentials=zlib.compress(credentials) if credentials else b"",
        quotas=list(quotas),
    )


def decompress_document(change: messages.RoutesChange) -> bytes:
    """Returns the document, with digests in place of keys."""
    return zlib.decompress(change.document)


def decompress_credentials(change: messages.RoutesChange) -> bytes:
    """Returns the encoded keys of a document, empty if it has none."""
    return zlib.decompress(change.credentials) if change.credentials else b""


class RoutesPublisher:
    """Puts routes documents in force, and returns the one in force.

    A control host that is not the leader forwards requests to the leader. A
    redirect would not work for an operator that cannot reach the leader.
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
        """Publishes a validated document and returns the outcome."""
        reply = await self.ask_leader(messages.RoutesPut(change=change))
        return reply.outcome

    async def fetch_newest(self) -> messages.RoutesChange | None:
        """Returns the document in force, None if no leader confirmed it."""
        reply = await self.ask_leader(messages.RoutesFetch())
        return reply.current if reply.outcome is Outcome.ACCEPTED else None

    async def ask_leader(
        self, body: messages.RoutesPut | messages.RoutesFetch
    ) -> messages.RoutesReply:
        """Handles a request here if this host leads, else at the leader."""
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
            raise errors.PeerProtocolError(
                "expected a RoutesReply to a routes request"
            )
        return reply

    async def handle_request(
        self, body: messages.RoutesPut | messages.RoutesFetch
    ) -> messages.RoutesReply:
        """Handles a request as the leader, also from another control host."""
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
        """Puts a document in force unless its base is outdated.

        Raises:
          errors.NotLeaderError: nothing was changed.
          errors.LeadershipLostError: the document may still be committed; sent
            again, it gets its actual outcome.
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
