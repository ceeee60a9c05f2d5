"""Exchange of quarantined requests between the nodes of a service."""

import asyncio
import collections.abc
import dataclasses
import typing

from mangobay import errors, ids, logs, options, quarantine
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

SEND_TIMEOUT_SECONDS = 2.0
"""A node that is told nothing within this time is told with the next change."""
TELL_TIMEOUT_SECONDS = 0.05
"""How long a reply is delayed until the other nodes know of an end.

A retry of the call leaves with the reply.  It takes one hop more than a notice,
but may find a connection open where the notice has to open one.
"""
RELEASE_DELAY_SECONDS = 0.5
"""How long released requests are collected, so that fewer notices are sent."""
MAX_PARALLEL_NOTICES = 64
MAX_ASKED_NODES = 3
"""Nodes that a node asks for what they know after its start."""

Views = collections.abc.Mapping[ids.ServiceName, messages.ServiceView]


@dataclasses.dataclass(slots=True)
class Batch:
    """Changes that are sent in one notice.

    Attributes:
      sent: done once every member has replied or failed to.
      suspects: the changes.
    """

    sent: asyncio.Future[None]
    suspects: list[messages.SuspectRequest] = dataclasses.field(
        default_factory=list
    )


class QuarantineExchange:
    """Tells the other nodes of a service, and merges what they know.

    Only they can send requests to its backend servers, so nobody else has to
    know.

    Attributes:
      host: this host, which is not told.
      transport: connections to other processes.
      quarantine: the state of this node.
      views: who serves what.
      served: the services of the backend server on this host.
      asked: the services whose members are asked for everything, or were and
        have replied.
      batches: changes not sent yet, by service and delay.
      tasks: the messages that are being sent.
    """

    def __init__(
        self,
        host: ids.HostId,
        transport: "peers.Transport",
        known: quarantine.Quarantine,
    ):
        self.host = host
        self.transport = transport
        self.quarantine = known
        self.views: Views = {}
        self.served: list[ids.ServiceName] = []
        self.asked: set[ids.ServiceName] = set()
        self.batches: dict[tuple[ids.ServiceName, float], Batch] = {}
        self.tasks: set[asyncio.Task] = set()
        self.sending = asyncio.Semaphore(MAX_PARALLEL_NOTICES)

    def update_views(self, views: Views) -> None:
        """Notes who serves what."""
        self.views = views
        for service in self.served:
            self.ask_others(service)

    def update_served(self, services: list[ids.ServiceName]) -> None:
        """Notes the services of the backend server on this host."""
        self.served = services
        for service in services:
            self.ask_others(service)

    def ask_others(self, service: ids.ServiceName) -> None:
        """Asks some other members for what they know, until one has replied.

        This process may have been restarted and have forgotten it.
        """
        members = self.other_members(service)
        if service in self.asked or not members:
            return
        self.asked.add(service)
        notice = messages.QuarantineNotice(all=True)
        tasks = [
            self.start(member, notice) for member in members[:MAX_ASKED_NODES]
        ]

        def ask_again_if_silent(task: asyncio.Task) -> None:
            del task
            if all(
                each.done() and (each.cancelled() or not each.result())
                for each in tasks
            ):
                self.asked.discard(service)

        for task in tasks:
            task.add_done_callback(ask_again_if_silent)

    def other_members(self, service: ids.ServiceName) -> list[messages.Member]:
        """Returns the members of a service without this host."""
        view = self.views.get(service)
        members = view.members if view is not None else ()
        return [member for member in members if member.host != self.host]

    async def tell(
        self, service: ids.ServiceName, suspect: messages.SuspectRequest
    ) -> None:
        """Tells the other members of a service, and waits briefly for them.

        All requests that were in progress when a backend server ended are told
        in one notice.
        """
        batch = self.add(service, suspect, 0.0)
        await asyncio.wait({batch.sent}, timeout=TELL_TIMEOUT_SECONDS)

    def tell_later(
        self, service: ids.ServiceName, suspect: messages.SuspectRequest
    ) -> None:
        """Tells the other members of a service within a short time."""
        self.add(service, suspect, RELEASE_DELAY_SECONDS)

    def add(
        self,
        service: ids.ServiceName,
        suspect: messages.SuspectRequest,
        delay: float,
    ) -> Batch:
        """Adds a change to the batch that is sent after a delay in seconds."""
        batch = self.batches.get((service, delay))
        if batch is None:
            loop = asyncio.get_running_loop()
            batch = self.batches[service, delay] = Batch(loop.create_future())
            loop.call_later(delay, self.flush, service, delay)
        batch.suspects.append(suspect)
        return batch

    def flush(self, service: ids.ServiceName, delay: float) -> None:
        """Sends a batch to the other members of its service."""
        batch = self.batches.pop((service, delay))
        notice = messages.QuarantineNotice(suspects=batch.suspects)
        tasks = {
            self.start(member, notice) for member in self.other_members(service)
        }
        if not tasks:
            batch.sent.set_result(None)
            return

        def finish(task: asyncio.Task) -> None:
            tasks.discard(task)
            if not tasks:
                batch.sent.set_result(None)

        for task in tuple(tasks):
            task.add_done_callback(finish)

    def start(
        self, member: messages.Member, notice: messages.QuarantineNotice
    ) -> asyncio.Task[bool]:
        """Starts to send a notice to a member; returns the task."""
        task = asyncio.create_task(self.send(member, notice))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send(
        self, member: messages.Member, notice: messages.QuarantineNotice
    ) -> bool:
        """Sends a notice to a member; returns whether it replied.

        What it knows beyond the notice is merged.
        """
        address = options.parse_address(member.peer_address)
        try:
            async with self.sending:
                reply = await self.transport.send_request(
                    address, notice, SEND_TIMEOUT_SECONDS
                )
        except (errors.PeerError, TimeoutError) as error:
            logs.log_event(
                logs.Component.CALL,
                "a member was not told of suspected requests",
                host=member.host,
                why=str(error) or type(error).__name__,
            )
            return False
        if not isinstance(reply, messages.QuarantineState):
            return False
        now = asyncio.get_running_loop().time()
        self.quarantine.merge(reply.suspects, now)
        return True

    def handle(
        self, notice: messages.QuarantineNotice
    ) -> messages.QuarantineState:
        """Merges a notice; returns what this node knows beyond it."""
        now = asyncio.get_running_loop().time()
        self.quarantine.merge(notice.suspects, now)
        if notice.all:
            known = [*self.quarantine.suspects, *self.quarantine.quarantined]
            return messages.QuarantineState(
                suspects=self.quarantine.to_messages(known, now)
            )
        return messages.QuarantineState(
            suspects=[
                own
                for sent in notice.suspects
                for own in self.quarantine.to_messages([sent.digest], now)
                if own.tests > sent.tests
                or not set(own.end_ids) <= set(sent.end_ids)
            ]
        )

    async def close(self) -> None:
        """Stops sending."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
