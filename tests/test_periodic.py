"""One timer for many things."""

import asyncio

import pytest

from mangobay import periodic

pytestmark = pytest.mark.looptime


class TestPeriodicCheck:
    """When things are looked at."""

    async def test_each_is_looked_at_as_long_as_it_is_there(self):
        seen = []
        made = periodic.PeriodicCheck(1.0, seen.append)
        made.add("a")
        await asyncio.sleep(0.5)
        made.add("b")
        await asyncio.sleep(1.0)
        assert sorted(seen) == ["a", "b"]
        made.discard("a")
        await asyncio.sleep(1.0)
        assert sorted(seen) == ["a", "b", "b"]

    async def test_without_things_no_timer_wakes_the_process(self):
        """Guards against wakes that grow with peers and listeners."""
        made = periodic.PeriodicCheck(1.0, lambda item: None)
        made.add("a")
        made.add("b")
        assert made.timer is not None
        made.discard("a")
        made.discard("b")
        assert made.timer is None
        made.discard("b")

    async def test_what_leaves_while_it_is_looked_at(self):
        made = periodic.PeriodicCheck(1.0, lambda item: made.discard(item))
        made.add("a")
        made.add("b")
        await asyncio.sleep(1.5)
        assert not made.items
        assert made.timer is None
