"""Tests of the HTTP edges on whole nodes in this process."""

import asyncio
import contextlib
import json

import nodes
import pytest
from aiohttp import web

from mangobay import edges, httpheaders, operationtable, requestmemory

SHORT_GRACE_SETTINGS = "[leaving]\ngrace = 1\n"


async def echo(request):
    return web.Response(text=f"{request.method} {request.raw_path}")


@pytest.fixture
async def cluster(tmp_path):
    async with nodes.node_cluster(tmp_path) as started_cluster:
        yield started_cluster


def reason_of(body: bytes) -> str:
    return json.loads(body)["reason"]


class RawClient:
    """One connection of a caller, with requests written by hand."""

    def __init__(self, address, **more):
        self.address = address
        self.connection_options = more

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            *self.address, **self.connection_options
        )
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    def send(self, method, path, body=b"", *, length=None) -> None:
        """Sends a request, or the first part if `length` exceeds the body."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {length or len(body)}\r\n\r\n"
        self.writer.write(head.encode() + body)

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Returns status, headers (all in lower case) and body."""
        async with asyncio.timeout(nodes.WAIT_SECONDS):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head.strip().split("\r\n")
            found = dict(line.lower().split(": ", 1) for line in lines)
            body = await self.reader.readexactly(int(found["content-length"]))
        return int(first.split()[1]), found, body

    async def is_closed(self) -> bool:
        """Returns whether the connection ends without further bytes."""
        return (
            await asyncio.wait_for(self.reader.read(), nodes.WAIT_SECONDS)
            == b""
        )


class TestBodiesInAll:
    """Bodies that are received at the same time."""

    async def test_bodies_that_hold_most_are_refused(
        self, cluster, monkeypatch
    ):
        """Guards against slow callers that fill a node with their bodies."""
        monkeypatch.setattr(requestmemory, "SMALL_BYTES", 0)
        monkeypatch.setattr(edges, "MAX_BODIES_BYTES", 0, raising=False)
        one = await cluster.start("one", echo, header_timeout=2.0)
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(
                    RawClient(one.outside_listener.address)
                )
                for _ in range(5)
            ]
            for caller in callers:
                caller.send("POST", "/stock/book", bytes(900), length=1000)
            reads = [
                asyncio.create_task(caller.read_response())
                for caller in callers
            ]
            await nodes.wait_until(
                lambda: sum(read.done() for read in reads) >= 3
            )
            for read in reads:
                if read.done():
                    status, headers, body = read.result()
                    assert (status, reason_of(body)) == (503, "overloaded")
                    assert "retry-after" in headers
            for caller in callers:
                caller.writer.write(bytes(100))
            statuses = [status for status, _, _ in await asyncio.gather(*reads)]
            assert sorted(statuses) == [200, 200, 503, 503, 503]


