"""The operator API of a control host, over real HTTP on loopback."""

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

LOOPBACK = options.Address("127.0.0.1", 0)


class Operator:
    """Sends requests to one control host; sheets are names of operations."""

    def __init__(self, session, address):
        self.session = session
        self.base_url = f"http://{address}"

    async def send_request(self, method, path, **options):
        url = self.base_url + path
        async with self.session.request(method, url, **options) as answer:
            return answer.status, await answer.json(content_type=None)

    async def apply(self, version, *names):
        return await self.send_request(
            "POST",
            "/v1/sheets",
            params={"version": version, "operator": "ana"},
            data=" ".join(names),
        )


def parse_words(data, name):
    """Stands for `sheet.parse`: a row for each word."""
    words = data.decode().split()
    if "fault" in words:
        raise errors.SheetError([findings.Finding(f"{name}:row 2", "fault")])
    rows = [controlfakes.make_operation(word) for word in words]
    return types.SimpleNamespace(operations=rows, digest=data)


@pytest.fixture
def group():
    return controlfakes.FakeGroup(statemachine.ConfigStateMachine())


@contextlib.asynccontextmanager
async def running_api(group):
    """Serves the API; gives an operator."""
    table = leases.LeaseTable(group.machine, group, 4.0, 1.0)
    api = operatorapi.OperatorApi(LOOPBACK, group, group.machine, table, 2000)
    await api.start()
    try:
        async with aiohttp.ClientSession() as session:
            yield Operator(session, api.address)
    finally:
        await api.close()


@pytest.fixture(autouse=True)
def sheets(monkeypatch):
    monkeypatch.setattr(operatorapi.sheet, "parse", parse_words)


class TestSheets:
    """POST /v1/sheets."""

    async def test_operators_race_under_one_version(self, group):
        """Two operators send different sheets as version 7 at once.

        Exactly one is accepted. The other gets 409 and the revision of the
        winner, and nothing of its sheet is in force.
        """
        async with running_api(group) as operator:
            answers = await asyncio.gather(
                operator.apply("7", "sign"), operator.apply("7", "price")
            )
            (_, won), (_, lost) = sorted(answers, key=lambda item: item[0])
            assert sorted(status for status, _ in answers) == [200, 409]
            assert lost["winner"] == won["revision"]
            assert len(group.machine.history) == 1

    async def test_a_sheet_resent_gets_the_same_answer(self, group):
        """The answer is lost, and another version is accepted meanwhile.

        The operator sends the same sheet again and is told the revision that
        it got, not a new one; the later version stays in force.
        """
        async with running_api(group) as operator:
            _, first = await operator.apply("1", "sign", "price")
            await operator.apply("2", "sign")
            status, again = await operator.apply("1", "sign", "price")
            assert status == 200
            assert again == first | {"repeated": True}
            assert (group.machine.revision, group.last_index) == (2, 2)

    async def test_a_version_of_long_ago_is_refused(self, group, monkeypatch):
        """The history is cut; an operator resends a sheet from before it.

        Whether the content was the same is not known any more: the answer is
        409 without a winner, nothing is in force that was not, and the
        history says how many sheets it does not name.
        """
        monkeypatch.setattr(statemachine, "MAX_HISTORY_ITEMS", 1)
        async with running_api(group) as operator:
            await operator.apply("1", "sign")
            await operator.apply("2", "sign", "price")
            status, answer = await operator.apply("1", "sign")
            assert (status, "winner" in answer) == (409, False)
            assert group.machine.revision == 2
            _, history = await operator.send_request("GET", "/v1/history")
            assert history["cut"] == 1
            assert [item["version"] for item in history["items"]] == ["2"]

    async def test_the_table_moves_while_a_sheet_is_agreed_on(self, group):
        """An entry of a former leader is committed just before a sheet's.

        The sheet's rows were compared with the table before it. The entry
        is refused when applied, compared again, and its operator sees only
        that the sheet is in force, whole.
        """
        late = controlfakes.make_sheet_change(
            "1", controlfakes.make_operation("late")
        )
        confirm = group.confirm_leadership

        async def confirm_with_late_entry():
            await confirm()
            confirms.append(1)
            if len(confirms) == 2:
                group.append(late)

        confirms = []
        group.confirm_leadership = confirm_with_late_entry
        async with running_api(group) as operator:
            status, answer = await operator.apply("2", "sign")
            assert (status, answer["removed"]) == (200, 1)
            names = [row.name for row in group.machine.operations()]
            assert names == ["sign"]

    async def test_findings_are_told_and_nothing_changes(self, group):
        async with running_api(group) as operator:
            status, answer = await operator.apply("1", "sign", "fault")
            assert status == 422
            assert answer["findings"][0]["place"] == "sheet:row 2"
            status, _ = await operator.apply("", "sign")
            assert status == 400
            status, _ = await operator.apply("1", "x" * 3000)
            assert status == 413
            assert not group.machine.history

    async def test_a_host_that_does_not_lead_names_the_leader(self, group):
        group.leading.clear()
        async with running_api(group) as operator:
            status, answer = await operator.apply("1", "sign")
            assert (status, answer["leader"]) == (503, "c1")
            assert answer["leader_peer_address"] == group.leader_address


class TestReading:
    """What operators are told."""

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

    async def test_drain_of_a_host(self, group):
        async with running_api(group) as operator:
            status, _ = await operator.send_request("POST", "/v1/hosts/a/drain")
            assert status == 404
            group.append(controlfakes.make_member_join("a", "quotes"))
            status, _ = await operator.send_request("POST", "/v1/hosts/a/drain")
            assert status == 202
            assert group.machine.draining == {"a"}

    async def test_bad_requests_get_one_clear_problem(self, group):
        async with running_api(group) as operator:
            for method, path, expected in (
                ("GET", "/v1/revisions/x/in-force", 400),
                ("GET", "/v1/revisions/9/in-force", 404),
                ("DELETE", "/v1/sheets", 405),
                ("GET", "/v2", 404),
            ):
                status, answer = await operator.send_request(method, path)
                assert (status, answer["status"]) == (expected, expected)

    async def test_health_and_metrics_need_no_quorum(self, group):
        group.lose_quorum()
        async with running_api(group) as operator:
            status, health = await operator.send_request("GET", "/health")
            assert (status, health["leads"]) == (200, True)
            url = operator.base_url + "/metrics"
            async with operator.session.get(url) as answer:
                assert "mangobay_control_leads 1.0" in await answer.text()
