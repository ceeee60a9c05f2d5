"""Tests of tasks that run at once."""

import asyncio

import pytest

from mangobay import eager


def run_in_callback(function):
    """Returns a future of a function's result; the loop calls the function."""
    loop = asyncio.get_running_loop()
    result = loop.create_future()
    loop.call_soon(lambda: result.set_result(function(loop)))
    return result


class TestStartTask:
    """What a task does before start_task returns it."""

    async def test_coroutine_without_waits_completes_at_once(self):
        async def work():
            return asyncio.current_task()

        task = await run_in_callback(
            lambda loop: eager.start_task(loop, work())
        )
        assert await task is task

    async def test_coroutine_that_waits_resumes_later(self):
        steps = []
        release = asyncio.Event()

        async def work():
            steps.append("first")
            async with asyncio.timeout(5):
                await release.wait()
            steps.append("second")

        def start(loop):
            task = eager.start_task(loop, work())
            assert steps == ["first"]
            return task

        task = await run_in_callback(start)
        assert not task.done()
        release.set()
        await task
        assert steps == ["first", "second"]

    async def test_callbacks_of_the_first_step_run_later(self):
        """Guards against callbacks that run within the first step."""
        steps = []

        async def work():
            asyncio.get_running_loop().call_soon(steps.append, "later")
            steps.append("now")
            await asyncio.sleep(0)

        await (
            await run_in_callback(lambda loop: eager.start_task(loop, work()))
        )
        assert steps == ["now", "later"]

    async def test_errors_and_cancellation(self):
        async def fail():
            raise ValueError("no")

        async def wait():
            await asyncio.Event().wait()

        failing_task = await run_in_callback(
            lambda loop: eager.start_task(loop, fail())
        )
        with pytest.raises(ValueError, match="no"):
            await failing_task
        waiting_task = await run_in_callback(
            lambda loop: eager.start_task(loop, wait())
        )
        waiting_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting_task

    async def test_within_a_task_it_starts_in_the_next_iteration(self):
        steps = []

        async def work():
            steps.append("started")

        task = eager.start_task(asyncio.get_running_loop(), work())
        assert steps == []
        await task
        assert steps == ["started"]


class TestSetResult:
    """When the task that awaits a future runs."""

    async def test_waiting_task_runs_at_once(self):
        steps = []
        future = asyncio.get_running_loop().create_future()

        async def work():
            steps.append(await future)

        def resolve(loop):
            eager.set_result(loop, future, "result")
            steps.append("resolved")

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        await run_in_callback(resolve)
        await task
        assert steps == ["result", "resolved"]

    async def test_without_a_waiting_task_later_callbacks_are_scheduled(self):
        """Guards against a callback that takes the place of the missing one."""
        steps = []
        future = asyncio.get_running_loop().create_future()

        def resolve(loop):
            eager.set_result(loop, future, "result")
            loop.call_soon(steps.append, "scheduled")
            assert steps == []

        await run_in_callback(resolve)
        await asyncio.sleep(0)
        assert steps == ["scheduled"]
        assert await future == "result"

    async def test_only_the_first_waiting_task_runs_at_once(self):
        steps = []
        future = asyncio.get_running_loop().create_future()

        async def work(name):
            await future
            steps.append(name)

        def resolve(loop):
            eager.set_result(loop, future, None)
            steps.append("resolved")

        tasks = [asyncio.create_task(work(name)) for name in ("first", "other")]
        await asyncio.sleep(0)
        await run_in_callback(resolve)
        await asyncio.gather(*tasks)
        assert steps == ["first", "resolved", "other"]

    async def test_within_a_task_the_waiting_one_runs_later(self):
        steps = []
        future = asyncio.get_running_loop().create_future()

        async def work():
            steps.append(await future)

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        eager.set_result(asyncio.get_running_loop(), future, "result")
        assert steps == []
        await task
        assert steps == ["result"]
