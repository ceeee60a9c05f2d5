"""Compares ways of noticing that a connection has gone silent.

Run `python -m bench.silentconnections`: one calling and one called node over
loopback.  It prints CPU time and bytes per call on a healthy connection, the
time until a call that was lost is refused, and how often a slow or frozen node
was taken for a dead connection.
"""

import argparse
import asyncio
import contextlib
import enum
import multiprocessing
import os
import random
import signal
import statistics
import time
import unittest.mock

from mangobay import (
    basenode,
    callquery,
    connections,
    errors,
    options,
    peers,
    silence,
)
from mangobay.generated import messages, settings

CONFIG = settings.NodeSilence(
    queries=True, share=0.3, calls=50_000, reply_bytes=8 << 20
)
ANY_PORT = options.Address("127.0.0.1", 0)
PARALLEL_CALLS = 50
TARGET_SECONDS = (0.2, 0.5, 1.0, 2.0)
SLOW_STEP_SECONDS = 0.015
"""Work of the called node between two looks at its sockets, at full speed."""
SLOWDOWN = 6
FREEZE_SECONDS = 0.6


class Way(enum.Enum):
    """How silence is noticed."""

    FIXED = "after 1 s, nothing asked (before)"
    SHARED = "share of the target latency, one check for all (chosen)"
    TIMERS = "share of the target latency, a timer for each call"


class TimerConnection(connections.Connection):
    """A connection with a timer for each call."""

    def track_request(self, stream, body, deadline):
        """Adds a request and starts its timer."""
        super().track_request(stream, body, deadline)
        timers = self.__dict__.setdefault("timers", {})
        timers[stream] = self.loop.call_later(
            self.waits.ping_after, self.check_call, stream
        )

    def untrack_request(self, stream):
        """Removes a request and stops its timer."""
        self.timers.pop(stream).cancel()
        super().untrack_request(stream)

    def check_call(self, stream):
        """Checks the connection for one of its calls."""
        self.check_liveness()
        self.timers[stream] = self.loop.call_later(
            self.waits.reply_within, self.check_call, stream
        )


class Node:
    """A called node."""

    def __init__(self, way: Way):
        hello = make_hello("there", way)
        self.listener = peers.Listener(ANY_PORT, hello, self.handle)
        self.memory = callquery.CallMemory(CONFIG, self.listener)

    async def handle(self, hello, body):
        """Answers a call or a query."""
        if isinstance(body, messages.CallQuery):
            return await self.memory.answer(hello, body)
        if hello.takes_queries:
            return await self.memory.run(body, self.serve)
        return await self.serve(body)

    async def serve(self, call: messages.Call) -> messages.Reply:
        """Answers a call after the milliseconds that its target names."""
        if call.target:
            await asyncio.sleep(int(call.target) / 1000)
        return messages.Reply(status=200, body=call.body)


def make_hello(host: str, way: Way) -> messages.Hello:
    """Returns the Hello of a node."""
    return messages.Hello(
        host=host,
        role="node",
        incarnation=host,
        takes_queries=way is not Way.FIXED,
    )


def make_call(target_seconds: float, run_ms: int = 0) -> messages.Call:
    """Returns a call that takes run_ms at the called node."""
    return messages.Call(
        call_id=f"{random.getrandbits(64):016x}",
        target=str(run_ms or ""),
        body=bytes(500),
        deadline_ms=5000,
        patience_ms=int(target_seconds * 500),
        service="service",
        operation="operation",
    )


@contextlib.asynccontextmanager
async def open_client(way: Way):
    """Yields the client of a calling node."""
    kind = TimerConnection if way is Way.TIMERS else connections.Connection
    with unittest.mock.patch.object(connections, "Connection", kind):
        client = peers.PeerClient(
            make_hello("here", way), silence_share=CONFIG.share
        )
        try:
            yield client
        finally:
            await client.close()


