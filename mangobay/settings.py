"""Reads the settings of a program and reports all errors of a file at once."""

import collections.abc
import configparser
import dataclasses
import ipaddress
import re
import typing

from mangobay import errors, findings, options
from mangobay.generated import settings as generated

Sections = dict[str, tuple[type, tuple[options.Option, ...]]]
"""Section name -> its class and options, as generated from the schema."""
Program = typing.TypeVar("Program")

NO_DEFAULT_SECTION = "\0"
"""Never a section name: [DEFAULT] would add its keys to every section."""
SECTION_LINE = re.compile(r"\[(?P<name>[^\]]*)\]")
KEY_LINE = re.compile(r"(?P<name>[^\s=#;\[][^=]*?)\s*=")


class SettingId(typing.NamedTuple):
    """Identifies a setting, or the section itself if `key` is empty."""

    section: str
    key: str = ""


class Values(dict[SettingId, typing.Any]):
    """The values read from a file; settings with invalid text are missing."""


def section_settings(section: str, *keys: str) -> tuple[SettingId, ...]:
    """Returns the ids of several settings of one section."""
    return tuple(SettingId(section, key) for key in keys)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """A rule between settings.

    Attributes:
      setting: the setting that its finding names.
      depends_on: further settings that it reads; the rule is skipped if one of
        them is invalid.
      is_satisfied: returns whether the values obey the rule.
      message: what is wrong and what is expected.
    """

    setting: SettingId
    depends_on: tuple[SettingId, ...] = ()
    is_satisfied: collections.abc.Callable[[Values], bool]
    message: str

    def can_evaluate(self, values: Values) -> bool:
        """Returns whether all settings that the rule reads are valid."""
        return all(
            setting in values for setting in (self.setting, *self.depends_on)
        )


def is_loopback(address: options.Address) -> bool:
    """Returns whether only processes on the same host can connect."""
    return ipaddress.ip_address(address.ip).is_loopback


def are_distinct(values: Values, settings: tuple[SettingId, ...]) -> bool:
    """Returns whether no two of the settings hold the same address."""
    addresses = [values[setting] for setting in settings]
    return len(set(addresses)) == len(addresses)


NODE_LISTENERS = section_settings("listen", "outside", "local", "peer")
CONTROL_LISTENERS = section_settings("listen", "peer", "operator")
QUARANTINE_PAUSES = (
    SettingId("quarantine", "pause"),
    SettingId("quarantine", "max_pause"),
)
FRAME_BYTES = SettingId("limits", "frame_bytes")
ANSWER_BYTES = SettingId("limits", "answer_bytes")
RECEIVED_BYTES = SettingId("limits", "received_bytes")
TLS_FILES = section_settings("tls", "certificate", "key", "authority")
GROUP_HOSTS = SettingId("group", "hosts")
GROUP_SEEDS = SettingId("group", "seeds")
GROUP_VOTERS = SettingId("group", "voters")
ELECTION_TIMEOUT = SettingId("group", "election_timeout")
HEARTBEAT_INTERVAL = SettingId("group", "heartbeat_interval")


def unique_hosts_check(setting: SettingId) -> Check:
    """Returns the check that a list of hosts has no duplicates."""
    return Check(
        setting=setting,
        is_satisfied=lambda values: (
            len(set(values[setting])) == len(values[setting])
        ),
        message="names a host twice",
    )


TLS_CHECK = Check(
    setting=TLS_FILES[0],
    depends_on=TLS_FILES[1:],
    is_satisfied=lambda values: (
        len({bool(values[setting]) for setting in TLS_FILES}) == 1
    ),
    message="certificate, key and authority must be given together,"
    " or none of them",
)

