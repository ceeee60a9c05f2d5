"""What the entry points of the two daemons share."""

import argparse
import asyncio
import enum
import signal
import sys
import typing

from mangobay import errors, logs, settings

HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
"""Signals that daemons handle or ignore."""


class ExitCode(enum.IntEnum):
    """What the exit codes mean."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2


class Program:
    """A daemon; subclasses say its name, settings and work.

    Attributes:
      name: as it is started.
      description: what it is.
      epilog: what its exit codes mean.
      sections: known sections of its settings.
      config_class: class of its settings.
    """

    name = ""
    description = ""
    epilog = ""
    sections: settings.Sections = {}
    config_class: type = object

    async def run(self, config: typing.Any) -> int:
        """Runs until it is told to stop; returns the exit code.

        Raises:
          errors.StartError: it cannot start.
          errors.StorageError: the data folder failed.
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
            "--check", action="store_true", help="only check the settings"
        )
        return parser

    def main(self, argv: list[str] | None = None) -> int:
        """Runs the program; returns the exit code.

        SIGHUP is ignored unless the program handles it: unhandled, it would
        end the process.
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
            print(f"{arguments.settings}: no fault found")
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
        """Runs; then no signal disturbs the end of the process."""
        try:
            return await self.run(config)
        finally:
            # The loop's end would bring back the default: to end the process.
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def report_failure(self, reason: str) -> ExitCode:
        """Says in one line why the program ends."""
        print(f"{self.name}: {reason}", file=sys.stderr)
        return ExitCode.FAILED
