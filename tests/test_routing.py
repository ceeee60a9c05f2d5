"""The choice of a host."""

import collections
import random

import decisionfakes as fakes
import pytest

from mangobay import ids, routing
from mangobay.generated import messages

NORMAL = messages.Importance.NORMAL


def make_router(*members: messages.Member, **changes) -> routing.Router:
    """Returns a router of a node in Lima that knows these hosts."""
    router = routing.Router(
        fakes.section("routing", **changes),
        fakes.section("admission"),
        fakes.HOME,
        random.Random(fakes.SEED),
    )
    router.update(fakes.view(1, *members))
    return router


def pick(router: routing.Router, **options) -> ids.HostId:
    """Picks a host for a normal call."""
    return router.pick(fakes.QUOTES, set(), NORMAL, 1, **options).host


def answer(router: routing.Router, host: ids.HostId, seen) -> None:
    """Sends a call to the host and ends it with this observation."""
    router.began(fakes.QUOTES, host)
    router.ended(fakes.QUOTES, host, seen)


def refusing(threshold: int) -> routing.Observation:
    """Returns a refusal with this threshold."""
    return routing.Observation(
        outcome=messages.Outcome.NOT_RUN,
        reason=messages.Reason.OVERLOADED,
        threshold=threshold,
    )


@pytest.mark.looptime
class TestPick:
    """Which host a call goes to."""

    async def test_own_data_centre_first(self):
        router = make_router(fakes.member("a"), fakes.member("b", fakes.AWAY))
        assert {pick(router) for _ in range(50)} == {"a"}

    async def test_spills_over_when_the_near_host_refuses(self):
        router = make_router(fakes.member("a"), fakes.member("b", fakes.AWAY))
        answer(router, ids.HostId("a"), refusing(2 * 256))
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_outstanding_calls_spread(self):
        router = make_router(
            fakes.member("a"), fakes.member("b"), fakes.member("c")
        )
        sent = collections.Counter()
        for _ in range(90):
            host = pick(router)
            router.began(fakes.QUOTES, host)
            sent[host] += 1
        assert max(sent.values()) - min(sent.values()) <= 6

    async def test_a_leaving_host_gets_nothing(self):
        """The host says on a reply that it is leaving; the view lags.

        Calls sent there in the meantime would only be refused, so its own
        word counts at once.
        """
        router = make_router(fakes.member("a"), fakes.member("b"))
        leaving = routing.Observation(
            outcome=messages.Outcome.NOT_RUN, reason=messages.Reason.LEAVING
        )
        answer(router, ids.HostId("a"), leaving)
        assert {pick(router) for _ in range(50)} == {"b"}

    async def test_nobody_left(self):
        router = make_router(fakes.member("a"))
        with pytest.raises(routing.NoHostError):
            router.pick(fakes.QUOTES, {ids.HostId("a")}, NORMAL, 1)


@pytest.mark.looptime
class TestEarlyRefusal:
    """Refusing at the first node what a deeper hop refuses."""

    async def test_refuses_then_sees_the_threshold_fall(self):
        """Every host says that it admits only important calls.

        Callers get refusals at once, but for a few calls that go on.  Once
        such a call is admitted, its reply opens the way for the others.
        """
        router = make_router(fakes.member("a"))
        host = ids.HostId("a")
        answer(router, host, refusing(3 * 256))
        refused = 0
        for _ in range(300):
            try:
                pick(router)
            except routing.EarlyRefusalError as error:
                assert error.retry_after > 0
                refused += 1
        assert 270 <= refused < 300
        answer(router, host, fakes.ANSWERED)
        assert pick(router) == host

    async def test_critical_is_never_refused_early(self):
        router = make_router(fakes.member("a"))
        answer(router, ids.HostId("a"), refusing(3 * 256))
        for _ in range(50):
            router.pick(fakes.QUOTES, set(), messages.Importance.CRITICAL, 1)
