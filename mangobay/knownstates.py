"""What nodes tell each other about the backend servers beside them.

A node that restarts has forgotten what its backend server said before, and
learns it again only from the next response.  So the nodes whose calls it ran
send it, with each call, what they know.
"""

import collections

from mangobay import backend, ids
from mangobay.generated import messages

MAX_STATES = 4096
"""Backend servers remembered; the least recently updated is forgotten."""


def to_messages(
    incarnation: ids.BackendIncarnation, state: backend.ServerState
) -> list[messages.ServerState]:
    """Returns the message for a state, none if there is nothing to tell."""
    if not incarnation or state == backend.NORMAL_STATE:
        return []
    return [
        messages.ServerState(
            incarnation=incarnation,
            leaving=state.leaving,
            limited=state.rate_limit is not None,
            rate_limit=state.rate_limit or 0.0,
        )
    ]


def from_message(message: messages.ServerState) -> backend.ServerState:
    """Returns the state in a message."""
    return backend.ServerState(
        rate_limit=message.rate_limit if message.limited else None,
        leaving=message.leaving,
    )


class KnownStates:
    """The states of the backend servers beside other nodes.

    They are kept when a host leaves the views, since it may come back with the
    same backend server.

    Attributes:
      by_host: messages by service and host, least recently updated first.
    """

    def __init__(self):
        self.by_host: collections.OrderedDict[
            tuple[ids.ServiceName, ids.HostId], list[messages.ServerState]
        ] = collections.OrderedDict()

    def find(
        self, service: ids.ServiceName, host: ids.HostId
    ) -> list[messages.ServerState]:
        """Returns what is known of the backend server, for a call to it."""
        return self.by_host.get((service, host), [])

    def record(
        self,
        service: ids.ServiceName,
        host: ids.HostId,
        reply: messages.Reply,
    ) -> None:
        """Records the state in a reply of a host.

        A reply without a state says that there is nothing to tell only if the
        backend server has answered; a node that has restarted may not know.
        """
        key = (service, host)
        if reply.server_states:
            self.by_host[key] = reply.server_states
            self.by_host.move_to_end(key)
            if len(self.by_host) > MAX_STATES:
                self.by_host.popitem(last=False)
        elif reply.outcome is messages.Outcome.ANSWERED:
            self.by_host.pop(key, None)
