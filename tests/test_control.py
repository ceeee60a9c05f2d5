"""Control hosts on loopback with all their components."""

import asyncio
import contextlib
import errno
import os
import random
import signal
import socket
import sys

import aiohttp
import pytest
import routingfakes

from mangobay import (
    cmdcontrol,
    control,
    controlclient,
    disk,
    errors,
    ids,
    options,
    peers,
    settings,
)
from mangobay.generated import messages
from mangobay.generated import settings as generated

WAIT_SECONDS = 15.0
"""Seconds after which a test fails."""

SETTINGS = """
[host]
name = {name}
data_centre = dc{number}
[listen]
peer = {peer}
operator = 127.0.0.1:0
[group]
hosts = {hosts}
election_timeout = 0.3
heartbeat_interval = 0.05
data = {folder}
[lease]
ttl = 2
margin = 0.3
"""

SHEET = (
    "service,operation,method,path,importance,idempotent,key,"
    "callers,outside,deadline_ms,tries\r\n"
    "quotes,sign,POST,/sign,critical,no,required,*,yes,800,1\r\n"
)


def free_addresses(count):
    """Returns loopback addresses with free ports."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [options.Address(*sock.getsockname()) for sock in sockets]


def write_settings(directory, number, addresses):
    """Writes the settings of one host; returns their path."""
    path = directory / f"c{number}.ini"
    path.write_text(
        SETTINGS.format(
            name=f"c{number}",
            number=number,
            peer=addresses[number],
            hosts=" ".join(map(str, addresses)),
            folder=directory / f"c{number}",
        )
    )
    return str(path)


class RunningHost:
    """One control host and the task that runs it."""

    async def start(self, path):
        config = settings.load(
            path, generated.CONTROL_SECTIONS, generated.Control
        )
        self.host = control.Control(config)
        self.stop_event = asyncio.Event()
        await self.host.start()
        self.task = asyncio.create_task(self.host.run(self.stop_event))

    async def stop(self):
        self.stop_event.set()
        await self.task


async def wait_until(condition):
    """Waits until a condition holds; fails after WAIT_SECONDS."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


def find_leader(hosts):
    return next(
        (running for running in hosts if running.host.group.leading.is_set()),
        None,
    )


async def apply_sheet(session, running, version):
    """Sends the sheet to one host until it is accepted."""
    url = f"http://{running.host.operator_listener.address}/v1/sheets"
    query = {"version": version, "operator": "ana"}
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            async with session.post(url, params=query, data=SHEET) as response:
                if response.status != 503:
                    return response.status, await response.json(
                        content_type=None
                    )
            await asyncio.sleep(0.05)


class TestControl:
    """Three control hosts and the control client of a node."""

    async def test_a_change_outlives_the_leader_and_a_restart(self, tmp_path):
        """Guards against losing an accepted sheet.

        Its leader stops, and later all control hosts restart.  The node keeps
        the sheet and gets its lease from the new leader.  After the restart
        the group still has the revision: the same sheet, sent again, gets the
        same response.
        """
        addresses = free_addresses(3)
        paths = [write_settings(tmp_path, n, addresses) for n in range(3)]
        hosts = [RunningHost() for _ in paths]
        for running, path in zip(hosts, paths, strict=True):
            await running.start(path)
        hello = messages.Hello(host="a", incarnation="1", role="node")
        transport = peers.PeerClient(hello)
        client = controlclient.ControlClient(
            routingfakes.section(
                "control",
                hosts=tuple(addresses),
                renew_interval=0.5,
                patience=0.3,
            ),
            controlclient.NodeIdentity(
                host=hello.host,
                incarnation=hello.incarnation,
                data_centre=ids.DataCentre("dc0"),
                peer_address=options.Address("127.0.0.1", 9),
            ),
            transport,
            random.Random(1),
        )
        client.serves = [messages.ServedService(name="quotes", slots=4)]
        client_task = asyncio.create_task(client.run())
        async with aiohttp.ClientSession() as session:
            await wait_until(
                lambda: find_leader(hosts) and client.lease.is_valid()
            )
            first = find_leader(hosts)
            status, accepted = await apply_sheet(session, first, "1")
            assert status == 200
            revision = accepted["revision"]
            await wait_until(lambda: client.tables.value.revision == revision)
            url = f"http://{first.host.operator_listener.address}/v1/revisions"
            async with session.get(
                f"{url}/{revision}/in-force", params={"wait": "5"}
            ) as response:
                assert (await response.json())["count"] == 1

            await first.stop()
            remaining = [running for running in hosts if running is not first]
            await wait_until(lambda: find_leader(remaining))
            old_expiry = client.lease.expires_at
            await wait_until(lambda: client.lease.expires_at > old_expiry + 0.5)
            assert client.tables.value.revision == revision

            for running in remaining:
                await running.stop()
            for running, path in zip(hosts, paths, strict=True):
                await running.start(path)
            await wait_until(lambda: find_leader(hosts))
            _, repeated = await apply_sheet(session, find_leader(hosts), "1")
            assert repeated == accepted | {"repeated": True}
        client_task.cancel()
        await transport.close()
        for running in hosts:
            await running.stop()


