"""What a node remembers of each idempotency key."""

import asyncio
import collections
import collections.abc
import dataclasses
import enum

import xxhash

from mangobay import calls, ids
from mangobay.generated import messages


class State(enum.Enum):
    """How far a keyed call has come."""

    CLAIMED = "claimed"
    """Being admitted here; not a byte has gone to a backend server."""
    STARTED = "started"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


FINAL_STATES = frozenset({State.ANSWERED, State.UNKNOWN})

WIRE_STATES = {
    State.STARTED: messages.OnceState.STARTED,
    State.ANSWERED: messages.OnceState.ANSWERED,
    State.UNKNOWN: messages.OnceState.UNKNOWN,
}
LOCAL_STATES = {wire: local for local, wire in WIRE_STATES.items()}
STATE_RANKS = {
    State.CLAIMED: 0,
    State.STARTED: 1,
    State.UNKNOWN: 2,
    State.ANSWERED: 3,
}


RECORD_OVERHEAD_BYTES = 1600
"""Memory of a record besides its answer; `make slopes` tells it."""
HEADER_OVERHEAD_BYTES = 200
"""Memory of a header besides its characters."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """One key.

    Attributes:
      digest: fingerprint of the request, to tell a reused key.
      created_at: loop time of the first arrival, seconds.
      runner: the host that runs or ran it.
      runner_incarnation: the run of that host's process.
      reply: what every repeat is answered; set once settled or refused.
      resolved: set when `reply` is.
      counted_bytes: bytes that the budget counts for it; 0 while not remembered.
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
        """Gives the record its reply and wakes the repeats that wait."""
        self.state = state
        self.reply = reply
        self.resolved.set()


def digest_of(call: messages.Call) -> bytes:
    """Returns the fingerprint of a request, the same on every node."""
    digest = xxhash.xxh3_128()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()


def to_entry(record: Record, now: float) -> messages.OnceEntry:
    """Returns what travels of a record; `now` is loop time, seconds."""
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
    """Returns what holders are told before a claimed record starts."""
    return to_entry(dataclasses.replace(record, state=State.STARTED), now)


def entry_reply(entry: messages.OnceEntry) -> messages.Reply:
    """Returns the reply that a settled entry holds."""
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
    """Returns about how many bytes a record keeps."""
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

    A node that ran out of memory would be ended by its host and forget every
    key. Refusing new keys before that keeps the promise for the old ones;
    the answers still to come of the calls that run go on top.

    Attributes:
      limit_bytes: bytes; from there on no new key is taken.
      used_bytes: bytes.
    """

    limit_bytes: int
    used_bytes: int = 0


class Registry:
    """The records of one service at one node, bounded in number and age.

    Attributes:
      window: seconds that a record is kept after it was made.
      max_records: most records.
      budget: the memory, shared with the node's other services.
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
        """Whether a new key has no room."""
        if len(self.by_key) >= self.max_records:
            return True
        return (
            self.budget.used_bytes + RECORD_OVERHEAD_BYTES
            > self.budget.limit_bytes
        )

    def get(self, key: ids.IdempotencyKey) -> Record | None:
        """Returns the record of a key."""
        return self.by_key.get(key)

    def add(self, record: Record) -> None:
        """Remembers a record."""
        self.by_key[record.key] = record
        self.by_slot[record.slot][record.key] = record
        self.update_size(record)

    def update_size(self, record: Record) -> None:
        """Counts what a record keeps, after it got its answer."""
        if self.by_key.get(record.key) is not record:
            return
        size = estimate_bytes(record)
        self.budget.used_bytes += size - record.counted_bytes
        record.counted_bytes = size

    def remove(self, record: Record) -> None:
        """Drops a record: its key was not run, or left the window."""
        self.by_key.pop(record.key, None)
        self.by_slot[record.slot].pop(record.key, None)
        self.budget.used_bytes -= record.counted_bytes
        record.counted_bytes = 0

    def remove_as_not_run(self, record: Record) -> None:
        """Drops a call that its runner did not start; tells who waits."""
        self.remove(record)
        record.reply = calls.not_run_reply(messages.Reason.OWNER_CHANGED)
        record.resolved.set()

    def expire(self, now: float) -> None:
        """Drops the records that left the window, oldest first."""
        while self.by_key:
            oldest = next(iter(self.by_key.values()))
            if oldest.created_at + self.window > now:
                return
            self.remove(oldest)

    def copyable_records(
        self, slot: ids.Slot
    ) -> collections.abc.Iterator[Record]:
        """Yields what other nodes may learn of a slot."""
        for record in self.by_slot[slot].values():
            if record.state is not State.CLAIMED:
                yield record

    def merge(self, entry: messages.OnceEntry, now: float) -> Record:
        """Takes in what another node knows; knowledge only ever grows.

        A late `started` must not undo an answer: its symptom would be a
        repeat that waits for a run long finished.  States are ranked and
        only a higher one replaces a lower, so the order of arrival is
        indifferent.
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
