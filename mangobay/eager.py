"""Tasks whose first step runs at once.

The loop looks at its sockets in each turn, and a task runs its first step a
turn after it was made.  Most requests need little more than that step.
"""

import asyncio
import collections.abc
import contextvars
import typing

Result = typing.TypeVar("Result")


def start_task(
    loop: asyncio.AbstractEventLoop,
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result],
) -> asyncio.Task[Result]:
    """Returns a task that has run up to where it first waits.

    Within another task, which the loop does not leave for it, it is started
    in the next turn, as `asyncio.create_task` does.
    """
    if asyncio.current_task(loop) is not None:
        return loop.create_task(coroutine)

    def run_now(
        callback: collections.abc.Callable[..., object],
        *args: object,
        context: contextvars.Context,
    ) -> None:
        del loop.call_soon
        context.run(callback, *args)

    # A task schedules its first step when it is made, by this method.
    loop.call_soon = run_now
    return asyncio.Task(coroutine, loop=loop)
