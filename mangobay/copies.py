"""Exchange of record copies between the members of a service."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from mangobay import errors, ids, options, records, slotownership
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

MAX_BATCH_ENTRIES = 200
"""Most entries in one message when the records of slots are sent."""


@dataclasses.dataclass(slots=True, kw_only=True)
class CopySender:
    """Sends records to other members and fetches records from them.

    Attributes:
      transport: connections to other processes.
      timeout: seconds to wait for a member's message.
    """

    transport: "peers.Transport"
    timeout: float

    async def put(
        self, member: messages.Member, message: messages.CopyPut
    ) -> messages.CopyAck | None:
        """Sends records once; returns None without an acknowledgement."""
        ack = await self.ask(member, message)
        return ack if isinstance(ack, messages.CopyAck) else None

    async def put_all(
        self, members: list[messages.Member], message: messages.CopyPut
    ) -> bool:
        """Sends records to all members; returns whether all stored them."""
        if len(members) == 1:
            ack = await self.put(members[0], message)
            return ack is not None and ack.kept
        acks = await asyncio.gather(
            *(self.put(member, message) for member in members)
        )
        return all(ack is not None and ack.kept for ack in acks)

    async def fetch(
        self, member: messages.Member, message: messages.CopyFetch
    ) -> messages.CopyList | None:
        """Fetches the records of a member, None if it does not reply."""
        copy_list = await self.ask(member, message)
        return copy_list if isinstance(copy_list, messages.CopyList) else None

    async def ask(
        self,
        member: messages.Member,
        message: messages.CopyPut | messages.CopyFetch,
    ) -> messages.EnvelopeBody | None:
        """Returns a member's message, None if none came in time."""
        address = options.parse_address(member.peer_address)
        try:
            return await self.transport.send_request(
                address, message, self.timeout
            )
        except (errors.PeerError, TimeoutError):
            return None


def store_copies(
    ownership: slotownership.SlotOwnership,
    message: messages.CopyPut,
    now: float,
) -> messages.CopyAck:
    """Stores the records that another process sends.

    A `started` record of a view older than the newest known one is refused.
    Its sender may have been replaced without noticing (paused, or partitioned
    from the network), and an acknowledgement would let it run a call that the
    new owner runs too. Records in a final state are always stored.
    """
    has_started = any(
        entry.state is messages.OnceState.STARTED for entry in message.entries
    )
    if has_started and message.view_version < ownership.newest_version:
        return messages.CopyAck(
            kept=False, view_version=ownership.newest_version
        )
    ownership.fence(message.view_version)
    for entry in message.entries:
        ownership.merge(entry, now)
    for entry in message.refused:
        ownership.withdraw_start(entry)
    # A floor replaces records that the owner did not have. Without it the
    # holder would claim to know the history, and the next owner would run older
    # keys a second time.
    for floor in message.floors:
        ownership.raise_floor(floor.slot, floor.minted_before_ms)
    for slot in message.complete_slots:
        held_version = ownership.held_at.get(ids.Slot(slot), 0)
        ownership.held_at[ids.Slot(slot)] = max(
            held_version, message.view_version
        )
    return messages.CopyAck(kept=True, view_version=ownership.newest_version)


def answer_fetch(
    ownership: slotownership.SlotOwnership,
    message: messages.CopyFetch,
    now: float,
) -> messages.CopyList:
    """Returns the records that a new owner fetches; fences this process."""
    ownership.fence(message.view_version)
    slots = [ids.Slot(slot) for slot in message.slots]
    ownership.fetched_versions.update(
        dict.fromkeys(slots, message.view_version)
    )
    return messages.CopyList(
        host=ownership.this_process.host,
        incarnation=ownership.this_process.incarnation,
        entries=[
            records.to_entry(record, now)
            for slot in slots
            for record in ownership.registry.copyable_records(slot)
        ],
        knowledge=[ownership.knowledge(slot) for slot in slots],
        floors=wire_floors(ownership, slots),
    )


def wire_floors(
    ownership: slotownership.SlotOwnership, slots: list[ids.Slot]
) -> list[messages.SlotFloor]:
    """Returns the floors of some slots as messages."""
    return [
        messages.SlotFloor(slot=slot, minted_before_ms=ownership.floors[slot])
        for slot in slots
        if slot in ownership.floors
    ]


