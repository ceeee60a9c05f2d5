"""What came of one arm in one scenario, and how it is written down."""

import collections
import collections.abc
import dataclasses

from bench import arms, backend, capacity, deployment, load, verdict
from mangobay.generated import messages

Calls = collections.abc.Sequence[load.Call]
IMPORTANT = messages.Importance.CRITICAL
HEADINGS = (
    "arm",
    "good",
    "of possible",
    "critical",
    "high",
    "normal",
    "runs/call",
    "most extra",
    "wasted",
    "back s",
    "critical back s",
    "p50 ms",
    "p99 ms",
    "busiest core",
    "late ms",
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of one arm.

    Attributes:
      arm: what was measured.
      plan: the deployment.
      calls: all calls.
      runs: what the backend servers ran.
      before: the phase before the trouble.
      trouble: the phase of the trouble.
      after: the phase after it.
      best: what the slots could serve in the trouble.
      busiest: processor share of the busiest process in the trouble.
      late: seconds that 99 of 100 calls started after they were due at most.
      cores: processor cores used by all processes in the trouble.
    """

    arm: arms.Arm
    plan: deployment.Deployment
    calls: Calls
    runs: list[backend.Run]
    before: verdict.Phase
    trouble: verdict.Phase
    after: verdict.Phase
    best: list[capacity.Demand]
    busiest: float = 0.0
    cores: float = 0.0
    late: float = 0.0

    def good(self, importance: messages.Importance | None = None) -> float:
        """Returns the share of good calls in the trouble."""
        return verdict.good_share(self.picked(self.trouble, importance))

    def picked(
        self, phase: verdict.Phase, importance: messages.Importance | None
    ) -> list[load.Call]:
        """Returns calls of a phase, of one importance or of all."""
        return [
            call
            for call in phase.calls(self.calls)
            if importance is None or call.importance == importance
        ]

    def back(self, importance: messages.Importance | None = None) -> str:
        """Returns the seconds from the trouble's end to 95% of before."""
        calls = [
            call
            for call in self.calls
            if importance is None or call.importance == importance
        ]
        before = verdict.good_share(self.picked(self.before, importance))
        seconds = verdict.recovery_seconds(
            calls, before, self.after.start, self.after.end
        )
        if seconds is None:
            return f"> {self.after.end - self.after.start:.0f}"
        return f"{seconds:.1f}"

    def extra_runs(self) -> list[int]:
        """Returns for each attempt in the trouble the runs above its tree."""
        counts = collections.Counter(
            (run.marker, run.work) for run in self.runs
        )
        extra = []
        for call in self.trouble.calls(self.calls):
            tree = collections.Counter(tree_of(self.plan, call.work))
            for attempt in call.attempts:
                extra.append(
                    sum(
                        max(0, counts[attempt.marker, work] - tree[work])
                        for work in tree
                    )
                )
        return extra

    def runs_per_call(self) -> float:
        """Returns runs in the trouble for each call from outside."""
        calls = self.trouble.calls(self.calls)
        markers = {
            attempt.marker for call in calls for attempt in call.attempts
        }
        runs = sum(run.marker in markers for run in self.runs)
        return runs / max(1, len(calls))

    def row(self) -> list[str]:
        """Returns the cells of the table."""
        histogram = load.histogram_of(self.trouble.calls(self.calls))
        importance = messages.Importance
        return [
            self.arm.name,
            f"{self.good():.1%}",
            f"{self.good() / capacity.share_of(self.best):.1%}",
            f"{self.good(importance.CRITICAL):.1%}",
            f"{self.good(importance.HIGH):.1%}",
            f"{self.good(importance.NORMAL):.1%}",
            f"{self.runs_per_call():.2f}",
            str(max(self.extra_runs(), default=0)),
            f"{self.wasted():.1%}",
            self.back(),
            self.back(IMPORTANT),
            f"{histogram.get_value_at_percentile(50) / 1000:.0f}",
            f"{histogram.get_value_at_percentile(99) / 1000:.0f}",
            f"{self.busiest:.0%}",
            f"{self.late * 1000:.0f}",
        ]

    def failures(self) -> list[str]:
        """Returns how attempts of the trouble failed, most often first."""
        counts = collections.Counter(
            f"{call.work} {attempt.status} {attempt.outcome or 'no answer'}"
            f" {attempt.why}"
            for call in self.trouble.calls(self.calls)
            for attempt in call.attempts
            if not attempt.whole
        )
        return [f"{count:5d} {name}" for name, count in counts.most_common()]

    def lost_seconds(self) -> list[str]:
        """Returns the slot seconds of failed attempts by operation."""
        lost = collections.Counter()
        counts = collections.Counter()
        served = verdict.served_markers(self.calls)
        for run in self.runs:
            if run.marker in served:
                continue
            name = f"{run.work} {'whole' if run.finished else 'cut'}"
            lost[name] += run.seconds
            counts[name] += 1
        return [
            f"{lost[name]:6.1f} s in {counts[name]} runs of {name}"
            for name in lost
        ]

    def wasted(self) -> float:
        """Returns the share of slot time spent on failed attempts."""
        return verdict.wasted_share(self.trouble.calls(self.calls), self.runs)


def tree_of(
    plan: deployment.Deployment, work: deployment.WorkId
) -> list[deployment.WorkId]:
    """Returns every run that one whole answer needs."""
    found = [work]
    for child in plan.works[work].calls:
        found += tree_of(plan, child)
    return found


def table(outcomes: list[Outcome]) -> list[str]:
    """Returns a Markdown table with one line an arm."""
    rule = ["---"] + ["--:"] * (len(HEADINGS) - 1)
    rows = [list(HEADINGS), rule, *(outcome.row() for outcome in outcomes)]
    return ["| " + " | ".join(row) + " |" for row in rows]


def possible(outcome: Outcome, loads: dict) -> list[str]:
    """Returns what the slots could serve, in words."""
    shares = collections.defaultdict(list)
    for each in outcome.best:
        shares[each.work.operation.importance].append(each)
    parts = [
        f"{importance.name.lower()} {capacity.share_of(shares[importance]):.0%}"
        for importance in sorted(shares, reverse=True)
    ]
    busy = [f"{service} {loads[service]:.2f}" for service in loads]
    return [
        f"The slots could serve {capacity.share_of(outcome.best):.1%}"
        f" ({', '.join(parts)}).",
        f"Slots asked for, in times of those there are: {', '.join(busy)}.",
    ]
