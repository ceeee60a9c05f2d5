"""Whole deployments on virtual time: what callers get under load."""

import asyncio
import dataclasses

import pytest

from bench.fleet import days, deployments, play, virtual, world

CALM_SECONDS = 4.0
STABLE_SECONDS = 3.0
"""Seconds after the first announcement in which a limit may be exceeded."""
WINDOW_SECONDS = 4.0
"""Seconds in which the requests at an announced limit are counted."""


class TestModel:
    """The model itself."""

    @pytest.mark.parametrize("name", ["crews-slow", "crews-burst"])
    def test_the_same_seed_plays_the_same_day(self, short, name):
        """Under load, who is refused hangs on the names of call trees."""
        day = short(name, 4.0)
        first, second = (play.play_day(day, 5) for _ in range(2))
        assert first.runs == second.runs
        assert first.worth == second.worth

    def test_a_calm_day_is_served(self, short):
        played = play.play_day(short("crews-calm", CALM_SECONDS), 1)
        assert played.earned.served > 0.999
        assert played.earned.total.share > 0.98

    def test_a_clock_that_nothing_moves_is_an_error(self):
        async def wait():
            await asyncio.Event().wait()

        with pytest.raises(RuntimeError, match="waits"):
            virtual.run(wait())


class TestOverload:
    """More is asked of the deepest service than it can answer."""

    def test_those_who_need_it_least_urgently_pay(self, short):
        """Load rises to what the last service of a chain just cannot serve.

        Four calls in a row go there for nearly every request.  Refused in the
        middle, their callers fail after all the work above was done; so most
        requests must still be served, and urgent ones nearly all.
        """
        played = play.play_day(short("crews-burst", 10.0), 2)
        earned = played.earned
        assert earned.kinds["placement"].share > 0.97
        assert earned.total.share > 0.85

    def test_refusals_without_load_are_tried_elsewhere(self, short):
        """Every backend server of the deepest service refuses half its calls.

        It is not full: to let fewer requests in would serve nobody better.
        What can be tried again is, the urgent ones first, and callers are
        told at once what failed and not refused twice.
        """
        day = short("crews-grey", 14.0)
        played = play.play_day(day, 2)
        kinds = played.earned.kinds
        assert kinds["placement"].share > kinds["availability"].share - 0.05
        assert played.earned.refused_again < 0.05
        retries = arrivals(played, day) - asked(played, day)
        assert retries < 0.2 * asked(played, day)


class TestAnnouncedLimits:
    """Backend servers announce the requests per second that they take."""

    def test_limits_are_kept_and_callers_go_elsewhere(self, short):
        """Callers of a limited server are refused while others have room."""
        day = short("shops-limited", 10.0)
        played = play.play_day(day, 2)
        assert played.earned.served > 0.99
        for event in day.events:
            times = [
                at
                for at in played.arrived_at[event.service, 0]
                if at >= event.at + STABLE_SECONDS
            ]
            most = max(
                sum(start <= at < start + WINDOW_SECONDS for at in times)
                for start in times
            )
            assert most <= 1.5 * event.strength * WINDOW_SECONDS + 5


def arrivals(played: play.Played, day: deployments.Day) -> int:
    """Returns the requests that reached the deepest service."""
    return sum(played.arrivals[kind] for kind in deepest(day))


def asked(played: play.Played, day: deployments.Day) -> int:
    """Returns the requests that somebody made of the deepest service."""
    return sum(played.asked[kind] for kind in deepest(day))


def deepest(day: deployments.Day) -> list[str]:
    """Returns the kinds that the last service answers."""
    last = day.services[-1].name
    return [kind.name for kind in day.kinds if kind.service == last]


@pytest.fixture
def short():
    """Returns the first seconds of a day."""

    def make(name, seconds):
        return dataclasses.replace(days.DAYS[name], seconds=seconds)

    return make


class TestSettings:
    """Settings of the nodes of a day."""

    def test_changes_reach_every_node(self):
        async def made():
            changes = {"admission": {"policy": "fixed"}}
            return world.World(days.DAYS["crews-calm"], 1, changes)

        nodes = virtual.run(made()).nodes
        policies = {
            node.local_services.make_admission().settings.policy
            for node in nodes
        }
        assert policies == {"fixed"}