class TestOutsideEdge:
    """Requests of outside callers."""

    async def test_call_reaches_backend_server_and_is_answered(self, cluster):
        one = await cluster.start("one", echo)
        status, headers, body = await cluster.send_outside(
            one, "GET", "/stock/price?a=%2f"
        )
        assert (status, body) == (200, b"GET /price?a=%2f")
        assert headers[httpheaders.OUTCOME] == "answered"
        (request,) = one.backend_server.requests
        state = request.headers[httpheaders.TRACESTATE]
        assert request.headers[httpheaders.TRACEPARENT].split("-")[2] in state
        assert 0 < float(request.headers[httpheaders.REQUEST_TIMEOUT]) <= 20

    async def test_reserved_headers_of_callers_are_ignored(self, cluster):
        """A caller must not pose as a running call of a backend server.

        It sends reserved headers and a parent call's id.  None of them
        reaches the backend server, and the call has no parent.
        """
        one = await cluster.start("one", echo)
        forged = {
            "Mangobay-Service": "stock",
            "Mangobay-Outcome": "answered",
            "tracestate": "a=1,mangobay=0123456789abcdef",
        }
        await cluster.send_outside(one, "GET", "/stock/price", headers=forged)
        (request,) = one.backend_server.requests
        assert not [n for n in request.headers if n.startswith("Mangobay")]
        assert request.headers["tracestate"].endswith(",a=1")
        assert "0123456789abcdef" not in request.headers["tracestate"]

    async def test_hidden_operation_looks_like_a_missing_one(self, cluster):
        """An outside caller must not find out names of internal services.

        For a hidden service, a hidden operation, an unknown service, an
        unknown path and a wrong method, status, headers and body are equal,
        and so is the number of requests to the control group, so that the
        response time reveals nothing either.
        """
        one = await cluster.start("one", echo)
        responses = []
        for method, path in (
            ("GET", "/freight/freight"),
            ("GET", "/stock/inside"),
            ("GET", "/nothing/freight"),
            ("GET", "/stock/nothing"),
            ("DELETE", "/stock/price"),
        ):
            cluster.interest_requests.clear()
            status, headers, body = await cluster.send_outside(
                one, method, path
            )
            stable_headers = {n: v for n, v in headers.items() if n != "Date"}
            responses.append(
                (status, stable_headers, body, len(cluster.interest_requests))
            )
        assert responses[0][0] == 404
        assert all(each == responses[0] for each in responses)
        assert responses[0][3] == 2
        assert not one.backend_server.requests

    @pytest.mark.parametrize(
        ("path", "more", "status", "reason"),
        [
            ("/stock/book", {"data": bytes(1001)}, 413, "too_large"),
            ("/stock/sign", {}, 400, "key_required"),
            (
                "/stock/book",
                {"headers": {"Request-Timeout": "x"}},
                400,
                "malformed",
            ),
            (
                "/stock/book",
                {"headers": {"Idempotency-Key": "k" * 256}},
                400,
                "malformed",
            ),
        ],
    )
    async def test_bad_requests_are_refused_as_not_run(
        self, cluster, path, more, status, reason
    ):
        one = await cluster.start("one", echo)
        actual_status, headers, body = await cluster.send_outside(
            one, "POST", path, **more
        )
        assert (actual_status, reason_of(body)) == (status, reason)
        assert headers[httpheaders.OUTCOME] == "not_run"
        assert headers["Content-Type"] == "application/problem+json"
        assert not one.backend_server.requests

    @pytest.mark.parametrize(
        "sent",
        [
            b"POST /stock/book HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab",
            b"\x16\x03\x01\x02rubbish\r\n\r\n",
            b"GET /stock/pr",
            b"",
        ],
    )
    async def test_incomplete_or_invalid_requests_are_closed(
        self, cluster, sent
    ):
        """Slow or broken callers must not hold connections.

        A caller sends half a body, half a head, nothing, or no HTTP.  It gets
        a refusal where HTTP allows one, and the connection is closed within
        the header timeout.
        """
        one = await cluster.start("one", echo)
        reader, writer = await asyncio.open_connection(
            *one.outside_listener.address
        )
        writer.write(sent)
        received = await asyncio.wait_for(reader.read(), nodes.WAIT_SECONDS)
        writer.close()
        assert not received or b"Mangobay-Outcome: not_run" in received
        assert not one.backend_server.requests

    async def test_disconnect_cancels_idempotent_calls_only(self, cluster):
        """Callers disconnect from an idempotent and a non-idempotent call.

        The idempotent call is cancelled down to the backend server.  The
        other one may already have taken effect, so it is finished.
        """
        one = await cluster.start("one", self.answer_when_released)
        self.release = asyncio.Event()
        for method, path in (("GET", "/stock/price"), ("POST", "/stock/book")):
            request_task = asyncio.create_task(
                cluster.send_outside(one, method, path)
            )
            expected = len(one.backend_server.requests) + 1
            await nodes.wait_until(
                lambda expected=expected: (
                    len(one.backend_server.requests) == expected
                )
            )
            request_task.cancel()
        await nodes.wait_until(lambda: one.backend_server.cancelled == 1)
        await nodes.wait_until(lambda: not one.dispatcher.in_flight.open)
        assert len(one.executor.parents) == 1
        self.release.set()
        await nodes.wait_until(lambda: one.executor.idle)
        assert one.backend_server.cancelled == 1

    async def answer_when_released(self, request):
        await self.release.wait()
        return await echo(request)

    async def test_deadline_of_a_running_call_gives_outcome_unknown(
        self, cluster
    ):
        async def never(request):
            await asyncio.Event().wait()

        one = await cluster.start("one", never)
        status, _, body = await cluster.send_outside(one, "GET", "/stock/late")
        assert (status, reason_of(body)) == (504, "deadline_exceeded")
        assert json.loads(body)["outcome"] == "unknown"


