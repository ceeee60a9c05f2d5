"""Resolution of calls on a connection that has gone silent: the calling side.

A call on such a connection may have run or not.  The node that it was sent to
is asked about it over a new connection (`callquery`).  Only a node that answers
there while the old connection stays silent has lost that connection; one that
is frozen or slow answers on neither.
"""

import asyncio
import collections
import collections.abc
import enum

from mangobay import connections, errors, logs
from mangobay.generated import messages

RETRY_SECONDS = 0.1
"""Pause after a connection attempt or a query that has failed."""

Connect = collections.abc.Callable[
    [connections.Connection],
    collections.abc.Awaitable[connections.Connection],
]
"""Returns a usable connection to the peer that is not the given one.

It raises errors.PeerUnreachableError if there is none.
"""


class Resolution(enum.Enum):
    """What the peer replied about a call."""

    REPLIED = "replied"
    """The reply of the call; it may be that the outcome is unknown."""
    REFUSED = "refused"
    """It has not run and never will."""
    UNRESOLVED = "unresolved"
    """The peer was restarted, gone, or did not reply in time."""


class CallResolver:
    """Asks peers about the calls on silent connections.

    Attributes:
      counts: number of resolved calls by result.
      replaced_count: number of silent connections that were replaced.
      resolving: the connections for which a newer one is being found.
      tasks: the tasks that find connections and send queries.
    """

    def __init__(self):
        self.counts: collections.Counter[Resolution] = collections.Counter()
        self.replaced_count = 0
        self.resolving: set[connections.Connection] = set()
        self.tasks: set[asyncio.Task] = set()

    def resolve(
        self, connection: connections.Connection, connect: Connect
    ) -> None:
        """Starts to resolve the calls on a silent connection.

        Does nothing while that is in progress.
        """
        if connection not in self.resolving:
            self.resolving.add(connection)
            self.start(self.replace(connection, connect))

    def start(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task:
        """Returns a task that is cancelled by close."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def replace(
        self, connection: connections.Connection, connect: Connect
    ) -> None:
        """Finds a newer connection, and asks there about all calls."""
        try:
            newer = await self.find_newer(connection, connect)
            if newer is not None:
                self.query_calls(connection, newer, connect)
        finally:
            self.resolving.discard(connection)

    async def find_newer(
        self, connection: connections.Connection, connect: Connect
    ) -> connections.Connection | None:
        """Returns another connection to the peer while one stays silent.

        Returns:
          None if bytes came on the silent connection after all, or it has ended
          or has no more calls.
        """
        heard_at = connection.last_received_at
        while connection.tracked_requests and not connection.closed:
            try:
                newer = await connect(connection)
            except errors.PeerUnreachableError:
                newer = None
                await asyncio.sleep(RETRY_SECONDS)
            # An unresponsive connection gets no new calls, so that its
            # remaining ones are asked about even if it recovers.
            has_recovered = connection.last_received_at != heard_at
            if has_recovered and not connection.unresponsive:
                connection.tolerate_silence()
                if newer is not None:
                    newer.silence_share = connection.silence_share
                return None
            if newer is not None:
                return newer
        return None

    def query_calls(
        self,
        connection: connections.Connection,
        newer: connections.Connection,
        connect: Connect,
    ) -> None:
        """Starts a query for each call, and fails all other requests.

        Those may be sent again.  All requests fail if the peer was restarted: a
        new process cannot know what the former one ran.
        """
        connection.liveness_check.discard(connection)
        is_same_process = (
            newer.peer_hello.incarnation == connection.peer_hello.incarnation
        )
        queried_count = 0
        for stream, future in list(connection.pending_requests.items()):
            if future.done() or stream in connection.queried_calls:
                continue
            body, deadline = connection.tracked_requests.get(
                stream, (None, 0.0)
            )
            is_call = isinstance(body, messages.Call)
            if is_call and is_same_process:
                connection.queried_calls.add(stream)
                task = self.start(
                    self.query(connection, body, deadline, future, connect)
                )
                future.add_done_callback(lambda _, task=task: task.cancel())
                queried_count += 1
                continue
            if is_call:
                self.counts[Resolution.UNRESOLVED] += 1
            future.set_exception(errors.PeerBrokenError("replaced"))
        # Nothing else would notice that no more parts of them come.
        connection.bodies.cut_off("replaced")
        self.replaced_count += 1
        logs.log_event(
            logs.Component.PEER,
            "silent connection replaced",
            host=connection.peer_hello.host,
            queried=queried_count,
            restarted=not is_same_process,
        )

    async def query(
        self,
        silent: connections.Connection,
        call: messages.Call,
        deadline: float,
        future: asyncio.Future[messages.EnvelopeBody],
        connect: Connect,
    ) -> None:
        """Resolves one call.

        Args:
          silent: the connection on which the call was sent.
          call: the call.
          deadline: loop time at which it times out.
          future: receives its reply.  When it is done otherwise, as the reply
            came after all or the caller gave up, this task is cancelled.
          connect: returns the connection for the query.
        """
        reply = None
        failure = errors.PeerBrokenError("unresolved")
        try:
            reply = await self.send_query(silent, call, deadline, connect)
            if asyncio.get_running_loop().time() >= deadline:
                # The called node may have forgotten a call that has run.
                reply, failure = None, TimeoutError()
        except TimeoutError as error:
            failure = error
        except errors.PeerError:
            # A query that was not sent says nothing about its call.
            pass
        finally:
            if not future.done():
                self.finish(future, reply, failure)

    async def send_query(
        self,
        silent: connections.Connection,
        call: messages.Call,
        deadline: float,
        connect: Connect,
    ) -> messages.EnvelopeBody:
        """Returns the reply to a query, which is sent until there is one.

        A query may be sent again, as its own connection may fail.  Queries for
        an idempotent call are sent once: it can be sent to another host.

        Raises:
          errors.PeerError: no reply can come.
          TimeoutError: no reply came before the deadline.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                newer = await connect(silent)
                if (
                    newer.peer_hello.incarnation
                    != silent.peer_hello.incarnation
                ):
                    break
                seconds_left = max(deadline - loop.time(), 0.001)
                query = messages.CallQuery(
                    call_id=call.call_id,
                    time_left_ms=int(seconds_left * 1000),
                )
                return await newer.send_request(query, seconds_left)
            except errors.PeerError:
                if call.idempotent:
                    raise
            await asyncio.sleep(RETRY_SECONDS)
        raise errors.PeerBrokenError("the peer was restarted")

    def finish(
        self,
        future: asyncio.Future[messages.EnvelopeBody],
        reply: messages.EnvelopeBody | None,
        failure: Exception,
    ) -> None:
        """Passes the result of a query to the request that waits for it.

        Args:
          future: receives the result.
          reply: reply to the query; None if there is none.
          failure: error of a call without a reply.
        """
        match reply:
            case messages.Reply(
                outcome=messages.Outcome.NOT_RUN,
                reason=messages.Reason.CONNECTION_FAILED,
            ):
                self.counts[Resolution.REFUSED] += 1
                future.set_exception(
                    errors.CallRefusedError("refused by a query")
                )
            case messages.Reply():
                self.counts[Resolution.REPLIED] += 1
                future.set_result(reply)
            case _:
                self.counts[Resolution.UNRESOLVED] += 1
                future.set_exception(failure)

    async def close(self) -> None:
        """Stops all queries; their calls fail."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
