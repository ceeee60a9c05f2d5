"""Runs that are refused, and what is learned from runs that end."""

import asyncio

import pytest

from mangobay import (
    calls,
    execution,
    exposure,
    ids,
    localservices,
    options,
    quarantine,
    quarantinenotices,
    requestdigest,
    retryallowance,
    runguard,
    serverwatch,
)
from mangobay.generated import messages, settings

pytestmark = pytest.mark.looptime

CONFIG = settings.NodeQuarantine(after=3, pause=1.0, max_pause=8.0, forget=60.0)
Outcome = messages.Outcome
Reason = messages.Reason
CALL = messages.Call(service="stock", method="GET", target="/x")


class FakeDetector:
    """Finds the end that the test names."""

    def __init__(self):
        self.end_id = None
        self.delay = 0.0

    async def find_end(self, address, sent_at, end_ids):
        await asyncio.sleep(self.delay)
        return self.end_id


class Network:
    """Delivers notices between guards after a delay.

    Attributes:
      exchanges: exchanges by the port of their node.
      cut: ports that cannot be reached.
      sent: number of notices.
    """

    def __init__(self, delay=0.005):
        self.delay = delay
        self.exchanges = {}
        self.cut = set()
        self.sent = 0

    async def send_request(self, address, body, timeout):
        self.sent += 1
        await asyncio.sleep(self.delay)
        if address.port in self.cut:
            await asyncio.sleep(timeout)
            raise TimeoutError
        return self.exchanges[address.port].handle(body)

    def add_node(self, number):
        state = quarantine.Quarantine(CONFIG)
        exchange = quarantinenotices.QuarantineExchange(
            ids.HostId(f"h{number}"), self, state
        )
        self.exchanges[number] = exchange
        guard = runguard.RunGuard(
            state, exchange, runguard.number_ends(f"run-{number}")
        )
        guard.has_open_connection = lambda: True
        return guard

    def publish_view(self, numbers):
        members = [
            messages.Member(
                host=f"h{number}", peer_address=f"127.0.0.1:{number}"
            )
            for number in numbers
        ]
        view = messages.ServiceView(service="stock", members=members)
        for number in numbers:
            self.exchanges[number].update_served(["stock"])
            self.exchanges[number].update_views({"stock": view})


class Run:
    """One run of a call at the backend server beside a guard."""

    def __init__(self, guard):
        self.guard = guard
        self.running_call = retryallowance.RunningCall(
            retryallowance.RetryAllowance(0)
        )
        self.local_service = localservices.LocalService(
            announcement=localservices.Announcement(
                service="stock",
                address=options.Address("127.0.0.1", 1),
                slots=1,
            ),
            renewed_at=0.0,
            admission=None,
        )
        self.local_service.crash_detector = FakeDetector()

    async def begin(self):
        return await self.guard.begin(CALL, self.running_call)

    async def end(self, reply):
        now = asyncio.get_running_loop().time()
        self.guard.start(CALL, self.local_service, self.running_call)
        self.guard.finish(reply, self.running_call)
        await self.guard.end(
            CALL, reply, self.local_service, self.running_call, now
        )
        return reply

    async def crash(self, end_id):
        self.local_service.crash_detector.end_id = end_id
        return await self.end(calls.unknown_reply(Reason.CONNECTION_BROKEN))


async def outlive(guard):
    """Lets the backend server live on after a run."""
    await asyncio.sleep(exposure.OUTLIVE_SECONDS)
    guard.find_watch("stock").record_life(asyncio.get_running_loop().time())
    await asyncio.sleep(runguard.RESOLVE_SECONDS)


def refuse(guard):
    return guard.refuse(CALL, Run(guard).running_call)


async def begin(guard):
    return await guard.begin(CALL, Run(guard).running_call)


def answered(status=200):
    return messages.Reply(outcome=Outcome.ANSWERED, status=status)


async def quarantine_at(guard):
    for number in range(CONFIG.after):
        await Run(guard).crash(f"e{number}")


