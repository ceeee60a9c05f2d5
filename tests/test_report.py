"""Tests of the outcome log of nodes, and of `mangobay report`."""

import asyncio
import json

import eliot
import nodes
import pytest
from aiohttp import web

from mangobay import (
    calls,
    cmdline,
    errors,
    filecommands,
    outcomelog,
    report,
)
from mangobay.generated import messages

Reason = messages.Reason
OPERATION = messages.Operation(
    service="stock", name="book", importance=messages.Importance.CRITICAL
)
ANSWERED = messages.Reply(outcome=messages.Outcome.ANSWERED)
OVERLOADED = calls.not_run_reply(Reason.OVERLOADED)
CONNECTION_BROKEN = calls.unknown_reply(Reason.CONNECTION_BROKEN)
MINUTE_MS = 60_000


class FakeClock:
    """A wall clock that the test sets."""

    def __init__(self):
        self.now_ms = 0

    def __call__(self) -> int:
        return self.now_ms


def discard(message: dict) -> None:
    """Discards a log line."""


@pytest.fixture
def log_path(tmp_path):
    """Writes log lines to a file, as a node does.

    eliot buffers lines until the first destination is added and sends them to
    it, so that a destination which discards the lines of other tests is added
    first.
    """
    eliot.add_destinations(discard)
    eliot.remove_destination(discard)
    path = tmp_path / "node.log"
    with path.open("w") as file:
        destination = eliot.FileDestination(file=file)
        eliot.add_destinations(destination)
        yield path
        eliot.remove_destination(destination)


def record_calls(
    outcome_log: outcomelog.OutcomeLog, *replies: messages.Reply
) -> None:
    for reply in replies:
        outcome_log.record_call(OPERATION, OPERATION.importance, True, reply)


class TestOutcomeLog:
    """Log lines of intervals."""

    @pytest.mark.looptime
    async def test_each_call_is_counted_in_one_interval(self, log_path):
        clock = FakeClock()
        outcome_log = outcomelog.OutcomeLog("n1", clock)
        task = asyncio.create_task(outcome_log.run())
        await asyncio.sleep(1)
        record_calls(outcome_log, ANSWERED, ANSWERED, OVERLOADED)
        clock.now_ms = MINUTE_MS
        await asyncio.sleep(outcomelog.INTERVAL_SECONDS)
        clock.now_ms = 2 * MINUTE_MS
        await asyncio.sleep(outcomelog.INTERVAL_SECONDS)
        task.cancel()
        opening, first, second = report.read_logs([str(log_path)]).intervals
        assert opening.since_ms == opening.until_ms == 0
        assert [item.count for item in first.calls] == [2, 1]
        assert (first.until_ms, second.since_ms) == (MINUTE_MS, MINUTE_MS)
        assert second.calls == () and not second.is_final

    def test_a_clock_set_back_gives_no_negative_interval(self, log_path):
        clock = FakeClock()
        clock.now_ms = MINUTE_MS
        outcome_log = outcomelog.OutcomeLog("n1", clock)
        clock.now_ms = 0
        outcome_log.log_interval()
        (interval,) = report.read_logs([str(log_path)]).intervals
        assert interval.since_ms == interval.until_ms == MINUTE_MS


class TestNode:
    """The outcome log of a whole node."""

    async def test_an_abandoned_call_counts_as_unknown(self, tmp_path):
        """A caller disconnects while its booking runs.

        The booking may have run, so the call counts as unknown; a call
        without a count would be missing in the report.
        """
        release = asyncio.Event()

        async def book(request):
            await release.wait()
            return web.Response()

        async with nodes.node_cluster(tmp_path) as cluster:
            node = await cluster.start("one", book)
            request_task = asyncio.create_task(
                cluster.send_outside(node, "POST", "/stock/book")
            )
            await nodes.wait_until(lambda: node.backend_server.requests)
            request_task.cancel()
            await nodes.wait_until(lambda: node.outcome_log.counts)
            release.set()
            ((kind, count),) = node.outcome_log.counts.items()
        assert (kind.operation, kind.outside, count) == ("book", True, 1)
        assert kind.outcome is messages.Outcome.UNKNOWN
        assert kind.reason is Reason.CANCELLED


