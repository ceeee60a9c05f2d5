"""Options of the settings files and the parsing of their values."""

import dataclasses
import enum
import ipaddress
import typing


class Kind(enum.Enum):
    """Types of option values."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    DURATION = "duration"
    BOOLEAN = "boolean"
    ADDRESS = "address"
    ADDRESSES = "addresses"
    PATH = "path"
    CHOICE = "choice"


class Address(typing.NamedTuple):
    """An IP address and a port; prints as IP:PORT or [IPv6]:PORT."""

    ip: str
    port: int

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}"
            if ":" in self.ip
            else f"{self.ip}:{self.port}"
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """One option of a settings file.

    Attributes:
      name: its key in the section.
      kind: type of the value.
      default: text used if the file does not set it; None if the file must.
      unit: unit of a number, such as seconds.
      low: minimum value, inclusive.
      high: maximum value, inclusive.
      choices: permitted words.
      help: description in one sentence.
    """

    name: str
    kind: Kind
    default: str | None = None
    unit: str = ""
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    help: str = ""

    def parse(self, text: str) -> typing.Any:
        """Returns the value of a text.

        Raises:
          ValueError: the text is invalid; the message is meant for operators.
        """
        match self.kind:
            case Kind.INTEGER:
                return self.check_range(
                    parse_number(text, int, "a whole number")
                )
            case Kind.NUMBER:
                return self.check_range(parse_number(text, float, "a number"))
            case Kind.DURATION:
                return self.check_range(parse_duration(text))
            case Kind.BOOLEAN:
                return parse_boolean(text)
            case Kind.ADDRESS:
                return parse_address(text)
            case Kind.ADDRESSES:
                parts = text.replace(",", " ").split()
                return tuple(parse_address(part) for part in parts)
            case Kind.CHOICE if text not in self.choices:
                raise ValueError(
                    f"{text!r} is none of {', '.join(self.choices)}"
                )
        return text

    def check_range(self, value: float) -> float:
        """Returns the value.

        Raises:
          ValueError: it is outside the range.
        """
        unit = f" {self.unit}" if self.unit else ""
        if self.low is not None and value < self.low:
            raise ValueError(f"{value:g} is below {self.low:g}{unit}")
        if self.high is not None and value > self.high:
            raise ValueError(f"{value:g} is above {self.high:g}{unit}")
        return value


def parse_number(text: str, convert: typing.Callable, expected: str) -> float:
    """Returns the number that a text holds.

    Args:
      text: the text.
      convert: parses the number, such as int.
      expected: describes a valid text, for the error message.

    Raises:
      ValueError: the text is not a number.
    """
    try:
        return convert(text)
    except ValueError:
        raise ValueError(f"{text!r} is not {expected}") from None


def parse_duration(text: str) -> float:
    """Returns the seconds of a duration: `2.5`, `2.5s` or `2500ms`.

    Raises:
      ValueError: the text is not a duration.
    """
    digits, scale = text, 1.0
    if text.endswith("ms"):
        digits, scale = text.removesuffix("ms"), 0.001
    elif text.endswith("s"):
        digits = text.removesuffix("s")
    return parse_number(digits, float, "a number") * scale


def parse_boolean(text: str) -> bool:
    """Returns whether a text means yes.

    Raises:
      ValueError: it means neither yes nor no.
    """
    match text.lower():
        case "yes" | "true" | "on" | "1":
            return True
        case "no" | "false" | "off" | "0":
            return False
    raise ValueError(f"{text!r} is neither yes nor no")


def parse_address(text: str) -> Address:
    """Returns the address of `IP:PORT` or `[IPv6]:PORT`.

    Raises:
      ValueError: the text is not an IP address with a port.  Host names are
        not resolved.
    """
    ip, colon, port = text.strip().rpartition(":")
    ip = ip.removeprefix("[").removesuffix("]")
    if not colon or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not IP:PORT")
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise ValueError(f"{ip!r} is not an IP number") from None
    return Address(ip, int(port))
