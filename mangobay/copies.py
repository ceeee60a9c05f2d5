"""Copies of keyed calls on other nodes: sending them and keeping them."""

import asyncio
import dataclasses
import typing

from mangobay import errors, ids, options, records, slotownership
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

MAX_BATCH_ENTRIES = 200
"""Entries in one message of a slot's transfer."""


@dataclasses.dataclass(slots=True, kw_only=True)
class CopySender:
    """Sends records to the processes that hold copies.

    Attributes:
      transport: the way to other processes.
      timeout: seconds that an acknowledgement may take.
    """

    transport: "peers.Transport"
    timeout: float

    async def put(
        self, member: messages.Member, message: messages.CopyPut
    ) -> messages.CopyAck | None:
        """Sends records once; None when no acknowledgement came."""
        ack = await self.ask(member, message)
        return ack if isinstance(ack, messages.CopyAck) else None

    async def put_all(
        self, members: list[messages.Member], message: messages.CopyPut
    ) -> bool:
        """Sends records to every member; true when each one kept them."""
        if len(members) == 1:
            ack = await self.put(members[0], message)
            return ack is not None and ack.kept
        acks = await asyncio.gather(*(self.put(m, message) for m in members))
        return all(ack is not None and ack.kept for ack in acks)

    async def fetch(
        self, member: messages.Member, message: messages.CopyFetch
    ) -> messages.CopyList | None:
        """Asks a member what it knows; None when it does not answer."""
        known = await self.ask(member, message)
        return known if isinstance(known, messages.CopyList) else None

    async def ask(
        self,
        member: messages.Member,
        message: messages.CopyPut | messages.CopyFetch,
    ) -> messages.EnvelopeBody | None:
        """Returns a member's answer; None when none came in time."""
        address = options.parse_address(member.peer_address)
        try:
            return await self.transport.ask(address, message, self.timeout)
        except (errors.PeerError, TimeoutError):
            return None


def store_copies(
    share: slotownership.SlotOwnership, message: messages.CopyPut, now: float
) -> messages.CopyAck:
    """Keeps the records that another process sends.

    A `started` record under an older view than the newest one seen is
    refused: its sender may have been replaced without noticing (frozen, or
    cut off), and an acknowledgement would let it run a call that the new
    owner runs too.  Settled records only add knowledge and are always kept.
    """
    starts = any(
        entry.state is messages.OnceState.STARTED for entry in message.entries
    )
    if starts and message.view_version < share.newest_version:
        return messages.CopyAck(kept=False, view_version=share.newest_version)
    share.fence(message.view_version)
    for entry in message.entries:
        share.merge(entry, now)
    # A floor stands for all that its owner did not know.  A holder without it
    # would vouch for the slot, and the next owner would run older keys again.
    for floor in message.floors:
        share.raise_floor(floor.slot, floor.minted_before_ms)
    for slot in message.complete_slots:
        held = share.held_at.get(ids.Slot(slot), 0)
        share.held_at[ids.Slot(slot)] = max(held, message.view_version)
    return messages.CopyAck(kept=True, view_version=share.newest_version)


def answer_fetch(
    share: slotownership.SlotOwnership, message: messages.CopyFetch, now: float
) -> messages.CopyList:
    """Tells a new owner what this process knows, and is fenced by it."""
    share.fence(message.view_version)
    wanted = [ids.Slot(slot) for slot in message.slots]
    share.fetched_versions.update(dict.fromkeys(wanted, message.view_version))
    return messages.CopyList(
        host=share.this_process.host,
        incarnation=share.this_process.incarnation,
        entries=[
            records.to_entry(record, now)
            for slot in wanted
            for record in share.registry.copyable_records(slot)
        ],
        knowledge=[share.knowledge(slot) for slot in wanted],
        floors=wire_floors(share, wanted),
    )


def wire_floors(
    share: slotownership.SlotOwnership, wanted: list[ids.Slot]
) -> list[messages.SlotFloor]:
    """Returns the floors of some slots, as they travel."""
    return [
        messages.SlotFloor(slot=slot, minted_before_ms=share.floors[slot])
        for slot in wanted
        if slot in share.floors
    ]


async def sync_holders(
    share: slotownership.SlotOwnership, sender: CopySender, now: float
) -> bool:
    """Gives each holder all that this owner knows of the slots it holds.

    Returns:
      Whether every holder now has everything.
    """
    version = share.view.version
    by_holder: dict[str, list[ids.Slot]] = {}
    members = {}
    for slot in share.owned_slots:
        if not share.ready(slot):
            continue
        for holder in share.placement.holders(slot):
            by_holder.setdefault(holder.host, []).append(slot)
            members[holder.host] = holder
    done = [
        await sync_holder(share, sender, members[host], batch, version, now)
        for host, batch in by_holder.items()
    ]
    return all(done)


async def hand_over(
    share: slotownership.SlotOwnership, sender: CopySender, now: float
) -> None:
    """Gives the new owners what they did not ask this process for.

    A new owner that held the slot's copies never asks.  Its copy of the last
    answers may still be on the way, so a leaving process sends them again.
    """
    version = share.view.version
    batches: dict[str, list[ids.Slot]] = {}
    members = {}
    for slot in share.unfetched_slots():
        owner = share.placement.owner(slot)
        batches.setdefault(owner.host, []).append(slot)
        members[owner.host] = owner
    for host, batch in batches.items():
        if await send_entries(share, sender, members[host], batch, now):
            share.fetched_versions.update(dict.fromkeys(batch, version))


async def send_entries(
    share: slotownership.SlotOwnership,
    sender: CopySender,
    member: messages.Member,
    batch: list[ids.Slot],
    now: float,
) -> bool:
    """Sends all records of some slots; true when every part was kept."""
    entries = [
        records.to_entry(record, now)
        for slot in batch
        for record in share.registry.copyable_records(slot)
    ]
    version = share.view.version
    for start in range(0, len(entries), MAX_BATCH_ENTRIES):
        message = messages.CopyPut(
            service=share.service,
            view_version=version,
            entries=entries[start : start + MAX_BATCH_ENTRIES],
        )
        ack = await sender.put(member, message)
        if ack is None or not ack.kept:
            return False
    return True


async def sync_holder(
    share: slotownership.SlotOwnership,
    sender: CopySender,
    holder: messages.Member,
    batch: list[ids.Slot],
    version: ids.ViewVersion,
    now: float,
) -> bool:
    """Gives one holder all of some slots; true when it has all."""
    if not await send_entries(share, sender, holder, batch, now):
        return False
    if share.view.version != version:
        return False
    last = messages.CopyPut(
        service=share.service,
        view_version=version,
        complete_slots=[int(slot) for slot in batch],
        floors=wire_floors(share, batch),
    )
    ack = await sender.put(holder, last)
    return ack is not None and ack.kept