class TestReport:
    """Totals of a period, and its gaps."""

    def test_a_killed_node_leaves_a_reported_gap(self, log_path):
        """Node n1 is killed between two log lines and starts again later.

        The calls that it accepted after its last line were never logged, so
        the report has a gap from this line to the next start.  Node n2 shut
        down cleanly and has no gap.
        """
        clock = FakeClock()
        n1, n2 = (
            outcomelog.OutcomeLog("n1", clock),
            outcomelog.OutcomeLog("n2", clock),
        )
        clock.now_ms = MINUTE_MS
        record_calls(n1, ANSWERED, CONNECTION_BROKEN)
        n1.log_interval()
        n2.log_interval(is_final=True)
        clock.now_ms = 2 * MINUTE_MS
        restarted = outcomelog.OutcomeLog("n1", clock)
        clock.now_ms = 3 * MINUTE_MS
        record_calls(restarted, OVERLOADED)
        restarted.log_interval(is_final=True)
        parsed_logs = report.read_logs([str(log_path), str(log_path)])
        summary = report.summarize(parsed_logs, 0, 10 * MINUTE_MS)
        assert summary.gaps == [report.Gap("n1", MINUTE_MS, 2 * MINUTE_MS)]
        (total,) = summary.totals.values()
        assert total.outcomes == {"answered": 1, "unknown": 1, "not_run": 1}
        assert (total.first_ms, total.last_ms) == (0, 3 * MINUTE_MS)

    def test_only_the_period_is_counted(self, log_path):
        clock = FakeClock()
        outcome_log = outcomelog.OutcomeLog("n1", clock)
        for minute in (1, 2, 3):
            record_calls(outcome_log, OVERLOADED)
            clock.now_ms = minute * MINUTE_MS
            outcome_log.log_interval()
        parsed_logs = report.read_logs([str(log_path)])
        summary = report.summarize(parsed_logs, MINUTE_MS, 2 * MINUTE_MS)
        assert (summary.since_ms, summary.until_ms) == (
            MINUTE_MS,
            2 * MINUTE_MS,
        )
        assert [
            total.outcomes["not_run"] for total in summary.totals.values()
        ] == [1]
        with pytest.raises(errors.NoRecordsError):
            report.summarize(parsed_logs, 9 * MINUTE_MS, 10 * MINUTE_MS)

    def test_the_command_prints_the_report(self, log_path, capsys):
        clock = FakeClock()
        outcome_log = outcomelog.OutcomeLog("n1", clock)
        record_calls(outcome_log, ANSWERED, CONNECTION_BROKEN)
        clock.now_ms = MINUTE_MS
        outcome_log.log_interval()
        with log_path.open("a") as file:
            file.write('{"message_type": "call: calls of an')
        assert cmdline.main(["report", str(log_path)]) == 0
        output = capsys.readouterr().out
        assert "stock.book  unknown: connection_broken  1" in output
        assert "1 lines could not be read" in output
        assert cmdline.main(["--json", "report", str(log_path)]) == 0
        (total,) = json.loads(capsys.readouterr().out)["totals"]
        assert total["outcomes"] == {"answered": 1, "unknown": 1}
        assert cmdline.main(["report", "nowhere.log"]) == 1
        assert "nowhere.log: No such file" in capsys.readouterr().err


class TestWorkspaces:
    """Which workspaces an outage has hit."""

    def test_workspaces_with_unanswered_calls_are_listed(self, log_path):
        clock = FakeClock()
        outcome_log = outcomelog.OutcomeLog("n1", clock)
        for workspace, outside, replies in (
            ("hit", True, (ANSWERED, OVERLOADED, CONNECTION_BROKEN)),
            ("spared", True, (ANSWERED,)),
            ("spared", False, (OVERLOADED,)),
        ):
            for reply in replies:
                outcome_log.record_call(
                    OPERATION, OPERATION.importance, outside, reply, workspace
                )
        clock.now_ms = MINUTE_MS
        outcome_log.log_interval()
        parsed = report.read_logs([str(log_path)])
        summary = report.summarize(parsed, 0, MINUTE_MS)
        lines = filecommands.format_report(summary)
        assert "workspaces with calls that were not answered, 1 of 2" in lines
        [line] = [line for line in lines if line.startswith("hit ")]
        assert line.split()[1:4] == ["1", "1", "1"]
        assert not any(line.startswith("spared ") for line in lines)
        encoded = filecommands.encode_report(summary)["workspaces"]
        assert [each["workspace"] for each in encoded] == ["hit", "spared"]

    def test_logs_of_nodes_without_workspaces_are_read(self):
        """A report over an update fails, for the older nodes' lines."""
        line = json.dumps(
            {
                "message_type": outcomelog.MESSAGE_TYPE,
                "host": "n1",
                "since_ms": 0,
                "until_ms": 1,
                "last": False,
                "calls": [
                    {
                        "service": "s",
                        "operation": "o",
                        "importance": "high",
                        "outside": True,
                        "outcome": "not_run",
                        "reason": "overloaded",
                        "count": 2,
                    }
                ],
            }
        )
        assert report.parse_interval(line).calls[0].workspace == ""
