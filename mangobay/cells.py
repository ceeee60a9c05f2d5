"""The columns of a sheet and how their cells are parsed."""

import collections.abc
import dataclasses
import enum
import re

from mangobay import findings, ids, operationtable
from mangobay.generated import messages

MAX_DEADLINE_MS = 600_000
MAX_TRIES = 100
NAME_PATTERN = re.compile(r"[a-z][a-z0-9_.-]{0,63}")
PATH_SEGMENT_PATTERN = re.compile(
    r"\*|\{[a-z_]+\}|[A-Za-z0-9_.~!$&'()+,;=:@-]*"
)
DOT_SEGMENTS = frozenset({".", ".."})
CALLER_SEPARATORS = re.compile(r"[\s,;|+]+")
METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
RESERVED_SERVICES = frozenset({"mangobay", ids.OUTSIDE})
"""The node itself answers below /mangobay, and `outside` stands for callers
that are no service."""
IMPORTANCES = {
    importance.name.lower(): importance for importance in messages.Importance
}
KEY_VALUES = {"required": True, "optional": False, "": False}


class Column(enum.Enum):
    """The columns of a sheet."""

    SERVICE = "service"
    OPERATION = "operation"
    METHOD = "method"
    PATH = "path"
    IMPORTANCE = "importance"
    IDEMPOTENT = "idempotent"
    KEY = "key"
    CALLERS = "callers"
    OUTSIDE = "outside"
    DEADLINE_MS = "deadline_ms"
    TRIES = "tries"


def parse_boolean(text: str) -> bool:
    """Returns a boolean given as a word or as spreadsheets write it.

    Raises:
      ValueError: the text is neither yes nor no.
    """
    match text.lower():
        case "yes" | "y" | "true" | "1" | "x":
            return True
        case "no" | "n" | "false" | "0" | "":
            return False
    raise ValueError(f"{text!r} is neither yes nor no")


def parse_required_boolean(text: str) -> bool:
    """Returns a boolean where an empty cell must not count as no.

    Raises:
      ValueError: the text is neither yes nor no.
    """
    if not text:
        raise ValueError("must be yes or no")
    return parse_boolean(text)


def parse_name(text: str) -> str:
    """Returns the name of a service or operation.

    Raises:
      ValueError: the text is not a valid name.
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a valid name: expected a letter, then letters,"
            " digits, -, _ and . in lower case, at most 64 characters"
        )
    return text


def parse_service(text: str) -> str:
    """Returns the name of a service.

    Raises:
      ValueError: the text is not a valid name, or the name is reserved.
    """
    if text in RESERVED_SERVICES:
        raise ValueError(f"{text!r} is reserved")
    return parse_name(text)


def parse_choice(text: str, words: dict[str, object]) -> object:
    """Returns the value that a word stands for.

    Raises:
      ValueError: the word is unknown; the message suggests the nearest one.
    """
    try:
        return words[text.lower()]
    except KeyError:
        choices = [word for word in words if word]
        hint = findings.suggest(text, choices)
        raise ValueError(
            f"{text!r} is none of {', '.join(choices)}{hint}"
        ) from None


def parse_method(text: str) -> str:
    """Returns an HTTP method in upper case.

    Raises:
      ValueError: the method is not supported.
    """
    if text.upper() not in METHODS:
        raise ValueError(f"{text!r} is none of {', '.join(sorted(METHODS))}")
    return text.upper()


def parse_path(text: str) -> str:
    """Returns a path pattern with its `{name}` segments replaced by `*`.

    Raises:
      ValueError: the text is not a valid pattern.
    """
    if not text.startswith("/"):
        raise ValueError(f"{text!r} must start with /")
    segments = text.split("/")[1:]
    for segment in segments:
        if (
            not PATH_SEGMENT_PATTERN.fullmatch(segment)
            or segment in DOT_SEGMENTS
        ):
            raise ValueError(
                f"{segment!r} in {text!r} is neither a plain segment nor *"
                " nor {name}"
            )
    return "/" + "/".join(operationtable.split_segments(text))


def parse_callers(text: str) -> list[str]:
    """Returns the calling services, sorted and without duplicates.

    Raises:
      ValueError: a name is not valid.
    """
    names = {name for name in CALLER_SEPARATORS.split(text) if name}
    if ids.ANY_CALLER in names:
        return [ids.ANY_CALLER]
    return sorted(parse_name(name) for name in names)


def parse_integer(text: str, low: int, high: int) -> int:
    """Returns an integer from `low` to `high`.

    Raises:
      ValueError: the text is not an integer in this range.
    """
    if not text.isdecimal() or not low <= int(text) <= high:
        raise ValueError(f"{text!r} is not a whole number {low} to {high}")
    return int(text)


@dataclasses.dataclass(frozen=True, slots=True)
class CellParser:
    """Parses the cells of one column.

    Attributes:
      attribute: the attribute of messages.Operation that gets the value.
      parse: returns the value of a cell; raises ValueError with what is wrong.
      required: whether the sheet must have the column.
    """

    attribute: str
    parse: collections.abc.Callable[[str], object]
    required: bool = True


CELL_PARSERS = {
    Column.SERVICE: CellParser("service", parse_service),
    Column.OPERATION: CellParser("name", parse_name),
    Column.METHOD: CellParser("method", parse_method),
    Column.PATH: CellParser("path", parse_path),
    Column.IMPORTANCE: CellParser(
        "importance", lambda text: parse_choice(text, IMPORTANCES)
    ),
    Column.IDEMPOTENT: CellParser("idempotent", parse_required_boolean),
    Column.KEY: CellParser(
        "key_required",
        lambda text: parse_choice(text, KEY_VALUES),
        required=False,
    ),
    Column.CALLERS: CellParser("callers", parse_callers, required=False),
    Column.OUTSIDE: CellParser("outside", parse_boolean, required=False),
    Column.DEADLINE_MS: CellParser(
        "deadline_ms", lambda text: parse_integer(text, 1, MAX_DEADLINE_MS)
    ),
    Column.TRIES: CellParser(
        "tries", lambda text: parse_integer(text, 0, MAX_TRIES)
    ),
}
