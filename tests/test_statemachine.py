"""The replicated state of the control group."""

import controlfakes

from mangobay import statemachine, views
from mangobay.generated import messages


def apply(state, *bodies):
    """Applies bodies as the next entries; returns their indices."""
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
        """Two operators send different sheets under version 7 at once.

        Both entries are committed, the second even compared with the table
        of the first. The first is in force; the second changes nothing on
        any host, and `versions` names the winner, revision 1.
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
        """The answer to version 1 is lost; version 2 is accepted meanwhile.

        The operator sends version 1 again. It keeps its first revision, and
        version 2 stays in force.
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
        """Two sheets of different versions are compared with one table.

        The second entry holds only what differs from a table that is no
        longer in force: applied, it would mix both sheets. Nothing of it is.
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
    """The views that membership makes."""

    def test_each_change_makes_a_view_that_follows_on_the_former(self):
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

    def test_a_service_whose_members_all_died_still_has_a_former_view(self):
        """Both nodes of a service die; later they come back.

        Between, the service has no members. The new owners must know that
        keys may have run under the last living view, or a repeated booking
        would run again; so that view stays the former one.
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

    def test_the_end_of_an_old_run_leaves_the_new_one_in(self):
        """A host restarts just before the leader declares its old run gone.

        The new run is committed first. The late entry names the old
        incarnation and must not take the new one out of the view.
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

    def test_a_host_returns_under_its_address_with_another_service(self):
        """A host is given another backend server and comes back.

        Callers of its former service must not reach it under the old
        address: it leaves that view and joins the other in one entry.
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

    def test_a_leaving_host_stays_a_member_until_it_is_gone(self):
        state = statemachine.ConfigStateMachine()
        apply(
            state,
            controlfakes.make_member_join("a", "quotes"),
            controlfakes.make_member_join("a", "quotes", leaving=True),
        )
        assert state.views["quotes"].members[0].leaving
        assert not views.former_members(state.views["quotes"])[0].leaving

    def test_a_drain_ends_with_the_run_that_it_asked_to_leave(self):
        state = statemachine.ConfigStateMachine()
        apply(state, controlfakes.make_member_join("a", "quotes"))
        apply(state, messages.DrainChange(host="a"))
        assert state.draining == {"a"}
        apply(
            state, controlfakes.make_member_join("a", "quotes", incarnation="2")
        )
        assert state.draining == set()


class TestBounds:
    """What would grow with every sheet for ever."""

    def accept_sheets(self, state, count, removing=False):
        """Accepts sheets, each with a row of its own."""
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

    def test_a_sheet_of_long_ago_is_refused_and_not_applied(self, monkeypatch):
        """Version v1 left the history; its operator sends it again.

        Its answer was lost days ago. Taken for a new version, its rows would
        replace those of every sheet since. It changes nothing, also on a
        control host that started from a snapshot.
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

    def test_forgotten_removals_cost_a_node_behind_them_its_whole_rows(
        self, monkeypatch
    ):
        """A node slept through more removals than are remembered.

        A difference would leave rows in its table that were removed long
        ago, and calls would go on to them. It gets all rows; a node that is
        not so far behind still gets the difference.
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

    def test_everything_comes_back(self):
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

    def test_a_node_behind_the_snapshot_gets_its_rows_whole(self):
        """A control host restarts from a snapshot made at revision 2.

        A node that still is at revision 1 renews there. Which rows changed
        since is no longer known, so it gets all of them, removed ones left
        out.
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
