"""Queries of calling nodes about calls on connections that have gone silent.

A calling node that gets no bytes on a connection asks over another one what
became of each call on it.  The called node either has the call, or refuses it
for good, so that a call which is refused can be sent to another host.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from mangobay import calls, ids
from mangobay.generated import messages, settings

MARGIN_SECONDS = 1.0
"""Time past its deadline for which an ended call is remembered.

The calling node takes no reply to a query after the deadline, so that a call
which is forgotten after this time is never told to be not run.
"""
FORGET_INTERVAL_SECONDS = 1.0
"""Seconds between two searches for ended calls to forget.

A search at each end of a call would cost more than the rest of the recording.
"""
REPLY_OVERHEAD_BYTES = 1024
"""Memory counted for a reply besides its body."""

Serve = collections.abc.Callable[
    [messages.Call], collections.abc.Awaitable[messages.Reply]
]
ABORTED_REPLY = calls.unknown_reply(messages.Reason.CONNECTION_BROKEN)
"""Reply to queries about a call that was aborted or whose reply is not kept."""


class Connections(typing.Protocol):
    """The part of `peers.Listener` that queries use."""

    def supersede_older(self, hello: messages.Hello) -> None:
        """Drops what still arrives on the peer's older connections."""

    def detach_handler(self, task: asyncio.Task) -> None:
        """Lets a task go on when its connection ends."""


@dataclasses.dataclass(slots=True)
class EndedCall:
    """A call that has ended, or was refused before it arrived.

    Attributes:
      expires_at: loop time after which nobody waits for the call.
      reply: its reply; None if that is not kept.
      reply_bytes: memory counted for the reply.
    """

    expires_at: float
    reply: messages.Reply | None
    reply_bytes: int


