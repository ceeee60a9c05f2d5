"""Tests of calls on connections that go silent, over loopback."""

import asyncio
import contextlib
import dataclasses

import nodes
import pytest
import silencefakes

from mangobay import (
    callquery,
    callresolution,
    connections,
    errors,
    peers,
    silence,
)
from mangobay.generated import messages

CALLER = messages.Hello(
    host="here", role="node", incarnation="c1", takes_queries=True
)
CALLED = messages.Hello(
    host="there", role="node", incarnation="s1", takes_queries=True
)
TARGET_SECONDS = 1.0
DEADLINE_SECONDS = 5.0
Outcome = messages.Outcome
Resolution = callresolution.Resolution
next_id = iter(range(1, 1000))


def call(operation: str, idempotent: bool = False) -> messages.Call:
    return messages.Call(
        operation=operation,
        idempotent=idempotent,
        call_id=str(next(next_id)),
        deadline_ms=int(DEADLINE_SECONDS * 1000),
        patience_ms=int(TARGET_SECONDS * 500),
    )


class Setup:
    """A calling node, a proxy, and a called node."""

    async def start(self, stack, called_hello=CALLED, config=None):
        self.called = silencefakes.CalledNode(
            called_hello, config or silencefakes.CONFIG
        )
        await self.called.listener.start()
        stack.push_async_callback(self.called.listener.close)
        self.proxy = silencefakes.Proxy(self.called.listener.address)
        self.address = await self.proxy.start()
        stack.push_async_callback(self.proxy.close)
        self.client = peers.PeerClient(CALLER, silence_share=0.3)
        stack.push_async_callback(self.client.close)
        await self.send(call("first"))
        return self

    async def send(self, message: messages.Call) -> messages.Reply:
        return await self.client.send_request(
            self.address, message, DEADLINE_SECONDS
        )

    def start_call(self, message: messages.Call) -> asyncio.Task:
        return asyncio.create_task(self.send(message))

    @property
    def counts(self):
        return self.client.resolver.counts


@pytest.fixture
async def stack():
    async with contextlib.AsyncExitStack() as opened:
        yield opened


@pytest.fixture
async def setup(stack):
    return await Setup().start(stack)


class TestWaits:
    """The decision how long a connection may be silent."""

    @pytest.mark.parametrize("patience_ms", [1, 100, 500, 1000, 10_000])
    @pytest.mark.parametrize("round_trip", [0.0, 0.11])
    def test_slow_and_distant_nodes_have_time_to_reply(
        self, patience_ms, round_trip
    ):
        """Guards against taking a node at a sixth of its speed for gone."""
        waits = silence.find_waits(0.3, patience_ms, round_trip)
        slow_iteration = 6 * 0.015
        assert waits.reply_within >= round_trip + slow_iteration
        assert round_trip < waits.ping_after <= silence.DEFAULT_PING_AFTER
        assert waits.ping_after_usual(100.0) == silence.DEFAULT_PING_AFTER

    def test_waits_follow_the_target_latency(self):
        short, long = (silence.find_waits(0.3, ms, 0.0) for ms in (400, 800))
        assert short.ping_after < long.ping_after


class TestPatience:
    """The patience of calls, which tells how long a connection may be silent."""

    async def test_calls_of_a_stopping_node_do_not_shorten_the_waits(
        self, setup
    ):
        """Guards against replacing sound connections at a planned stop."""
        connection = setup.client.peers[setup.address].connection
        before = connection.waits
        message = dataclasses.replace(call("first"), patience_ms=1)
        await setup.client.send_request(
            setup.address,
            message,
            DEADLINE_SECONDS,
            send_by=asyncio.get_running_loop().time() + DEADLINE_SECONDS,
        )
        assert connection.waits == before


