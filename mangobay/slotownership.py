"""Ownership of the key slots of one service.

It answers two questions: may this node start a call with a key now, and does
it know every call that earlier owners of the slot may have started.
"""

import asyncio
import collections.abc
import dataclasses

from mangobay import (
    calls,
    ids,
    invariants,
    keyslots,
    records,
    refusedstarts,
)
from mangobay.generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessId:
    """A process of a host; it has a new incarnation after each restart."""

    host: ids.HostId
    incarnation: ids.Incarnation


def process_id_of(member: messages.Member) -> ProcessId:
    """Returns the process of a member of a view."""
    return ProcessId(member.host, member.incarnation)


def runner_of(record: records.Record) -> ProcessId:
    """Returns the process that runs or ran the call of a record."""
    return ProcessId(record.runner, record.runner_incarnation)


class SlotOwnership:
    """The slots of one service, as one node knows them.

    A slot's history is known to a node that has a record of every call that
    was ever started in the slot. Versions are versions of the service's view.

    Attributes:
      service: the service.
      this_process: this node's process.
      registry: records of the service at this node.
      copies: number of holders wanted for each slot.
      copy_place: preferred data centre of the holders.
      view: newest view that this node has adopted.
      newest_version: newest version that this node has heard of. While it is
        above `view.version`, the node starts nothing, because another node may
        have taken over its slots.
      placement: owners and holders in the view.
      owned_slots: slots that this node owns in the view.
      owned_upto: per slot, newest version in which this node was the owner and
        knew the history.
      held_at: per slot, newest version whose owner sent this node all records
        of the slot.
      floors: per slot, Unix time in milliseconds; calls with keys that may have
        been created before it get `unknown`.
      fetched_versions: per slot, newest version in which another node fetched
        its records.
      refused_starts: calls refused here after other members were told of their
        start.
      change_event: set and replaced when the view or a known history changes.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        this_process: ProcessId,
        registry: records.Registry,
        copies: int,
        copy_place: keyslots.CopyPlace,
    ):
        self.service = service
        self.this_process = this_process
        self.registry = registry
        self.copies = copies
        self.copy_place = copy_place
        self.view = messages.ServiceView(service=service)
        self.newest_version = ids.ViewVersion(0)
        self.placement = self.make_placement([])
        self.owned_slots: list[ids.Slot] = []
        self.owned_upto: dict[ids.Slot, ids.ViewVersion] = {}
        self.held_at: dict[ids.Slot, ids.ViewVersion] = {}
        self.floors: dict[ids.Slot, int] = {}
        self.fetched_versions: dict[ids.Slot, ids.ViewVersion] = {}
        self.refused_starts = refusedstarts.RefusedStarts()
        self.change_event = asyncio.Event()

    def make_placement(
        self, members: list[messages.Member]
    ) -> keyslots.Placement:
        """Returns owners and holders for a list of members."""
        return keyslots.Placement(members, self.copies, self.copy_place)

    def notify_change(self) -> None:
        """Wakes the tasks that wait for `change_event`."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def adopt_view(self, view: messages.ServiceView) -> None:
        """Replaces the view by a newer one."""
        invariants.check(
            invariants.Invariant.REVISION_NEVER_DOWN,
            view.version >= self.view.version,
            f"view of {self.service} from {self.view.version} to {view.version}",
        )
        if view.version > self.view.version:
            self.placement = self.make_placement(view.members)
            self.owned_slots = self.compute_owned_slots()
        self.view = view
        self.fence(view.version)
        self.notify_change()

    def resolve_orphans(self) -> None:
        """Resolves started records whose runner is gone as unknown.

        No result would ever arrive for them, and a repeat would wait until its
        deadline to get the same reply.
        """
        alive = {process_id_of(member) for member in self.view.members} | {
            self.this_process
        }
        for record in self.registry.by_key.values():
            started = record.state is records.State.STARTED
            if started and runner_of(record) not in alive:
                reason = messages.Reason.OWNER_CHANGED
                record.resolve(
                    records.State.UNKNOWN, calls.unknown_reply(reason)
                )

    def merge(self, entry: messages.OnceEntry, now: float) -> None:
        """Merges what another process knows of a key.

        A holder may return a start of this process, of which it was notified
        before the call was refused here. The call never started, or this
        process would have the record. If the entry were stored, a leaving node
        would wait forever for the call to end.
        """
        runner = ProcessId(entry.runner, entry.runner_incarnation)
        if (
            entry.state is messages.OnceState.STARTED
            and runner == self.this_process
        ):
            return
        self.registry.merge(entry, now)

    def withdraw_start(self, entry: messages.OnceEntry) -> None:
        """Removes a call that its runner, which is leaving, has refused."""
        record = self.registry.get(entry.key)
        runner = ProcessId(entry.runner, entry.runner_incarnation)
        if (
            record is not None
            and record.state is records.State.STARTED
            and runner_of(record) == runner != self.this_process
        ):
            self.registry.remove_as_not_run(record)

    def records_started_by(self, runner: ProcessId) -> list[records.Record]:
        """Returns the started records of owned slots that a process runs."""
        return [
            record
            for record in self.registry.by_key.values()
            if record.state is records.State.STARTED
            and runner_of(record) == runner
            and self.is_this_process(self.placement.owner(record.slot))
        ]

    def fence(self, version: ids.ViewVersion) -> None:
        """Stops starting and acknowledging calls of views before `version`."""
        self.newest_version = max(self.newest_version, version)

    @property
    def fenced(self) -> bool:
        """Whether a view newer than the adopted one exists."""
        return self.newest_version > self.view.version

    def is_this_process(self, member: messages.Member | None) -> bool:
        """Whether the member is this process."""
        return member is not None and process_id_of(member) == self.this_process

    def owns(self, slot: ids.Slot) -> bool:
        """Whether this node owns the slot and is not fenced."""
        return not self.fenced and self.is_this_process(
            self.placement.owner(slot)
        )

    def ready(self, slot: ids.Slot) -> bool:
        """Whether this node owns the slot and knows its history."""
        return self.owns(slot) and (
            self.owned_upto.get(slot, 0) == self.view.version
        )

    def compute_owned_slots(self) -> list[ids.Slot]:
        """Returns the slots that this node owns in the view."""
        slots = map(ids.Slot, range(keyslots.SLOT_COUNT))
        return [
            slot
            for slot in slots
            if self.is_this_process(self.placement.owner(slot))
        ]

    def incomplete_slots(self) -> list[ids.Slot]:
        """Returns the owned slots whose history is not known."""
        version = self.view.version
        return [
            slot
            for slot in self.owned_slots
            if self.owned_upto.get(slot, 0) < version
        ]

    def unfetched_slots(self) -> list[ids.Slot]:
        """Returns formerly owned slots whose history no new owner fetched.

        Also that of slots without records: only who owned them knows that
        nothing ran.
        """
        return [
            slot
            for slot, version in self.owned_upto.items()
            if self.fetched_versions.get(slot, ids.ViewVersion(0)) <= version
            and not self.is_this_process(self.placement.owner(slot))
            and self.placement.owner(slot) is not None
        ]

    def mark_complete(self, slot: ids.Slot) -> None:
        """Marks the history of an owned slot as known."""
        self.owned_upto[slot] = self.view.version

    def knowledge(self, slot: ids.Slot) -> messages.SlotKnowledge:
        """Returns up to which versions this node knows the slot's history."""
        return messages.SlotKnowledge(
            slot=slot,
            owned_upto=self.owned_upto.get(slot, ids.ViewVersion(0)),
            held_at=self.held_at.get(slot, ids.ViewVersion(0)),
        )

    def raise_floor(self, slot: ids.Slot, floor_ms: int) -> None:
        """Raises the creation time below which keys get `unknown`."""
        current_ms = self.floors.get(slot, 0)
        self.floors[slot] = max(current_ms, floor_ms)


