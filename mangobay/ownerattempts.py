"""Attempts of one keyed call at the owner of its key and at its successors.

An owner that stands still accepts calls and never replies to them. Its lease
ends, and the view names a new owner, which may run the call: it learns first
what the former owner may have started.
"""

import asyncio
import collections.abc

from mangobay import slotownership
from mangobay.generated import messages

Outcome = messages.Outcome
Attempt = collections.abc.Callable[
    [messages.Member], collections.abc.Coroutine[None, None, messages.Reply]
]
"""Makes one attempt at a member."""
FindOwner = collections.abc.Callable[[], messages.Member | None]
"""Returns the owner by the newest view."""

OWNER_CHECK_SECONDS = 0.25
"""Seconds between two looks at the view while no reply has come."""


class OwnerAttempts:
    """Asks the owner of a key, and the new one if the owner is replaced.

    Attributes:
      attempt: makes one attempt at a member.
      find_owner: returns the owner by the newest view.
      max_successors: most new owners that are asked.
      tasks: the attempts in their order.
    """

    def __init__(
        self, attempt: Attempt, find_owner: FindOwner, max_successors: int
    ):
        self.attempt = attempt
        self.find_owner = find_owner
        self.max_successors = max_successors
        self.tasks: list[asyncio.Task[messages.Reply]] = []

    async def run(self, owner: messages.Member) -> messages.Reply:
        """Returns the reply of the owner or of a successor.

        Args:
          owner: the owner by the newest view.
        """
        asked = slotownership.process_id_of(owner)
        self.start(owner)
        try:
            while not self.is_decided():
                await asyncio.wait(
                    [task for task in self.tasks if not task.done()],
                    timeout=OWNER_CHECK_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                successor = self.find_owner()
                if (
                    successor is None
                    or slotownership.process_id_of(successor) == asked
                    or len(self.tasks) > self.max_successors
                    or self.is_decided()
                ):
                    continue
                asked = slotownership.process_id_of(successor)
                self.start(successor)
            return self.final_reply()
        finally:
            for task in self.tasks:
                task.cancel()

    def start(self, member: messages.Member) -> None:
        """Starts an attempt at a member."""
        self.tasks.append(asyncio.create_task(self.attempt(member)))

    def replies(self) -> list[messages.Reply]:
        """Returns the replies so far, those of the latest owners last."""
        return [task.result() for task in self.tasks if task.done()]

    def is_decided(self) -> bool:
        """Returns whether no further reply is needed."""
        replies = self.replies()
        return len(replies) == len(self.tasks) or any(
            reply.outcome is Outcome.ANSWERED for reply in replies
        )

    def final_reply(self) -> messages.Reply:
        """Returns the reply for the caller.

        `not_run` holds for the owner that said it only. While another may
        have run the call, the caller must not be told so.
        """
        replies = self.replies()
        for outcome in (Outcome.ANSWERED, Outcome.UNKNOWN):
            for reply in reversed(replies):
                if reply.outcome is outcome:
                    return reply
        return replies[-1]