class TestSilentConnection:
    """A connection that stops working without a reset."""

    @pytest.mark.parametrize("remembered", [True, False])
    async def test_call_that_never_arrived_is_refused_for_good(
        self, setup, remembered
    ):
        """Guards against `unknown`, and against a run after the refusal.

        The network delivers the call after the caller was told `not_run`, or
        even later, when the called node has forgotten its id.
        """
        loop = asyncio.get_running_loop()
        setup.proxy.links[0].silence()
        started_at = loop.time()
        with pytest.raises(errors.CallRefusedError):
            await setup.send(call("lost"))
        assert loop.time() - started_at < 0.6 * TARGET_SECONDS
        if not remembered:
            setup.called.memory.ended.clear()
        setup.proxy.links[0].release()
        assert (await setup.send(call("next"))).body == b"next"
        await asyncio.sleep(0.1)
        assert setup.called.runs == ["first", "next"]
        assert setup.counts == {Resolution.REFUSED: 1}

    async def test_call_without_target_latency_is_refused_too(self, setup):
        """Guards against a check that comes too late to send a query."""
        setup.proxy.links[0].silence()
        message = dataclasses.replace(call("lost"), patience_ms=0)
        with pytest.raises(errors.CallRefusedError):
            await setup.send(message)

    async def test_reply_of_running_call_comes_over_the_new_connection(
        self, setup
    ):
        """Guards against a second run, and against the abort of the first."""
        task = setup.start_call(call("slow"))
        await nodes.wait_until(lambda: "slow" in setup.called.runs)
        setup.proxy.links[0].silence()
        await nodes.wait_until(lambda: setup.called.queries)
        (first, _) = sorted(
            setup.called.listener.connections, key=lambda each: each.number
        )
        first.transport.abort()
        await nodes.wait_until(lambda: first.closed)
        setup.called.release.set()
        assert (await task).body == b"slow"
        assert setup.called.runs == ["first", "slow"]

    async def test_replaced_connection_is_closed_at_the_called_node(
        self, setup, monkeypatch
    ):
        """Guards against dead connections that use up the limit of a node."""
        monkeypatch.setattr(peers, "SUPERSEDED_SECONDS", 0.05)
        setup.proxy.links[0].silence()
        with pytest.raises(errors.CallRefusedError):
            await setup.send(call("lost"))
        await nodes.wait_until(
            lambda: len(setup.called.listener.connections) == 1
        )

    async def test_reply_that_was_lost_is_sent_again(self, setup):
        setup.proxy.links[0].replies.clear()
        assert (await setup.send(call("book"))).body == b"book"
        assert setup.called.runs == ["first", "book"]
        assert setup.counts == {Resolution.REPLIED: 1}

    async def test_disconnected_caller_aborts_its_queried_call(self, setup):
        task = setup.start_call(call("slow", idempotent=True))
        await nodes.wait_until(lambda: "slow" in setup.called.runs)
        setup.proxy.links[0].silence()
        await nodes.wait_until(lambda: setup.called.queries)
        task.cancel()
        await nodes.wait_until(lambda: setup.called.aborted == ["slow"])

    @pytest.mark.parametrize("idempotent", [False, True])
    async def test_second_connection_goes_silent_too(self, setup, idempotent):
        """Guards against calls that wait for a query that is lost as well."""
        task = setup.start_call(call("slow", idempotent))
        await nodes.wait_until(lambda: "slow" in setup.called.runs)
        setup.proxy.links[0].silence()
        await nodes.wait_until(lambda: setup.called.queries == 1)
        setup.proxy.links[1].silence()
        if idempotent:
            with pytest.raises(errors.PeerBrokenError):
                await task
            return
        await nodes.wait_until(lambda: setup.called.queries == 2)
        setup.called.release.set()
        assert (await task).body == b"slow"
        assert setup.called.runs == ["first", "slow"]

    async def test_restarted_node_leaves_the_outcome_unknown(self, setup):
        """Guards against `not_run` by a process that knows nothing."""
        task = setup.start_call(call("slow"))
        await nodes.wait_until(lambda: "slow" in setup.called.runs)
        setup.proxy.links[0].silence()
        setup.called.listener.hello = dataclasses.replace(
            CALLED, incarnation="s2"
        )
        with pytest.raises(errors.PeerBrokenError) as raised:
            await task
        assert not isinstance(raised.value, errors.PeerUnreachableError)
        assert not setup.called.queries


