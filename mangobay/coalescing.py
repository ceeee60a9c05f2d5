"""How long news wait at the leader for further news.

The load that this answers: hundreds of nodes join, leave or restart within
seconds.  Told at once, each change would be an answer and a new renewal of
every node, and the leader would spend the product of nodes and changes.
"""

MAX_GRANTS_PER_SECOND = 400
"""Answers with news in a second that one leader gives."""

MAX_DELAY_SECONDS = 0.5
"""Seconds; below what a node may act by former routes or views."""


def delay_seconds(node_count: int) -> float:
    """Returns how long news wait for further news.

    Args:
      node_count: whose renewals are held.
    """
    return min(node_count / MAX_GRANTS_PER_SECOND, MAX_DELAY_SECONDS)
