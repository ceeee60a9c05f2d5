"""The leader's watch for voters that do not answer it.

Such a voter weakens the group without any other sign: changes are accepted as
before, but fewer disks may be lost than the settings promise.
"""

import typing

from mangobay import ids, logs, membership
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import consensus


class VoterWatch:
    """Logs once that a voter is silent, and once that it no longer is.

    Attributes:
      silent: the voters that do not answer, by disk; empty unless this host
        leads.
    """

    def __init__(self) -> None:
        self.silent: dict[ids.DiskId, messages.Peer] = {}

    def update(self, group: "consensus.Group") -> None:
        """Logs what has changed since the last call."""
        silent = {
            voter.identity: voter
            for voter in membership.find_silent_voters(group)
        }
        if group.leading.is_set():
            for identity in silent.keys() - self.silent.keys():
                log_voter(group, "voter does not answer", silent[identity])
            for identity in self.silent.keys() - silent.keys():
                event = (
                    "voter answers again"
                    if group.voters.is_voter(identity)
                    else "silent voter is replaced"
                )
                log_voter(group, event, self.silent[identity])
        self.silent = silent


def log_voter(
    group: "consensus.Group", event: str, voter: messages.Peer
) -> None:
    """Logs an event of one voter."""
    logs.log_event(
        logs.Component.GROUP,
        event,
        host=voter.host,
        address=voter.address,
        voters=len(group.voters.newest()),
        tolerance=group.settings.tolerance,
        term=group.term,
    )
