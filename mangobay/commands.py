"""The operators' commands that send requests or check files."""

import argparse
import dataclasses
import datetime
import enum
import getpass
import typing

from mangobay import (
    display,
    errors,
    findings,
    ids,
    operatorclient,
    options,
    settings,
    sheet,
)
from mangobay.generated import settings as generated


class ExitCode(enum.IntEnum):
    """The exit codes of commands; `EXIT_HELP` explains them."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5


EXIT_HELP = (
    "exit codes: 0 done; 1 failed; 2 bad input (sheet, settings or command"
    " line); 3 the version is taken by another sheet; 4 accepted, but not in"
    " force everywhere in the time given; 5 no control host answered"
)


@dataclasses.dataclass(slots=True)
class Result:
    """The output of a command.

    Attributes:
      data: JSON values, printed with --json.
      lines: lines of text, printed without --json.
      exit_code: the exit code.
    """

    data: typing.Any
    lines: list[str]
    exit_code: ExitCode = ExitCode.OK


def parse_unix_ms(text: str) -> int:
    """Returns the Unix time, in milliseconds, of an ISO 8601 text.

    Raises:
      argparse.ArgumentTypeError: the text is not an ISO 8601 time.
    """
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a time such as 2026-03-31T07:00:00Z"
        ) from None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return round(parsed.timestamp() * 1000)


def parse_address(text: str) -> options.Address:
    """Parses an address.

    Raises:
      argparse.ArgumentTypeError: it is not of the form IP:PORT.
    """
    try:
        return options.parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def read_sheet(path: str) -> bytes:
    """Returns the bytes of a sheet file.

    Raises:
      errors.SheetError: the file cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        finding = findings.Finding(path, f"cannot be read: {error.strerror}")
        raise errors.SheetError([finding]) from None


class Command:
    """A subcommand; subclasses define its name, arguments and action.

    Attributes:
      name: the word on the command line.
      help: the help text.
      arguments: options of `add_argument` by name of the argument.
      asks_control: whether the command sends requests to control hosts.
    """

    name = ""
    help = ""
    arguments: dict[str, dict] = {}
    asks_control = True

    def add_parser(self, parsers) -> None:
        """Adds the parser of this command to the subparsers."""
        parser = parsers.add_parser(
            self.name, help=self.help, description=self.help, epilog=EXIT_HELP
        )
        for name, keywords in self.arguments.items():
            parser.add_argument(name, **keywords)
        parser.set_defaults(command=self)

    async def run(
        self,
        arguments: argparse.Namespace,
        client: operatorclient.OperatorClient | None,
    ) -> Result:
        """Runs the command.

        Raises:
          errors.MangobayError: the text is shown to the operator.
        """
        raise NotImplementedError


MAX_UNIX_MS = 2**63
SHEET_ARGUMENT = {"metavar": "SHEET", "help": "CSV file"}
PERIOD_ARGUMENTS = {
    "--since": {
        "type": parse_unix_ms,
        "default": 0,
        "metavar": "TIME",
        "help": "only entries at or after this time, such as"
        " 2026-03-31T07:00:00Z; a time without a zone is UTC",
    },
    "--until": {
        "type": parse_unix_ms,
        "default": MAX_UNIX_MS,
        "metavar": "TIME",
        "help": "only entries before this time",
    },
}


class CheckSheet(Command):
    """Checks a sheet without sending it."""

    name = "check"
    help = "check a sheet and report every finding; nothing is sent"
    arguments = {"sheet": SHEET_ARGUMENT}
    asks_control = False

    async def run(self, arguments, client):
        """Checks the sheet."""
        parsed_sheet = sheet.parse(read_sheet(arguments.sheet), arguments.sheet)
        services = {operation.service for operation in parsed_sheet.operations}
        data = {
            "operations": len(parsed_sheet.operations),
            "services": len(services),
            "digest": parsed_sheet.digest.hex(),
        }
        line = (
            f"{arguments.sheet}: {len(parsed_sheet.operations)} operations of"
            f" {len(services)} services, digest {parsed_sheet.digest.hex()[:12]}"
        )
        return Result(data, [line])


