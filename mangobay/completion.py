"""Telling others how keyed calls ended, also when this node leaves."""

import asyncio
import collections.abc
import math

from mangobay import copies, ids, logs, records, slotownership
from mangobay.generated import messages

POLL_INTERVAL_SECONDS = 0.05
"""Seconds between two looks whether another node owns everything."""
LOG_AFTER_SECONDS = 2.0
"""Seconds of waiting after which the log says what for; handing keys over takes
some tenths of a second, and a stop that takes longer has a cause."""
UNFINISHED_STATES = frozenset({records.State.CLAIMED, records.State.STARTED})


async def publish_result(
    ownership: slotownership.SlotOwnership,
    sender: copies.CopySender,
    record: records.Record,
) -> None:
    """Tells the slot's owner and holders how a run ended.

    A fenced node waits for the newer view first: under its old one it would
    tell itself, and the new owner would wait for the end of the run for ever.

    The caller has its answer already.  If this process dies before the copies
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
        logs.say(
            logs.Part.ONCE, "an answer has no copy", service=ownership.service
        )


async def finish_handover(
    this_process: slotownership.ProcessId,
    ownerships: collections.abc.Mapping[
        ids.ServiceName, slotownership.SlotOwnership
    ],
    sender: copies.CopySender,
) -> None:
    """Returns when no record here is needed by a newer owner any more.

    A leaving node stays until nothing of its own still runs and the new
    owners of its slots have asked for what it knows.  Gone earlier, its
    callers' repeats would get `unknown` where a copy is missing.
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
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def may_leave(
    ownership: slotownership.SlotOwnership,
    this_process: slotownership.ProcessId,
) -> bool:
    """Whether this node may go without taking knowledge along."""
    return not (
        unfinished_records(ownership, this_process)
        or ownership.owned_slots
        or ownership.unfetched_slots()
    )


def unfinished_records(
    ownership: slotownership.SlotOwnership,
    this_process: slotownership.ProcessId,
) -> list[records.Record]:
    """Returns the records of calls that run on this host."""
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
    """Logs what keeps a leaving node from going."""
    logs.say(
        logs.Part.ONCE,
        "a leaving node still has keys",
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
