"""Versions of sheets that the history no longer names."""

import collections.abc

import xxhash

from mangobay import ids

MAX_VERSIONS = 1_000_000
"""Versions remembered; 17 days at 59,000 changes a day, in 8 MB."""
TRIM_BATCH_SIZE = 10_000
"""Forgotten together, so that forgetting moves the memory seldom."""
FINGERPRINT_BYTES = 8
"""Bytes of a fingerprint."""


def fingerprint(version: ids.SheetVersion) -> bytes:
    """Returns what is remembered of a version."""
    return xxhash.xxh3_64_digest(version.encode())


class UsedVersions:
    """Fingerprints of versions, oldest first.

    An operator may send a sheet again long after its answer was lost. Taken
    for a new one, it would bring back rows that later sheets replaced. So a
    version is refused for long after the history dropped it; a version that
    only shares its fingerprint (one in 10^13 at a million) is refused too,
    which its operator mends with another name.

    Attributes:
      fingerprints: the fingerprints.
    """

    def __init__(self, data: bytes = b""):
        self.fingerprints = bytearray(data)

    def __len__(self) -> int:
        return len(self.fingerprints) // FINGERPRINT_BYTES

    def add(self, versions: collections.abc.Iterable[ids.SheetVersion]) -> None:
        """Remembers versions; beyond MOST the oldest are forgotten."""
        self.fingerprints += b"".join(map(fingerprint, versions))
        if len(self) > MAX_VERSIONS + TRIM_BATCH_SIZE:
            del self.fingerprints[
                : (len(self) - MAX_VERSIONS) * FINGERPRINT_BYTES
            ]

    def contains(self, version: ids.SheetVersion) -> bool:
        """Returns whether the version was used."""
        target = fingerprint(version)
        position = self.fingerprints.find(target)
        while position >= 0 and position % FINGERPRINT_BYTES:
            position = self.fingerprints.find(target, position + 1)
        return position >= 0
