"""Placement by the load that backend servers report."""

import asyncio
import collections
import random

import pytest
import routingfakes as fakes

from mangobay import hosts, placement, routing
from mangobay.generated import messages

OPERATION = "quote"
NORMAL = messages.Importance.NORMAL


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

    def test_reply_without_report_ends_the_former_one(self):
        """The node there distrusts the reports, and callers go on using them."""
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report()), 5.0)
        host.observe(observation(None, limit=4), 5.1)
        assert placement.predict(host, OPERATION, 5.1) is None

    @pytest.mark.parametrize(
        "outcome, reason",
        [
            (messages.Outcome.NOT_RUN, messages.Reason.CONNECTION_FAILED),
            (messages.Outcome.UNKNOWN, messages.Reason.CONNECTION_BROKEN),
            (messages.Outcome.UNKNOWN, messages.Reason.DEADLINE_EXCEEDED),
        ],
    )
    def test_unreachable_host_has_no_report(self, outcome, reason):
        """Half of the hosts are cut off, and their last reports attract calls.

        Ejection takes no more than a share of the hosts out of use.
        """
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report()), 5.0)
        host.observe(hosts.Observation(outcome=outcome, reason=reason), 5.1)
        assert placement.predict(host, OPERATION, 5.1) is None


class TestPrediction:
    """How long a call would take at a host."""

    @staticmethod
    def predict(age=0.0, own_calls=0, **report) -> float | None:
        """Returns the prediction from one report after its age."""
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report()), 0.0)
        host.observe(observation(load_report(**report)), 1.0)
        for _ in range(own_calls):
            host.record_call_start(1.0)
        return placement.predict(host, OPERATION, 1.0 + age)

    def test_time_of_an_idle_host_is_its_work_at_its_pace(self):
        assert self.predict(pace=250) == pytest.approx(0.05)

    def test_waiting_requests_and_own_calls_prolong_it(self):
        """Calls go to a full backend server because its work is fast."""
        full = self.predict(running=10)
        assert full > self.predict(running=9) > self.predict()
        waiting = self.predict(running=10, waiting=10)
        assert waiting == pytest.approx(full + 0.02)
        assert self.predict(own_calls=12) > full

    def test_reports_count_less_with_their_age(self):
        """The pace changes many times a second."""
        times = [self.predict(age, pace=400) for age in (0.0, 0.3, 1.0, 4.0)]
        assert times == sorted(times, reverse=True)
        assert times[-1] < 0.04
        assert self.predict(placement.MAX_REPORT_AGE + 0.1) is None

    def test_host_without_known_work_has_no_prediction(self):
        assert self.predict(work_us=0) is not None
        host = hosts.Host(fakes.member("a"), 0.0)
        host.observe(observation(load_report(work_us=0)), 0.0)
        assert placement.predict(host, OPERATION, 0.0) is None


def make_router(*members: messages.Member, **changes) -> routing.Router:
    """Returns a router that knows these hosts."""
    router = routing.Router(
        fakes.section("routing", **changes),
        fakes.section("admission"),
        fakes.LOCAL_DATA_CENTRE,
        random.Random(fakes.SEED),
    )
    router.update_views(fakes.view(1, *members))
    return router


def tell(router: routing.Router, host: str, report, **changes) -> None:
    """Ends a call to the host with this report."""
    router.record_call_start(fakes.QUOTES, host)
    router.record_call_end(fakes.QUOTES, host, observation(report, **changes))


def picks(router: routing.Router, count=200, excluded=()) -> dict[str, int]:
    """Returns how often each host is picked while no call is in flight."""
    return collections.Counter(
        router.pick(
            fakes.QUOTES, set(excluded), NORMAL, 1, operation=OPERATION
        ).host
        for _ in range(count)
    )


