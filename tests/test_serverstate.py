"""What backend servers say about themselves in their responses."""

import asyncio
import contextlib
import itertools

import platformfakes

from mangobay import backend, ids, knownstates, serverstate
from mangobay.generated import messages

RATE = 2.0
LIMIT_HEADER = f"Server-Limit: {RATE}\r\n".encode()
LEAVING_HEADER = b"Server-Leaving: 1\r\n"
WINDOW_SECONDS = 4.0
ALLOWED_IN_WINDOW = 1.5 * RATE * WINDOW_SECONDS + 5
"""Requests that may arrive within a window at the announced rate."""
STABLE_SECONDS = 3.0
"""Seconds after the first announcement in which the rate may be exceeded."""
DRAIN_SECONDS = 2.0
"""Seconds after the announcement in which a leaving server gets requests."""
CALLER_COUNT = 30
CALLER_TIMEOUT_MS = 1500
SERVICES = ["a", "b"]


@contextlib.asynccontextmanager
async def serving_fleet(folder):
    """Gives a fleet whose only host of `b`, n12, is called through n11."""
    async with platformfakes.Fleet(folder, seeds=1, voters=1) as fleet:
        fleet.start_control(1)
        await fleet.start_node(11, "a")
        backend = await fleet.start_node(12, "b")

        async def is_configured():
            response = await fleet.replace_config(1, 1, SERVICES, "0")
            return response.status == 200

        await platformfakes.wait_until(is_configured)
        await wait_until_served(fleet, "first")
        yield fleet, backend


async def wait_until_served(fleet, prefix):
    """Waits until a request through n11 is answered by `b`."""
    numbers = itertools.count()

    async def is_served():
        name = f"{prefix}-{next(numbers)}"
        return (await fleet.request(11, "b", name)).status == 200

    await platformfakes.wait_until(is_served)


