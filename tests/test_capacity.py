"""What the slots could serve, worked out by hand."""

import pytest

from bench import capacity, deployment

PRICE = deployment.WorkId("catalogue.price")
ISSUE = deployment.WorkId("quotes.issue")


@pytest.fixture(scope="module")
def plan():
    """Returns the cooperative's deployment."""
    return deployment.read("cedal")


@pytest.fixture
def calm(plan):
    """Returns factors of a cluster without trouble."""
    return {service: 1.0 for service in plan.services}


class TestHeld:
    """Slot seconds of one request."""

    def test_a_slot_is_held_while_its_child_runs(self, plan, calm):
        held = capacity.held_by(plan, PRICE, calm)
        assert held == pytest.approx({"catalogue": 0.020, "pricing": 0.015})

    def test_every_call_of_the_tree_counts(self, plan, calm):
        held = capacity.held_by(plan, ISSUE, calm)
        assert held["pricing"] == pytest.approx(0.027)
        assert held["reservations"] == pytest.approx(0.028)
        assert held["quotes"] == pytest.approx(0.048)


class TestServe:
    """Shares that fit into the slots."""

    def test_everything_where_there_is_room(self, plan, calm):
        wanted = capacity.demands(plan, 10, calm)
        slots = {service: 10 for service in plan.services}
        assert capacity.share_of(capacity.serve(wanted, slots)) == 1.0

    def test_the_more_important_first(self, plan, calm):
        wanted = capacity.demands(plan, 100, calm)
        slots = {service: 100.0 for service in plan.services}
        slots["pricing"] = 10 * 0.027 + 40 * 0.015 / 2
        capacity.serve(wanted, slots)
        shares = {
            deployment.work_id(each.work.operation): each.served
            for each in wanted
        }
        assert shares["quotes.issue"] == pytest.approx(1)
        assert shares["catalogue.price"] == pytest.approx(0.5)
        assert shares["catalogue.stock"] == pytest.approx(1)
        assert shares["catalogue.export"] == pytest.approx(0, abs=1e-6)
