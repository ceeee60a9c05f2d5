"""The voters of the control group and their quorums."""

import dataclasses
import typing

from mangobay import ids
from mangobay.generated import messages


@dataclasses.dataclass(frozen=True, slots=True)
class VoterConfig:
    """A voter configuration, in force from one log index on.

    Attributes:
      index: index of the log entry that names the voters.
      change: the voters.
    """

    index: int
    change: messages.VoterChange


class Voters:
    """The voter configurations that the log names.

    A voter is a disk, not a host. A host that returns with an empty disk has
    another identity, and neither its votes nor its acknowledgements count
    until the log names that identity.

    As in Raft's joint consensus, while a change is not known to be committed,
    a quorum needs a majority of the old voters and one of the new voters. If
    a majority of the new voters were enough, the hosts that have not seen the
    change could elect a leader without any host that has.

    Attributes:
      configs: the configurations in the snapshot and in the log, oldest
        first. At least one committed configuration is retained.
    """

    def __init__(self) -> None:
        self.configs: list[VoterConfig] = []

    def add_entries(self, entries: list[messages.LogEntry]) -> None:
        """Adds the configurations among entries appended to the log."""
        for entry in entries:
            match entry.body:
                case messages.VoterChange() as change:
                    self.configs.append(VoterConfig(entry.index, change))

    def restore_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Replaces older configurations by that of a snapshot."""
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
        """Drops the configurations from a truncated index on."""
        self.configs = [
            config for config in self.configs if config.index < index
        ]

    def voters_at(self, index: int) -> messages.VoterChange:
        """Returns the voters as of a log index."""
        changes = [
            config.change for config in self.configs if config.index <= index
        ]
        return changes[-1] if changes else messages.VoterChange()

    def active_voter_sets(
        self, commit_index: int
    ) -> list[messages.VoterChange]:
        """Returns the sets of voters that each need a majority in a quorum."""
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
        """Returns the voters of the newest configuration."""
        return self.configs[-1].change.voters if self.configs else []

    def newest_learners(self) -> list[messages.Peer]:
        """Returns the former voters that the newest configuration names."""
        return self.configs[-1].change.learners if self.configs else []

    def has_pending_change(self, commit_index: int) -> bool:
        """Returns whether the newest configuration is not yet committed."""
        return bool(self.configs) and self.configs[-1].index > commit_index

    def is_voter(self, identity: ids.DiskId) -> bool:
        """Returns whether the newest configuration names a disk."""
        return any(peer.identity == identity for peer in self.newest())

    def quorum_value(
        self, commit_index: int, value: typing.Callable[[ids.DiskId], float]
    ) -> float:
        """Returns the highest value that a quorum of the voters has reached.

        Args:
          commit_index: index of the newest entry known to be committed.
          value: returns the value of one voter.

        Returns:
          The value, or minus infinity if no voters are known.
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
        """Returns the highest value that all newest voters have reached."""
        values = (value(peer.identity) for peer in self.newest())
        return min(values, default=float("-inf"))


def majority_value(
    voters: list[messages.Peer], value: typing.Callable[[ids.DiskId], float]
) -> float:
    """Returns the highest value that a majority of voters has reached."""
    values = sorted((value(peer.identity) for peer in voters), reverse=True)
    return values[len(values) // 2]
