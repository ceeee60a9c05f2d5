"""State of the attempts of one call at the node that dispatches it."""

import dataclasses

from mangobay import ids
from mangobay.generated import messages

BROKEN_REASONS = frozenset(
    {messages.Reason.CONNECTION_BROKEN, messages.Reason.INCOMPLETE_ANSWER}
)
"""Reasons of replies after which the backend server may have ended."""


@dataclasses.dataclass(slots=True)
class RetryState:
    """State of the attempts of one call.

    Attributes:
      excluded: Hosts that are not tried again.
      retries: Number of retries made by this node.
      redirects: Number of redirects.
      unknown_reply: Reply of an attempt that may have run, if any.
      resends: Number of attempts at hosts that were tried before.
      resend: Whether the next attempt is one of these.
      retry_reserved: Whether a retry was withdrawn for the next attempt.
      started_at: Loop time of the first attempt.
      end_ids: Ends of backend servers under the attempts.
      broken: Attempts whose connection broke for a reason not known yet.
    """

    excluded: set[ids.HostId] = dataclasses.field(default_factory=set)
    retries: int = 0
    redirects: int = 0
    resends: int = 0
    resend: bool = False
    unknown_reply: messages.Reply | None = None
    retry_reserved: bool = False
    started_at: float = 0.0
    end_ids: set[ids.BackendEndId] = dataclasses.field(default_factory=set)
    broken: int = 0

    @property
    def possible_ends(self) -> int:
        """Backend servers that may have ended under the call."""
        return len(self.end_ids) + self.broken

    def record(self, reply: messages.Reply) -> None:
        """Records the reply of an attempt, and whether it may have run."""
        if reply.outcome == messages.Outcome.UNKNOWN:
            self.unknown_reply = reply
        if reply.end_ids:
            self.end_ids.update(reply.end_ids)
        elif reply.reason in BROKEN_REASONS:
            self.broken += 1

    def final_reply(self, reply: messages.Reply) -> messages.Reply:
        """Returns the reply for the caller.

        A refusal by the last host holds for that host only.  After an earlier
        attempt that may have run, the caller must not be told `not_run`.
        """
        refused = reply.outcome == messages.Outcome.NOT_RUN
        final = self.unknown_reply if refused and self.unknown_reply else reply
        if self.end_ids:
            final.end_ids = sorted(self.end_ids)
        return final
