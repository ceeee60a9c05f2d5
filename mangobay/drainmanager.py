"""Accepts work until the process stops, then drains it."""

import asyncio
import collections.abc
import typing

from mangobay import errors, logs

Result = typing.TypeVar("Result")


class DrainManager:
    """Runs work, and refuses it once draining.

    Attributes:
      draining: whether new work is refused.
      running_tasks: the tasks in flight.
    """

    def __init__(self):
        self.draining = False
        self.running_tasks: set[asyncio.Task] = set()

    async def run(
        self,
        make_coroutine: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, Result]
        ],
    ) -> Result:
        """Runs a coroutine and returns its result; cancelled with its caller.

        Raises:
          errors.ShuttingDownError: the work was not started.
          errors.AbortedByShutdownError: the work was aborted; its effect is
            unknown.
        """
        if self.draining:
            raise errors.ShuttingDownError("this host stops; ask another one")
        task = asyncio.create_task(make_coroutine())
        self.running_tasks.add(task)
        task.add_done_callback(self.running_tasks.discard)
        try:
            return await task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise errors.AbortedByShutdownError(
                "this host stops; send it again to another one"
            ) from None

    async def drain(self, timeout: float) -> None:
        """Refuses new work; aborts work that outlasts the timeout."""
        self.draining = True
        if self.running_tasks:
            await asyncio.wait(set(self.running_tasks), timeout=timeout)
        if self.running_tasks:
            logs.log_event(
                logs.Component.CONTROL,
                "calls aborted",
                calls=len(self.running_tasks),
            )
        for task in self.running_tasks:
            task.cancel()
