"""Compares output and responses for bad input with golden files."""

import asyncio
import contextlib
import os
import pathlib
import re
import socket
import sys

import processfakes

from bench import hosts
from mangobay import options

WAIT_SECONDS = 30.0
KEY = "Idempotency-Key: 01980000-0000-7000-8000-000000000001"
BAD_SETTINGS = """[host]
nmae = a
data_centre = x
[listen]
outside = localhost:80
local = 10.0.0.1:5
[admission]
queue_time = fast
queue_lenght = 3
[retries]
ratio = -1
"""
BAD_SHEET = """service,operation,method,path,importance,idempotent,deadline_ms,tries
bookings,book,POTS,/bookings,criticl,no,-5,1
bookings,book,POST,bookings,critical,maybe,4000,1
"""
PROGRAMS = {
    "mangobay": "mangobay.cmdline",
    "mangobay-node": "mangobay.cmdnode",
    "mangobay-control": "mangobay.cmdcontrol",
}
REPLACEMENTS = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"revision \d+"), "revision N"),
    (re.compile(r'"(term|commit|revision|winner)": \d+'), r'"\1": N'),
    (re.compile(r"Date: .*"), "Date: TIME"),
    (re.compile(r"Server: .*"), "Server: LIBRARY"),
    (re.compile(r"Retry-After: \d+"), "Retry-After: SECONDS"),
    (re.compile(r"\d+\.\d+ s\b"), "N s"),
)
"""Patterns of text that differs from run to run, and replacements."""


class Transcript:
    """Records commands and HTTP exchanges as text.

    Attributes:
      directory: the working directory of the commands.
      lines: the recorded lines.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.lines: list[str] = []

    def __str__(self) -> str:
        text = "\n".join(self.lines).replace(str(self.directory), "FOLDER")
        assert "Traceback" not in text
        for pattern, replacement in REPLACEMENTS:
            text = pattern.sub(replacement, text)
        return text

    def write(self, name: str, text: str) -> None:
        """Writes a file to the working directory."""
        (self.directory / name).write_text(text)

    async def run_command(self, program: str, *arguments: str) -> None:
        """Runs a command and records its output and exit code."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            PROGRAMS[program],
            *arguments,
            cwd=self.directory,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=os.environ
            | {"PYTHONPATH": os.pathsep.join(sys.path), "COLUMNS": "80"},
        )
        async with asyncio.timeout(WAIT_SECONDS):
            output, _ = await process.communicate()
        self.lines.append("$ " + " ".join((program, *arguments)))
        self.lines.append(output.decode().rstrip())
        self.lines.append(f"exit {process.returncode}\n")

    async def send_http(
        self,
        address: options.Address,
        request: str,
        *headers: str,
        body: str = "",
        declared_length: int | None = None,
        max_recorded: int = 60,
    ) -> None:
        """Sends a raw HTTP request, and records it and the response.

        Args:
          address: the address of the server.
          request: method and target.
          *headers: further header lines.
          body: the body to send.
          declared_length: value of Content-Length, if it is to differ from
            the length of the body.
          max_recorded: maximum characters of the body that are recorded.
        """
        content_length = (
            len(body) if declared_length is None else declared_length
        )
        lines = [
            f"{request} HTTP/1.1",
            "Host: here",
            "Connection: close",
            *headers,
            f"Content-Length: {content_length}",
        ]
        reader, writer = await asyncio.open_connection(*address)
        writer.write("\r\n".join([*lines, "", body]).encode())
        if declared_length is not None:
            writer.write_eof()
        async with asyncio.timeout(WAIT_SECONDS):
            response = await reader.read()
        writer.close()
        self.lines += [
            f"> {line}" for line in [*lines, body[:max_recorded]] if line
        ]
        response_text = response.decode().replace("\r\n", "\n").strip()
        self.lines += [
            f"< {line}".rstrip() for line in response_text.split("\n")
        ]
        self.lines.append("")


@contextlib.asynccontextmanager
async def single_node_cluster(directory: pathlib.Path):
    """Runs one control host, one node and its backend server."""
    async with processfakes.process_cluster(
        directory, data_centres=1
    ) as cluster:
        await cluster.start()
        yield cluster


