"""Callers that wait for a leader of the control group."""

import asyncio
import dataclasses

from mangobay import errors
from mangobay.generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationWaiter:
    """A caller that waits for a confirmation of leadership.

    Attributes:
      round: the round of requests that has to be answered.
      future: resolved when a quorum has answered the round.
    """

    round: int
    future: "asyncio.Future[None]"


class Waiters:
    """Callers with a pending proposal or confirmation of leadership.

    Attributes:
      newest_round: newest round of confirmation that a caller waits for.
      proposals: futures of the callers that wait for an entry, by its index.
      confirmations: the callers that wait for a round of confirmation.
    """

    def __init__(self) -> None:
        self.newest_round = 0
        self.proposals: dict[int, asyncio.Future[messages.LogEntry]] = {}
        self.confirmations: list[ConfirmationWaiter] = []

    def add_proposal(self, index: int) -> "asyncio.Future[messages.LogEntry]":
        """Returns a future that resolves once the entry is applied."""
        future = asyncio.get_running_loop().create_future()
        self.proposals[index] = future
        return future

    def add_confirmation(self) -> "asyncio.Future[None]":
        """Returns a future that resolves once a new round is confirmed."""
        self.newest_round += 1
        future = asyncio.get_running_loop().create_future()
        self.confirmations.append(ConfirmationWaiter(self.newest_round, future))
        return future

    def resolve_proposal(self, entry: messages.LogEntry) -> None:
        """Resolves the future of an applied entry."""
        future = self.proposals.pop(entry.index, None)
        if future and not future.done():
            future.set_result(entry)

    def resolve_confirmations(self, confirmed_round: float) -> None:
        """Resolves the futures of all rounds up to the confirmed one."""
        waiting = []
        for waiter in self.confirmations:
            if waiter.round > confirmed_round:
                waiting.append(waiter)
            elif not waiter.future.done():
                waiter.future.set_result(None)
        self.confirmations = waiting

    def fail_all(self, error: errors.NotLeaderError) -> None:
        """Fails all futures because this host is no longer the leader."""
        proposals, self.proposals = self.proposals, {}
        for index, future in proposals.items():
            if not future.done():
                future.set_exception(errors.LeadershipLostError(index))
        confirmations, self.confirmations = self.confirmations, []
        for waiter in confirmations:
            if not waiter.future.done():
                waiter.future.set_exception(error)
