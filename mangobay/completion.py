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
    share: slotownership.SlotOwnership,
    sender: copies.CopySender,
    record: records.Record,
) -> None:
    """Tells the slot's owner and holders how a run ended.

    A fenced node waits for the newer view first: under its old one it would
    tell itself, and the new owner would wait for the end of the run for ever.

    The caller has its answer already.  If this process dies before the copies
    arrive, a repeat gets `unknown`, never a second run.
    """
    while share.fenced:
        await share.change_event.wait()
    placement = share.placement
    owner = placement.owner(record.slot)
    told = [*placement.holders(record.slot)]
    if owner is not None:
        told.append(owner)
    told = [member for member in told if not share.is_this_process(member)]
    if not told:
        return
    now = asyncio.get_running_loop().time()
    put = messages.CopyPut(
        service=share.service,
        view_version=share.view.version,
        entries=[records.to_entry(record, now)],
    )
    if not await sender.put_all(told, put):
        logs.say(logs.Part.ONCE, "an answer has no copy", service=share.service)


async def finish_handover(
    me: slotownership.ProcessId,
    shares: collections.abc.Mapping[
        ids.ServiceName, slotownership.SlotOwnership
    ],
    sender: copies.CopySender,
) -> None:
    """Returns when no record here is needed by a newer owner any more.

    A leaving node stays until nothing of its own still runs and the new
    owners of its slots have asked for what it knows.  Gone earlier, its
    callers' repeats would get `unknown` where a copy is missing.
    """
    tell_at = asyncio.get_running_loop().time() + LOG_AFTER_SECONDS
    while not all(may_leave(share, me) for share in shares.values()):
        now = asyncio.get_running_loop().time()
        if now >= tell_at:
            tell_at = math.inf
            for share in shares.values():
                log_pending(share, me)
        for share in shares.values():
            await copies.hand_over(share, sender, now)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def may_leave(
    share: slotownership.SlotOwnership, me: slotownership.ProcessId
) -> bool:
    """Whether this node may go without taking knowledge along."""
    return not (
        unfinished_records(share, me)
        or share.owned_slots
        or share.unfetched_slots()
    )


def unfinished_records(
    share: slotownership.SlotOwnership, me: slotownership.ProcessId
) -> list[records.Record]:
    """Returns the records of calls that run on this host."""
    return [
        record
        for record in share.registry.by_key.values()
        if record.state in UNFINISHED_STATES and record.runner == me.host
    ]


def log_pending(
    share: slotownership.SlotOwnership, me: slotownership.ProcessId
) -> None:
    """Logs what keeps a leaving node from going."""
    logs.say(
        logs.Part.ONCE,
        "a leaving node still has keys",
        service=share.service,
        view=share.view.version,
        seen=share.newest_version,
        unfinished=[
            (record.state.name.lower(), record.runner_incarnation)
            for record in unfinished_records(share, me)
        ],
        own_incarnation=me.incarnation,
        slots_owned=len(share.owned_slots),
        slots_not_fetched=len(share.unfetched_slots()),
    )
