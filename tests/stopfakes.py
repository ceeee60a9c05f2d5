"""Requests around the planned stop of a node, sent to the real programs."""

import asyncio
import contextlib
import dataclasses
import enum
import signal

import platformfakes

GRACE_SECONDS = 6.0
LINGER_SECONDS = 2.8
LAST_SENT_SECONDS = 3.0
"""Seconds after SIGTERM up to which a request may be sent that is aborted."""
ABORT_SECONDS = GRACE_SECONDS * 5 / 6
"""Seconds after SIGTERM before which no running request is aborted."""
SCHEDULING_SECONDS = 0.25
"""Seconds by which a busy machine may run a step late."""
POLL_SECONDS = 0.02
"""Seconds between checks whether a connection has ended."""
NODE, OTHER_NODE = 11, 12
NOT_RUN_STATUSES = (408, 421, 429, 503)
SUCCESS = 200
DEADLINE_STATUS = 504


class RouteType(enum.Enum):
    """What may be repeated on a route, with its hostname.

    Attributes:
      UNSAFE: a request runs once at most.
      SAFE: a request may run again.
    """

    UNSAFE = "b.example"
    SAFE = "safe.example"


class Stopped(enum.Enum):
    """The node that is stopped.

    Attributes:
      ENTRY: the node that callers send their requests to.
      SERVER: the node beside the backend server.
    """

    ENTRY = NODE
    SERVER = OTHER_NODE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """When a request is sent, in seconds after SIGTERM, and how long it runs.

    Attributes:
      head: when its head is sent.
      last: when its last byte is sent.
      body_bytes: size of its body.
      first_bytes: bytes of the body that are sent with the head.
      part_times: when the parts of the rest before the last one are sent; all
        are of one size.
      work: seconds that the backend server works on it.
      deadline: seconds after its head for which the caller waits.
      reads_late: whether the caller reads only once all of it is sent.
      route_type: what may be repeated.
    """

    head: float
    last: float
    body_bytes: int = 300_000
    first_bytes: int = 0
    part_times: tuple[float, ...] = ()
    work: float = 2.3
    deadline: float = 8.0
    reads_late: bool = False
    route_type: RouteType = RouteType.UNSAFE

    def parts(self):
        """Returns when each part of the rest is sent, and where it ends."""
        times = [*self.part_times, self.last]
        rest_bytes = self.body_bytes - self.first_bytes
        return [
            (at, self.first_bytes + rest_bytes * number // len(times))
            for number, at in enumerate(times, 1)
        ]


@dataclasses.dataclass(slots=True)
class Run:
    """What a backend server has seen of a request, as loop times.

    Attributes:
      started_at: when its head came.
      whole_at: when its body was complete, infinity before.
      ended_at: when the response was written, infinity before.
    """

    started_at: float
    whole_at: float = float("inf")
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a caller and the backend server have seen of a request.

    Attributes:
      timing: how it was sent.
      attempt_id: its id.
      response: its response.
      ended_at: when the response or the end of the connection came, in seconds
        after SIGTERM.
      runs: its runs, with times after SIGTERM.
    """

    timing: Timing
    attempt_id: str
    response: platformfakes.Response
    ended_at: float
    runs: list[Run]

    @property
    def has_run(self):
        """Whether a backend server has had the whole request."""
        return any(run.whole_at < float("inf") for run in self.runs)

    @property
    def is_at_its_deadline(self):
        """Whether the response came when the caller gives up."""
        return self.ended_at >= self.timing.head + self.timing.deadline


class WorkingServer(platformfakes.BackendServer):
    """Works on each request as long as the request says.

    Drops a request whose connection ends.

    Attributes:
      runs: what it has seen, by attempt id.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.runs = {}

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if head.startswith("get /h http"):
                    writer.write(self.health_response())
                    continue
                attempt_id = value_of(head, "x-mangobay-attempt-id")
                run = Run(loop.time())
                self.runs.setdefault(attempt_id, []).append(run)
                await reader.readexactly(
                    int(value_of(head, "content-length") or 0)
                )
                run.whole_at = loop.time()
                await work(reader, float(value_of(head, "x-work") or 0))
                await self.respond(writer, attempt_id)
                run.ended_at = loop.time()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            return


async def work(reader, seconds):
    """Returns after some seconds.

    Raises:
      ConnectionError: the connection has ended before.
    """
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    while (left := end_at - loop.time()) > 0:
        await asyncio.sleep(min(left, POLL_SECONDS))
        if reader.at_eof():
            raise ConnectionError("the connection has ended")


def value_of(head: str, name: str) -> str:
    """Returns the value of a header, empty if it is missing."""
    for line in head.split("\r\n"):
        key, _, value = line.partition(":")
        if key == name:
            return value.strip()
    return ""


def configuration():
    """Returns a configuration with large bodies, and a safe route to b."""
    document = platformfakes.configuration(1, ["a", "b"])
    document["limits"]["max_body_bytes"] = 64 * 1024 * 1024
    rows = document["routes"]["rows"]
    rows.append(["r-safe", RouteType.SAFE.value, "/", "safe", *rows[-1][4:]])
    return document


class PlannedStop:
    """Two nodes, one of which is stopped under requests.

    Attributes:
      fleet: runs the nodes.
      server: the backend server of the other node.
      stopped_at: loop time of the SIGTERM.
      exited_at: when the stopped node had exited, in seconds after SIGTERM.
      exit_code: its exit code.
    """

    def __init__(self, fleet, server):
        self.fleet = fleet
        self.server = server
        self.stopped_at = 0.0
        self.exited_at = 0.0
        self.exit_code = 0

    async def wait_until(self, seconds):
        """Returns at a time after SIGTERM."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.stopped_at + seconds - loop.time())

    async def play(self, timings, stopped=Stopped.ENTRY):
        """Returns the results of requests around the stop of a node."""
        loop = asyncio.get_running_loop()
        first = min(0.0, *(timing.head for timing in timings))
        self.stopped_at = loop.time() - first + 0.2
        requests = [
            asyncio.create_task(self.send(timing, f"late-{index}"))
            for index, timing in enumerate(timings)
        ]
        await self.wait_until(0)
        process = self.fleet.processes[f"n{stopped.value}"]
        process.send_signal(signal.SIGTERM)
        self.exit_code = await asyncio.to_thread(
            process.wait, platformfakes.WAIT_SECONDS
        )
        self.exited_at = loop.time() - self.stopped_at
        return await asyncio.gather(*requests)

    async def send(self, timing, attempt_id):
        """Returns the result of a request on a connection opened before."""
        caller = await self.fleet.connect(NODE)
        caller.send("b", f"{attempt_id}-warm")
        warm = await caller.read_response()
        assert warm.status == SUCCESS, warm
        await self.wait_until(timing.head)
        body = b"x" * timing.body_bytes
        head = (
            f"POST /x HTTP/1.1\r\nHost: {timing.route_type.value}\r\n"
            f"X-Mangobay-Attempt-Id: {attempt_id}\r\n"
            f"X-Mangobay-Deadline-Ms: {int(timing.deadline * 1000)}\r\n"
            f"X-Work: {timing.work}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        reading = asyncio.create_task(self.read_response(caller))
        if timing.reads_late:
            caller.writer.transport.pause_reading()
        sent_bytes = timing.first_bytes
        caller.writer.write(head.encode() + body[:sent_bytes])
        for at, end in timing.parts():
            await self.wait_until(at)
            caller.writer.write(body[sent_bytes:end])
            sent_bytes = end
        if timing.reads_late:
            caller.writer.transport.resume_reading()
        response, ended_at = await reading
        caller.writer.close()
        runs = [
            Run(
                run.started_at - self.stopped_at,
                run.whole_at - self.stopped_at,
                run.ended_at - self.stopped_at,
            )
            for run in self.server.runs.get(attempt_id, ())
        ]
        return Result(timing, attempt_id, response, ended_at, runs)

    async def read_response(self, caller):
        """Returns the next response, and when it came after SIGTERM."""
        response = await caller.read_response()
        now = asyncio.get_running_loop().time()
        return response, now - self.stopped_at

    def breaks(self, results, stopped=Stopped.ENTRY):
        """Returns the requests for which a rule is broken, with the check.

        The rules on planned stops are about the node that took the request from
        its caller. Where the one beside the server stops, a late request may be
        passed on and cut, but by its abort only.
        """
        checks = [
            is_answered,
            is_refused_truthfully,
            is_told_not_run,
            runs_once,
        ]
        if stopped is Stopped.ENTRY:
            checks += [is_not_cut, is_not_passed_on_late]
        else:
            checks += [is_not_cut_before_the_abort]
        return [
            (check.__name__, result)
            for result in results
            for check in checks
            if not check(self, result)
        ]

    def has_true_exit_code(self, results):
        """Returns whether the exit code is 1 just if the abort cut a request."""
        was_cut = any(
            result.has_run
            and result.response.status not in (SUCCESS, DEADLINE_STATUS)
            and result.ended_at >= ABORT_SECONDS
            for result in results
        )
        return self.exit_code == int(was_cut)


def is_answered(stop, result):
    """Returns whether a response came.

    LOST: "a process has read a whole request and the connection ends without a
    complete answer".
    """
    del stop
    return result.response.status > 0


def is_refused_truthfully(stop, result):
    """Returns whether a refused request never reached a server.

    REFUSED: "A request that isn't idempotent is answered 429 or 503 (or 408,
    421) and has run, or runs later."
    """
    del stop
    return not (result.response.status in NOT_RUN_STATUSES and result.runs)


def is_told_not_run(stop, result):
    """Returns whether the caller of a request that reached no server knows.

    A price is paid for "a request that was read and ends with a closed
    connection, or with a 5xx of your own other than 503, without having been
    offered to an upstream".
    """
    del stop
    return (
        bool(result.runs)
        or result.response.status in NOT_RUN_STATUSES
        or result.is_at_its_deadline
    )


def runs_once(stop, result):
    """Returns whether a request ran as often as it may.

    TWICE: "A request that isn't idempotent runs more than once."
    """
    del stop
    may_repeat = result.timing.route_type is RouteType.SAFE
    return may_repeat or len(result.runs) <= 1


def is_not_cut(stop, result):
    """Returns whether a request that runs got its response, or may be cut.

    LOST: "the connection ends without a complete answer, either once it has been
    passed on to an upstream, or later". "After a SIGTERM it is the same if you
    break off a request at which its upstream is at work and give an answer of
    your own in its place." Not counted: "the upstream was still at work in the
    last sixth of `grace` on a request that was sent no later than 3 s after the
    SIGTERM".
    """
    return (
        result.timing.last <= LAST_SENT_SECONDS
        or not result.has_run
        or result.response.status == SUCCESS
        or result.is_at_its_deadline
    ) and is_not_cut_before_the_abort(stop, result)


def is_not_cut_before_the_abort(stop, result):
    """Returns whether no request was cut that runs, unless by the abort.

    LOST: not counted is what is cut if "the deadline or the route's timeout was
    reached, or the upstream was still at work in the last sixth of `grace`".
    """
    del stop
    if not result.has_run or result.response.status == SUCCESS:
        return True
    if result.is_at_its_deadline:
        return True
    was_at_work = all(run.ended_at == float("inf") for run in result.runs)
    return result.ended_at >= ABORT_SECONDS and was_at_work


def is_not_passed_on_late(stop, result):
    """Returns whether a request reached a server only while work is taken.

    LOST: what is cut counts unless it "was sent no later than 3 s after the
    SIGTERM".
    """
    del stop
    latest = LINGER_SECONDS + SCHEDULING_SECONDS
    return all(run.started_at <= latest for run in result.runs)


@contextlib.asynccontextmanager
async def two_nodes(
    folder, grace=f"{GRACE_SECONDS}s", linger=f"{LINGER_SECONDS}s"
):
    """Runs two nodes; yields them with the backend server of the second."""
    async with platformfakes.Fleet(folder, seeds=1, voters=1) as fleet:
        fleet.backend_class = WorkingServer
        fleet.start_control(1)
        await fleet.start_node(NODE, "a", grace, linger)
        server = await fleet.start_node(OTHER_NODE, "b", grace, linger)

        async def accepted():
            response = await platformfakes.call_rpc(
                fleet.ip(1),
                platformfakes.OPERATOR,
                "config.replace",
                configuration(),
                base="0",
            )
            return response.status == 200

        async def served():
            for service in ("a", "b"):
                response = await fleet.request(NODE, service, "served")
                if response.status != 200:
                    return False
            return True

        await platformfakes.wait_until(accepted)
        await platformfakes.wait_until(served)
        yield PlannedStop(fleet, server)