class TestStart:
    """Errors that keep a process from starting."""

    async def test_settings(self, tmp_path, snapshot):
        transcript = Transcript(tmp_path)
        transcript.write("bad.ini", BAD_SETTINGS)
        for program in ("mangobay-node", "mangobay-control"):
            await transcript.run_command(program, "--settings", "bad.ini")
            await transcript.run_command(program, "--settings", "missing.ini")
        assert str(transcript) == snapshot

    async def test_unusable_address_or_directory(self, tmp_path, snapshot):
        """The settings are valid, but the host does not match them.

        A listener's port is in use, or the data directory cannot be written.
        Each program exits with one line that names the address or directory.
        """
        transcript = Transcript(tmp_path)
        async with processfakes.process_cluster(
            tmp_path, data_centres=1
        ) as cluster:
            [control], [node] = cluster.layout.controls, cluster.layout.nodes
            for host, address in (
                (control, control.peer),
                (node, node.outside),
            ):
                program = "mangobay-node"
                if isinstance(host, hosts.ControlHost):
                    program = "mangobay-control"
                with socket.create_server(address):
                    await transcript.run_command(
                        program, "--settings", host.settings.name
                    )
            transcript.write("file", "")
            cluster.rewrite_control(
                control, {"group": {"data": tmp_path / "file" / "data"}}
            )
            await transcript.run_command(
                "mangobay-control", "--settings", control.settings.name
            )
        assert str(transcript) == snapshot


class TestOperators:
    """Operators' commands and requests that fail."""

    async def test_sheets(self, tmp_path, snapshot):
        """Sheets that are invalid, sent again, or conflict in their version."""
        transcript = Transcript(tmp_path)
        transcript.write("bad.csv", BAD_SHEET)
        good = (processfakes.BOOKING_DIRECTORY / "sheet.csv").read_text()
        transcript.write("good.csv", good)
        transcript.write("other.csv", good.replace("6000", "5000"))
        async with single_node_cluster(tmp_path) as cluster:
            [control] = cluster.layout.controls
            control_option = ("--control", str(control.operator))
            version_options = ("--version", "1", "--operator", "ana")
            await transcript.run_command("mangobay", "check", "bad.csv")
            await transcript.run_command("mangobay", "check", "missing.csv")
            for sheet in ("bad.csv", "good.csv", "good.csv", "other.csv"):
                await transcript.run_command(
                    "mangobay",
                    *control_option,
                    "apply",
                    sheet,
                    *version_options,
                )
            await transcript.run_command(
                "mangobay", *control_option, "drain", "nobody"
            )
            await transcript.send_http(control.operator, "DELETE /v1/sheets")
            await transcript.send_http(control.operator, "POST /v1/sheets")
            await transcript.send_http(
                control.operator,
                "POST /v1/sheets?version=2&operator=ana",
                body=BAD_SHEET,
            )
        assert str(transcript) == snapshot

    async def test_no_control_host_runs(self, tmp_path, snapshot):
        transcript = Transcript(tmp_path)
        with socket.create_server(("127.0.0.1", 0)) as reserved:
            address = f"127.0.0.1:{reserved.getsockname()[1]}"
        await transcript.run_command("mangobay", "--control", address, "status")
        await transcript.run_command("mangobay", "--control", "db:1", "status")
        await transcript.run_command("mangobay", "status")
        assert str(transcript) == snapshot


class TestCallers:
    """Requests that a node refuses; none reaches a backend server."""

    async def test_requests(self, tmp_path, snapshot):
        transcript = Transcript(tmp_path)
        async with single_node_cluster(tmp_path) as cluster:
            await cluster.apply_sheet()
            [node] = cluster.layout.nodes
            await transcript.send_http(node.outside, "GET /nosuch/thing")
            await transcript.send_http(
                node.outside, "GET /bookings/nosuch/thing"
            )
            await transcript.send_http(node.outside, "PUT /bookings/bookings")
            book = "POST /bookings/bookings"
            await transcript.send_http(node.outside, book)
            await transcript.send_http(
                node.outside, book, KEY, body="x" * 1048577
            )
            await transcript.send_http(
                node.outside, book, KEY, body="half", declared_length=8
            )
            await transcript.send_http(node.outside, "nonsense")
            assert not await cluster.runs()
        assert str(transcript) == snapshot

    async def test_control_was_not_started(self, tmp_path, snapshot):
        """A node runs, but no control host was started.

        The node does not know the service, so that it refuses the call as
        not run, and asks the caller to retry later.
        """
        transcript = Transcript(tmp_path)
        async with processfakes.process_cluster(
            tmp_path, data_centres=1
        ) as cluster:
            [node] = cluster.layout.nodes
            await cluster.start_node(node)
            await transcript.send_http(node.outside, "GET /bookings/bookings/1")
            await transcript.send_http(node.local, "GET /mangobay/ready")
        assert str(transcript) == snapshot
