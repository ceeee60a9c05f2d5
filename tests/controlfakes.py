"""Fakes of the interfaces between the components of a control host."""

import asyncio
import contextlib

from mangobay import errors, ids
from mangobay.generated import messages


@contextlib.asynccontextmanager
async def running_task(component):
    """Runs a component in a task.

    This is not a fixture, because the event loop of a fixture does not have
    the virtual time of the test.
    """
    task = asyncio.create_task(component.run())
    try:
        yield component
        assert not task.done()
    finally:
        task.cancel()


class FakeGroup:
    """A group of one member, which applies proposals at once."""

    def __init__(self, machine, host="c1", address="127.0.0.1:1"):
        self.machine = machine
        self.leading = asyncio.Event()
        self.leading.set()
        self.host = ids.HostId(host)
        self.term = ids.Term(1)
        self.leader = ids.HostId(host)
        self.leader_address = address
        self.last_index = 0
        self.is_voter = True
        self.has_quorum = asyncio.Event()
        self.has_quorum.set()

    async def propose(self, body):
        await self.confirm_leadership()
        return self.append(body)

    def voter_addresses(self):
        return [self.leader_address]

    def silent_voter_count(self):
        return 0

    def append(self, body):
        self.last_index += 1
        entry = messages.LogEntry(
            index=self.last_index, term=self.term, body=body
        )
        self.machine.apply(entry)
        return entry

    @property
    def commit_index(self):
        return self.last_index

    async def confirm_leadership(self):
        await self.has_quorum.wait()
        await asyncio.sleep(0.003)
        if not self.leading.is_set():
            raise errors.NotLeaderError(self.leader, self.leader_address)

    def lose_quorum(self):
        """Makes confirmations hang, while this host still seems to lead."""
        self.has_quorum.clear()


class FakeTransport:
    """Delivers renewals to lease tables by address."""

    def __init__(self, lease_tables):
        self.lease_tables = lease_tables
        self.requests = []
        self.loses_replies = False

    async def send_request(self, address, body, timeout):
        self.requests.append((asyncio.get_running_loop().time(), address, body))
        if address not in self.lease_tables:
            raise errors.PeerUnreachableError(f"{address} is not there")
        async with asyncio.timeout(timeout):
            await asyncio.sleep(0.001)
            reply = await self.lease_tables[address].renew(body)
            if self.loses_replies:
                await asyncio.Event().wait()
            return reply


def make_operation(name, service="quotes", **fields):
    """Returns an operation of a sheet."""
    fields.setdefault("path", f"/{name}")
    return messages.Operation(service=service, name=name, **fields)


def make_sheet_change(version, *changed, base=0, removed=(), digest=None):
    """Returns the log entry body of an accepted sheet."""
    return messages.SheetChange(
        version=version,
        digest=digest or version.encode(),
        operator="ana",
        base=base,
        changed=list(changed),
        removed=[messages.OperationRef(service=s, name=n) for s, n in removed],
    )


def make_member_join(host, *services, incarnation="1", slots=70, leaving=False):
    """Returns the log entry body of a host that joins or changes."""
    return messages.MemberChange(
        member=messages.Member(
            host=host,
            incarnation=incarnation,
            data_centre="lima",
            peer_address="127.0.0.1:7",
            leaving=leaving,
        ),
        serves=[
            messages.ServedService(name=name, slots=slots) for name in services
        ],
    )


def make_member_gone(host, incarnation="1"):
    """Returns the log entry body of a host that is gone."""
    return messages.MemberChange(
        member=messages.Member(host=host, incarnation=incarnation), gone=True
    )


def make_renewal(host, *services, incarnation="1", acks=(), **fields):
    """Returns a lease renewal; acks are (service, version[, active])."""
    fields.setdefault("interests", sorted(services))
    return messages.LeaseRenew(
        host=host,
        incarnation=incarnation,
        data_centre="lima",
        peer_address="127.0.0.1:7",
        serves=[
            messages.ServedService(name=name, slots=70) for name in services
        ],
        views=[
            messages.ViewAck(
                service=service,
                version=version,
                member=True,
                active=bool(active),
            )
            for service, version, *active in acks
        ],
        **fields,
    )
