"""Findings: what is wrong with an input, each with its place."""

import collections.abc
import dataclasses
import difflib


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong.

    Attributes:
      place: where, as a reader finds it: `file:line [section] key` or
        `file:row 3, column importance`.
      message: what is wrong and what would be right.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def suggest(word: str, known: collections.abc.Iterable[str]) -> str:
    """Returns `; did you mean X?` for the known word most like it, or ""."""
    matches = difflib.get_close_matches(word.lower(), list(known), n=1)
    return f"; did you mean {matches[0]}?" if matches else ""
