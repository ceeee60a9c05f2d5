"""The leader's side of node leases: grants, updates and expiry."""

import asyncio
import collections
import typing

from mangobay import (
    clock,
    coalescing,
    errors,
    flapping,
    ids,
    inforce,
    leaseexpiry,
    logs,
    notifier,
    renewals,
    statemachine,
    viewactivity,
    views,
)
from mangobay.generated import messages

HOLD_DIVISOR = 4
"""A renewal waits for changes for at most ttl divided by this.

The node counts ttl from when it sent the renewal, and most of it must be left
when the grant arrives.
"""

CHECKS_PER_MARGIN = 4
"""Checks for expired leases in the time of the margin."""
MAX_CHECK_INTERVAL = 0.25
"""Seconds between checks for expired leases."""

MAX_REPLACED_PROCESSES = 4096
"""Replaced processes remembered."""


class Group(typing.Protocol):
    """The part of `consensus.Group` that leases use.

    Attributes:
      leading: set while this host considers itself the leader.
      term: the newest term that this host knows.
      leader: the leader of the term, empty if unknown.
      leader_address: the leader's peer address, empty if unknown.
    """

    leading: asyncio.Event
    term: ids.Term
    leader: ids.HostId
    leader_address: str

    async def propose(self, body: messages.LogEntryBody) -> messages.LogEntry:
        """Returns the entry once it is committed and applied."""
        ...

    def voter_addresses(self) -> list[str]:
        """Returns the peer addresses of the voters."""
        ...

    async def confirm_leadership(self) -> None:
        """Waits until a quorum has confirmed that this host leads."""
        ...


