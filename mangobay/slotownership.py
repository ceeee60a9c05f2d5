"""What a node may vouch for in the slots of one service.

A tenure answers two questions: may this node start a keyed call now, and does
it know everything that earlier owners of a slot may have started.
"""

import asyncio
import collections.abc
import dataclasses

from mangobay import calls, ids, invariants, keyslots, records
from mangobay.generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessId:
    """One run of a host's process."""

    host: ids.HostId
    incarnation: ids.Incarnation


def process_id_of(member: messages.Member) -> ProcessId:
    """Returns the process behind a member of a view."""
    return ProcessId(member.host, member.incarnation)


def runner_of(record: records.Record) -> ProcessId:
    """Returns the process that runs or ran a record's call."""
    return ProcessId(record.runner, record.runner_incarnation)


class SlotOwnership:
    """One service at one node.

    Attributes:
      view: the newest view this node acts by.
      newest_version: the newest version it heard of; above view.version it starts
        nothing, because another node may have taken its slots over.
      placement: owners and holders under the view.
      owned_slots: the slots that this node owns under the view.
      owned_upto: per slot, the newest version under which this node was the
        owner and knew everything.
      held_at: per slot, the newest version whose owner gave this node all.
      floors: per slot, Unix time in milliseconds; keys that may have been
        minted before get `unknown`.
      fetched_versions: per slot, the newest version under which another node asked.
      change_event: set and replaced whenever one of these changes.
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
        self.change_event = asyncio.Event()

    def make_placement(
        self, members: list[messages.Member]
    ) -> keyslots.Placement:
        """Returns owners and holders under a list of members."""
        return keyslots.Placement(members, self.copies, self.copy_place)

    def notify_change(self) -> None:
        """Wakes whoever waits for a slot."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def adopt_view(self, view: messages.ServiceView) -> None:
        """Acts by a newer view from now on."""
        invariants.check(
            invariants.Promise.REVISION_NEVER_DOWN,
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
        """Settles records whose runner is gone: their fate stays unknown.

        Nobody would ever settle them, and a repeat would wait for its whole
        deadline to be told the same.
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
        """Takes in what another process knows of a key.

        A start of this very process comes back from a holder that was told of
        it before the call was refused here.  It never began, or this process
        would know: kept, a leaving node would wait for its end for ever.
        """
        runner = ProcessId(entry.runner, entry.runner_incarnation)
        if (
            entry.state is messages.OnceState.STARTED
            and runner == self.this_process
        ):
            return
        self.registry.merge(entry, now)

    def records_started_by(self, runner: ProcessId) -> list[records.Record]:
        """Returns the calls of this node's slots that a process is to run."""
        return [
            record
            for record in self.registry.by_key.values()
            if record.state is records.State.STARTED
            and runner_of(record) == runner
            and self.is_this_process(self.placement.owner(record.slot))
        ]

    def fence(self, version: ids.ViewVersion) -> None:
        """Promises to start and acknowledge nothing under an older view."""
        self.newest_version = max(self.newest_version, version)

    @property
    def fenced(self) -> bool:
        """Whether a newer view than the one acted by is known to exist."""
        return self.newest_version > self.view.version

    def is_this_process(self, member: messages.Member | None) -> bool:
        """Whether the member is this process."""
        return member is not None and process_id_of(member) == self.this_process

    def owns(self, slot: ids.Slot) -> bool:
        """Whether this node is the slot's owner and may act as such."""
        return not self.fenced and self.is_this_process(
            self.placement.owner(slot)
        )

    def ready(self, slot: ids.Slot) -> bool:
        """Whether the owner also knows all that was started before."""
        return self.owns(slot) and (
            self.owned_upto.get(slot, 0) == self.view.version
        )

    def compute_owned_slots(self) -> list[ids.Slot]:
        """Returns the slots that this node owns under the view."""
        slots = map(ids.Slot, range(keyslots.SLOT_COUNT))
        return [
            slot
            for slot in slots
            if self.is_this_process(self.placement.owner(slot))
        ]

    def incomplete_slots(self) -> list[ids.Slot]:
        """Returns the slots that this node owns without knowing everything."""
        version = self.view.version
        return [
            slot
            for slot in self.owned_slots
            if self.owned_upto.get(slot, 0) < version
        ]

    def unfetched_slots(self) -> list[ids.Slot]:
        """Returns the slots with records that no new owner has asked for."""
        return [
            slot
            for slot, version in self.owned_upto.items()
            if self.fetched_versions.get(slot, ids.ViewVersion(0)) <= version
            and not self.is_this_process(self.placement.owner(slot))
            and self.placement.owner(slot) is not None
            and any(self.registry.copyable_records(slot))
        ]

    def mark_complete(self, slot: ids.Slot) -> None:
        """Notes that this owner knows everything started under older views."""
        self.owned_upto[slot] = self.view.version

    def knowledge(self, slot: ids.Slot) -> messages.SlotKnowledge:
        """Returns what this node can vouch for in the slot."""
        return messages.SlotKnowledge(
            slot=slot,
            owned_upto=self.owned_upto.get(slot, ids.ViewVersion(0)),
            held_at=self.held_at.get(slot, ids.ViewVersion(0)),
        )

    def raise_floor(self, slot: ids.Slot, floor_ms: int) -> None:
        """Answers `unknown` to keys that may have been minted before."""
        current_ms = self.floors.get(slot, 0)
        self.floors[slot] = max(current_ms, floor_ms)


KnowledgeByProcess = collections.abc.Mapping[ProcessId, messages.SlotKnowledge]


def is_history_known(
    ownership: SlotOwnership, slot: ids.Slot, knowledge: KnowledgeByProcess
) -> bool:
    """Whether the answers together hold all that was ever started in a slot.

    Some process vouches for the slot up to a version.  Under each later view
    the owner may have started more, but only after every holder of that view
    acknowledged it, and a process that answered acknowledges nothing under an
    older view any more.  So one answer from the owner or from a holder of
    each later view is enough, whatever the clock of a silent owner says.

    Args:
      ownership: the new owner's.
      slot: the slot in question.
      knowledge: what each process that answered can vouch for, this node's own
        knowledge included.
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
    """Whether the owner or a holder of the view answered."""
    placement = ownership.make_placement(former_view.members)
    owner = placement.owner(slot)
    if owner is None:
        return True
    members = [owner, *placement.holders(slot)]
    return any(process_id_of(member) in knowledge for member in members)
