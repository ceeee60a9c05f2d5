"""Versions of sheets that the history no longer names."""

from mangobay import usedversions


class TestUsedVersions:
    """What is remembered, and for how long."""

    def test_used_versions_are_known_and_others_are_not(self):
        used = usedversions.UsedVersions()
        used.add(f"v{number}" for number in range(500))
        again = usedversions.UsedVersions(bytes(used.fingerprints))
        assert all(again.contains(f"v{number}") for number in range(500))
        assert not any(again.contains(f"w{number}") for number in range(500))

    def test_bytes_across_two_fingerprints_are_no_version(self):
        first, second = (
            usedversions.fingerprint("a"),
            usedversions.fingerprint("b"),
        )
        used = usedversions.UsedVersions(first[4:] + second[:4])
        used.fingerprints[:0] = second[:4] + first[:4]
        assert not used.contains("a")

    def test_the_oldest_are_forgotten(self, monkeypatch):
        monkeypatch.setattr(usedversions, "MAX_VERSIONS", 10)
        monkeypatch.setattr(usedversions, "TRIM_BATCH_SIZE", 5)
        used = usedversions.UsedVersions()
        for number in range(100):
            used.add([f"v{number}"])
            assert len(used) <= 15
        assert used.contains("v99")
        assert not used.contains("v80")