class TestRefusals:
    """Quarantined requests at the node beside a backend server."""

    async def test_a_quarantined_request_is_refused_as_not_run(self):
        """Callers are not told that it did not run, or when to come back."""
        guard = Network().add_node(1)
        await quarantine_at(guard)
        reply = refuse(guard)
        assert (reply.outcome, reply.reason) == (
            Outcome.NOT_RUN,
            Reason.QUARANTINED,
        )
        assert 900 <= reply.retry_after_ms <= 1000

    async def test_a_broken_connection_is_no_end(self):
        """Responses that are lost quarantine the requests that lost them."""
        guard = Network().add_node(1)
        for _ in range(10):
            await Run(guard).crash(None)
        assert guard.quarantine.is_empty

    async def test_only_one_of_many_repeats_is_the_test(self):
        """All repeats that wait for the pause run at once after it."""
        guard = Network().add_node(1)
        await quarantine_at(guard)
        await asyncio.sleep(1.1)
        refusals = await asyncio.gather(*(begin(guard) for _ in range(20)))
        assert refusals.count(None) == 1

    async def test_an_error_response_releases_it(self):
        """A request that fails without ending its server stays refused."""
        guard = Network().add_node(1)
        await quarantine_at(guard)
        await asyncio.sleep(1.1)
        run = Run(guard)
        assert await run.begin() is None
        await run.end(answered(500))
        await outlive(guard)
        assert refuse(guard) is None

    async def test_a_caller_that_hangs_up_does_not_hide_an_end(self):
        """A caller that leaves at once ends servers without being noticed."""
        guard = Network().add_node(1)
        run = Run(guard)
        run.local_service.crash_detector.delay = 0.01
        task = asyncio.create_task(run.crash("e1"))
        await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert not guard.quarantine.is_empty


class TestCallsOfRuns:
    """Ends under the calls that a run makes."""

    async def test_they_count_for_the_run_that_failed_by_them(self):
        """Repeats of the run make its calls again, each with a new digest."""
        guard = Network().add_node(1)
        run = Run(guard)
        run.running_call.end_ids = {"e1", "e2", "e3"}
        reply = await run.end(answered(500))
        assert reply.end_ids == ["e1", "e2", "e3"]
        assert refuse(guard).reason is Reason.QUARANTINED

    async def test_a_run_that_succeeded_is_no_suspect(self):
        """A request whose calls were answered elsewhere is refused."""
        guard = Network().add_node(1)
        run = Run(guard)
        run.running_call.end_ids = {"e1", "e2", "e3"}
        await run.end(answered(200))
        assert guard.quarantine.is_empty

    async def test_a_run_makes_no_more_calls_after_three_ends(self):
        """One run ends a server with each of many different calls."""
        guard = Network().add_node(1)
        running_call = Run(guard).running_call
        assert guard.refuse_child(running_call) is None
        running_call.end_ids = {"e1", "e2", "e3"}
        assert guard.refuse_child(running_call).reason is Reason.QUARANTINED


