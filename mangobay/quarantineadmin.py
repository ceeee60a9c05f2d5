"""Lists and releases quarantined requests for operators, over all nodes."""

import asyncio
import collections.abc
import dataclasses
import typing

from mangobay import errors, ids, logs, options, requestdigest
from mangobay.generated import messages

ASK_TIMEOUT_SECONDS = 2.0
"""A node that does not reply within this time is named as not reached."""
MAX_PARALLEL_REQUESTS = 64

Views = collections.abc.Mapping[ids.ServiceName, messages.ServiceView]


class Transport(typing.Protocol):
    """Interface of `peers.PeerClient` that is needed here."""

    async def send_request(
        self,
        address: options.Address,
        body: messages.EnvelopeBody,
        timeout: float,
    ) -> messages.EnvelopeBody:
        """Sends a request to another process; returns its reply."""


@dataclasses.dataclass(slots=True)
class KnownRequest:
    """What the nodes of a service know of a suspected request.

    Attributes:
      end_ids: ends of backend servers under it, as all nodes together know.
      tests: tests since the last response.
      test_in_ms: milliseconds until the next test at the node that allows it
        last.
      nodes: number of nodes that know the request.
    """

    end_ids: set[str] = dataclasses.field(default_factory=set)
    tests: int = 0
    test_in_ms: int = 0
    nodes: int = 0

    def add(self, suspect: messages.SuspectRequest) -> None:
        """Adds what one node knows."""
        self.end_ids.update(suspect.end_ids)
        self.tests = max(self.tests, suspect.tests)
        self.test_in_ms = max(self.test_in_ms, suspect.test_in_ms)
        self.nodes += 1


@dataclasses.dataclass(slots=True)
class Replies:
    """Replies of the nodes of a service.

    Attributes:
      states: the states of the nodes that replied.
      unreached: the other nodes.
    """

    states: list[messages.QuarantineState]
    unreached: list[ids.HostId]


class QuarantineAdmin:
    """Asks the nodes of a service for quarantined requests, or releases one.

    A control host keeps no state of its own about them.  Any control host can
    do this, also without a leader, by the newest view that it has applied.

    Attributes:
      views: who serves what.
      transport: connections to other processes.
    """

    def __init__(
        self,
        views: collections.abc.Callable[[], Views],
        transport: Transport,
    ):
        self.views = views
        self.transport = transport
        self.sending = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

    async def list_requests(self, service: ids.ServiceName) -> dict:
        """Returns the JSON object of the suspected requests of a service.

        Raises:
          errors.NotFoundError: nobody ever served the service.
        """
        replies = await self.ask(service, messages.QuarantineNotice(all=True))
        known: dict[ids.RequestDigest, KnownRequest] = {}
        for state in replies.states:
            for suspect in state.suspects:
                known.setdefault(suspect.digest, KnownRequest()).add(suspect)
        return {
            "service": service,
            "requests": [
                {
                    "request": digest.hex(),
                    "ends": len(request.end_ids),
                    "tests": request.tests,
                    "test_in_ms": request.test_in_ms,
                    "nodes": request.nodes,
                }
                for digest, request in sorted(known.items())
            ],
            "asked": len(replies.states) + len(replies.unreached),
            "unreached": replies.unreached,
        }

    async def release(
        self, service: ids.ServiceName, digest: ids.RequestDigest, operator: str
    ) -> dict:
        """Makes the nodes of a service forget the ends under a request.

        Returns:
          The JSON object of the result; nodes that were not reached still
          refuse the request.

        Raises:
          errors.NotFoundError: nobody ever served the service.
        """
        released = messages.SuspectRequest(digest=digest, answered=True)
        replies = await self.ask(
            service, messages.QuarantineNotice(suspects=[released])
        )
        logs.log_event(
            logs.Component.OPERATOR,
            "request released",
            request=digest.hex(),
            service=service,
            operator=operator,
            nodes=len(replies.states),
            unreached=replies.unreached,
        )
        return {
            "service": service,
            "request": digest.hex(),
            "nodes": len(replies.states),
            "unreached": replies.unreached,
        }

    async def ask(
        self, service: ids.ServiceName, notice: messages.QuarantineNotice
    ) -> Replies:
        """Sends a notice to all nodes of a service and collects the replies.

        Raises:
          errors.NotFoundError: nobody ever served the service.
        """
        view = self.views().get(service)
        if view is None:
            raise errors.NotFoundError(f"no host ever served {service}")
        states = await asyncio.gather(
            *(self.ask_node(member, notice) for member in view.members)
        )
        replies = Replies([], [])
        for member, state in zip(view.members, states, strict=True):
            if state is None:
                replies.unreached.append(member.host)
            else:
                replies.states.append(state)
        return replies

    async def ask_node(
        self, member: messages.Member, notice: messages.QuarantineNotice
    ) -> messages.QuarantineState | None:
        """Sends a notice to a node; returns its reply, None without one."""
        address = options.parse_address(member.peer_address)
        try:
            async with self.sending:
                reply = await self.transport.send_request(
                    address, notice, ASK_TIMEOUT_SECONDS
                )
        except (errors.PeerError, TimeoutError) as error:
            logs.log_event(
                logs.Component.OPERATOR,
                "node not reached for quarantined requests",
                host=member.host,
                why=str(error) or type(error).__name__,
            )
            return None
        return reply if isinstance(reply, messages.QuarantineState) else None


def parse_digest(text: str) -> ids.RequestDigest:
    """Returns the digest of a request from its hexadecimal form.

    Raises:
      errors.BadRequestError: the text is no digest.
    """
    try:
        digest = bytes.fromhex(text)
    except ValueError:
        digest = b""
    if len(digest) != requestdigest.DIGEST_BYTES:
        raise errors.BadRequestError(
            f"{text[:64]!r} is not a request digest of"
            f" {2 * requestdigest.DIGEST_BYTES} hexadecimal digits"
        )
    return ids.RequestDigest(digest)
