"""Crowds of clients that break the limits of a port, and what they cost it."""

import asyncio
import contextlib
import itertools
import pathlib

import platformfakes

CROWD_SECONDS = 12.0
"""Maximum time for which the memory of the processes is watched."""
POLL_SECONDS = 0.25
SETTLED_POLLS = 6
"""Polls without growth after which a crowd has had its effect."""
GROWTH_KB = 1024
"""Growth between two polls that counts."""


class Sender(asyncio.Protocol):
    """A connection that sends pieces as fast as it can, and reads nothing.

    Attributes:
      pieces: what is left to send.
      transport: None before the connection opens.
      paused: the write buffer is full.
    """

    def __init__(self, pieces):
        self.pieces = iter(pieces)
        self.transport = None
        self.paused = False

    def connection_made(self, transport):
        self.transport = transport
        transport.pause_reading()
        self.send()

    def pause_writing(self):
        self.paused = True

    def resume_writing(self):
        self.paused = False
        self.send()

    def send(self):
        """Writes pieces until the write buffer is full."""
        while not self.paused and not self.transport.is_closing():
            piece = next(self.pieces, None)
            if piece is None:
                return
            self.transport.write(piece)


class Crowd:
    """Connections to one port that stay open.

    Attributes:
      senders: one for each connection.
    """

    def __init__(self):
        self.senders = []

    async def open(self, ip, port, count, make_pieces):
        """Opens connections; a process may refuse some of them."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            sender = Sender(make_pieces())
            with contextlib.suppress(OSError):
                await loop.create_connection(lambda s=sender: s, ip, port)
                self.senders.append(sender)

    def close(self):
        """Resets all connections."""
        for sender in self.senders:
            sender.transport.abort()


@contextlib.asynccontextmanager
async def crowd(ip, port, count, make_pieces):
    """Yields a crowd that has opened its connections."""
    opened = Crowd()
    try:
        await opened.open(ip, port, count, make_pieces)
        yield opened
    finally:
        opened.close()


def head_without_end(line_bytes, line_count=120):
    """Returns the pieces of a head with many long lines and no end."""
    line = b"X-Line: " + b"x" * line_bytes + b"\r\n"
    return itertools.chain(
        [b"GET /x HTTP/1.1\r\nHost: a.example\r\n"],
        itertools.repeat(line, line_count),
    )


def requests_ahead(service, count, head_bytes=0):
    """Returns the pieces of requests that are sent without reading."""
    filler = f"X-Filler: {'x' * head_bytes}\r\n" if head_bytes else ""
    request = (
        f"GET /x HTTP/1.1\r\nHost: {service}.example\r\n{filler}"
        "X-Mangobay-Attempt-Id: ahead\r\nX-Mangobay-Deadline-Ms: 8000\r\n\r\n"
    ).encode()
    block = request * min(count, 64)
    return itertools.repeat(block, max(count // 64, 1))


def empty_lines():
    """Returns the pieces of empty lines without end."""
    return itertools.repeat(b"\r\n" * 1024)


def memory_kb(process, name="VmHWM"):
    """Returns the memory of a process; by default the greatest so far."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition(f"{name}:")[2].split()[0])


def descriptor_count(process):
    """Returns the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


async def watch(processes, max_kb):
    """Returns the greatest memory and descriptor count once they are steady.

    Returns as soon as the memory exceeds its bound, too. A process that has ended
    fails the test.

    Args:
      processes: the processes.
      max_kb: bound of the memory of each.
    """
    ends_at = asyncio.get_running_loop().time() + CROWD_SECONDS
    peak_kb = descriptors = steady = 0
    while asyncio.get_running_loop().time() < ends_at:
        assert [each.poll() for each in processes] == [None] * len(processes)
        now_kb = max(map(memory_kb, processes))
        steady = steady + 1 if now_kb - peak_kb < GROWTH_KB else 0
        peak_kb = max(peak_kb, now_kb)
        descriptors = max(descriptors, *map(descriptor_count, processes))
        if steady >= SETTLED_POLLS or peak_kb > max_kb:
            break
        await asyncio.sleep(POLL_SECONDS)
    return peak_kb, descriptors


async def wait_until_answered(send, statuses):
    """Returns once an ordinary request gets one of some statuses.

    Args:
      send: sends one request and returns its response.
      statuses: the statuses that count.
    """

    async def answered():
        return (await send()).status in statuses

    await platformfakes.wait_until(answered)
