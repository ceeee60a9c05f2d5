"""What the daemons do with signals, from their first moment."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest
import test_control

LONG = 30.0
"""Seconds after which a test gives up."""
ROOT = pathlib.Path(__file__).parent.parent
STANDIN_EXIT = 7
STANDIN = """import sys
open({pipe!r}).read()
sys.exit({code})
"""
LATE = """import asyncio, os, sys
from mangobay import program
from mangobay.generated import settings

class Idle(program.Program):
    sections = settings.CONTROL_SECTIONS
    config = settings.Control

    async def run(self, config):
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(int(sys.argv[1]), print)
        return program.Exit.OK

code = Idle().main(sys.argv[2:])
os.kill(os.getpid(), int(sys.argv[1]))
sys.exit(code)
"""


@pytest.fixture
def pipe(tmp_path):
    """A named pipe; whoever reads it waits for the test."""
    path = tmp_path / "pipe"
    os.mkfifo(path)
    return path


def hang_up(process, pipe, text):
    """Sends SIGHUP to a process that reads a pipe, then lets it go on."""
    with open(pipe, "w") as writing:
        process.send_signal(signal.SIGHUP)
        writing.write(text)


def started(command, **environment):
    """Starts a program whose standard error is read."""
    return subprocess.Popen(
        command,
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
        text=True,
    )


def ended(process):
    """Returns the exit code and what a process said."""
    try:
        _, told = process.communicate(timeout=LONG)
    finally:
        process.kill()
        process.wait()
    return process.returncode, told


class TestHangup:
    """SIGHUP while a daemon starts."""

    @pytest.mark.parametrize("module", ["cmdcontrol", "cmdnode"])
    def test_it_does_not_end_a_daemon_that_reads_its_settings(
        self, pipe, module
    ):
        command = [sys.executable, "-m", f"mangobay.{module}"]
        process = started([*command, "--settings", str(pipe), "--check"])
        hang_up(process, pipe, "[nonsense]\n")
        code, told = ended(process)
        assert code == 2
        assert "nonsense" in told

    @pytest.mark.parametrize("program", ["control", "node"])
    def test_it_does_not_end_a_program_that_loads_its_modules(
        self, tmp_path, pipe, program
    ):
        """The stand-in for a library waits while it is imported."""
        standin = STANDIN.format(pipe=str(pipe), code=STANDIN_EXIT)
        (tmp_path / "capnp.py").write_text(standin)
        process = started(
            [sys.executable, ROOT / "platform" / "run.py", program],
            PYTHONPATH=str(tmp_path),
        )
        hang_up(process, pipe, "")
        code, _ = ended(process)
        assert code == STANDIN_EXIT


class TestLateSignals:
    """Signals while a daemon that has done its work ends."""

    @pytest.mark.parametrize(
        "number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
    )
    def test_they_do_not_change_its_exit_code(self, tmp_path, number):
        path = test_control.write_settings(
            tmp_path, 0, test_control.free_addresses(1)
        )
        command = [sys.executable, "-c", LATE, str(int(number))]
        process = started([*command, "--settings", path])
        assert ended(process) == (0, "")
