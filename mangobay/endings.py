"""Telling others how keyed calls ended, also when this node leaves."""

import asyncio
import collections.abc
import math

from mangobay import copies, ids, logs, records, tenure
from mangobay.generated import messages

POLL = 0.05
"""Seconds between two looks whether another node owns everything."""
TELL_AFTER = 2.0
"""Seconds of waiting after which the log says what for; handing keys over takes
some tenths of a second, and a stop that takes longer has a cause."""
UNFINISHED = frozenset({records.State.CLAIMED, records.State.STARTED})


async def spread(
    share: tenure.Tenure, sender: copies.CopySender, record: records.Record
) -> None:
    """Tells the slot's owner and holders how a run ended.

    A fenced node waits for the newer view first: under its old one it would
    tell itself, and the new owner would wait for the end of the run for ever.

    The caller has its answer already.  If this process dies before the copies
    arrive, a repeat gets `unknown`, never a second run.
    """
    while share.fenced:
        await share.moved.wait()
    placement = share.placement
    owner = placement.owner(record.slot)
    told = [*placement.holders(record.slot)]
    if owner is not None:
        told.append(owner)
    told = [member for member in told if not share.is_me(member)]
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


async def finish(
    me: tenure.Process,
    shares: collections.abc.Mapping[ids.ServiceName, tenure.Tenure],
    sender: copies.CopySender,
) -> None:
    """Returns when no record here is needed by a newer owner any more.

    A leaving node stays until nothing of its own still runs and the new
    owners of its slots have asked for what it knows.  Gone earlier, its
    callers' repeats would get `unknown` where a copy is missing.
    """
    tell_at = asyncio.get_running_loop().time() + TELL_AFTER
    while not all(is_free(share, me) for share in shares.values()):
        now = asyncio.get_running_loop().time()
        if now >= tell_at:
            tell_at = math.inf
            for share in shares.values():
                say_kept(share, me)
        for share in shares.values():
            await copies.hand_over(share, sender, now)
        await asyncio.sleep(POLL)


def is_free(share: tenure.Tenure, me: tenure.Process) -> bool:
    """Whether this node may go without taking knowledge along."""
    return not (unfinished(share, me) or share.mine or share.unfetched())


def unfinished(
    share: tenure.Tenure, me: tenure.Process
) -> list[records.Record]:
    """Returns the records of calls that run on this host."""
    return [
        record
        for record in share.registry.by_key.values()
        if record.state in UNFINISHED and record.runner == me.host
    ]


def say_kept(share: tenure.Tenure, me: tenure.Process) -> None:
    """Logs what keeps a leaving node from going."""
    logs.say(
        logs.Part.ONCE,
        "a leaving node still has keys",
        service=share.service,
        view=share.view.version,
        seen=share.seen,
        unfinished=[
            (record.state.name.lower(), record.runner_incarnation)
            for record in unfinished(share, me)
        ],
        own_incarnation=me.incarnation,
        slots_owned=len(share.mine),
        slots_not_fetched=len(share.unfetched()),
    )