KnowledgeByProcess = collections.abc.Mapping[ProcessId, messages.SlotKnowledge]


def is_history_known(
    ownership: SlotOwnership, slot: ids.Slot, knowledge: KnowledgeByProcess
) -> bool:
    """Whether the processes that replied together know a slot's history.

    Some process knows the history up to a version. In each later view the owner
    may have started more calls, but only after every holder of that view
    acknowledged them, and a process that has replied no longer acknowledges
    calls of older views. So one reply from the owner or from a holder of each
    later view is enough, whatever the clock of an unreachable owner says.

    Args:
      ownership: ownership at the new owner.
      slot: slot that the new owner takes over.
      knowledge: what each process that replied knows, including this one.
    """
    known_version = max(
        (max(item.owned_upto, item.held_at) for item in knowledge.values()),
        default=0,
    )
    former_views = ownership.view.formers
    oldest_version = (
        former_views[-1].version if former_views else ownership.view.version
    )
    if known_version < oldest_version and not ownership.view.lineage_whole:
        return False
    later_views = (
        former_view
        for former_view in former_views
        if former_view.version > known_version
    )
    return all(
        is_view_covered(ownership, former_view, slot, knowledge)
        for former_view in later_views
    )


def is_view_covered(
    ownership: SlotOwnership,
    former_view: messages.FormerView,
    slot: ids.Slot,
    knowledge: KnowledgeByProcess,
) -> bool:
    """Whether the owner or a holder of a former view replied."""
    placement = ownership.make_placement(former_view.members)
    owner = placement.owner(slot)
    if owner is None:
        return True
    members = [owner, *placement.holders(slot)]
    return any(process_id_of(member) in knowledge for member in members)
