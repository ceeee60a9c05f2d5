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


class BootClock:
    """Boot time that the test sets."""

    now = 1000.0

    def __call__(self):
        return self.now


class TestDocumentLease:
    """How long requests with keys are accepted."""

    def setup_method(self):
        self.clock = BootClock()
        self.lease = lease.DocumentLease(5.0, self.clock)

    def test_document_that_was_never_confirmed_is_not_used(self):
        assert not self.lease.is_valid()

    def test_it_ends_before_the_bound(self):
        self.lease.confirm(1000.0)
        self.clock.now = 1004.9
        assert self.lease.is_valid()
        self.clock.now = 1004.99
        assert not self.lease.is_valid()

    def test_suspension_of_the_host_counts(self):
        """A key that was taken away meanwhile is accepted after it."""
        self.lease.confirm(1000.0)
        self.clock.now += 6.0
        assert not self.lease.is_valid()

    def test_delayed_confirmation_does_not_shorten_it(self):
        self.lease.confirm(1003.0)
        self.lease.confirm(1001.0)
        self.clock.now = 1007.0
        assert self.lease.is_valid()

    def test_refusals_are_final_only_by_a_young_confirmation(self):
        """Guards against a final refusal of what was just added."""
        document_lease = lease.DocumentLease(
            0.0, self.clock, max_refusal_staleness=2.0
        )
        assert not document_lease.is_current()
        document_lease.confirm(1000.0)
        self.clock.now = 1002.0
        assert document_lease.is_current()
        self.clock.now = 1002.1
        assert not document_lease.is_current()
        assert document_lease.is_valid()

    def test_without_a_bound_it_never_ends(self):
        assert lease.DocumentLease(0.0, self.clock).is_valid()
