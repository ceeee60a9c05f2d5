"""Requests that end the backend servers on which they run, with the real programs."""

import asyncio
import contextlib
import itertools
import signal

import platformfakes

from mangobay import operatorclient, options

CRASHING_TARGET = "/crash"
ATTEMPTS_OF_ROUTE = 2
RESTART_SECONDS = 1.5
NODES = range(11, 19)
CALLING_NODE = 19
MAX_ENDED = 3
"""Backend servers that may end before the request is known."""
MAX_IN_FLIGHT = 1
"""Backend servers that a repeat may reach while the others are being told."""


class CrashingBackend(platformfakes.BackendServer):
    """A backend server that ends when it reads a request for one target.

    Ending closes the listener and resets every connection.  It starts again,
    as another incarnation, after RESTART_SECONDS.
    """

    def __init__(self, ip, service):
        super().__init__(ip, service)
        self.writers = set()
        self.ended_at = []
        self.running = True
        self.restart_task = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(CrashDetector(reader, self.end), writer)
        finally:
            self.writers.discard(writer)

    def end(self):
        """Ends as a crashed process does."""
        self.running = False
        self.ended_at.append(asyncio.get_running_loop().time())
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.restart_task = asyncio.create_task(self.restart())

    async def restart(self):
        await asyncio.sleep(RESTART_SECONDS)
        self.server = await asyncio.start_server(
            self.serve, self.ip, platformfakes.BACKEND
        )
        self.born += 1
        self.sequence = 0
        self.running = True

    async def send_heartbeat(self):
        if self.running:
            await super().send_heartbeat()

    async def close(self):
        if self.restart_task is not None:
            self.restart_task.cancel()
        await super().close()


class CrashDetector:
    """A reader that reports a request for the crashing target."""

    def __init__(self, reader, report):
        self.reader = reader
        self.report = report

    async def readuntil(self, separator):
        head = await self.reader.readuntil(separator)
        if head.startswith(f"GET {CRASHING_TARGET}".encode()):
            self.report()
            raise ConnectionResetError
        return head


class CallingBackend(platformfakes.BackendServer):
    """A backend server whose runs make crashing calls, one after the other.

    Attributes:
      fleet: the fleet that it belongs to.
      targets: targets of the calls of each run.
    """

    fleet = None
    targets = ()

    async def respond(self, writer, attempt_id):
        statuses = set()
        for number, target in enumerate(self.targets):
            data = platformfakes.request_bytes(
                "a", f"{attempt_id}.{number}", 2000, target=target
            )
            response = await platformfakes.send_request(
                self.ip, platformfakes.OUTSIDE, data
            )
            statuses.add(response.status)
        status = 200 if statuses <= {200} else 500
        writer.write(platformfakes.response_bytes(attempt_id, status))


@contextlib.asynccontextmanager
async def crashing_fleet(folder):
    """Gives a fleet of nodes that serve `a`, and one that serves `b`."""
    names = itertools.count()
    async with platformfakes.Fleet(folder, seeds=1, voters=1) as fleet:
        fleet.backend_class = CrashingBackend
        fleet.start_control(1)
        for number in NODES:
            await fleet.start_node(number, "a")
        fleet.backend_class = CallingBackend
        calling = await fleet.start_node(CALLING_NODE, "b")
        calling.fleet = fleet

        async def accepted():
            response = await fleet.replace_config(
                1, 1, ["a", "b"], "0", route_type="safe"
            )
            return response.status == 200

        async def all_served():
            responses = [
                await fleet.request(number, "a", f"try-{next(names)}")
                for number in NODES
            ]
            return {response.status for response in responses} == {200}

        async def all_members():
            await asyncio.gather(
                *(
                    fleet.request(number, "a", f"try-{next(names)}")
                    for number in NODES
                    for _ in range(8)
                )
            )
            calling_response = await fleet.request(
                CALLING_NODE, "b", f"try-{next(names)}"
            )
            return calling_response.status == 200 and all(
                backend.arrivals for backend in fleet.backends
            )

        for check in (accepted, all_served, all_members):
            await platformfakes.wait_until(check)
        yield fleet


async def repeat_crashing_request(fleet, numbers, seconds, pause):
    """Repeats the request with fresh ids; returns the responses."""
    names = itertools.count()
    nodes = itertools.cycle(numbers)
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    responses = []
    while loop.time() < until:
        responses.append(
            await fleet.request(
                next(nodes), "a", f"c-{next(names)}", target=CRASHING_TARGET
            )
        )
        await asyncio.sleep(pause)
    return responses


def ended_count(fleet):
    """Returns how often backend servers have ended."""
    return sum(
        len(backend.ended_at)
        for backend in fleet.backends
        if isinstance(backend, CrashingBackend)
    )


