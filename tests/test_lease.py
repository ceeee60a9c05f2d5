"""The lease on the node's own clock."""

import asyncio

import pytest

from mangobay import clock, lease


@pytest.mark.looptime
class TestLease:
    """When it ends."""

    async def test_a_slow_answer_shortens_it(self):
        """The grant takes three seconds of a lease of four to arrive.

        Control counts from when it granted.  A node that counted from when
        the answer came would act for its keys beside the next owner.
        """
        held = lease.Lease()
        asked_at = clock.now()
        await asyncio.sleep(3)
        held.extend(asked_at, 4)
        assert held.is_valid()
        await asyncio.sleep(1)
        assert not held.is_valid()

    async def test_an_older_grant_does_not_shorten_it(self):
        held = lease.Lease()
        held.extend(clock.now(), 4)
        held.extend(clock.now() - 2, 4)
        await asyncio.sleep(3)
        assert held.is_valid()
