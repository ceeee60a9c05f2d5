"""Every check, with the promise that it looks after."""

import collections.abc
import typing

from bench.soak import (
    bounds,
    checks,
    history,
    statechecks,
    systemchecks,
    timechecks,
)


class Check(typing.NamedTuple):
    """One check.

    Attributes:
      promise: its line in docs/PROMISES.md.
      find: returns the breaks.
    """

    promise: str
    find: collections.abc.Callable[[checks.View], checks.Found]


CHECKS = (
    Check("At most once", checks.at_most_once),
    Check('"Not run" is true', checks.not_run_is_true),
    Check("The whole answer to its own request", checks.whole_answers),
    Check("UNASKED", checks.nothing_unasked),
    Check("A planned stop cuts nothing", checks.nothing_cut),
    Check("BUDGET", checks.time_handed_on),
    Check("Retries are bounded end to end", checks.retries_bounded),
    Check("DENIED", timechecks.nothing_denied),
    Check("CONFIG", timechecks.answered_in_time),
    Check("GONE", timechecks.work_is_freed),
    Check(
        "A leaving backend server gets no new work",
        timechecks.nothing_after_a_drain,
    ),
    Check("LIMIT", statechecks.announced_rates_are_kept),
    Check(
        "A request that ends backend servers ends few of them",
        statechecks.crashing_requests_are_held_back,
    ),
    Check("DRAIN", statechecks.nothing_after_leaving),
    Check("DRAIN", systemchecks.leaving_nodes_say_so),
    Check("Fault", systemchecks.processes_end_as_told),
    Check("Fault", systemchecks.memory_is_bounded),
    Check(
        "An accepted configuration is in force everywhere in seconds, and "
        "never reverts",
        systemchecks.configuration_is_kept,
    ),
    Check("CONFIG", systemchecks.configuration_is_not_old),
    Check("CONFIG", systemchecks.refused_changes_are_not_in_force),
    Check("CONFIG", systemchecks.invalid_changes_are_refused),
    Check("CONFIG", systemchecks.accepted_changes_stay_accepted),
    Check("CONFIG", systemchecks.content_is_as_sent),
    Check("CONFIG", systemchecks.routes_do_not_revert),
    Check("CONFIG", systemchecks.routes_are_in_force),
    Check("CONFIG", systemchecks.moved_routes_are_in_force),
    Check("RECOVER", systemchecks.requests_are_served_again),
)


def judge(
    seen: history.History, target: bounds.Bounds = bounds.TARGET
) -> list[checks.Break]:
    """Returns every break in a history, in the order of time."""
    view = checks.View(seen, target)
    found = [each for check in CHECKS for each in check.find(view)]
    return sorted(found, key=lambda each: each.at)
