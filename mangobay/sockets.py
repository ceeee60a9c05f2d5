"""Options of the sockets between processes."""

import asyncio
import socket

USER_TIMEOUT_MS = 5000
"""Bytes that the peer's kernel does not acknowledge end the connection."""
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3


def set_options(transport: asyncio.Transport) -> None:
    """Sets the socket so that a silent partition ends the connection.

    A peer behind a cut that drops packets neither closes nor answers: calls
    would wait on it until their deadlines, again and again.  Bounding the
    time without an acknowledgement ends the connection; a peer that is
    merely slow still acknowledges and is left alone.
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