async def sync_holders(
    ownership: slotownership.SlotOwnership, sender: CopySender, now: float
) -> bool:
    """Sends each holder all records of the owned slots that it holds.

    Returns:
      Whether every holder stored all of them.
    """
    version = ownership.view.version
    slots_by_host: dict[str, list[ids.Slot]] = {}
    holders = {}
    for slot in ownership.owned_slots:
        if not ownership.ready(slot):
            continue
        for holder in ownership.placement.holders(slot):
            slots_by_host.setdefault(holder.host, []).append(slot)
            holders[holder.host] = holder
    results = [
        await sync_holder(ownership, sender, holders[host], slots, version, now)
        for host, slots in slots_by_host.items()
    ]
    return all(results)


async def hand_over(
    ownership: slotownership.SlotOwnership, sender: CopySender, now: float
) -> None:
    """Sends new owners the history of the slots that they did not fetch.

    A new owner that already holds the slot's copies never fetches. Its copies
    of the last results may still be in flight, so a leaving process sends them
    again. Another one may not have come to asking.
    """
    version = ownership.view.version
    slots_by_host: dict[str, list[ids.Slot]] = {}
    owners = {}
    for slot in ownership.unfetched_slots():
        owner = ownership.placement.owner(slot)
        slots_by_host.setdefault(owner.host, []).append(slot)
        owners[owner.host] = owner
    for host, slots in slots_by_host.items():
        if await send_history(ownership, sender, owners[host], slots, now):
            ownership.fetched_versions.update(dict.fromkeys(slots, version))


async def send_history(
    ownership: slotownership.SlotOwnership,
    sender: CopySender,
    member: messages.Member,
    slots: list[ids.Slot],
    now: float,
) -> bool:
    """Sends records and up to which versions they are all that ran.

    Both are in one message for each slot: between two, the member might be
    restarted and believe that nothing ran. Slots with a call that still runs
    are sent without, as messages of an older view may not have such records.
    """
    running = [slot for slot in slots if has_running_call(ownership, slot)]
    if not await send_entries(ownership, sender, member, running, now):
        return False
    slots_by_version = collections.defaultdict(list)
    for slot in slots:
        if slot not in running:
            slots_by_version[ownership.owned_upto[slot]].append(slot)
    for version, known_slots in slots_by_version.items():
        for batch in batches_of_slots(ownership, known_slots):
            message = messages.CopyPut(
                service=ownership.service,
                view_version=version,
                entries=[
                    records.to_entry(record, now)
                    for slot in batch
                    for record in ownership.registry.copyable_records(slot)
                ],
                complete_slots=[int(slot) for slot in batch],
                floors=wire_floors(ownership, batch),
            )
            ack = await sender.put(member, message)
            if ack is None or not ack.kept:
                return False
    return True


def has_running_call(
    ownership: slotownership.SlotOwnership, slot: ids.Slot
) -> bool:
    """Returns whether a call of a slot was started and has no result."""
    return any(
        record.state is records.State.STARTED
        for record in ownership.registry.copyable_records(slot)
    )


def batches_of_slots(
    ownership: slotownership.SlotOwnership, slots: list[ids.Slot]
) -> collections.abc.Iterator[list[ids.Slot]]:
    """Yields the slots in lists whose records fit into one message."""
    batch: list[ids.Slot] = []
    entry_count = 0
    for slot in slots:
        batch.append(slot)
        entry_count += sum(1 for _ in ownership.registry.copyable_records(slot))
        if entry_count >= MAX_BATCH_ENTRIES:
            yield batch
            batch, entry_count = [], 0
    if batch:
        yield batch


async def send_entries(
    ownership: slotownership.SlotOwnership,
    sender: CopySender,
    member: messages.Member,
    slots: list[ids.Slot],
    now: float,
) -> bool:
    """Sends all records of some slots; returns whether all were stored."""
    entries = [
        records.to_entry(record, now)
        for slot in slots
        for record in ownership.registry.copyable_records(slot)
    ]
    version = ownership.view.version
    for start in range(0, len(entries), MAX_BATCH_ENTRIES):
        message = messages.CopyPut(
            service=ownership.service,
            view_version=version,
            entries=entries[start : start + MAX_BATCH_ENTRIES],
        )
        ack = await sender.put(member, message)
        if ack is None or not ack.kept:
            return False
    return True


async def sync_holder(
    ownership: slotownership.SlotOwnership,
    sender: CopySender,
    holder: messages.Member,
    slots: list[ids.Slot],
    version: ids.ViewVersion,
    now: float,
) -> bool:
    """Sends a holder all records and floors; returns whether it has them."""
    if not await send_entries(ownership, sender, holder, slots, now):
        return False
    if ownership.view.version != version:
        return False
    message = messages.CopyPut(
        service=ownership.service,
        view_version=version,
        complete_slots=[int(slot) for slot in slots],
        floors=wire_floors(ownership, slots),
    )
    ack = await sender.put(holder, message)
    return ack is not None and ack.kept