class ApplySheet(Command):
    """Sends a sheet."""

    name = "apply"
    help = "send a sheet; it takes effect everywhere or not at all"
    arguments = {
        "sheet": SHEET_ARGUMENT,
        "--version": {
            "required": True,
            "help": "the sheet's version; the first content to be"
            " committed under a version wins",
        },
        "--operator": {
            "help": "name of who sends the sheet (default: the user's name)"
        },
        "--wait": {
            "type": float,
            "metavar": "SECONDS",
            "help": "wait until the sheet is in force everywhere",
        },
    }

    async def run(self, arguments, client):
        """Checks the sheet, sends it, and waits if --wait is given."""
        data = read_sheet(arguments.sheet)
        sheet.parse(data, arguments.sheet)
        applied = await client.apply(
            data,
            ids.SheetVersion(arguments.version),
            arguments.operator or getpass.getuser(),
        )
        repeat_note = " (accepted before)" if applied.repeated else ""
        line = (
            f"revision {applied.revision}{repeat_note}: {applied.changed} rows"
            f" changed, {applied.removed} removed"
        )
        if arguments.wait is None:
            return Result(dataclasses.asdict(applied), [line])
        return await self.wait_until_in_force(
            arguments.wait, applied, line, client
        )

    async def wait_until_in_force(
        self, seconds, applied, line, client
    ) -> Result:
        """Waits until every host applies the revision, or for `seconds`."""
        rollout = await client.in_force(applied.revision, seconds)
        data = dataclasses.asdict(applied)
        data["in_force"] = dataclasses.asdict(rollout)
        exit_code = (
            ExitCode.OK if rollout.is_complete else ExitCode.NOT_IN_FORCE
        )
        return Result(
            data, [line, *display.format_in_force(rollout)], exit_code
        )


class ShowStatus(Command):
    """Shows the control group and the hosts."""

    name = "status"
    help = "show the leader, the newest revision and every host"

    async def run(self, arguments, client):
        """Requests the status."""
        status = await client.status()
        lines = [
            f"leader {status.leader}, term {status.term},"
            f" log committed to {status.commit}",
            f"revision {status.revision}",
            *display.format_in_force(status.in_force),
            *display.format_hosts(status.hosts),
        ]
        return Result(dataclasses.asdict(status), lines)


class ShowHistory(Command):
    """Shows the accepted sheets."""

    name = "history"
    help = "show the newest accepted sheets, oldest first"
    arguments = PERIOD_ARGUMENTS

    async def run(self, arguments, client):
        """Requests the history."""
        history = await client.history()
        sheets = [
            accepted
            for accepted in history.sheets
            if arguments.since <= accepted.accepted_ms < arguments.until
        ]
        lines = display.format_table(
            ("revision", "accepted", "version", "operator", "rows"),
            [
                (
                    accepted.revision,
                    display.format_time(accepted.accepted_ms),
                    accepted.version,
                    accepted.operator,
                    f"{accepted.changed_rows} changed,"
                    f" {accepted.removed_rows} removed",
                )
                for accepted in sheets
            ],
        )
        if history.omitted_count:
            lines.insert(
                0,
                f"{history.omitted_count} older sheets are no longer listed",
            )
        return Result(
            [dataclasses.asdict(accepted) for accepted in sheets], lines
        )


class ShowHosts(Command):
    """Shows the hosts."""

    name = "hosts"
    help = "show every host with its revision, lease and services"

    async def run(self, arguments, client):
        """Requests the hosts."""
        hosts = await client.hosts()
        data = [dataclasses.asdict(host) for host in hosts]
        return Result(data, display.format_hosts(hosts))


class DrainHost(Command):
    """Asks a host to leave."""

    name = "drain"
    help = "ask a host to accept no new calls and finish those it has"
    arguments = {"host": {"metavar": "HOST", "help": "name of the host"}}

    async def run(self, arguments, client):
        """Requests the drain."""
        await client.drain(ids.HostId(arguments.host))
        line = f"{arguments.host} was asked to leave; see `mangobay hosts`"
        return Result({"host": arguments.host}, [line])


class ShowSettings(Command):
    """Prints every setting of a program."""

    sections_by_program = {
        "node": generated.NODE_SECTIONS,
        "control": generated.CONTROL_SECTIONS,
    }
    name = "settings"
    help = "print every setting of a program with default, unit and meaning"
    arguments = {"program": {"choices": tuple(sections_by_program)}}
    asks_control = False

    async def run(self, arguments, client):
        """Describes the settings."""
        sections = self.sections_by_program[arguments.program]
        data = {
            name: [
                {**dataclasses.asdict(option), "kind": option.kind.value}
                for option in section_options
            ]
            for name, (_, section_options) in sections.items()
        }
        return Result(data, [settings.describe(sections).rstrip()])


COMMANDS: tuple[type[Command], ...] = (
    CheckSheet,
    ApplySheet,
    ShowStatus,
    ShowHistory,
    ShowHosts,
    DrainHost,
    ShowSettings,
)
