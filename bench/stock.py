"""Members, rows, views and renewals in any number, as they come decoded."""

import asyncio

from mangobay import clock, ids, statemachine
from mangobay.generated import messages

MEMBERS = 7
"""Backend servers of one service: 23,000 in 3,300 services."""
ROWS = 6
"""Operations of one service."""
DATA_CENTRES = 20
ANSWER = b"x" * 1024


def service_name(number: int) -> ids.ServiceName:
    """Returns the name of a service."""
    return ids.ServiceName(f"service-{number:05}")


def operation(number: int) -> messages.Operation:
    """Returns a row."""
    return messages.Operation(
        service=service_name(number // ROWS),
        name=ids.OperationName(f"operation-{number}"),
        method="POST",
        path=f"/{service_name(number // ROWS)}/items/{number}",
        importance=messages.Importance.HIGH,
        key_required=True,
        callers=["web", "desk", "prices"],
        deadline_ms=2000,
        tries=3,
    )


def member(number: int) -> messages.Member:
    """Returns a member of a service."""
    return messages.Member(
        host=ids.HostId(f"host-{number:06}.example"),
        incarnation=ids.Incarnation(f"0193a0c2-7b1e-7c3a-9f21-{number:012}"),
        data_centre=ids.DataCentre(f"centre-{number % DATA_CENTRES:02}"),
        peer_address=f"10.1.{number // 250 % 250}.{number % 250}:7001",
        slots=70,
    )


def serves(number: int) -> list[messages.ServedService]:
    """Returns what a host serves: one service, shared by MEMBERS hosts."""
    name = service_name(number // MEMBERS)
    return [messages.ServedService(name=name, slots=70)]


def join(number: int, run: int = 0) -> messages.MemberChange:
    """Returns the entry of a host that joins; another run is a restart."""
    joining = member(number)
    joining.incarnation = ids.Incarnation(f"{joining.incarnation}-{run}")
    return messages.MemberChange(
        member=joining, serves=serves(number), accepted_ms=clock.unix_ms()
    )


def decoded(index: int, body: messages.LogEntryBody) -> messages.LogEntry:
    """Returns an entry as a control host has it: read from bytes."""
    entry = messages.LogEntry(
        index=ids.LogIndex(index), term=ids.Term(1), body=body
    )
    return messages.decode_log_entry(messages.encode_log_entry(entry))


def over_the_wire(body: messages.EnvelopeBody) -> messages.EnvelopeBody:
    """Returns a message as its receiver has it."""
    envelope = messages.Envelope(stream=1, body=body)
    return messages.decode_envelope(messages.encode_envelope(envelope)).body


def sheet_change(rows: int, version: str = "1") -> messages.SheetChange:
    """Returns the entry of a sheet of so many rows."""
    return messages.SheetChange(
        version=ids.SheetVersion(version),
        digest=bytes(32),
        operator="planner",
        changed=[operation(number) for number in range(rows)],
    )


def machine_with(
    members: int = 0, rows: int = 0, runs: int = 1
) -> statemachine.ConfigStateMachine:
    """Returns the replicated state of so many hosts, each started `runs` times.

    Several runs fill the former views, as restarts do in service.
    """
    state = statemachine.ConfigStateMachine()
    index = 0
    if rows:
        index += 1
        state.apply(decoded(index, sheet_change(rows)))
    for run in range(runs):
        for number in range(members):
            index += 1
            state.apply(decoded(index, join(number, run)))
    return state


def view(number: int, formers: int) -> messages.ServiceView:
    """Returns the view of a service with so many former views."""
    first = number * MEMBERS
    members = [member(first + offset) for offset in range(MEMBERS)]
    return messages.ServiceView(
        service=service_name(number),
        version=ids.ViewVersion(number + 100),
        members=members,
        active=True,
        formers=[
            messages.FormerView(
                version=ids.ViewVersion(number + 90 - former), members=members
            )
            for former in range(formers)
        ],
    )


def renewal(
    number: int, interests: int, hold_ms: int = 0, run: int = 0
) -> messages.LeaseRenew:
    """Returns a renewal of a node that lacks nothing of its interests."""
    joining = join(number, run).member
    names = [service_name(offset) for offset in range(interests)]
    return messages.LeaseRenew(
        host=joining.host,
        incarnation=joining.incarnation,
        data_centre=joining.data_centre,
        peer_address=joining.peer_address,
        serves=serves(number),
        interests=list(names),
        views=[
            messages.ViewAck(
                service=name, version=ids.ViewVersion(1 << 40), active=True
            )
            for name in names
        ],
        hold_ms=hold_ms,
    )


class OneHostGroup:
    """Stands for a control group whose quorum answers at once."""

    def __init__(
        self, state: statemachine.ConfigStateMachine, index: int = 1 << 20
    ):
        self.machine = state
        self.leading = asyncio.Event()
        self.leading.set()
        self.term = ids.Term(1)
        self.host = ids.HostId("control")
        self.leader = self.host
        self.leader_address = "10.0.0.1:7000"
        self.index = index

    async def propose(self, body: messages.LogEntryBody) -> messages.LogEntry:
        """Applies an entry at once."""
        self.index += 1
        entry = messages.LogEntry(
            index=ids.LogIndex(self.index), term=self.term, body=body
        )
        self.machine.apply(entry)
        return entry

    async def confirm_leadership(self) -> None:
        """Returns at once."""
