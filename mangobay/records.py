"""Records of calls with an idempotency key."""

import asyncio
import collections
import collections.abc
import dataclasses
import enum

import xxhash

from mangobay import calls, ids
from mangobay.generated import messages


class State(enum.Enum):
    """State of a call with a key."""

    CLAIMED = "claimed"
    """Waits for admission here; nothing was sent to a backend server."""
    STARTED = "started"
    """May run; its result is not known yet."""
    ANSWERED = "answered"
    """Ran; the record has the response."""
    UNKNOWN = "unknown"
    """May have run; no response will come."""


FINAL_STATES = frozenset({State.ANSWERED, State.UNKNOWN})

WIRE_STATES = {
    State.STARTED: messages.OnceState.STARTED,
    State.ANSWERED: messages.OnceState.ANSWERED,
    State.UNKNOWN: messages.OnceState.UNKNOWN,
}
"""States that other nodes are told; claims are local."""
LOCAL_STATES = {wire: local for local, wire in WIRE_STATES.items()}
STATE_RANKS = {
    State.CLAIMED: 0,
    State.STARTED: 1,
    State.UNKNOWN: 2,
    State.ANSWERED: 3,
}
"""When records are merged, a state only replaces one of a lower rank."""

RECORD_OVERHEAD_BYTES = 1600
"""Memory of a record without its response."""
HEADER_OVERHEAD_BYTES = 200
"""Memory of a header without the characters of its name and value."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """The call of one key.

    Attributes:
      digest: hash of the request, to detect a key reused for another request.
      created_at: loop time of the first arrival, seconds.
      runner: host that runs or ran the call.
      runner_incarnation: incarnation of that host's process.
      reply: reply to every repeat; set when the call has ended or was refused.
      resolved: set together with `reply`.
      counted_bytes: bytes counted in the budget; 0 while not registered.
    """

    key: ids.IdempotencyKey
    service: ids.ServiceName
    slot: ids.Slot
    digest: bytes
    created_at: float
    state: State = State.CLAIMED
    runner: ids.HostId = ids.HostId("")
    runner_incarnation: ids.Incarnation = ids.Incarnation("")
    reply: messages.Reply | None = None
    resolved: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    counted_bytes: int = 0

    def resolve(self, state: State, reply: messages.Reply) -> None:
        """Sets the final state and the reply, and wakes waiting repeats."""
        self.state = state
        self.reply = reply
        self.resolved.set()


def digest_of(call: messages.Call) -> bytes:
    """Returns the hash of a request; every node computes the same one."""
    digest = xxhash.xxh3_128()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()


def to_entry(record: Record, now: float) -> messages.OnceEntry:
    """Returns a record as a message; `now` is loop time, seconds."""
    reply = record.reply or messages.Reply()
    return messages.OnceEntry(
        key=record.key,
        service=record.service,
        slot=record.slot,
        digest=record.digest,
        state=WIRE_STATES[record.state],
        runner=record.runner,
        runner_incarnation=record.runner_incarnation,
        age_ms=max(0, int((now - record.created_at) * 1000)),
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
    )


def started_entry(record: Record, now: float) -> messages.OnceEntry:
    """Returns the message by which holders learn that a claim will start."""
    return to_entry(dataclasses.replace(record, state=State.STARTED), now)


def entry_reply(entry: messages.OnceEntry) -> messages.Reply:
    """Returns the reply of an entry in a final state."""
    if entry.state is messages.OnceState.UNKNOWN:
        return calls.unknown_reply(messages.Reason.OWNER_CHANGED)
    return messages.Reply(
        outcome=messages.Outcome.ANSWERED,
        status=entry.status,
        headers=entry.headers,
        body=entry.body,
        host=entry.runner,
    )


def estimate_bytes(record: Record) -> int:
    """Returns the approximate memory of a record."""
    if record.reply is None:
        return RECORD_OVERHEAD_BYTES
    header_bytes = sum(
        HEADER_OVERHEAD_BYTES + len(header.name) + len(header.value)
        for header in record.reply.headers
    )
    return RECORD_OVERHEAD_BYTES + header_bytes + len(record.reply.body)


@dataclasses.dataclass(slots=True)
class MemoryBudget:
    """Memory for the records of all services at one node.

    A node that runs out of memory is killed by its host and loses every
    record. New keys are refused before that, so that calls of known keys still
    run at most once. Responses of calls in progress may exceed the limit.

    Attributes:
      limit_bytes: new keys that would exceed it are refused.
      used_bytes: estimated memory of all records.
    """

    limit_bytes: int
    used_bytes: int = 0


class Registry:
    """The records of one service at one node, bounded in number and age.

    Attributes:
      window: seconds for which a record is kept after its creation.
      max_records: records at which new keys are refused.
      budget: memory budget, shared by all services of the node.
      by_key: records in the order in which they were added.
      by_slot: the same records by slot.
    """

    def __init__(self, window: float, max_records: int, budget: MemoryBudget):
        self.window = window
        self.max_records = max_records
        self.budget = budget
        self.by_key: dict[ids.IdempotencyKey, Record] = {}
        self.by_slot: collections.defaultdict[
            ids.Slot, dict[ids.IdempotencyKey, Record]
        ] = collections.defaultdict(dict)

    def __len__(self) -> int:
        return len(self.by_key)

    @property
    def full(self) -> bool:
        """Whether a new key has to be refused."""
        if len(self.by_key) >= self.max_records:
            return True
        return (
            self.budget.used_bytes + RECORD_OVERHEAD_BYTES
            > self.budget.limit_bytes
        )

    def get(self, key: ids.IdempotencyKey) -> Record | None:
        """Returns the record of a key, None if there is none."""
        return self.by_key.get(key)

    def add(self, record: Record) -> None:
        """Adds a record and counts its memory."""
        self.by_key[record.key] = record
        self.by_slot[record.slot][record.key] = record
        self.update_size(record)

    def update_size(self, record: Record) -> None:
        """Updates the memory counted for a record that got its response."""
        if self.by_key.get(record.key) is not record:
            return
        size = estimate_bytes(record)
        self.budget.used_bytes += size - record.counted_bytes
        record.counted_bytes = size

    def remove(self, record: Record) -> None:
        """Removes a record that did not run or has expired."""
        self.by_key.pop(record.key, None)
        self.by_slot[record.slot].pop(record.key, None)
        self.budget.used_bytes -= record.counted_bytes
        record.counted_bytes = 0

    def remove_as_not_run(self, record: Record) -> None:
        """Removes a call that did not start; waiting repeats get `not_run`."""
        self.remove(record)
        record.reply = calls.not_run_reply(messages.Reason.OWNER_CHANGED)
        record.resolved.set()

    def expire(self, now: float) -> None:
        """Removes expired records, oldest first; `now` is loop time."""
        while self.by_key:
            oldest = next(iter(self.by_key.values()))
            if oldest.created_at + self.window > now:
                return
            self.remove(oldest)

    def copyable_records(
        self, slot: ids.Slot
    ) -> collections.abc.Iterator[Record]:
        """Yields the records of a slot that other nodes may get a copy of."""
        for record in self.by_slot[slot].values():
            if record.state is not State.CLAIMED:
                yield record

    def merge(self, entry: messages.OnceEntry, now: float) -> Record:
        """Merges what another node knows of a key; returns the record.

        A delayed `started` must not replace a response, or a repeat would wait
        for a run that has ended. Only a state of a higher rank replaces
        another, so the order of arrival does not matter.
        """
        state = LOCAL_STATES[entry.state]
        record = self.by_key.get(entry.key)
        if record is None:
            record = Record(
                key=entry.key,
                service=entry.service,
                slot=entry.slot,
                digest=entry.digest,
                created_at=now - entry.age_ms / 1000,
                state=State.CLAIMED,
            )
            self.add(record)
        if STATE_RANKS[state] > STATE_RANKS[record.state]:
            record.runner = entry.runner
            record.runner_incarnation = entry.runner_incarnation
            record.digest = entry.digest
            record.state = state
            if state in FINAL_STATES:
                record.resolve(state, entry_reply(entry))
                self.update_size(record)
        return record
