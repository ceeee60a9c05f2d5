"""The share of lost runs that a node tells."""

import pytest

from mangobay import ids, losses

BOOK = ids.OperationName("book")


class TestLosses:
    """Runs at one backend server."""

    def test_a_share_is_known_within_a_second(self):
        counted = losses.Losses()
        for number in range(60):
            counted.ended(BOOK, number % 3 == 0, 100.0 + number / 60)
        assert counted.share(BOOK, 101.0) == pytest.approx(1 / 3, abs=0.08)

    def test_one_failure_alone_says_little(self):
        counted = losses.Losses()
        counted.ended(BOOK, True, 100.0)
        assert counted.share(BOOK, 100.0) < 0.2

    def test_it_ends_with_its_cause(self):
        counted = losses.Losses()
        for number in range(60):
            counted.ended(BOOK, True, 100.0 + number / 60)
        for number in range(90):
            counted.ended(BOOK, False, 101.0 + number / 60)
        assert counted.share(BOOK, 102.5) < 0.25
        assert counted.share(BOOK, 106.0) < 0.25

    def test_what_was_never_lost_has_none(self):
        counted = losses.Losses()
        counted.ended(BOOK, False, 100.0)
        assert counted.share(BOOK, 101.0) == 0.0