class TestPeers:
    """Calls that another node serves."""

    async def test_call_is_routed_to_a_node_of_the_service(self, cluster):
        one = await cluster.start("one", None)
        two = await cluster.start("two", echo)
        status, _, body = await cluster.send_outside(
            one, "POST", "/stock/book", data=b"x"
        )
        assert (status, body) == (200, b"POST /book")
        assert len(two.backend_server.requests) == 1

    async def test_calls_to_a_leaving_node_are_served_by_another(self, cluster):
        """A host starts to leave before the other nodes know.

        It refuses their calls as not run, they try another host at once, and
        every caller gets an answer.
        """
        one = await cluster.start("one", None)
        two = await cluster.start("two", echo)
        three = await cluster.start("three", echo)
        two.executor.leaving = True
        for _ in range(6):
            status, _, body = await cluster.send_outside(
                one, "POST", "/stock/book"
            )
            assert status == 200, body
        assert not two.backend_server.requests
        assert len(three.backend_server.requests) == 6

    async def test_unreachable_host_fails_no_call(self, cluster):
        one = await cluster.start("one", None)
        two = await cluster.start("two", echo)
        await cluster.start("three", echo)
        await two.peer_listener.close()
        for _ in range(6):
            status, _, body = await cluster.send_outside(
                one, "GET", "/stock/price"
            )
            assert status == 200, body

    async def test_keyed_call_runs_once_for_repeats_at_any_node(self, cluster):
        one = await cluster.start("one", echo)
        two = await cluster.start("two", echo)
        headers = {"Idempotency-Key": "0190b0aa-foreign"}
        for started in (one, two, one):
            status, _, body = await cluster.send_outside(
                started, "POST", "/stock/sign", headers=headers
            )
            assert (status, body) == (200, b"POST /sign")
        requests = one.backend_server.requests + two.backend_server.requests
        assert len(requests) == 1

    async def test_without_a_lease_only_idempotent_calls_run(self, cluster):
        one = await cluster.start("one", echo)
        one.control.lease.expires_at = 0
        status, _, _ = await cluster.send_outside(one, "GET", "/stock/price")
        assert status == 200
        status, headers, body = await cluster.send_outside(
            one, "POST", "/stock/book"
        )
        assert (status, reason_of(body)) == (503, "no_lease")
        assert int(headers["Retry-After"]) >= 1


