"""Results of calls with keys, and handover when a node leaves."""

import asyncio
import collections.abc
import math

from mangobay import copies, ids, logs, records, slotownership, withdrawals
from mangobay.generated import messages

POLL_INTERVAL_SECONDS = 0.05
"""Seconds between two checks whether the handover is complete."""
LOG_AFTER_SECONDS = 2.0
"""Seconds after which a pending handover is logged. A handover normally takes
some tenths of a second; if it takes longer, something blocks it."""
UNFINISHED_STATES = frozenset({records.State.CLAIMED, records.State.STARTED})


async def publish_result(
    ownership: slotownership.SlotOwnership,
    sender: copies.CopySender,
    record: records.Record,
) -> None:
    """Sends the result of a run to the slot's owner and holders.

    A fenced node waits for the newer view first. In its old view it could be
    the owner itself, and the new owner would wait for the result forever.

    The caller already has its reply. If this process ends before the copies
    arrive, a repeat gets `unknown`, never a second run.
    """
    while ownership.fenced:
        await ownership.change_event.wait()
    placement = ownership.placement
    owner = placement.owner(record.slot)
    recipients = [*placement.holders(record.slot)]
    if owner is not None:
        recipients.append(owner)
    recipients = [
        member for member in recipients if not ownership.is_this_process(member)
    ]
    if not recipients:
        return
    now = asyncio.get_running_loop().time()
    message = messages.CopyPut(
        service=ownership.service,
        view_version=ownership.view.version,
        entries=[records.to_entry(record, now)],
    )
    if not await sender.put_all(recipients, message):
        logs.log_event(
            logs.Component.ONCE,
            "an answer has no copy",
            service=ownership.service,
        )


async def finish_handover(
    this_process: slotownership.ProcessId,
    ownerships: collections.abc.Mapping[
        ids.ServiceName, slotownership.SlotOwnership
    ],
    sender: copies.CopySender,
) -> None:
    """Hands records over until no new owner needs this node any more.

    A leaving node stays until none of its calls runs and the new owners of its
    slots have its records. If it left earlier, repeats would get `unknown`
    where a copy is missing.
    """
    log_at = asyncio.get_running_loop().time() + LOG_AFTER_SECONDS
    while not all(
        may_leave(ownership, this_process) for ownership in ownerships.values()
    ):
        now = asyncio.get_running_loop().time()
        if now >= log_at:
            log_at = math.inf
            for ownership in ownerships.values():
                log_pending(ownership, this_process)
        for ownership in ownerships.values():
            await copies.hand_over(ownership, sender, now)
            await withdrawals.withdraw(ownership, sender, now)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def may_leave(
    ownership: slotownership.SlotOwnership,
    this_process: slotownership.ProcessId,
) -> bool:
    """Whether no record of the service is lost if this node leaves."""
    return not (
        unfinished_records(ownership, this_process)
        or ownership.owned_slots
        or ownership.unfetched_slots()
        or ownership.refused_starts.by_key
    )


def unfinished_records(
    ownership: slotownership.SlotOwnership,
    this_process: slotownership.ProcessId,
) -> list[records.Record]:
    """Returns the records of calls that wait or run on this host."""
    return [
        record
        for record in ownership.registry.by_key.values()
        if record.state in UNFINISHED_STATES
        and record.runner == this_process.host
    ]


def log_pending(
    ownership: slotownership.SlotOwnership,
    this_process: slotownership.ProcessId,
) -> None:
    """Logs what a leaving node waits for."""
    logs.log_event(
        logs.Component.ONCE,
        "leaving node still has keys to hand over",
        service=ownership.service,
        view=ownership.view.version,
        seen=ownership.newest_version,
        unfinished=[
            (record.state.name.lower(), record.runner_incarnation)
            for record in unfinished_records(ownership, this_process)
        ],
        own_incarnation=this_process.incarnation,
        slots_owned=len(ownership.owned_slots),
        slots_not_fetched=len(ownership.unfetched_slots()),
    )