class TestOtherNodes:
    """Nodes that must not be asked."""

    async def test_frozen_node_is_not_taken_for_a_dead_connection(self, setup):
        """Guards against giving up calls of a host that is only suspended."""
        setup.proxy.silent_from = 1
        setup.proxy.links[0].silence()
        task = setup.start_call(call("slow"))
        await nodes.wait_until(lambda: len(setup.proxy.links) > 1)
        for link in setup.proxy.links:
            link.release()
        await asyncio.sleep(TARGET_SECONDS)
        assert not setup.called.queries
        assert not setup.client.resolver.replaced_count
        setup.called.release.set()
        assert (await task).body == b"slow"
        assert setup.called.runs == ["first", "slow"]

    async def test_slow_call_on_a_healthy_connection(self, setup):
        task = setup.start_call(call("slow"))
        await asyncio.sleep(TARGET_SECONDS)
        assert len(setup.proxy.links) == 1
        setup.called.release.set()
        assert (await task).body == b"slow"

    async def test_older_node_gets_no_query(self, stack):
        hello = dataclasses.replace(CALLED, takes_queries=False)
        setup = await Setup().start(stack, hello)
        setup.proxy.links[0].silence()
        with pytest.raises(errors.PeerBrokenError):
            await setup.send(call("lost", idempotent=True))
        assert len(setup.proxy.links) == 1

    @pytest.mark.parametrize("operation, pings", [("quick", 0), ("long", 4)])
    async def test_calls_on_a_healthy_connection_cost_few_pings(
        self, setup, monkeypatch, operation, pings
    ):
        """Guards against a Ping for each call that takes a while."""
        sent = []
        send = connections.Connection.send
        monkeypatch.setattr(
            connections.Connection,
            "send",
            lambda self, envelope: (
                sent.append(type(envelope.body)) or send(self, envelope)
            ),
        )
        for _ in range(12):
            await setup.send(call(operation))
            await asyncio.sleep(0.01)
        assert sent.count(messages.Call) == 12
        assert sent.count(messages.Ping) <= 2 * pings


