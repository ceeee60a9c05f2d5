"""Tests of the operator API, over real HTTP on loopback."""

import asyncio
import contextlib
import types

import aiohttp
import controlfakes
import pytest

from mangobay import (
    errors,
    findings,
    leases,
    operatorapi,
    options,
    statemachine,
)

WAIT_SECONDS = 5.0
LOOPBACK = options.Address("127.0.0.1", 0)


class Operator:
    """A client of one control host; its sheets are lists of operation names."""

    def __init__(self, session, address):
        self.session = session
        self.base_url = f"http://{address}"

    async def send_request(self, method, path, **options):
        url = self.base_url + path
        async with self.session.request(method, url, **options) as response:
            return response.status, await response.json(content_type=None)

    async def apply(self, version, *names):
        return await self.send_request(
            "POST",
            "/v1/sheets",
            params={"version": version, "operator": "ana"},
            data=" ".join(names),
        )


def parse_words(data, name):
    """Replaces `sheet.parse`: returns an operation for each word."""
    words = data.decode().split()
    if "fault" in words:
        raise errors.SheetError([findings.Finding(f"{name}:row 2", "fault")])
    rows = [controlfakes.make_operation(word) for word in words]
    return types.SimpleNamespace(operations=rows, digest=data)


@pytest.fixture
def group():
    return controlfakes.FakeGroup(statemachine.ConfigStateMachine())


@contextlib.asynccontextmanager
async def running_api(group, sheet_bytes=2000):
    """Runs the API; yields an operator."""
    table = leases.LeaseTable(group.machine, group, 4.0, 1.0)
    api = operatorapi.OperatorApi(
        LOOPBACK,
        group,
        group.machine,
        table,
        sheet_bytes,
        quarantine_admin=None,
    )
    await api.start()
    try:
        async with aiohttp.ClientSession() as session:
            yield Operator(session, api.address)
    finally:
        await api.close()


@pytest.fixture(autouse=True)
def replace_sheet_parser(monkeypatch):
    monkeypatch.setattr(operatorapi.sheet, "parse", parse_words)


class TestSheets:
    """POST /v1/sheets."""

    async def test_operators_race_under_one_version(self, group):
        """Two operators send different sheets with one version at once.

        Exactly one sheet is accepted.  The other operator gets 409 with the
        revision of the accepted sheet, and none of its rows are applied.
        """
        async with running_api(group) as operator:
            responses = await asyncio.gather(
                operator.apply("7", "sign"), operator.apply("7", "price")
            )
            (_, accepted), (_, conflict) = sorted(
                responses, key=lambda response: response[0]
            )
            assert sorted(status for status, _ in responses) == [200, 409]
            assert conflict["winner"] == accepted["revision"]
            assert len(group.machine.history) == 1

    async def test_a_resent_sheet_gets_the_same_response(self, group):
        """A response is lost, and another version is accepted meanwhile.

        The operator sends the same sheet again and gets its first revision,
        not a new one; the later version stays in force.
        """
        async with running_api(group) as operator:
            _, first = await operator.apply("1", "sign", "price")
            await operator.apply("2", "sign")
            status, repeated = await operator.apply("1", "sign", "price")
            assert status == 200
            assert repeated == first | {"repeated": True}
            assert (group.machine.revision, group.last_index) == (2, 2)

    async def test_a_version_dropped_from_the_history_is_refused(
        self, group, monkeypatch
    ):
        """An operator resends a sheet that was dropped from the history.

        Whether the content is the same is no longer known: the response is
        409 without a winner, the table does not change, and the history
        has the number of dropped sheets.
        """
        monkeypatch.setattr(statemachine, "MAX_HISTORY_ITEMS", 1)
        async with running_api(group) as operator:
            await operator.apply("1", "sign")
            await operator.apply("2", "sign", "price")
            status, body = await operator.apply("1", "sign")
            assert (status, "winner" in body) == (409, False)
            assert group.machine.revision == 2
            _, history = await operator.send_request("GET", "/v1/history")
            assert history["cut"] == 1
            assert [item["version"] for item in history["items"]] == ["2"]

    async def test_a_sheet_is_compared_again_after_a_concurrent_change(
        self, group
    ):
        """An entry of a former leader is committed just before a sheet.

        The rows of the sheet were compared with the table before that entry,
        so the entry of the sheet is rejected when it is applied.  The rows
        are compared again, and the whole sheet is in force.
        """
        late_change = controlfakes.make_sheet_change(
            "1", controlfakes.make_operation("late")
        )
        confirm_leadership = group.confirm_leadership

        async def confirm_then_append():
            await confirm_leadership()
            confirmations.append(1)
            if len(confirmations) == 2:
                group.append(late_change)

        confirmations = []
        group.confirm_leadership = confirm_then_append
        async with running_api(group) as operator:
            status, body = await operator.apply("2", "sign")
            assert (status, body["removed"]) == (200, 1)
            names = [row.name for row in group.machine.operations()]
            assert names == ["sign"]

    async def test_a_rejected_sheet_changes_nothing(self, group):
        async with running_api(group) as operator:
            status, body = await operator.apply("1", "sign", "fault")
            assert status == 422
            assert body["findings"][0]["place"] == "sheet:row 2"
            status, _ = await operator.apply("", "sign")
            assert status == 400
            status, _ = await operator.apply("1", "x" * 3000)
            assert status == 413
            assert not group.machine.history

    async def test_a_follower_names_the_leader(self, group):
        group.leading.clear()
        async with running_api(group) as operator:
            status, body = await operator.apply("1", "sign")
            assert (status, body["leader"]) == (503, "c1")
            assert body["leader_peer_address"] == group.leader_address