class TestNotices:
    """Nodes of a service tell each other."""

    async def test_an_end_is_known_elsewhere_before_the_reply(self):
        """The retry of the call arrives at a node before the notice."""
        network = Network()
        guards = [network.add_node(number) for number in (1, 2, 3)]
        network.publish_view([1, 2, 3])
        for number, guard in enumerate(guards):
            await Run(guard).crash(f"e{number}")
        assert all(refuse(guard) for guard in guards)

    async def test_a_node_that_cannot_be_reached_delays_a_reply_briefly(self):
        """Replies wait for nodes that are cut off."""
        network = Network()
        guard = network.add_node(1)
        network.add_node(2)
        network.publish_view([1, 2])
        network.cut.add(2)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await Run(guard).crash("e1")
        assert loop.time() - started_at < 0.1

    async def test_all_requests_in_progress_are_told_in_one_notice(self):
        """A crash sends as many notices as requests were in progress."""
        network = Network()
        guard = network.add_node(1)
        network.add_node(2)
        network.publish_view([1, 2])
        await asyncio.sleep(1)
        network.sent = 0
        await asyncio.gather(*(Run(guard).crash("e1") for _ in range(50)))
        assert network.sent == 1

    async def test_a_restarted_node_asks_the_others(self):
        """A node that was restarted runs what all others refuse."""
        network = Network()
        guard = network.add_node(1)
        network.add_node(2)
        network.publish_view([1, 2])
        await quarantine_at(guard)
        restarted = network.add_node(2)
        network.publish_view([1, 2])
        await asyncio.sleep(0.1)
        assert refuse(restarted) is not None

    async def test_a_restarted_node_asks_before_its_server_is_announced(self):
        """Guards against ends that are forgotten as the last other node ends."""
        network = Network()
        guard = network.add_node(1)
        network.add_node(2)
        network.publish_view([1, 2])
        await Run(guard).crash("e1")
        restarted = network.add_node(2)
        exchange = network.exchanges[2]
        exchange.expected = "stock"
        exchange.update_views(network.exchanges[1].views)
        await asyncio.sleep(0.1)
        network.cut.add(1)
        exchange.update_served(["stock"])
        await asyncio.sleep(0.1)
        assert list(restarted.quarantine.suspects) == [
            requestdigest.digest_of(CALL)
        ]

    async def test_runs_wait_for_the_answers_after_a_restart(self):
        """Guards against a first run of what the others know as quarantined."""
        network = Network(delay=0.1)
        guard = network.add_node(1)
        network.add_node(2)
        network.publish_view([1, 2])
        await quarantine_at(guard)
        restarted = network.add_node(2)
        network.publish_view([1, 2])
        refusal = await begin(restarted)
        assert refusal.reason is Reason.QUARANTINED

    async def test_runs_do_not_wait_long_for_answers(self):
        """Guards against a silent node that keeps others from serving."""
        network = Network()
        network.add_node(1)
        restarted = network.add_node(2)
        network.cut.add(1)
        network.publish_view([1, 2])
        began_at = asyncio.get_running_loop().time()
        for _ in range(3):
            assert await begin(restarted) is None
        waited = asyncio.get_running_loop().time() - began_at
        assert waited == pytest.approx(quarantinenotices.ANSWER_WAIT_SECONDS)

    async def test_a_node_whose_question_was_lost_asks_again(self):
        """A node that could not ask at its start runs what others refuse."""
        network = Network()
        guard = network.add_node(1)
        network.add_node(2)
        network.publish_view([1, 2])
        await quarantine_at(guard)
        restarted = network.add_node(2)
        network.cut.add(1)
        network.publish_view([1, 2])
        await asyncio.sleep(3)
        network.cut.clear()
        network.publish_view([1, 2])
        await asyncio.sleep(0.1)
        assert restarted.quarantine.quarantined

    async def test_only_one_node_tests(self):
        """Every node tests when the pause is over, and each ends a server."""
        network = Network()
        guards = [network.add_node(number) for number in (1, 2, 3)]
        network.publish_view([1, 2, 3])
        await quarantine_at(guards[0])
        await asyncio.sleep(1.1)
        refusals = [await begin(guard) for guard in guards]
        assert refusals.count(None) == 1

    async def test_a_release_reaches_the_other_nodes(self):
        """A request that was answered stays refused at other nodes."""
        network = Network()
        guards = [network.add_node(number) for number in (1, 2)]
        network.publish_view([1, 2])
        await quarantine_at(guards[0])
        await asyncio.sleep(1.1)
        run = Run(guards[0])
        assert await run.begin() is None
        await run.end(answered())
        await outlive(guards[0])
        await asyncio.sleep(1)
        assert guards[1].quarantine.is_empty


