"""What nodes record of their calls, and what `mangobay report` makes of it."""

import asyncio
import json

import eliot
import nodes
import pytest
from aiohttp import web

from mangobay import calls, cmdline, errors, outcomelog, report
from mangobay.generated import messages

Reason = messages.Reason
OPERATION = messages.Operation(
    service="stock", name="book", importance=messages.Importance.CRITICAL
)
ANSWERED = messages.Reply(outcome=messages.Outcome.ANSWERED)
OVERLOADED = calls.not_run_reply(Reason.OVERLOADED)
LOST = calls.unknown_reply(Reason.CONNECTION_BROKEN)
MINUTE_MS = 60_000


class FakeClock:
    """A wall clock that the test moves."""

    def __init__(self):
        self.now_ms = 0

    def __call__(self) -> int:
        return self.now_ms


def discard(message: dict) -> None:
    """Takes a log line and keeps nothing."""


@pytest.fixture
def logged(tmp_path):
    """Collects log lines in a file, as a node does.

    What other tests logged before there was any destination is kept by eliot
    for the first one: that is one to throw it away.
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
    record: outcomelog.OutcomeLog, *replies: messages.Reply
) -> None:
    for reply in replies:
        record.record_call(OPERATION, OPERATION.importance, True, reply)


class TestLedger:
    """One line for each interval."""

    @pytest.mark.looptime
    async def test_each_interval_is_a_line_and_counts_once(self, logged):
        wall = FakeClock()
        record = outcomelog.OutcomeLog("n1", wall)
        task = asyncio.create_task(record.run())
        await asyncio.sleep(1)
        record_calls(record, ANSWERED, ANSWERED, OVERLOADED)
        wall.now_ms = MINUTE_MS
        await asyncio.sleep(outcomelog.INTERVAL_SECONDS)
        wall.now_ms = 2 * MINUTE_MS
        await asyncio.sleep(outcomelog.INTERVAL_SECONDS)
        task.cancel()
        opening, first, second = report.read_logs([str(logged)]).intervals
        assert opening.since_ms == opening.until_ms == 0
        assert [item.count for item in first.calls] == [2, 1]
        assert (first.until_ms, second.since_ms) == (MINUTE_MS, MINUTE_MS)
        assert second.calls == () and not second.is_final

    def test_a_wall_clock_set_back_leaves_no_gap(self, logged):
        wall = FakeClock()
        wall.now_ms = MINUTE_MS
        record = outcomelog.OutcomeLog("n1", wall)
        wall.now_ms = 0
        record.log_interval()
        (interval,) = report.read_logs([str(logged)]).intervals
        assert interval.since_ms == interval.until_ms == MINUTE_MS


class TestNode:
    """What a whole node counts."""

    async def test_a_caller_that_hung_up_counts_as_unknown(self, tmp_path):
        """A caller hangs up while its booking runs, and nobody answers it.

        The booking may have run, so the record says unknown; a call that
        was in no count would be missing in the disclosure.
        """
        release = asyncio.Event()

        async def book(request):
            await release.wait()
            return web.Response()

        async with nodes.node_cluster(tmp_path) as world:
            one = await world.start("one", book)
            asking = asyncio.create_task(
                world.send_outside(one, "POST", "/stock/book")
            )
            await nodes.wait_until(lambda: one.backend_server.requests)
            asking.cancel()
            await nodes.wait_until(lambda: one.outcome_log.counts)
            release.set()
            ((kind, count),) = one.outcome_log.counts.items()
        assert (kind.operation, kind.outside, count) == ("book", True, 1)
        assert kind.outcome is messages.Outcome.UNKNOWN
        assert kind.reason is Reason.CANCELLED


class TestReport:
    """Facts of a period, and what is missing in it."""

    def test_a_killed_node_leaves_a_gap_that_is_told(self, logged):
        """The operator sees from when to when nothing is known of a host.

        Node n1 is killed 30 s after its line and starts again a minute
        later, so calls that it took in that half minute were counted by
        nobody.  Node n2 ended in good order: it leaves no gap.
        """
        wall = FakeClock()
        n1, n2 = (
            outcomelog.OutcomeLog("n1", wall),
            outcomelog.OutcomeLog("n2", wall),
        )
        wall.now_ms = MINUTE_MS
        record_calls(n1, ANSWERED, LOST)
        n1.log_interval()
        n2.log_interval(is_final=True)
        wall.now_ms = 2 * MINUTE_MS
        again = outcomelog.OutcomeLog("n1", wall)
        wall.now_ms = 3 * MINUTE_MS
        record_calls(again, OVERLOADED)
        again.log_interval(is_final=True)
        reading = report.read_logs([str(logged), str(logged)])
        told = report.summarize(reading, 0, 10 * MINUTE_MS)
        assert told.gaps == [report.Gap("n1", MINUTE_MS, 2 * MINUTE_MS)]
        (total,) = told.totals.values()
        assert total.outcomes == {"answered": 1, "unknown": 1, "not_run": 1}
        assert (total.first_ms, total.last_ms) == (0, 3 * MINUTE_MS)

    def test_only_the_period_is_counted(self, logged):
        wall = FakeClock()
        record = outcomelog.OutcomeLog("n1", wall)
        for minute in (1, 2, 3):
            record_calls(record, OVERLOADED)
            wall.now_ms = minute * MINUTE_MS
            record.log_interval()
        reading = report.read_logs([str(logged)])
        told = report.summarize(reading, MINUTE_MS, 2 * MINUTE_MS)
        assert (told.since_ms, told.until_ms) == (MINUTE_MS, 2 * MINUTE_MS)
        assert [t.outcomes["not_run"] for t in told.totals.values()] == [1]
        with pytest.raises(errors.NoRecordsError):
            report.summarize(reading, 9 * MINUTE_MS, 10 * MINUTE_MS)

    def test_the_command_prints_it(self, logged, capsys):
        wall = FakeClock()
        record = outcomelog.OutcomeLog("n1", wall)
        record_calls(record, ANSWERED, LOST)
        wall.now_ms = MINUTE_MS
        record.log_interval()
        with logged.open("a") as file:
            file.write('{"message_type": "call: calls of an')
        assert cmdline.main(["report", str(logged)]) == 0
        shown = capsys.readouterr().out
        assert "stock.book  unknown: connection_broken  1" in shown
        assert "1 lines could not be read" in shown
        assert cmdline.main(["--json", "report", str(logged)]) == 0
        (total,) = json.loads(capsys.readouterr().out)["totals"]
        assert total["outcomes"] == {"answered": 1, "unknown": 1}
        assert cmdline.main(["report", "nowhere.log"]) == 1
        assert "nowhere.log: No such file" in capsys.readouterr().err