class CallMemory:
    """Calls of other nodes by id, and the replies to queries about them.

    Only calls of nodes that send queries are recorded.  A refusal is decided
    and recorded in one step of the event loop, so that a call which arrives
    meanwhile either is found running or finds its refusal.

    Attributes:
      config: bounds of the memory.
      connections: the connections of other nodes.
      running: tasks of the calls without a reply, by call id.
      waiting_queries: number of queries that wait for a running call.
      ends: futures that are done when such a call has ended.
      ended: calls that have ended, in the order of their ends.
      kept_replies: ids of the ended calls whose replies are kept, in the order
        of their ends.
      kept_bytes: memory of these replies.
      forget_at: loop time of the next search for calls to forget.
      forgotten_until: loop time until which a call that is not known may be one
        that was forgotten before its deadline.
      refused_count: calls refused by queries since the start.
    """

    def __init__(self, config: settings.NodeSilence, connections: Connections):
        self.config = config
        self.connections = connections
        self.running: dict[ids.CallId, asyncio.Task] = {}
        self.waiting_queries: collections.Counter[ids.CallId] = (
            collections.Counter()
        )
        self.ends: dict[ids.CallId, asyncio.Future[None]] = {}
        self.ended: collections.OrderedDict[ids.CallId, EndedCall] = (
            collections.OrderedDict()
        )
        self.kept_replies: collections.deque[ids.CallId] = collections.deque()
        self.kept_bytes = 0
        self.forget_at = 0.0
        self.forgotten_until = 0.0
        self.refused_count = 0

    async def run(self, call: messages.Call, serve: Serve) -> messages.Reply:
        """Serves a call unless it is known; returns its reply."""
        call_id = call.call_id
        if call_id in self.ended or call_id in self.running:
            return self.reply_of(call_id)
        expires_at = self.expiry(call.deadline_ms)
        self.running[call_id] = asyncio.current_task()
        reply = ABORTED_REPLY
        try:
            reply = await serve(call)
        finally:
            del self.running[call_id]
            self.record_end(call_id, expires_at, reply)
            end = self.ends.pop(call_id, None)
            if end is not None:
                end.set_result(None)
        return reply

    def expiry(self, milliseconds_left: int) -> float:
        """Returns the loop time until which a call is remembered."""
        now = asyncio.get_running_loop().time()
        return now + milliseconds_left / 1000 + MARGIN_SECONDS

    async def answer(
        self, hello: messages.Hello, query: messages.CallQuery
    ) -> messages.Reply:
        """Returns the reply of a call, when it ends, or refuses the call.

        Args:
          hello: Hello of the connection on which the query came.
          query: the query.
        """
        # The memory of refused ids is bounded by time, but a network that
        # recovers may deliver a call much later.
        self.connections.supersede_older(hello)
        call_id = query.call_id
        task = self.running.get(call_id)
        if task is not None:
            await self.wait_for_end(call_id, task)
        elif call_id not in self.ended and not self.may_be_forgotten():
            self.refused_count += 1
            reply = calls.not_run_reply(messages.Reason.CONNECTION_FAILED)
            self.record_end(call_id, self.expiry(query.time_left_ms), reply)
        return self.reply_of(call_id)

    def may_be_forgotten(self) -> bool:
        """Returns whether an unknown call may have run and been forgotten."""
        return asyncio.get_running_loop().time() < self.forgotten_until

    def reply_of(self, call_id: ids.CallId) -> messages.Reply:
        """Returns the reply of an ended call; `unknown` if it is not kept."""
        ended = self.ended.get(call_id)
        if ended is None or ended.reply is None:
            return ABORTED_REPLY
        return ended.reply

    async def wait_for_end(
        self, call_id: ids.CallId, task: asyncio.Task
    ) -> None:
        """Waits for the end of a running call.

        The call is aborted once the last query about it is cancelled, as its
        caller has then disconnected or given up.  Its task may go on after its
        end, to send a large response.
        """
        self.connections.detach_handler(task)
        self.waiting_queries[call_id] += 1
        end = self.ends.get(call_id)
        if end is None:
            end = asyncio.get_running_loop().create_future()
            self.ends[call_id] = end
        try:
            await asyncio.shield(end)
        finally:
            self.waiting_queries[call_id] -= 1
            if not self.waiting_queries[call_id]:
                del self.waiting_queries[call_id]
                if self.running.get(call_id) is task:
                    task.cancel()

    def record_end(
        self, call_id: ids.CallId, expires_at: float, reply: messages.Reply
    ) -> None:
        """Records an ended call, and forgets others to stay within bounds."""
        now = asyncio.get_running_loop().time()
        if now >= self.forget_at:
            self.forget_at = now + FORGET_INTERVAL_SECONDS
            self.forget_expired(now)
        while len(self.ended) >= self.config.calls:
            oldest = self.forget_oldest()
            self.forgotten_until = max(self.forgotten_until, oldest.expires_at)
        reply_bytes = len(reply.body) + REPLY_OVERHEAD_BYTES
        ended = EndedCall(expires_at, None, reply_bytes)
        self.ended[call_id] = ended
        if reply.streamed or reply_bytes > self.config.reply_bytes:
            # The body of a streamed reply is passed on only once.
            return
        ended.reply = reply
        self.kept_replies.append(call_id)
        self.kept_bytes += reply_bytes
        while self.kept_bytes > self.config.reply_bytes:
            self.drop_oldest_reply()

    def forget_expired(self, now: float) -> None:
        """Forgets the calls for which nobody waits any more.

        A call with a later deadline keeps those that ended after it; the number
        of calls is bounded in any case.
        """
        while self.ended:
            oldest = self.ended[next(iter(self.ended))]
            if oldest.expires_at > now:
                return
            self.forget_oldest()

    def forget_oldest(self) -> EndedCall:
        """Forgets and returns the call that ended first."""
        call_id = next(iter(self.ended))
        if self.ended[call_id].reply is not None:
            self.drop_oldest_reply()
        return self.ended.pop(call_id)

    def drop_oldest_reply(self) -> None:
        """Drops the reply that is kept longest."""
        ended = self.ended[self.kept_replies.popleft()]
        ended.reply = None
        self.kept_bytes -= ended.reply_bytes
