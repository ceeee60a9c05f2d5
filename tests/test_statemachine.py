"""Tests of the replicated state machine of the control group."""

import controlfakes

from mangobay import statemachine, views
from mangobay.generated import messages


def apply(state, *bodies):
    """Applies bodies as the next entries; returns their log indices."""
    start = getattr(apply, "index", 0) if state.history else 0
    start = max([start, *(v.version for v in state.views.values())])
    indices = []
    for offset, body in enumerate(bodies, start + 1):
        state.apply(messages.LogEntry(index=offset, term=1, body=body))
        indices.append(offset)
    apply.index = start + len(bodies)
    return indices


def member_ids(members):
    return [(member.host, member.incarnation) for member in members]


class TestSheets:
    """Which sheets are accepted."""

    def test_equal_versions_race_and_the_first_in_the_log_wins(self):
        """Two operators send different sheets of version 7 at once.

        Both entries are committed, the second with the first as its base. The
        first is in force; the second must change nothing on any host, and
        `history_by_version` holds the first, at revision 1.
        """
        state = statemachine.ConfigStateMachine()
        first = controlfakes.make_sheet_change(
            "7", controlfakes.make_operation("sign")
        )
        second = controlfakes.make_sheet_change(
            "7", controlfakes.make_operation("price"), digest=b"other", base=1
        )
        apply(state, first, second)
        assert [row.name for row in state.operations()] == ["sign"]
        assert state.history_by_version["7"].revision == 1
        assert state.history_by_version["7"].digest == first.digest
        assert len(state.history) == 1

    def test_a_sheet_resent_after_later_ones_never_reverts_them(self):
        """An operator resends version 1 after version 2 was accepted.

        The response to version 1 was lost. The resent sheet keeps its first
        revision, and version 2 stays in force.
        """
        state = statemachine.ConfigStateMachine()
        old = controlfakes.make_sheet_change(
            "1", controlfakes.make_operation("sign", tries=1)
        )
        new = controlfakes.make_sheet_change(
            "2", controlfakes.make_operation("sign", tries=2), base=1
        )
        resent = controlfakes.make_sheet_change("1", *old.changed, base=2)
        apply(state, old, new, resent)
        assert state.revision == 2
        assert next(state.operations()).tries == 2
        assert state.history_by_version["1"].revision == 1

    def test_rows_compared_with_an_older_table_are_refused(self):
        """Two sheets of different versions have the same base revision.

        The second entry holds the difference to a table that is not in force
        any more. Applied, it would mix both sheets, so all of it is refused.
        """
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_sheet_change(
                "1", controlfakes.make_operation("sign")
            ),
            controlfakes.make_sheet_change(
                "2", controlfakes.make_operation("price")
            ),
        )
        assert state.revision == 1
        assert "2" not in state.history_by_version

    def test_a_node_gets_only_what_it_lacks_of_its_services(self):
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_sheet_change(
                "1",
                controlfakes.make_operation("sign"),
                controlfakes.make_operation("old"),
                controlfakes.make_operation("rank", service="prices"),
            ),
            controlfakes.make_sheet_change(
                "2",
                controlfakes.make_operation("seal"),
                base=1,
                removed=[("quotes", "old")],
            ),
        )
        update = state.update_since(1, ["quotes"], [])
        assert (update.base, update.revision) == (1, 2)
        assert [row.name for row in update.changed] == ["seal"]
        assert [row.name for row in update.removed] == ["old"]
        update = state.update_since(2, ["quotes", "prices"], ["prices"])
        assert [row.name for row in update.changed] == ["rank"]
        assert state.update_since(0, ["quotes"], []).base == 0


