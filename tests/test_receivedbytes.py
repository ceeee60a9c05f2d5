"""The account of received bytes."""

from mangobay import receivedbytes


class Reader:
    """Holds bytes; counts how often it is cut off."""

    def __init__(self):
        self.cut_count = 0

    def drop_received(self):
        self.cut_count += 1


class TestAccount:
    """Who is cut off, and what is left."""

    async def test_the_greatest_holder_goes_first(self):
        """Guards against cutting the reader that came last, however small."""
        account = receivedbytes.Account(max_bytes=100)
        great, small, last = Reader(), Reader(), Reader()
        account.hold(great, 60)
        account.hold(small, 30)
        account.hold(last, 11)
        cuts = (great.cut_count, small.cut_count, last.cut_count)
        assert cuts == (1, 0, 0)
        assert (account.held_bytes, account.cut_count) == (41, 1)

    async def test_the_newest_goes_if_it_is_the_greatest(self):
        """One that alone exceeds the bound leaves the others alone."""
        account = receivedbytes.Account(max_bytes=100)
        small, great = Reader(), Reader()
        account.hold(small, 30)
        account.hold(great, 101)
        assert (small.cut_count, great.cut_count) == (0, 1)
        assert account.held_bytes == 30

    async def test_as_many_go_as_needed(self):
        """Guards against staying above the bound after one cut."""
        account = receivedbytes.Account(max_bytes=100)
        readers = [Reader() for _ in range(5)]
        for reader in readers[:4]:
            account.hold(reader, 25)
        account.hold(readers[4], 60)
        assert account.held_bytes <= 100
        assert readers[4].cut_count == 1

    async def test_a_holder_is_counted_once(self):
        """Guards against adding what a reader held before."""
        account = receivedbytes.Account(max_bytes=100)
        reader = Reader()
        for byte_count in (10, 90, 100, 50):
            account.hold(reader, byte_count)
            assert account.held_bytes == byte_count
        account.hold(reader, 0)
        assert (account.held_bytes, account.holders) == (0, {})
        account.hold(reader, 20)
        account.release(reader)
        account.release(reader)
        assert (account.held_bytes, account.holders) == (0, {})
        assert reader.cut_count == 0
