"""Versions of accepted sheets that the history has dropped."""

import collections.abc

import xxhash

from mangobay import ids

MAX_VERSIONS = 1_000_000
"""Versions remembered: 17 days of 59,000 changes a day, in 8 MB."""
TRIM_BATCH_SIZE = 10_000
"""Versions discarded at once, so that the array is rarely moved."""
FINGERPRINT_BYTES = 8
"""Bytes of one fingerprint."""


def fingerprint(version: ids.SheetVersion) -> bytes:
    """Returns the hash of a version."""
    return xxhash.xxh3_64_digest(version.encode())


class UsedVersions:
    """Fingerprints of used versions, oldest first.

    An operator may resend a sheet long after the response was lost. Accepted
    as a new sheet, it would bring back rows that later sheets replaced. So
    its version is refused long after the history has dropped it. A version
    that only has the same fingerprint (one in 10^13 with a million of them)
    is refused too; the operator then has to choose another version.

    Attributes:
      fingerprints: the concatenated fingerprints.
    """

    def __init__(self, data: bytes = b""):
        self.fingerprints = bytearray(data)

    def __len__(self) -> int:
        return len(self.fingerprints) // FINGERPRINT_BYTES

    def add(self, versions: collections.abc.Iterable[ids.SheetVersion]) -> None:
        """Adds versions and discards the oldest beyond MAX_VERSIONS."""
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
