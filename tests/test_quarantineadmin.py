"""Operators list and release quarantined requests."""

import argparse
import json
import types

import pytest

from mangobay import (
    commands,
    errors,
    ids,
    leanhttp,
    quarantine,
    quarantineadmin,
    quarantinecommand,
    quarantinenotices,
    quarantinepage,
)
from mangobay.generated import messages, settings

CONFIG = settings.NodeQuarantine(after=3, pause=1.0, max_pause=8.0, forget=60.0)
REQUEST = ids.RequestDigest(bytes(range(16)))
HEX = REQUEST.hex()


class Nodes:
    """Nodes of the service `stock`, reached by the port of their address.

    Attributes:
      exchanges: one for each node.
      cut: ports of nodes that do not reply.
    """

    def __init__(self, count):
        self.cut = set()
        self.exchanges = [
            quarantinenotices.QuarantineExchange(
                ids.HostId(f"h{number}"), self, quarantine.Quarantine(CONFIG)
            )
            for number in range(count)
        ]
        members = [
            messages.Member(
                host=f"h{number}", peer_address=f"127.0.0.1:{number + 1}"
            )
            for number in range(count)
        ]
        view = messages.ServiceView(service="stock", members=members)
        self.admin = quarantineadmin.QuarantineAdmin(
            lambda: {"stock": view}, self
        )

    async def send_request(self, address, body, timeout):
        del timeout
        if address.port in self.cut:
            raise errors.PeerUnreachableError("cut off")
        return self.exchanges[address.port - 1].handle(body)

    def state(self, number):
        return self.exchanges[number].quarantine

    def record_ends(self, number, *end_ids):
        self.state(number).record_ends(REQUEST, end_ids, 0.0)


class TestList:
    """What operators see."""

    async def test_ends_known_to_different_nodes_add_up(self):
        """A node that was told nothing hides what the others know."""
        nodes = Nodes(3)
        nodes.record_ends(0, "e1", "e2")
        nodes.record_ends(1, "e2", "e3")
        listed = await nodes.admin.list_requests("stock")
        (request,) = listed["requests"]
        assert request["request"] == HEX
        assert (request["ends"], request["nodes"], listed["asked"]) == (3, 2, 3)

    async def test_nodes_that_do_not_reply_are_named(self):
        """An incomplete list looks like a complete one."""
        nodes = Nodes(3)
        nodes.cut = {2}
        listed = await nodes.admin.list_requests("stock")
        assert listed["unreached"] == ["h1"]

    async def test_unknown_service(self):
        with pytest.raises(errors.NotFoundError):
            await Nodes(1).admin.list_requests("nosuch")


class TestRelease:
    """The release of a request."""

    async def test_it_may_run_at_every_node(self):
        """A request that was repaired stays refused at some nodes."""
        nodes = Nodes(3)
        for number in range(3):
            nodes.record_ends(number, "e1", "e2", "e3")
        result = await nodes.admin.release("stock", REQUEST, "ana")
        assert result["nodes"] == 3
        assert all(nodes.state(number).is_empty for number in range(3))

    async def test_a_node_that_was_not_reached_is_named(self):
        """An operator takes a request for released that a node refuses."""
        nodes = Nodes(2)
        nodes.record_ends(1, "e1", "e2", "e3")
        nodes.cut = {2}
        result = await nodes.admin.release("stock", REQUEST, "ana")
        assert result["unreached"] == ["h1"]
        assert not nodes.state(1).is_empty

    async def test_other_requests_stay_quarantined(self):
        """A release lets every suspect run again."""
        nodes = Nodes(1)
        other = ids.RequestDigest(b"o" * 16)
        nodes.state(0).record_ends(other, ["e1", "e2", "e3"], 0.0)
        await nodes.admin.release("stock", REQUEST, "ana")
        assert other in nodes.state(0).quarantined

    @pytest.mark.parametrize("text", ["", "xyz", "00", HEX + "00"])
    def test_malformed_digests_are_refused(self, text):
        with pytest.raises(errors.BadRequestError):
            quarantineadmin.parse_digest(text)


class TestPage:
    """The pages of control hosts with routes documents."""

    async def request(self, nodes, method, path):
        async def serve_metrics(request, connection):
            return leanhttp.Response(status=200, headers=[], body=b"metrics")

        handler = quarantinepage.make_handler(nodes.admin, serve_metrics)
        request = types.SimpleNamespace(method=method, path=path)
        response = await handler(request, None)
        return response.status, response.body

    async def test_list_and_release(self):
        nodes = Nodes(1)
        nodes.record_ends(0, "e1", "e2", "e3")
        path = "/v1/services/stock/quarantine"
        status, body = await self.request(nodes, "GET", path)
        assert (status, len(json.loads(body)["requests"])) == (200, 1)
        status, _ = await self.request(nodes, "POST", f"{path}/{HEX}/release")
        assert status == 200
        assert nodes.state(0).is_empty

    @pytest.mark.parametrize(
        "method, path, status",
        [
            ("GET", "/v1/services/nosuch/quarantine", 404),
            ("POST", "/v1/services/stock/quarantine", 405),
            ("GET", f"/v1/services/stock/quarantine/{HEX}/release", 405),
            ("POST", "/v1/services/stock/quarantine/12/release", 400),
        ],
    )
    async def test_bad_requests(self, method, path, status):
        assert (await self.request(Nodes(1), method, path))[0] == status

    async def test_other_paths_are_the_metrics(self):
        """The new pages hide the metrics."""
        response = await self.request(Nodes(1), "GET", "/metrics")
        assert response == (200, b"metrics")


class TestCommands:
    """`mangobay quarantine` and `mangobay release`."""

    async def run(self, command, nodes, **arguments):
        async def send_request(method, path, query=None):
            page = quarantinepage.make_handler(nodes.admin, None)
            request = types.SimpleNamespace(method=method, path=path)
            return json.loads((await page(request, None)).body)

        client = types.SimpleNamespace(send_request=send_request)
        return await command.run(argparse.Namespace(**arguments), client)

    async def test_list(self):
        nodes = Nodes(2)
        nodes.record_ends(0, "e1", "e2", "e3")
        result = await self.run(
            quarantinecommand.ShowQuarantine(), nodes, service="stock"
        )
        assert HEX in result.lines[1]
        assert result.exit_code is commands.ExitCode.OK

    async def test_release_tells_which_nodes_were_not_reached(self):
        """A partial release has the exit code of a complete one."""
        nodes = Nodes(2)
        nodes.cut = {2}
        result = await self.run(
            quarantinecommand.ReleaseRequest(),
            nodes,
            service="stock",
            request=HEX,
        )
        assert "h1" in result.lines[-1]
        assert result.exit_code is commands.ExitCode.NOT_IN_FORCE

    async def test_service_names_are_checked(self):
        with pytest.raises(errors.BadRequestError):
            await self.run(
                quarantinecommand.ShowQuarantine(), Nodes(1), service="a/b"
            )