@pytest.mark.looptime
class TestPick:
    """Hosts picked by reports."""

    async def make(self, paces, **changes) -> routing.Router:
        """Returns a router with a host for each pace, None for no report."""
        router = make_router(*map(fakes.member, paces), **changes)
        for host, pace in paces.items():
            report = load_report(pace=pace) if pace else None
            tell(router, host, report, limit=10)
        return router

    async def test_fast_host_is_preferred(self):
        router = await self.make({"a": 250, "b": 100, "c": 250})
        assert picks(router)["b"] > 120

    async def test_setting_turns_reports_off(self):
        router = await self.make({"a": 250, "b": 100}, placement="load")
        assert 60 < picks(router)["a"] < 140

    async def test_hosts_without_reports_get_calls_as_before(self):
        """Backend servers that report no pace are starved or flooded."""
        router = await self.make({"a": 100, "b": None, "c": None})
        for count in picks(router, 300).values():
            assert 60 < count < 140

    async def test_excluded_and_failing_hosts_are_not_picked(self):
        """A backend server that fails fast reports that it is idle."""
        router = await self.make({"a": 100, "b": 150, "c": 150})
        assert picks(router, excluded={"a"})["a"] == 0
        for _ in range(30):
            tell(router, "a", load_report(), status=500)
        assert picks(router)["a"] < 20

    async def test_stalled_host_gets_no_more_calls_than_it_can_run(self):
        """It stands still while its last report says that it is idle."""
        router = await self.make({"a": 100, "b": 200, "c": 200})
        sent = 0
        for _ in range(400):
            (host,) = picks(router, 1)
            if host == "a":
                router.record_call_start(fakes.QUOTES, "a")
                sent += 1
            else:
                tell(router, host, load_report(pace=200))
            await asyncio.sleep(0.01)
        assert sent <= 20

    @pytest.mark.parametrize(
        "work_us, response_bytes, remote_share",
        [(100_000, 100, 1.0), (100_000, 60_000, 0.0), (10_000, 100, 0.0)],
    )
    async def test_calls_leave_a_full_data_centre_only_for_a_clear_gain(
        self, work_us, response_bytes, remote_share
    ):
        """The bytes or the way cost more than the wait that is avoided."""
        router = make_router(
            fakes.member("a"), fakes.member("far", fakes.REMOTE_DATA_CENTRE)
        )
        for host, waiting in (("a", 10), ("far", 0)):
            report = load_report(10 if waiting else 0, waiting, work_us=work_us)
            load = {"inflight": 10 + waiting if waiting else 0, "limit": 10}
            tell(router, host, report, response_bytes=response_bytes, **load)
        assert picks(router)["far"] == 200 * remote_share


@pytest.mark.looptime
class TestManyCallers:
    """Nodes that see the same idle backend server."""

    async def test_one_idle_host_does_not_get_all_calls(self):
        """Every node sends to it at once, and it is overrun."""
        names = [f"h{number}" for number in range(20)]
        router = make_router(*map(fakes.member, names))
        for name in names:
            tell(router, name, load_report(running=10, waiting=5))
        tell(router, "h0", load_report())
        tell(router, "h1", load_report(running=10, waiting=5))
        share = picks(router, 1000)["h0"] / 1000
        assert share < 2.5 * placement.DRAWN_HOSTS / len(names)

    async def test_newest_report_attracts_calls_until_the_slots_are_taken(self):
        """A node sends all its calls to the host that it heard of last."""
        names = [f"h{number}" for number in range(20)]
        router = make_router(*map(fakes.member, names))
        for name in reversed(names):
            tell(router, name, load_report(pace=100 if name == "h0" else 200))
        sent = collections.Counter()
        for _ in range(60):
            (host,) = picks(router, 1)
            router.record_call_start(fakes.QUOTES, host)
            sent[host] += 1
        assert 8 <= sent["h0"] <= 20


@pytest.mark.looptime
class TestOwnHost:
    """Whether a call stays with the backend server on the caller's host."""

    @pytest.mark.parametrize(
        "own_pace, leaves", [(100, False), (120, False), (300, True)]
    )
    async def test_call_leaves_a_slow_own_host(self, own_pace, leaves):
        """Calls that enter beside a slow backend server all wait for it."""
        router = make_router(*map(fakes.member, ("own", "b", "c")))
        for host, pace in (("own", own_pace), ("b", 100), ("c", 100)):
            tell(router, host, load_report(pace=pace))
        service_hosts = router.services[fakes.QUOTES]
        now = asyncio.get_running_loop().time()
        own = service_hosts.hosts["own"]
        assert leaves is router.is_elsewhere_better(
            service_hosts, own, OPERATION, set(), now
        )
        service_hosts.mark_leaving(service_hosts.hosts["b"])
        assert not router.is_elsewhere_better(
            service_hosts, own, OPERATION, {"c"}, now
        )
