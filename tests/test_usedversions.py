"""Tests of the versions that the history has dropped."""

from mangobay import usedversions


class TestUsedVersions:
    """Which versions are remembered."""

    def test_only_used_versions_are_contained(self):
        versions = usedversions.UsedVersions()
        versions.add(f"v{number}" for number in range(500))
        restored = usedversions.UsedVersions(bytes(versions.fingerprints))
        assert all(restored.contains(f"v{number}") for number in range(500))
        assert not any(restored.contains(f"w{number}") for number in range(500))

    def test_a_match_across_two_fingerprints_does_not_count(self):
        first, second = (
            usedversions.fingerprint("a"),
            usedversions.fingerprint("b"),
        )
        versions = usedversions.UsedVersions(first[4:] + second[:4])
        versions.fingerprints[:0] = second[:4] + first[:4]
        assert not versions.contains("a")

    def test_the_oldest_versions_are_discarded(self, monkeypatch):
        monkeypatch.setattr(usedversions, "MAX_VERSIONS", 10)
        monkeypatch.setattr(usedversions, "TRIM_BATCH_SIZE", 5)
        versions = usedversions.UsedVersions()
        for number in range(100):
            versions.add([f"v{number}"])
            assert len(versions) <= 15
        assert versions.contains("v99")
        assert not versions.contains("v80")
