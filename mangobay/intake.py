"""Work that a process takes until it is told to stop."""

import asyncio
import collections.abc
import typing

from mangobay import errors, logs

Result = typing.TypeVar("Result")


class Intake:
    """Carries work; once drained, it takes no more.

    Attributes:
      closed: no more work is taken.
      running: tasks of the work in flight.
    """

    def __init__(self):
        self.closed = False
        self.running: set[asyncio.Task] = set()

    async def carry(
        self,
        work: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, Result]
        ],
    ) -> Result:
        """Returns the result of work, which ends with its caller.

        Raises:
          errors.LeavingError: the work was not begun.
          errors.CutShortError: it was given up; what it did is not known.
        """
        if self.closed:
            raise errors.ShuttingDownError("this host stops; ask another one")
        task = asyncio.create_task(work())
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        try:
            return await task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise errors.AbortedByShutdownError(
                "this host stops; send it again to another one"
            ) from None

    async def drain(self, seconds: float) -> None:
        """Takes no more work, and gives up what lasts longer than a time."""
        self.closed = True
        if self.running:
            await asyncio.wait(set(self.running), timeout=seconds)
        if self.running:
            logs.log_event(
                logs.Component.CONTROL, "calls cut", calls=len(self.running)
            )
        for task in self.running:
            task.cancel()