class TestMembers:
    """Views that result from membership changes."""

    def test_each_member_change_makes_one_new_view(self):
        state = statemachine.ConfigStateMachine()
        first, second, _ = apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("b", "quotes"),
            controlfakes.make_member_join("b", "quotes"),
        )
        view = state.views["quotes"]
        assert (view.version, view.formers[0].version) == (second, first)
        assert member_ids(view.members) == [("a", "1"), ("b", "1")]
        assert member_ids(views.former_members(view)) == [("a", "1")]

    def test_a_service_without_members_keeps_its_last_former_view(self):
        """All nodes of a service die; later one comes back.

        In between the service has no members. The last view with members has
        to stay the former view: without it the new owners would not know that
        keys may have run, and would run a repeated booking again.
        """
        state = statemachine.ConfigStateMachine()
        indices = apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("b", "quotes"),
            controlfakes.make_member_gone("a"),
            controlfakes.make_member_gone("b"),
            controlfakes.make_member_join("a", "quotes", incarnation="2"),
        )
        view = state.views["quotes"]
        assert member_ids(view.members) == [("a", "2")]
        assert view.formers[0].version == indices[2]
        assert view.lineage_whole
        assert member_ids(views.former_members(view)) == [("b", "1")]

    def test_removing_an_old_incarnation_keeps_the_new_one(self):
        """A host restarts just before the leader removes its old incarnation.

        The new incarnation is committed first. The later entry, which removes
        the old one, must not remove the new one from the view.
        """
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("a", "quotes", incarnation="2"),
            controlfakes.make_member_gone("a", incarnation="1"),
        )
        view = state.views["quotes"]
        assert member_ids(view.members) == [("a", "2")]
        assert member_ids(views.former_members(view)) == [("a", "1")]

    def test_a_host_that_serves_another_service_leaves_the_former_view(self):
        """A host restarts at the same address with another backend server.

        Callers of its former service must not reach it at that address, so it
        leaves one view and joins the other in a single entry.
        """
        state = statemachine.ConfigStateMachine()
        _, index = apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("a", "prices", incarnation="2"),
        )
        assert state.views["quotes"].members == []
        assert state.views["quotes"].version == index
        assert member_ids(state.views["prices"].members) == [("a", "2")]

    def test_a_leaving_host_stays_a_member(self):
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("a", "quotes", leaving=True),
        )
        assert state.views["quotes"].members[0].leaving
        assert not views.former_members(state.views["quotes"])[0].leaving

    def test_a_drain_ends_with_the_incarnation(self):
        state = statemachine.ConfigStateMachine()
        apply(state, controlfakes.make_member_join("a", "quotes"))
        apply(state, messages.DrainChange(host="a"))
        assert state.draining == {"a"}
        apply(
            state, controlfakes.make_member_join("a", "quotes", incarnation="2")
        )
        assert state.draining == set()


class TestBounds:
    """Bounds on state that grows with each sheet."""

    def accept_sheets(self, state, count, removing=False):
        """Accepts sheets, each with its own row."""
        for number in range(1, count + 1):
            last = controlfakes.make_operation(f"row{number - 1}")
            sheet = controlfakes.make_sheet_change(
                f"v{number}",
                controlfakes.make_operation(f"row{number}"),
                base=state.revision,
                removed=[(last.service, last.name)] if removing else (),
            )
            state.apply(
                messages.LogEntry(index=state.revision + 1, term=1, body=sheet)
            )

    def test_a_version_dropped_from_the_history_is_refused(self, monkeypatch):
        """An operator resends version v1 after the history has dropped it.

        Accepted as a new version, its rows would replace those of all later
        sheets. It must change nothing, also on a control host that started
        from a snapshot.
        """
        monkeypatch.setattr(statemachine, "MAX_HISTORY_ITEMS", 3)
        state = statemachine.ConfigStateMachine()
        self.accept_sheets(state, 5)
        restored = statemachine.ConfigStateMachine()
        restored.restore(state.snapshot())
        for each in (state, restored):
            assert [item.version for item in each.history] == ["v3", "v4", "v5"]
            assert list(each.history_by_version) == ["v3", "v4", "v5"]
            assert each.dropped_history_items == 2
            old = controlfakes.make_sheet_change(
                "v1", controlfakes.make_operation("row1", tries=9), base=5
            )
            apply(each, old)
            assert each.revision == 5
            assert all(row.tries != 9 for row in each.operations())

    def test_a_node_older_than_the_trimmed_removals_gets_all_rows(
        self, monkeypatch
    ):
        """A node has missed more removals than are remembered.

        A difference would leave removed rows in its table, and calls to them
        would go on. It gets all rows; a node that is less far behind still
        gets the difference.
        """
        monkeypatch.setattr(statemachine, "MAX_REMOVED_OPERATIONS", 4)
        state = statemachine.ConfigStateMachine()
        self.accept_sheets(state, 9, removing=True)
        assert len(state.removed_at_revision["quotes"]) <= 4
        assert state.update_since(2, ["quotes"], []).base == 0
        update = state.update_since(8, ["quotes"], [])
        assert update.base == 8
        assert [row.name for row in update.removed] == ["row8"]


class TestSnapshots:
    """The whole state in one message."""

    def test_a_restored_state_equals_the_original(self):
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("b", "quotes"),
            messages.DrainChange(host="b"),
            controlfakes.make_sheet_change(
                "1", controlfakes.make_operation("sign")
            ),
        )
        data = messages.encode_snapshot(state.snapshot())
        restored = statemachine.ConfigStateMachine()
        restored.restore(messages.decode_snapshot(data))
        assert restored.snapshot() == state.snapshot()
        assert restored.history_by_version == state.history_by_version
        assert restored.revision == state.revision

    def test_a_node_older_than_the_snapshot_gets_all_rows(self):
        """A control host restarts from a snapshot of revision 2.

        A node at revision 1 renews there. The snapshot does not hold which rows
        changed since, so the node gets all rows, without the removed ones.
        """
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_sheet_change(
                "1", controlfakes.make_operation("old")
            ),
            controlfakes.make_sheet_change(
                "2",
                controlfakes.make_operation("new"),
                base=1,
                removed=[("quotes", "old")],
            ),
        )
        restored = statemachine.ConfigStateMachine()
        restored.restore(state.snapshot())
        update = restored.update_since(1, ["quotes"], [])
        assert update.base == 0
        assert [row.name for row in update.changed] == ["new"]