class TestLocalEdge:
    """Calls and announcements of the backend server."""

    async def test_child_call_inherits_from_its_parent(self, cluster):
        """A backend server makes a child call with its call's tracestate.

        The child call is one level deeper, has the importance, client and
        deadline of its tree, and part of the tree's tries.
        """
        calls = []

        async def ask_freight(request):
            if request.raw_path == "/inside":
                return web.Response(text="child")
            state = request.headers["tracestate"]
            local = one.local_listener.address
            _, _, body = await cluster.send(
                local, "GET", "/stock/inside", headers={"tracestate": state}
            )
            return web.Response(body=body)

        one = await cluster.start("one", ask_freight)
        serve = one.executor.serve

        async def record(call):
            calls.append(call)
            return await serve(call)

        one.executor.serve = record
        _, _, body = await cluster.send_outside(
            one, "GET", "/stock/price", headers={"Request-Timeout": "9"}
        )
        assert body == b"child"
        parent, child = calls
        assert (child.depth, child.caller) == (1, "stock")
        assert child.importance == parent.importance
        assert child.client == parent.client
        assert child.deadline_ms <= parent.deadline_ms <= 9000
        assert child.traceparent[3:35] == parent.traceparent[3:35]
        assert child.tree == parent.tree != ""
        assert 0 < child.tries < parent.tries

    async def test_caller_cannot_choose_the_tree_id(self, cluster):
        """A caller sends the same traceparent with every call.

        Among calls of equal importance, the tree id decides which are shed
        first.  If it were the trace id, a caller could choose one that is
        shed last for all its calls.  So the node makes the tree id, and only
        the trace id is the caller's.
        """
        calls = []
        one = await cluster.start("one", echo)
        serve = one.executor.serve

        async def record(call):
            calls.append(call)
            return await serve(call)

        one.executor.serve = record
        traceparent = f"00-{'ab' * 16}-{'cd' * 8}-01"
        for _ in range(2):
            await cluster.send_outside(
                one, "GET", "/stock/price", headers={"traceparent": traceparent}
            )
        first, second = calls
        assert first.traceparent[3:35] == second.traceparent[3:35] == "ab" * 16
        assert first.tree != second.tree

    async def test_repeated_child_calls_use_up_the_retry_allowance(
        self, cluster
    ):
        """A backend server retries its child call in a loop of its own.

        Each retry uses one of the tree's tries.  Once they are used up, the
        call is refused as not run, so that retry loops of several hops do not
        multiply.
        """
        statuses = []

        async def repeat(request):
            if request.raw_path == "/inside":
                return web.Response(status=500)
            state = {"tracestate": request.headers["tracestate"]}
            for _ in range(9):
                status, _, _ = await cluster.send(
                    one.local_listener.address,
                    "GET",
                    "/stock/inside",
                    headers=state,
                )
                statuses.append(status)
            return web.Response()

        one = await cluster.start("one", repeat)
        await cluster.send_outside(one, "GET", "/stock/price")
        assert statuses.count(500) <= 1 + 4
        assert statuses[-1] == 503
        assert not one.executor.parents

    async def test_unknown_operation_is_no_404_without_a_lease(self, cluster):
        """Guards against a final refusal of an operation that was just added."""
        one = await cluster.start("one", echo)
        local = one.local_listener.address
        status, _, _ = await cluster.send(local, "GET", "/stock/new")
        assert status == 404
        one.control.lease.expires_at = 0.0
        status, headers, body = await cluster.send(local, "GET", "/stock/new")
        assert (status, reason_of(body)) == (503, "no_lease")
        assert float(headers["Retry-After"]) > 0

    async def test_calls_without_an_announced_service_are_refused(
        self, cluster
    ):
        one = await cluster.start("one", None)
        local = one.local_listener.address
        status, _, body = await cluster.send(local, "GET", "/stock/price")
        assert (status, reason_of(body)) == (400, "malformed")

    async def test_bad_announcement_lists_all_faults_and_good_one_is_withdrawn(
        self, cluster
    ):
        one = await cluster.start("one", echo)
        local = one.local_listener.address
        path = "/mangobay/announce"
        bad = json.dumps({"service": "a/b", "address": "db:1", "slots": 0})
        status, _, body = await cluster.send(local, "POST", path, data=bad)
        assert status == 400
        detail = json.loads(body)["detail"]
        assert all(word in detail for word in ("service", "address", "slots"))
        status, _, _ = await cluster.send(
            local, "DELETE", path, data='{"service": "stock"}'
        )
        assert (status, one.control.serves) == (200, [])

    async def test_announcement_expires_without_renewal(self, cluster):
        one = await cluster.start("one", echo, "[backend]\nsilence = 0.2\n")
        assert one.control.serves
        await nodes.wait_until(lambda: not one.control.serves)

    async def test_health_readiness_and_metrics_are_served(self, cluster):
        one = await cluster.start("one", echo)
        await cluster.send_outside(one, "GET", "/stock/price")
        local = one.local_listener.address
        assert (await cluster.send(local, "GET", "/mangobay/health"))[0] == 200
        assert (await cluster.send(local, "GET", "/mangobay/ready"))[0] == 200
        _, _, body = await cluster.send(local, "GET", "/mangobay/metrics")
        text = body.decode()
        assert 'outcome="answered"' in text
        assert 'promise="not_run_is_true"' in text
        one.control.lease.expires_at = 0
        assert (await cluster.send(local, "GET", "/mangobay/ready"))[0] == 503


