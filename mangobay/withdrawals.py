"""Withdrawals: calls that holders were told of, and that were then refused.

A holder is told before a call starts. If the start is refused after that, nobody
reports a result, and a repeat would be told `unknown`. A new owner asks the former
one; but a process that has left can no longer answer, so it tells by itself
before. It never starts a call that it has withdrawn, so that a withdrawal that
arrives late takes back nothing that has started meanwhile.
"""

import asyncio
import collections

from mangobay import copies, ids, refusedstarts, slotownership
from mangobay.generated import messages


async def withdraw(
    ownership: slotownership.SlotOwnership,
    sender: copies.CopySender,
    now: float,
) -> None:
    """Tells members of the refused starts; this process is leaving.

    Those that were told of a start come first: a new owner may ask them.
    """
    refused = ownership.refused_starts
    starts = refused.take_recent(now)
    if not starts:
        return
    refused.withdrawn |= {start.entry.key for start in starts}
    notified = [(member, start) for start in starts for member in start.members]
    responsible = [
        (member, start)
        for start in starts
        for member in members_of(ownership, start.entry.slot)
    ]
    for pairs in (notified, responsible):
        if not await tell_members(ownership, sender, pairs):
            refused.keep_for_retry(starts)
            return


def members_of(
    ownership: slotownership.SlotOwnership, slot: ids.Slot
) -> list[messages.Member]:
    """Returns the owner and the holders of a slot."""
    owner = ownership.placement.owner(slot)
    owners = [owner] if owner is not None else []
    return [*owners, *ownership.placement.holders(slot)]


async def tell_members(
    ownership: slotownership.SlotOwnership,
    sender: copies.CopySender,
    pairs: list[tuple[messages.Member, refusedstarts.RefusedStart]],
) -> bool:
    """Tells each member of its refused starts; returns whether all know."""
    members = {}
    entries = collections.defaultdict(list)
    for member, start in pairs:
        process = slotownership.process_id_of(member)
        if process != ownership.this_process:
            members[process] = member
            entries[process].append(start.entry)
    acks = await asyncio.gather(
        *(
            sender.put(
                member,
                messages.CopyPut(
                    service=ownership.service,
                    view_version=ownership.view.version,
                    refused=entries[process],
                ),
            )
            for process, member in members.items()
        )
    )
    return None not in acks
