"""Versions of sheets that the history no longer names."""

from mangobay import spent


class TestSpentVersions:
    """What is remembered, and for how long."""

    def test_used_versions_are_known_and_others_are_not(self):
        used = spent.SpentVersions()
        used.add(f"v{number}" for number in range(500))
        again = spent.SpentVersions(bytes(used.data))
        assert all(again.holds(f"v{number}") for number in range(500))
        assert not any(again.holds(f"w{number}") for number in range(500))

    def test_bytes_across_two_fingerprints_are_no_version(self):
        first, second = spent.fingerprint("a"), spent.fingerprint("b")
        used = spent.SpentVersions(first[4:] + second[:4])
        used.data[:0] = second[:4] + first[:4]
        assert not used.holds("a")

    def test_the_oldest_are_forgotten(self, monkeypatch):
        monkeypatch.setattr(spent, "MOST", 10)
        monkeypatch.setattr(spent, "SPARE", 5)
        used = spent.SpentVersions()
        for number in range(100):
            used.add([f"v{number}"])
            assert len(used) <= 15
        assert used.holds("v99")
        assert not used.holds("v80")
