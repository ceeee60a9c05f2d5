"""A proxy that swallows or holds bytes, and a called node behind it."""

import asyncio
import contextlib

from mangobay import callquery, options, peers
from mangobay.generated import messages, settings

LOOPBACK = options.Address("127.0.0.1", 0)
LONG_SECONDS = 0.22
"""Time of a call that is longer than the wait before a Ping."""
CONFIG = settings.NodeSilence(
    queries=True, share=0.3, calls=1000, reply_bytes=100_000
)


class Link:
    """One connection through the proxy.

    Attributes:
      requests: set while bytes to the called node pass.
      replies: set while bytes to the calling node pass.
    """

    def __init__(self):
        self.requests = asyncio.Event()
        self.replies = asyncio.Event()
        self.requests.set()
        self.replies.set()

    def silence(self) -> None:
        """Holds the bytes of both directions."""
        self.requests.clear()
        self.replies.clear()

    def release(self) -> None:
        """Delivers the held bytes and those to come."""
        self.requests.set()
        self.replies.set()


class Proxy:
    """Forwards connections; each can be made silent without a reset.

    Attributes:
      links: the connections, oldest first.
      silent_from: number of connections after which new ones are silent.
    """

    def __init__(self, target: options.Address):
        self.target = target
        self.links: list[Link] = []
        self.silent_from = 1_000_000
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> options.Address:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return options.Address(*self.server.sockets[0].getsockname())

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        link = Link()
        self.links.append(link)
        if len(self.links) > self.silent_from:
            link.silence()
        far_reader, far_writer = await asyncio.open_connection(
            self.target.ip, self.target.port
        )
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self.forward(reader, far_writer, link.requests),
                self.forward(far_reader, writer, link.replies),
            )

    async def forward(self, reader, writer, passing):
        while data := await reader.read(65536):
            await passing.wait()
            writer.write(data)
        await passing.wait()
        writer.close()

    async def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class CalledNode:
    """A listener with a memory of calls; it counts the runs.

    Attributes:
      runs: operations of the calls that ran, in order.
      aborted: operations of the calls that were cancelled.
      release: set to end the calls whose operation is `slow`.
    """

    def __init__(self, hello: messages.Hello, config=CONFIG):
        self.listener = peers.Listener(LOOPBACK, hello, self.handle)
        self.memory = callquery.CallMemory(config, self.listener)
        self.runs: list[str] = []
        self.aborted: list[str] = []
        self.queries = 0
        self.release = asyncio.Event()

    async def handle(self, hello, body):
        match body:
            case messages.CallQuery():
                self.queries += 1
                return await self.memory.answer(hello, body)
        return await self.memory.run(body, self.serve)

    async def serve(self, call: messages.Call) -> messages.Reply:
        self.runs.append(call.operation)
        try:
            if call.operation == "slow":
                await self.release.wait()
            if call.operation == "long":
                await asyncio.sleep(LONG_SECONDS)
        except asyncio.CancelledError:
            self.aborted.append(call.operation)
            raise
        return messages.Reply(status=200, body=call.operation.encode())
