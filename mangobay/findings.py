"""Findings: errors in an input file, each with its place."""

import collections.abc
import dataclasses
import difflib


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in an input file.

    Attributes:
      place: where it is, such as `file:line [section] key` or
        `file:row 3, column importance`.
      message: what is wrong and what is expected.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def suggest(word: str, known: collections.abc.Iterable[str]) -> str:
    """Returns `; did you mean X?` with the most similar known word, or ""."""
    matches = difflib.get_close_matches(word.lower(), list(known), n=1)
    return f"; did you mean {matches[0]}?" if matches else ""
