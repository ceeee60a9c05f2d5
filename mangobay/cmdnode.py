"""Entry point of mangobay-node."""

import argparse
import asyncio
import enum
import sys

from mangobay import errors, logs, node, settings
from mangobay.generated import settings as generated

EXIT_HELP = (
    "exit codes: 0 left as asked, nothing cut; 1 cannot start, or calls were"
    " cut; 2 bad settings or command line"
)


class Exit(enum.IntEnum):
    """What the exit codes mean."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="mangobay-node",
        description="The node beside a backend server.",
        epilog=EXIT_HELP,
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="INI file"
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    return parser


async def run(config: generated.Node) -> int:
    """Runs a node until it has left; returns the exit code."""
    return await node.Node(config).run()


def main(arguments: list[str] | None = None) -> int:
    """Runs mangobay-node; returns the exit code."""
    parsed = make_parser().parse_args(arguments)
    try:
        config = settings.load(
            parsed.settings, generated.NODE_SECTIONS, generated.Node
        )
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return Exit.BAD_SETTINGS
    if parsed.check:
        print(f"{parsed.settings}: no fault found")
        return Exit.OK
    try:
        logs.open_log(config.log.file)
        return asyncio.run(run(config))
    except OSError as error:
        print(f"mangobay-node: log file: {error}", file=sys.stderr)
    except errors.StartError as error:
        print(f"mangobay-node: {error}", file=sys.stderr)
    return Exit.FAILED


if __name__ == "__main__":
    sys.exit(main())
