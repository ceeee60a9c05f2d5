"""Tasks whose first step runs at once."""

import asyncio

import pytest

from mangobay import eager


def run_in_callback(function):
    """Runs a function in a callback of the loop; returns its result."""
    loop = asyncio.get_running_loop()
    result = loop.create_future()
    loop.call_soon(lambda: result.set_result(function(loop)))
    return result


class TestStartTask:
    """What a task does before it is returned."""

    async def test_work_that_never_waits_is_done_at_once(self):
        async def work():
            return asyncio.current_task()

        task = await run_in_callback(
            lambda loop: eager.start_task(loop, work())
        )
        assert await task is task

    async def test_work_that_waits_goes_on_later(self):
        seen = []
        gate = asyncio.Event()

        async def work():
            seen.append("first")
            async with asyncio.timeout(5):
                await gate.wait()
            seen.append("second")

        def begin(loop):
            task = eager.start_task(loop, work())
            assert seen == ["first"]
            return task

        task = await run_in_callback(begin)
        assert not task.done()
        gate.set()
        await task
        assert seen == ["first", "second"]

    async def test_what_it_schedules_runs_as_ever(self):
        """Guards against callbacks that run inside the first step."""
        seen = []

        async def work():
            asyncio.get_running_loop().call_soon(seen.append, "later")
            seen.append("now")
            await asyncio.sleep(0)

        await (
            await run_in_callback(lambda loop: eager.start_task(loop, work()))
        )
        assert seen == ["now", "later"]

    async def test_errors_and_cancelling(self):
        async def fail():
            raise ValueError("no")

        async def wait():
            await asyncio.Event().wait()

        failed = await run_in_callback(
            lambda loop: eager.start_task(loop, fail())
        )
        with pytest.raises(ValueError, match="no"):
            await failed
        waiting = await run_in_callback(
            lambda loop: eager.start_task(loop, wait())
        )
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    async def test_within_a_task_it_starts_in_the_next_turn(self):
        seen = []

        async def work():
            seen.append("started")

        task = eager.start_task(asyncio.get_running_loop(), work())
        assert seen == []
        await task
        assert seen == ["started"]