class TestRepeatedByCallers:
    """Callers repeat a request that ends backend servers, with fresh ids."""

    async def test_one_attempt_ends_as_many_as_its_route_allows(self, tmp_path):
        """Redirects and attempts at a hop add up in one attempt."""
        async with crashing_fleet(tmp_path) as fleet:
            await fleet.request(11, "a", "once", target=CRASHING_TARGET)
            assert ended_count(fleet) <= ATTEMPTS_OF_ROUTE

    async def test_repeats_through_one_node_end_few_servers(self, tmp_path):
        """Each repeat ends as many servers as its route allows attempts."""
        async with crashing_fleet(tmp_path) as fleet:
            await repeat_crashing_request(fleet, [11], 0.8, 0.05)
            assert ended_count(fleet) <= MAX_ENDED + MAX_IN_FLIGHT

    async def test_repeats_through_all_nodes_end_few_servers(self, tmp_path):
        """No node knows of the servers that ended through another one."""
        async with crashing_fleet(tmp_path) as fleet:
            await repeat_crashing_request(fleet, NODES, 0.8, 0.05)
            assert ended_count(fleet) <= MAX_ENDED + MAX_IN_FLIGHT

    async def test_other_requests_are_served_meanwhile(self, tmp_path):
        """All servers are down at once, and every caller is refused."""
        async with crashing_fleet(tmp_path) as fleet:
            repeats = asyncio.create_task(
                repeat_crashing_request(fleet, NODES, 3.0, 0.05)
            )
            await asyncio.sleep(0.8)
            statuses = [
                (await fleet.request(number, "a", f"other-{number}")).status
                for number in NODES
            ]
            await repeats
            assert statuses == [200] * len(NODES)


class TestCallsOfRuns:
    """Runs make calls that end the backend servers of another service."""

    async def test_repeats_of_a_run_with_a_crashing_call(self, tmp_path):
        """Each repeat of the run makes the call again, with a new id."""
        async with crashing_fleet(tmp_path) as fleet:
            fleet.backends[-1].targets = [CRASHING_TARGET]
            for number in range(8):
                await fleet.request(CALLING_NODE, "b", f"run-{number}")
            assert ended_count(fleet) <= MAX_ENDED + MAX_IN_FLIGHT

    async def test_a_run_with_many_different_crashing_calls(self, tmp_path):
        """Each call ends servers, and no other request is like it."""
        async with crashing_fleet(tmp_path) as fleet:
            fleet.backends[-1].targets = [
                f"{CRASHING_TARGET}/{number}" for number in range(6)
            ]
            await fleet.request(CALLING_NODE, "b", "run")
            assert ended_count(fleet) <= MAX_ENDED + MAX_IN_FLIGHT


class TestOperators:
    """Operators list and release the request."""

    async def test_a_released_request_runs_again(self, tmp_path):
        """A request stays refused at some node after its release."""
        async with crashing_fleet(tmp_path) as fleet:
            await repeat_crashing_request(fleet, NODES, 0.8, 0.05)
            before = ended_count(fleet)
            address = options.Address(fleet.ip(1), platformfakes.METRICS)
            path = "/v1/services/a/quarantine"
            async with operatorclient.OperatorClient((address,)) as client:
                listed = await client.send_request("GET", path)
                (request,) = listed["requests"]
                released = await client.send_request(
                    "POST", f"{path}/{request['request']}/release"
                )
                relisted = await client.send_request("GET", path)
            assert request["nodes"] == listed["asked"] == len(NODES)
            assert released["nodes"] == len(NODES)
            assert not relisted["requests"]
            await fleet.request(11, "a", "again", target=CRASHING_TARGET)
            assert ended_count(fleet) > before


class TestLostKnowledge:
    """What is known of a request outlives faults of the system."""

    async def test_without_a_control_host(self, tmp_path):
        """Nodes learn of the ends only from the control group."""
        async with crashing_fleet(tmp_path) as fleet:
            await fleet.stop("c1", signal.SIGKILL)
            await repeat_crashing_request(fleet, NODES, 0.8, 0.05)
            assert ended_count(fleet) <= MAX_ENDED + MAX_IN_FLIGHT

    async def test_restarted_nodes_run_it_no_more_often(self, tmp_path):
        """A node that was restarted runs what the others refuse."""
        names = itertools.count()
        async with crashing_fleet(tmp_path) as fleet:
            await repeat_crashing_request(fleet, NODES, 0.8, 0.05)
            restarted = list(NODES)[: len(NODES) // 2]
            for number in restarted:
                await fleet.stop(f"n{number}", signal.SIGKILL)
                fleet.restart(f"n{number}", "node")

            async def all_served():
                responses = [
                    await fleet.request(number, "a", f"again-{next(names)}")
                    for number in restarted
                ]
                return {response.status for response in responses} == {200}

            await platformfakes.wait_until(all_served)
            # The pause of a test in between must not hide a node that forgot.
            await repeat_crashing_request(fleet, NODES, 1.2, 0.05)
            before = ended_count(fleet)
            await repeat_crashing_request(fleet, restarted, 0.8, 0.05)
            assert ended_count(fleet) - before <= MAX_IN_FLIGHT
