"""The soak: its plans, its arguments and its reports."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import sys
import types

import pytest
import soakfakes
from adapter import fakeplatform

from bench.soak import (
    callers,
    checks,
    crowds,
    dialect,
    endless,
    endlessfaults,
    faults,
    floods,
    history,
    judge,
    links,
    operators,
    play,
    program,
    report,
    wire,
    world,
)
from mangobay import options

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOSTS = faults.Hosts(
    nodes=tuple(f"node-{number}" for number in range(1, 7)),
    controls=("control-1", "control-2", "control-3"),
)
Action = history.Action


class TestPlan:
    """Faults drawn from a seed."""

    def test_a_seed_gives_the_same_faults_again(self):
        for seed in range(50):
            first = faults.plan(seed, 30, HOSTS)
            assert first == faults.plan(seed, 30, HOSTS)

    def test_a_shorter_run_begins_with_the_same_faults(self):
        for seed in range(50):
            whole = faults.plan(seed, 30, HOSTS).faults
            part = faults.plan(seed, 12, HOSTS).faults
            assert part == tuple(each for each in whole if each.at < 12)

    def test_every_kind_of_fault_is_drawn(self):
        kinds = {
            type(fault)
            for seed in range(50)
            for fault in faults.plan(seed, 30, HOSTS).faults
        }
        assert kinds == set(faults.Fault.__args__)

    def test_some_seeds_have_planned_work_only(self):
        """Cuts around planned work are excused by a fault that overlaps."""
        unplanned = (faults.Kill, faults.Freeze, faults.RestartWithSignal)
        for seed in range(0, 60, faults.PLANNED_SEEDS):
            drawn = faults.plan(seed, 30, HOSTS).faults
            assert not any(isinstance(each, unplanned) for each in drawn)

    def test_seeds_with_link_faults_have_no_other_unplanned_ones(self):
        """A group without a majority accepts nothing that others must know."""
        unplanned = (faults.Kill, faults.Freeze, faults.RestartWithSignal)
        for seed in filter(faults.has_link_faults, range(100)):
            drawn = faults.plan(seed, 30, HOSTS).faults
            assert not any(isinstance(each, unplanned) for each in drawn)


class TestArguments:
    """The command line."""

    @pytest.mark.parametrize(
        "arguments",
        [
            ["--seed", "x"],
            ["--seed", "-1"],
            ["--count", "0"],
            ["--seconds", "soon"],
            ["--nodes", "1"],
            ["--tree", "/nowhere"],
            ["--further"],
        ],
    )
    def test_a_bad_one_gives_one_clear_error(self, arguments, capsys):
        with pytest.raises(SystemExit) as ended:
            program.main(None, arguments)
        assert ended.value.code == 2
        told = capsys.readouterr().err
        errors = [line for line in told.splitlines() if "error:" in line]
        assert len(errors) == 1
        assert arguments[0] in errors[0]

    def test_the_command_plays_the_seed_again(self):
        arguments = ["--seed", "7", "--seconds", "12"]
        chosen = program.make_parser().parse_args(arguments)
        (case,) = program.cases_of(chosen)
        assert case.command == "make soak SEED=7 SECONDS=12 NODES=6 CONTROLS=3"

    def test_fresh_seeds_are_drawn(self):
        chosen = program.make_parser().parse_args(["--count", "20"])
        assert len({case.seed for case in program.cases_of(chosen)}) > 10

    def test_what_ever_failed_is_played_again(self):
        """A list that cannot be read would guard against nothing."""
        chosen = program.make_parser().parse_args(["--failed"])
        assert program.cases_of(chosen)


class TestCrowds:
    """Connections opened in bursts while a node stops."""

    @staticmethod
    async def call(serve):
        """Returns the requests of a short crowd to a node that is played."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        ports = dataclasses.replace(fakeplatform.DIALECT.ports, outside=port)
        seen = history.History()
        crowd = crowds.Crowd(
            fault=faults.Rush(at=0.0, host="node-1", down=0.0, mark=0),
            place=dialect.Place(
                name="node-1",
                data_centre="north",
                ip="127.0.0.1",
                service="price",
            ),
            speech=dataclasses.replace(fakeplatform.DIALECT, ports=ports),
            seen=seen,
            numbers=itertools.count(1),
        )
        stopping = {"node-1"}
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, stopping.clear)
        await crowd.run(stopping)
        server.close()
        return seen.requests

    async def test_each_request_is_on_record_with_its_answer(self):
        """Runs of requests seem to be asked for by nobody."""

        async def refuse(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nn")
            writer.close()

        requests = await self.call(refuse)
        assert len(requests) >= crowds.BURSTS[0]
        assert {each.end for each in requests} == {history.End.ANSWERED}
        assert {each.status for each in requests} == {503}

    async def test_accepted_connections_that_get_no_answer_are_found(self):
        """A stopping node resets, at its end, what it accepted and left."""

        async def abandon(reader, writer):
            del reader
            await asyncio.sleep(0.5)
            writer.transport.abort()

        requests = await self.call(abandon)
        view = checks.View(history.History(requests=requests))
        found = list(checks.nothing_cut(view))
        assert len(found) == len(requests) >= crowds.BURSTS[0]


class TestJudge:
    """All checks together."""

    def test_each_check_names_a_line_of_the_promises(self):
        page = (ROOT / "docs" / "PROMISES.md").read_text()
        rows = {
            line.split("|")[1].strip()
            for line in page.splitlines()
            if line.startswith("| ")
        }
        assert {check.promise for check in judge.CHECKS} <= rows

    def test_a_good_history_has_no_break(self):
        requests = [soakfakes.request()]
        arrivals = [soakfakes.arrival()]
        good = soakfakes.seen(requests=requests, arrivals=arrivals)
        good.calm = 50.0
        assert judge.judge(good) == []


class TestReport:
    """The file that explains a break, and the table."""

    def test_a_break_is_told_with_its_way_and_its_log_lines(self, tmp_path):
        log = '{"timestamp": 1100.0, "attempt": "a", "message_type": "m"}\n'
        (tmp_path / "node-1.out").write_text("Traceback\n" + log)
        (tmp_path / "node-2.out").write_text("")
        seen = soakfakes.seen(
            requests=[soakfakes.cut()],
            arrivals=[soakfakes.dropped()],
            events=[soakfakes.event(95.0, Action.TERM)],
        )
        seen.wall = 1000.0
        made = world.World(
            ROOT, tmp_path, None, history.History(), world.Size()
        )
        plan = faults.plan(3, 12, HOSTS)
        played = play.Played(plan=plan, seen=seen, made=made)
        breaks = list(checks.nothing_cut(checks.View(seen)))
        text = report.explain(played, breaks, "make soak SEED=3")
        for part in (
            "again: make soak SEED=3",
            "SIGTERM",
            "BREAK",
            "last byte sent",
            "connection ended under the run",
            f"node-1: {log.strip()}",
            str(plan.faults[0]),
        ):
            assert part in text
        assert report.table([report.row(played, breaks)]).count("\n") == 2


class TestProbes:
    """Requests that ask a single node which routes are in force."""

    async def test_one_that_the_end_of_the_run_cuts_is_on_record(self):
        """A backend server's run of it seems to be asked for by nobody."""

        async def silent(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        speech = dataclasses.replace(
            fakeplatform.DIALECT,
            ports=dataclasses.replace(fakeplatform.DIALECT.ports, outside=port),
        )
        place = types.SimpleNamespace(
            ip="127.0.0.1", name="node-1", service="a"
        )
        made = types.SimpleNamespace(speech=speech, places={"node-1": place})
        seen = history.History()
        operator = operators.Operators(made, seen, 1)
        probing = asyncio.create_task(operator.probe(place))
        await asyncio.sleep(0.1)
        probing.cancel()
        await asyncio.wait({probing})
        server.close()
        assert [each.status for each in seen.probes] == [0]


class TestCallers:
    """Callers on connections of their own."""

    @classmethod
    async def call(cls, serve, manner):
        """Returns the request of one turn of a caller to a node."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        caller = cls.caller(port, manner)
        await caller.turn()
        caller.drop(history.End.LEFT)
        server.close()
        (request,) = caller.seen.requests
        assert not caller.seen.strays
        return request

    @staticmethod
    def caller(port, manner):
        """Returns a caller of a node that is played."""
        ports = dataclasses.replace(fakeplatform.DIALECT.ports, outside=port)
        return callers.Caller(
            dialect.Place(
                name="node-1",
                data_centre="north",
                ip="127.0.0.1",
                service="price",
            ),
            manner,
            dataclasses.replace(fakeplatform.DIALECT, ports=ports),
            history.History(),
            1,
            itertools.count(1),
        )

    async def test_half_closed_one_waits_for_its_response(self):
        """Interim responses pass for the response, or end the connection."""
        ended = asyncio.Event()

        async def respond(reader, writer):
            await reader.read()
            ended.set()
            for _ in range(2):
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                await writer.drain()
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nn")
            writer.close()

        request = await self.call(respond, callers.Manner.HALF_CLOSED)
        assert ended.is_set()
        assert request.end is history.End.ANSWERED
        assert request.status == 503

    async def test_late_body_is_sent_in_parts(self, monkeypatch):
        """A body that comes at once is whole before the node stops."""
        pause = 0.02
        monkeypatch.setattr(
            callers,
            "PIECE_PAUSES",
            {callers.Manner.LATE_BODY: (pause, pause)},
        )
        times = []

        async def respond(reader, writer):
            head = await wire.read_head(reader)
            times.append(asyncio.get_running_loop().time())
            await wire.read_body(reader, head)
            times.append(asyncio.get_running_loop().time())
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nn")
            writer.close()

        request = await self.call(respond, callers.Manner.LATE_BODY)
        assert request.status == 503
        assert times[1] - times[0] > (callers.PIECES - 2) * pause

    async def test_connection_that_was_closed_with_unsent_bytes(
        self, monkeypatch
    ):
        """The run ends when its caller drops the connection."""
        size = 20_000_000
        monkeypatch.setattr(
            callers, "BODIES", {callers.Manner.LARGE: (size, size)}
        )
        read = asyncio.Event()

        async def respond(reader, writer):
            writer.write(
                b"HTTP/1.1 503 No\r\nContent-Length: 1\r\n"
                b"Connection: close\r\n\r\nn"
            )
            await writer.drain()
            # The caller closes its connection meanwhile.
            await asyncio.sleep(0.2)
            while await reader.read(size):
                pass
            read.set()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        caller = self.caller(port, callers.Manner.LARGE)
        async with asyncio.timeout(20):
            await caller.turn()
            await read.wait()
        caller.drop(history.End.LEFT)
        server.close()
        (request,) = caller.seen.requests
        assert request.status == 503


class TestSendersWithoutEnd:
    """Responses and bodies that have no end."""

    @pytest.mark.parametrize("form", list(endless.Form))
    async def test_each_form_is_sent_until_the_connection_is_closed(self, form):
        """A sender that ends by itself brings no process to its limits."""
        message = endless.make_message(form, "POST / HTTP/1.1", {})
        wanted = sum(map(len, message))
        closed = asyncio.Event()

        async def take(reader, writer):
            await reader.readexactly(wanted)
            closed.set()
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(10):
            await floods.send_until("127.0.0.1", port, message, 20.0)
        assert closed.is_set()
        server.close()

    async def test_it_ends_in_time_where_nothing_is_read(self):
        """A node that stops to read keeps the run from its end."""
        over, closed = asyncio.Event(), asyncio.Event()

        async def stay(reader, writer):
            del reader
            await over.wait()
            writer.close()
            closed.set()

        server = await asyncio.start_server(stay, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        form = endless.Form.CHUNKS
        message = endless.make_message(form, "POST / HTTP/1.1", {})
        async with asyncio.timeout(10):
            await floods.send_until("127.0.0.1", port, message, 0.3)
        over.set()
        await closed.wait()
        server.close()

    def test_the_other_faults_of_a_plan_do_not_depend_on_them(
        self, monkeypatch
    ):
        """Listed seeds no longer play the faults that showed their cause."""
        kinds = endlessfaults.EndlessResponses, endlessfaults.EndlessBodies
        plans = [faults.plan(seed, 30, HOSTS).faults for seed in range(30)]
        monkeypatch.setattr(faults, "ENDLESS_SEEDS", frozenset())
        for seed, drawn in enumerate(plans):
            others = [each for each in drawn if not isinstance(each, kinds)]
            assert tuple(others) == faults.plan(seed, 30, HOSTS).faults


class TestLinks:
    """Relays between the processes of a run."""

    @staticmethod
    async def echo(reader, writer):
        """Sends back what comes."""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(100):
                writer.write(part)
        writer.close()

    @classmethod
    @contextlib.asynccontextmanager
    async def link(cls):
        """Yields an open link to a server that echoes."""
        server = await asyncio.start_server(cls.echo, "127.0.0.1", 0)
        target = options.Address(*server.sockets[0].getsockname())
        made = links.Link(options.Address("127.0.0.1", 0), target)
        await made.open()
        yield made
        made.close()
        made.turn(links.State.CUT)
        await asyncio.gather(*made.tasks, return_exceptions=True)
        server.close()

    @staticmethod
    async def connect(link):
        """Returns a new connection on a link."""
        address = link.server.sockets[0].getsockname()
        return await asyncio.open_connection(*address)

    async def test_a_stalled_one_keeps_what_is_sent(self):
        """A link that loses bytes looks like a peer that is faulty."""
        async with self.link() as link, asyncio.timeout(10):
            reader, writer = await self.connect(link)
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            link.turn(links.State.STALLED)
            writer.write(b"two")
            receiving = asyncio.create_task(reader.readexactly(3))
            done, _ = await asyncio.wait({receiving}, timeout=0.2)
            assert not done
            link.turn(links.State.WHOLE)
            assert await receiving == b"two"
            writer.close()

    async def test_a_cut_one_ends_its_connections_and_takes_none(self):
        """Processes that go on over a link that is cut are never tested."""
        async with self.link() as link, asyncio.timeout(10):
            reader, writer = await self.connect(link)
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            link.turn(links.State.CUT)
            assert await read_to_end(reader) == b""
            writer.close()
            reader, writer = await self.connect(link)
            assert await read_to_end(reader) == b""
            writer.close()

    async def test_a_process_connects_to_the_relay(self, tmp_path):
        """A run whose processes go past the relays has whole links only."""
        script = tmp_path / "script.py"
        script.write_text(
            "import socket, sys\n"
            "address = ('127.0.0.1', 1)\n"
            "made = socket.create_connection(address)\n"
            "made.sendall(sys.argv[1].encode())\n"
        )
        received = asyncio.get_running_loop().create_future()

        async def receive(reader, writer):
            received.set_result(await reader.read())
            writer.close()

        server = await asyncio.start_server(receive, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        table = tmp_path / "table"
        table.write_text(json.dumps([["127.0.0.1", 1, ip, port]]))
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(links.SCRIPT), str(table), str(script), "word"
        )
        async with asyncio.timeout(20):
            assert await process.wait() == 0
            assert await received == b"word"
        server.close()

    @pytest.mark.parametrize("relayed", [False, True])
    async def test_relays_that_stood_still_interrupt_all_links(
        self, tmp_path, relayed
    ):
        """Peers that give up on a relay seem to be at fault."""
        seen = history.History()
        made = world.World(
            ROOT,
            tmp_path,
            fakeplatform.DIALECT,
            seen,
            world.Size(),
            relayed=relayed,
        )
        made.note_standstill(5.0)
        view = checks.View(seen)
        for host in made.places:
            assert view.spans.disturbed(host, 5.5, 5.5) == relayed


async def read_to_end(reader):
    """Returns what comes until the connection ends, in whatever way."""
    try:
        return await reader.read()
    except ConnectionError:
        return b""