@contextlib.asynccontextmanager
async def callers(fleet, *hosts):
    """Runs callers that send request after request through the hosts."""

    async def call(host, caller):
        for number in itertools.count():
            name = f"n{host}-{caller}-{number}"
            await fleet.request(host, "b", name, CALLER_TIMEOUT_MS)
            await asyncio.sleep(0.02)

    tasks = [
        asyncio.create_task(call(host, caller))
        for host in hosts
        for caller in range(CALLER_COUNT)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def arrivals_after(backend, time, prefix=""):
    """Returns the times of requests that arrived after a loop time."""
    return [
        arrival.at
        for arrival in backend.arrivals
        if arrival.at > time and arrival.attempt_id.startswith(prefix)
    ]


async def arrivals_after_restart(fleet, backend):
    """Restarts n12, lets a late heartbeat come, and returns what arrives."""
    await fleet.stop("n12", platformfakes.signal.SIGKILL)
    restarted_at = asyncio.get_running_loop().time()
    fleet.restart("n12", "node")

    async def is_heartbeat_accepted():
        return (await backend.send_heartbeat()).status == 200

    await platformfakes.wait_until(is_heartbeat_accepted)
    async with callers(fleet, 11):
        await asyncio.sleep(DRAIN_SECONDS + 1)
    return arrivals_after(backend, restarted_at, "n11")


def most_in_window(times):
    """Returns the largest number of arrivals within a window."""
    return max(
        (
            sum(start <= time < start + WINDOW_SECONDS for time in times)
            for start in times
        ),
        default=0,
    )


LIMITED = backend.ServerState(rate_limit=RATE)
LEAVING = backend.ServerState(leaving=True)


class TestTracker:
    """The state that a node takes from responses and from other nodes."""

    def test_late_response_does_not_lift_the_limit(self):
        """A response from before the limit is read after it and lifts it."""
        tracker = serverstate.ServerStateTracker()
        assert tracker.observe(LIMITED, sent_at=1.0, now=2.0)
        assert not tracker.observe(backend.NORMAL_STATE, sent_at=1.5, now=3.0)
        assert tracker.current == LIMITED
        assert tracker.observe(backend.NORMAL_STATE, sent_at=2.5, now=3.5)
        assert tracker.current == backend.NORMAL_STATE

    def test_lowest_limit_that_other_nodes_know_applies(self):
        """A node that lags behind raises the limit of a restarted node."""
        tracker = serverstate.ServerStateTracker()
        tracker.adopt(LIMITED)
        assert not tracker.adopt(backend.ServerState(rate_limit=RATE + 1))
        assert tracker.adopt(backend.ServerState(rate_limit=RATE / 2))
        assert tracker.current.rate_limit == RATE / 2

    def test_leaving_is_final(self):
        tracker = serverstate.ServerStateTracker()
        tracker.observe(LEAVING, sent_at=1.0, now=2.0)
        tracker.observe(backend.NORMAL_STATE, sent_at=2.5, now=3.0)
        assert tracker.current == LEAVING

    def test_other_nodes_do_not_override_responses(self):
        """A limit that was lifted comes back from nodes that lag behind."""
        tracker = serverstate.ServerStateTracker()
        assert tracker.adopt(LIMITED)
        tracker.observe(backend.NORMAL_STATE, sent_at=1.0, now=2.0)
        assert not tracker.adopt(LIMITED)
        assert tracker.current == backend.NORMAL_STATE
        assert tracker.adopt(LEAVING)


class TestKnownStates:
    """What a node remembers of the backend servers of other hosts."""

    SERVICE = ids.ServiceName("stock")
    HOST = ids.HostId("n1")

    def record(self, states, outcome, state=backend.NORMAL_STATE):
        reply = messages.Reply(outcome=outcome)
        reply.server_states = knownstates.to_messages(
            ids.BackendIncarnation("i-1/5"), state
        )
        states.record(self.SERVICE, self.HOST, reply)

    def test_state_is_kept_until_a_response_is_without_it(self):
        """The refusal of a restarted node erases what others know."""
        states = knownstates.KnownStates()
        self.record(states, messages.Outcome.ANSWERED, LIMITED)
        self.record(states, messages.Outcome.NOT_RUN)
        (known,) = states.find(self.SERVICE, self.HOST)
        assert knownstates.from_message(known) == LIMITED
        self.record(states, messages.Outcome.ANSWERED)
        assert states.find(self.SERVICE, self.HOST) == []

    def test_number_of_states_is_bounded(self):
        states = knownstates.KnownStates()
        reply = messages.Reply(outcome=messages.Outcome.ANSWERED)
        reply.server_states = knownstates.to_messages(
            ids.BackendIncarnation("i-1/5"), LEAVING
        )
        for number in range(knownstates.MAX_STATES + 1):
            states.record(self.SERVICE, ids.HostId(f"n{number}"), reply)
        assert len(states.by_host) == knownstates.MAX_STATES
        assert states.find(self.SERVICE, ids.HostId("n0")) == []


class TestRateLimit:
    """Requests per second that a backend server accepts."""

    async def test_callers_of_all_hosts_together_stay_within_the_rate(
        self, tmp_path
    ):
        """A backend server gets a multiple of the rate that it announced."""
        async with serving_fleet(tmp_path) as (fleet, backend):
            backend.extra_headers = LIMIT_HEADER
            announced_at = asyncio.get_running_loop().time()
            async with callers(fleet, 11, 12):
                await asyncio.sleep(STABLE_SECONDS + WINDOW_SECONDS + 1)
            times = arrivals_after(backend, announced_at + STABLE_SECONDS)
        assert 0 < most_in_window(times) <= ALLOWED_IN_WINDOW

    async def test_a_restarted_node_stays_within_the_rate(self, tmp_path):
        """A node forgets the rate and sends a burst until the next response."""
        async with serving_fleet(tmp_path) as (fleet, backend):
            backend.extra_headers = LIMIT_HEADER
            await wait_until_served(fleet, "announced")
            await asyncio.sleep(STABLE_SECONDS)
            await fleet.stop("n12", platformfakes.signal.SIGKILL)
            backend.delay_seconds = 1.0
            restarted_at = asyncio.get_running_loop().time()
            fleet.restart("n12", "node")
            async with callers(fleet, 11):
                await asyncio.sleep(WINDOW_SECONDS + 2)
            times = arrivals_after(backend, restarted_at, "n11")
        assert 0 < most_in_window(times) <= ALLOWED_IN_WINDOW

    async def test_the_rate_ends_with_the_announcement(self, tmp_path):
        """Callers are refused by a rate that is no longer announced."""
        async with serving_fleet(tmp_path) as (fleet, backend):
            backend.extra_headers = LIMIT_HEADER
            async with callers(fleet, 11):
                await asyncio.sleep(STABLE_SECONDS)
                backend.extra_headers = b""
                await asyncio.sleep(2.0)
                lifted_at = asyncio.get_running_loop().time()
                await asyncio.sleep(2.0)
            times = arrivals_after(backend, lifted_at)
        assert len(times) > 10 * RATE


class TestLeaving:
    """A backend server that says in its responses that it is leaving."""

    async def test_a_leaving_server_gets_no_requests(self, tmp_path):
        """Requests reach a server long after it said that it is leaving."""
        async with serving_fleet(tmp_path) as (fleet, backend):
            backend.extra_headers = LEAVING_HEADER
            async with callers(fleet, 11, 12):
                announced_at = asyncio.get_running_loop().time()
                await asyncio.sleep(DRAIN_SECONDS + 2)
            late = arrivals_after(backend, announced_at + DRAIN_SECONDS)
        assert len(late) == 0

    async def test_a_restarted_node_sends_nothing_to_a_leaving_server(
        self, tmp_path
    ):
        """A late heartbeat puts a server that is leaving back in use."""
        async with serving_fleet(tmp_path) as (fleet, backend):
            backend.extra_headers = LEAVING_HEADER
            await wait_until_served(fleet, "announced")
            await asyncio.sleep(DRAIN_SECONDS)
            await fleet.stop("n12", platformfakes.signal.SIGKILL)
            restarted_at = asyncio.get_running_loop().time()
            fleet.restart("n12", "node")
            async with callers(fleet, 11):
                await asyncio.sleep(DRAIN_SECONDS + 3)
            late = arrivals_after(backend, restarted_at, "n11")
        assert len(late) == 0

    async def test_a_restarted_node_sends_nothing_to_a_deregistered_server(
        self, tmp_path
    ):
        """A late heartbeat puts a server that has deregistered back in use."""
        async with serving_fleet(tmp_path) as (fleet, backend):
            async with callers(fleet, 11):
                assert (await backend.deregister()).status == 200
                await asyncio.sleep(DRAIN_SECONDS)
            late = await arrivals_after_restart(fleet, backend)
        assert len(late) == 0

    async def test_a_restarted_node_of_which_nobody_was_refused(self, tmp_path):
        """Only callers that it refused can tell a node that its server left.

        The only caller's node stands still while the server deregisters, and
        learns from its view that there is no host.
        """
        async with serving_fleet(tmp_path) as (fleet, backend):
            caller = fleet.processes["n11"]
            caller.send_signal(platformfakes.signal.SIGSTOP)
            assert (await backend.deregister()).status == 200
            await asyncio.sleep(1)
            caller.send_signal(platformfakes.signal.SIGCONT)
            await asyncio.sleep(DRAIN_SECONDS)
            late = await arrivals_after_restart(fleet, backend)
        assert len(late) == 0
