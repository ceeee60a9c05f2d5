"""The operators' command line, `mangobay`."""

import argparse
import asyncio
import dataclasses
import json
import os
import sys

import shtab

from mangobay import (
    commands,
    errors,
    filecommands,
    operatorclient,
    options,
    quarantinecommand,
    workspacecommand,
)

CONTROL_VARIABLE = "MANGOBAY_CONTROL"


EXIT_CODE_BY_ERROR = {
    errors.FindingsError: commands.ExitCode.BAD_INPUT,
    errors.ConflictError: commands.ExitCode.CONFLICT,
    errors.ControlUnreachableError: commands.ExitCode.UNREACHABLE,
    errors.MangobayError: commands.ExitCode.FAILED,
}
"""Exit codes by error class; the first class that matches applies."""


def parse_addresses(text: str) -> tuple[options.Address, ...]:
    """Parses a comma-separated list of addresses.

    Raises:
      argparse.ArgumentTypeError: an item is not of the form IP:PORT.
    """
    try:
        return tuple(
            options.parse_address(address) for address in text.split(",")
        )
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="mangobay", description=__doc__, epilog=commands.EXIT_HELP
    )
    parser.add_argument(
        "--control",
        type=parse_addresses,
        metavar="IP:PORT,...",
        default=os.environ.get(CONTROL_VARIABLE),
        help=f"operator addresses of the control hosts (or {CONTROL_VARIABLE})",
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON, for scripts"
    )
    shtab.add_argument_to(parser, ["--print-completion"])
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for command in (
        *commands.COMMANDS,
        *filecommands.COMMANDS,
        *workspacecommand.COMMANDS,
        *quarantinecommand.COMMANDS,
    ):
        command().add_parser(subparsers)
    return parser


async def run_command(arguments: argparse.Namespace) -> commands.Result:
    """Runs the command, with a client if it needs one."""
    command = arguments.command
    if not command.asks_control:
        return await command.run(arguments, None)
    async with operatorclient.OperatorClient(arguments.control) as client:
        return await command.run(arguments, client)


def report_error(
    error: errors.MangobayError, as_json: bool
) -> commands.ExitCode:
    """Prints an error and returns its exit code."""
    if as_json and isinstance(error, errors.FindingsError):
        findings = [dataclasses.asdict(finding) for finding in error.findings]
        print(json.dumps({"findings": findings}, indent=2))
    else:
        print(f"mangobay: {error}", file=sys.stderr)
    return next(
        exit_code
        for error_class, exit_code in EXIT_CODE_BY_ERROR.items()
        if isinstance(error, error_class)
    )


def main(argv: list[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    parser = make_parser()
    arguments = parser.parse_args(argv)
    if arguments.command.asks_control and not arguments.control:
        parser.error(f"give --control IP:PORT,... or set {CONTROL_VARIABLE}")
    try:
        result = asyncio.run(run_command(arguments))
    except errors.MangobayError as error:
        return report_error(error, arguments.json)
    if arguments.json:
        print(json.dumps(result.data, indent=2))
    else:
        print("\n".join(result.lines))
    return result.exit_code


if __name__ == "__main__":
    sys.exit(main())