class TestLeaving:
    """Graceful shutdown."""

    async def test_drained_node_finishes_calls_and_refuses_new_ones(
        self, cluster
    ):
        """An operator drains a host while a call runs there.

        New calls are refused as not run, and the node ends only once the
        running call is answered, with nothing aborted.
        """
        release = asyncio.Event()

        async def wait(request):
            await release.wait()
            return await echo(request)

        one = await cluster.start("one", wait)
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        one.control.draining.on_next(True)
        await nodes.wait_until(lambda: one.executor.leaving)
        status, _, body = await cluster.send_outside(one, "GET", "/stock/price")
        assert (status, reason_of(body)) == (503, "leaving")
        assert one.control.leaving
        release.set()
        assert (await request_task)[0] == 200
        cluster.publish_views()
        await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)
        await one.close()
        assert one.aborted_count == 0

    async def test_repeated_stop_does_not_abort_calls(self, cluster):
        """Guards against a second SIGTERM that aborts the running calls."""
        release = asyncio.Event()

        async def wait(request):
            await release.wait()
            return await echo(request)

        one = await cluster.start("one", wait)
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        one.control.draining.on_next(True)
        one.stop()
        one.stop()
        await asyncio.sleep(0.1)
        assert not one.stopped.is_set()
        release.set()
        assert (await request_task)[0] == 200
        cluster.publish_views()
        await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)
        await one.close()
        assert one.aborted_count == 0

    async def test_second_interrupt_ends_at_once_and_counts_aborted_calls(
        self, cluster
    ):
        async def never(request):
            await asyncio.Event().wait()

        one = await cluster.start("one", never)
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        one.interrupt()
        assert not one.stopped.is_set()
        one.interrupt()
        assert one.stopped.is_set()
        await one.close()
        assert one.aborted_count == 1
        status, headers, _ = await request_task
        assert (status, headers[httpheaders.OUTCOME]) == (502, "unknown")


class TestLargeResponses:
    """Responses that callers read slowly."""

    async def test_leaving_node_waits_until_the_response_is_sent(self, cluster):
        """Guards against ending while the rest of a response is unsent."""
        size = 8_000_000

        async def large(request):
            return web.Response(body=bytes(size))

        one = await cluster.start("one", large)
        async with RawClient(
            one.outside_listener.address, limit=1000
        ) as caller:
            caller.send("GET", "/stock/price")
            await nodes.wait_until(
                lambda: one.backend_server.requests and one.executor.idle
            )
            await nodes.wait_until(lambda: not one.dispatcher.in_flight.open)
            one.stop()
            await nodes.wait_until(lambda: one.executor.leaving)
            cluster.publish_views()
            await asyncio.sleep(0.3)
            assert not one.stopped.is_set()
            _, _, body = await caller.read_response()
        assert len(body) == size
        await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)
        await one.close()
        assert one.aborted_count == 0

    async def test_leaving_node_waits_until_replies_to_other_nodes_are_sent(
        self, cluster
    ):
        """Guards against `unknown` for finished calls of other nodes."""
        handler = BlockingHandler(bytes(4_000_000))
        one = await cluster.start("one", None)
        two = await cluster.start("two", handler)
        request_tasks = [
            asyncio.create_task(
                cluster.send_outside(one, "POST", "/stock/book")
            )
            for _ in range(4)
        ]
        await nodes.wait_until(lambda: len(two.backend_server.requests) == 4)
        (peer,) = one.peer_client.peers.values()
        peer.connection.transport.pause_reading()
        two.stop()
        await nodes.wait_until(lambda: two.executor.leaving)
        cluster.publish_views()
        handler.release.set()
        await nodes.wait_until(lambda: two.executor.idle)
        await asyncio.sleep(0.3)
        assert not two.stopped.is_set()
        peer.connection.transport.resume_reading()
        assert [(await each)[0] for each in request_tasks] == [200] * 4
        await asyncio.wait_for(two.stopped.wait(), nodes.WAIT_SECONDS)