class TestEndlessSheets:
    """Sheets that come slowly, or never end."""

    SHEET_BYTES = 100_000

    async def test_sheets_that_hold_most_are_refused(self, group):
        """Guards against senders without end that fill a control host."""
        async with running_api(group, self.SHEET_BYTES) as operator:
            address = operator.base_url.removeprefix("http://")
            host, _, port = address.partition(":")
            connections = [
                await asyncio.open_connection(host, int(port))
                for _ in range(10)
            ]
            head = (
                "POST /v1/sheets?version=v1&operator=ana HTTP/1.1\r\n"
                f"Host: x\r\nContent-Length: {self.SHEET_BYTES}\r\n\r\n"
            )
            for _, writer in connections:
                writer.write(head.encode() + b"x" * 90_000)
            reads = {
                asyncio.create_task(reader.readline())
                for reader, _ in connections
            }
            refused = set()
            async with asyncio.timeout(WAIT_SECONDS):
                while len(refused) < 8:
                    done, reads = await asyncio.wait(
                        reads, return_when=asyncio.FIRST_COMPLETED
                    )
                    refused |= done
            assert {read.result() for read in refused} == {
                b"HTTP/1.1 503 Service Unavailable\r\n"
            }
            status, _ = await operator.apply("v2", "book")
            assert status == 200
            assert len(reads) == 2
            for read in reads:
                read.cancel()
            for _, writer in connections:
                writer.close()

    async def test_sheet_above_the_limit(self, group):
        async with running_api(group, self.SHEET_BYTES) as operator:
            status, _ = await operator.apply("v1", "x" * 100_001)
            assert status == 413


class TestQueries:
    """GET requests, and requests that fail."""

    async def test_status_names_hosts_and_stragglers(self, group):
        async with running_api(group) as operator:
            group.append(controlfakes.make_member_join("a", "quotes"))
            await operator.apply("1", "sign")
            _, status = await operator.send_request("GET", "/v1/status")
            assert status["leader"] == "c1"
            assert status["hosts"][0]["serves"] == ["quotes"]
            assert status["in_force"] == {
                "count": 0,
                "of": 1,
                "stragglers": ["a"],
            }
            _, history = await operator.send_request("GET", "/v1/history")
            assert history["items"][0]["operator"] == "ana"

    async def test_drain_needs_a_known_host(self, group):
        async with running_api(group) as operator:
            status, _ = await operator.send_request("POST", "/v1/hosts/a/drain")
            assert status == 404
            group.append(controlfakes.make_member_join("a", "quotes"))
            status, _ = await operator.send_request("POST", "/v1/hosts/a/drain")
            assert status == 202
            assert group.machine.draining == {"a"}

    async def test_bad_requests_get_problem_details(self, group):
        async with running_api(group) as operator:
            for method, path, expected in (
                ("GET", "/v1/revisions/x/in-force", 400),
                ("GET", "/v1/revisions/9/in-force", 404),
                ("DELETE", "/v1/sheets", 405),
                ("GET", "/v2", 404),
            ):
                status, response = await operator.send_request(method, path)
                assert (status, response["status"]) == (expected, expected)

    async def test_health_and_metrics_need_no_quorum(self, group):
        group.lose_quorum()
        async with running_api(group) as operator:
            status, health = await operator.send_request("GET", "/health")
            assert (status, health["leads"]) == (200, True)
            url = operator.base_url + "/metrics"
            async with operator.session.get(url) as response:
                assert "mangobay_control_leads 1.0" in await response.text()
