"""A fake backend server with slots, children and a ledger of what ran."""

import argparse
import asyncio
import dataclasses
import json

import aiohttp
import uuid6
from aiohttp import web

from bench import deployment, serving, sessions
from mangobay import ids, options
from mangobay.generated import messages

ANNOUNCE_PATH = "/mangobay/announce"
RENEW_SECONDS = 1.0
CHILD_NUMBER = 7
"""Stands for wildcards in the paths of its own calls."""
MARKER = "Bench-Marker"
"""Names an attempt of the load in its whole call tree.

It is no part of the target, which a resend of a key must not change.
"""
PASSED_ON = frozenset(
    {"traceparent", "tracestate", "request-timeout", MARKER.lower()}
)
KEY = "Idempotency-Key"
OUTCOME = "Mangobay-Outcome"
PADDING = "." * 400
"""Makes a cut answer visible."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run of an operation.

    Attributes:
      work: which operation.
      marker: given by the load, the same for the whole call tree.
      key: the idempotency key, empty without one.
      seconds: time in a slot.
      finished: whether its answer was handed back.
    """

    work: deployment.WorkId
    marker: str
    key: str
    seconds: float = 0.0
    finished: bool = False


class ChildFailedError(Exception):
    """A call to another service was not answered."""


class Backend:
    """The backend server of one host.

    Attributes:
      factor: what times all work takes; above 1 it is slow.
      honest: whether the health endpoint tells the truth.
      active: calls in a slot.
      waiting: calls that wait for one.
      shed: calls refused without a run.
      runs: every run.
      kept: non-idempotent runs, finished also when the caller hangs up.
    """

    def __init__(self, plan: deployment.Deployment, arguments):
        self.plan = plan
        self.service = ids.ServiceName(arguments.service)
        self.node: options.Address = arguments.node
        self.listen: options.Address = arguments.listen
        self.slots: int = arguments.slots
        self.queue: int = arguments.queue
        self.child_tries: int = arguments.child_tries
        self.free = asyncio.Semaphore(self.slots)
        self.factor = 1.0
        self.honest = True
        self.active = 0
        self.waiting = 0
        self.shed = 0
        self.runs: list[Run] = []
        self.kept: set[asyncio.Task] = set()
        self.session = sessions.open_session()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        if request.path.startswith("/fake/"):
            return await self.control(request)
        if request.path == "/health":
            return self.health()
        operation = self.plan.table.find(
            self.service, request.method, request.path
        )
        if operation is None:
            return web.json_response({"error": "no such path"}, status=404)
        if self.free.locked() and self.waiting >= self.queue:
            self.shed += 1
            return web.json_response(
                {"error": "overloaded"},
                status=503,
                headers={"Retry-After": "1", OUTCOME: "not_run"},
            )
        await request.read()
        if operation.idempotent:
            return await self.in_slot(operation, request)
        task = asyncio.create_task(self.in_slot(operation, request))
        self.kept.add(task)
        task.add_done_callback(self.kept.discard)
        return await asyncio.shield(task)

    async def in_slot(
        self, operation: messages.Operation, request: web.BaseRequest
    ) -> web.Response:
        """Waits for a slot and runs the operation in it."""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.active += 1
        try:
            return await self.run(operation, request)
        finally:
            self.active -= 1
            self.free.release()

    async def run(
        self, operation: messages.Operation, request: web.BaseRequest
    ) -> web.Response:
        """Runs an operation in a slot and writes it into the ledger."""
        loop = asyncio.get_running_loop()
        work = self.plan.works[deployment.work_id(operation)]
        marker = request.headers.get(MARKER, "")
        run = Run(
            deployment.work_id(operation),
            marker,
            request.headers.get(KEY, ""),
        )
        self.runs.append(run)
        began = loop.time()
        try:
            await asyncio.sleep(work.work_ms * self.factor / 1000)
            for child in work.calls:
                await self.call(child, request)
        except ChildFailedError as error:
            return web.json_response({"error": str(error)}, status=502)
        finally:
            run.seconds = loop.time() - began
        run.finished = True
        return web.json_response(
            {"work": run.work, "marker": marker, "padding": PADDING}
        )

    async def call(
        self, child: deployment.WorkId, parent: web.BaseRequest
    ) -> None:
        """Calls another service through the node on this host.

        Raises:
          ChildFailedError: no answer with status 200 came.
        """
        operation = self.plan.works[child].operation
        target = deployment.target_of(operation, CHILD_NUMBER)
        headers = {
            name: value
            for name, value in parent.headers.items()
            if name.lower() in PASSED_ON
        }
        if not operation.idempotent:
            headers[KEY] = str(uuid6.uuid7())
        url = f"http://{self.node}/{operation.service}{target}"
        status = 0
        for _ in range(1 + self.child_tries):
            try:
                async with self.session.request(
                    operation.method, url, headers=headers
                ) as response:
                    body = await response.read()
                    status = response.status
            except aiohttp.ClientError:
                status = 0
                body = b""
            if status == 200:
                return
        raise ChildFailedError(f"{child} gave {status} {why_of(body)}")

    def health(self) -> web.Response:
        """Returns health and load, or a lie."""
        load = self.active / self.slots if self.honest else 0.0
        return web.json_response({"healthy": True, "load": load})

    async def control(self, request: web.BaseRequest) -> web.Response:
        """Answers the bench: the ledger, and settings of the fake."""
        match request.path:
            case "/fake/runs":
                return web.json_response(
                    [dataclasses.asdict(run) for run in self.runs]
                )
            case "/fake/counts":
                return web.json_response(
                    {
                        "active": self.active,
                        "waiting": self.waiting,
                        "shed": self.shed,
                        "runs": len(self.runs),
                    }
                )
            case "/fake/set":
                wanted = json.loads(await request.read())
                self.factor = wanted.get("factor", self.factor)
                self.honest = wanted.get("honest", self.honest)
                return web.json_response({})
        return web.json_response({}, status=404)

    async def announce(self) -> None:
        """Announces this backend server to its node until cancelled."""
        while True:
            await self.tell_node("POST")
            await asyncio.sleep(RENEW_SECONDS)

    async def tell_node(self, method: str) -> None:
        """Sends one announcement; a node that is away is told again later."""
        facts = {
            "service": self.service,
            "address": str(self.listen),
            "slots": self.slots,
        }
        try:
            async with self.session.request(
                method, f"http://{self.node}{ANNOUNCE_PATH}", json=facts
            ) as response:
                await response.read()
        except aiohttp.ClientError:
            return

    async def drained(self) -> None:
        """Returns once no call is in flight."""
        while self.active or self.waiting:
            await asyncio.sleep(0.02)


async def serve(arguments) -> None:
    """Serves until SIGTERM, then drains."""
    plan = deployment.read(arguments.deployment)
    backend = Backend(plan, arguments)
    async with serving.listening(backend.handle, arguments.listen) as stopping:
        announcing = asyncio.create_task(backend.announce())
        await stopping.wait()
        announcing.cancel()
        await backend.tell_node("DELETE")
        await backend.drained()
    await backend.session.close()


def why_of(body: bytes) -> str:
    """Returns the reason that the body of a failure gives, or nothing."""
    try:
        document = json.loads(body)
    except ValueError:
        return ""
    return str(document.get("reason") or document.get("error") or "")


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--listen", type=options.parse_address, required=True)
    parser.add_argument("--node", type=options.parse_address, required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument(
        "--queue", type=int, default=0, help="calls that may wait for a slot"
    )
    parser.add_argument(
        "--child-tries", type=int, default=0, help="repeats of its own calls"
    )
    return parser


if __name__ == "__main__":
    asyncio.run(serve(make_parser().parse_args()))
