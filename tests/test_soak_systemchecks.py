"""What the checks of processes and of the configuration find."""

import pytest
import soakfakes

from bench.soak import checks, dialect, history, operators, systemchecks

Action = history.Action


def found(check, **lists):
    """Returns what a check finds in a history."""
    return list(check(checks.View(soakfakes.seen(**lists))))


class TestProcesses:
    """`systemchecks.processes_end_as_told`."""

    @pytest.mark.parametrize(
        "events",
        [
            [(1, Action.START, ""), (5, Action.EXIT, "-11")],
            [(1, Action.START, ""), (5, Action.HUP, "")]
            + [(5.1, Action.EXIT, "-1")],
            [(5, Action.TERM, ""), (6, Action.EXIT, "1")],
            [(5, Action.TERM, ""), (11, Action.KILL_LATE, "")],
            [(5, Action.TERM, ""), (6, Action.EXIT, "-9")],
            [(5, Action.KILL, ""), (6, Action.START, "")]
            + [(7, Action.TERM, ""), (8, Action.EXIT, "-9")],
        ],
    )
    def test_an_end_that_is_not_as_told_is_found(self, events):
        made = [
            soakfakes.event(at, action, detail=detail)
            for at, action, detail in events
        ]
        assert found(systemchecks.processes_end_as_told, events=made)

    @pytest.mark.parametrize(
        "events",
        [
            [(5, Action.TERM, ""), (6, Action.EXIT, "0")],
            [(5, Action.TERM, ""), (10.1, Action.EXIT, "1")],
            [(5, Action.KILL, ""), (5.1, Action.EXIT, "-9")],
            [(5, Action.TERM, ""), (6, Action.FREEZE, "")]
            + [(11, Action.KILL_LATE, ""), (11.1, Action.EXIT, "-9")],
        ],
    )
    def test_an_end_as_told_is_none(self, events):
        made = [
            soakfakes.event(at, action, detail=detail)
            for at, action, detail in events
        ]
        assert not found(systemchecks.processes_end_as_told, events=made)


class TestMemory:
    """`systemchecks.memory_is_bounded`."""

    @pytest.mark.parametrize(
        ("peak", "count"), [(2 * 10**8, 0), (2 * 10**8 + 1, 1)]
    )
    def test_more_than_the_bound_is_found(self, peak, count):
        breaks = found(systemchecks.memory_is_bounded, peaks={"node-1": peak})
        assert len(breaks) == count


class TestConfiguration:
    """The checks of the configuration."""

    CHANGES = (soakfakes.change(1, 0), soakfakes.change(2, 1, at=101.0))

    @pytest.mark.parametrize(("version", "count"), [(0, 1), (1, 1), (2, 0)])
    def test_a_lost_one_is_found_at_the_end(self, version, count):
        breaks = found(
            systemchecks.configuration_is_kept,
            changes=list(self.CHANGES),
            readings=[soakfakes.reading(version, 120.0, last=True)],
        )
        assert len(breaks) == count

    @pytest.mark.parametrize(
        ("version", "at", "count"),
        [(1, 104.0, 1), (1, 102.0, 0), (2, 104.0, 0), (0, 104.0, 0)],
    )
    def test_an_old_one_is_found(self, version, at, count):
        breaks = found(
            systemchecks.configuration_is_not_old,
            changes=list(self.CHANGES),
            readings=[soakfakes.reading(version, at)],
        )
        assert len(breaks) == count

    def test_a_refused_one_in_force_is_found(self):
        refused = soakfakes.change(3, 1, at=102.0, status=412)
        check = systemchecks.refused_changes_are_not_in_force
        changes = [*self.CHANGES, refused]
        readings = [soakfakes.reading(3, 103.0)]
        assert found(check, changes=changes, readings=readings)
        readings = [soakfakes.reading(2, 103.0)]
        assert not found(check, changes=changes, readings=readings)

    def test_two_winners_of_a_race_are_found(self):
        check = systemchecks.refused_changes_are_not_in_force
        changes = [*self.CHANGES, soakfakes.change(3, 1, at=101.0)]
        assert found(check, changes=changes)
        again = [*self.CHANGES, self.CHANGES[1]]
        assert not found(check, changes=again)

    @pytest.mark.parametrize(
        ("version", "at", "status", "count"),
        [
            (1, 104.0, 200, 1),
            (2, 104.0, 404, 1),
            (1, 104.0, 404, 0),
            (2, 104.0, 200, 0),
            (1, 102.0, 200, 0),
            (2, 104.0, 503, 0),
        ],
    )
    def test_a_node_that_goes_by_an_old_one_is_found(
        self, version, at, status, count
    ):
        breaks = found(
            systemchecks.routes_are_in_force,
            changes=list(self.CHANGES),
            probes=[soakfakes.probe(version, at, status)],
        )
        assert len(breaks) == count


