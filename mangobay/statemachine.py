"""The replicated state machine of the control group.

It holds the configuration and the members. Every control host applies the
same log entries in the same order, so `apply` reads no clock, no settings and
nothing else that differs between hosts.
"""

import collections.abc
import dataclasses
import typing

from mangobay import ids, usedversions, views
from mangobay.generated import messages

NO_REVISION = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """What a log entry or a snapshot changed.

    Attributes:
      services: services whose rows or view changed.
      hosts: hosts whose member record or drain request changed.
      routes: whether the routes document was replaced.
      restored: whether a snapshot replaced the whole state.
    """

    services: frozenset[ids.ServiceName] = frozenset()
    hosts: frozenset[ids.HostId] = frozenset()
    routes: bool = False
    restored: bool = False


ChangeListener = collections.abc.Callable[[StateChange], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """An operation and the revision that last changed it."""

    operation: messages.Operation
    revision: ids.Revision


MAX_HISTORY_ITEMS = 10_000
"""Sheets in the history; of older ones only the version is remembered.

This is not a setting: control hosts that trim at different lengths would
accept different sheets.
"""

MAX_REMOVED_OPERATIONS = 10_000
"""Removed operations remembered, so that nodes get them as differences."""


class ConfigStateMachine:
    """Applies committed entries; implements `consensus.StateMachine`.

    Messages in the state are replaced, never changed in place, so that
    snapshots and grants can share them.

    Attributes:
      revision: revision of the operation table, which is the log index of the
        last accepted sheet.
      rows: the operation table, by service and operation.
      removed_at_revision: the revision that removed an operation, by service
        and operation.
      min_base_revision: oldest revision from which a difference can be made.
      history: the most recently accepted sheets, oldest first.
      history_by_version: the same sheets by version.
      used_versions: versions of sheets that the history has dropped.
      dropped_history_items: number of sheets that the history has dropped.
      members: record of each member host.
      views: the newest view of each service that ever had a member.
      view_steps: the most recent steps of each view; not part of snapshots.
      draining: hosts that an operator asked to leave.
      routes: the routes document in force; version 0 before the first.
      accepted_routes: digest of every accepted routes document, by version.
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
        """Applies one committed entry; the group's own ones change nothing."""
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
        """Calls the listeners unless nothing changed."""
        if change == StateChange():
            return
        for listener in self.change_listeners:
            listener(change)

    def apply_sheet(
        self, index: ids.LogIndex, change: messages.SheetChange
    ) -> StateChange:
        """Accepts the whole sheet, or nothing of it.

        The proposer reads the result from `history_by_version`: the revision
        of its own entry, of an earlier equal sheet or of a sheet of other
        content, or no item if the base was outdated.
        """
        # Two operators may send sheets of the same version at once. Both
        # entries are committed; the first in the log wins on every host.
        if (
            change.version in self.history_by_version
            or self.used_versions.contains(change.version)
        ):
            return StateChange()
        # A difference to an older table would bring back some of its rows.
        # The proposer compares again.
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
        """Discards the older half of too many removed operations.

        A node at an older revision than those gets all rows instead.
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
        """Adds the sheet to the history, so that its version counts as used."""
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
        """Drops the oldest sheets beyond MAX_HISTORY_ITEMS."""
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
        """Updates the member and the views of all services that it affects."""
        host = change.member.host
        former = self.members.get(host)
        if change.gone:
            # A host that restarted meanwhile has a new incarnation, which the
            # end of the old one must not remove.
            if former is None or not is_same_process(former, change.member):
                return StateChange()
            del self.members[host]
            self.draining.discard(host)
            serves: list[messages.ServedService] = []
        else:
            if former is not None and is_unchanged(former, change):
                return StateChange()
            # A drain applies to one incarnation. The next one would otherwise
            # leave again as soon as it started.
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
        """Adds the member to the service's view; removes it if slots is None.

        Returns:
          whether the view changed.
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
        """Records that an operator asked a host to leave."""
        if change.host not in self.members or change.host in self.draining:
            return StateChange()
        self.draining.add(change.host)
        return StateChange(hosts=frozenset({change.host}))

    def apply_routes(self, change: messages.RoutesChange) -> StateChange:
        """Puts a routes document in force, or refuses it.

        Of two documents with the same base version, the first in the log wins
        on every host. The proposer reads from `accepted_routes` which it was.
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
        """Returns the whole state; the caller adds index, term and voters."""
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
        """Replaces the whole state by a snapshot."""
        self.history = list(snapshot.history)
        self.history_by_version = {item.version: item for item in self.history}
        self.used_versions = usedversions.UsedVersions(snapshot.spent_versions)
        self.dropped_history_items = snapshot.history_cut
        self.revision = (
            self.history[-1].revision if self.history else NO_REVISION
        )
        # A snapshot does not hold the revision of each row, so a node at an
        # older revision gets all rows.
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
        """Yields all operations, ordered by service and name."""
        for service in sorted(self.rows):
            for name in sorted(self.rows[service]):
                yield self.rows[service][name].operation

    def update_since(
        self,
        base: ids.Revision,
        services: collections.abc.Collection[ids.ServiceName],
        new_services: collections.abc.Collection[ids.ServiceName],
    ) -> messages.TableUpdate:
        """Returns the changes since revision `base` to the services' rows.

        Args:
          base: the node's revision; the update holds all rows if it is 0 or
            older than `min_base_revision`.
          services: services whose rows the node needs.
          new_services: those of them of which the node has no rows yet.
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
    """Returns whether both have the same incarnation."""
    return record.member.incarnation == member.incarnation


def is_unchanged(
    record: messages.MemberRecord, change: messages.MemberChange
) -> bool:
    """Returns whether the change equals the current record."""
    return record.member == change.member and record.serves == change.serves
