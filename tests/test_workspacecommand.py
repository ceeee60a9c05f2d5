"""The command that shows workspaces, against pages of real metrics."""

import types

import prometheus_client
import pytest

from mangobay import (
    controlmetrics,
    errors,
    leanserver,
    metrics,
    metricspage,
    metricstext,
    options,
    quota,
    workspacecommand,
)
from mangobay.generated import messages

QUOTA = messages.WorkspaceQuota(workspace="w1", rate=12.5, burst=20.0)


def control_page():
    """Returns the metrics of a control host that has denied a request."""
    authority = quota.QuotaAuthority(
        types.SimpleNamespace(
            leading=types.SimpleNamespace(is_set=lambda: False)
        ),
        quota.Bounds(window=5.0, overage=0.1, slack=20.0, holders=5),
        None,
        0.0,
    )
    authority.update_quotas([QUOTA], 0.0)
    authority.counts["w1"] = quota.TokenCounts(
        granted=7, reserve=1, denied=3, returned=2
    )
    registry = prometheus_client.CollectorRegistry()
    registry.register(controlmetrics.QuotaCollector(authority))
    return prometheus_client.generate_latest(registry)


def node_page():
    """Returns the metrics of a node with requests of two workspaces."""
    node_metrics = metrics.Metrics()
    for workspace, result, count in (
        ("w1", metrics.WorkspaceResult.ANSWERED, 6),
        ("w1", metrics.WorkspaceResult.OVER_QUOTA, 3),
        ("w2", metrics.WorkspaceResult.FAILED, 1),
    ):
        for _ in range(count):
            node_metrics.record_workspace(workspace, result)
    return metricstext.render(node_metrics)


class TestShowWorkspaces:
    """Pages of several processes, summed up."""

    async def test_pages_of_control_hosts_and_nodes_are_added(self, snapshot):
        pages = (control_page, node_page, node_page)
        listeners = [
            leanserver.Listener(
                options.Address("127.0.0.1", 0),
                metricspage.make_handler(page),
                leanserver.Limits(),
            )
            for page in pages
        ]
        for listener in listeners:
            await listener.start()
        addresses = [listener.address for listener in listeners]
        try:
            result = await workspacecommand.ShowWorkspaces().run(
                types.SimpleNamespace(addresses=addresses), None
            )
        finally:
            for listener in listeners:
                await listener.close(0.0)
        assert "\n".join(result.lines) == snapshot
        assert result.data["w1"]["tokens"]["denied"] == 3

    async def test_process_that_serves_no_metrics_is_named(self):
        arguments = types.SimpleNamespace(
            addresses=[options.Address("127.0.0.1", 1)]
        )
        with pytest.raises(
            errors.MetricsUnavailableError, match=r"127\.0\.0\.1:1 serves no"
        ):
            await workspacecommand.ShowWorkspaces().run(arguments, None)


class TestLabels:
    """Metrics by workspace."""

    def test_workspaces_that_are_gone_are_dropped(self):
        """The number of labels grows with every change of configuration."""
        node_metrics = metrics.Metrics()
        for name in ("w1", "w2"):
            node_metrics.record_workspace(name, metrics.WorkspaceResult.FAILED)
        node_metrics.retain_workspaces({"w2"})
        assert b"w1" not in metricstext.render(node_metrics)
        assert b'workspace="w2"' in metricstext.render(node_metrics)
