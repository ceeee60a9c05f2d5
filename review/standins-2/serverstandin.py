"""Stand-in of an upstream: reports itself, runs requests, and answers them."""

import asyncio
import hashlib
import json

HEARTBEAT_SECONDS = 1.5
PART_BYTES = 32 * 1024


def body_of(attempt_id, size):
    """Returns the body of the answer to a request."""
    seed = hashlib.sha256(attempt_id.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


class Upstream:
    """Serves one service beside a node.

    Attributes:
      sizes: sizes of the answers' bodies by attempt id; the others are short.
      part_seconds: pause behind each part of a body.
      runs: how often each attempt ran.
      received: the body with which each attempt ran.
    """

    def __init__(self, platform, machine, record):
        self.platform = platform
        self.machine = machine
        self.record = record
        self.instance = f"i-{machine.name}"
        self.sequence = 0
        self.sizes = {}
        self.part_seconds = 0.01
        self.runs = {}
        self.received = {}
        self.server = None
        self.heartbeats = None

    async def start(self):
        """Opens the listener and begins to report."""
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.platform.ports["app"]
        )
        self.heartbeats = asyncio.create_task(self.report())

    async def report(self):
        """Sends liveness reports until cancelled."""
        while True:
            self.sequence += 1
            body = {
                "address": f"{self.machine.ip}:{self.platform.ports['app']}",
                "born": 1700000000000,
                "info": {
                    "service": self.machine.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "slots": 50,
                },
                "status": {
                    "state": "ready",
                    "sequence": self.sequence,
                    "cold_remaining": "0ms",
                },
            }
            await self.send_report(json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_report(self, data):
        """Sends one report; a node that isn't there yet is called later."""
        target = f"/-/rpc?call=instances.heartbeat&of={self.instance}"
        head = (
            f"POST {target} HTTP/1.1\r\nHost: {self.machine.ip}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.machine.ip, self.platform.ports["control"]
                )
                writer.write(head.encode() + data)
                await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = parse_headers(head)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                if head.startswith("GET /healthz "):
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        b"X-Mangobay-Instance-Id: "
                        + self.instance.encode()
                        + b"\r\n\r\n"
                    )
                    continue
                await self.run(headers, body, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            # The streams of asyncio log a task that ends as cancelled.
            writer.close()

    async def run(self, headers, received, writer):
        """Runs one request and writes its answer."""
        attempt_id = headers["x-mangobay-attempt-id"]
        self.runs[attempt_id] = self.runs.get(attempt_id, 0) + 1
        self.received[attempt_id] = received
        self.record.write(
            "runs",
            upstream=self.instance,
            attempt=attempt_id,
            body_bytes=len(received),
        )
        body = body_of(attempt_id, self.sizes.get(attempt_id, 64))
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Mangobay-Attempt-Id: {attempt_id}\r\n"
            f"X-Mangobay-Response-Signature: s.{attempt_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode())
        for start in range(0, len(body), PART_BYTES):
            writer.write(body[start : start + PART_BYTES])
            await writer.drain()
            await asyncio.sleep(self.part_seconds)

    async def close(self):
        """Ends the upstream."""
        self.heartbeats.cancel()
        self.server.close()


def parse_headers(head):
    """Returns the headers of a head, by lower-case name."""
    found = {}
    for line in head.split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            found[name.strip().lower()] = value.strip()
    return found


async def read_answer(reader):
    """Returns status, headers and body of the next final answer."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split()[1])
        if status >= 200:
            break
    headers = parse_headers(head)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


def request_bytes(attempt_id, host, path, method="GET", body=b"", extra=""):
    """Returns the bytes of a client's request."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Mangobay-Attempt-Id: {attempt_id}\r\n"
        f"X-Mangobay-Deadline-Ms: 8000\r\n{length}{extra}\r\n"
    )
    return head.encode() + body
