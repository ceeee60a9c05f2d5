"""Delay that lets the leader send several changes in one grant.

Hundreds of nodes may join, leave or restart within seconds. Without the delay
each change would cause a grant and a new renewal for every node, and the
leader's load would grow with the product of nodes and changes.
"""

MAX_GRANTS_PER_SECOND = 400
"""Grants with changes that a leader sends per second."""

MAX_DELAY_SECONDS = 0.5
"""Seconds; shorter than a node may use outdated routes or views."""


def delay_seconds(node_count: int) -> float:
    """Returns how long a change waits for further changes.

    Args:
      node_count: number of nodes whose renewals are waiting.
    """
    return min(node_count / MAX_GRANTS_PER_SECOND, MAX_DELAY_SECONDS)
