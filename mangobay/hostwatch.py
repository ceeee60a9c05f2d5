"""Finds out at a caller's node that a called host has ended with its calls.

The node beside a backend server knows best what was running there, unless it ends
as well.  Then only the nodes that called it know.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from mangobay import crashdetection, exposure, ids, logs, options
from mangobay.generated import messages

CHECK_DELAYS = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0)
"""Seconds before each check of a host that does not reply."""
OUTLIVED_DELAY = 0.4
"""Delay of the first check by which a host shows that it has not ended."""
CONNECT_SECONDS = 0.3
"""How long connecting may take, also to a distant data centre."""
UNANSWERED_SECONDS = 10.0
"""How long calls without a reply are remembered."""
MAX_CALLS = 4096
"""Calls of each kind that are remembered, oldest forgotten first."""
MAX_HOSTS = 4096
"""Hosts of which the last reply, or the end, is remembered."""


@dataclasses.dataclass(slots=True)
class HostEnd:
    """The end of a host's process.

    Attributes:
      host: the host.
      end_id: id of the end; the same at all nodes that notice it.
      noticed_at: loop time at which it was noticed.
      exposures: the calls that may have caused it.
    """

    host: ids.HostId
    end_id: ids.BackendEndId
    noticed_at: float
    exposures: list[exposure.Exposure]


@dataclasses.dataclass(slots=True)
class Called:
    """A call that has ended at this node."""

    host: ids.HostId
    exposure: exposure.Exposure


class Incarnations(typing.Protocol):
    """The part of `peers.PeerClient` that knows processes of other hosts."""

    def incarnation_of(
        self, address: options.Address
    ) -> ids.Incarnation | None:
        """Returns the process that was connected last, None if none was."""


OnHostEnd = collections.abc.Callable[[HostEnd], None]


class HostWatch:
    """Remembers the calls of this node that their hosts may not outlive.

    Attributes:
      incarnations: tells which process runs at an address.
      on_end: called when a host has ended.
      replied: calls with a reply, for as long as a host has to outlive them.
      unanswered: calls without one.
      replied_at: loop time of the last reply of each host, but for replies
        during a check, which may be of its next process.
      ends: the last end of each host.
      leaving: hosts that said that they leave; their end is planned.
      checks: checks in progress, by host.
    """

    def __init__(self, incarnations: Incarnations, on_end: OnHostEnd):
        self.incarnations = incarnations
        self.on_end = on_end
        self.replied: collections.deque[Called] = collections.deque()
        self.unanswered: collections.deque[Called] = collections.deque()
        self.replied_at: dict[ids.HostId, float] = {}
        self.ends: collections.OrderedDict[ids.HostId, HostEnd] = (
            collections.OrderedDict()
        )
        self.leaving: collections.OrderedDict[ids.HostId, float] = (
            collections.OrderedDict()
        )
        self.checks: dict[ids.HostId, asyncio.Task] = {}

    def record(
        self,
        member: messages.Member,
        call: messages.Call,
        reply: messages.Reply,
        sent_at: float,
        now: float,
    ) -> None:
        """Remembers a call that has ended at this node.

        Args:
          member: the called host.
          call: the call.
          reply: its reply; without a host if this node made it.
          sent_at: loop time at which it was sent.
          now: loop time.
        """
        if reply.outcome is messages.Outcome.NOT_RUN:
            if reply.reason is messages.Reason.LEAVING:
                self.leaving[member.host] = now
                trim(self.leaving)
            elif not reply.host and self.knows_calls_of(member.host, now):
                self.start_check(member)
            return
        exposed = exposure.Exposure(call.service, call, sent_at, now)
        called = Called(member.host, exposed)
        if reply.host:
            exposed.answered = True
            if member.host not in self.checks:
                self.replied_at[member.host] = now
                if len(self.replied_at) > MAX_HOSTS:
                    del self.replied_at[next(iter(self.replied_at))]
            self.replied.append(called)
            self.forget_old(self.replied, now - exposure.RESPONDED_SECONDS)
            return
        self.unanswered.append(called)
        self.forget_old(self.unanswered, now - UNANSWERED_SECONDS)
        if reply.reason is messages.Reason.CONNECTION_BROKEN:
            self.start_check(member)

    def forget_old(
        self, recorded: collections.deque[Called], cutoff: float
    ) -> None:
        """Forgets calls that ended before a loop time, or are too many."""
        while recorded and (
            recorded[0].exposure.ended_at < cutoff or len(recorded) > MAX_CALLS
        ):
            recorded.popleft()

    def knows_calls_of(self, host: ids.HostId, now: float) -> bool:
        """Returns whether a host may have ended because of a known call."""
        self.forget_old(self.replied, now - exposure.RESPONDED_SECONDS)
        self.forget_old(self.unanswered, now - UNANSWERED_SECONDS)
        return any(True for _ in self.calls_of(host))

    def calls_of(
        self, host: ids.HostId
    ) -> collections.abc.Iterator[exposure.Exposure]:
        """Yields the calls that a host has not outlived."""
        replied_at = self.replied_at.get(host, float("-inf"))
        for called in self.replied:
            if called.host == host:
                yield called.exposure
        for called in self.unanswered:
            outlived_at = called.exposure.ended_at + exposure.OUTLIVE_SECONDS
            if called.host == host and outlived_at > replied_at:
                yield called.exposure

    def find_end(
        self, host: ids.HostId, sent_at: float
    ) -> ids.BackendEndId | None:
        """Returns the end of a host after a call was sent, None if unknown."""
        end = self.ends.get(host)
        return end.end_id if end and sent_at <= end.noticed_at else None

    async def wait_for_end(
        self, host: ids.HostId, sent_at: float
    ) -> ids.BackendEndId | None:
        """Does the same after a check that has just begun."""
        if self.find_end(host, sent_at) is None and host in self.checks:
            await asyncio.wait(
                {self.checks[host]},
                timeout=crashdetection.PROBE_TIMEOUT_SECONDS,
            )
        return self.find_end(host, sent_at)

    def start_check(self, member: messages.Member) -> None:
        """Checks whether a host has ended."""
        host = member.host
        if (
            host in self.checks
            or host in self.leaving
            or not member.peer_address
        ):
            return
        task = asyncio.create_task(self.check(member))
        self.checks[host] = task
        task.add_done_callback(lambda task: self.forget_check(host, task))

    def forget_check(self, host: ids.HostId, task: asyncio.Task) -> None:
        """Allows a new check; logs the error of the old one."""
        del self.checks[host]
        if not task.cancelled() and task.exception() is not None:
            logs.log_event(
                logs.Component.PEER,
                "check of a host failed",
                host=host,
                why=repr(task.exception()),
            )

    async def check(self, member: messages.Member) -> None:
        """Connects to a host until it is clear whether it has ended."""
        address = options.parse_address(member.peer_address)
        before = self.incarnations.incarnation_of(address)
        loop = asyncio.get_running_loop()
        for delay in CHECK_DELAYS:
            await asyncio.sleep(delay)
            state = await crashdetection.probe(address, CONNECT_SECONDS)
            current = self.incarnations.incarnation_of(address)
            is_replaced = bool(before and current) and current != before
            if is_replaced or state is crashdetection.ListenerState.REFUSING:
                self.declare_end(member.host, before, loop.time())
                return
            if (
                state is crashdetection.ListenerState.ACCEPTING
                and delay >= OUTLIVED_DELAY
            ):
                self.forget_calls_of(member.host)
                return

    def declare_end(
        self,
        host: ids.HostId,
        incarnation: ids.Incarnation | None,
        now: float,
    ) -> None:
        """Attributes the end of a host to its calls."""
        exposures = self.take_calls_of(host, now)
        end = HostEnd(
            host,
            ids.BackendEndId(f"{host}/{incarnation or 'unknown'}"),
            now,
            exposures,
        )
        for exposed in exposures:
            exposed.end_id = end.end_id
        self.ends[host] = end
        self.ends.move_to_end(host)
        trim(self.ends)
        if exposures:
            log_end(end)
            self.on_end(end)
        end.exposures = []  # Frees the calls, since `ends` keeps the end.

    def take_calls_of(
        self, host: ids.HostId, now: float
    ) -> list[exposure.Exposure]:
        """Returns the calls that a host has not outlived; forgets them."""
        self.forget_old(self.replied, now - exposure.RESPONDED_SECONDS)
        taken = {
            exposed.find_digest(): exposed for exposed in self.calls_of(host)
        }
        self.forget_calls_of(host)
        return list(taken.values())

    def forget_calls_of(self, host: ids.HostId) -> None:
        """Forgets the calls to a host that have no reply."""
        self.replied_at.pop(host, None)
        self.unanswered = collections.deque(
            called for called in self.unanswered if called.host != host
        )

    async def close(self) -> None:
        """Stops the checks."""
        tasks = list(self.checks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def trim(table: collections.OrderedDict) -> None:
    """Forgets the oldest entry of a table that is full."""
    if len(table) > MAX_HOSTS:
        table.popitem(last=False)


def log_end(end: HostEnd) -> None:
    """Logs an end and the calls that may have caused it, by their digests."""
    logs.log_event(
        logs.Component.PEER,
        "called host has ended",
        host=end.host,
        end=end.end_id,
        calls=len(end.exposures),
    )
    exposure.log_runs(
        "call before the end of the called host",
        end.exposures,
        end.noticed_at,
    )
