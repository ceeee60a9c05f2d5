"""Calls at a control host that is told to stop."""

import asyncio
import contextlib

import platformfakes
import pytest
import test_control

from mangobay import (
    control,
    errors,
    leanhttp,
    options,
    peers,
    routedcontrol,
    settings,
)
from mangobay.generated import messages
from mangobay.generated import settings as generated

GRACE_SECONDS = 6.0
"""Seconds after which a stopping process is killed."""
ROUTES_CALL = b"POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 0\r\n\r\n"
STATUS_CALL = b"GET /v1/status HTTP/1.1\r\nHost: here\r\n\r\n"
SHEET = test_control.SHEET.encode()
SHEET_CALL = (
    b"POST /v1/sheets?version=1&operator=ana HTTP/1.1\r\nHost: here\r\n"
    b"Content-Length: %d\r\n\r\n" % len(SHEET)
)


class StoppingHost:
    """A control host that leads a group of one."""

    def __init__(self, host: control.Control, address):
        self.host = host
        self.address = address
        self.stop_event = asyncio.Event()
        self.task = asyncio.create_task(host.run(self.stop_event))

    async def connect(self, data):
        """Returns a new connection on which the data was sent."""
        connecting = asyncio.open_connection(*self.address())
        caller = platformfakes.Caller(*await connecting)
        caller.writer.write(data)
        return caller

    async def send_request(self, data):
        """Returns the response to a call on a new connection."""
        return await platformfakes.send_request(*self.address(), data)

    async def wait_until_refusing(self, data):
        """Returns once new calls are refused."""

        async def check():
            return (await self.send_request(data)).status == 503

        await platformfakes.wait_until(check)

    async def wait_until_stopped(self):
        """Waits until the host has stopped; fails after GRACE_SECONDS."""
        async with asyncio.timeout(GRACE_SECONDS):
            await self.task


@contextlib.asynccontextmanager
async def running_host(host, address):
    """Runs a control host until it is stopped."""
    await host.start()
    stopping_host = StoppingHost(host, address)
    try:
        await test_control.wait_until(host.group.leading.is_set)
        yield stopping_host
    finally:
        stopping_host.stop_event.set()
        await asyncio.gather(stopping_host.task, return_exceptions=True)


def load_config(tmp_path):
    """Returns the settings of a group of one."""
    addresses = test_control.free_addresses(1)
    path = test_control.write_settings(tmp_path, 0, addresses)
    return settings.load(path, generated.CONTROL_SECTIONS, generated.Control)


@pytest.fixture
def long_drain_timeout(monkeypatch):
    """Sets a drain timeout that a slow machine does not reach."""
    monkeypatch.setattr(control, "MAX_DRAIN_SECONDS", test_control.WAIT_SECONDS)


class SlowApi:
    """Responds to the first call once released, to others at once."""

    def __init__(self, publisher):
        self.group = publisher.group
        self.request_received = asyncio.Event()
        self.release_event = asyncio.Event()
        self.was_leading = False

    async def handle(self, request, connection):
        del request, connection
        if not self.request_received.is_set():
            self.request_received.set()
            await self.release_event.wait()
            self.was_leading = self.group.leading.is_set()
        return leanhttp.Response(status=200, body=b"{}")


