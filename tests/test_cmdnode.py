"""The daemon mangobay-node as a process."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time

import nodes
import pytest

WAIT_SECONDS = 30


def make_command(path, *arguments) -> list[str]:
    program = [sys.executable, "-m", "mangobay.cmdnode"]
    return [*program, "--settings", str(path), *arguments]


def run_node(path, *arguments) -> subprocess.CompletedProcess:
    return subprocess.run(
        make_command(path, *arguments),
        capture_output=True,
        text=True,
        timeout=WAIT_SECONDS,
        check=False,
    )


@contextlib.contextmanager
def running_node(directory):
    """Yields a running node without control; kills it at the end."""
    path = directory / "node.ini"
    path.write_text(nodes.SETTINGS.format(host="one"))
    process = subprocess.Popen(
        make_command(path), stderr=subprocess.PIPE, text=True, env=os.environ
    )
    try:
        while "started" not in (line := process.stderr.readline()):
            assert line, "exited before it had started"
        yield process
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


class TestProcess:
    """Start and stop, as an operator sees them."""

    def test_all_errors_of_the_settings_are_reported(self, tmp_path):
        path = tmp_path / "node.ini"
        path.write_text("[host]\nnmae = a\n[listen]\nlocal = db:1\n")
        result = run_node(path)
        assert result.returncode == 2
        assert "nmae" in result.stderr
        assert "db" in result.stderr
        assert "Traceback" not in result.stderr

    def test_check_of_valid_settings_succeeds(self, tmp_path):
        path = tmp_path / "node.ini"
        path.write_text(nodes.SETTINGS.format(host="one"))
        assert run_node(path, "--check").returncode == 0

    @pytest.mark.parametrize(
        "extra_settings", ["", "[trace]\nfile = /nowhere/at/all/spans\n"]
    )
    def test_start_error_is_one_line(self, tmp_path, extra_settings):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1] if not extra_settings else 0
            text = nodes.SETTINGS.format(host="one") + extra_settings
            path = tmp_path / "node.ini"
            path.write_text(
                text.replace(
                    "outside = 127.0.0.1:0", f"outside = 127.0.0.1:{port}"
                )
            )
            result = run_node(path)
        assert result.returncode == 1
        (line,) = [
            each
            for each in result.stderr.splitlines()
            if each.startswith("mangobay-node:")
        ]
        assert "listen" in line or "trace" in line
        assert "Traceback" not in result.stderr

    def test_node_starts_and_stops_without_control(self, tmp_path):
        """Guards against nodes that need control at their start.

        Control may start later than the node.  With nothing in flight, SIGTERM
        ends the node with exit code 0.
        """
        with running_node(tmp_path) as process:
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_SECONDS) == 0

    def test_sighup_does_not_end_the_node(self, tmp_path):
        """Guards against a log rotation that ends the node and its calls."""
        with running_node(tmp_path) as process:
            process.send_signal(signal.SIGHUP)
            while "next start" not in (line := process.stderr.readline()):
                assert line, f"exited with {process.wait(WAIT_SECONDS)}"
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_SECONDS) == 0

    def test_repeated_sigterm_does_not_change_the_exit_code(self, tmp_path):
        """Guards against a SIGTERM during the exit, which reports a kill."""
        with running_node(tmp_path) as process:
            deadline = time.monotonic() + WAIT_SECONDS
            while process.poll() is None and time.monotonic() < deadline:
                process.send_signal(signal.SIGTERM)
                time.sleep(0.002)
            assert process.poll() == 0