class BlockingHandler:
    """A backend server's handler that responds once it is released."""

    def __init__(self, body=b""):
        self.body = body
        self.release = asyncio.Event()

    async def __call__(self, request):
        await self.release.wait()
        if self.body:
            return web.Response(body=self.body)
        return await echo(request)


class TestLateRequests:
    """Requests that are incomplete when the node starts to leave."""

    async def test_request_with_a_late_body_is_refused_as_not_run(
        self, cluster
    ):
        """Guards against a call that is aborted when the node ends."""
        one = await cluster.start(
            "one", None, header_timeout=nodes.WAIT_SECONDS
        )
        two = await cluster.start("two", echo)
        async with RawClient(one.outside_listener.address) as caller:
            caller.send("POST", "/stock/book", b"a", length=2)
            await nodes.wait_until(lambda: one.outside_listener.busy)
            one.stop()
            await asyncio.sleep(0.2)
            assert not one.stopped.is_set()
            caller.writer.write(b"b")
            status, _, body = await caller.read_response()
        assert (status, reason_of(body)) == (503, "leaving")
        assert not two.backend_server.requests
        await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)

    async def test_request_that_waited_for_control_is_refused_as_not_run(
        self, cluster
    ):
        """Guards against a call that is aborted when the node ends."""
        one = await cluster.start("one", None)
        two = await cluster.start("two", echo)
        one.control.tables.on_next(operationtable.OperationTable())
        control_answered = asyncio.Event()

        async def interest(service):
            cluster.interest_requests.append(service)
            await control_answered.wait()
            one.control.tables.on_next(cluster.make_table())

        one.control.fetch_service = interest
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: cluster.interest_requests)
        one.stop()
        await asyncio.sleep(0.2)
        assert not one.stopped.is_set()
        control_answered.set()
        status, _, body = await request_task
        assert (status, reason_of(body)) == (503, "leaving")
        assert not two.backend_server.requests
        await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)


