"""A control host: the components of `mangobay-control`."""

import asyncio
import functools
import random
import typing
import uuid

from mangobay import (
    connectionlimits,
    connections,
    consensus,
    disk,
    drainmanager,
    errors,
    ids,
    joining,
    leases,
    logs,
    operatorapi,
    peers,
    quarantineadmin,
    receivedbytes,
    routespublisher,
    statemachine,
    stepdown,
    storage,
    tls,
)
from mangobay.generated import messages, settings

ROLE = tls.CONTROL_ROLE
MAX_DRAIN_SECONDS = 1.5
"""Longest time, in seconds, for which a stopping host finishes accepted calls.

These are the calls of operators and those that other control hosts forward.
"""

MIN_REFUSE_SECONDS = 0.3
"""Shortest time, in seconds, for refusing operators' calls while stopping.

Closing the connections at once would abort calls that are on their way.
"""


class OperatorListener(typing.Protocol):
    """The listener for operators, such as `operatorapi.OperatorApi`."""

    async def start(self) -> None:
        """Opens the socket."""

    async def drain(self, timeout: float) -> None:
        """Refuses new calls; aborts those that outlast the timeout."""

    async def close(self) -> None:
        """Closes the socket."""


class Control:
    """One control host, from its settings.

    Attributes:
      machine: the replicated state machine.
      group: the Raft group that replicates it.
      leases: the leases of nodes, while this host leads.
      peer_listener: for nodes and other control hosts.
      operator_listener: for operators.
      quarantine_admin: lists and releases quarantined requests.
      forwarded_calls: operators' calls forwarded by other control hosts.
    """

    def __init__(self, config: settings.Control):
        self.config = config
        receivedbytes.account.max_bytes = received_bytes_bound(config.limits)
        self.disk = disk.Disk(config.group.data)
        self.machine = statemachine.ConfigStateMachine()
        self.log = storage.Storage(self.disk)
        self.forwarded_calls = drainmanager.DrainManager()
        self.hello = messages.Hello(
            host=ids.HostId(config.host.name),
            data_centre=ids.DataCentre(config.host.data_centre),
            incarnation=ids.Incarnation(str(uuid.uuid4())),
            role=ROLE,
        )

    async def start(self) -> None:
        """Reads the data directory and opens the sockets.

        Raises:
          errors.StartError: a port is in use, or a file cannot be used.
          errors.StorageError: the data directory cannot be read or written.
        """
        config = self.config
        self.log.open()
        group_settings = joining.group_with_seeds(
            config.group, config.listen.peer
        )
        identity = tls.load_identity(config.tls)
        limits = connections.Limits(
            max_frame_bytes=config.limits.frame_bytes,
            max_connections=config.limits.connections,
        )
        self.peer_client = peers.PeerClient(
            self.hello, identity=identity, limits=limits
        )
        self.group = consensus.Group(
            group_settings,
            self.log,
            self.machine,
            self.peer_client,
            host=self.hello.host,
            address=config.listen.peer,
            rng=random.Random(),
        )
        self.leases = leases.LeaseTable(
            self.machine, self.group, config.lease.ttl, config.lease.margin
        )
        self.publisher = routespublisher.RoutesPublisher(
            self.machine, self.group, self.peer_client
        )
        self.quarantine_admin = quarantineadmin.QuarantineAdmin(
            lambda: self.machine.views, self.peer_client
        )
        self.operator_listener = self.make_operator_listener()
        self.peer_listener = peers.Listener(
            config.listen.peer,
            self.hello,
            self.handle_request,
            identity=identity,
            limits=limits,
        )
        await self.peer_listener.start()
        await self.operator_listener.start()

    def make_operator_listener(self) -> "OperatorListener":
        """Returns the listener for operators."""
        config = self.config
        return operatorapi.OperatorApi(
            config.listen.operator,
            self.group,
            self.machine,
            self.leases,
            config.limits.sheet_bytes,
            self.quarantine_admin,
            connectionlimits.Limits(
                config.limits.operator_connections,
                config.limits.header_timeout,
            ),
        )

    async def handle_request(
        self, hello: messages.Hello, body: messages.EnvelopeBody
    ) -> messages.EnvelopeBody:
        """Handles a request of a node or a control host.

        Raises:
          errors.PeerProtocolError: the peer may not send this request.
        """
        match body:
            case messages.LeaseRenew() if (
                body.host == hello.host
                and body.incarnation == hello.incarnation
            ):
                return await self.leases.renew(body)
            case (
                messages.VoteRequest()
                | messages.AppendRequest()
                | messages.SnapshotPut()
            ) if hello.role == ROLE:
                return await self.group.handle(body)
            case messages.GroupJoin() if hello.role == ROLE:
                return joining.handle_join(self.group, body)
            case messages.RoutesPut() | messages.RoutesFetch() if (
                hello.role == ROLE
            ):
                return await self.forwarded_calls.run(
                    functools.partial(self.publisher.handle_request, body)
                )
        raise errors.PeerProtocolError(
            f"{hello.role} {hello.host} may not send {type(body).__name__}"
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until `stop` is set; call `start` first.

        Raises:
          errors.StorageError: the disk failed; this host must neither vote nor
            append entries.
        """
        logs.log_event(logs.Component.CONTROL, "started", host=self.hello.host)
        tasks = [
            asyncio.create_task(self.group.run()),
            asyncio.create_task(self.leases.run()),
        ]
        if self.config.group.seeds:
            join_coroutine = joining.run(self.group, self.peer_client)
            tasks.append(asyncio.create_task(join_coroutine))
        stop_task = asyncio.create_task(stop.wait())
        try:
            done, _ = await asyncio.wait(
                {*tasks, stop_task}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            await self.drain()
            await stepdown.step_down_and_notify(self.group)
        finally:
            await self.operator_listener.drain(0)
            for task in (*tasks, stop_task):
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self.close()
            logs.log_event(
                logs.Component.CONTROL, "stopped", host=self.hello.host
            )

    async def drain(self) -> None:
        """Finishes the accepted operators' calls within MAX_DRAIN_SECONDS."""
        loop = asyncio.get_running_loop()
        drain_until = loop.time() + MAX_DRAIN_SECONDS
        await asyncio.gather(
            self.operator_listener.drain(MAX_DRAIN_SECONDS),
            asyncio.sleep(MIN_REFUSE_SECONDS),
        )
        await self.forwarded_calls.drain(max(drain_until - loop.time(), 0))

    async def close(self) -> None:
        """Closes the sockets and releases the data directory."""
        await self.operator_listener.close()
        await self.peer_listener.close()
        await self.peer_client.close()
        self.disk.close()


def received_bytes_bound(limits: settings.ControlLimits) -> int:
    """Returns the bound on received bytes; two of the longest fit into it."""
    longest = max(limits.frame_bytes, limits.sheet_bytes)
    return max(receivedbytes.DEFAULT_MAX_BYTES, 2 * longest)
