"""The program `mangobay-control`."""

import argparse
import asyncio
import enum
import signal
import sys

from mangobay import control, errors, logs, settings
from mangobay.generated import settings as generated

EXIT_HELP = (
    "exit codes: 0 stopped as asked; 1 cannot start or the disk failed;"
    " 2 bad settings or command line"
)


class Exit(enum.IntEnum):
    """What the exit codes mean."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="mangobay-control",
        description="A control host of mangobay.",
        epilog=EXIT_HELP,
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="INI file"
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    return parser


async def serve(config: generated.Control) -> None:
    """Runs a control host until SIGTERM or SIGINT.

    Raises:
      errors.StartError: it cannot start.
      errors.StorageError: the data folder failed.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    host = control.Control(config)
    await host.start()
    await host.run(stop)


def main(argv: list[str] | None = None) -> int:
    """Runs the program; returns the exit code."""
    arguments = make_parser().parse_args(argv)
    try:
        config = settings.load(
            arguments.settings, generated.CONTROL_SECTIONS, generated.Control
        )
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return Exit.BAD_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: no fault found")
        return Exit.OK
    try:
        logs.open_log(config.log.file)
        asyncio.run(serve(config))
    except (errors.StartError, errors.StorageError, OSError) as error:
        print(f"mangobay-control: {error}", file=sys.stderr)
        return Exit.FAILED
    return Exit.OK


if __name__ == "__main__":
    sys.exit(main())
