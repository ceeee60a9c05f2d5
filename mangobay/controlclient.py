"""The node's client of the control group.

Renews the lease of the node, and receives the operation table, the views and
the routes document in reply.
"""

import asyncio
import dataclasses
import math
import random
import typing

from reactivex import subject

from mangobay import (
    clock,
    errors,
    ids,
    interests,
    invariants,
    leadersearch,
    lease,
    logs,
    operationtable,
    options,
    pendingrenewals,
    views,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import peers

INITIAL_BACKOFF_SECONDS = 0.02
"""Upper bound in seconds of the delay after the first failure."""

LEADER_BACKOFF_SECONDS = 0.1
"""Upper bound in seconds of the delay before a leader that was named is asked."""

MIN_RENEWAL_SECONDS = 0.02
"""Minimum time in seconds between two renewals, whatever the leader replies."""

LATE_GRANT_SECONDS = 2.0
"""Seconds between two grants above which the second one is logged."""

FETCH_TIMEOUT_FACTOR = 4
"""Timeout of fetching a service, as a multiple of the setting `patience`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """Identifies the node in its renewals: one run of a process on a host."""

    host: ids.HostId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    peer_address: options.Address


class ControlClient:
    """Keeps one renewal pending at the leader of the control group.

    The leader replies at once if something changed for this node, and after
    the renewal interval otherwise, so that changes need no other channel to
    the nodes.  While one control host is silent, others are asked as well: it
    may be slow, or gone.  The last table and views stay in use without a lease.

    Attributes:
      config: settings of the control group.
      identity: identifies this node.
      transport: sends the renewals.
      rng: chooses the first control host and the jitter of delays.
      lease: allows this node to act as the owner of idempotency keys.
      document_lease: how long the routes document may be used.
      tables: subject of the newest `operationtable.OperationTable`.
      views: subject of the newest `ServiceView` of each service, by name.
      draining: subject of whether an operator has requested to drain this
        host.
      routes: subject of the newest routes document; version 0 before the
        first.
      routes_unreadable: whether this node cannot read that document, so that
        an older one is in force here.
      search: chooses the control host to ask next.
      pending: renewals that wait for a reply.
      every_service: whether the node follows the views of all services.
      keyless: whether the node owns no idempotency keys and so needs no
        former views.
      had_lease: whether the lease was valid when this was last logged.
      granted_at: loop time of the last grant, infinity before the first.
      interests: services whose operations and view this node follows.
      consecutive_failures: control hosts asked in a row without a grant.
      change_event: set if the node has changes to report.
      reply_event: set for a moment after each granted renewal.
      announced_services: what the backend server on this host announced.
      is_leaving: whether this host accepts no new work.
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
        self.document_lease = lease.DocumentLease(
            config.max_staleness,
            max_refusal_staleness=config.max_refusal_staleness,
        )
        self.tables = subject.BehaviorSubject(operationtable.OperationTable())
        self.views = subject.BehaviorSubject({})
        self.draining = subject.BehaviorSubject(False)
        self.routes = subject.BehaviorSubject(messages.RoutesChange())
        self.routes_unreadable = False
        self.search = leadersearch.LeaderSearch(
            config.hosts, rng.choice(config.hosts), config.patience
        )
        self.pending = pendingrenewals.PendingRenewals()
        self.every_service = False
        self.keyless = False
        self.had_lease = False
        self.granted_at = math.inf
        self.interests = interests.Interests()
        self.consecutive_failures = 0
        self.change_event = asyncio.Event()
        self.reply_event = asyncio.Event()
        self.announced_services: list[messages.ServedService] = []
        self.is_leaving = False

    @property
    def addresses(self) -> list[options.Address]:
        """Addresses of all control hosts."""
        return self.search.hosts

    @property
    def current_address(self) -> options.Address:
        """The leader's address, any control host's if it is unknown."""
        return self.search.leader or self.search.hosts[0]

    @property
    def serves(self) -> list[messages.ServedService]:
        """Services that the backend server on this host announced."""
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
        """Whether this host accepts no new work."""
        return self.is_leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        if leaving == self.is_leaving:
            return
        self.is_leaving = leaving
        self.change_event.set()

    async def fetch_service(self, service: ids.ServiceName) -> None:
        """Waits until the table and views include a service.

        Also returns if the control group does not know the service.

        Raises:
          errors.ControlUnavailableError: no control host replied in time, so
            it is not known whether the service exists.
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
        try:
            while True:
                await self.renew_once()
        finally:
            self.pending.cancel_all()

    async def renew_once(self) -> bool:
        """Asks one control host, and returns when the next one may be asked.

        Returns:
          Whether a host granted, or the node has new changes to report.
        """
        asked_at = clock.now()
        host = self.search.next_host(self.pending.busy_hosts())
        ask_next_at = asked_at + self.config.patience
        if host is not None:
            ask_next_at += self.ask(host)
        renewed = await self.pending.wait(host, ask_next_at)
        self.log_lease_change()
        if renewed:
            self.consecutive_failures = 0
        else:
            self.consecutive_failures += 1
            renewed = await self.back_off(host)
        if renewed:
            await asyncio.sleep(asked_at + MIN_RENEWAL_SECONDS - clock.now())
        return renewed

    async def back_off(self, host: options.Address | None) -> bool:
        """Waits after a host that did not grant, unless it was waited for.

        Hosts that were asked before may reply meanwhile.

        Returns:
          Whether one of them granted.
        """
        if host is None:
            return False
        if host in self.pending:
            self.search.record_silence(host)
            return False
        return await self.pending.wait(
            None, clock.now() + self.backoff_seconds()
        )

    def ask(self, host: options.Address) -> float:
        """Sends a renewal; returns how long the host may hold it, seconds."""
        if host in self.pending:
            self.pending.cancel(host)
            self.search.record_timeout(host)
        renewal = self.make_renewal()
        hold_seconds = renewal.hold_ms / 1000
        self.search.record_asked(host)
        self.pending.add(
            host,
            self.renew_at(host, renewal),
            hold_seconds + self.search.reply_timeout(host),
        )
        return hold_seconds

    def log_lease_change(self) -> None:
        """Logs when the lease was lost or regained."""
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

    def log_failed_renewal(
        self, host: options.Address, sent_at: float, reason: str, **facts: str
    ) -> None:
        """Logs a renewal without a grant, and which control host was asked."""
        logs.log_event(
            logs.Component.LEASE,
            "renewal failed",
            control=str(host),
            why=reason,
            waited_ms=int((clock.now() - sent_at) * 1000),
            **facts,
        )

    def log_late_grant(self) -> None:
        """Logs a grant that came late, since changes were not known until it.

        The lease need not have ended meanwhile.
        """
        now = clock.now()
        gap_seconds = now - self.granted_at
        self.granted_at = now
        if gap_seconds > LATE_GRANT_SECONDS:
            logs.log_event(
                logs.Component.LEASE,
                "granted late",
                control=str(self.current_address),
                gap_ms=int(gap_seconds * 1000),
                failures=self.consecutive_failures,
            )

    def backoff_seconds(self) -> float:
        """Returns the seconds to wait after a refusal, with full jitter.

        Without jitter all nodes would send a renewal at once to a control host
        that has recovered.  The delay never exceeds the reply timeout: a node
        without routes refuses its callers until its next renewal.
        """
        max_seconds = INITIAL_BACKOFF_SECONDS * 2 ** min(
            self.consecutive_failures, 16
        )
        max_seconds = min(max_seconds, self.config.patience)
        if self.search.leader is not None:
            max_seconds = min(max_seconds, LEADER_BACKOFF_SECONDS)
        return self.rng.uniform(0, max_seconds)

    async def renew_at(
        self, host: options.Address, renewal: messages.LeaseRenew
    ) -> bool:
        """Sends a renewal to a control host and applies its reply.

        Returns:
          Whether it was granted, or the node has new changes to report.
        """
        sent_at = clock.now()
        sent_boot_time = self.document_lease.read_boot_time()
        try:
            reply = await self.send_renewal(host, renewal)
            if reply is None:
                return True
            self.search.record_reply(
                host, clock.now() - sent_at - renewal.hold_ms / 1000
            )
            if not self.process_reply(host, renewal, sent_at, reply):
                return False
            if not self.routes_unreadable:
                self.document_lease.confirm(
                    sent_boot_time + reply.held_ms / 1000
                )
            return True
        except TimeoutError:
            self.log_failed_renewal(host, sent_at, "timed out")
            self.search.record_timeout(host)
            return False
        except errors.PeerBrokenError as error:
            self.log_failed_renewal(host, sent_at, str(error))
            self.search.record_broken_connection(host)
            return False
        except errors.PeerError as error:
            self.log_failed_renewal(host, sent_at, str(error))
            self.search.record_silence(host)
            return False
        except errors.MangobayError as error:
            logs.log_event(
                logs.Component.LEASE, "grant rejected", why=str(error)
            )
            self.search.record_silence(host)
            return False
        except Exception as error:  # noqa: BLE001
            # Without renewals the node would serve outdated routes for good.
            self.log_failed_renewal(host, sent_at, repr(error))
            self.search.record_silence(host)
            return False

    async def send_renewal(
        self, host: options.Address, renewal: messages.LeaseRenew
    ) -> messages.EnvelopeBody | None:
        """Returns the reply, or None if the node has new changes to report.

        Changes cancel only a renewal that the leader may hold.  Otherwise an
        outside client that requests a new service name every millisecond would
        cancel every renewal before its reply, and the lease would expire.

        Raises:
          errors.PeerError: no reply can come.
          TimeoutError: no reply came in time.
        """
        timeout = renewal.hold_ms / 1000 + self.search.max_reply_timeout
        if not renewal.hold_ms:
            return await self.transport.send_request(host, renewal, timeout)
        request_task = asyncio.create_task(
            self.transport.send_request(host, renewal, timeout)
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
        """Returns the next renewal request."""
        self.drop_services(self.interests.drop_idle())
        new_interests = self.interests.new_interests()
        # If the next control host is unresponsive as well, a held renewal
        # would delay updates for longer.
        is_connected = (
            self.lease.is_valid()
            and not self.consecutive_failures
            and not self.pending
        )
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
            unreadable_routes=self.routes_unreadable,
        )

    def drop_services(self, services: set[ids.ServiceName]) -> None:
        """Removes operations and views of services no longer followed."""
        # Left in the table they would become outdated, and the next call to
        # the service would use operations that a later revision replaced.
        if not services:
            return
        self.tables.on_next(self.tables.value.without_services(services))
        views = self.views.value.items()
        self.views.on_next(
            {name: view for name, view in views if name not in services}
        )

    def make_view_ack(self, view: messages.ServiceView) -> messages.ViewAck:
        """Returns the acknowledgement of a view that this node uses."""
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
        host: options.Address,
        renewal: messages.LeaseRenew,
        sent_at: float,
        reply: messages.EnvelopeBody,
    ) -> bool:
        """Applies the reply to a renewal.

        Args:
          host: the control host that replied.
          renewal: the renewal.
          sent_at: loop time just before the renewal was sent.
          reply: the reply.

        Returns:
          Whether the lease was extended.

        Raises:
          errors.PeerProtocolError: the reply is not a LeaseGrant.
        """
        match reply:
            case messages.LeaseGrant(granted=True) as grant:
                pass
            case messages.LeaseGrant() as refusal:
                self.log_failed_renewal(
                    host, sent_at, "refused", leader=refusal.leader_address
                )
                self.search.record_refusal(
                    host,
                    refusal.term,
                    parse_leader_address(refusal.leader_address),
                )
                return False
            case _:
                raise errors.PeerProtocolError(
                    "the reply to a renewal is not a LeaseGrant"
                )
        # The control host lags behind a revision that this node has, so a
        # quorum cannot have confirmed its grant.
        if grant.table.revision < self.tables.value.revision:
            logs.log_event(
                logs.Component.LEASE,
                "control host lags, its grant is not taken",
                leader=grant.leader,
                revision=grant.table.revision,
            )
            self.search.record_silence(host)
            return False
        self.search.record_grant(host, grant.term)
        self.apply_table_update(grant.table)
        self.apply_views(grant.views, grant.view_steps)
        self.update_interests(renewal, grant)
        self.apply_routes(grant.routes)
        self.update_addresses(grant.control_addresses)
        self.lease.extend(sent_at, grant.ttl_ms / 1000)
        self.log_late_grant()
        if grant.drain != self.draining.value:
            self.draining.on_next(grant.drain)
        return True

    def apply_table_update(self, update: messages.TableUpdate) -> None:
        """Replaces the table by one of a newer revision."""
        current = self.tables.value
        current_revision = current.revision
        if update.revision == current.revision:
            if not update.changed:
                return
            # For a new interest, the update has operations of the current
            # revision, which `updated` would ignore.
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
        """Puts a newer routes document in force; ignores an older one.

        Otherwise a delayed reply that arrives after a later one would restore
        routes that have been removed.
        """
        if change.version > self.routes.value.version:
            self.routes.on_next(change)

    def update_addresses(self, addresses: list[str]) -> None:
        """Updates the list of control hosts.

        The hosts of the settings stay in the list: if all voters are replaced
        while this node is disconnected, only those can be reached.
        """
        if not addresses:
            return
        voters = [options.parse_address(text) for text in addresses]
        configured = [host for host in self.config.hosts if host not in voters]
        self.search.update_hosts([*voters, *configured])

    def apply_views(
        self,
        full_views: list[messages.ServiceView],
        steps: list[messages.ViewSteps],
    ) -> None:
        """Replaces views by newer ones, and never by older ones.

        Args:
          full_views: complete views.
          steps: views as differences from earlier versions.
        """
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
        """Records which services exist, and wakes waiters of fetch_service."""
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


def parse_leader_address(text: str) -> options.Address | None:
    """Returns the address in a refusal, None if it names no leader."""
    try:
        return options.parse_address(text)
    except ValueError:
        return None
