"""Background tasks that fail."""

import asyncio
import contextlib

import pytest

from mangobay import supervision

pytestmark = pytest.mark.looptime


@contextlib.asynccontextmanager
async def supervised(job):
    """Keeps a job running inside the block."""
    task = asyncio.create_task(supervision.keep_running(job))
    yield task
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


class TestKeepRunning:
    """A job that ends by itself."""

    @pytest.mark.parametrize("error", [ValueError("odd"), None])
    async def test_is_started_again_after_a_delay(self, error):
        """A task that nobody watches ends unnoticed."""
        starts = []

        async def job():
            starts.append(asyncio.get_running_loop().time())
            if error is not None:
                raise error

        async with supervised(job) as task:
            await asyncio.sleep(2.5 * supervision.RESTART_SECONDS)
            assert not task.done()
        assert len(starts) == 3

    async def test_cancelling_ends_the_job(self):
        """A node that stops waits for a task that starts again."""
        ended = []

        async def job():
            try:
                await asyncio.sleep(60)
            finally:
                ended.append(True)

        async with supervised(job):
            await asyncio.sleep(0.1)
        assert ended == [True]
