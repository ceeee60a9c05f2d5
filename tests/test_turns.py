"""The order in which requests sent ahead are started."""

import asyncio

from mangobay import turns


class Caller:
    """Has some requests; records when each starts."""

    def __init__(self, name, count, started):
        self.name = name
        self.count = count
        self.started = started

    def take_turn(self):
        self.started.append(self.name)
        self.count -= 1
        return self.count > 0


class TestTurns:
    """Connections with requests that wait."""

    async def test_connections_take_turns(self):
        """Guards against a caller whose thousands of requests go first."""
        started = []
        waiting = turns.Turns()
        waiting.add(Caller("many", 1000, started))
        for name in ("a", "b"):
            waiting.add(Caller(name, 2, started))
        await asyncio.sleep(0)
        assert started == ["many", "a", "b"]
        await asyncio.sleep(0)
        assert started[:6] == ["many", "a", "b", "many", "a", "b"]

    async def test_few_start_in_one_iteration(self):
        """Guards against an event loop that stands still beside a crowd."""
        started = []
        waiting = turns.Turns()
        for number in range(100):
            waiting.add(Caller(number, 1, started))
        await asyncio.sleep(0)
        assert started == list(range(turns.REQUESTS_PER_ITERATION))
        while waiting.waiting:
            await asyncio.sleep(0)
        assert started == list(range(100))

    async def test_connection_that_has_ended_takes_no_turn(self):
        """Guards against starting requests of a caller that has left."""
        started = []
        waiting = turns.Turns()
        callers = [Caller(name, 1, started) for name in ("a", "b")]
        for caller in callers:
            waiting.add(caller)
        waiting.discard(callers[0])
        await asyncio.sleep(0)
        assert started == ["b"]
