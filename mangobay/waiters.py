"""The callers that wait on a leader of the control group."""

import asyncio
import dataclasses

from mangobay import errors
from mangobay.generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationWaiter:
    """A caller that waits until a quorum confirmed the leader."""

    round: int
    future: "asyncio.Future[None]"


class Waiters:
    """Callers whose entry is not applied or whose round is not confirmed.

    Attributes:
      newest_round: newest round of confirmation that a caller waits for.
      proposals: by index, the callers that wait for an entry.
      confirmations: the callers that wait for a round.
    """

    def __init__(self) -> None:
        self.newest_round = 0
        self.proposals: dict[int, asyncio.Future[messages.LogEntry]] = {}
        self.confirmations: list[ConfirmationWaiter] = []

    def add_proposal(self, index: int) -> "asyncio.Future[messages.LogEntry]":
        """Returns what resolves once the entry is applied."""
        future = asyncio.get_running_loop().create_future()
        self.proposals[index] = future
        return future

    def add_confirmation(self) -> "asyncio.Future[None]":
        """Returns what resolves once a round that starts now is confirmed."""
        self.newest_round += 1
        future = asyncio.get_running_loop().create_future()
        self.confirmations.append(ConfirmationWaiter(self.newest_round, future))
        return future

    def resolve_proposal(self, entry: messages.LogEntry) -> None:
        """Answers the caller of an entry."""
        future = self.proposals.pop(entry.index, None)
        if future and not future.done():
            future.set_result(entry)

    def resolve_confirmations(self, confirmed_round: float) -> None:
        """Answers the callers of every round up to the one reached."""
        waiting = []
        for waiter in self.confirmations:
            if waiter.round > confirmed_round:
                waiting.append(waiter)
            elif not waiter.future.done():
                waiter.future.set_result(None)
        self.confirmations = waiting

    def fail_all(self, error: errors.NotLeaderError) -> None:
        """Tells everyone that the lead is lost."""
        proposals, self.proposals = self.proposals, {}
        for index, future in proposals.items():
            if not future.done():
                future.set_exception(errors.LeadershipLostError(index))
        confirmations, self.confirmations = self.confirmations, []
        for waiter in confirmations:
            if not waiter.future.done():
                waiter.future.set_exception(error)
