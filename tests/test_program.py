"""Signals during the start and the exit of the daemons."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest
import test_control

WAIT_SECONDS = 30.0
"""Seconds after which a test fails."""
ROOT = pathlib.Path(__file__).parent.parent
BLOCKING_MODULE_EXIT_CODE = 7
BLOCKING_MODULE = """import sys
open({pipe!r}).read()
sys.exit({code})
"""
LATE_SIGNAL_PROGRAM = """import asyncio, os, sys
from mangobay import program
from mangobay.generated import settings

class Idle(program.Program):
    sections = settings.CONTROL_SECTIONS
    config_class = settings.Control

    async def run(self, config):
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(int(sys.argv[1]), print)
        return program.ExitCode.OK

code = Idle().main(sys.argv[2:])
os.kill(os.getpid(), int(sys.argv[1]))
sys.exit(code)
"""

EXIT_PROGRAM = """import atexit, sys, time
from mangobay import program

atexit.register(time.sleep, 600)
print("last line", end="")
program.exit_process(3)
"""


@pytest.fixture
def pipe(tmp_path):
    """A named pipe; its reader blocks until the test writes."""
    path = tmp_path / "pipe"
    os.mkfifo(path)
    return path


def send_sighup(process, pipe, text):
    """Sends SIGHUP to a process that reads a pipe, then writes the pipe."""
    with open(pipe, "w") as writer:
        process.send_signal(signal.SIGHUP)
        writer.write(text)


def start_process(command, **environment):
    """Starts a process with its standard error piped."""
    return subprocess.Popen(
        command,
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_for_exit(process):
    """Returns the exit code and the standard error of a process."""
    try:
        _, stderr = process.communicate(timeout=WAIT_SECONDS)
    finally:
        process.kill()
        process.wait()
    return process.returncode, stderr


class TestSighup:
    """SIGHUP during the start of a daemon."""

    @pytest.mark.parametrize("module", ["cmdcontrol", "cmdnode"])
    def test_sighup_while_settings_are_read_is_ignored(self, pipe, module):
        command = [sys.executable, "-m", f"mangobay.{module}"]
        process = start_process([*command, "--settings", str(pipe), "--check"])
        send_sighup(process, pipe, "[nonsense]\n")
        exit_code, stderr = wait_for_exit(process)
        assert exit_code == 2
        assert "nonsense" in stderr

    @pytest.mark.parametrize("program", ["control", "node"])
    def test_sighup_while_modules_are_imported_is_ignored(
        self, tmp_path, pipe, program
    ):
        """The fake of a library blocks while it is imported."""
        source = BLOCKING_MODULE.format(
            pipe=str(pipe), code=BLOCKING_MODULE_EXIT_CODE
        )
        (tmp_path / "capnp.py").write_text(source)
        process = start_process(
            [sys.executable, ROOT / "platform" / "run.py", program],
            PYTHONPATH=str(tmp_path),
        )
        send_sighup(process, pipe, "")
        exit_code, _ = wait_for_exit(process)
        assert exit_code == BLOCKING_MODULE_EXIT_CODE


class TestLateSignals:
    """Signals during the exit of a daemon."""

    @pytest.mark.parametrize(
        "signal_number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
    )
    def test_late_signal_does_not_change_the_exit_code(
        self, tmp_path, signal_number
    ):
        path = test_control.write_settings(
            tmp_path, 0, test_control.free_addresses(1)
        )
        command = [
            sys.executable,
            "-c",
            LATE_SIGNAL_PROGRAM,
            str(int(signal_number)),
        ]
        process = start_process([*command, "--settings", path])
        assert wait_for_exit(process) == (0, "")


class TestExit:
    """The end of a process that has closed everything."""

    def test_nothing_is_torn_down(self):
        """Guards against a kill at the end of the grace while objects are freed."""
        ended = subprocess.run(
            [sys.executable, "-c", EXIT_PROGRAM],
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
            check=False,
        )
        assert (ended.returncode, ended.stdout) == (3, "last line")
