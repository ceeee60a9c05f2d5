"""Health checks of backend servers that ran before the node."""

import asyncio

import pytest

from mangobay import backend, errors, heartbeats, incarnationcheck, options

pytestmark = pytest.mark.looptime
ADDRESS = options.Address("10.0.0.1", 80)


class FakeClient:
    """Responds to health checks; the last result is repeated."""

    def __init__(self, *results):
        self.results = list(results)
        self.targets = []

    async def send(self, address, request, attempt):
        del address, attempt
        self.targets.append(request.target)
        result = self.results.pop(0) if self.results[1:] else self.results[0]
        if isinstance(result, Exception):
            raise result
        return result


def response(status, shed=False):
    """Returns the response to a health check."""
    return backend.Response(
        status=status, headers=[], body=b"", seconds=0.0, shed=shed
    )


BROKEN = errors.BackendBrokenError("reset")
FULL = response(503, shed=True)
LEAVING = response(503)
HEALTHY = response(200)


async def seconds_until_used(*results, paths=("/h",)):
    """Returns the seconds until the server may be used, None if never."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    remaining = list(paths)
    check = incarnationcheck.IncarnationCheck(
        FakeClient(*results),
        ADDRESS,
        lambda: remaining.pop(0) if remaining[1:] else remaining[0],
    )
    try:
        async with asyncio.timeout(60):
            await check.wait_until_it_stays()
    except TimeoutError:
        return None
    return loop.time() - started_at


class TestCheck:
    """What the responses mean."""

    @pytest.mark.parametrize("status", [200, 400, 404, 500])
    async def test_is_used_at_once(self, status):
        """A service without health checks is never used again."""
        assert await seconds_until_used(response(status)) == 0

    async def test_leaving_server_is_never_used(self):
        """A restarted node uses a server that has deregistered."""
        assert await seconds_until_used(LEAVING) is None

    async def test_unhealthy_server_is_used_once_it_recovers(self):
        seconds = await seconds_until_used(LEAVING, LEAVING, HEALTHY)
        assert seconds == pytest.approx(2 * incarnationcheck.CHECK_INTERVAL)

    @pytest.mark.parametrize("result", [FULL, BROKEN])
    async def test_server_that_does_not_tell_is_used_after_a_while(
        self, result
    ):
        """A server that is full after a restart of its node stays unused."""
        seconds = await seconds_until_used(result)
        limit = incarnationcheck.MAX_UNKNOWN_SECONDS
        assert limit <= seconds <= limit + 1

    async def test_waits_for_the_routes(self):
        seconds = await seconds_until_used(HEALTHY, paths=(None, None, "/h"))
        assert seconds > 0


class FakeAnnouncer:
    """Records the current announcement."""

    def __init__(self):
        self.announcement = None

    def announce(self, announcement):
        self.announcement = announcement

    def withdraw(self, service, planned=True):
        withdrawn, self.announcement = self.announcement, None
        return withdrawn is not None

    def retire(self, service, incarnation):
        return self.withdraw(service)


class TestReceiver:
    """The first heartbeat after the start of the node."""

    def setup_method(self):
        self.announcer = FakeAnnouncer()
        self.receiver = heartbeats.HeartbeatReceiver(
            self.announcer, "a", ADDRESS
        )
        self.usable = asyncio.Event()
        self.receiver.wait_until_usable = self.usable.wait

    def receive(self, state=heartbeats.State.READY, sequence=1, start=5):
        self.receiver.receive(
            heartbeats.Heartbeat(
                instance="i-1",
                address=ADDRESS,
                start_unix_ms=start,
                sequence=sequence,
                service="a",
                slots=8,
                state=state,
            )
        )

    async def test_earlier_incarnation_waits_for_its_check(self):
        """A late heartbeat puts a server back that has deregistered."""
        self.receive(sequence=1)
        self.receive(sequence=2)
        await asyncio.sleep(1)
        assert self.announcer.announcement is None
        self.usable.set()
        await asyncio.sleep(1)
        assert self.announcer.announcement is not None

    async def test_later_incarnation_is_used_at_once(self):
        self.receive(start=self.receiver.started_unix_ms + 1)
        assert self.announcer.announcement is not None

    @pytest.mark.parametrize("leaves", ["drains", "deregisters"])
    async def test_leaves_during_the_check(self, leaves):
        """The check puts a server back that has left meanwhile."""
        self.receive()
        await asyncio.sleep(0)
        if leaves == "drains":
            self.receive(heartbeats.State.DRAINING, sequence=2)
        else:
            self.receiver.deregister("i-1", None)
        self.usable.set()
        await asyncio.sleep(1)
        assert self.announcer.announcement is None
