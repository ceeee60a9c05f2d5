"""Work that a process takes until it is told to stop."""

import asyncio
import collections.abc
import typing

from mangobay import errors, logs

Result = typing.TypeVar("Result")


class DrainManager:
    """Carries work; once drained, it takes no more.

    Attributes:
      draining: no more work is taken.
      running_tasks: tasks of the work in flight.
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
        """Returns the result of work, which ends with its caller.

        Raises:
          errors.LeavingError: the work was not begun.
          errors.CutShortError: it was given up; what it did is not known.
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
        """Takes no more work, and gives up what lasts longer than a time."""
        self.draining = True
        if self.running_tasks:
            await asyncio.wait(set(self.running_tasks), timeout=timeout)
        if self.running_tasks:
            logs.log_event(
                logs.Component.CONTROL,
                "calls cut",
                calls=len(self.running_tasks),
            )
        for task in self.running_tasks:
            task.cancel()
