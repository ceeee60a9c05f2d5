"""Findings: what is wrong with an input, each with its place."""

import dataclasses


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