CHECKS: dict[type, tuple[Check, ...]] = {
    generated.Node: (
        Check(
            setting=NODE_LISTENERS[1],
            is_satisfied=lambda values: is_loopback(values[NODE_LISTENERS[1]]),
            message="must be a loopback address: whoever connects there"
            " speaks as the backend server of this host",
        ),
        Check(
            setting=NODE_LISTENERS[0],
            depends_on=NODE_LISTENERS[1:],
            is_satisfied=lambda values: are_distinct(values, NODE_LISTENERS),
            message="outside, local and peer must be different addresses",
        ),
        Check(
            setting=SettingId("control", "hosts"),
            is_satisfied=lambda values: (
                len(values[SettingId("control", "hosts")]) > 0
            ),
            message="must name at least one control host",
        ),
        unique_hosts_check(SettingId("control", "hosts")),
        unique_hosts_check(SettingId("control", "seeds")),
        Check(
            setting=QUARANTINE_PAUSES[1],
            depends_on=QUARANTINE_PAUSES[:1],
            is_satisfied=lambda values: (
                values[QUARANTINE_PAUSES[0]] <= values[QUARANTINE_PAUSES[1]]
            ),
            message="must be at least as long as [quarantine] pause",
        ),
        Check(
            setting=RECEIVED_BYTES,
            depends_on=(ANSWER_BYTES,),
            is_satisfied=lambda values: (
                values[RECEIVED_BYTES] >= 2 * values[ANSWER_BYTES]
            ),
            message="must be at least twice answer_bytes, or one long answer"
            " leaves no room for others",
        ),
        Check(
            setting=RECEIVED_BYTES,
            depends_on=(FRAME_BYTES,),
            is_satisfied=lambda values: (
                values[RECEIVED_BYTES] >= values[FRAME_BYTES]
            ),
            message="must be at least frame_bytes, or the longest message of"
            " another process cannot be received",
        ),
        TLS_CHECK,
    ),
    generated.Control: (
        Check(
            setting=CONTROL_LISTENERS[0],
            depends_on=CONTROL_LISTENERS[1:],
            is_satisfied=lambda values: are_distinct(values, CONTROL_LISTENERS),
            message="peer and operator must be different addresses",
        ),
        Check(
            setting=GROUP_HOSTS,
            is_satisfied=lambda values: len(values[GROUP_HOSTS]) % 2 == 1,
            message="must be an odd number of hosts, so that two halves of"
            " a partitioned group can never both have a majority",
        ),
        unique_hosts_check(GROUP_HOSTS),
        unique_hosts_check(GROUP_SEEDS),
        Check(
            setting=GROUP_SEEDS,
            depends_on=(GROUP_VOTERS,),
            is_satisfied=lambda values: (
                values[GROUP_VOTERS] == 0 or len(values[GROUP_SEEDS]) > 0
            ),
            message="must name control hosts, since the group grows to"
            " [group] voters: without them, this host would start a group"
            " of its own",
        ),
        Check(
            setting=GROUP_HOSTS,
            depends_on=CONTROL_LISTENERS[:1],
            is_satisfied=lambda values: (
                values[CONTROL_LISTENERS[0]] in values[GROUP_HOSTS]
            ),
            message="must include this host's own [listen] peer",
        ),
        Check(
            setting=ELECTION_TIMEOUT,
            depends_on=(HEARTBEAT_INTERVAL,),
            is_satisfied=lambda values: (
                values[ELECTION_TIMEOUT] >= 3 * values[HEARTBEAT_INTERVAL]
            ),
            message="must be at least three times heartbeat_interval, or a"
            " single lost heartbeat ends the term of a leader",
        ),
        TLS_CHECK,
    ),
}


