"""Views of a service, and the steps between them."""

import controlfakes
import pytest

from mangobay import machine, views
from mangobay.generated import messages


def apply(state, *bodies):
    """Applies bodies as the next entries."""
    newest = max((view.version for view in state.views.values()), default=0)
    for index, body in enumerate(bodies, newest + 1):
        state.apply(messages.LogEntry(index=index, term=1, body=body))


@pytest.fixture
def state():
    state = machine.ConfigMachine()
    apply(state, *(controlfakes.joins(host, "quotes") for host in "abc"))
    return state


class TestSteps:
    """Which way leads from an older view to the newest."""

    def test_steps_lead_from_any_kept_version_to_the_newest_view(self, state):
        apply(
            state,
            controlfakes.goes("b"),
            controlfakes.joins("d", "quotes"),
            controlfakes.joins("a", "quotes", leaving=True),
        )
        newest = state.views["quotes"]
        for base in newest.formers:
            view = messages.ServiceView(
                service="quotes", version=base.version, members=base.members
            )
            for step in state.steps.since("quotes", base.version):
                view = views.after(view, step)
            assert view.version == newest.version
            assert view.members == newest.members

    def test_no_way_leads_from_a_version_that_is_not_kept(self, state):
        for turn in range(views.FEWEST_STEPS * 2):
            apply(state, controlfakes.joins("a", "quotes", run=f"{turn + 2}"))
        assert state.steps.since("quotes", 1) is None
        assert state.steps.since("quotes", 10_000) is None
        assert state.steps.since("prices", 1) is None

    def test_after_a_snapshot_the_way_starts_anew(self, state):
        restored = machine.ConfigMachine()
        restored.restore(state.snapshot())
        version = state.views["quotes"].version
        assert restored.steps.since("quotes", version) == []
        assert restored.steps.since("quotes", version - 1) is None
        apply(restored, controlfakes.joins("d", "quotes"))
        (step,) = restored.steps.since("quotes", version)
        assert step.member.host == "d"

    def test_kept_steps_are_bounded_by_the_members(self, state):
        """Guards against memory that grows with the age of a service."""
        for turn in range(1000):
            apply(state, controlfakes.joins("a", "quotes", run=f"{turn + 2}"))
        most = views.FEWEST_STEPS + views.STEPS_A_MEMBER * 3
        assert len(state.steps.kept["quotes"]) == most

    def test_several_steps_of_a_host_are_told_as_its_last(self, state):
        apply(
            state,
            controlfakes.goes("b"),
            controlfakes.joins("b", "quotes", run="2"),
        )
        (step,) = views.newest_by_host(state.steps.since("quotes", 3))
        assert step.member.incarnation == "2"

    def test_steps_by_host_end_with_the_newest_version(self, state):
        """Guards against nodes that are told the same steps twice."""
        apply(
            state,
            controlfakes.joins("a", "quotes", run="2"),
            controlfakes.joins("b", "quotes", run="2"),
            controlfakes.joins("a", "quotes", run="3"),
        )
        steps = views.newest_by_host(state.steps.since("quotes", 3))
        assert [step.version for step in steps] == [5, 6]
