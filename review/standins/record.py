"""The record of a case: what was sent, answered and run, and the verdict."""

import pathlib
import time


class Record:
    """Collects lines with the seconds since the start of the case."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line; `at` is a monotonic time, now if left out."""
        moment = time.monotonic() if at is None else at
        self.lines.append(f"{moment - self.started_at:8.3f} s  {text}")

    def close(self, verdict: str) -> None:
        """Writes the file, with the verdict at its end."""
        self.lines.append(verdict)
        self.path.write_text("\n".join(self.lines) + "\n")