class TestCallsOfBackendServers:
    """Calls that the backend server of a leaving node makes."""

    async def test_calls_without_a_parent_run_are_refused_as_not_run(
        self, cluster
    ):
        """Guards against new work that is aborted when the node ends."""
        handler = BlockingHandler()
        one = await cluster.start("one", handler)
        two = await cluster.start("two", echo)
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        one.stop()
        await nodes.wait_until(lambda: one.executor.leaving)
        local = one.local_listener.address
        ended = {"tracestate": "mangobay=0123456789abcdef"}
        for headers in ({}, ended):
            status, _, body = await cluster.send(
                local, "GET", "/stock/inside", headers=headers
            )
            assert (status, reason_of(body)) == (503, "leaving")
        assert not two.backend_server.requests
        handler.release.set()
        assert (await request_task)[0] == 200

    async def test_child_calls_of_a_run_are_accepted(self, cluster):
        """Guards against failing an accepted call by refusing its children."""
        handler = BlockingHandler()

        async def ask_freight(request):
            await handler.release.wait()
            state = {"tracestate": request.headers["tracestate"]}
            status, _, body = await cluster.send(
                one.local_listener.address,
                "GET",
                "/stock/inside",
                headers=state,
            )
            return web.Response(status=status, body=body)

        one = await cluster.start("one", ask_freight)
        two = await cluster.start("two", echo)
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        one.stop()
        await nodes.wait_until(lambda: one.executor.leaving)
        handler.release.set()
        status, _, body = await request_task
        assert (status, body) == (200, b"GET /inside")
        assert len(two.backend_server.requests) == 1
        cluster.publish_views()
        await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)
        await one.close()
        assert one.aborted_count == 0

    async def test_call_with_a_late_body_is_refused_as_not_run(self, cluster):
        """Guards against new work that is aborted when the node ends."""
        one = await cluster.start(
            "one", echo, header_timeout=nodes.WAIT_SECONDS
        )
        two = await cluster.start("two", echo)
        async with RawClient(one.local_listener.address) as caller:
            caller.send("POST", "/stock/book", b"a", length=2)
            await nodes.wait_until(lambda: one.local_listener.busy)
            one.stop()
            await nodes.wait_until(lambda: one.executor.leaving)
            caller.writer.write(b"b")
            status, _, body = await caller.read_response()
        assert (status, reason_of(body)) == (503, "leaving")
        assert not two.backend_server.requests


class TestKeepAliveConnections:
    """Keep-alive connections of callers to a leaving node."""

    async def test_each_response_closes_its_connection(self, cluster):
        """Guards against a next request that meets the end of the process."""
        handler = BlockingHandler()
        one = await cluster.start("one", handler)
        address = one.outside_listener.address
        async with RawClient(address) as busy, RawClient(address) as idle:
            idle.send("GET", "/stock/nothing")
            _, headers, _ = await idle.read_response()
            assert "connection" not in headers
            busy.send("POST", "/stock/book")
            await nodes.wait_until(lambda: one.backend_server.requests)
            one.stop()
            await nodes.wait_until(lambda: one.executor.leaving)
            idle.send("GET", "/stock/price")
            status, headers, body = await idle.read_response()
            assert (status, reason_of(body)) == (503, "leaving")
            assert headers["connection"] == "close"
            assert await idle.is_closed()
            handler.release.set()
            status, headers, _ = await busy.read_response()
            assert (status, headers["connection"]) == (200, "close")
            assert await busy.is_closed()

    async def test_pipelined_requests_are_answered(self, cluster):
        """Guards against closing after the first of several responses."""
        handler = BlockingHandler()
        one = await cluster.start("one", handler)
        async with RawClient(one.outside_listener.address) as caller:
            caller.send("POST", "/stock/book")
            caller.send("GET", "/stock/price")
            caller.send("GET", "/stock/price")
            await nodes.wait_until(lambda: one.backend_server.requests)
            one.stop()
            await nodes.wait_until(lambda: one.executor.leaving)
            handler.release.set()
            responses = [await caller.read_response() for _ in range(3)]
            assert [status for status, _, _ in responses] == [200, 503, 503]
            closes = ["connection" in headers for _, headers, _ in responses]
            assert closes == [False, False, True]
            assert await caller.is_closed()
        assert len(one.backend_server.requests) == 1

    async def test_connections_of_backend_servers_are_closed(self, cluster):
        """Guards against a next call that meets the end of the process."""
        one = await cluster.start("one", echo)
        one.stop()
        await nodes.wait_until(lambda: one.executor.leaving)
        async with RawClient(one.local_listener.address) as caller:
            caller.send("GET", "/mangobay/ready")
            status, headers, _ = await caller.read_response()
            assert (status, headers["connection"]) == (503, "close")
            assert await caller.is_closed()


