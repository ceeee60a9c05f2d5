"""The node's side of the control group: lease, table and views."""

import asyncio
import dataclasses
import random
import typing

from reactivex import subject

from mangobay import (
    clock,
    errors,
    ids,
    interests,
    invariants,
    lease,
    logs,
    operationtable,
    options,
    views,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import peers

INITIAL_BACKOFF_SECONDS = 0.02
"""Seconds; upper bound of the first pause after a failure."""

MAX_TIMEOUT_DOUBLINGS = 3
"""Of `patience`: one for each renewal without an answer in time, one less for
each that got it well within."""

MIN_RENEWAL_SECONDS = 0.02
"""Seconds between two renewals, whatever the leader answers."""

FETCH_TIMEOUT_FACTOR = 4
"""A new interest waits for this many times `patience`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """Who renews: one run of the process on one host."""

    host: ids.HostId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    peer_address: options.Address


class ControlClient:
    """Keeps one renewal outstanding at the control group's leader.

    The leader answers at once when something changed for this node, and else
    after the renewal interval, so a change needs no other way to the nodes.
    Without a lease the last table and views stay.

    Attributes:
      lease: whether this node may act for its keys.
      tables: the newest `table.Table`.
      views: the newest `ServiceView` of each service, by name.
      draining: whether an operator asked this host to leave.
      routes: the newest routes document; version 0 before the first.
      addresses: control hosts that are asked in turn, the voters as last told.
      every_service: the views of all services are followed.
      keyless: no keys are owned here, so that former views are not needed.
      interests: services whose rows and view this node follows.
    """

    def __init__(
        self,
        config: settings.NodeControl,
        identity: NodeIdentity,
        transport: "peers.Transport",
        rng: random.Random,
    ):
        self.config = config
        self.identity = identity
        self.transport = transport
        self.rng = rng
        self.lease = lease.Lease()
        self.tables = subject.BehaviorSubject(operationtable.OperationTable())
        self.views = subject.BehaviorSubject({})
        self.draining = subject.BehaviorSubject(False)
        self.routes = subject.BehaviorSubject(messages.RoutesChange())
        self.addresses = list(config.hosts)
        self.every_service = False
        self.keyless = False
        self.had_lease = False
        self.interests = interests.Interests()
        self.current_address = rng.choice(config.hosts)
        self.consecutive_failures = 0
        self.timeout_doublings = 0
        self.change_event = asyncio.Event()
        self.reply_event = asyncio.Event()
        self.announced_services: list[messages.ServedService] = []
        self.is_leaving = False

    @property
    def serves(self) -> list[messages.ServedService]:
        """What the backend server on this host announced."""
        return self.announced_services

    @serves.setter
    def serves(self, served: list[messages.ServedService]) -> None:
        if served == self.announced_services:
            return
        self.announced_services = list(served)
        self.interests.add_served(item.name for item in served)
        self.change_event.set()

    @property
    def leaving(self) -> bool:
        """Whether this host takes no new work any more."""
        return self.is_leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        if leaving == self.is_leaving:
            return
        self.is_leaving = leaving
        self.change_event.set()

    async def fetch_service(self, service: ids.ServiceName) -> None:
        """Returns once table and views hold what control knows of a service.

        Raises:
          errors.ControlUnavailableError: no control host answered in time, so
            nothing may be said of the service.
        """
        if self.interests.is_resolved(service):
            return
        if service not in self.interests.wanted:
            self.interests.wanted.add(service)
            self.change_event.set()
        timeout = self.config.patience * FETCH_TIMEOUT_FACTOR
        try:
            async with asyncio.timeout(timeout):
                while not self.interests.is_resolved(service):
                    await self.reply_event.wait()
        except TimeoutError:
            raise errors.ControlUnavailableError(
                f"no control host told of service {service} in {timeout:g} s"
            ) from None

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        while True:
            sent_at = clock.now()
            renewed = await self.renew_once()
            self.log_lease_change()
            if renewed:
                self.consecutive_failures = 0
                await asyncio.sleep(sent_at + MIN_RENEWAL_SECONDS - clock.now())
            else:
                self.consecutive_failures += 1
                await asyncio.sleep(self.backoff())

    def log_lease_change(self) -> None:
        """Logs when the control group went out of reach, or came back."""
        has_lease = self.lease.is_valid()
        if has_lease == self.had_lease:
            return
        self.had_lease = has_lease
        logs.log_event(
            logs.Component.LEASE,
            "regained" if has_lease else "lost",
            control=str(self.current_address),
            routes_version=self.routes.value.version,
            failures=self.consecutive_failures,
        )

    def backoff(self) -> float:
        """Returns the seconds to pause, with full jitter.

        A control host that comes back would otherwise meet all nodes at once.
        Never longer than an answer is waited for: callers that meet a node
        without routes are refused until it has asked again.
        """
        max_seconds = INITIAL_BACKOFF_SECONDS * 2 ** min(
            self.consecutive_failures, 16
        )
        max_seconds = min(max_seconds, self.config.patience)
        return self.rng.uniform(0, max_seconds)

    def reply_timeout(self) -> float:
        """Returns the seconds to wait for an answer that is not held.

        After everything restarted at once, a leader answers each renewal too
        late: given up and sent again, every one would cost it the work and
        none would be granted, for ever. Waiting longer each time lets the
        answers through, though part of each lease is spent when it arrives.
        """
        return self.config.patience * 2 ** min(
            self.timeout_doublings, MAX_TIMEOUT_DOUBLINGS
        )

    def record_reply_time(self, seconds: float) -> None:
        """Lowers the patience again after an answer well within it."""
        if seconds < self.reply_timeout() / 4:
            self.timeout_doublings = max(self.timeout_doublings - 1, 0)

    async def renew_once(self) -> bool:
        """Asks one control host once.

        Returns:
          whether the next renewal may follow without a pause.
        """
        renewal = self.make_renewal()
        sent_at = clock.now()
        try:
            reply = await self.send_renewal(renewal)
            self.record_reply_time(
                clock.now() - sent_at - renewal.hold_ms / 1000
            )
            if reply is None:
                return True
            return self.process_reply(renewal, sent_at, reply)
        except (errors.PeerError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                self.timeout_doublings += 1
            self.switch_to_next()
            return False
        except errors.MangobayError as error:
            logs.log_event(
                logs.Component.LEASE, "grant not taken", why=str(error)
            )
            self.switch_to_next()
            return False

    async def send_renewal(
        self, renewal: messages.LeaseRenew
    ) -> messages.EnvelopeBody | None:
        """Returns the answer, or None when the node has something to say.

        Only a renewal that the leader may hold is given up for that: an
        outsider who asks for a new name every millisecond would otherwise
        keep every renewal from being answered, and the lease would end.

        Raises:
          errors.PeerError: no answer came.
          TimeoutError: none came in time.
        """
        timeout = renewal.hold_ms / 1000 + self.reply_timeout()
        if not renewal.hold_ms:
            return await self.transport.send_request(
                self.current_address, renewal, timeout
            )
        request_task = asyncio.create_task(
            self.transport.send_request(self.current_address, renewal, timeout)
        )
        change_task = asyncio.create_task(self.change_event.wait())
        try:
            await asyncio.wait(
                {request_task, change_task}, return_when=asyncio.FIRST_COMPLETED
            )
            return request_task.result() if request_task.done() else None
        finally:
            change_task.cancel()
            request_task.cancel()

    def make_renewal(self) -> messages.LeaseRenew:
        """Returns what this node reports and asks."""
        self.drop_services(self.interests.drop_idle())
        new_interests = self.interests.new_interests()
        # Held by a host that is silent too, it would delay news for longer.
        is_connected = self.lease.is_valid() and not self.consecutive_failures
        may_hold = (
            is_connected
            and not new_interests
            and not self.change_event.is_set()
        )
        self.change_event.clear()
        hold_seconds = self.config.renew_interval if may_hold else 0
        return messages.LeaseRenew(
            host=self.identity.host,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            peer_address=str(self.identity.peer_address),
            serves=self.announced_services,
            leaving=self.is_leaving,
            revision=self.tables.value.revision,
            interests=sorted(self.interests.known.union(new_interests)),
            new_interests=new_interests,
            hold_ms=int(hold_seconds * 1000),
            views=[
                self.make_view_ack(view) for view in self.views.value.values()
            ],
            routes=self.routes.value.version,
            every_service=self.every_service,
            keyless=self.keyless,
        )

    def drop_services(self, services: set[ids.ServiceName]) -> None:
        """Forgets rows and views of services that are not followed."""
        # Left in the table they would age unseen, and the first call after
        # a long time would go by rows that a later revision replaced.
        if not services:
            return
        self.tables.on_next(self.tables.value.without_services(services))
        views = self.views.value.items()
        self.views.on_next(
            {name: view for name, view in views if name not in services}
        )

    def make_view_ack(self, view: messages.ServiceView) -> messages.ViewAck:
        """Returns what this node says of a view that it acts by."""
        identity = self.identity
        member = not self.keyless and any(
            item.host == identity.host
            and item.incarnation == identity.incarnation
            for item in view.members
        )
        return messages.ViewAck(
            service=view.service,
            version=view.version,
            active=view.active,
            member=member,
        )

    def process_reply(
        self,
        renewal: messages.LeaseRenew,
        sent_at: float,
        reply: messages.EnvelopeBody,
    ) -> bool:
        """Takes in an answer; returns whether it granted a lease."""
        match reply:
            case messages.LeaseGrant(granted=True) as grant:
                pass
            case messages.LeaseGrant() as refusal:
                self.switch_to_leader(refusal)
                return False
            case _:
                raise errors.PeerProtocolError("no grant answers the renewal")
        # A control host that lags knows of a revision that this node has
        # left behind. Its grant cannot have been confirmed by a quorum.
        if grant.table.revision < renewal.revision:
            logs.log_event(
                logs.Component.LEASE,
                "control host lags, its grant is not taken",
                leader=grant.leader,
                revision=grant.table.revision,
            )
            self.switch_to_next()
            return False
        self.apply_table_update(grant.table)
        self.apply_views(grant.views, grant.view_steps)
        self.update_interests(renewal, grant)
        self.apply_routes(grant.routes)
        self.update_addresses(grant.control_addresses)
        self.lease.extend(sent_at, grant.ttl_ms / 1000)
        if grant.drain != self.draining.value:
            self.draining.on_next(grant.drain)
        return True

    def apply_table_update(self, update: messages.TableUpdate) -> None:
        """Swaps the table for one of a newer revision."""
        current = self.tables.value
        current_revision = current.revision
        if update.revision == current.revision:
            if not update.changed:
                return
            # A new interest brings rows of the revision that is in force
            # already, which `updated` would take for nothing new.
            update = dataclasses.replace(
                update, base=0, changed=[*current.operations(), *update.changed]
            )
            current = operationtable.OperationTable()
        new = current.updated(update)
        invariants.check(
            invariants.Invariant.REVISION_NEVER_DOWN,
            new.revision >= current_revision,
            f"table {current_revision} would be replaced by {new.revision}",
        )
        self.tables.on_next(new)

    def apply_routes(self, change: messages.RoutesChange) -> None:
        """Puts a newer routes document in force; never an older one.

        An answer that was under way while a later one arrived would else take
        the node back, and callers would meet routes that were dropped.
        """
        if change.version > self.routes.value.version:
            self.routes.on_next(change)

    def update_addresses(self, addresses: list[str]) -> None:
        """Notes which control hosts may be asked.

        Those of the settings stay in the list: after every voter was replaced
        while this node was cut off, they are the only way back.
        """
        if not addresses:
            return
        voters = [options.parse_address(text) for text in addresses]
        configured = [host for host in self.config.hosts if host not in voters]
        self.addresses = [*voters, *configured]

    def apply_views(
        self,
        full_views: list[messages.ServiceView],
        steps: list[messages.ViewSteps],
    ) -> None:
        """Swaps the views for newer ones; none goes back to an older."""
        merged = views.merge_views(
            self.views.value,
            full_views,
            steps,
            lambda view: self.make_view_ack(view).member,
        )
        if merged != self.views.value:
            self.views.on_next(merged)

    def update_interests(
        self, renewal: messages.LeaseRenew, grant: messages.LeaseGrant
    ) -> None:
        """Notes which services control told of; answers who waits for it."""
        known_services = {row.service for row in grant.table.changed}
        known_services.update(view.service for view in grant.views)
        known_services.update(steps.service for steps in grant.view_steps)
        known_services.update(item.name for item in renewal.serves)
        self.interests.resolve(
            [ids.ServiceName(name) for name in renewal.new_interests],
            known_services,
            self.config.renew_interval,
        )
        self.reply_event.set()
        self.reply_event.clear()

    def switch_to_leader(self, refusal: messages.LeaseGrant) -> None:
        """Asks the leader next that a control host named, or another host."""
        try:
            leader = options.parse_address(refusal.leader_address)
        except ValueError:
            self.switch_to_next()
            return
        if leader == self.current_address:
            self.switch_to_next()
            return
        self.current_address = leader

    def switch_to_next(self) -> None:
        """Asks the next control host of the settings next."""
        addresses = self.addresses
        position = (
            addresses.index(self.current_address)
            if self.current_address in addresses
            else -1
        )
        self.current_address = addresses[(position + 1) % len(addresses)]
