"""Asking control hosts whether the quota of a workspace allows a request."""

import asyncio
import random

import pytest

from mangobay import errors, options, quotaclient
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

Outcome = messages.TokenOutcome
Verdict = quotaclient.Verdict
LEADER, SECOND, THIRD = (
    options.Address("127.0.0.1", port) for port in (1, 2, 3)
)


class FakeDirectory:
    """Three control hosts, the first of which leads."""

    current_address = LEADER
    addresses = (LEADER, SECOND, THIRD)


class FakeTransport:
    """Control hosts whose replies the test sets by address.

    A reply of None never comes; an exception is raised.
    """

    def __init__(self):
        self.replies = {}
        self.requests = []

    async def send_request(self, address, body, timeout):
        self.requests.append((address, body))
        reply = self.replies.get(address)
        if reply is None:
            await asyncio.sleep(timeout)
            raise TimeoutError
        await asyncio.sleep(0.006)
        if isinstance(reply, Exception):
            raise reply
        return reply

    @property
    def asked(self):
        return [address for address, _ in self.requests]


def reply(outcome, term=7, retry_after_ms=0):
    return messages.TokenReply(
        outcome=outcome, term=term, retry_after_ms=retry_after_ms
    )


class TestAsk:
    """Which control hosts are asked, and for how long."""

    def setup_method(self):
        self.transport = FakeTransport()
        self.client = quotaclient.QuotaClient(
            FakeDirectory(), self.transport, random.Random(3)
        )

    async def ask(self, max_wait=1.0):
        """Returns the decision, and the seconds that it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        decision = await self.client.ask("w", max_wait)
        return decision, loop.time() - started_at

    async def test_leader_decides_alone(self):
        self.transport.replies = {LEADER: reply(Outcome.GRANTED)}
        decision, _ = await self.ask()
        assert decision == quotaclient.Decision(Verdict.ALLOWED, term=7)
        assert self.transport.asked == [LEADER]

    async def test_denial_is_not_asked_again_elsewhere(self):
        """A workspace over its quota uses up the reserve for outages."""
        self.transport.replies = {
            LEADER: reply(Outcome.DENIED, retry_after_ms=250),
            SECOND: reply(Outcome.GRANTED),
        }
        decision, _ = await self.ask()
        assert decision.verdict is Verdict.DENIED
        assert decision.retry_after == 0.25
        assert self.transport.asked == [LEADER]

    async def test_reserve_of_another_host_replaces_a_dead_leader(self):
        """Requests are refused for a second after each loss of a leader."""
        self.transport.replies = {
            LEADER: errors.PeerUnreachableError("gone"),
            SECOND: reply(Outcome.GRANTED, term=0),
            THIRD: reply(Outcome.GRANTED, term=0),
        }
        decision, seconds = await self.ask()
        assert decision.verdict is Verdict.ALLOWED
        assert seconds < 0.05

    async def test_frozen_leader_delays_only_the_first_request(self):
        self.transport.replies = {
            SECOND: reply(Outcome.GRANTED, term=0),
            THIRD: reply(Outcome.GRANTED, term=0),
        }
        _, first = await self.ask()
        _, second = await self.ask()
        assert first > quotaclient.REPLY_TIMEOUT_SECONDS
        assert second < 0.05

    async def test_suspected_leader_is_asked_again(self):
        """It is asked last for ever, and the reserve runs out."""
        self.transport.replies = {SECOND: reply(Outcome.GRANTED, term=0)}
        self.transport.replies[THIRD] = self.transport.replies[SECOND]
        await self.ask()
        await asyncio.sleep(quotaclient.SUSPECT_SECONDS)
        self.transport.replies[LEADER] = reply(Outcome.GRANTED)
        decision, _ = await self.ask()
        assert decision.term == 7

    async def test_waits_for_the_next_leader(self):
        """An election refuses every caller, who comes back much later."""
        unavailable = reply(Outcome.UNAVAILABLE)
        self.transport.replies = dict.fromkeys(
            FakeDirectory.addresses, unavailable
        )
        asked = asyncio.create_task(self.ask())
        await asyncio.sleep(0.2)
        self.transport.replies[SECOND] = reply(Outcome.GRANTED)
        decision, seconds = await asked
        assert decision.verdict is Verdict.ALLOWED
        assert seconds < 0.3

    @pytest.mark.parametrize("max_wait", [0.05, 0.1, 60.0])
    async def test_wait_is_bounded(self, max_wait):
        decision, seconds = await self.ask(max_wait)
        assert decision.verdict is Verdict.UNKNOWN
        assert decision.retry_after > 0
        bound = min(max_wait, quotaclient.MAX_WAIT_SECONDS)
        assert seconds <= bound + quotaclient.REPLY_TIMEOUT_SECONDS


class TestUnusedTokens:
    """Tokens of requests that did not run."""

    def setup_method(self):
        self.transport = FakeTransport()
        self.transport.replies = {LEADER: reply(Outcome.GRANTED)}
        self.client = quotaclient.QuotaClient(
            FakeDirectory(), self.transport, random.Random(3)
        )

    async def unused_of_next_request(self):
        await self.client.ask("w", 1.0)
        body = self.transport.requests[-1][1]
        return body.term, {each.workspace: each.count for each in body.unused}

    async def test_they_go_back_with_the_next_request(self):
        decision = quotaclient.Decision(Verdict.ALLOWED, term=7)
        for name in ("w", "w", "v"):
            self.client.give_back(name, decision)
        assert await self.unused_of_next_request() == (7, {"w": 2, "v": 1})

    async def test_they_go_back_once(self):
        """A token that is given back twice is granted twice."""
        self.client.give_back("w", quotaclient.Decision(Verdict.ALLOWED, 7))
        self.transport.replies = {}
        await self.client.ask("w", 0.1)
        self.transport.replies = {LEADER: reply(Outcome.GRANTED)}
        assert (await self.unused_of_next_request())[1] == {}

    async def test_tokens_of_a_former_leader_are_dropped(self):
        self.client.give_back("w", quotaclient.Decision(Verdict.ALLOWED, 7))
        self.client.give_back("v", quotaclient.Decision(Verdict.ALLOWED, 8))
        assert await self.unused_of_next_request() == (8, {"v": 1})

    async def test_tokens_of_a_reserve_stay_used(self):
        """A reserve has no bucket to which a token could return."""
        self.client.give_back("w", quotaclient.Decision(Verdict.ALLOWED))
        assert (await self.unused_of_next_request())[1] == {}
