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

FIRST_BACKOFF = 0.02
"""Seconds; upper bound of the first pause after a failure."""

MOST_DOUBLINGS = 3
"""Of `patience`: one for each renewal without an answer in time, one less for
each that got it well within."""

SHORTEST_ROUND = 0.02
"""Seconds between two renewals, whatever the leader answers."""

ANSWERS_AWAITED = 4
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
      hosts: control hosts that are asked in turn, the voters as last told.
      every_service: the views of all services are followed.
      keyless: no keys are owned here, so that former views are not needed.
      interests: services whose rows and view this node follows.
    """

    def __init__(
        self,
        config: settings.NodeControl,
        identity: NodeIdentity,
        transport: "peers.Transport",
        randomness: random.Random,
    ):
        self.config = config
        self.identity = identity
        self.transport = transport
        self.randomness = randomness
        self.lease = lease.Lease()
        self.tables = subject.BehaviorSubject(operationtable.OperationTable())
        self.views = subject.BehaviorSubject({})
        self.draining = subject.BehaviorSubject(False)
        self.routes = subject.BehaviorSubject(messages.RoutesChange())
        self.hosts = list(config.hosts)
        self.every_service = False
        self.keyless = False
        self.held = False
        self.interests = interests.Interests()
        self.address = randomness.choice(config.hosts)
        self.failures = 0
        self.timeouts = 0
        self.changed = asyncio.Event()
        self.answered = asyncio.Event()
        self.served: list[messages.ServedService] = []
        self.is_leaving = False

    @property
    def serves(self) -> list[messages.ServedService]:
        """What the backend server on this host announced."""
        return self.served

    @serves.setter
    def serves(self, served: list[messages.ServedService]) -> None:
        if served == self.served:
            return
        self.served = list(served)
        self.interests.add_served(item.name for item in served)
        self.changed.set()

    @property
    def leaving(self) -> bool:
        """Whether this host takes no new work any more."""
        return self.is_leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        if leaving == self.is_leaving:
            return
        self.is_leaving = leaving
        self.changed.set()

    async def interest(self, service: ids.ServiceName) -> None:
        """Returns once table and views hold what control knows of a service.

        Raises:
          errors.ControlUnavailableError: no control host answered in time, so
            nothing may be said of the service.
        """
        if self.interests.is_resolved(service):
            return
        if service not in self.interests.wanted:
            self.interests.wanted.add(service)
            self.changed.set()
        patience = self.config.patience * ANSWERS_AWAITED
        try:
            async with asyncio.timeout(patience):
                while not self.interests.is_resolved(service):
                    await self.answered.wait()
        except TimeoutError:
            raise errors.ControlUnavailableError(
                f"no control host told of service {service} in {patience:g} s"
            ) from None

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        while True:
            asked_at = clock.now()
            renewed = await self.renew_once()
            self.note_lease()
            if renewed:
                self.failures = 0
                await asyncio.sleep(asked_at + SHORTEST_ROUND - clock.now())
            else:
                self.failures += 1
                await asyncio.sleep(self.backoff())

    def note_lease(self) -> None:
        """Logs when the control group went out of reach, or came back."""
        held = self.lease.is_valid()
        if held == self.held:
            return
        self.held = held
        logs.say(
            logs.Part.LEASE,
            "regained" if held else "lost",
            control=str(self.address),
            routes_version=self.routes.value.version,
            failures=self.failures,
        )

    def backoff(self) -> float:
        """Returns the seconds to pause, with full jitter.

        A control host that comes back would otherwise meet all nodes at once.
        Never longer than an answer is waited for: callers that meet a node
        without routes are refused until it has asked again.
        """
        longest = FIRST_BACKOFF * 2 ** min(self.failures, 16)
        longest = min(longest, self.config.patience)
        return self.randomness.uniform(0, longest)

    def patience(self) -> float:
        """Returns the seconds to wait for an answer that is not held.

        After everything restarted at once, a leader answers each renewal too
        late: given up and sent again, every one would cost it the work and
        none would be granted, for ever. Waiting longer each time lets the
        answers through, though part of each lease is spent when it arrives.
        """
        return self.config.patience * 2 ** min(self.timeouts, MOST_DOUBLINGS)

    def note_answer(self, seconds: float) -> None:
        """Lowers the patience again after an answer well within it."""
        if seconds < self.patience() / 4:
            self.timeouts = max(self.timeouts - 1, 0)

    async def renew_once(self) -> bool:
        """Asks one control host once.

        Returns:
          whether the next renewal may follow without a pause.
        """
        renewal = self.renewal()
        asked_at = clock.now()
        try:
            answer = await self.ask(renewal)
            self.note_answer(clock.now() - asked_at - renewal.hold_ms / 1000)
            if answer is None:
                return True
            return self.take(renewal, asked_at, answer)
        except (errors.PeerError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                self.timeouts += 1
            self.try_next()
            return False
        except errors.MangobayError as error:
            logs.say(logs.Part.LEASE, "grant not taken", why=str(error))
            self.try_next()
            return False

    async def ask(
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
        timeout = renewal.hold_ms / 1000 + self.patience()
        if not renewal.hold_ms:
            return await self.transport.ask(self.address, renewal, timeout)
        asking = asyncio.create_task(
            self.transport.ask(self.address, renewal, timeout)
        )
        changing = asyncio.create_task(self.changed.wait())
        try:
            await asyncio.wait(
                {asking, changing}, return_when=asyncio.FIRST_COMPLETED
            )
            return asking.result() if asking.done() else None
        finally:
            changing.cancel()
            asking.cancel()

    def renewal(self) -> messages.LeaseRenew:
        """Returns what this node reports and asks."""
        self.drop(self.interests.drop_idle())
        new = self.interests.new_interests()
        # Held by a host that is silent too, it would delay news for longer.
        sure = self.lease.is_valid() and not self.failures
        wait = sure and not new and not self.changed.is_set()
        self.changed.clear()
        hold = self.config.renew_interval if wait else 0
        return messages.LeaseRenew(
            host=self.identity.host,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            peer_address=str(self.identity.peer_address),
            serves=self.served,
            leaving=self.is_leaving,
            revision=self.tables.value.revision,
            interests=sorted(self.interests.known.union(new)),
            new_interests=new,
            hold_ms=int(hold * 1000),
            views=[self.ack(view) for view in self.views.value.values()],
            routes=self.routes.value.version,
            every_service=self.every_service,
            keyless=self.keyless,
        )

    def drop(self, services: set[ids.ServiceName]) -> None:
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

    def ack(self, view: messages.ServiceView) -> messages.ViewAck:
        """Returns what this node says of a view that it acts by."""
        me = self.identity
        member = not self.keyless and any(
            item.host == me.host and item.incarnation == me.incarnation
            for item in view.members
        )
        return messages.ViewAck(
            service=view.service,
            version=view.version,
            active=view.active,
            member=member,
        )

    def take(
        self,
        renewal: messages.LeaseRenew,
        asked_at: float,
        answer: messages.EnvelopeBody,
    ) -> bool:
        """Takes in an answer; returns whether it granted a lease."""
        match answer:
            case messages.LeaseGrant(granted=True) as grant:
                pass
            case messages.LeaseGrant() as refusal:
                self.follow_leader(refusal)
                return False
            case _:
                raise errors.PeerProtocolError("no grant answers the renewal")
        # A control host that lags knows of a revision that this node has
        # left behind. Its grant cannot have been confirmed by a quorum.
        if grant.table.revision < renewal.revision:
            logs.say(
                logs.Part.LEASE,
                "control host lags, its grant is not taken",
                leader=grant.leader,
                revision=grant.table.revision,
            )
            self.try_next()
            return False
        self.take_table(grant.table)
        self.take_views(grant.views, grant.view_steps)
        self.take_interests(renewal, grant)
        self.take_routes(grant.routes)
        self.take_hosts(grant.control_addresses)
        self.lease.extend(asked_at, grant.ttl_ms / 1000)
        if grant.drain != self.draining.value:
            self.draining.on_next(grant.drain)
        return True

    def take_table(self, update: messages.TableUpdate) -> None:
        """Swaps the table for one of a newer revision."""
        old = self.tables.value
        revision = old.revision
        if update.revision == old.revision:
            if not update.changed:
                return
            # A new interest brings rows of the revision that is in force
            # already, which `updated` would take for nothing new.
            update = dataclasses.replace(
                update, base=0, changed=[*old.operations(), *update.changed]
            )
            old = operationtable.OperationTable()
        new = old.updated(update)
        invariants.check(
            invariants.Promise.REVISION_NEVER_DOWN,
            new.revision >= revision,
            f"table {revision} would be replaced by {new.revision}",
        )
        self.tables.on_next(new)

    def take_routes(self, change: messages.RoutesChange) -> None:
        """Puts a newer routes document in force; never an older one.

        An answer that was under way while a later one arrived would else take
        the node back, and callers would meet routes that were dropped.
        """
        if change.version > self.routes.value.version:
            self.routes.on_next(change)

    def take_hosts(self, addresses: list[str]) -> None:
        """Notes which control hosts may be asked.

        Those of the settings stay in the list: after every voter was replaced
        while this node was cut off, they are the only way back.
        """
        if not addresses:
            return
        told = [options.parse_address(text) for text in addresses]
        known = [host for host in self.config.hosts if host not in told]
        self.hosts = [*told, *known]

    def take_views(
        self,
        whole: list[messages.ServiceView],
        steps: list[messages.ViewSteps],
    ) -> None:
        """Swaps the views for newer ones; none goes back to an older."""
        merged = views.merge_views(
            self.views.value, whole, steps, lambda view: self.ack(view).member
        )
        if merged != self.views.value:
            self.views.on_next(merged)

    def take_interests(
        self, renewal: messages.LeaseRenew, grant: messages.LeaseGrant
    ) -> None:
        """Notes which services control told of; answers who waits for it."""
        told = {row.service for row in grant.table.changed}
        told.update(view.service for view in grant.views)
        told.update(steps.service for steps in grant.view_steps)
        told.update(item.name for item in renewal.serves)
        self.interests.resolve(
            [ids.ServiceName(name) for name in renewal.new_interests],
            told,
            self.config.renew_interval,
        )
        self.answered.set()
        self.answered.clear()

    def follow_leader(self, refusal: messages.LeaseGrant) -> None:
        """Asks the leader next that a control host named, or another host."""
        try:
            leader = options.parse_address(refusal.leader_address)
        except ValueError:
            self.try_next()
            return
        if leader == self.address:
            self.try_next()
            return
        self.address = leader

    def try_next(self) -> None:
        """Asks the next control host of the settings next."""
        hosts = self.hosts
        position = hosts.index(self.address) if self.address in hosts else -1
        self.address = hosts[(position + 1) % len(hosts)]
