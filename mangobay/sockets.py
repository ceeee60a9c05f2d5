"""Socket options of connections between processes."""

import asyncio
import contextlib
import fcntl
import os
import socket
import struct
import sys
import termios

USER_TIMEOUT_MS = 5000
"""TCP_USER_TIMEOUT: time in milliseconds without an acknowledgement of sent
bytes after which the kernel ends the connection."""
KEEPALIVE_INTERVAL_SECONDS = 2
"""Idle time before the first keepalive probe, and time between probes."""
KEEPALIVE_PROBES = 3
"""Unanswered keepalive probes after which the kernel ends the connection."""
READ_BYTES = 256 * 1024
"""Most bytes of one read."""
QUEUE_SIZE = struct.Struct("i")
CLOSE_WAIT_STATE = 8
"""State in TCP_INFO of a connection on which only the peer has closed."""


def set_options(transport: asyncio.Transport) -> None:
    """Sets timeouts with which a network partition ends the connection.

    A peer behind a partition that drops packets neither closes the connection
    nor replies, so that calls would wait for it until their deadlines again
    and again.  Bounding the time without an acknowledgement ends the
    connection.  The kernel of a peer that is merely slow still acknowledges,
    so its connection stays.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
        ("TCP_KEEPIDLE", KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
    ):
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def is_half_closed(transport: asyncio.Transport) -> bool:
    """Returns whether the peer has closed its side and the connection is open.

    Only Linux tells; elsewhere a connection counts as closed.
    """
    if transport.is_closing() or not hasattr(socket, "TCP_INFO"):
        return False
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == CLOSE_WAIT_STATE


def read_received(transport: asyncio.Transport) -> bytes:
    """Returns what has arrived on a connection that has failed.

    After a failed write a transport reads nothing more, though the kernel may
    still hold what the peer sent before it closed.
    """
    received = []
    sock = transport.get_extra_info("socket")
    with (
        contextlib.suppress(OSError, ValueError),
        socket.socket(fileno=os.dup(sock.fileno())) as duplicate,
    ):
        while data := duplicate.recv(READ_BYTES, socket.MSG_DONTWAIT):
            received.append(data)
    return b"".join(received)


def count_unread_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes have arrived that were not read, 0 if unknown."""
    if sys.platform != "linux":
        return 0
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError, ValueError):
        queued = fcntl.ioctl(
            sock.fileno(), termios.FIONREAD, bytes(QUEUE_SIZE.size)
        )
        return QUEUE_SIZE.unpack(queued)[0]
    return 0


def count_unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Returns how many written bytes the peer has not acknowledged.

    Only Linux reports those that the kernel holds; elsewhere they count as
    acknowledged.
    """
    count = transport.get_write_buffer_size()
    if sys.platform != "linux":
        return count
    sock = transport.get_extra_info("socket")
    # The socket is closed once the connection has ended.
    with contextlib.suppress(OSError, ValueError):
        queued = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size)
        )
        count += QUEUE_SIZE.unpack(queued)[0]
    return count
