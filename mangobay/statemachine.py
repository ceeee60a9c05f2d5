"""The replicated state of the control group: configuration and members.

Every control host applies the same entries in the same order, so `apply`
reads no clock, no settings and nothing else that differs between hosts.
"""

import collections.abc
import dataclasses
import typing

from mangobay import ids, usedversions, views
from mangobay.generated import messages

NO_REVISION = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """What an entry changed, for those who wait for news.

    Attributes:
      services: whose rows or view changed.
      hosts: whose record or drain request changed.
      routes: the routes document was replaced.
      restored: the whole state was replaced by a snapshot.
    """

    services: frozenset[ids.ServiceName] = frozenset()
    hosts: frozenset[ids.HostId] = frozenset()
    routes: bool = False
    restored: bool = False


ChangeListener = collections.abc.Callable[[StateChange], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One operation and the revision that last changed it."""

    operation: messages.Operation
    revision: ids.Revision


MAX_HISTORY_ITEMS = 10_000
"""Sheets named in the history; older ones are only remembered as spent.

Not a setting: control hosts that cut at different lengths would accept
different sheets.
"""

MAX_REMOVED_OPERATIONS = 10_000
"""Removed operations remembered, so that nodes learn of them row by row."""


class ConfigStateMachine:
    """Applies committed entries; implements `consensus.Machine`.

    Messages that it holds are replaced, never changed in place, so that
    snapshots and grants can share them.

    Attributes:
      revision: of the table; the log index of the last accepted sheet.
      rows: the table, by service and operation.
      removed_at_revision: the revision that removed an operation, by service.
      min_base_revision: differences can be given from this revision on.
      history: the newest accepted sheets, oldest first.
      history_by_version: the accepted sheet of each version in the history.
      used_versions: versions of sheets that the history no longer names.
      dropped_history_items: how many sheets the history no longer names.
      members: every host that is not gone.
      views: the newest view of each service that ever had a member.
      view_steps: the newest steps to each of them; a restart forgets them.
      draining: hosts that an operator asked to leave.
      routes: the newest routes document; version 0 before the first.
      accepted_routes: fingerprint of every accepted one, by version.
      change_listeners: called after each change.
    """

    def __init__(self):
        self.revision = NO_REVISION
        self.rows: dict[ids.ServiceName, dict[ids.OperationName, Row]] = {}
        self.removed_at_revision: dict[
            ids.ServiceName, dict[ids.OperationName, ids.Revision]
        ] = {}
        self.min_base_revision = NO_REVISION
        self.history: list[messages.HistoryItem] = []
        self.history_by_version: dict[
            ids.SheetVersion, messages.HistoryItem
        ] = {}
        self.used_versions = usedversions.UsedVersions()
        self.dropped_history_items = 0
        self.members: dict[ids.HostId, messages.MemberRecord] = {}
        self.views: dict[ids.ServiceName, messages.ServiceView] = {}
        self.view_steps = views.StepHistory()
        self.draining: set[ids.HostId] = set()
        self.routes = messages.RoutesChange()
        self.accepted_routes: dict[ids.RoutesVersion, bytes] = {}
        self.change_listeners: list[ChangeListener] = []

    def apply(self, entry: messages.LogEntry) -> None:
        """Applies one committed entry; entries of the group change nothing."""
        match entry.body:
            case messages.SheetChange() as change:
                changed = self.apply_sheet(entry.index, change)
            case messages.MemberChange() as change:
                changed = self.apply_member(entry.index, change)
            case messages.DrainChange() as change:
                changed = self.apply_drain(change)
            case messages.RoutesChange() as change:
                changed = self.apply_routes(change)
            case _:
                return
        self.notify_listeners(changed)

    def notify_listeners(self, change: StateChange) -> None:
        """Calls the watchers unless nothing changed."""
        if change == StateChange():
            return
        for listener in self.change_listeners:
            listener(change)

    def apply_sheet(
        self, index: ids.LogIndex, change: messages.SheetChange
    ) -> StateChange:
        """Accepts the sheet, or nothing of it.

        The proposer reads the result from `versions`: its own revision, that
        of an equal sheet, that of another content, or none.
        """
        # Two operators may race under one version on two connections: both
        # entries are committed, and the first in the log wins on every host.
        if (
            change.version in self.history_by_version
            or self.used_versions.contains(change.version)
        ):
            return StateChange()
        # Rows compared with an older table would bring its other rows back
        # in part: the proposer compares again.
        if change.base != self.revision:
            return StateChange()
        self.revision = ids.Revision(index)
        for operation in change.changed:
            self.put_row(operation)
        for reference in change.removed:
            self.remove_row(reference)
        if change.removed:
            self.trim_removed()
        self.add_to_history(change)
        affected = {row.service for row in change.changed}
        affected |= {row.service for row in change.removed}
        return StateChange(services=frozenset(affected))

    def put_row(self, operation: messages.Operation) -> None:
        """Adds or replaces an operation at the current revision."""
        rows = self.rows.setdefault(operation.service, {})
        rows[operation.name] = Row(operation, self.revision)
        self.removed_at_revision.get(operation.service, {}).pop(
            operation.name, None
        )

    def remove_row(self, reference: messages.OperationRef) -> None:
        """Removes an operation at the current revision."""
        rows = self.rows.get(reference.service, {})
        rows.pop(reference.name, None)
        if not rows:
            self.rows.pop(reference.service, None)
        removed = self.removed_at_revision.setdefault(reference.service, {})
        removed[reference.name] = self.revision

    def trim_removed(self) -> None:
        """Forgets the older half of too many removed operations.

        A node that is behind one of them gets its rows whole instead.
        """
        revisions = [
            revision
            for names in self.removed_at_revision.values()
            for revision in names.values()
        ]
        if len(revisions) <= MAX_REMOVED_OPERATIONS:
            return
        self.min_base_revision = max(
            self.min_base_revision, sorted(revisions)[len(revisions) // 2]
        )
        for service, names in list(self.removed_at_revision.items()):
            kept = {
                name: revision
                for name, revision in names.items()
                if revision > self.min_base_revision
            }
            self.removed_at_revision[service] = kept
            if not kept:
                del self.removed_at_revision[service]

    def add_to_history(self, change: messages.SheetChange) -> None:
        """Adds the sheet to the history, which also decides later races."""
        item = messages.HistoryItem(
            revision=self.revision,
            version=change.version,
            digest=change.digest,
            operator=change.operator,
            accepted_ms=change.accepted_ms,
            changed_rows=len(change.changed),
            removed_rows=len(change.removed),
        )
        self.history.append(item)
        self.history_by_version[change.version] = item
        self.trim_history()

    def trim_history(self) -> None:
        """Names no more than the newest sheets."""
        old = self.history[:-MAX_HISTORY_ITEMS]
        if not old:
            return
        del self.history[: len(old)]
        for item in old:
            del self.history_by_version[item.version]
        self.used_versions.add(item.version for item in old)
        self.dropped_history_items += len(old)

    def apply_member(
        self, index: ids.LogIndex, change: messages.MemberChange
    ) -> StateChange:
        """Makes the new views of every service that the change touches."""
        host = change.member.host
        former = self.members.get(host)
        if change.gone:
            # A host that came back meanwhile is another incarnation: the end
            # of the old one must not take the new one out.
            if former is None or not is_same_process(former, change.member):
                return StateChange()
            del self.members[host]
            self.draining.discard(host)
            serves: list[messages.ServedService] = []
        else:
            if former is not None and is_unchanged(former, change):
                return StateChange()
            # A drain asks one run of the process to leave; its next run
            # would otherwise leave again as soon as it came up.
            if former is not None and not is_same_process(
                former, change.member
            ):
                self.draining.discard(host)
            serves = change.serves
            self.members[host] = messages.MemberRecord(
                member=change.member, serves=serves, since_index=index
            )
        slots = {served.name: served.slots for served in serves}
        affected = set(slots)
        if former is not None:
            affected |= {served.name for served in former.serves}
        changed = {
            service
            for service in affected
            if self.update_view(
                index, service, change.member, slots.get(service)
            )
        }
        return StateChange(services=frozenset(changed), hosts=frozenset({host}))

    def update_view(
        self,
        index: ids.LogIndex,
        service: ids.ServiceName,
        member: messages.Member,
        slots: int | None,
    ) -> bool:
        """Puts the member into the service's view, or out when slots is None.

        Returns:
          whether that makes a new view.
        """
        old = self.views.get(service, messages.ServiceView(service=service))
        gone = slots is None
        step = messages.ViewStep(
            version=ids.ViewVersion(index),
            member=messages.Member(host=member.host)
            if gone
            else dataclasses.replace(member, slots=slots),
            gone=gone,
        )
        view = views.apply_step(old, step)
        if view.members == old.members:
            return False
        self.views[service] = view
        self.view_steps.add(service, step, len(view.members))
        return True

    def apply_drain(self, change: messages.DrainChange) -> StateChange:
        """Notes that an operator asked a host to leave."""
        if change.host not in self.members or change.host in self.draining:
            return StateChange()
        self.draining.add(change.host)
        return StateChange(hosts=frozenset({change.host}))

    def apply_routes(self, change: messages.RoutesChange) -> StateChange:
        """Puts a routes document in force, or refuses it.

        Of two that build on the same version the first in the log wins, on
        every host; the proposer reads from `accepted_routes` which it was.
        """
        current = self.routes.version
        if change.base != current or change.version <= current:
            return StateChange()
        self.routes = change
        self.accepted_routes[change.version] = change.digest
        return StateChange(routes=True)

    def has_accepted(self, change: messages.RoutesChange) -> bool:
        """Returns whether exactly this routes document was accepted."""
        return self.accepted_routes.get(change.version) == change.digest

    def snapshot(self) -> messages.Snapshot:
        """Returns the whole state; the group adds index, term and voters."""
        return messages.Snapshot(
            operations=list(self.operations()),
            history=list(self.history),
            members=[self.members[host] for host in sorted(self.members)],
            views=[self.views[service] for service in sorted(self.views)],
            draining=sorted(self.draining),
            spent_versions=bytes(self.used_versions.fingerprints),
            history_cut=self.dropped_history_items,
            routes=self.routes,
            routes_accepted=[
                messages.RoutesAccepted(version=version, digest=digest)
                for version, digest in sorted(self.accepted_routes.items())
            ],
        )

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replaces the whole state."""
        self.history = list(snapshot.history)
        self.history_by_version = {item.version: item for item in self.history}
        self.used_versions = usedversions.UsedVersions(snapshot.spent_versions)
        self.dropped_history_items = snapshot.history_cut
        self.revision = (
            self.history[-1].revision if self.history else NO_REVISION
        )
        # A snapshot does not say which revision changed a row, so a node
        # behind it gets its rows whole.
        self.min_base_revision = self.revision
        self.rows = {}
        self.removed_at_revision = {}
        for operation in snapshot.operations:
            self.put_row(operation)
        self.members = {item.member.host: item for item in snapshot.members}
        self.views = {view.service: view for view in snapshot.views}
        self.view_steps.reset(self.views)
        self.draining = {ids.HostId(host) for host in snapshot.draining}
        self.routes = snapshot.routes
        self.accepted_routes = {
            item.version: item.digest for item in snapshot.routes_accepted
        }
        self.notify_listeners(StateChange(restored=True))

    def operations(self) -> typing.Iterator[messages.Operation]:
        """Yields the table ordered by service and name."""
        for service in sorted(self.rows):
            for name in sorted(self.rows[service]):
                yield self.rows[service][name].operation

    def update_since(
        self,
        base: ids.Revision,
        services: collections.abc.Collection[ids.ServiceName],
        new_services: collections.abc.Collection[ids.ServiceName],
    ) -> messages.TableUpdate:
        """Returns what a node at `base` lacks of the services.

        Args:
          base: the node's revision; 0 or one before `floor` gives all rows.
          services: what the node holds rows of.
          new_services: those of them whose rows it does not hold yet.
        """
        send_all = base == NO_REVISION or base < self.min_base_revision
        update = messages.TableUpdate(
            revision=self.revision, base=NO_REVISION if send_all else base
        )
        for service in services:
            since = NO_REVISION if send_all or service in new_services else base
            update.changed += [
                row.operation
                for row in self.rows.get(service, {}).values()
                if row.revision > since
            ]
            if send_all:
                continue
            update.removed += [
                messages.OperationRef(service=service, name=name)
                for name, revision in self.removed_at_revision.get(
                    service, {}
                ).items()
                if revision > base
            ]
        return update


def is_same_process(
    record: messages.MemberRecord, member: messages.Member
) -> bool:
    """Returns whether both are the same run of the same host."""
    return record.member.incarnation == member.incarnation


def is_unchanged(
    record: messages.MemberRecord, change: messages.MemberChange
) -> bool:
    """Returns whether the change says nothing new."""
    return record.member == change.member and record.serves == change.serves
