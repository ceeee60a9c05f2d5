"""Tests of views and the steps between them."""

import controlfakes
import pytest

from mangobay import statemachine, views
from mangobay.generated import messages


def apply(state, *bodies):
    """Applies bodies as the next entries."""
    newest = max((view.version for view in state.views.values()), default=0)
    for index, body in enumerate(bodies, newest + 1):
        state.apply(messages.LogEntry(index=index, term=1, body=body))


@pytest.fixture
def state():
    state = statemachine.ConfigStateMachine()
    apply(
        state,
        *(controlfakes.make_member_join(host, "quotes") for host in "abc"),
    )
    return state


class TestSteps:
    """Steps from an older view to the newest."""

    def test_steps_lead_from_any_kept_version_to_the_newest_view(self, state):
        apply(
            state,
            controlfakes.make_member_gone("b"),
            controlfakes.make_member_join("d", "quotes"),
            controlfakes.make_member_join("a", "quotes", leaving=True),
        )
        newest = state.views["quotes"]
        for base in newest.formers:
            view = messages.ServiceView(
                service="quotes", version=base.version, members=base.members
            )
            for step in state.view_steps.since("quotes", base.version):
                view = views.apply_step(view, step)
            assert view.version == newest.version
            assert view.members == newest.members

    def test_there_are_no_steps_from_a_version_that_is_not_kept(self, state):
        for number in range(views.MIN_RETAINED_STEPS * 2):
            apply(
                state,
                controlfakes.make_member_join(
                    "a", "quotes", incarnation=f"{number + 2}"
                ),
            )
        assert state.view_steps.since("quotes", 1) is None
        assert state.view_steps.since("quotes", 10_000) is None
        assert state.view_steps.since("prices", 1) is None

    def test_a_restored_state_starts_without_steps(self, state):
        restored = statemachine.ConfigStateMachine()
        restored.restore(state.snapshot())
        version = state.views["quotes"].version
        assert restored.view_steps.since("quotes", version) == []
        assert restored.view_steps.since("quotes", version - 1) is None
        apply(restored, controlfakes.make_member_join("d", "quotes"))
        (step,) = restored.view_steps.since("quotes", version)
        assert step.member.host == "d"

    def test_kept_steps_are_bounded_by_the_members(self, state):
        """Guards against memory that grows with each view of a service."""
        for number in range(1000):
            apply(
                state,
                controlfakes.make_member_join(
                    "a", "quotes", incarnation=f"{number + 2}"
                ),
            )
        max_steps = (
            views.MIN_RETAINED_STEPS + views.RETAINED_STEPS_PER_MEMBER * 3
        )
        assert len(state.view_steps.by_service["quotes"]) == max_steps

    def test_only_the_last_step_of_a_host_is_kept(self, state):
        apply(
            state,
            controlfakes.make_member_gone("b"),
            controlfakes.make_member_join("b", "quotes", incarnation="2"),
        )
        (step,) = views.latest_step_per_host(
            state.view_steps.since("quotes", 3)
        )
        assert step.member.incarnation == "2"

    def test_steps_by_host_end_with_the_newest_version(self, state):
        """Guards against nodes that get the same steps twice."""
        apply(
            state,
            controlfakes.make_member_join("a", "quotes", incarnation="2"),
            controlfakes.make_member_join("b", "quotes", incarnation="2"),
            controlfakes.make_member_join("a", "quotes", incarnation="3"),
        )
        steps = views.latest_step_per_host(state.view_steps.since("quotes", 3))
        assert [step.version for step in steps] == [5, 6]
