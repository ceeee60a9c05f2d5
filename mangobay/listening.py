"""Listening sockets, and their connections until a protocol has them."""

import asyncio
import collections.abc
import math
import os
import socket
import ssl

from mangobay import errors, logs, options

BACKLOG = 100
"""Default length of the accept queue."""
ACCEPT_RETRY_SECONDS = 1.0
"""Seconds until connections are accepted again after an error, such as that no
file descriptor is left."""
HANDSHAKE_SECONDS = 0.1
"""Maximum wait on close for TLS handshakes."""
RECEIVE_TURNS = 2
"""Iterations of the event loop after which what a connection has received when
the first one began was passed to its protocol."""
LOG_INTERVAL_SECONDS = 1.0
"""Seconds between two log lines on connections that failed at their start."""
ProtocolFactory = collections.abc.Callable[[], asyncio.BaseProtocol]


class Server:
    """Accepts connections on one address.

    `asyncio.Server` abandons a connection that it accepts just before it is
    closed: nobody serves it, and it stays open until the process ends. This
    class hands over every accepted connection before its `close` returns.

    Attributes:
      address: address to listen on; port 0 is replaced by the actual port.
      make_protocol: returns the protocol of a new connection.
      backlog: length of the accept queue.
      tls: context of TLS connections; None for plain ones.
      handshake_timeout: seconds that a TLS handshake may take.
      sock: the listening socket; None before start and after close.
      hand_overs: tasks that create the transports of accepted connections.
      retry_timer: timer of the next attempt to accept after an error.
      failed_count: connections that have failed since the last log line.
      logged_at: loop time of that line.
    """

    def __init__(
        self,
        address: options.Address,
        make_protocol: ProtocolFactory,
        *,
        backlog: int = BACKLOG,
        tls: ssl.SSLContext | None = None,
        handshake_timeout: float | None = None,
    ):
        self.address = address
        self.make_protocol = make_protocol
        self.backlog = backlog
        self.tls = tls
        self.handshake_timeout = handshake_timeout if tls else None
        self.sock: socket.socket | None = None
        self.hand_overs: set[asyncio.Task] = set()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.failed_count = 0
        self.logged_at = -math.inf

    def start(self) -> None:
        """Opens the socket and accepts connections.

        Raises:
          errors.StartError: the address is in use or not on this host.
        """
        family = socket.AF_INET6 if ":" in self.address.ip else socket.AF_INET
        try:
            self.sock = socket.create_server(
                self.address, family=family, backlog=self.backlog
            )
        except OSError as error:
            # The error's own text may name the address a second time.
            reason = os.strerror(error.errno) if error.errno else error
            raise errors.StartError(
                f"cannot listen on {self.address}: {reason}"
            ) from None
        self.sock.setblocking(False)
        port = self.sock.getsockname()[1]
        self.address = options.Address(self.address.ip, port)
        self.resume_accepting()

    def resume_accepting(self) -> None:
        """Accepts connections from now on."""
        self.retry_timer = None
        asyncio.get_running_loop().add_reader(self.sock, self.accept_waiting)

    def accept_waiting(self) -> None:
        """Accepts the connections in the accept queue."""
        # The accept queue of Linux holds one connection more than its length.
        for _ in range(self.backlog + 1):
            try:
                accepted, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self.pause_accepting(error)
                return
            task = asyncio.create_task(self.hand_over(accepted))
            self.hand_overs.add(task)
            task.add_done_callback(self.hand_overs.discard)

    def pause_accepting(self, error: OSError) -> None:
        """Accepts nothing for a while: the socket would stay readable."""
        logs.log_event(
            logs.Component.PEER,
            "cannot accept connections",
            address=str(self.address),
            why=os.strerror(error.errno),
        )
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock)
        self.retry_timer = loop.call_later(
            ACCEPT_RETRY_SECONDS, self.resume_accepting
        )

    async def hand_over(self, accepted: socket.socket) -> None:
        """Creates the transport of a connection and connects its protocol."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self.make_protocol,
                accepted,
                ssl=self.tls,
                ssl_handshake_timeout=self.handshake_timeout,
            )
        except Exception as error:  # noqa: BLE001
            # Also a protocol that cannot be created leaves none open.
            accepted.close()
            self.log_failure(error)

    def log_failure(self, error: Exception) -> None:
        """Counts a connection that failed at its start; logs some of them."""
        self.failed_count += 1
        now = asyncio.get_running_loop().time()
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        logs.log_event(
            logs.Component.PEER,
            "connections failed at their start",
            address=str(self.address),
            connections=self.failed_count,
            why=repr(error),
        )
        self.failed_count = 0
        self.logged_at = now

    async def close(self) -> None:
        """Closes the socket, and leaves no accepted connection behind.

        Every connection in the accept queue has its protocol then, which has
        received what had arrived. TLS handshakes that take longer are aborted.
        """
        if self.sock is None:
            return
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.accept_waiting()
        # Accepting the last ones may have failed too.
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
        self.sock = None
        try:
            if self.hand_overs:
                # A plain connection takes a few iterations of the event loop,
                # however long they last.
                timeout = HANDSHAKE_SECONDS if self.tls else None
                await asyncio.wait(self.hand_overs, timeout=timeout)
        finally:
            for task in self.hand_overs:
                task.cancel()
        for _ in range(RECEIVE_TURNS):
            await asyncio.sleep(0)