class LeaseTable:
    """Grants leases to nodes while this host leads; keeps state in memory.

    Attributes:
      machine: the replicated state machine.
      group: consensus group that replicates changes of the machine.
      ttl: seconds that a lease lasts from when the node sent the renewal.
      check_interval: seconds between checks for expired leases.
      margin: seconds that the leader waits beyond ttl before a lease expires.
      term: the term of the state below; None if this host does not lead.
      lease_expiry: when each process was last granted a lease.
      view_activity: which views are active.
      revision_reports: the revision that each host reported in this term.
      unreadable_routes: hosts that reported in this term that they cannot read
        the newest routes.
      replaced_processes: processes whose host has since started another one,
        oldest first.
      notifier: wakes waiting renewals.
      flap_damper: holds the joins of hosts that join and leave repeatedly.
    """

    def __init__(
        self,
        machine: statemachine.ConfigStateMachine,
        group: Group,
        ttl: float,
        margin: float,
    ):
        self.machine = machine
        self.group = group
        self.ttl = ttl
        self.check_interval = min(
            margin / CHECKS_PER_MARGIN, MAX_CHECK_INTERVAL
        )
        self.margin = margin
        self.term: ids.Term | None = None
        self.lease_expiry = leaseexpiry.LeaseExpiry(ttl + margin)
        self.view_activity = viewactivity.ViewActivity()
        self.revision_reports = inforce.RevisionReports(machine)
        self.unreadable_routes: set[ids.HostId] = set()
        self.replaced_processes: collections.OrderedDict[
            viewactivity.ProcessId, None
        ] = collections.OrderedDict()
        self.notifier = notifier.ChangeNotifier()
        self.flap_damper = flapping.FlapDamper()
        machine.change_listeners.append(self.on_state_change)

    async def renew(self, renewal: messages.LeaseRenew) -> messages.LeaseGrant:
        """Replies to a renewal once there is a change or its time is up."""
        if not self.check_leadership():
            return self.make_refusal()
        if self.is_replaced(renewal):
            return self.make_refusal()
        term = self.term
        arrived_at = clock.now()
        try:
            await self.record_renewal(renewal)
            await self.wait_for_update(renewal)
            held_seconds = clock.now() - arrived_at
            # A leader in a network partition may not know that another was
            # elected. Its grants would let a node act beside the owner that
            # the new leader appoints. A quorum that confirms this leader after
            # the renewal arrived rules out a newer one.
            await self.group.confirm_leadership()
        except (errors.NotLeaderError, errors.LeadershipLostError):
            return self.make_refusal()
        record = self.machine.members.get(renewal.host)
        if (
            self.group.term != term
            or record is None
            or not statemachine.is_same_process(record, renewal)
        ):
            return self.make_refusal()
        self.lease_expiry.record_grant(
            viewactivity.process_id_of(renewal), clock.now()
        )
        grant = self.make_grant(renewal)
        grant.held_ms = int(held_seconds * 1000)
        return grant

    def is_replaced(self, renewal: messages.LeaseRenew) -> bool:
        """Returns whether the host of a process runs another one.

        Not once that one's lease has ended: renewals may arrive in another
        order than the processes ran, so that the dead one seemed to be the
        newer one.
        """
        process = viewactivity.process_id_of(renewal)
        if process not in self.replaced_processes:
            return False
        if renewal.host in self.machine.members:
            return True
        del self.replaced_processes[process]
        return False

    def check_leadership(self) -> bool:
        """Resets the state in a new term; returns whether this host leads."""
        if not self.group.leading.is_set():
            self.term = None
            return False
        if self.term != self.group.term:
            self.term = self.group.term
            self.reset()
        return True

    def reset(self) -> None:
        """Discards what is known of the nodes' leases and views.

        The former leader may have granted leases until this term began, so no
        lease expires before ttl and margin have passed from now.
        """
        newest_views = self.machine.views.values()
        processes = {viewactivity.UNKNOWN_PROCESS}
        for record in self.machine.members.values():
            processes.add(viewactivity.process_id_of(record.member))
        for view in newest_views:
            processes.update(
                viewactivity.process_id_of(m)
                for m in views.former_members(view)
            )
        self.lease_expiry.reset(sorted(processes), clock.now())
        self.revision_reports.revisions_by_host.clear()
        self.unreadable_routes.clear()
        self.view_activity = viewactivity.ViewActivity()
        for view in newest_views:
            self.track_view(view)

    def track_view(self, view: messages.ServiceView) -> None:
        """Adds a view to the view activity of this term."""
        if (
            view.service not in self.view_activity.newest_versions
            and view.formers
        ):
            # Views before the first one in this term may never have become
            # active. The replicated state does not hold which ones did.
            self.view_activity.require_ack(
                view.service, viewactivity.UNKNOWN_PROCESS, view.version
            )
        self.view_activity.track_view(view, self.lease_expiry)

    def on_state_change(self, change: statemachine.StateChange) -> None:
        """Handles a change of the state machine and wakes waiting renewals."""
        if self.term is None:
            return
        if change.restored:
            self.reset()
        for service in change.services:
            if service in self.machine.views:
                self.track_view(self.machine.views[service])
        self.notifier.notify(change)

    def notify_active(self, services: set[ids.ServiceName]) -> None:
        """Wakes the renewals that wait for views to become active."""
        self.notifier.notify(
            statemachine.StateChange(services=frozenset(services))
        )

    async def record_renewal(self, renewal: messages.LeaseRenew) -> None:
        """Records what the node reports and proposes any change of its record.

        Raises:
          errors.NotLeaderError: this host is not the leader any more.
          errors.LeadershipLostError: it lost leadership before the commit.
        """
        process = viewactivity.process_id_of(renewal)
        self.revision_reports.revisions_by_host[renewal.host] = renewal.revision
        self.record_readability(renewal)
        activated = {
            ack.service
            for ack in renewal.views
            if self.view_activity.record_ack(process, ack)
        }
        self.notify_active(activated)
        change = renewals.make_member_change(renewal)
        record = self.machine.members.get(renewal.host)
        joined = renewals.newly_served(record, change)
        if joined and self.flap_damper.is_join_held(renewal.host, clock.now()):
            change = renewals.without_services(change, joined)
            joined = set()
        if record is not None and statemachine.is_unchanged(record, change):
            return
        # Expiry is counted from here: a process that joins and dies before its
        # first grant would otherwise stay a member forever.
        self.lease_expiry.record_grant(process, clock.now())
        if record is not None and not statemachine.is_same_process(
            record, renewal
        ):
            self.mark_replaced(viewactivity.process_id_of(record.member))
        await self.group.propose(change)
        if joined:
            self.flap_damper.record_join(renewal.host, clock.now())

    def record_readability(self, renewal: messages.LeaseRenew) -> None:
        """Records whether a node can read its newest routes; logs a change."""
        host = renewal.host
        if renewal.unreadable_routes == (host in self.unreadable_routes):
            return
        if renewal.unreadable_routes:
            self.unreadable_routes.add(host)
        else:
            self.unreadable_routes.discard(host)
        logs.log_event(
            logs.Component.CONTROL,
            "host cannot read the newest routes"
            if renewal.unreadable_routes
            else "host can read the newest routes again",
            host=host,
            routes_version=renewal.routes,
        )

    def mark_replaced(self, process: viewactivity.ProcessId) -> None:
        """Refuses further renewals of a process whose host started another.

        Two processes with the same host name, or a late renewal of a dead one,
        would otherwise replace each other again and again, each time with a
        log entry and new views.
        """
        logs.log_event(
            logs.Component.CONTROL,
            "host restarted with a new process",
            host=process.host,
        )
        self.replaced_processes[process] = None
        if len(self.replaced_processes) > MAX_REPLACED_PROCESSES:
            self.replaced_processes.popitem(last=False)

    async def wait_for_update(self, renewal: messages.LeaseRenew) -> None:
        """Waits until there is a change for the node or the time is up."""
        max_wait = min(renewal.hold_ms / 1000, self.ttl / HOLD_DIVISOR)
        if max_wait <= 0 or renewal.revision < self.machine.revision:
            return
        services = renewals.relevant_services(self.machine, renewal)
        deadline = clock.now() + max_wait
        with self.notifier.subscribe(renewal.host, services) as event:
            while clock.now() < deadline:
                if renewals.has_update(
                    self.machine, self.view_activity.active_services, renewal
                ):
                    # Nodes with keyed calls get changes at once: with an
                    # outdated view they would call a former owner.
                    if renewal.keyless:
                        await self.coalesce_changes(deadline)
                    return
                event.clear()
                try:
                    async with asyncio.timeout_at(deadline):
                        await event.wait()
                except TimeoutError:
                    return

    async def coalesce_changes(self, deadline: float) -> None:
        """Waits for further changes, so that one grant contains them all.

        Args:
          deadline: latest loop time at which the wait ends.
        """
        now = clock.now()
        delay = coalescing.delay_seconds(len(self.notifier.events_by_host))
        await asyncio.sleep(max(min(delay, deadline - now), 0))

    def make_grant(self, renewal: messages.LeaseRenew) -> messages.LeaseGrant:
        """Returns a lease and the changes that the node needs."""
        view_update = renewals.make_view_update(
            self.machine, self.view_activity.active_services, renewal
        )
        return messages.LeaseGrant(
            granted=True,
            ttl_ms=int(self.ttl * 1000),
            leader=self.group.leader,
            leader_address=self.group.leader_address,
            term=self.group.term,
            table=renewals.make_table_update(self.machine, renewal),
            views=view_update.full_views,
            view_steps=view_update.steps,
            drain=renewals.is_drain_requested(self.machine, renewal),
            routes=renewals.newer_routes(self.machine, renewal),
            control_addresses=self.group.voter_addresses(),
        )

    def make_refusal(self) -> messages.LeaseGrant:
        """Returns a reply without a lease that names the leader."""
        return messages.LeaseGrant(
            leader=self.group.leader,
            leader_address=self.group.leader_address,
            term=self.group.term,
        )

    async def run(self) -> None:
        """Checks for expired leases until cancelled."""
        while True:
            last_check_at = clock.now()
            await asyncio.sleep(self.check_interval)
            await self.check_expiry(last_check_at)

    async def check_expiry(self, last_check_at: float) -> None:
        """Checks once for expired leases.

        Args:
          last_check_at: loop time of the previous check.
        """
        if not self.check_leadership():
            return
        # After a pause of this process, renewals may be unread in its sockets,
        # and all leases would seem to have expired.
        if clock.now() - last_check_at > self.margin:
            self.reset()
        await self.remove_expired()

    async def remove_expired(self) -> None:
        """Removes the members whose lease has ended."""
        expired = self.lease_expiry.pop_expired(clock.now())
        changes = []
        for process in expired:
            self.notify_active(self.view_activity.record_lease_end(process))
            record = self.machine.members.get(process.host)
            if record and record.member.incarnation == process.incarnation:
                changes.append(
                    messages.MemberChange(
                        member=record.member,
                        gone=True,
                        accepted_ms=clock.unix_ms(),
                    )
                )
        results = await asyncio.gather(
            *(self.group.propose(change) for change in changes),
            return_exceptions=True,
        )
        for change, result in zip(changes, results, strict=True):
            if not isinstance(result, BaseException):
                self.revision_reports.revisions_by_host.pop(
                    change.member.host, None
                )
                self.unreadable_routes.discard(change.member.host)
                logs.log_event(
                    logs.Component.CONTROL,
                    "host removed, its lease expired",
                    host=change.member.host,
                )
                continue
            # Not committed. The next attempt is after another ttl and margin.
            process = viewactivity.process_id_of(change.member)
            if process not in self.lease_expiry:
                self.lease_expiry.record_grant(process, clock.now())
            logs.log_event(
                logs.Component.CONTROL,
                "removal of a host with an expired lease was not committed",
                host=change.member.host,
                error=str(result),
            )

    def holds_lease(self, process: viewactivity.ProcessId) -> bool:
        """Returns whether the lease of the process may still be valid."""
        granted = self.lease_expiry.granted_at.get(process)
        return granted is not None and clock.now() < granted + self.ttl