class FillingDisk(disk.Disk):
    """A disk that fails every write while `full` is set."""

    full = False

    def check_space(self):
        if FillingDisk.full:
            raise OSError(errno.ENOSPC, "No space left on device")

    def write(self, name, data):
        self.check_space()
        super().write(name, data)

    def append(self, name, data):
        self.check_space()
        super().append(name, data)

    def truncate(self, name, size):
        self.check_space()
        super().truncate(name, size)


class TestFullDisk:
    """Control hosts whose disk is full for a while."""

    @pytest.fixture
    def program(self, monkeypatch):
        """A daemon with a FillingDisk, run in this process."""
        monkeypatch.setattr(disk, "Disk", FillingDisk)
        monkeypatch.setattr(FillingDisk, "full", False)
        program = cmdcontrol.ControlProgram()
        program.hosts = []
        make_control = program.make_control

        def make_and_record(config):
            program.hosts.append(make_control(config))
            return program.hosts[-1]

        monkeypatch.setattr(program, "make_control", make_and_record)
        return program

    def load_config(self, tmp_path):
        path = write_settings(tmp_path, 0, free_addresses(1))
        return settings.load(
            path, generated.CONTROL_SECTIONS, generated.Control
        )

    def is_leading(self, program):
        host = program.hosts[-1]
        return hasattr(host, "group") and host.group.leading.is_set()

    async def test_it_is_back_when_there_is_room(self, tmp_path, program):
        """Guards against data loss when the disk of a leader fills.

        A change proposed meanwhile is not acknowledged.  The process keeps
        running and leads again, with all acknowledged changes, once the disk
        has space.
        """
        program_task = asyncio.create_task(
            program.run(self.load_config(tmp_path))
        )
        await wait_until(lambda: program.hosts and self.is_leading(program))
        change = messages.SheetChange(version="1", operator="ana")
        first = program.hosts[-1]
        await first.group.propose(change)
        FillingDisk.full = True
        with pytest.raises(errors.LeadershipLostError):
            await first.group.propose(messages.SheetChange(version="2"))
        await asyncio.sleep(3 * disk.FULL_POLL_SECONDS)
        assert not program_task.done()
        FillingDisk.full = False
        await wait_until(
            lambda: program.hosts[-1] is not first and self.is_leading(program)
        )
        await program.hosts[-1].group.propose(
            messages.SheetChange(version="3", operator="ana")
        )
        assert program.hosts[-1].machine.history[0].version == "1"
        os.kill(os.getpid(), signal.SIGTERM)
        assert await program_task == 0

    async def test_it_waits_for_room_at_its_start(self, tmp_path, program):
        """Guards against restarts in a loop while the disk is full.

        The disk is full and empty of data when the process starts.  The
        process waits, and can be told to stop.
        """
        FillingDisk.full = True
        program_task = asyncio.create_task(
            program.run(self.load_config(tmp_path))
        )
        await asyncio.sleep(3 * disk.FULL_POLL_SECONDS)
        assert not program_task.done()
        os.kill(os.getpid(), signal.SIGTERM)
        assert await program_task == 0


class TestProgram:
    """`mangobay-control` as a process."""

    async def start_program(self, path, *arguments):
        """Starts the daemon."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mangobay.cmdcontrol",
            "--settings",
            path,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def wait_for_failure(self, path, code):
        """Returns the lines that a process prints when it cannot start."""
        process = await self.start_program(path)
        async with asyncio.timeout(WAIT_SECONDS):
            _, stderr = await process.communicate()
        assert process.returncode == code
        assert b"Traceback" not in stderr
        lines = stderr.decode().splitlines()
        return [line for line in lines if not line.startswith("{")]

    async def test_invalid_setting_ends_it_before_any_socket_opens(
        self, tmp_path
    ):
        path = write_settings(tmp_path, 0, free_addresses(1))
        with open(path, "a") as file:
            file.write("margn = 3\n")
        lines = await self.wait_for_failure(path, 2)
        assert "margn" in lines[0]

    async def test_start_error_is_one_line_that_names_the_cause(self, tmp_path):
        """Another process uses the port; then the data directory is a file.

        The operator sees one line that names it, and exit code 1.
        """
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = options.Address(*listener.getsockname())
            path = write_settings(tmp_path, 0, [address])
            lines = await self.wait_for_failure(path, 1)
            assert len(lines) == 1
            assert str(address) in lines[0]
        (tmp_path / "c0").rename(tmp_path / "old")
        (tmp_path / "c0").write_text("not a directory")
        lines = await self.wait_for_failure(path, 1)
        assert len(lines) == 1
        assert "c0" in lines[0]

    async def start_and_wait(self, tmp_path):
        """Starts a process and waits until it runs."""
        path = write_settings(tmp_path, 0, free_addresses(1))
        process = await self.start_program(path)
        async with asyncio.timeout(WAIT_SECONDS):
            while b"control: started" not in await process.stderr.readline():
                pass
        return process

    async def test_sighup_is_ignored(self, tmp_path):
        process = await self.start_and_wait(tmp_path)
        process.send_signal(signal.SIGHUP)
        process.terminate()
        async with asyncio.timeout(WAIT_SECONDS):
            await process.communicate()
        assert process.returncode == 0

    async def test_sigterm_ends_it_with_exit_code_0(self, tmp_path):
        process = await self.start_and_wait(tmp_path)
        process.terminate()
        async with asyncio.timeout(WAIT_SECONDS):
            _, stderr = await process.communicate()
        assert process.returncode == 0
        assert b"Traceback" not in stderr
