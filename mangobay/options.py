"""One option of the settings: its kind, default, range and meaning."""

import dataclasses
import enum
import ipaddress
import typing


class Kind(enum.Enum):
    """What an option holds."""

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
    """An IP number and a port."""

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
    """One option; `default` None means that the file must give it.

    Attributes:
      name: the key in its section.
      kind: what it holds.
      default: the text used when the file gives none.
      unit: of numbers, such as seconds.
      low: smallest value that is taken.
      high: largest value that is taken.
      choices: the words that are taken.
      help: its meaning, one sentence.
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
        """Returns the value that the text stands for.

        Raises:
          ValueError: with a message fit for the operator.
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
        """Returns the value; raises ValueError outside the range."""
        unit = f" {self.unit}" if self.unit else ""
        if self.low is not None and value < self.low:
            raise ValueError(f"{value:g} is below {self.low:g}{unit}")
        if self.high is not None and value > self.high:
            raise ValueError(f"{value:g} is above {self.high:g}{unit}")
        return value


def parse_number(text: str, convert: typing.Callable, expected: str) -> float:
    """Returns the number in a text; raises ValueError if none."""
    try:
        return convert(text)
    except ValueError:
        raise ValueError(f"{text!r} is not {expected}") from None


def parse_duration(text: str) -> float:
    """Returns the seconds in `2.5`, `2.5s` or `2500ms`.

    Raises:
      ValueError: it is no time.
    """
    digits, scale = text, 1.0
    if text.endswith("ms"):
        digits, scale = text.removesuffix("ms"), 0.001
    elif text.endswith("s"):
        digits = text.removesuffix("s")
    return parse_number(digits, float, "a number") * scale


def parse_boolean(text: str) -> bool:
    """Returns yes or no; raises ValueError if it is neither."""
    match text.lower():
        case "yes" | "true" | "on" | "1":
            return True
        case "no" | "false" | "off" | "0":
            return False
    raise ValueError(f"{text!r} is neither yes nor no")


def parse_address(text: str) -> Address:
    """Returns the address in `IP:PORT` or `[IP6]:PORT`.

    Raises:
      ValueError: it is no IP number with a port; names are not looked up.
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
