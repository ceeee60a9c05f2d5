"""Calls that have no reply yet, and how they end when their node does."""

import asyncio
import collections.abc
import dataclasses

from mangobay import calls
from mangobay.generated import messages

REFUSAL_DELIVERY_SECONDS = 0.02
"""For refusals on this host to reach their calls."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class InFlightCall:
    """One call.

    Attributes:
      task: waits for its reply.
      entered_at: loop time.
    """

    task: asyncio.Task
    entered_at: float


class InFlightCalls:
    """The calls of one node.

    Attributes:
      open: those that have no reply yet.
      given_up: they were given up, since the node ends.
    """

    def __init__(self):
        self.open: set[InFlightCall] = set()
        self.given_up = False

    async def track(
        self, reply: collections.abc.Coroutine[None, None, messages.Reply]
    ) -> messages.Reply:
        """Returns the reply to a call, `unknown` if it is given up."""
        call = InFlightCall(
            asyncio.current_task(), asyncio.get_running_loop().time()
        )
        self.open.add(call)
        try:
            return await reply
        except asyncio.CancelledError:
            # `give_up` cancels the wait for the reply, not the caller's task.
            if not self.given_up:
                raise
            call.task.uncancel()
            return calls.unknown_reply(messages.Reason.LEAVING)
        finally:
            self.open.discard(call)

    async def pause(self, seconds: float) -> bool:
        """Waits between two attempts; returns False if the node ends."""
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            if not self.given_up:
                raise
            asyncio.current_task().uncancel()
        return not self.given_up

    async def give_up(self) -> None:
        """Ends every call; their callers are told `unknown`.

        Calls that were refused, and would go on to another host, are told so:
        they have not run.
        """
        self.given_up = True
        await asyncio.sleep(REFUSAL_DELIVERY_SECONDS)
        loop = asyncio.get_running_loop()
        for call in self.open:
            # Behind the tasks to which a reply has come in this turn.
            loop.call_soon(self.cancel, call)
        await asyncio.sleep(0)

    def cancel(self, call: InFlightCall) -> None:
        """Cancels a call unless its reply has come."""
        if call in self.open:
            call.task.cancel()
