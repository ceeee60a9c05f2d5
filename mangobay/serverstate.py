"""Tracks what a backend server says about itself in its responses."""

from mangobay import backend


class ServerStateTracker:
    """The state of one incarnation of a backend server.

    Attributes:
      current: the last known state.
      limited_at: loop time of the last response that named a limit.
      has_responded: whether the state comes from a response; before the first
        one, other nodes may know it.
    """

    __slots__ = ("current", "has_responded", "limited_at")

    def __init__(self):
        self.current = backend.NORMAL_STATE
        self.limited_at = float("-inf")
        self.has_responded = False

    def observe(
        self, state: backend.ServerState, sent_at: float, now: float
    ) -> bool:
        """Records the state in a response.

        Responses may arrive out of order: a limit ends only with the response
        to a request that was sent after the limit was last named.  Leaving is
        final.

        Args:
          state: the state in the response.
          sent_at: loop time at which the request was sent.
          now: loop time.

        Returns:
          Whether the current state has changed.
        """
        self.has_responded = True
        rate_limit = state.rate_limit
        if rate_limit is not None:
            self.limited_at = now
        elif sent_at < self.limited_at:
            rate_limit = self.current.rate_limit
        return self.update(rate_limit, state.leaving)

    def adopt(self, state: backend.ServerState) -> bool:
        """Records what another node knows.

        Other nodes may lag behind: a limit of theirs counts only before the
        first response, and the lowest one.

        Returns:
          Whether the current state has changed.
        """
        limits = [self.current.rate_limit]
        if not self.has_responded:
            limits.append(state.rate_limit)
        known = [limit for limit in limits if limit is not None]
        return self.update(min(known, default=None), state.leaving)

    def update(self, rate_limit: float | None, leaving: bool) -> bool:
        """Changes the current state; returns whether it differs."""
        previous = self.current
        self.current = backend.ServerState(
            rate_limit=rate_limit, leaving=leaving or previous.leaving
        )
        return self.current != previous
