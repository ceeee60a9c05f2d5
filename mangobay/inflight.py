"""Calls without a reply yet, and their end when the node stops."""

import asyncio
import collections.abc
import dataclasses

from mangobay import calls
from mangobay.generated import messages

REFUSAL_DELIVERY_SECONDS = 0.02
"""Time for refusals on this host to reach their calls."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class InFlightCall:
    """A call without a reply yet.

    Attributes:
      task: task that waits for the reply.
      entered_at: loop time at which the call entered this node.
    """

    task: asyncio.Task
    entered_at: float


class InFlightCalls:
    """The calls that entered at one node.

    Attributes:
      open: calls without a reply yet.
      given_up: whether the node stops and gives up its calls.
      given_up_count: calls that got no reply because of that.
    """

    def __init__(self):
        self.open: set[InFlightCall] = set()
        self.given_up = False
        self.given_up_count = 0

    async def track(
        self, reply: collections.abc.Coroutine[None, None, messages.Reply]
    ) -> messages.Reply:
        """Awaits and returns a reply; `unknown` if the call is given up."""
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
            self.given_up_count += 1
            return calls.unknown_reply(messages.Reason.LEAVING)
        finally:
            self.open.discard(call)

    async def pause(self, seconds: float) -> bool:
        """Waits between two attempts; returns False if the node stops."""
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            if not self.given_up:
                raise
            asyncio.current_task().uncancel()
        return not self.given_up

    async def give_up(self) -> None:
        """Ends every open call with the reply `unknown`.

        Calls that were just refused here, and would be retried at another host,
        first get time to end with that refusal: they have not run.
        """
        self.given_up = True
        await asyncio.sleep(REFUSAL_DELIVERY_SECONDS)
        loop = asyncio.get_running_loop()
        for call in self.open:
            # Runs after the tasks whose replies came in this loop iteration.
            loop.call_soon(self.cancel, call)
        await asyncio.sleep(0)

    def cancel(self, call: InFlightCall) -> None:
        """Cancels a call that is still open."""
        if call in self.open:
            call.task.cancel()