class Reader:
    """Reads one file against the sections of one program.

    Attributes:
      path: the file.
      sections: the sections of the program.
      findings: every finding so far, with its line.
      line_numbers: the line of each section and key, counted from 1.
    """

    def __init__(self, path: str, sections: Sections):
        self.path = path
        self.sections = sections
        self.findings: list[tuple[int, findings.Finding]] = []
        self.line_numbers: dict[SettingId, int] = {}

    def report(self, setting: SettingId, message: str, line: int = 0) -> None:
        """Adds a finding; without a line, that of the setting is used."""
        line = (
            line
            or self.line_numbers.get(setting)
            or self.line_numbers.get(SettingId(setting.section), 0)
        )
        location = f"{self.path}:{line}" if line else self.path
        if setting.section:
            location = f"{location} [{setting.section}] {setting.key}".rstrip()
        self.findings.append((line, findings.Finding(location, message)))

    def index_lines(self, text: str) -> None:
        """Records the line of every section and key and reports duplicates.

        configparser reports neither lines nor more than one duplicate.
        """
        section = ""
        for line, content in enumerate(text.splitlines(), 1):
            if match := SECTION_LINE.match(content):
                section = match["name"]
                self.record_line(SettingId(section), line)
            elif match := KEY_LINE.match(content):
                self.record_line(SettingId(section, match["name"]), line)

    def record_line(self, setting: SettingId, line: int) -> None:
        """Records the first line of a setting and reports any other."""
        if setting not in self.line_numbers:
            self.line_numbers[setting] = line
            return
        first_line = self.line_numbers[setting]
        self.report(setting, f"already given in line {first_line}", line)

    def parse(self, text: str) -> configparser.ConfigParser:
        """Returns the parsed file and reports lines that are not INI."""
        parser = configparser.ConfigParser(
            strict=False,
            interpolation=None,
            delimiters=("=",),
            default_section=NO_DEFAULT_SECTION,
            empty_lines_in_values=False,
        )
        parser.optionxform = str
        try:
            parser.read_string(text, self.path)
        except configparser.MissingSectionHeaderError as error:
            self.report(
                SettingId(""),
                "a [section] header must come first",
                error.lineno,
            )
        except configparser.ParsingError as error:
            for line, content in error.errors:
                message = (
                    f"neither a [section] header nor `key = value`: {content}"
                )
                self.report(SettingId(""), message, line)
        return parser

    def check_names(self, parser: configparser.ConfigParser) -> None:
        """Reports sections and keys that the program does not have."""
        for section in parser.sections():
            if section not in self.sections:
                hint = findings.suggest(section, self.sections)
                self.report(SettingId(section), f"no such section{hint}")
                continue
            known_keys = [option.name for option in self.sections[section][1]]
            for key in parser[section]:
                if key not in known_keys:
                    hint = findings.suggest(key, known_keys)
                    self.report(SettingId(section, key), f"no such key{hint}")

    def read_values(self, parser: configparser.ConfigParser) -> Values:
        """Returns the value of each option and reports invalid ones."""
        values = Values()
        for section, (_, section_options) in self.sections.items():
            for option in section_options:
                setting = SettingId(section, option.name)
                text = parser.get(section, option.name, fallback=option.default)
                try:
                    values[setting] = parse_value(option, text)
                except ValueError as error:
                    self.report(setting, str(error))
        return values

    def check_rules(self, values: Values, checks: tuple[Check, ...]) -> None:
        """Reports the rules between settings that are violated."""
        for check in checks:
            if check.can_evaluate(values) and not check.is_satisfied(values):
                self.report(check.setting, check.message)

    def raise_findings(self) -> None:
        """Raises SettingsError with all findings by line, if there are any."""
        if self.findings:
            by_line = sorted(self.findings, key=lambda item: item[0])
            raise errors.SettingsError([finding for _, finding in by_line])


def parse_value(option: options.Option, text: str | None) -> typing.Any:
    """Returns the value of an option's text; None means that it is not given.

    Raises:
      ValueError: the text is invalid; the message is for the operator.
    """
    if text is None:
        raise ValueError(f"must be given: {option.help}")
    if not text and option.default != "":
        raise ValueError(f"must not be empty: {option.help}")
    return option.parse(text)


def read_text(path: str) -> str:
    """Returns the text of a settings file.

    Raises:
      errors.SettingsError: the file cannot be read or is not UTF-8.
    """
    try:
        with open(path, encoding="utf-8-sig") as file:
            return file.read()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
    except UnicodeDecodeError as error:
        message = f"is not UTF-8 text: {error.reason}"
    raise errors.SettingsError([findings.Finding(path, message)])


def load(path: str, sections: Sections, cls: type[Program]) -> Program:
    """Returns the checked settings of a program.

    Args:
      path: the INI file.
      sections: NODE_SECTIONS or CONTROL_SECTIONS of the generated settings.
      cls: the generated class that holds the settings.

    Raises:
      errors.SettingsError: the file has errors; it lists all of them.
    """
    text = read_text(path)
    reader = Reader(path, sections)
    reader.index_lines(text)
    parser = reader.parse(text)
    reader.check_names(parser)
    values = reader.read_values(parser)
    reader.check_rules(values, CHECKS.get(cls, ()))
    reader.raise_findings()
    return cls(
        **{
            name: section_class(
                **{
                    option.name: values[SettingId(name, option.name)]
                    for option in section_options
                }
            )
            for name, (section_class, section_options) in sections.items()
        }
    )


def describe(sections: Sections) -> str:
    """Returns every setting with default, unit, range and meaning, as INI."""
    lines = []
    for section, (_, section_options) in sections.items():
        lines.append(f"[{section}]")
        for option in section_options:
            lines += [f"# {option.help}", f"# {describe_constraints(option)}"]
            prefix = "" if option.default is None else "# "
            lines.append(f"{prefix}{option.name} = {option.default or ''}")
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def describe_constraints(option: options.Option) -> str:
    """Returns the kind, unit, range and choices of an option as text."""
    parts = [option.kind.value]
    if option.unit:
        parts.append(f"in {option.unit}")
    if option.low is not None:
        parts.append(f"{option.low:g} to {option.high:g}")
    if option.choices:
        parts.append(f"one of {', '.join(option.choices)}")
    parts.append("must be given" if option.default is None else "has a default")
    return "; ".join(parts)
