"""The leader's side of leases: grants, what is new, and who is gone."""

import asyncio
import collections
import typing

from mangobay import (
    activity,
    clock,
    errors,
    flapping,
    gathering,
    ids,
    inforce,
    logs,
    machine,
    news,
    renewals,
    silence,
    views,
)
from mangobay.generated import messages

HOLD_SHARE = 4
"""An answer is kept back for at most this part of ttl: the node counts ttl
from when it asked, and most of it must be left when the answer arrives."""

TICKS_A_MARGIN = 4
LONGEST_TICK = 0.25
"""Seconds between two looks for hosts that are gone."""

MOST_REPLACED = 4096
"""Replaced processes that are remembered."""


class Group(typing.Protocol):
    """What leases need of `consensus.Group`.

    Attributes:
      leading: set while this host leads as far as it knows.
      term: the newest term this host knows.
      leader: the leader of the term, empty when unknown.
      leader_address: its peer address, empty when unknown.
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
        """Returns once a quorum confirmed that this host leads."""
        ...


class LeaseTable:
    """Grants leases while this host leads; all of it is kept in memory.

    Attributes:
      machine: the replicated state.
      group: agrees on changes of it.
      ttl: seconds a lease lasts from when the node asked.
      term: the term that what is kept here belongs to.
      silence: when each process was last granted a lease.
      activity: which views are active.
      reports: the revision each host reported in this term.
      flapping: which hosts come and go too often.
      replaced: processes whose host has started another one since.
    """

    def __init__(
        self,
        config: machine.ConfigMachine,
        group: Group,
        ttl: float,
        margin: float,
    ):
        self.machine = config
        self.group = group
        self.ttl = ttl
        self.tick = min(margin / TICKS_A_MARGIN, LONGEST_TICK)
        self.margin = margin
        self.term: ids.Term | None = None
        self.silence = silence.Silence(ttl + margin)
        self.activity = activity.ViewActivity()
        self.reports = inforce.Reports(config)
        self.replaced: collections.OrderedDict[activity.Owner, None] = (
            collections.OrderedDict()
        )
        self.news = news.News()
        self.flapping = flapping.Flapping()
        config.watchers.append(self.follow)

    async def renew(self, renewal: messages.LeaseRenew) -> messages.LeaseGrant:
        """Answers a renewal, when there is something new or its time is up."""
        if not self.take_office():
            return self.refusal()
        if activity.owner_of(renewal) in self.replaced:
            return self.refusal()
        term = self.term
        try:
            await self.admit(renewal)
            await self.hold(renewal)
            # A leader behind a silent cut still believes that it leads. Its
            # grants would let a node act beside the owner that the other
            # side appoints; a quorum that answers after the renewal arrived
            # rules that other side out.
            await self.group.confirm_leadership()
        except (errors.NotLeaderError, errors.UncertainError):
            return self.refusal()
        record = self.machine.members.get(renewal.host)
        if (
            self.group.term != term
            or record is None
            or not machine.same_process(record, renewal)
        ):
            return self.refusal()
        self.silence.note(activity.owner_of(renewal), clock.now())
        return self.grant(renewal)

    def take_office(self) -> bool:
        """Starts over in a new term; returns whether this host leads."""
        if not self.group.leading.is_set():
            self.term = None
            return False
        if self.term != self.group.term:
            self.term = self.group.term
            self.start_over()
        return True

    def start_over(self) -> None:
        """Forgets what was seen of the nodes.

        The former leader may have granted leases until this term began, so
        nobody is gone before ttl and margin have passed from now.
        """
        newest = self.machine.views.values()
        owners = {activity.UNSEEN}
        for record in self.machine.members.values():
            owners.add(activity.owner_of(record.member))
        for view in newest:
            owners.update(
                activity.owner_of(m) for m in views.former_members(view)
            )
        self.silence.restart(sorted(owners), clock.now())
        self.reports.revisions.clear()
        self.activity = activity.ViewActivity()
        for view in newest:
            self.follow_view(view)

    def follow_view(self, view: messages.ServiceView) -> None:
        """Takes a view into the activity of this term."""
        if view.service not in self.activity.versions and view.formers:
            # The first view of a service in this term may follow on others
            # that never became active, of which the snapshot tells nothing.
            self.activity.wait_for(view.service, activity.UNSEEN, view.version)
        self.activity.follow(view, self.silence)

    def follow(self, changed: machine.Changed) -> None:
        """Watches the machine: wakes those whom a change concerns."""
        if self.term is None:
            return
        if changed.everything:
            self.start_over()
        for service in changed.services:
            if service in self.machine.views:
                self.follow_view(self.machine.views[service])
        self.news.publish(changed)

    def publish_active(self, services: set[ids.ServiceName]) -> None:
        """Wakes those who wait for a view to become active."""
        self.news.publish(machine.Changed(services=frozenset(services)))

    async def admit(self, renewal: messages.LeaseRenew) -> None:
        """Notes what the node reports; agrees on it where it is new.

        Raises:
          errors.NotLeaderError: this host does not lead any more.
          errors.UncertainError: it lost the lead over the agreement.
        """
        owner = activity.owner_of(renewal)
        self.reports.revisions[renewal.host] = renewal.revision
        active = {
            ack.service
            for ack in renewal.views
            if self.activity.acknowledge(owner, ack)
        }
        self.publish_active(active)
        change = renewals.change_of(renewal)
        record = self.machine.members.get(renewal.host)
        joins = renewals.joins(record, change)
        if joins and self.flapping.is_held(renewal.host, clock.now()):
            change = renewals.without(change, joins)
            joins = set()
        if record is not None and machine.matches(record, change):
            return
        # A process that announces itself and then dies before its first
        # grant would stay a member for ever if its silence were not counted.
        self.silence.note(owner, clock.now())
        if record is not None and not machine.same_process(record, renewal):
            self.replace(activity.owner_of(record.member))
        await self.group.propose(change)
        if joins:
            self.flapping.joined(renewal.host, clock.now())

    def replace(self, owner: activity.Owner) -> None:
        """Refuses a process from here on: its host has started another.

        Two processes under one host name, or a renewal of the dead one that
        arrives late, would otherwise take the place of each other for ever,
        each time with new views and a log entry.
        """
        logs.say(logs.Part.CONTROL, "host has restarted", host=owner.host)
        self.replaced[owner] = None
        if len(self.replaced) > MOST_REPLACED:
            self.replaced.popitem(last=False)

    async def hold(self, renewal: messages.LeaseRenew) -> None:
        """Waits until there is something new for the node or time is up."""
        seconds = min(renewal.hold_ms / 1000, self.ttl / HOLD_SHARE)
        if seconds <= 0 or renewal.revision < self.machine.revision:
            return
        services = renewals.services_of(self.machine, renewal)
        until = clock.now() + seconds
        with self.news.subscription(renewal.host, services) as event:
            while clock.now() < until:
                if renewals.has_news(
                    self.machine, self.activity.active, renewal
                ):
                    # By an older view, a keyed call goes to a former owner.
                    if renewal.keyless:
                        await self.gather(until)
                    return
                event.clear()
                try:
                    async with asyncio.timeout_at(until):
                        await event.wait()
                except TimeoutError:
                    return

    async def gather(self, until: float) -> None:
        """Waits for further news, so that nodes are told together.

        Args:
          until: loop time at which the answer is due in any case.
        """
        now = clock.now()
        pause = gathering.seconds(len(self.news.hosts))
        await asyncio.sleep(max(min(pause, until - now), 0))

    def grant(self, renewal: messages.LeaseRenew) -> messages.LeaseGrant:
        """Returns a lease with what the node lacks."""
        told = renewals.view_news(self.machine, self.activity.active, renewal)
        return messages.LeaseGrant(
            granted=True,
            ttl_ms=int(self.ttl * 1000),
            leader=self.group.leader,
            leader_address=self.group.leader_address,
            table=renewals.table_update(self.machine, renewal),
            views=told.whole,
            view_steps=told.steps,
            drain=renewals.is_drained(self.machine, renewal),
            routes=renewals.newer_routes(self.machine, renewal),
            control_addresses=self.group.voter_addresses(),
        )

    def refusal(self) -> messages.LeaseGrant:
        """Returns no lease, and whom to ask instead."""
        return messages.LeaseGrant(
            leader=self.group.leader, leader_address=self.group.leader_address
        )

    async def run(self) -> None:
        """Looks for hosts that are gone until cancelled."""
        while True:
            last = clock.now()
            await asyncio.sleep(self.tick)
            await self.look(last)

    async def look(self, last: float) -> None:
        """Looks once for hosts that are gone; `last` is when it last did."""
        if not self.take_office():
            return
        # This process itself stood still: renewals may lie unread in its
        # sockets, and every host would look gone at once.
        if clock.now() - last > self.margin:
            self.start_over()
        await self.end_silent()

    async def end_silent(self) -> None:
        """Declares those gone whose lease has ended."""
        ended = self.silence.ended(clock.now())
        changes = []
        for owner in ended:
            self.publish_active(self.activity.end(owner))
            record = self.machine.members.get(owner.host)
            if record and record.member.incarnation == owner.incarnation:
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
                self.reports.revisions.pop(change.member.host, None)
                logs.say(
                    logs.Part.CONTROL, "host is gone", host=change.member.host
                )
                continue
            # Not agreed on: tried again after another ttl and margin.
            owner = activity.owner_of(change.member)
            if owner not in self.silence:
                self.silence.note(owner, clock.now())
            logs.say(
                logs.Part.CONTROL,
                "could not agree that a host is gone",
                host=change.member.host,
                error=str(result),
            )

    def holds(self, owner: activity.Owner) -> bool:
        """Returns whether the process may still act by a grant."""
        granted = self.silence.granted.get(owner)
        return granted is not None and clock.now() < granted + self.ttl
