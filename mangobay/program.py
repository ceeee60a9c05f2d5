"""The base class of the two daemons' entry points."""

import argparse
import asyncio
import enum
import os
import signal
import sys
import typing

from mangobay import errors, logs, settings

HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
"""Signals that the daemons handle or ignore."""


class ExitCode(enum.IntEnum):
    """The exit codes of the daemons."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2


def exit_process(code: int) -> typing.NoReturn:
    """Ends this process without tearing down the interpreter.

    A daemon has closed everything by then. On a busy host the interpreter takes
    about half a second to free its objects, and a process that is killed
    meanwhile looks as if it had not stopped in time.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


class Program:
    """A daemon; subclasses define its name, settings and work.

    Attributes:
      name: name of the command.
      description: description in the help text.
      epilog: meaning of the exit codes, in the help text.
      sections: the known sections of the settings.
      config_class: class of the settings.
    """

    name = ""
    description = ""
    epilog = ""
    sections: settings.Sections = {}
    config_class: type = object

    async def run(self, config: typing.Any) -> int:
        """Runs until it is told to stop; returns the exit code.

        Raises:
          errors.StartError: the daemon cannot start.
          errors.StorageError: the data directory failed.
        """
        raise NotImplementedError

    def make_parser(self) -> argparse.ArgumentParser:
        """Returns the parser of the command line."""
        parser = argparse.ArgumentParser(
            prog=self.name, description=self.description, epilog=self.epilog
        )
        parser.add_argument(
            "--settings", required=True, metavar="FILE", help="INI file"
        )
        parser.add_argument(
            "--check", action="store_true", help="check the settings and exit"
        )
        return parser

    def main(self, argv: list[str] | None = None) -> int:
        """Runs the daemon; returns the exit code.

        SIGHUP is ignored until the daemon handles it: by default it would
        terminate the process.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        arguments = self.make_parser().parse_args(argv)
        try:
            config = settings.load(
                arguments.settings, self.sections, self.config_class
            )
        except errors.SettingsError as error:
            print(error, file=sys.stderr)
            return ExitCode.BAD_SETTINGS
        if arguments.check:
            print(f"{arguments.settings}: no errors found")
            return ExitCode.OK
        try:
            logs.open_log(config.log.file)
        except OSError as error:
            return self.report_failure(f"log file: {error}")
        try:
            return asyncio.run(self.run_then_block_signals(config))
        except (errors.StartError, errors.StorageError, OSError) as error:
            return self.report_failure(str(error))

    async def run_then_block_signals(self, config: typing.Any) -> int:
        """Runs until the end, then blocks the handled signals."""
        try:
            return await self.run(config)
        finally:
            # Closing the event loop restores the default handlers, which would
            # terminate the process with another exit code.
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def report_failure(self, reason: str) -> ExitCode:
        """Prints in one line why the daemon exits."""
        print(f"{self.name}: {reason}", file=sys.stderr)
        return ExitCode.FAILED
