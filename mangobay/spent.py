"""Versions of sheets that the history no longer names."""

import collections.abc

import xxhash

from mangobay import ids

MOST = 1_000_000
"""Versions remembered; 17 days at 59,000 changes a day, in 8 MB."""
SPARE = 10_000
"""Forgotten together, so that forgetting moves the memory seldom."""
WIDTH = 8
"""Bytes of a fingerprint."""


def fingerprint(version: ids.SheetVersion) -> bytes:
    """Returns what is remembered of a version."""
    return xxhash.xxh3_64_digest(version.encode())


class SpentVersions:
    """Fingerprints of versions, oldest first.

    An operator may send a sheet again long after its answer was lost. Taken
    for a new one, it would bring back rows that later sheets replaced. So a
    version is refused for long after the history dropped it; a version that
    only shares its fingerprint (one in 10^13 at a million) is refused too,
    which its operator mends with another name.

    Attributes:
      data: the fingerprints.
    """

    def __init__(self, data: bytes = b""):
        self.data = bytearray(data)

    def __len__(self) -> int:
        return len(self.data) // WIDTH

    def add(self, versions: collections.abc.Iterable[ids.SheetVersion]) -> None:
        """Remembers versions; beyond MOST the oldest are forgotten."""
        self.data += b"".join(map(fingerprint, versions))
        if len(self) > MOST + SPARE:
            del self.data[: (len(self) - MOST) * WIDTH]

    def holds(self, version: ids.SheetVersion) -> bool:
        """Returns whether the version was used."""
        sought = fingerprint(version)
        at = self.data.find(sought)
        while at >= 0 and at % WIDTH:
            at = self.data.find(sought, at + 1)
        return at >= 0