class TestClaims:
    """Runs of a suspected request before it is quarantined."""

    async def fleet(self, count=8):
        network = Network()
        guards = [network.add_node(number) for number in range(1, count + 1)]
        network.publish_view(range(1, count + 1))
        await asyncio.sleep(1)
        return network, guards

    async def test_open_runs_and_ends_stay_below_the_limit(self):
        """All repeats that are under way end a server each."""
        _, guards = await self.fleet()
        await Run(guards[0]).crash("e1")
        refusals = await asyncio.gather(*(begin(guard) for guard in guards))
        assert 1 <= refusals.count(None) <= CONFIG.after - 1

    async def test_a_claim_outlives_the_node_that_made_it(self):
        """A node that ends with its server takes what it knew with it."""
        network, guards = await self.fleet()
        await Run(guards[0]).crash("e1")
        for number in (2, 3):
            assert await begin(guards[number]) is None
            network.cut.add(number + 1)
        assert await begin(guards[5]) is not None

    async def test_a_claim_is_withdrawn_if_the_server_goes_on(self):
        """Runs that broke off for another reason use up the claims."""
        _, guards = await self.fleet()
        await Run(guards[0]).crash("e1")
        for _ in range(2 * CONFIG.after):
            run = Run(guards[4])
            assert await run.begin() is None
            await run.end(calls.unknown_reply(Reason.CANCELLED))
            await outlive(guards[4])
            await asyncio.sleep(quarantine.RETRY_SECONDS)

    async def test_a_run_that_was_not_sent_claims_nothing(self):
        """Refusals of a backend server use up the claims."""
        _, guards = await self.fleet()
        await Run(guards[0]).crash("e1")
        for _ in range(2 * CONFIG.after):
            run = Run(guards[4])
            assert await run.begin() is None
            await run.end(calls.not_run_reply(Reason.BACKEND_SHED))
            await asyncio.sleep(0.1)

    async def test_the_claimed_end_counts_once(self):
        """One end counts as claimed, and again as detected."""
        _, guards = await self.fleet()
        await Run(guards[0]).crash("e1")
        run = Run(guards[4])
        assert await run.begin() is None
        await run.crash("e2")
        (suspect,) = guards[2].quarantine.suspects.values()
        assert len(suspect.end_ids) == 2

    async def test_one_silent_keeper_does_not_stop_a_sound_request(self):
        """A node that is cut off keeps suspected requests from running."""
        network, guards = await self.fleet()
        await Run(guards[0]).crash("e1")
        digest = requestdigest.digest_of(CALL)
        keepers = guards[0].exchange.keepers_of("stock", digest)
        ports = {int(keeper.host[1:]) for keeper in keepers}
        network.cut.add(min(ports))
        other = min(set(range(1, 9)) - ports)
        assert await begin(guards[other - 1]) is None

    async def test_a_test_needs_a_majority_of_the_keepers(self):
        """A part that is cut off tests although another one does."""
        network, guards = await self.fleet()
        await quarantine_at(guards[0])
        await asyncio.sleep(1.1)
        digest = requestdigest.digest_of(CALL)
        keepers = guards[0].exchange.keepers_of("stock", digest)
        ports = {int(keeper.host[1:]) for keeper in keepers}
        network.cut.update(sorted(ports)[:2])
        other = min(set(range(1, 9)) - ports)
        assert await begin(guards[other - 1]) is not None


