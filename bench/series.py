"""One cost measured at several sizes."""

import asyncio
import collections.abc
import dataclasses
import gc
import time
import tracemalloc
import typing

from bench import fitting

ROUNDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """What is measured.

    Attributes:
      role: of the process that pays.
      name: what costs, and for one more of what.
      unit: of the cost.
      sizes: at least four.
      cost: returns the cost at a size; a coroutine function.
    """

    role: str
    name: str
    unit: str
    sizes: tuple[int, ...]
    cost: collections.abc.Callable[[int], collections.abc.Awaitable[float]]

    def run(self) -> "Result":
        """Measures every size, each on a loop of its own."""
        costs = []
        for size in self.sizes:
            gc.collect()
            costs.append(asyncio.run(self.cost(size)))
        return Result(self, costs, fitting.fit(self.sizes, costs))


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A series with its costs, in the order of its sizes."""

    series: Series
    costs: list[float]
    line: fitting.Fit


def heap(build: collections.abc.Callable[[], typing.Any]) -> float:
    """Returns the bytes that what `build` returns keeps on Python's heap.

    Buffers of the kernel and of C libraries are not in it.
    """
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


async def heap_of(
    build: collections.abc.Callable[[], collections.abc.Awaitable],
) -> float:
    """Returns the bytes kept on Python's heap by what is built on the loop."""
    gc.collect()
    tracemalloc.start()
    kept = await build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def processor_us(work: collections.abc.Callable[[], typing.Any]) -> float:
    """Returns the microseconds of processor time, the least of some rounds."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        work()
        times.append(time.process_time() - began)
    return min(times) * 1e6


async def processor_us_of(
    work: collections.abc.Callable[[], collections.abc.Awaitable],
) -> float:
    """Returns the microseconds of processor time of work on the loop, likewise."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        await work()
        times.append(time.process_time() - began)
    return min(times) * 1e6