class TestEndOfGrace:
    """Calls that still run when the grace ends."""

    async def test_outside_call_gets_outcome_unknown(self, cluster):
        """Guards against closing the connection without a response."""
        one = await cluster.start(
            "one", BlockingHandler(), SHORT_GRACE_SETTINGS
        )
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        await self.stop_and_close(one)
        status, headers, body = await request_task
        assert (status, reason_of(body)) == (502, "leaving")
        assert headers[httpheaders.OUTCOME] == "unknown"
        assert headers["Connection"] == "close"

    async def test_call_of_another_node_gets_outcome_unknown(self, cluster):
        """Guards against `not_run` for a call that may have run."""
        one = await cluster.start("one", None)
        two = await cluster.start(
            "two", BlockingHandler(), SHORT_GRACE_SETTINGS
        )
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: two.backend_server.requests)
        await self.stop_and_close(two)
        _, headers, _ = await request_task
        assert headers[httpheaders.OUTCOME] == "unknown"

    async def test_child_call_gets_outcome_unknown(self, cluster):
        """Guards against a parent that waits until its connection ends."""
        child_responses = []
        leaving = asyncio.Event()

        async def ask_freight(request):
            await leaving.wait()
            state = {"tracestate": request.headers["tracestate"]}
            local = one.local_listener.address
            child_request = cluster.send(
                local, "GET", "/stock/inside", headers=state
            )
            child_responses.append(await child_request)
            return web.Response()

        one = await cluster.start("one", ask_freight, SHORT_GRACE_SETTINGS)
        request_task = asyncio.create_task(
            cluster.send_outside(one, "POST", "/stock/book")
        )
        await nodes.wait_until(lambda: one.backend_server.requests)
        two = await cluster.start("two", BlockingHandler())
        one.stop()
        await nodes.wait_until(lambda: one.executor.leaving)
        leaving.set()
        await nodes.wait_until(lambda: two.backend_server.requests)
        await self.stop_and_close(one)
        await nodes.wait_until(lambda: child_responses)
        ((status, headers, body),) = child_responses
        assert (status, reason_of(body)) == (502, "leaving")
        assert headers[httpheaders.OUTCOME] == "unknown"
        assert (await request_task)[0] == 502

    async def stop_and_close(self, node):
        """Stops a node and closes it once its grace is over."""
        node.stop()
        await asyncio.wait_for(node.stopped.wait(), nodes.WAIT_SECONDS)
        await node.close()
        assert node.aborted_count

    async def test_queued_calls_are_refused_as_not_run(self, cluster):
        """Guards against `unknown` for calls that are safe to resend."""
        handler = BlockingHandler()
        one = await cluster.start("one", handler, SHORT_GRACE_SETTINGS)
        request_tasks = [
            asyncio.create_task(
                cluster.send_outside(one, "POST", "/stock/book")
            )
            for _ in range(8)
        ]
        await nodes.wait_until(lambda: len(one.dispatcher.in_flight.open) == 8)
        await asyncio.sleep(0.1)
        await self.stop_and_close(one)
        outcomes = [
            response[1][httpheaders.OUTCOME]
            for response in await asyncio.gather(*request_tasks)
        ]
        assert outcomes.count("unknown") == len(one.backend_server.requests)
        assert outcomes.count("not_run") == 8 - len(one.backend_server.requests)

    async def test_incomplete_request_is_refused_as_not_run(self, cluster):
        """Guards against running it on a node that ends before the response."""
        one = await cluster.start(
            "one", echo, SHORT_GRACE_SETTINGS, header_timeout=nodes.WAIT_SECONDS
        )
        async with RawClient(one.outside_listener.address) as caller:
            caller.send("POST", "/stock/book", b"a", length=2)
            await nodes.wait_until(lambda: one.outside_listener.busy)
            one.stop()
            await asyncio.wait_for(one.stopped.wait(), nodes.WAIT_SECONDS)
            closing = asyncio.create_task(one.close())
            await asyncio.sleep(0.1)
            caller.writer.write(b"b")
            status, headers, body = await caller.read_response()
            assert (status, reason_of(body)) == (503, "leaving")
            assert headers["connection"] == "close"
            await closing
        assert not one.backend_server.requests
