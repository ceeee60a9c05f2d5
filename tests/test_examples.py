"""The deployments of the examples."""

import pytest

from bench import deployment, hosts
from mangobay import ids, settings
from mangobay.generated import settings as generated

FIRST_PORT = 7000
"""Of the committed settings: `bench.hosts --first-port 7000`."""


@pytest.fixture(params=["cedal", "isartal"])
def plan(request):
    """Returns each deployment."""
    return deployment.read(request.param)


class TestSettings:
    """The committed settings of every host."""

    def test_are_what_the_deployment_gives(self, plan, tmp_path, monkeypatch):
        committed = deployment.EXAMPLES / plan.name / "settings"
        folder = tmp_path / "settings"
        folder.mkdir()
        monkeypatch.chdir(tmp_path)
        ports = hosts.Ports(FIRST_PORT)
        layout = hosts.lay_out(plan, folder.relative_to(tmp_path), ports)
        hosts.write_all(layout, plan)
        written = {path.name: path.read_text() for path in folder.iterdir()}
        assert written == {
            path.name: path.read_text() for path in committed.glob("*.ini")
        }

    def test_are_sound(self, plan):
        for path in (deployment.EXAMPLES / plan.name).glob("settings/*.ini"):
            if path.name.startswith("control-"):
                sections, cls = generated.CONTROL_SECTIONS, generated.Control
            else:
                sections, cls = generated.NODE_SECTIONS, generated.Node
            assert settings.load(str(path), sections, cls).host.name


class TestGraph:
    """Who calls whom."""

    def depth(self, plan, work):
        calls = plan.works[work].calls
        return 1 + max((self.depth(plan, call) for call in calls), default=0)

    def test_is_four_deep(self, plan):
        outside = [work for work in plan.works if plan.works[work].share]
        assert max(self.depth(plan, work) for work in outside) >= 4

    def test_keeps_to_the_sheet(self, plan):
        for work in plan.works.values():
            if work.share:
                assert plan.table.allows(work.operation, ids.OUTSIDE)
            for call in work.calls:
                called = plan.works[call].operation
                assert plan.table.allows(called, work.operation.service)

    def test_covers_every_operation(self, plan):
        for operation in plan.table.operations():
            target = deployment.target_of(operation, 7)
            assert (
                plan.table.find(operation.service, operation.method, target)
                is operation
            )
