"""Background tasks that go on after an unexpected exception."""

import asyncio
import collections.abc

from mangobay import logs

RESTART_SECONDS = 1.0
"""Delay before a task is started again; a fault that persists must not take the
processor time of the calls."""

Job = collections.abc.Callable[[], collections.abc.Coroutine[None, None, None]]
"""Runs until it is cancelled; may be called again after it has failed."""


async def keep_running(job: Job) -> None:
    """Runs a job until cancelled, and starts it again if it ends.

    Only for jobs that hold no state while they are not running, so that a new
    start is the same as a delay.
    """
    while True:
        reason = "it returned"
        try:
            await job()
        except Exception as error:  # noqa: BLE001
            reason = repr(error)
        logs.log_event(
            logs.Component.NODE,
            "background task ended and is started again",
            task=getattr(job, "__qualname__", repr(job)),
            why=reason,
        )
        await asyncio.sleep(RESTART_SECONDS)