async def measure_cost(way: Way, calls: int) -> tuple[float, float]:
    """Returns CPU microseconds and bytes sent per call, healthy."""
    node = Node(way)
    await node.listener.start()
    sent = 0
    send = asyncio.selector_events._SelectorSocketTransport.write

    def write(transport, data):
        nonlocal sent
        sent += len(data)
        send(transport, data)

    async def send_calls(count: int) -> None:
        for _ in range(count):
            await client.send_request(node.listener.address, make_call(0.5), 5)

    transport_class = asyncio.selector_events._SelectorSocketTransport
    async with open_client(way) as client:
        basenode.limit_gc_pauses()
        await send_calls(100)
        started_at = time.process_time()
        with unittest.mock.patch.object(transport_class, "write", write):
            await asyncio.gather(
                *(
                    send_calls(calls // PARALLEL_CALLS)
                    for _ in range(PARALLEL_CALLS)
                )
            )
        seconds = time.process_time() - started_at
    await node.listener.close()
    return seconds / calls * 1e6, sent / calls


async def count_pings(usual_factor: float, calls: int) -> float:
    """Returns the Pings per call where each call is alone and takes 0.22 s."""
    node = Node(Way.SHARED)
    await node.listener.start()
    pings = 0
    send = connections.Connection.send

    def count(connection, envelope):
        nonlocal pings
        pings += envelope.body == messages.Ping()
        send(connection, envelope)

    with (
        unittest.mock.patch.object(connections.Connection, "send", count),
        unittest.mock.patch.object(silence, "USUAL_FACTOR", usual_factor),
    ):
        async with open_client(Way.SHARED) as client:
            for _ in range(calls):
                await client.send_request(
                    node.listener.address, make_call(1.0, 220), 5
                )
    await node.listener.close()
    return pings / calls


async def notice(way: Way, target: float) -> tuple[str, float]:
    """Returns how a lost call ended, and after how many seconds."""
    node = Node(way)
    await node.listener.start()
    async with open_client(way) as client:
        address = node.listener.address
        await client.send_request(address, make_call(target), 5)
        await asyncio.sleep(random.uniform(0, 0.3))
        (connection,) = node.listener.connections
        connection.transport.pause_reading()
        started_at = time.monotonic()
        try:
            await client.send_request(address, make_call(target), 5)
            end = "answered"
        except errors.CallRefusedError:
            end = "not run"
        except (errors.PeerError, TimeoutError):
            end = "unknown"
        seconds = time.monotonic() - started_at
        await node.listener.close()
    return end, seconds


def serve_slowly(way: Way, pipe, slowdown: int) -> None:
    """Runs a called node that is busy between two looks at its sockets."""

    async def run():
        node = Node(way)
        await node.listener.start()
        pipe.send(node.listener.address.port)
        # At its sixth speed it would take too long for the first connection.
        while not node.listener.connections:
            await asyncio.sleep(0.001)
        while True:
            time.sleep(SLOW_STEP_SECONDS * slowdown)
            await asyncio.sleep(0)

    asyncio.run(run())


async def count_alarms(way: Way, slowdown: int, freeze: bool, seconds: float):
    """Returns calls, connections replaced, and calls without an answer."""
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(
        target=serve_slowly, args=(way, sender, slowdown), daemon=True
    )
    process.start()
    address = options.Address("127.0.0.1", receiver.recv())
    made = failed = 0
    async with open_client(way) as client:
        end_at = time.monotonic() + seconds

        async def send_calls() -> None:
            nonlocal made, failed
            while time.monotonic() < end_at:
                made += 1
                try:
                    await client.send_request(address, make_call(0.5, 300), 5)
                except (errors.PeerError, TimeoutError):
                    failed += 1
                    await asyncio.sleep(0.05)

        senders = [asyncio.create_task(send_calls()) for _ in range(5)]
        while freeze and time.monotonic() < end_at - FREEZE_SECONDS:
            await asyncio.sleep(FREEZE_SECONDS)
            os.kill(process.pid, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_SECONDS)
            os.kill(process.pid, signal.SIGCONT)
        await asyncio.gather(*senders)
        replaced = client.resolver.replaced_count
    process.kill()
    process.join()
    return made, replaced, failed


def main() -> None:
    """Prints the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--trials", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=12.0)
    arguments = parser.parse_args()
    costs = {way: [] for way in Way}
    for _ in range(arguments.rounds):
        for way in Way:
            costs[way].append(asyncio.run(measure_cost(way, arguments.calls)))
    for way in Way:
        cpu = statistics.median(cost[0] for cost in costs[way])
        size = statistics.median(cost[1] for cost in costs[way])
        ratios = [
            own[0] / base[0]
            for own, base in zip(costs[way], costs[Way.FIXED], strict=True)
        ]
        ratio = statistics.median(ratios)
        print(f"{way.value}: {cpu:.1f} us, {size:.1f} B, ratio {ratio:.3f}")
    for factor in (0.0, silence.USUAL_FACTOR):
        pings = asyncio.run(count_pings(factor, 50))
        print(f"{factor:g} times the usual silence: {pings:.2f} Pings per call")
    for way in Way:
        for target in TARGET_SECONDS:
            results = [
                asyncio.run(notice(way, target))
                for _ in range(arguments.trials if way != Way.FIXED else 2)
            ]
            ends = sorted({end for end, _ in results})
            times = sorted(seconds for _, seconds in results)
            middle = statistics.median(times)
            print(
                f"{way.value}: target {target} s, {ends}"
                f" after {middle:.3f} s, at most {times[-1]:.3f} s"
            )
    for way in (Way.SHARED, Way.TIMERS):
        for slowdown, freeze in ((1, False), (SLOWDOWN, False), (1, True)):
            counts = asyncio.run(
                count_alarms(way, slowdown, freeze, arguments.seconds)
            )
            print(
                f"{way.value}: slowdown {slowdown}, frozen {freeze}:"
                f" calls, replaced, failed {counts}"
            )


if __name__ == "__main__":
    main()
