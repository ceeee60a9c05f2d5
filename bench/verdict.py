"""Judges a run by what callers got and what backend servers ran."""

import collections
import collections.abc
import dataclasses

from bench import backend, deployment, load
from mangobay.generated import messages

WINDOW = 1.0
"""Seconds over which goodput is taken when recovery is looked for."""
STEP = 0.1
RECOVERED = 0.95
"""Share of the goodput before the trouble that counts as recovered."""

Calls = collections.abc.Sequence[load.Call]


@dataclasses.dataclass(slots=True)
class Phase:
    """A part of a run.

    Attributes:
      name: for the report.
      start: loop time.
      end: loop time.
    """

    name: str
    start: float
    end: float

    def calls(self, calls: Calls) -> list[load.Call]:
        """Returns the calls that were due in the phase."""
        return [call for call in calls if self.start <= call.due < self.end]


@dataclasses.dataclass(slots=True)
class Truth:
    """What must be empty after every run.

    Attributes:
      doubled: keys that ran more than once.
      false_not_run: attempts told `not_run` whose work ran.
      misled: calls whose key ran, while the caller heard `not_run` last and
        never an answer; each with what its attempts were told.
      foreign: attempts that got the answer of another request.
    """

    doubled: list[str]
    false_not_run: list[str]
    misled: list[str]
    foreign: list[str]


def good_share(calls: Calls) -> float:
    """Returns the share of calls whose whole answer came in time."""
    return sum(call.good for call in calls) / len(calls) if calls else 0.0


def by_importance(calls: Calls) -> dict[messages.Importance, list[load.Call]]:
    """Returns the calls by importance, the most important first."""
    groups: dict[messages.Importance, list[load.Call]] = {
        importance: [] for importance in sorted(messages.Importance)[::-1]
    }
    for call in calls:
        groups[call.importance].append(call)
    return {importance: group for importance, group in groups.items() if group}


def doubled_keys(
    plan: deployment.Deployment, runs: collections.abc.Iterable[backend.Run]
) -> list[str]:
    """Returns the keys of non-idempotent operations that ran repeatedly."""
    counts = collections.Counter(
        (run.work, run.key)
        for run in runs
        if run.key and not plan.works[run.work].operation.idempotent
    )
    return [f"{work} {key}" for (work, key), n in counts.items() if n > 1]


def truth_of(
    plan: deployment.Deployment, calls: Calls, runs: list[backend.Run]
) -> Truth:
    """Compares what callers were told with what ran."""
    ran = {(run.work, run.marker) for run in runs}
    false_not_run, misled, foreign = [], [], []
    for call in calls:
        mine = {(call.work, attempt.marker) for attempt in call.attempts}
        for attempt in call.attempts:
            if attempt.foreign:
                foreign.append(f"{call.work} {attempt.marker}")
            if attempt.outcome == load.NOT_RUN and (
                (call.work, attempt.marker) in ran
            ):
                false_not_run.append(f"{call.work} {attempt.marker}")
        operation = plan.works[call.work].operation
        told = [attempt.outcome for attempt in call.attempts]
        ended_not_run = told[-1] == load.NOT_RUN
        if operation.idempotent or not ended_not_run or not mine & ran:
            continue
        if load.ANSWERED not in told:
            misled.append(f"{call.work} {call.attempts[-1].marker} {told}")
    return Truth(doubled_keys(plan, runs), false_not_run, misled, foreign)


def recovery_seconds(calls: Calls, before: float, end: float, limit: float):
    """Returns the seconds from the trouble's end until goodput is back.

    Args:
      calls: every call of the run.
      before: share of good calls before the trouble.
      end: loop time at which its trigger ended.
      limit: loop time until which calls were made.

    Returns:
      Seconds to the start of the first window with enough goodput, or None.
    """
    start = end
    while start + WINDOW <= limit:
        window = Phase("", start, start + WINDOW).calls(calls)
        if window and good_share(window) >= RECOVERED * before:
            return start - end
        start += STEP
    return None


def wasted_share(calls: Calls, runs: list[backend.Run]) -> float:
    """Returns the share of backend server time spent on failed attempts."""
    served = served_markers(calls)
    known = {attempt.marker for call in calls for attempt in call.attempts}
    spent = [run for run in runs if run.marker in known]
    total = sum(run.seconds for run in spent)
    lost = sum(run.seconds for run in spent if run.marker not in served)
    return lost / total if total else 0.0


def served_markers(calls: Calls) -> set[str]:
    """Returns the markers of attempts that were answered in time.

    Of a resent key the answer may be that of an earlier attempt, so all
    attempts of an answered non-idempotent call count.
    """
    return {
        attempt.marker
        for call in calls
        if call.good
        for attempt in call.attempts
        if attempt.whole or call.keyed
    }
