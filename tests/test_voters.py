"""Tests of quorums while the voters change."""

from mangobay import ids, voters
from mangobay.generated import messages


def entry(index: int, *disks: str) -> messages.LogEntry:
    peers = [messages.Peer(identity=ids.DiskId(disk)) for disk in disks]
    body = messages.VoterChange(voters=peers)
    return messages.LogEntry(index=index, term=1, body=body)


def value_of(values: dict[str, int]):
    return lambda disk: values.get(disk, 0)


class TestQuorum:
    """Quorums before and after a change is committed."""

    def test_pending_change_needs_both_majorities(self):
        """Two leaders commit entries while a voter is replaced.

        The disk b is replaced by d, and only the leader a and d have the
        change. b and c are a majority of the old voters and could elect
        another leader, so a and d alone must not commit yet.
        """
        voter_configs = voters.Voters()
        voter_configs.add_entries(
            [entry(1, "a", "b", "c"), entry(5, "a", "c", "d")]
        )
        indexes = {"a": 9, "d": 9}
        assert voter_configs.quorum_value(4, value_of(indexes)) == 0
        assert voter_configs.quorum_value(4, value_of(indexes | {"c": 7})) == 7
        assert voter_configs.quorum_value(5, value_of(indexes)) == 9

    def test_truncated_change_is_discarded(self):
        voter_configs = voters.Voters()
        voter_configs.add_entries(
            [entry(1, "a", "b", "c"), entry(5, "a", "c", "d")]
        )
        voter_configs.truncate(5)
        assert voter_configs.is_voter(ids.DiskId("b"))
        assert not voter_configs.has_pending_change(1)

    def test_no_known_voters_are_no_quorum(self):
        assert voters.Voters().quorum_value(0, value_of({"a": 9})) < 0
