"""Who votes in the control group, and what a quorum of them is."""

import dataclasses
import typing

from mangobay import ids
from mangobay.generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class VoterConfig:
    """The voters from one index of the log on.

    Attributes:
      index: where the log names them.
      change: who they are.
    """

    index: int
    change: messages.VoterChange


class Voters:
    """The voters that the log names.

    A voter is a disk, not a host: one that comes back empty has another
    identity, and neither its votes nor its acknowledgements count until the
    log names it.

    While the newest change is not known to be committed, a quorum is a
    majority of the former voters and also of the new ones.  With a majority
    of the new ones alone, the hosts that have not seen the change could
    elect a leader without any host that has.

    Attributes:
      configs: the changes at hand, oldest first; one is left at least of
        those that are committed.
    """

    def __init__(self) -> None:
        self.configs: list[VoterConfig] = []

    def add_entries(self, entries: list[messages.LogEntry]) -> None:
        """Takes in the changes among entries added to the log."""
        for entry in entries:
            match entry.body:
                case messages.VoterChange() as change:
                    self.configs.append(VoterConfig(entry.index, change))

    def restore_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Takes in the voters of a snapshot, in place of what came before."""
        if not snapshot.voters.voters:
            return
        later = [
            config
            for config in self.configs
            if config.index > snapshot.last_index
        ]
        base = VoterConfig(snapshot.last_index, snapshot.voters)
        self.configs = [base, *later]

    def truncate(self, index: int) -> None:
        """Drops the changes of entries that were cut from the log."""
        self.configs = [
            config for config in self.configs if config.index < index
        ]

    def voters_at(self, index: int) -> messages.VoterChange:
        """Returns the voters that the log names up to an index."""
        changes = [
            config.change for config in self.configs if config.index <= index
        ]
        return changes[-1] if changes else messages.VoterChange()

    def active_voter_sets(
        self, commit_index: int
    ) -> list[messages.VoterChange]:
        """Returns the sets of voters whose majorities make a quorum now."""
        pending = [
            config.change
            for config in self.configs
            if config.index > commit_index
        ]
        committed = [
            config.change
            for config in self.configs
            if config.index <= commit_index
        ]
        return committed[-1:] + pending

    def newest(self) -> list[messages.Peer]:
        """Returns the voters that the last change names."""
        return self.configs[-1].change.voters if self.configs else []

    def has_pending_change(self, commit_index: int) -> bool:
        """Whether a change is not known to be committed."""
        return bool(self.configs) and self.configs[-1].index > commit_index

    def is_voter(self, identity: ids.DiskId) -> bool:
        """Whether the last change names a disk."""
        return any(peer.identity == identity for peer in self.newest())

    def quorum_value(
        self, commit_index: int, value: typing.Callable[[ids.DiskId], float]
    ) -> float:
        """Returns the highest value that a quorum of the voters has reached.

        Args:
          commit_index: newest index known to be committed.
          value: what one voter has reached.

        Returns:
          The value; minus infinity when no voters are known.
        """
        voter_sets = self.active_voter_sets(commit_index)
        if not voter_sets:
            return float("-inf")
        return min(
            majority_value(change.voters, value) for change in voter_sets
        )

    def unanimous_value(
        self, value: typing.Callable[[ids.DiskId], float]
    ) -> float:
        """Returns what every one of the newest voters has reached."""
        values = (value(peer.identity) for peer in self.newest())
        return min(values, default=float("-inf"))


def majority_value(
    voters: list[messages.Peer], value: typing.Callable[[ids.DiskId], float]
) -> float:
    """Returns the highest value that more than half of the voters reached."""
    values = sorted((value(peer.identity) for peer in voters), reverse=True)
    return values[len(values) // 2]
