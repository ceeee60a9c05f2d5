"""An application upstream beside a node, on the platform's protocol."""

import asyncio
import collections.abc
import dataclasses
import json
import time

from standins import messages, record

HEARTBEAT_SECONDS = 1.5
BEAT_TIMEOUT = 1.0
KEEP_ALIVE_SECONDS = 10


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an upstream began to work on.

    Attributes:
      at: monotonic time of its arrival.
      service: service of the upstream.
      attempt: its attempt id.
      target: its path and query.
      ended: how it ended: answered, or cut off.
    """

    at: float
    service: str
    attempt: str
    target: str
    ended: str = ""


class Upstream:
    """One lifetime of an upstream; it reports to the node on its machine.

    Attributes:
      runs: the requests that it ran.
      refused: the requests that were meant for another upstream.
      state: the state in its liveness reports.
      acked_leaving_at: monotonic time at which a node confirmed that it
        drains, or has deregistered; 0 before.
    """

    def __init__(
        self,
        log: record.Record,
        ip: str,
        service: str,
        *,
        app_port: int,
        control_port: int,
        zone: str,
        slots: int = 116,
        work_seconds: float = 0.05,
        instance: str = "",
    ):
        self.log = log
        self.ip = ip
        self.service = service
        self.app_port = app_port
        self.control_port = control_port
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.instance = instance or f"i-{service}-{ip.rpartition('.')[2]}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.acked_leaving_at = 0.0
        self.runs: list[Run] = []
        self.refused: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.beat_task: asyncio.Task | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens, and begins to report."""
        await self.listen()
        self.beat_task = asyncio.create_task(self.report())

    async def listen(self) -> None:
        """Opens the port for requests."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.app_port, backlog=1024
        )

    async def report(self) -> None:
        """Sends liveness reports; a failed one is sent again soon."""
        while True:
            acked = await self.beat(routine=True)
            await asyncio.sleep(HEARTBEAT_SECONDS if acked else 0.3)

    def make_beat(self) -> dict:
        """Returns the body of the next liveness report."""
        self.sequence += 1
        return {
            "address": f"{self.ip}:{self.app_port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining": "0ms",
            },
        }

    async def beat(self, routine: bool = False) -> bool:
        """Sends a liveness report; returns whether it was confirmed."""
        return await self.send_beat(self.make_beat(), routine)

    async def send_beat(self, body: dict, routine: bool = False) -> bool:
        """Sends a given liveness report; returns whether it was confirmed.

        Args:
          body: the report.
          routine: whether it is left out of the record if it is confirmed.
        """
        response = await messages.call_rpc(
            self.ip,
            self.control_port,
            "instances.heartbeat",
            body,
            subject=self.instance,
            timeout=BEAT_TIMEOUT,
        )
        acked = response is not None and 200 <= response.status < 300
        if not (routine and acked):
            self.log.add(
                f"{self.instance} reports {json.dumps(body['status'])}:"
                f" {response.status if response else 'no response'}"
            )
        leaving = body["status"]["state"] == "draining"
        if acked and leaving and not self.acked_leaving_at:
            self.acked_leaving_at = time.monotonic()
        return acked

    async def deregister(self) -> bool:
        """Deregisters; returns whether that was confirmed."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        response = await messages.call_rpc(
            self.ip,
            self.control_port,
            "instances.deregister",
            {"born": self.born},
            subject=self.instance,
            timeout=BEAT_TIMEOUT,
        )
        acked = response is not None and 200 <= response.status < 300
        self.log.add(
            f"{self.instance} deregisters:"
            f" {response.status if response else 'no response'}"
        )
        if acked and not self.acked_leaving_at:
            self.acked_leaving_at = time.monotonic()
        return acked

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection, one at a time."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await messages.read_message(reader)
                writer.write(await self.respond(request, reader))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def respond(
        self, request: messages.Message, reader: asyncio.StreamReader
    ) -> bytes:
        """Runs a request; returns the bytes of the response."""
        attempt = request.headers.get("x-mangobay-attempt-id", "")
        headers = {
            "X-Mangobay-Attempt-Id": attempt,
            "Keep-Alive": f"timeout={KEEP_ALIVE_SECONDS}",
            "X-Mangobay-Server-Load": f"{len(self.tasks)},0,{self.slots}",
        }
        target = request.headers.get("x-mangobay-target-instance")
        if target is not None and target != self.instance:
            self.refused.append(attempt)
            self.log.add(f"{self.instance} answers 421 to {attempt}")
            return messages.encode("HTTP/1.1 421 Misdirected", headers)
        if not attempt:
            headers["X-Mangobay-Not-Executed"] = "1"
            return messages.encode("HTTP/1.1 400 No id", headers)
        run = Run(time.monotonic(), self.service, attempt, request.start[1])
        self.runs.append(run)
        self.log.add(f"{self.instance} runs {attempt} {run.target}", run.at)
        try:
            await self.work(reader)
        except ConnectionError:
            run.ended = "dropped, its connection was closed"
            raise
        except asyncio.CancelledError:
            run.ended = "cut off"
            raise
        run.ended = "answered"
        body = f"{self.instance} {attempt}".encode()
        headers["X-Mangobay-Response-Signature"] = f"s.{len(body)}.{attempt}"
        return messages.encode("HTTP/1.1 200 OK", headers, body)

    async def work(self, reader: asyncio.StreamReader) -> None:
        """Works on a request, until its connection closes at the latest.

        Raises:
          ConnectionError: the connection was closed.
        """
        end_at = time.monotonic() + self.work_seconds
        while time.monotonic() < end_at:
            await asyncio.sleep(min(0.02, self.work_seconds))
            if reader.at_eof():
                raise ConnectionError("closed by the node")

    async def stop(self) -> None:
        """Exits: the port is closed, and requests are cut off."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


def find_run(
    upstreams: collections.abc.Iterable[Upstream], attempt: str
) -> Run | None:
    """Returns the run of an attempt at any of the upstreams, None if none."""
    for server in upstreams:
        for run in server.runs:
            if run.attempt == attempt:
                return run
    return None
