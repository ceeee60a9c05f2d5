"""Whole nodes in the test's own process, with a fake control group."""

import asyncio
import contextlib
import json

import aiohttp
import yarl
from aiohttp import web

from mangobay import ids, node, operationtable, options, settings
from mangobay.generated import messages
from mangobay.generated import settings as generated

WAIT_SECONDS = 20.0
HEADER_TIMEOUT_SECONDS = 0.3
SETTINGS = """
[host]
name = {host}
data_centre = {host}-centre
[listen]
outside = 127.0.0.1:0
local = 127.0.0.2:0
peer = 127.0.0.3:0
[control]
hosts = 127.0.0.1:1
[limits]
body_bytes = 1000
header_timeout = 0.3
"""


def operation(name: str, method: str = "GET", **more) -> messages.Operation:
    """Returns an operation of service `stock`, visible from outside."""
    defaults = {
        "service": "stock",
        "path": f"/{name}",
        "idempotent": method == "GET",
        "callers": ["*"],
        "outside": True,
        "deadline_ms": 20_000,
        "tries": 4,
        "importance": messages.Importance.HIGH,
    }
    return messages.Operation(name=name, method=method, **(defaults | more))


OPERATIONS = [
    operation("price"),
    operation("book", "POST"),
    operation("sign", "POST", key_required=True),
    operation("inside", outside=False),
    operation("freight", service="freight", outside=False),
    operation("late", deadline_ms=50),
]


class BackendServer:
    """A backend server with a handler given by the test."""

    def __init__(self, handle):
        self.handle = handle
        self.requests: list[web.BaseRequest] = []
        self.cancelled = 0

    async def respond(self, request: web.BaseRequest) -> web.Response:
        self.requests.append(request)
        try:
            return await self.handle(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class NodeCluster:
    """Started nodes, each with its backend server."""

    def __init__(self, directory, stack: contextlib.AsyncExitStack):
        self.directory = directory
        self.stack = stack
        self.nodes: list[node.Node] = []
        self.interest_requests: list[ids.ServiceName] = []
        self.views: list[messages.ServiceView] = []

    async def start(
        self,
        host: str,
        handle,
        extra_settings: str = "",
        header_timeout: float = HEADER_TIMEOUT_SECONDS,
    ) -> node.Node:
        """Starts a node with a backend server, announced as `stock`.

        Args:
          host: Name of the host.
          handle: Handler of the backend server, or None for no backend server.
          extra_settings: Text appended to the settings.
          header_timeout: Seconds that a caller has to send its request.
        """
        path = self.directory / f"{host}.ini"
        text = SETTINGS.format(host=host) + extra_settings
        path.write_text(
            text.replace(
                f"header_timeout = {HEADER_TIMEOUT_SECONDS}",
                f"header_timeout = {header_timeout}",
            )
        )
        config = settings.load(
            str(path), generated.NODE_SECTIONS, generated.Node
        )
        started = node.Node(config)
        started.control.fetch_service = self.fetch_service
        started.control.run = asyncio.Event().wait
        await started.start()
        self.stack.push_async_callback(started.close)
        now = asyncio.get_running_loop().time()
        started.control.lease.extend(now, 1e6)
        started.control.tables.on_next(self.make_table())
        self.nodes.append(started)
        if handle is not None:
            await self.serve(started, BackendServer(handle))
        self.publish_views()
        return started

    async def fetch_service(self, service: ids.ServiceName) -> None:
        self.interest_requests.append(service)

    @staticmethod
    def make_table() -> operationtable.OperationTable:
        update = messages.TableUpdate(revision=5, changed=OPERATIONS)
        return operationtable.OperationTable().updated(update)

    async def serve(self, started: node.Node, server: BackendServer) -> None:
        """Starts the backend server and announces it over HTTP."""
        listener = await asyncio.get_running_loop().create_server(
            web.Server(server.respond, handler_cancellation=True),
            "127.0.0.1",
            0,
        )
        self.stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        started.backend_server = server
        status, _, body = await self.send(
            started.local_listener.address,
            "POST",
            "/mangobay/announce",
            data=json.dumps(
                {"service": "stock", "address": f"127.0.0.1:{port}", "slots": 4}
            ),
        )
        assert status == 200, body

    def publish_views(self) -> None:
        """Publishes a view with all nodes that serve `stock` to every node."""
        members = [
            messages.Member(
                host=started.process.host,
                incarnation=started.process.incarnation,
                data_centre="centre",
                peer_address=str(started.peer_listener.address),
                slots=4,
                leaving=started.executor.leaving,
            )
            for started in self.nodes
            if started.local_services.by_name
        ]
        view = messages.ServiceView(
            service="stock",
            version=len(self.views) + 1,
            members=members,
            formers=[
                messages.FormerView(version=old.version, members=old.members)
                for old in reversed(self.views)
            ],
            lineage_whole=True,
            active=True,
        )
        self.views.append(view)
        for started in self.nodes:
            started.control.views.on_next({"stock": view})

    async def send(
        self, address: options.Address, method: str, path: str, **more
    ) -> tuple[int, dict, bytes]:
        """Sends one request; returns status, headers and body."""
        url = yarl.URL(f"http://{address}{path}", encoded=True)
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, **more) as response,
        ):
            return response.status, response.headers, await response.read()

    async def send_outside(self, started: node.Node, method, path, **more):
        """Sends one request to a node's outside listener."""
        address = started.outside_listener.address
        return await self.send(address, method, path, **more)


@contextlib.asynccontextmanager
async def node_cluster(folder):
    """Yields a cluster and closes its nodes at the end."""
    async with contextlib.AsyncExitStack() as stack:
        yield NodeCluster(folder, stack)


async def wait_until(condition) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.002)