class TestRoutesCalls:
    """Operators' calls that publish routes documents."""

    @contextlib.asynccontextmanager
    async def call_in_flight(self, tmp_path):
        """Yields a host, a caller with a call in flight, and the API."""
        apis = []

        def make_api(publisher):
            apis.append(SlowApi(publisher))
            return apis[0].handle

        host = routedcontrol.RoutedControl(load_config(tmp_path), make_api)

        def address():
            return host.operator_listener.listeners[0].address

        async with running_host(host, address) as stopping:
            caller = await stopping.connect(ROUTES_CALL)
            async with asyncio.timeout(test_control.WAIT_SECONDS):
                await apis[0].request_received.wait()
            yield stopping, caller, apis[0]

    async def test_call_in_flight_ends_before_the_host_steps_down(
        self, tmp_path, long_drain_timeout
    ):
        async with self.call_in_flight(tmp_path) as (stopping, caller, api):
            stopping.stop_event.set()
            await stopping.wait_until_refusing(ROUTES_CALL)
            api.release_event.set()
            response = await caller.read_response()
            assert response.status == 200, response
            assert "connection: close" in response.head
            assert api.was_leading
            await stopping.wait_until_stopped()

    async def test_new_calls_on_open_connections_are_refused(
        self, tmp_path, long_drain_timeout
    ):
        async with self.call_in_flight(tmp_path) as (stopping, caller, api):
            kept_alive = await stopping.connect(ROUTES_CALL)
            assert (await kept_alive.read_response()).status == 200
            stopping.stop_event.set()
            await stopping.wait_until_refusing(ROUTES_CALL)
            kept_alive.writer.write(ROUTES_CALL)
            refused = await kept_alive.read_response()
            assert refused.status == 503
            assert "connection: close" in refused.head
            caller.writer.write(ROUTES_CALL)
            api.release_event.set()
            assert (await caller.read_response()).status == 200
            assert (await caller.read_response()).status in (503, 0)

    async def test_call_on_an_idle_connection_gets_a_refusal(
        self, tmp_path, monkeypatch
    ):
        monkeypatch.setattr(control, "MIN_REFUSE_SECONDS", 3.0, raising=False)
        async with self.call_in_flight(tmp_path) as (stopping, caller, api):
            api.release_event.set()
            assert (await caller.read_response()).status == 200
            stopping.stop_event.set()
            await asyncio.sleep(0.1)
            caller.writer.write(ROUTES_CALL)
            response = await caller.read_response()
            assert response.status == 503, response
            await stopping.wait_until_stopped()

    async def test_call_that_outlasts_the_drain_gets_503(self, tmp_path):
        async with self.call_in_flight(tmp_path) as (stopping, caller, _):
            stopping.stop_event.set()
            response = await caller.read_response()
            assert response.status == 503, response
            await stopping.wait_until_stopped()

    async def test_call_in_flight_gets_503_when_the_disk_fails(self, tmp_path):
        async with self.call_in_flight(tmp_path) as (stopping, caller, _):
            stopping.host.log.failure = "the disk is gone"
            stopping.host.group.abort_run()
            response = await caller.read_response()
            assert response.status == 503, response
            with pytest.raises(errors.StorageError):
                await stopping.wait_until_stopped()


class TestSheetCalls:
    """Operators' calls that send sheets."""

    @contextlib.asynccontextmanager
    async def sheet_in_flight(self, tmp_path):
        """Yields a host, a caller sending a sheet, and an open connection."""
        host = control.Control(load_config(tmp_path))

        def address():
            return host.operator_listener.address

        def requests_are_read():
            connection_count = len(
                host.operator_listener.runner.server.connections
            )
            return (
                connection_count == 2
                and not host.operator_listener.connection_limiter.awaiting_request
            )

        async with running_host(host, address) as stopping:
            kept_alive = await stopping.connect(STATUS_CALL)
            assert (await kept_alive.read_response()).status == 200
            caller = await stopping.connect(SHEET_CALL)
            await test_control.wait_until(requests_are_read)
            yield stopping, caller, kept_alive

    async def test_sheet_in_flight_is_accepted(
        self, tmp_path, long_drain_timeout
    ):
        async with self.sheet_in_flight(tmp_path) as (
            stopping,
            caller,
            kept_alive,
        ):
            stopping.stop_event.set()
            await stopping.wait_until_refusing(STATUS_CALL)
            kept_alive.writer.write(STATUS_CALL)
            refused = await kept_alive.read_response()
            assert refused.status == 503
            assert "connection: close" in refused.head
            caller.writer.write(SHEET)
            response = await caller.read_response()
            assert response.status == 200, response
            await stopping.wait_until_stopped()
            assert stopping.host.machine.history[0].version == "1"

    async def test_sheet_that_outlasts_the_drain_gets_503(self, tmp_path):
        async with self.sheet_in_flight(tmp_path) as (stopping, caller, _):
            stopping.stop_event.set()
            response = await caller.read_response()
            assert response.status == 503, response
            await stopping.wait_until_stopped()


class TestForwardedCalls:
    """Calls that other control hosts forward to the leader."""

    async def test_forwarded_call_in_flight_is_finished(
        self, tmp_path, monkeypatch, long_drain_timeout
    ):
        host = control.Control(load_config(tmp_path))
        request_received = asyncio.Event()
        release_event = asyncio.Event()
        transport = peers.PeerClient(
            messages.Hello(host="c9", incarnation="1", role=control.ROLE)
        )

        async def answer(body):
            del body
            request_received.set()
            await release_event.wait()
            outcome = messages.RoutesOutcome.UNCERTAIN
            if host.group.leading.is_set():
                outcome = messages.RoutesOutcome.ACCEPTED
            return messages.RoutesReply(outcome=outcome)

        def address():
            return host.operator_listener.address

        async with running_host(host, address) as stopping:
            monkeypatch.setattr(host.publisher, "handle_request", answer)
            peer = options.Address(*host.peer_listener.address)
            request_task = asyncio.create_task(
                transport.send_request(
                    peer, messages.RoutesFetch(), GRACE_SECONDS
                )
            )
            await request_received.wait()
            stopping.stop_event.set()
            await stopping.wait_until_refusing(STATUS_CALL)
            release_event.set()
            reply = await request_task
            assert reply.outcome is messages.RoutesOutcome.ACCEPTED
            await stopping.wait_until_stopped()
        await transport.close()
