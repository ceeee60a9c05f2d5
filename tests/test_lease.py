"""Tests of the lease on the node's own clock."""

import asyncio

import pytest

from mangobay import clock, lease


@pytest.mark.looptime
class TestLease:
    """When a lease ends."""

    async def test_a_slow_grant_shortens_the_lease(self):
        """A grant with a ttl of four seconds takes three seconds to arrive.

        The control group counts from when it sent the grant. A node that
        counted from its arrival would act for its keys beside the next owner.
        """
        node_lease = lease.Lease()
        asked_at = clock.now()
        await asyncio.sleep(3)
        node_lease.extend(asked_at, 4)
        assert node_lease.is_valid()
        await asyncio.sleep(1)
        assert not node_lease.is_valid()

    async def test_an_older_grant_does_not_shorten_the_lease(self):
        node_lease = lease.Lease()
        node_lease.extend(clock.now(), 4)
        node_lease.extend(clock.now() - 2, 4)
        await asyncio.sleep(3)
        assert node_lease.is_valid()
