"""Tests of the operators' client and commands with fake control hosts."""

import asyncio
import contextlib
import json

import pytest
from aiohttp import test_utils, web

from mangobay import cmdline, commands, errors, operatorclient, options

SHEET = (
    "service,operation,method,path,importance,idempotent,deadline_ms,tries\n"
    "quotes,issue,POST,/quotes,critical,no,2000,2\n"
)
ACCEPTED = {"revision": 7, "changed": 1, "removed": 0, "repeated": False}
REVISION_PATH = "/v1/revisions/7/in-force"


class FakeControlHost:
    """Sends listed responses, one per request; None aborts the connection."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []

    async def handle(self, request):
        self.requests.append((request.path_qs, await request.read()))
        response = self.responses.pop(0)
        if response is None:
            request.transport.abort()
            return web.Response()
        status, body = response
        return web.Response(status=status, text=json.dumps(body))


@contextlib.asynccontextmanager
async def running_hosts(*hosts):
    """Runs the fake control hosts; yields their addresses."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for host in hosts:
            server = test_utils.RawTestServer(host.handle)
            await stack.enter_async_context(server)
            addresses.append(options.Address("127.0.0.1", server.port))
        yield tuple(addresses)


class TestOperatorClient:
    """Requests of the client, and its errors."""

    async def test_a_lost_response_is_requested_again(self):
        """A connection breaks before the response to a sheet is read.

        The client sends the same content and version to the next hosts, so
        that the control group can return the revision of the first request.
        """
        first = FakeControlHost(None)
        second = FakeControlHost((503, {"leader": "c1"}))
        third = FakeControlHost((200, {**ACCEPTED, "repeated": True}))
        async with (
            running_hosts(first, second, third) as addresses,
            operatorclient.OperatorClient(addresses) as client,
        ):
            accepted = await client.apply(SHEET.encode(), "1", "ana")
            assert client.preferred_address == addresses[2]
        assert accepted.repeated
        assert first.requests == second.requests == third.requests
        assert first.requests == [
            ("/v1/sheets?version=1&operator=ana", SHEET.encode())
        ]

    async def test_errors_are_typed(self):
        finding = {"place": "s:row 2", "message": "no"}
        control = FakeControlHost(
            (409, {"winner": 5}),
            (422, {"findings": [finding]}),
            (404, {"title": "no such host"}),
            (200, {}),
        )
        async with (
            running_hosts(control) as addresses,
            operatorclient.OperatorClient(addresses) as client,
        ):
            with pytest.raises(errors.ConflictError) as conflict:
                await client.apply(b"", "1", "ana")
            with pytest.raises(errors.SheetError, match="s:row 2: no"):
                await client.apply(b"", "1", "ana")
            with pytest.raises(errors.OperatorRefusedError, match="such host"):
                await client.drain("n1")
            with pytest.raises(errors.OperatorProtocolError, match="no "):
                await client.status()
        assert conflict.value.winner == 5

    async def test_no_host_leads(self):
        control = FakeControlHost(*[(503, {"leader": ""})] * 3)
        async with (
            running_hosts(control) as addresses,
            operatorclient.OperatorClient(
                addresses, timeout_seconds=0
            ) as client,
        ):
            with pytest.raises(errors.ControlUnreachableError, match="lead"):
                await client.hosts()


class TestCommandLine:
    """Exit codes and output of commands."""

    async def run(self, control, *arguments):
        async with running_hosts(control) as addresses:
            control_option = ",".join(map(str, addresses))
            argv = ["--control", control_option, *map(str, arguments)]
            return await asyncio.to_thread(cmdline.main, argv)

    @pytest.mark.parametrize(
        ("stragglers", "exit_code"),
        [([], commands.ExitCode.OK), (["n2"], commands.ExitCode.NOT_IN_FORCE)],
    )
    async def test_apply_waits_until_in_force(
        self, tmp_path, capsys, stragglers, exit_code
    ):
        path = tmp_path / "s.csv"
        path.write_text(SHEET)
        rollout = {
            "count": 2 - len(stragglers),
            "of": 2,
            "stragglers": stragglers,
        }
        control = FakeControlHost((200, ACCEPTED), (200, rollout))
        arguments = ("apply", path, "--version", "1", "--wait", "2")
        assert await self.run(control, *arguments) == exit_code
        assert control.requests[1][0] == f"{REVISION_PATH}?wait=2"
        assert (
            f"in force on {2 - len(stragglers)} of 2 hosts"
            in capsys.readouterr().out
        )

    async def test_a_bad_sheet_is_not_sent(self, tmp_path, capsys):
        path = tmp_path / "s.csv"
        path.write_text(SHEET.replace("critical", "crtical"))
        control = FakeControlHost()
        arguments = ("apply", path, "--version", "1")
        assert (
            await self.run(control, *arguments) == commands.ExitCode.BAD_INPUT
        )
        assert "row 2, column importance" in capsys.readouterr().err
        assert control.requests == []

    async def test_a_conflict_names_the_winner(self, tmp_path, capsys):
        path = tmp_path / "s.csv"
        path.write_text(SHEET)
        control = FakeControlHost((409, {"winner": 5}))
        arguments = ("apply", path, "--version", "1")
        assert await self.run(control, *arguments) == commands.ExitCode.CONFLICT
        assert "revision 5" in capsys.readouterr().err

    async def test_status_as_json(self, capsys):
        host = {"host": "n1", "data_centre": "lima", "revision": 7}
        host |= {"lease": True, "leaving": False, "serves": ["quotes"]}
        status = {"leader": "c1", "term": 2, "commit": 9, "revision": 7}
        status |= {"hosts": [host]}
        status |= {"in_force": {"count": 1, "of": 1, "stragglers": []}}
        control = FakeControlHost((200, status), (200, status))
        assert (
            await self.run(control, "--json", "status") == commands.ExitCode.OK
        )
        assert json.loads(capsys.readouterr().out) == status
        assert await self.run(control, "status") == commands.ExitCode.OK
        assert "n1    lima         7" in capsys.readouterr().out

    async def test_history_of_a_period(self, capsys):
        items = [
            {
                "revision": revision,
                "version": f"v{revision}",
                "operator": "ana",
                "accepted_ms": revision * 3_600_000,
                "changed_rows": 1,
                "removed_rows": 0,
            }
            for revision in (1, 2, 3)
        ]
        control = FakeControlHost((200, {"items": items, "cut": 4}))
        period = ("--since", "1970-01-01T02:00", "--until", "1970-01-01T03:00Z")
        assert (
            await self.run(control, "history", *period) == commands.ExitCode.OK
        )
        output = capsys.readouterr().out
        assert "1970-01-01T02:00:00.000+00:00  v2" in output
        assert "4 older sheets are no longer listed" in output
        assert "v1" not in output
        assert "v3" not in output
