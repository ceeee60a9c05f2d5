"""Withdrawals: calls that holders were told of, and that were then refused.

A holder is told before a call starts. If the start is refused after that, nobody
reports a result, and a repeat would be told `unknown`. A new owner asks the former
one; but a process that has left can no longer answer, so it tells by itself
before. It never starts a call that it has withdrawn, so that a withdrawal that
arrives late takes back nothing that has started meanwhile.
"""

from mangobay import copies, records, refusedstarts, slotownership
from mangobay.generated import messages

MAX_TRIES = 3
"""How often a member is told that does not reply."""


async def withdraw(
    ownership: slotownership.SlotOwnership,
    sender: copies.CopySender,
    now: float,
) -> None:
    """Tells members of the refused starts; this process is leaving."""
    refused = ownership.refused_starts.by_key
    for key, start in list(refused.items()):
        ownership.refused_starts.withdrawn.add(key)
        if await tell_members(ownership, sender, start, now):
            refused.pop(key, None)
            continue
        start.tries += 1
        if start.tries >= MAX_TRIES:
            refused.pop(key, None)


async def tell_members(
    ownership: slotownership.SlotOwnership,
    sender: copies.CopySender,
    start: refusedstarts.RefusedStart,
    now: float,
) -> bool:
    """Tells the members of one refused start; returns whether all know.

    Those that were told of the start come first: a new owner may ask them.
    """
    slot = start.record.slot
    owner = ownership.placement.owner(slot)
    members = {
        slotownership.process_id_of(member): member
        for member in [
            *start.members,
            *ownership.placement.holders(slot),
            *([owner] if owner is not None else []),
        ]
        if not ownership.is_this_process(member)
    }
    message = messages.CopyPut(
        service=ownership.service,
        view_version=ownership.view.version,
        refused=[records.started_entry(start.record, now)],
    )
    all_told = True
    for member in members.values():
        all_told &= await sender.put(member, message) is not None
    return all_told
