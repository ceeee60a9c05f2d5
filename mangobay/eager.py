"""Eager tasks: their first step runs when they are created.

asyncio runs the first step of a task in the next iteration of the event loop,
and each iteration polls the sockets.  Most requests need little more than that
first step.
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
    """Returns a task that has run up to its first wait.

    Called within another task, it starts the new one in the next iteration of
    the loop, as `asyncio.create_task` does.
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

    # Creating a task schedules its first step through loop.call_soon.  run_now
    # takes its place for that one call and runs the step at once.
    loop.call_soon = run_now
    return asyncio.Task(coroutine, loop=loop)