class TestOrders:
    """Configurations that are invalid, sent again, or rivals of a number."""

    @pytest.mark.parametrize(("status", "count"), [(200, 1), (400, 0), (0, 0)])
    def test_an_accepted_invalid_one_is_found(self, status, count):
        """A control host puts an invalid configuration in force."""
        flaw = dialect.Flaw.NO_TIMEOUT
        changes = [soakfakes.change(2, 1, status=status, flaw=flaw)]
        check = systemchecks.invalid_changes_are_refused
        assert len(found(check, changes=changes)) == count

    @pytest.mark.parametrize(
        ("content", "status", "count"),
        [("a", 412, 1), ("a", 0, 0), ("a", 200, 0), ("b", 412, 0)],
    )
    def test_a_refused_repetition_is_found(self, content, status, count):
        """An acknowledged change is refused when it is sent again."""
        changes = [
            soakfakes.change(2, 1, at=100, content="a"),
            soakfakes.change(2, 1, at=105, status=status, content=content),
        ]
        check = systemchecks.accepted_changes_stay_accepted
        assert len(found(check, changes=changes)) == count

    @pytest.mark.parametrize(("content", "count"), [("a", 0), ("b", 1)])
    def test_other_content_under_a_number_is_found(self, content, count):
        """The loser of a race is read back under the winner's number."""
        changes = [
            soakfakes.change(2, 1, content="a"),
            soakfakes.change(2, 1, status=412, content="b"),
        ]
        readings = [soakfakes.reading(2, 105, content=content)]
        for check in (
            systemchecks.content_is_as_sent,
            systemchecks.refused_changes_are_not_in_force,
        ):
            breaks = found(check, changes=changes, readings=readings)
            assert len(breaks) == count

    @pytest.mark.parametrize(
        ("version", "at", "started", "count"),
        [(2, 102, 0, 1), (2, 100.2, 0, 0), (3, 102, 0, 0), (2, 102, 101, 0)],
    )
    def test_a_node_that_goes_back_is_found(self, version, at, started, count):
        """A process refuses a route that it has served."""
        probes = [
            soakfakes.probe(2, 100, 200),
            soakfakes.probe(version, at, 404, kept=True),
        ]
        events = [soakfakes.event(started, Action.START)]
        check = systemchecks.routes_do_not_revert
        assert len(found(check, probes=probes, events=events)) == count


class TestMovedRoutes:
    """`systemchecks.moved_routes_are_in_force`."""

    @pytest.mark.parametrize(
        ("version", "at", "count"), [(1, 105, 1), (1, 101, 0), (2, 105, 0)]
    )
    def test_a_run_by_the_former_service_is_found(self, version, at, count):
        """A node that gets no news sends requests to the former service."""
        probe = soakfakes.probe(2, at, 200, moved=True)
        run = soakfakes.arrival(
            probe.attempt, service=operators.moved_service(version)
        )
        changes = [
            soakfakes.change(1, 0, at=90),
            soakfakes.change(2, 1, at=100),
        ]
        breaks = found(
            systemchecks.moved_routes_are_in_force,
            changes=changes,
            probes=[probe],
            arrivals=[run],
        )
        assert len(breaks) == count