class TestMissedNotices:
    """Nodes that were told nothing for a time."""

    async def test_a_member_that_was_cut_off_is_told_later(self):
        """A notice that was lost is never sent again."""
        network = Network()
        guards = [network.add_node(number) for number in (1, 2)]
        network.publish_view([1, 2])
        await asyncio.sleep(1)
        network.cut.add(2)
        await quarantine_at(guards[0])
        await asyncio.sleep(3)
        network.cut.clear()
        await asyncio.sleep(4)
        assert guards[1].quarantine.quarantined

    async def test_nodes_that_are_restarted_together(self):
        """A rack of restarted nodes asks only nodes that know nothing."""
        network = Network()
        guards = [network.add_node(number) for number in range(1, 13)]
        network.publish_view(range(1, 13))
        await asyncio.sleep(1)
        await quarantine_at(guards[11])
        restarted = [network.add_node(number) for number in range(1, 5)]
        network.publish_view(range(1, 13))
        await asyncio.sleep(0.5)
        assert all(guard.quarantine.quarantined for guard in restarted)

    async def test_a_node_whose_server_is_back_asks_the_others(self):
        """A node was no member while its server was down, and told nothing."""
        network = Network()
        guards = [network.add_node(number) for number in (1, 2)]
        network.publish_view([1, 2])
        await asyncio.sleep(1)
        network.exchanges[2].update_served([])
        network.exchanges[1].update_views({})
        await quarantine_at(guards[0])
        network.publish_view([1, 2])
        await asyncio.sleep(0.1)
        assert refuse(guards[1]) is not None


class TestResponses:
    """Responses of suspected requests."""

    async def test_a_server_that_ends_after_its_response(self):
        """A response releases the request that ends its server right after."""
        guard = Network().add_node(1)
        await Run(guard).crash("e1")
        run = Run(guard)
        assert await run.begin() is None
        await run.end(answered(500))
        await asyncio.sleep(exposure.OUTLIVE_SECONDS / 2)
        watch = guard.find_watch("stock")
        now = asyncio.get_running_loop().time()
        watch.declare_end(serverwatch.Symptom.REFUSED, now)
        await asyncio.sleep(1)
        (suspect,) = guard.quarantine.suspects.values()
        assert len(suspect.end_ids) == 2

    async def test_a_late_release_keeps_newer_ends(self):
        """A release that comes late forgets what was counted meanwhile."""
        network = Network()
        guards = [network.add_node(number) for number in (1, 2)]
        network.publish_view([1, 2])
        await Run(guards[0]).crash("e1")
        guards[0].tell_release("stock", requestdigest.digest_of(CALL), ["e1"])
        await Run(guards[1]).crash("e2")
        await asyncio.sleep(1)
        (suspect,) = guards[1].quarantine.suspects.values()
        assert list(suspect.end_ids) == ["e2"]

    async def test_a_refuted_end_that_is_told_again(self):
        """A notice that was under way undoes a release."""
        guard = Network().add_node(1)
        await Run(guard).crash("e1")
        digest = requestdigest.digest_of(CALL)
        old = guard.quarantine.to_messages([digest], 0.0)
        guard.quarantine.record_response(digest, ["e1"])
        guard.quarantine.merge(old, 0.0)
        assert guard.quarantine.is_empty

    async def test_a_popular_request_is_refuted_where_it_was_outlived(self):
        """Crashes quarantine the requests that every server answers."""
        network = Network()
        guards = [network.add_node(number) for number in range(1, 6)]
        network.publish_view(range(1, 6))
        await Run(guards[4]).end(answered())
        await outlive(guards[4])
        for guard in guards[:3]:
            await Run(guard).end(answered())
            now = asyncio.get_running_loop().time()
            guard.find_watch("stock").declare_end(
                serverwatch.Symptom.REFUSED, now
            )
        await asyncio.sleep(1)
        assert all(guard.quarantine.is_empty for guard in guards)


class TestCost:
    """What the guard costs requests that nothing is known of."""

    async def test_no_digest_without_suspects(self, monkeypatch):
        """Every request is hashed although no backend server has ended."""
        guard = Network().add_node(1)
        monkeypatch.setattr(
            runguard.requestdigest, "digest_of", lambda call: 1 / 0
        )
        assert refuse(guard) is None
        assert await begin(guard) is None
        await Run(guard).end(answered())


class TestOff:
    """The setting that turns the quarantine off."""

    def test_an_executor_has_no_guard_by_default(self):
        """The setting `after = 0` does not turn it off."""
        services = localservices.LocalServices(5, None, lambda services: None)
        process = calls.Process("me", "centre", "run-1")
        executor = execution.CallExecutor(process, services, None, None)
        assert executor.guard is None
