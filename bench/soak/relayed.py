"""Runs a script whose connections to some addresses go elsewhere.

`relayed.py TABLE SCRIPT ARGUMENTS`; TABLE is the path of a JSON document with
the address instead of each one.
"""

import json
import pathlib
import runpy
import signal
import socket
import sys

Address = tuple[str, int]


def redirect(table: dict[Address, Address]) -> None:
    """Makes every socket connect to other addresses.

    Args:
      table: by address, the one instead of it.
    """
    connect = socket.socket.connect

    def connect_elsewhere(self: socket.socket, address: Address) -> None:
        connect(self, table.get(address, address))

    socket.socket.connect = connect_elsewhere


def main() -> None:
    """Runs the script named on the command line."""
    # As the script itself does, before its imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _, path, *command = sys.argv
    entries = json.loads(pathlib.Path(path).read_text())
    redirect({(ip, port): (to, at) for ip, port, to, at in entries})
    sys.argv = command
    sys.path[0] = str(pathlib.Path(command[0]).parent)
    runpy.run_path(command[0], run_name="__main__")


if __name__ == "__main__":
    main()
