"""Tests of periodic checks with one timer."""

import asyncio

import pytest

from mangobay import periodic

pytestmark = pytest.mark.looptime


class TestPeriodicCheck:
    """When items are checked."""

    async def test_items_are_checked_until_discarded(self):
        checked = []
        check = periodic.PeriodicCheck(1.0, checked.append)
        check.add("a")
        await asyncio.sleep(0.5)
        check.add("b")
        await asyncio.sleep(1.0)
        assert sorted(checked) == ["a", "b"]
        check.discard("a")
        await asyncio.sleep(1.0)
        assert sorted(checked) == ["a", "b", "b"]

    async def test_no_timer_runs_without_items(self):
        """Guards against timers that wake the process for nothing."""
        check = periodic.PeriodicCheck(1.0, lambda item: None)
        check.add("a")
        check.add("b")
        assert check.timer is not None
        check.discard("a")
        check.discard("b")
        assert check.timer is None
        check.discard("b")

    async def test_items_may_be_discarded_during_a_check(self):
        check = periodic.PeriodicCheck(1.0, lambda item: check.discard(item))
        check.add("a")
        check.add("b")
        await asyncio.sleep(1.5)
        assert not check.items
        assert check.timer is None
