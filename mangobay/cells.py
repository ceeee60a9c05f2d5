"""The columns of a sheet and how their cells are read."""

import collections.abc
import dataclasses
import enum
import re

from mangobay import findings, ids, table
from mangobay.generated import messages

MOST_DEADLINE_MS = 600_000
MOST_TRIES = 100
NAME = re.compile(r"[a-z][a-z0-9_.-]{0,63}")
SEGMENT = re.compile(r"\*|\{[a-z_]+\}|[A-Za-z0-9_.~!$&'()+,;=:@-]*")
DOTS = frozenset({".", ".."})
CALLER_GAP = re.compile(r"[\s,;|+]+")
METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
RESERVED = frozenset({"mangobay", ids.OUTSIDE})
"""The node answers below /mangobay itself; `outside` names every caller."""
IMPORTANCES = {
    importance.name.lower(): importance for importance in messages.Importance
}
KEY_WORDS = {"required": True, "optional": False, "": False}


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


def yes_or_no(text: str) -> bool:
    """Returns the meaning of yes or no, as words or as spreadsheets write it.

    Raises:
      ValueError: it is neither.
    """
    match text.lower():
        case "yes" | "y" | "true" | "1" | "x":
            return True
        case "no" | "n" | "false" | "0" | "":
            return False
    raise ValueError(f"{text!r} is neither yes nor no")


def definite(text: str) -> bool:
    """Returns yes or no where an empty cell must not be taken for no.

    Raises:
      ValueError: it is neither.
    """
    if not text:
        raise ValueError("must be yes or no")
    return yes_or_no(text)


def name_of(text: str) -> str:
    """Returns a name of a service or operation.

    Raises:
      ValueError: it is none.
    """
    if not NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name: a letter, then letters, digits, -, _"
            " and . in lower case, 64 at most"
        )
    return text


def service_of(text: str) -> str:
    """Returns the name of a service.

    Raises:
      ValueError: it is none, or is reserved.
    """
    if text in RESERVED:
        raise ValueError(f"{text!r} is reserved")
    return name_of(text)


def word_of(text: str, words: dict[str, object]) -> object:
    """Returns what a word stands for.

    Raises:
      ValueError: it is none of them; names the nearest one.
    """
    try:
        return words[text.lower()]
    except KeyError:
        known = [word for word in words if word]
        hint = findings.nearest(text, known)
        raise ValueError(
            f"{text!r} is none of {', '.join(known)}{hint}"
        ) from None


def method_of(text: str) -> str:
    """Returns an HTTP method.

    Raises:
      ValueError: it is none that the system carries.
    """
    if text.upper() not in METHODS:
        raise ValueError(f"{text!r} is none of {', '.join(sorted(METHODS))}")
    return text.upper()


def path_of(text: str) -> str:
    """Returns a path pattern, its `{name}` segments written as `*`.

    Raises:
      ValueError: it is no pattern.
    """
    if not text.startswith("/"):
        raise ValueError(f"{text!r} must start with /")
    segments = text.split("/")[1:]
    for segment in segments:
        if not SEGMENT.fullmatch(segment) or segment in DOTS:
            raise ValueError(
                f"{segment!r} in {text!r} is neither a plain segment nor *"
                " nor {name}"
            )
    return "/" + "/".join(table.segments_of(text))


def callers_of(text: str) -> list[str]:
    """Returns the calling services, sorted, each once.

    Raises:
      ValueError: one is no name.
    """
    names = {name for name in CALLER_GAP.split(text) if name}
    if ids.EVERYONE in names:
        return [ids.EVERYONE]
    return sorted(name_of(name) for name in names)


def whole_number(text: str, low: int, high: int) -> int:
    """Returns a whole number of a range.

    Raises:
      ValueError: it is none.
    """
    if not text.isdecimal() or not low <= int(text) <= high:
        raise ValueError(f"{text!r} is not a whole number {low} to {high}")
    return int(text)


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """How the cells of a column are read.

    Attributes:
      attribute: where the value goes in messages.Operation.
      read: makes the value; raises ValueError with what is wrong.
      needed: whether the sheet must have the column.
    """

    attribute: str
    read: collections.abc.Callable[[str], object]
    needed: bool = True


CELLS = {
    Column.SERVICE: Cell("service", service_of),
    Column.OPERATION: Cell("name", name_of),
    Column.METHOD: Cell("method", method_of),
    Column.PATH: Cell("path", path_of),
    Column.IMPORTANCE: Cell(
        "importance", lambda text: word_of(text, IMPORTANCES)
    ),
    Column.IDEMPOTENT: Cell("idempotent", definite),
    Column.KEY: Cell(
        "key_required", lambda text: word_of(text, KEY_WORDS), needed=False
    ),
    Column.CALLERS: Cell("callers", callers_of, needed=False),
    Column.OUTSIDE: Cell("outside", yes_or_no, needed=False),
    Column.DEADLINE_MS: Cell(
        "deadline_ms", lambda text: whole_number(text, 1, MOST_DEADLINE_MS)
    ),
    Column.TRIES: Cell("tries", lambda text: whole_number(text, 0, MOST_TRIES)),
}
