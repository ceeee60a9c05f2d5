"""Entry point of mangobay-control."""

import asyncio
import signal
import sys

from mangobay import control, disk, errors, logs, program
from mangobay.generated import settings


class ControlProgram(program.Program):
    """The daemon `mangobay-control`."""

    name = "mangobay-control"
    description = "Runs a control host of mangobay."
    epilog = (
        "exit codes: 0 stopped; 1 cannot start or the disk failed;"
        " 2 invalid settings or command line"
    )
    sections = settings.CONTROL_SECTIONS
    config_class = settings.Control

    def make_control(self, config: settings.Control) -> control.Control:
        """Returns the control host to run."""
        return control.Control(config)

    async def run(self, config: settings.Control) -> int:
        """Runs a control host until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        while not stop.is_set():
            control_host = self.make_control(config)
            try:
                await control_host.start()
                await control_host.run(stop)
            except errors.DiskFullError as error:
                control_host.disk.close()
                logs.log_event(
                    logs.Component.CONTROL, "waits for room", why=str(error)
                )
                await wait_for_disk_space(control_host.disk, stop)
        return program.ExitCode.OK


async def wait_for_disk_space(
    full_disk: disk.Disk, stop: asyncio.Event
) -> None:
    """Returns once the disk has space, or the daemon is told to stop.

    A control host whose disk is full must neither vote nor append entries.  If
    its process exited, it would be restarted again and again until there is
    space.  Instead the state in memory is discarded and read from the disk
    again, as after a restart, since an unknown part of the failed write may
    have reached the disk.
    """
    while not (stop.is_set() or await full_disk.offload(full_disk.has_space)):
        await asyncio.sleep(disk.FULL_POLL_SECONDS)


main = ControlProgram().main

if __name__ == "__main__":
    sys.exit(main())
