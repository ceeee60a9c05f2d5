"""What nodes record of their calls, and what `mangobay report` makes of it."""

import asyncio
import json

import eliot
import nodes
import pytest
from aiohttp import web

from mangobay import calls, cmdline, errors, ledger, report
from mangobay.generated import messages

Reason = messages.Reason
BOOK = messages.Operation(
    service="stock", name="book", importance=messages.Importance.CRITICAL
)
ANSWERED = messages.Reply(outcome=messages.Outcome.ANSWERED)
SHED = calls.not_run_reply(Reason.OVERLOADED)
LOST = calls.unknown_reply(Reason.CONNECTION_BROKEN)
MINUTE = 60_000


class Wall:
    """A wall clock that the test moves."""

    def __init__(self):
        self.ms = 0

    def __call__(self) -> int:
        return self.ms


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


def count(record: ledger.Ledger, *replies: messages.Reply) -> None:
    for reply in replies:
        record.count(BOOK, BOOK.importance, True, reply)


class TestLedger:
    """One line for each interval."""

    @pytest.mark.looptime
    async def test_each_interval_is_a_line_and_counts_once(self, logged):
        wall = Wall()
        record = ledger.Ledger("n1", wall)
        task = asyncio.create_task(record.run())
        await asyncio.sleep(1)
        count(record, ANSWERED, ANSWERED, SHED)
        wall.ms = MINUTE
        await asyncio.sleep(ledger.INTERVAL)
        wall.ms = 2 * MINUTE
        await asyncio.sleep(ledger.INTERVAL)
        task.cancel()
        opening, first, second = report.read([str(logged)]).intervals
        assert opening.since_ms == opening.until_ms == 0
        assert [item.count for item in first.calls] == [2, 1]
        assert (first.until_ms, second.since_ms) == (MINUTE, MINUTE)
        assert second.calls == () and not second.last

    def test_a_wall_clock_set_back_leaves_no_gap(self, logged):
        wall = Wall()
        wall.ms = MINUTE
        record = ledger.Ledger("n1", wall)
        wall.ms = 0
        record.write()
        (interval,) = report.read([str(logged)]).intervals
        assert interval.since_ms == interval.until_ms == MINUTE


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
            await nodes.wait_until(lambda: one.ledger.counts)
            release.set()
            ((kind, count),) = one.ledger.counts.items()
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
        wall = Wall()
        n1, n2 = ledger.Ledger("n1", wall), ledger.Ledger("n2", wall)
        wall.ms = MINUTE
        count(n1, ANSWERED, LOST)
        n1.write()
        n2.write(last=True)
        wall.ms = 2 * MINUTE
        again = ledger.Ledger("n1", wall)
        wall.ms = 3 * MINUTE
        count(again, SHED)
        again.write(last=True)
        reading = report.read([str(logged), str(logged)])
        told = report.summed(reading, 0, 10 * MINUTE)
        assert told.gaps == [report.Gap("n1", MINUTE, 2 * MINUTE)]
        (total,) = told.totals.values()
        assert total.outcomes == {"answered": 1, "unknown": 1, "not_run": 1}
        assert (total.first_ms, total.last_ms) == (0, 3 * MINUTE)

    def test_only_the_period_is_counted(self, logged):
        wall = Wall()
        record = ledger.Ledger("n1", wall)
        for minute in (1, 2, 3):
            count(record, SHED)
            wall.ms = minute * MINUTE
            record.write()
        reading = report.read([str(logged)])
        told = report.summed(reading, MINUTE, 2 * MINUTE)
        assert (told.since_ms, told.until_ms) == (MINUTE, 2 * MINUTE)
        assert [t.outcomes["not_run"] for t in told.totals.values()] == [1]
        with pytest.raises(errors.NoRecordsError):
            report.summed(reading, 9 * MINUTE, 10 * MINUTE)

    def test_the_command_prints_it(self, logged, capsys):
        wall = Wall()
        record = ledger.Ledger("n1", wall)
        count(record, ANSWERED, LOST)
        wall.ms = MINUTE
        record.write()
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
