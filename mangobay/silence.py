"""When a connection counts as silent: a decision by the calls that wait on it.

It handles a connection that stops working without a reset while the other node
still serves.  A slow or frozen node must not be taken for it, so silence alone
decides nothing: a Ping is sent first, and after it the node has to answer on a
new connection while the old one stays silent (`callresolution`).
"""

import dataclasses

DEFAULT_PING_AFTER = 0.3
"""Seconds of silence before a Ping where no target latency is known.

It is well above a round trip between data centres.
"""
MIN_PING_AFTER = 0.05
"""Lower bound in seconds, as most calls are answered within this time."""
MIN_REPLY_WITHIN = 0.1
"""Minimum time for the reply to a Ping, in seconds, besides the round trip.

A node under full load handles its sockets every 10 to 15 ms, and one whose host
runs at a sixth of its speed every 60 to 90 ms.
"""
USUAL_WEIGHT = 0.25
"""Weight of the newest silence in the usual one."""
USUAL_FACTOR = 2.0
"""Multiple of the usual silence after which a Ping is sent at the earliest.

Where a connection has few calls at once, each silence is as long as a call, and
a Ping for each call would cost as much CPU time as a small call.
"""
CHECKS_PER_WAIT = 2
"""Checks of a connection within its shortest wait; more cost CPU time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """How long a connection may be silent while calls wait on it.

    Attributes:
      ping_after: seconds without a byte after which a Ping is sent.
      reply_within: seconds after the Ping within which any byte must come.
    """

    ping_after: float = DEFAULT_PING_AFTER
    reply_within: float = DEFAULT_PING_AFTER

    @property
    def check_interval(self) -> float:
        """Seconds between two checks of the connection."""
        return self.ping_after / CHECKS_PER_WAIT

    def ping_after_usual(self, usual_silence: float) -> float:
        """Returns the seconds of silence before a Ping.

        Args:
          usual_silence: seconds that silences last on the connection while
            calls wait.
        """
        usual = min(USUAL_FACTOR * usual_silence, DEFAULT_PING_AFTER)
        return max(self.ping_after, usual)


DEFAULT_WAITS = Waits()


def find_waits(share: float, patience_ms: int, round_trip: float) -> Waits:
    """Returns the waits of a connection.

    Args:
      share: share of the patience that each of the two waits takes.
      patience_ms: shortest `Call.patience_ms` of the calls on the connection, a
        fixed share of their target latency; 0 if they have none.
      round_trip: seconds that the exchange of Hellos took.
    """
    if not patience_ms:
        return DEFAULT_WAITS
    wait = share * patience_ms / 1000
    return Waits(
        ping_after=min(
            max(wait, MIN_PING_AFTER) + round_trip, DEFAULT_PING_AFTER
        ),
        reply_within=min(max(wait, MIN_REPLY_WITHIN), DEFAULT_PING_AFTER)
        + round_trip,
    )
