"""Callers of the model: an open loop; refused ones come back."""

import asyncio
import random

from bench.fleet import deployments, earnings, world

CLIENT_DELAY = 0.008
"""Seconds one way between a caller and its node."""
PAUSE = 0.1
"""Seconds before a caller comes back that was told no time."""
WAIT_SHARE = 1 / 3
"""Of the time left, the longest that callers wait when asked to come back."""


class Callers:
    """Sends the load of a day and counts what comes of it."""

    def __init__(self, day: deployments.Day, nodes: world.World, seed: int):
        self.day = day
        self.world = nodes
        self.dice = random.Random(f"{seed} callers")
        self.earnings = earnings.Earnings()
        self.began = 0.0
        self.number = 0

    async def run(self) -> None:
        """Sends every kind of request, and waits for the last answers."""
        self.began = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for kind in self.day.kinds:
                if kind.rate:
                    group.create_task(self.send(kind))

    async def send(self, kind: deployments.Kind) -> None:
        """Sends one kind of request while the day lasts."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while True:
                now = loop.time() - self.began
                if now >= self.day.seconds:
                    return
                rate = kind.rate * self.day.load
                for burst in self.day.active(deployments.Trouble.BURST, now):
                    rate *= burst.strength
                await asyncio.sleep(self.dice.expovariate(rate))
                group.create_task(self.request(kind))

    async def request(self, kind: deployments.Kind) -> None:
        """One request, with its returns."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        end = sent + kind.deadline
        node = self.dice.choice(self.world.nodes)
        for number in range(1 + kind.retries):
            self.number += 1
            try:
                async with asyncio.timeout_at(end):
                    await asyncio.sleep(CLIENT_DELAY)
                    answer = await node.ask(
                        kind, f"a{self.number}", end - loop.time()
                    )
                    await asyncio.sleep(CLIENT_DELAY)
            except TimeoutError:
                status = 0
                break
            status = answer.status
            if status == 200:
                break
            if status != 503 and not kind.idempotent:
                break
            if number < kind.retries:
                await asyncio.sleep(self.pause(answer, end - loop.time()))
        self.count(kind, sent, status, number > 0)

    def pause(self, answer, left: float) -> float:
        """Returns the seconds after which a caller comes back."""
        for header in answer.headers:
            if header.name == "Retry-After" and answer.status == 503:
                return min(float(header.value), left * WAIT_SHARE)
        return min(PAUSE * self.dice.uniform(0.5, 1.5), left * WAIT_SHARE)

    def count(self, kind, sent: float, status: int, again: bool) -> None:
        """Counts a request that ended."""
        at = sent - self.began
        if status != 200:
            self.earnings.failed(kind, status, again)
            self.earnings.add(kind, at, 0.0)
            return
        took = asyncio.get_running_loop().time() - sent
        worth = kind.worth if took <= kind.target else kind.late
        self.earnings.add(kind, at, worth)
