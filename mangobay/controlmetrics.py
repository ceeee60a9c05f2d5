"""Metrics of a control host, read when they are scraped."""

import dataclasses
import typing

from prometheus_client import metrics_core, registry

from mangobay import invariants, leases, quota, statemachine

if typing.TYPE_CHECKING:
    from mangobay import operatorapi

METRIC_PREFIX = "mangobay_control_"


class ControlCollector(registry.Collector):
    """Collects gauges of the group, the state machine and the leases.

    Attributes:
      gauges: name without prefix, and help text, of each gauge.
    """

    gauges = (
        ("leads", "1 while this host leads."),
        ("term", "Newest term this host has heard of."),
        ("commit_index", "Newest committed entry."),
        ("votes", "1 while this host is a voter by its own log."),
        ("voters", "Voters that this host knows of."),
        ("silent_voters", "Voters that do not answer; leader only."),
        ("revision", "Newest accepted revision."),
        ("history_items", "Accepted sheets in the history."),
        ("services", "Services that have or had members."),
        ("hosts", "Hosts that are not gone."),
        ("stragglers", "Hosts that act by an older revision; leader only."),
        (
            "unreadable_routes",
            "Hosts that cannot read the newest routes; leader only.",
        ),
        ("inactive_views", "Views not yet active; leader only."),
        ("held_renewals", "Renewals that wait for news; leader only."),
    )

    def __init__(
        self,
        group: "operatorapi.Group",
        state_machine: statemachine.ConfigStateMachine,
        lease_table: leases.LeaseTable,
    ):
        self.group = group
        self.machine = state_machine
        self.leases = lease_table

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yields every metric."""
        values = self.gauge_values()
        for name, text in self.gauges:
            yield metrics_core.GaugeMetricFamily(
                METRIC_PREFIX + name, text, value=values[name]
            )
        yield self.invariant_counter(
            "invariant_checks", "Promises checked.", invariants.check_counts
        )
        yield self.invariant_counter(
            "invariant_failures",
            "Promises that failed.",
            invariants.violation_counts,
        )

    def gauge_values(self) -> dict[str, float]:
        """Returns the value of each gauge by name."""
        revision = self.machine.revision
        waiting_renewals = self.leases.notifier.events_by_host.values()
        view_activity = self.leases.view_activity
        return {
            "leads": int(self.group.leading.is_set()),
            "term": self.group.term,
            "commit_index": self.group.commit_index,
            "votes": int(self.group.is_voter),
            "voters": len(self.group.voter_addresses()),
            "silent_voters": self.group.silent_voter_count(),
            "revision": revision,
            "history_items": len(self.machine.history),
            "services": len(self.machine.views),
            "hosts": len(self.machine.members),
            "stragglers": len(
                self.leases.revision_reports.rollout_status(revision).stragglers
            ),
            "unreadable_routes": len(self.leases.unreadable_routes),
            "inactive_views": len(view_activity.newest_versions)
            - len(view_activity.active_services),
            "held_renewals": sum(map(len, waiting_renewals)),
        }

    def invariant_counter(
        self, name: str, text: str, counts: typing.Mapping
    ) -> metrics_core.Metric:
        """Returns a counter with one sample for each invariant."""
        metric = metrics_core.CounterMetricFamily(
            METRIC_PREFIX + name, text, labels=["promise"]
        )
        for invariant in invariants.Invariant:
            metric.add_metric([invariant.value], counts[invariant])
        return metric


class QuotaCollector(registry.Collector):
    """Collects the quotas of workspaces and what was decided by them.

    Attributes:
      quotas: the quotas of this control host.
    """

    def __init__(self, quotas: quota.QuotaAuthority):
        self.quotas = quotas

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yields every metric."""
        rate = metrics_core.GaugeMetricFamily(
            METRIC_PREFIX + "quota_rate",
            "Requests per second that the quota of a workspace allows.",
            labels=["workspace"],
        )
        burst = metrics_core.GaugeMetricFamily(
            METRIC_PREFIX + "quota_burst",
            "Requests that it allows at once.",
            labels=["workspace"],
        )
        for name, limits in self.quotas.quotas.items():
            rate.add_metric([name], limits.rate)
            burst.add_metric([name], limits.burst)
        yield from (rate, burst, self.tokens_family())

    def tokens_family(self) -> metrics_core.Metric:
        """Returns the counter of decisions by workspace."""
        family = metrics_core.CounterMetricFamily(
            METRIC_PREFIX + "quota_tokens",
            "Tokens granted by the leader or from the reserve, given back"
            " unused, and denied, by workspace.",
            labels=["workspace", "decision"],
        )
        for name, counts in self.quotas.counts.items():
            for field in dataclasses.fields(counts):
                value = getattr(counts, field.name)
                family.add_metric([name, field.name], value)
        return family
