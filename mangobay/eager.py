"""Tasks that run at once where asyncio runs them in the next loop iteration.

That is the first step of a task, and the step after the future that a task
waits for is done.  Each iteration of the event loop polls the sockets, and most
requests need little more than these two steps.
"""

import asyncio
import collections.abc
import contextvars
import functools
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
    # Creating a task schedules its first step through loop.call_soon.
    loop.call_soon = functools.partial(run_now, loop)
    return asyncio.Task(coroutine, loop=loop)


def set_result(
    loop: asyncio.AbstractEventLoop,
    future: asyncio.Future[Result],
    result: Result,
) -> None:
    """Sets the result of a future; the task that awaits it runs at once.

    Called within another task, it lets that task run in the next iteration of
    the loop, as `future.set_result` does.
    """
    if asyncio.current_task(loop) is not None:
        future.set_result(result)
        return
    # The step of the waiting task is scheduled through loop.call_soon.
    replacement = loop.call_soon = functools.partial(run_now, loop)
    try:
        future.set_result(result)
    finally:
        # Nothing was scheduled if no task waits yet.
        if loop.call_soon is replacement:
            del loop.call_soon


def run_now(
    loop: asyncio.AbstractEventLoop,
    callback: collections.abc.Callable[..., object],
    *args: object,
    context: contextvars.Context,
) -> None:
    """Takes the place of loop.call_soon for one call, and runs the callback."""
    del loop.call_soon
    context.run(callback, *args)
