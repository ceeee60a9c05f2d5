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
        node_lease = lease.Lease()
        asked_at = clock.now()
        await asyncio.sleep(3)
        node_lease.extend(asked_at, 4)
        assert node_lease.is_valid()
        await asyncio.sleep(1)
        assert not node_lease.is_valid()

    async def test_an_older_grant_does_not_shorten_it(self):
        node_lease = lease.Lease()
        node_lease.extend(clock.now(), 4)
        node_lease.extend(clock.now() - 2, 4)
        await asyncio.sleep(3)
        assert node_lease.is_valid()
