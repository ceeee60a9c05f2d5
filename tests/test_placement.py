"""Placement by the load that backend servers report."""

import routingfakes as fakes

from mangobay import hosts
from mangobay.generated import messages

OPERATION = "quote"


def load_report(
    running=0, waiting=0, slots=10, pace=100, age_ms=0, work_us=20_000
) -> messages.LoadReport:
    """Returns a report of a backend server with runs of 20 ms."""
    return messages.LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        pace=pace,
        age_ms=age_ms,
        work_us=work_us,
        hold_us=work_us,
    )


def observation(
    report: messages.LoadReport | None, **changes
) -> hosts.Observation:
    """Returns a response that carries the report."""
    return hosts.Observation(
        outcome=messages.Outcome.ANSWERED,
        operation=OPERATION,
        load_report=report,
        **changes,
    )


class TestHostReport:
    """What a node keeps of the reports of a host."""

    def test_report_is_dated_back_by_its_age(self):
        """A report that waited at the other node passes for a new one."""
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report(running=3, age_ms=300)), 5.0)
        assert (host.backlog, host.reported_at) == (3, 4.7)

    def test_older_report_does_not_replace_a_newer_one(self):
        """A reply that was held up brings back a former load."""
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report(running=3)), 5.0)
        host.observe(observation(load_report(running=9, age_ms=200)), 5.1)
        assert host.backlog == 3

    def test_calls_that_wait_at_the_node_count(self):
        """The queue is in front of the backend server, which looks idle."""
        host = hosts.Host(fakes.member("a"), 0.0)
        reply = observation(load_report(running=2), inflight=9, limit=4)
        host.observe(reply, 5.0)
        assert (host.backlog, host.parallel) == (9, 4)

    def test_own_calls_since_the_report_are_counted(self):
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report()), 5.0)
        host.record_call_start(5.1)
        host.record_call_start(5.2)
        assert host.sent_since_report == 2
        host.observe(observation(load_report()), 5.3)
        assert host.sent_since_report == 0