class TestCallMemory:
    """Bounds of what a called node remembers."""

    async def ask(self, node, message, hello=CALLER):
        query = messages.CallQuery(call_id=message.call_id, time_left_ms=1000)
        return await node.memory.answer(hello, query)

    @pytest.mark.parametrize("bound", ["calls", "reply_bytes"])
    async def test_forgotten_call_is_unknown(self, bound):
        """Guards against `not_run` for a call that ran and was forgotten."""
        config = dataclasses.replace(silencefakes.CONFIG, **{bound: 1})
        node = silencefakes.CalledNode(CALLED, config)
        forgotten = call("book")
        await node.memory.run(forgotten, node.serve)
        await node.memory.run(call("other"), node.serve)
        reply = await self.ask(node, forgotten)
        assert reply.outcome is Outcome.UNKNOWN
        assert node.memory.kept_bytes <= 2000

    async def test_memory_is_bounded(self):
        config = dataclasses.replace(
            silencefakes.CONFIG, calls=10, reply_bytes=3000
        )
        node = silencefakes.CalledNode(CALLED, config)
        for _ in range(50):
            await node.memory.run(call("book"), node.serve)
            assert len(node.memory.ended) <= 10
            assert node.memory.kept_bytes <= 3000
            assert len(node.memory.kept_replies) <= 2

    async def test_calls_are_forgotten_after_their_deadline(self, monkeypatch):
        monkeypatch.setattr(callquery, "MARGIN_SECONDS", 0.0)
        monkeypatch.setattr(callquery, "FORGET_INTERVAL_SECONDS", 0.0)
        node = silencefakes.CalledNode(CALLED)
        short = dataclasses.replace(call("book"), deadline_ms=1)
        await node.memory.run(short, node.serve)
        await asyncio.sleep(0.01)
        last = call("other")
        await node.memory.run(last, node.serve)
        assert list(node.memory.ended) == [last.call_id]
        assert not node.memory.may_be_forgotten()

    async def test_query_does_not_wait_for_the_body(self):
        """A query waits until a large response has been sent."""
        node = silencefakes.CalledNode(CALLED)
        message = call("book")
        started, finish = asyncio.Event(), asyncio.Event()

        async def serve(_):
            started.set()
            await finish.wait()
            return messages.Reply(outcome=Outcome.ANSWERED, streamed=True)

        async def handle():
            await node.memory.run(message, serve)
            await asyncio.sleep(3.0)

        task = asyncio.create_task(handle())
        await started.wait()
        query = asyncio.create_task(self.ask(node, message))
        await asyncio.sleep(0)
        finish.set()
        reply = await asyncio.wait_for(query, 1.0)
        assert reply.outcome is Outcome.UNKNOWN
        assert not task.done()
        task.cancel()

    async def test_a_late_refusal_is_not_believed(self, monkeypatch):
        """The called node has forgotten by then that the call has run."""
        resolver = callresolution.CallResolver()

        async def send_query(silent, message, deadline, connect):
            await asyncio.sleep(0.05)
            return messages.Reply(
                outcome=Outcome.NOT_RUN,
                reason=messages.Reason.CONNECTION_FAILED,
            )

        monkeypatch.setattr(resolver, "send_query", send_query)
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        await resolver.query(
            None, call("book"), loop.time() + 0.01, future, None
        )
        assert isinstance(future.exception(), TimeoutError)

    async def test_refused_id_is_not_run_on_any_connection(self):
        node = silencefakes.CalledNode(CALLED)
        message = call("book")
        refusal = await self.ask(node, message)
        assert refusal.outcome is Outcome.NOT_RUN
        assert await node.memory.run(message, node.serve) == refusal
        assert not node.runs


class TestNodes:
    """Whole nodes."""

    @pytest.mark.parametrize("queries", ["yes", "no"])
    async def test_lost_request_is_served_elsewhere(self, tmp_path, queries):
        """Guards against 502 for requests that no backend server has seen."""
        text = f"[silence]\nqueries = {queries}\n"

        async def respond(request):
            return nodes.web.Response(text="done")

        async with nodes.node_cluster(tmp_path) as cluster:
            first = await cluster.start("first", None, text)
            served = [
                await cluster.start(host, respond, text)
                for host in ("second", "third")
            ]
            proxy = silencefakes.Proxy(served[0].peer_listener.address)
            address = await proxy.start()
            cluster.stack.push_async_callback(proxy.close)
            members = [
                dataclasses.replace(member, peer_address=str(address))
                if member.host == "second"
                else member
                for member in cluster.views[-1].members
            ]
            view = dataclasses.replace(
                cluster.views[-1], version=99, members=members
            )
            first.control.views.on_next({"stock": view})
            while not proxy.links:
                await cluster.send_outside(first, "POST", "/stock/book")
            proxy.links[0].silence()
            headers = {"Request-Timeout": "2"}
            statuses = [
                (
                    await cluster.send_outside(
                        first, "POST", "/stock/book", headers=headers
                    )
                )[0]
                for _ in range(6)
            ]
            count = first.peer_client.resolver.counts[Resolution.REFUSED]
            assert (set(statuses) == {200}) == (queries == "yes")
            assert (count > 0) == (queries == "yes")
            gauge = f"mangobay_queried_calls_refused {count:.1f}"
            assert gauge.encode() in first.metrics.render()