class TestDisturbedGroup:
    """`systemchecks.routes_are_in_force` while control hosts are away."""

    CHANGES = (soakfakes.change(1, 0), soakfakes.change(2, 1, at=101.0))
    CONTROLS = tuple(f"control-{number}" for number in range(1, 4))

    def breaks(self, at, *events, kept=True):
        """Returns what is found of a refusal of the newest route."""
        made = soakfakes.seen(
            changes=list(self.CHANGES),
            probes=[soakfakes.probe(2, at, 404, kept=kept)],
            events=[
                soakfakes.event(each_at, action, host=host)
                for each_at, action, host in events
            ],
        )
        made.services |= dict.fromkeys(self.CONTROLS, "")
        check = systemchecks.routes_are_in_force
        return list(check(checks.View(made)))

    @pytest.mark.parametrize("action", [Action.FREEZE, Action.CUT])
    def test_a_minority_that_is_away_excuses_nothing(self, action):
        """Guards against a check that looks away while a host is frozen."""
        frozen = (100.5, action, "control-1")
        assert not self.breaks(103.4, frozen)
        assert self.breaks(103.6, frozen)

    @pytest.mark.parametrize("action", [Action.KILL, Action.CUT])
    def test_a_majority_that_is_away_excuses_everything(self, action):
        events = [
            (100.0 + number, action, host)
            for number, host in enumerate(self.CONTROLS[:2])
        ]
        assert not self.breaks(120.0, *events)

    @pytest.mark.parametrize(
        "pair", [(Action.FREEZE, Action.THAW), (Action.CUT, Action.HEAL)]
    )
    def test_a_minority_disturbed_in_series_stretches_the_bound(self, pair):
        """Guards against series of faults in which a node is never judged."""
        events = [
            (100.0 + number, action, "control-1")
            for number, action in enumerate(pair * 6)
        ]
        assert not self.breaks(108.0, *events)
        assert self.breaks(108.2, *events)

    def test_a_later_version_excuses_no_refusal_of_a_kept_route(self):
        later = soakfakes.change(3, 2, at=103.0, status=0)
        made = soakfakes.seen(
            changes=[*self.CHANGES, later],
            probes=[soakfakes.probe(2, 104.0, 404, kept=True)],
        )
        check = systemchecks.routes_are_in_force
        assert list(check(checks.View(made)))

    def test_signals_that_stop_nothing_are_no_disturbance(self):
        assert self.breaks(104.0, (103.0, Action.HUP, "control-1"))


class TestReadiness:
    """`systemchecks.leaving_nodes_say_so`."""

    @pytest.mark.parametrize(
        ("at", "started", "count"),
        [(104.5, False, 1), (103.5, False, 0), (104.5, True, 0)],
    )
    def test_a_stopping_node_that_says_ready_is_found(self, at, started, count):
        events = [soakfakes.event(100.0, Action.TERM)]
        if started:
            events.append(soakfakes.event(104.0, Action.START))
        asked = history.Readiness(host=soakfakes.NODE, sent=at, ready=True)
        check = systemchecks.leaving_nodes_say_so
        breaks = found(check, events=events, readiness=[asked])
        assert len(breaks) == count


class TestRecovery:
    """`systemchecks.requests_are_served_again`."""

    def breaks(self, requests):
        """Returns what is found of requests long after the last fault."""
        made = soakfakes.seen(requests=requests)
        made.calm = 50.0
        check = systemchecks.requests_are_served_again
        return list(check(checks.View(made)))

    def test_requests_that_are_refused_for_ever_are_found(self):
        assert self.breaks([soakfakes.refused(str(n)) for n in range(9)])

    def test_no_request_at_all_is_found(self):
        assert self.breaks([])

    def test_served_requests_are_none(self):
        assert not self.breaks([soakfakes.request()])
