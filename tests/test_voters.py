"""Quorums while the voters change."""

from mangobay import ids, voters
from mangobay.generated import messages


def entry(index: int, *disks: str) -> messages.LogEntry:
    peers = [messages.Peer(identity=ids.DiskId(disk)) for disk in disks]
    body = messages.VoterChange(voters=peers)
    return messages.LogEntry(index=index, term=1, body=body)


def reached(by: dict[str, int]):
    return lambda disk: by.get(disk, 0)


class TestQuorum:
    """What counts as a majority before and after a change is committed."""

    def test_a_pending_change_needs_both_majorities(self):
        """The disk b is replaced by d; only its leader and d have the entry.

        The hosts that have not seen the change are b and c, a majority of
        the former voters: they could elect another leader.  So a and d alone
        must not commit anything yet.
        """
        group = voters.Voters()
        group.add_entries([entry(1, "a", "b", "c"), entry(5, "a", "c", "d")])
        held = {"a": 9, "d": 9}
        assert group.quorum_value(4, reached(held)) == 0
        assert group.quorum_value(4, reached(held | {"c": 7})) == 7
        assert group.quorum_value(5, reached(held)) == 9

    def test_a_cut_change_is_forgotten(self):
        group = voters.Voters()
        group.add_entries([entry(1, "a", "b", "c"), entry(5, "a", "c", "d")])
        group.truncate(5)
        assert group.is_voter(ids.DiskId("b"))
        assert not group.has_pending_change(1)

    def test_nobody_known_is_no_quorum(self):
        assert voters.Voters().quorum_value(0, reached({"a": 9})) < 0
